package group

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ReplanConfig holds the limits and weights of Replan.
type ReplanConfig struct {
	// MaxFetches limits the experts that one rank may fetch for a change, over all
	// layers. The limit is per rank because a change waits for the slowest rank.
	MaxFetches int
	// MaxFetchesPerLayer limits the experts of one layer that a rank may fetch.
	MaxFetchesPerLayer int
	// MinSaving is the smallest saving in a layer, as a share of the ranks' mean load
	// in that layer, per expert that the rank with the most fetches has to fetch.
	MinSaving float64
	// FetchPenalty is the load, as a share of a rank's mean load, that placement adds
	// to a rank which would have to fetch the expert.
	FetchPenalty float64
}

// layerOption is one possible new placement of a layer.
type layerOption struct {
	slots []int
	// saving is the reduction of the slowest rank's time, as a share of the ranks' mean
	// load in the layer.
	saving float64
	// fetches is the number of experts that each rank has to fetch, maxFetches the
	// largest of these numbers.
	fetches    []int
	maxFetches int
}

// Replan returns the map to change to under the given loads, and whether it differs
// from the current one. It selects the new placements of all layers in descending
// order of their saving per fetch, until the limits of the config are reached. The
// next call can then select the remaining ones. The version of the result is that of
// the current map.
func Replan(current Map, loads Loads, s Shape, c ReplanConfig) (Map, bool) {
	options := make([][]layerOption, len(current.Layers))
	for l := range current.Layers {
		options[l] = layerOptions(current.Layers[l], loads[l], s, c)
	}
	chosen := make([]layerOption, len(options))
	for l := range chosen {
		chosen[l].fetches = make([]int, s.Ranks)
	}
	total := make([]int, s.Ranks)
	for {
		layer, next := bestUpgrade(options, chosen, total, c)
		if layer < 0 {
			break
		}
		for rank := range total {
			total[rank] += next.fetches[rank] - chosen[layer].fetches[rank]
		}
		chosen[layer] = next
	}
	next := current.Clone()
	changed := false
	for l, o := range chosen {
		if o.slots != nil {
			next.Layers[l], changed = o.slots, true
		}
	}
	return next, changed
}

// bestUpgrade returns the option with the largest additional saving over the chosen
// option of its layer, per additional fetch of the rank with the most fetches, and
// the number of that layer. The layer is -1 if no option is allowed. total is the
// number of fetches of each rank for the chosen options.
func bestUpgrade(options [][]layerOption, chosen []layerOption, total []int, c ReplanConfig) (int, layerOption) {
	layer, best, bestPerFetch := -1, layerOption{}, 0.0
	for l, list := range options {
		for _, o := range list {
			added := o.saving - chosen[l].saving
			perFetch := added / float64(max(o.maxFetches-chosen[l].maxFetches, 1))
			if perFetch < c.MinSaving || perFetch <= bestPerFetch || !withinFetchLimit(total, chosen[l].fetches, o.fetches, c.MaxFetches) {
				continue
			}
			layer, best, bestPerFetch = l, o, perFetch
		}
	}
	return layer, best
}

// withinFetchLimit reports whether no rank fetches more than limit experts if, of the
// fetches in total, those in removed are replaced by those in added.
func withinFetchLimit(total, removed, added []int, limit int) bool {
	for rank := range total {
		if total[rank]-removed[rank]+added[rank] > limit {
			return false
		}
	}
	return true
}

// fetchPenaltyFactors are the multiples of ReplanConfig.FetchPenalty that are tried. A
// higher penalty leads to fewer fetches.
var fetchPenaltyFactors = []float64{1, 4, 16}

// layerOptions returns new placements of a layer that have a saving, for each allowed
// number of fetches per rank and each factor of the fetch penalty.
func layerOptions(layer []int, loads []float64, s Shape, c ReplanConfig) []layerOption {
	mean := 0.0
	for _, x := range loads {
		mean += x / float64(s.Ranks)
	}
	if mean == 0 {
		return nil
	}
	before := slices.Max(rankTimes(layer, loads, s, nil))
	if before <= (1+c.MinSaving)*mean {
		return nil
	}
	var out []layerOption
	for maxFetches := 1; maxFetches <= min(c.MaxFetchesPerLayer, c.MaxFetches); maxFetches++ {
		for _, factor := range fetchPenaltyFactors {
			slots, ok := placeNearCurrent(layer, loads, s, factor*c.FetchPenalty*mean, maxFetches)
			if !ok {
				continue
			}
			o := layerOption{slots: slots, fetches: fetchesPerRank(layer, slots, s)}
			o.maxFetches = slices.Max(o.fetches)
			if o.saving = (before - slices.Max(rankTimes(slots, loads, s, nil))) / mean; o.saving > 0 {
				out = append(out, o)
			}
		}
	}
	return out
}

