package group

import (
	"cmp"
	"math"
	"slices"
)

// averages is the number of moving averages by which a move must pay.
const averages = 2

// layerWork is one layer while moves in it are considered.
type layerWork struct {
	layer []int
	shape Shape
	loads [averages][]float64 // fast and slow
	// holders lists, for each expert, the ranks that hold it, once a slot.
	holders [][]int
	times   [averages][]float64
	// top lists the ranks with the longest times, the longest first.
	top [averages][]int
}

// candidate is a move, an exchange of two experts, or the dropping of a spare
// replica, with what it saves.
type candidate struct {
	// slots are the positions that change and experts what they hold then.
	slots, experts []int
	// moves is the number of experts that have to be fetched.
	moves int
	saved float64
}

// Numbers of ranks considered.
const (
	// coolest is the number of ranks considered as the other side of a move.
	coolest = 8
	// longest is the number of ranks kept in the order of their times.
	longest = 16
)

func newLayerWork(layer []int, fast, slow []float64, s Shape) *layerWork {
	w := &layerWork{layer: layer, shape: s, loads: [averages][]float64{fast, slow}, holders: make([][]int, s.Experts)}
	w.refresh()
	return w
}

// refresh derives holders, times and order from the layer.
func (w *layerWork) refresh() {
	for e := range w.holders {
		w.holders[e] = w.holders[e][:0]
	}
	for slot, e := range w.layer {
		if e != EmptySlot {
			w.holders[e] = append(w.holders[e], slot/w.shape.Slots)
		}
	}
	for i := range w.times {
		w.times[i] = rankTimes(w.layer, w.loads[i], w.shape, w.times[i])
		w.top[i] = longestFirst(w.times[i], w.top[i])
	}
}

// longestFirst returns the ranks with the longest times, by insertion into a
// short sorted list.
func longestFirst(times []float64, into []int) []int {
	into = into[:0]
	for r, t := range times {
		if len(into) == longest && t <= times[into[longest-1]] {
			continue
		}
		if len(into) == longest {
			into = into[:longest-1]
		}
		i := len(into)
		for i > 0 && times[into[i-1]] < t {
			i--
		}
		into = slices.Insert(into, i, r)
	}
	return into
}

func (w *layerWork) apply(c candidate) {
	for i, slot := range c.slots {
		w.layer[slot] = c.experts[i]
	}
	w.refresh()
}

// best returns the move that saves most for each expert fetched. It takes load
// from the rank that all others wait for.
func (w *layerWork) best() (candidate, bool) {
	hot := w.top[averages-1][0]
	cool := w.coolRanks()
	best, found := candidate{}, false
	consider := func(c candidate) {
		c.saved = w.saving(c)
		if c.saved > 0 && (!found || c.worth() > best.worth()) {
			best, found = c, true
		}
	}
	for slot := hot * w.shape.Slots; slot < (hot+1)*w.shape.Slots; slot++ {
		e := w.layer[slot]
		if e == EmptySlot {
			continue
		}
		if len(w.holders[e]) > 1 && w.shape.speed(hot) < 1 {
			// A slow rank is relieved without any fetch.
			consider(candidate{slots: []int{slot}, experts: []int{EmptySlot}})
		}
		for _, r := range cool {
			if r != hot && !slices.Contains(w.held(r), e) {
				w.considerWith(slot, hot, r, consider)
			}
		}
	}
	return best, found
}

// skew is the layer's slowest rank over the mean.
func (w *layerWork) skew() float64 {
	times := w.times[averages-1]
	sum := 0.0
	for _, t := range times {
		sum += t
	}
	if sum == 0 {
		return 1
	}
	return times[w.top[averages-1][0]] * float64(len(times)) / sum
}

// worth orders candidates: what is saved for each fetch.
func (c candidate) worth() float64 { return c.saved / math.Max(float64(c.moves), 0.5) }

// considerWith considers all moves between a slot of the hot rank and a cool one.
func (w *layerWork) considerWith(slot, hot, cool int, consider func(candidate)) {
	e := w.layer[slot]
	for other := cool * w.shape.Slots; other < (cool+1)*w.shape.Slots; other++ {
		x := w.layer[other]
		if x == EmptySlot || len(w.holders[x]) > 1 {
			// One more replica of the hot expert in a free slot or in place of a
			// spare replica.
			consider(candidate{slots: []int{other}, experts: []int{e}, moves: 1})
		}
		if x != EmptySlot && !slices.Contains(w.held(hot), x) {
			consider(candidate{slots: []int{slot, other}, experts: []int{x, e}, moves: 2})
		}
	}
}

// coolRanks returns the ranks with the lowest times, lowest first.
func (w *layerWork) coolRanks() []int {
	times := w.times[averages-1]
	var out []int
	for r, t := range times {
		if len(out) == coolest && t >= times[out[coolest-1]] {
			continue
		}
		if len(out) == coolest {
			out = out[:coolest-1]
		}
		i, _ := slices.BinarySearchFunc(out, t, func(a int, t float64) int { return cmp.Compare(times[a], t) })
		out = slices.Insert(out, i, r)
	}
	return out
}

