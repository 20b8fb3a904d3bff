package group

import (
	"cmp"
	"math"
	"slices"
)

// averageCount is the number of moving averages of the loads. A move must have a
// saving under each of them. The last one is the slow average.
const averageCount = 2

// layerSearch is the state of a search for moves in one layer.
type layerSearch struct {
	layer []int
	shape Shape
	loads [averageCount][]float64 // fast and slow
	// holders lists, for each expert, the ranks that hold it, once for each slot.
	holders [][]int
	// times holds the time of each rank, slowest the ranks with the longest times in
	// descending order, both for each average.
	times   [averageCount][]float64
	slowest [averageCount][]int
}

// candidate is a possible change of a layer, with its saving: an additional replica,
// an exchange of two experts, the removal of a replica, or a combination of these.
type candidate struct {
	// slots are the slots that change, experts the experts that they hold afterwards.
	slots, experts []int
	// fetches is the number of experts that have to be fetched.
	fetches int
	saving  float64
}

// Numbers of ranks considered in a search.
const (
	// leastLoadedCount is the number of ranks considered to take load from the slowest
	// rank.
	leastLoadedCount = 8
	// slowestCount is the number of ranks that are kept in the order of their times.
	slowestCount = 16
)

// newLayerSearch returns a search in layer, which apply modifies. fast and slow are
// the layer's loads.
func newLayerSearch(layer []int, fast, slow []float64, s Shape) *layerSearch {
	search := &layerSearch{layer: layer, shape: s, loads: [averageCount][]float64{fast, slow}, holders: make([][]int, s.Experts)}
	search.refresh()
	return search
}

// refresh computes holders, times and slowest from the layer.
func (s *layerSearch) refresh() {
	for e := range s.holders {
		s.holders[e] = s.holders[e][:0]
	}
	for slot, e := range s.layer {
		if e != EmptySlot {
			s.holders[e] = append(s.holders[e], slot/s.shape.Slots)
		}
	}
	for i := range s.times {
		s.times[i] = rankTimes(s.layer, s.loads[i], s.shape, s.times[i])
		s.slowest[i] = slowestRanks(s.times[i], s.slowest[i])
	}
}

// slowestRanks returns up to slowestCount ranks with the longest times, in descending
// order. The result reuses the memory of into.
func slowestRanks(times []float64, into []int) []int {
	into = into[:0]
	for r, t := range times {
		if len(into) == slowestCount && t <= times[into[slowestCount-1]] {
			continue
		}
		if len(into) == slowestCount {
			into = into[:slowestCount-1]
		}
		i := len(into)
		for i > 0 && times[into[i-1]] < t {
			i--
		}
		into = slices.Insert(into, i, r)
	}
	return into
}

// apply makes the change of a candidate.
func (s *layerSearch) apply(c candidate) {
	for i, slot := range c.slots {
		s.layer[slot] = c.experts[i]
	}
	s.refresh()
}

// bestCandidate returns the candidate with the largest saving per fetch, and false if
// none has a saving. It considers changes that take load from the slowest rank, since
// all others wait for that one.
func (s *layerSearch) bestCandidate() (candidate, bool) {
	slowest := s.slowest[averageCount-1][0]
	leastLoaded := s.leastLoadedRanks()
	best, found := candidate{}, false
	consider := func(c candidate) {
		c.saving = s.saving(c)
		if c.saving > 0 && (!found || c.savingPerFetch() > best.savingPerFetch()) {
			best, found = c, true
		}
	}
	for slot := slowest * s.shape.Slots; slot < (slowest+1)*s.shape.Slots; slot++ {
		e := s.layer[slot]
		if e == EmptySlot {
			continue
		}
		if len(s.holders[e]) > 1 && s.shape.speed(slowest) < 1 {
			// Removing a replica relieves a rank below typical speed without any fetch.
			consider(candidate{slots: []int{slot}, experts: []int{EmptySlot}})
		}
		for _, r := range leastLoaded {
			if r != slowest && !slices.Contains(s.expertsOf(r), e) {
				s.considerExchanges(slot, slowest, r, consider)
			}
		}
	}
	return best, found
}