// fetchesPerRank returns the number of experts that each rank has to fetch to change
// from one placement of a layer to another.
func fetchesPerRank(from, to []int, s Shape) []int {
	out := make([]int, s.Ranks)
	for slot, e := range to {
		rank := slot / s.Slots
		if e != EmptySlot && !slices.Contains(from[rank*s.Slots:(rank+1)*s.Slots], e) {
			out[rank]++
		}
	}
	return out
}

// placeNearCurrent returns a new placement of one layer that stays close to the
// current one. It places the experts in descending order of load per replica, and
// each replica on the rank with the least load. fetchPenalty is added to the load of
// a rank that does not hold the expert. A rank fetches at most maxFetches experts.
// It returns false if an expert has no rank that can take it.
func placeNearCurrent(current []int, loads []float64, s Shape, fetchPenalty float64, maxFetches int) ([]int, bool) {
	p := &layerPlacement{current: current, shape: s, fetchPenalty: fetchPenalty, maxFetches: maxFetches}
	p.slots = slices.Repeat([]int{EmptySlot}, s.Ranks*s.Slots)
	p.usedSlots, p.fetched, p.load = make([]int, s.Ranks), make([]int, s.Ranks), make([]float64, s.Ranks)
	counts := replicaCounts(loads, s)
	order := make([]int, s.Experts)
	for e := range order {
		order[e] = e
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(loads[b]/float64(counts[b]), loads[a]/float64(counts[a])), cmp.Compare(a, b))
	})
	for _, e := range order {
		if !p.place(e, counts[e], loads[e]) {
			return nil, false
		}
	}
	return p.slots, true
}

// replicaCounts returns the number of replicas of each expert: one, and more for
// experts whose load is too large a part of a rank's load to be balanced. There may be
// fewer in total than the ranks have slots.
func replicaCounts(loads []float64, s Shape) []int {
	counts := make([]int, s.Experts)
	for _, r := range assignReplicas(loads, s, s.Ranks*s.Slots) {
		counts[r.expert]++
	}
	// More replicas than the load requires would be fetched without any saving.
	sum := 0.0
	for _, x := range loads {
		sum += x
	}
	for e := range counts {
		useful := int(replicasPerRankLoad*loads[e]*float64(s.Ranks)/max(sum, 1)) + 1
		counts[e] = max(1, min(counts[e], useful))
	}
	return counts
}

// replicasPerRankLoad is the number of replicas that an expert may have for each mean
// rank load that it carries. With more than one, each replica carries well below a
// rank's load, so that the replicas can be balanced among the ranks.
const replicasPerRankLoad = 2

// layerPlacement is the state of placeNearCurrent. usedSlots, fetched and load are
// indexed by rank.
type layerPlacement struct {
	current, slots     []int
	shape              Shape
	fetchPenalty       float64
	maxFetches         int
	usedSlots, fetched []int
	load               []float64
}

// place places count replicas of expert e with a total load on different ranks, or
// as many as there are ranks for. It reports whether at least one was placed.
func (p *layerPlacement) place(e, count int, load float64) bool {
	part := load / float64(count)
	placed := 0
	taken := make([]bool, p.shape.Ranks)
	for range count {
		rank := p.cheapestRank(e, taken)
		if rank < 0 {
			break
		}
		taken[rank] = true
		if !p.holds(rank, e) {
			p.fetched[rank]++
		}
		p.slots[rank*p.shape.Slots+p.usedSlots[rank]] = e
		p.usedSlots[rank]++
		p.load[rank] += part
		placed++
	}
	if placed > 0 && placed < count {
		p.correctLoads(taken, load, part, placed)
	}
	return placed > 0
}

// correctLoads adjusts the loads of the taken ranks if fewer replicas were placed than
// planned. part is the load already counted for each of the placed ones.
func (p *layerPlacement) correctLoads(taken []bool, load, part float64, placed int) {
	for rank, isTaken := range taken {
		if isTaken {
			p.load[rank] += load/float64(placed) - part
		}
	}
}