func (w *layerWork) held(rank int) []int {
	return w.layer[rank*w.shape.Slots : (rank+1)*w.shape.Slots]
}

// saving is by how much a candidate shortens the layer, by the more cautious of
// the averages.
func (w *layerWork) saving(c candidate) float64 {
	affected, delta := w.effect(c)
	least := math.Inf(1)
	for i := range w.loads {
		least = min(least, w.times[i][w.top[i][0]]-w.slowestWith(c, i, affected, delta))
	}
	return least
}

// effect returns the ranks whose times a candidate changes, and by how much it
// changes the number of replicas of each expert involved.
func (w *layerWork) effect(c candidate) (affected []int, delta map[int]int) {
	delta = make(map[int]int, 2*len(c.slots))
	add := func(rank int) {
		if !slices.Contains(affected, rank) {
			affected = append(affected, rank)
		}
	}
	for i, slot := range c.slots {
		add(slot / w.shape.Slots)
		delta[w.layer[slot]]--
		delta[c.experts[i]]++
	}
	for e, n := range delta {
		if e == EmptySlot || n == 0 {
			continue
		}
		for _, rank := range w.holders[e] {
			add(rank)
		}
	}
	return affected, delta
}

// slowestWith returns the slowest rank's time after a candidate.
func (w *layerWork) slowestWith(c candidate, average int, affected []int, delta map[int]int) float64 {
	slowest := w.slowestOfOthers(average, affected)
	for _, rank := range affected {
		t := 0.0
		for slot := rank * w.shape.Slots; slot < (rank+1)*w.shape.Slots; slot++ {
			e := w.layer[slot]
			if i := slices.Index(c.slots, slot); i >= 0 {
				e = c.experts[i]
			}
			if e != EmptySlot {
				t += w.loads[average][e] / float64(len(w.holders[e])+delta[e])
			}
		}
		slowest = max(slowest, t/w.shape.speed(rank))
	}
	return slowest
}

// slowestOfOthers returns the longest time of the ranks that are not affected.
func (w *layerWork) slowestOfOthers(average int, affected []int) float64 {
	for _, rank := range w.top[average] {
		if !slices.Contains(affected, rank) {
			return w.times[average][rank]
		}
	}
	slowest := 0.0
	for rank, t := range w.times[average] {
		if !slices.Contains(affected, rank) {
			slowest = max(slowest, t)
		}
	}
	return slowest
}

// replace puts a layer's experts afresh on the ranks, each rank keeping as much
// as it can of what it holds, and returns the candidate for all that changes.
func (w *layerWork) replace() candidate {
	fresh := greedyLayer(w.loads[averages-1], w.shape)
	var c candidate
	for rank, from := range w.match(fresh) {
		c.add(w, rank, fresh[from*w.shape.Slots:(from+1)*w.shape.Slots])
	}
	after := slices.Clone(w.layer)
	for i, slot := range c.slots {
		after[slot] = c.experts[i]
	}
	c.saved = math.Inf(1)
	for i := range w.loads {
		c.saved = min(c.saved, w.times[i][w.top[i][0]]-slices.Max(rankTimes(after, w.loads[i], w.shape, nil)))
	}
	return c
}

// pairing is a rank and a bin of a fresh placement that share experts.
type pairing struct{ rank, bin, shared int }

// match pairs ranks with the bins of a fresh placement, those that share most
// experts first. Ranks of different speeds keep their own bins.
func (w *layerWork) match(fresh []int) []int {
	pairs := w.pairings(fresh)
	slices.SortStableFunc(pairs, func(a, b pairing) int { return b.shared - a.shared })
	out := slices.Repeat([]int{EmptySlot}, w.shape.Ranks)
	taken := make([]bool, w.shape.Ranks)
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
			if w.shape.speed(rank) == w.shape.speed(bin) {
				pair(rank, bin)
			}
		}
	}
	return out
}

// pairings lists the ranks and bins of equal speed that share experts.
func (w *layerWork) pairings(fresh []int) []pairing {
	var out []pairing
	shared := make([]int, w.shape.Ranks)
	for bin := range w.shape.Ranks {
		clear(shared)
		for _, e := range fresh[bin*w.shape.Slots : (bin+1)*w.shape.Slots] {
			if e == EmptySlot {
				continue
			}
			for _, rank := range w.holders[e] {
				shared[rank]++
			}
		}
		for rank, n := range shared {
			if n > 0 && w.shape.speed(rank) == w.shape.speed(bin) {
				out = append(out, pairing{rank, bin, n})
			}
		}
	}
	return out
}

// add makes a rank hold the experts of a bin. What it holds already stays in
// its slot.
func (c *candidate) add(w *layerWork, rank int, bin []int) {
	var missing []int
	for _, e := range bin {
		if !slices.Contains(w.held(rank), e) {
			missing = append(missing, e)
		}
	}
	for i, e := range w.held(rank) {
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
		c.slots = append(c.slots, rank*w.shape.Slots+i)
		c.experts = append(c.experts, next)
		if next != EmptySlot {
			c.moves++
		}
	}
}