// skew returns the ratio of the slowest rank's time to the mean time of the ranks under
// the slow average, 1 without any load.
func (s *layerSearch) skew() float64 {
	times := s.times[averageCount-1]
	sum := 0.0
	for _, t := range times {
		sum += t
	}
	if sum == 0 {
		return 1
	}
	return times[s.slowest[averageCount-1][0]] * float64(len(times)) / sum
}

// savingPerFetch returns the saving per fetch, by which candidates are compared. A
// candidate without fetches counts as half of one.
func (c candidate) savingPerFetch() float64 { return c.saving / math.Max(float64(c.fetches), 0.5) }

// considerExchanges considers all candidates that move load from a slot of rank from
// to rank to.
func (s *layerSearch) considerExchanges(slot, from, to int, consider func(candidate)) {
	e := s.layer[slot]
	for other := to * s.shape.Slots; other < (to+1)*s.shape.Slots; other++ {
		x := s.layer[other]
		if x == EmptySlot || len(s.holders[x]) > 1 {
			// An additional replica of the expert, in a free slot or in place of an
			// expert that has other replicas.
			consider(candidate{slots: []int{other}, experts: []int{e}, fetches: 1})
		}
		if x != EmptySlot && !slices.Contains(s.expertsOf(from), x) {
			consider(candidate{slots: []int{slot, other}, experts: []int{x, e}, fetches: 2})
		}
	}
}

// leastLoadedRanks returns up to leastLoadedCount ranks with the shortest times under
// the slow average, in ascending order.
func (s *layerSearch) leastLoadedRanks() []int {
	times := s.times[averageCount-1]
	var out []int
	for r, t := range times {
		if len(out) == leastLoadedCount && t >= times[out[leastLoadedCount-1]] {
			continue
		}
		if len(out) == leastLoadedCount {
			out = out[:leastLoadedCount-1]
		}
		i, _ := slices.BinarySearchFunc(out, t, func(a int, t float64) int { return cmp.Compare(times[a], t) })
		out = slices.Insert(out, i, r)
	}
	return out
}

// expertsOf returns the contents of the slots of a rank.
func (s *layerSearch) expertsOf(rank int) []int {
	return s.layer[rank*s.shape.Slots : (rank+1)*s.shape.Slots]
}

// saving returns by how much a candidate reduces the slowest rank's time, under the
// average for which that is least.
func (s *layerSearch) saving(c candidate) float64 {
	affected, delta := s.effect(c)
	least := math.Inf(1)
	for i := range s.loads {
		least = min(least, s.times[i][s.slowest[i][0]]-s.slowestTimeAfter(c, i, affected, delta))
	}
	return least
}

// effect returns the ranks whose times a candidate changes, and the change in the
// number of replicas of each expert involved.
func (s *layerSearch) effect(c candidate) (affected []int, delta map[int]int) {
	delta = make(map[int]int, 2*len(c.slots))
	add := func(rank int) {
		if !slices.Contains(affected, rank) {
			affected = append(affected, rank)
		}
	}
	for i, slot := range c.slots {
		add(slot / s.shape.Slots)
		delta[s.layer[slot]]--
		delta[c.experts[i]]++
	}
	for e, n := range delta {
		if e == EmptySlot || n == 0 {
			continue
		}
		for _, rank := range s.holders[e] {
			add(rank)
		}
	}
	return affected, delta
}

// slowestTimeAfter returns the slowest rank's time after a candidate is applied.
// affected and delta are the results of effect.
func (s *layerSearch) slowestTimeAfter(c candidate, average int, affected []int, delta map[int]int) float64 {
	slowest := s.slowestUnaffected(average, affected)
	for _, rank := range affected {
		t := 0.0
		for slot := rank * s.shape.Slots; slot < (rank+1)*s.shape.Slots; slot++ {
			e := s.layer[slot]
			if i := slices.Index(c.slots, slot); i >= 0 {
				e = c.experts[i]
			}
			if e != EmptySlot {
				t += s.loads[average][e] / float64(len(s.holders[e])+delta[e])
			}
		}
		slowest = max(slowest, t/s.shape.speed(rank))
	}
	return slowest
}