// cheapestRank returns the rank with the least load, including the fetch penalty, that
// can take a replica of expert e, or -1 if there is none. Ranks in taken already have
// one.
func (p *layerPlacement) cheapestRank(e int, taken []bool) int {
	best, least := -1, 0.0
	for rank := range p.shape.Ranks {
		if taken[rank] || p.usedSlots[rank] >= p.shape.Slots {
			continue
		}
		cost := p.load[rank] / p.shape.speed(rank)
		if !p.holds(rank, e) {
			if p.fetched[rank] >= p.maxFetches {
				continue
			}
			cost += p.fetchPenalty
		}
		if best < 0 || cost < least {
			best, least = rank, cost
		}
	}
	return best
}

// holds reports whether a rank has expert e in the current placement.
func (p *layerPlacement) holds(rank, e int) bool {
	return slices.Contains(p.current[rank*p.shape.Slots:(rank+1)*p.shape.Slots], e)
}

// Sample holds how often the requests of one rank selected each expert in a short
// interval. Counts has one entry per expert, layer after layer, in multiples of Unit.
type Sample struct {
	Counts []uint8
	Unit   float64
}

// NewSample returns the difference of two readings of counters that only rise, modulo
// 2^32. It returns an empty sample if the counters were reset between the readings, or
// if the readings differ in length.
func NewSample(before, after []uint32) Sample {
	if len(before) != len(after) {
		return Sample{}
	}
	most := uint32(0)
	for i := range after {
		most = max(most, after[i]-before[i])
	}
	if most == 0 || most > math.MaxInt32 {
		return Sample{}
	}
	// One byte per count is precise enough: experts with small counts hardly influence
	// the placement.
	s := Sample{Counts: make([]uint8, len(after)), Unit: float64(most) / math.MaxUint8}
	for i := range after {
		s.Counts[i] = uint8(math.Round(float64(after[i]-before[i]) / s.Unit))
	}
	return s
}

// LoadEstimator estimates the loads of the next steps from samples.
type LoadEstimator struct {
	shape Shape
	// pending is the sum of the samples since updatedAt, expected the estimate, nil
	// before the first update with samples.
	pending    Loads
	hasPending bool
	updatedAt  time.Time
	expected   Loads
}

const (
	// loadHalfLife is the interval between two updates after which the previous estimate
	// keeps half of its weight. It is short because counts of a tenth of a second already
	// hold millions of selections: old counts are worse than few counts.
	loadHalfLife = 200 * time.Millisecond
	// shiftThreshold is the share of the selections that must fall on other experts
	// than estimated for the previous estimate to be discarded at once.
	shiftThreshold = 0.2
)

// NewLoadEstimator returns an estimator without any samples.
func NewLoadEstimator(s Shape) *LoadEstimator {
	e := &LoadEstimator{shape: s}
	e.resetPending()
	return e
}

// resetPending discards the pending samples.
func (e *LoadEstimator) resetPending() {
	e.pending, e.hasPending = make(Loads, e.shape.Layers), false
	for l := range e.pending {
		e.pending[l] = make([]float64, e.shape.Experts)
	}
}

// Add adds a rank's sample. A sample whose length does not match the shape is ignored.
func (e *LoadEstimator) Add(s Sample) {
	if len(s.Counts) != e.shape.Layers*e.shape.Experts {
		return
	}
	e.hasPending = true
	for i, n := range s.Counts {
		e.pending[i/e.shape.Experts][i%e.shape.Experts] += float64(n) * s.Unit
	}
}

// Update updates the estimate at now with the samples added since the last call. The
// estimate stays as it is without any.
func (e *LoadEstimator) Update(now time.Time) {
	age := now.Sub(e.updatedAt)
	e.updatedAt = now
	switch {
	case !e.hasPending:
	case e.expected == nil || loadDistance(e.expected, e.pending) > shiftThreshold:
		e.expected = e.pending
	default:
		e.expected = movingAverage(e.expected, e.pending, float64(age)/float64(age+loadHalfLife))
	}
	e.resetPending()
}

// Expected returns the estimated loads, and false before there is an estimate.
func (e *LoadEstimator) Expected() (Loads, bool) { return e.expected, e.expected != nil }

// loadDistance returns the share of the selections that fall on other experts in a
// than in b, between 0 and 1, as the mean over the layers. Layers without selections
// count as equal.
func loadDistance(a, b Loads) float64 {
	sum := 0.0
	for l := range a {
		x, y := sumLoads(a[l]), sumLoads(b[l])
		if x == 0 || y == 0 {
			continue
		}
		for e := range a[l] {
			sum += math.Abs(a[l][e]/x-b[l][e]/y) / 2
		}
	}
	return sum / float64(max(len(a), 1))
}

// sumLoads returns the sum of the loads of one layer.
func sumLoads(loads []float64) float64 {
	sum := 0.0
	for _, x := range loads {
		sum += x
	}
	return sum
}