// slowestUnaffected returns the longest time of the ranks that are not affected, 0 if
// all are.
func (s *layerSearch) slowestUnaffected(average int, affected []int) float64 {
	for _, rank := range s.slowest[average] {
		if !slices.Contains(affected, rank) {
			return s.times[average][rank]
		}
	}
	slowest := 0.0
	for rank, t := range s.times[average] {
		if !slices.Contains(affected, rank) {
			slowest = max(slowest, t)
		}
	}
	return slowest
}

// rebuild returns a candidate that places the layer from scratch. The new sets of
// experts are matched to the ranks so that the ranks keep many of their experts.
func (s *layerSearch) rebuild() candidate {
	rebuilt := greedyLayer(s.loads[averageCount-1], s.shape)
	var c candidate
	for rank, bin := range s.matchBins(rebuilt) {
		c.assign(s, rank, rebuilt[bin*s.shape.Slots:(bin+1)*s.shape.Slots])
	}
	after := slices.Clone(s.layer)
	for i, slot := range c.slots {
		after[slot] = c.experts[i]
	}
	c.saving = math.Inf(1)
	for i := range s.loads {
		c.saving = min(c.saving, s.times[i][s.slowest[i][0]]-slices.Max(rankTimes(after, s.loads[i], s.shape, nil)))
	}
	return c
}

// overlap is the number of experts that a rank holds of a bin, which is the set of
// experts for one rank in a placement from scratch.
type overlap struct{ rank, bin, shared int }

// matchBins returns the bin of a placement from scratch for each rank. It matches those
// that share the most experts first, and only ranks and bins of equal speed.
func (s *layerSearch) matchBins(rebuilt []int) []int {
	pairs := s.overlaps(rebuilt)
	slices.SortStableFunc(pairs, func(a, b overlap) int { return b.shared - a.shared })
	out := slices.Repeat([]int{EmptySlot}, s.shape.Ranks)
	taken := make([]bool, s.shape.Ranks)
	pair := func(rank, bin int) {
		if out[rank] == EmptySlot && !taken[bin] {
			out[rank], taken[bin] = bin, true
		}
	}
	for _, p := range pairs {
		pair(p.rank, p.bin)
	}
	for rank := range out {
		pair(rank, rank)
		for bin := 0; out[rank] == EmptySlot; bin++ {
			if s.shape.speed(rank) == s.shape.speed(bin) {
				pair(rank, bin)
			}
		}
	}
	return out
}

// overlaps returns the overlaps of the ranks and bins of equal speed that share experts.
func (s *layerSearch) overlaps(rebuilt []int) []overlap {
	var out []overlap
	shared := make([]int, s.shape.Ranks)
	for bin := range s.shape.Ranks {
		clear(shared)
		for _, e := range rebuilt[bin*s.shape.Slots : (bin+1)*s.shape.Slots] {
			if e == EmptySlot {
				continue
			}
			for _, rank := range s.holders[e] {
				shared[rank]++
			}
		}
		for rank, n := range shared {
			if n > 0 && s.shape.speed(rank) == s.shape.speed(bin) {
				out = append(out, overlap{rank, bin, n})
			}
		}
	}
	return out
}

// assign adds the changes that make a rank hold the experts of a bin. Experts that the
// rank already holds stay in their slots.
func (c *candidate) assign(s *layerSearch, rank int, bin []int) {
	var missing []int
	for _, e := range bin {
		if !slices.Contains(s.expertsOf(rank), e) {
			missing = append(missing, e)
		}
	}
	for i, e := range s.expertsOf(rank) {
		if e != EmptySlot && slices.Contains(bin, e) {
			continue
		}
		next := EmptySlot
		if len(missing) > 0 {
			next, missing = missing[0], missing[1:]
		}
		if next == e {
			continue
		}
		c.slots = append(c.slots, rank*s.shape.Slots+i)
		c.experts = append(c.experts, next)
		if next != EmptySlot {
			c.fetches++
		}
	}
}
