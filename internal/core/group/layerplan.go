package group

import (
	"slices"
)

// Limits of the search in a layer.
const (
	// reliefTargets is the number of least loaded ranks that may take load from the
	// slowest rank.
	reliefTargets = 8
	// maxReliefs is the maximum number of reliefs that form one improvement. Where
	// several ranks are about equally slow, only relieving all of them saves time.
	maxReliefs = 12
	// minRelief is the smallest reduction of a time that counts, as a share of the mean.
	// It is above the rounding errors.
	minRelief = 1e-6
)

// layerPlan is the placement of one layer while a new map is planned.
type layerPlan struct {
	shape Shape
	// before is the placement in use, slots the planned one.
	before, slots []int
	// loads are the experts' loads in units of the ranks' mean load.
	loads []float64
	// holders lists the ranks that hold each expert.
	holders [][]int
	// times is the time of each rank in units of the mean, fetches the number of experts
	// that it has to fetch.
	times   []float64
	fetches []int
	// improvement is the best improvement of the placement if searched is true.
	improvement improvement
	searched    bool
}

// improvement is a series of changes that makes the slowest rank of a layer faster.
type improvement struct {
	changes []slotChange
	// saving is the reduction of the slowest rank's time, as a share of the mean.
	saving float64
	// fetches is the number of experts that have to be fetched for it.
	fetches int
}

// perFetch returns the saving per fetch. An improvement without fetches counts as half
// of one.
func (i improvement) perFetch() float64 { return i.saving / max(float64(i.fetches), 0.5) }

// slotChange replaces the expert in a slot by another one.
type slotChange struct{ slot, from, to int }

// newLayerPlan returns the plan that keeps the placement of a layer.
func newLayerPlan(layer []int, loads []float64, s Shape) *layerPlan {
	p := &layerPlan{
		shape: s, before: layer, slots: slices.Clone(layer), loads: make([]float64, s.Experts), holders: make([][]int, s.Experts),
		times: make([]float64, s.Ranks), fetches: make([]int, s.Ranks),
	}
	if sum := sumLoads(loads); sum > 0 {
		for e, x := range loads {
			p.loads[e] = x * float64(s.Ranks) / sum
		}
	}
	for slot, e := range layer {
		if e != EmptySlot {
			p.holders[e] = append(p.holders[e], slot/s.Slots)
		}
	}
	for e := range p.holders {
		p.addTimes(e, 1)
	}
	return p
}

// share returns the time that an expert takes at each of its holders.
func (p *layerPlan) share(e int) float64 { return p.loads[e] / float64(len(p.holders[e])) }

// addTimes adds the time that an expert takes to its holders, multiplied by sign.
func (p *layerPlan) addTimes(e int, sign float64) {
	for _, rank := range p.holders[e] {
		p.times[rank] += sign * p.share(e) / p.shape.speed(rank)
	}
}

// experts returns the contents of the slots of a rank.
func (p *layerPlan) experts(rank int) []int {
	return p.slots[rank*p.shape.Slots : (rank+1)*p.shape.Slots]
}

// mustFetch returns 1 if a rank does not hold an expert in the placement in use, else 0.
func (p *layerPlan) mustFetch(rank, e int) int {
	if slices.Contains(p.before[rank*p.shape.Slots:(rank+1)*p.shape.Slots], e) {
		return 0
	}
	return 1
}

// set puts an expert, or EmptySlot, into a slot.
func (p *layerPlan) set(slot, e int) slotChange {
	c := slotChange{slot, p.slots[slot], e}
	rank := slot / p.shape.Slots
	if c.from != EmptySlot {
		p.addTimes(c.from, -1)
		i := slices.Index(p.holders[c.from], rank)
		p.holders[c.from] = slices.Delete(p.holders[c.from], i, i+1)
		p.addTimes(c.from, 1)
		p.fetches[rank] -= p.mustFetch(rank, c.from)
	}
	if e != EmptySlot {
		p.addTimes(e, -1)
		p.holders[e] = append(p.holders[e], rank)
		p.addTimes(e, 1)
		p.fetches[rank] += p.mustFetch(rank, e)
	}
	p.slots[slot] = e
	return c
}

// revert undoes changes, which must be the latest ones.
func (p *layerPlan) revert(changes []slotChange) {
	for _, c := range slices.Backward(changes) {
		p.set(c.slot, c.from)
	}
	p.searched = false
}

// applyImprovement applies the improvement that was found.
func (p *layerPlan) applyImprovement() {
	for _, c := range p.improvement.changes {
		p.set(c.slot, c.to)
	}
	p.searched = false
}

// search sets the improvement with the largest saving per fetch. allowance is the number
// of fetches that each rank may make in this layer.
func (p *layerPlan) search(allowance []int, c ReplanConfig) {
	p.improvement = improvement{}
	start, fetches := p.slowestTime(), p.fetchCount()
	var changes []slotChange
	for range maxReliefs {
		r, ok := p.bestRelief(allowance)
		if !ok {
			break
		}
		changes = append(changes, p.relieve(r)...)
		next := improvement{saving: start - p.slowestTime(), fetches: p.fetchCount() - fetches}
		if next.saving > minRelief && next.perFetch() > p.improvement.perFetch() {
			next.changes = slices.Clone(changes)
			p.improvement = next
		}
	}
	p.revert(changes)
	p.searched = true
}

func (p *layerPlan) slowestTime() float64 { return slices.Max(p.times) }

func (p *layerPlan) fetchCount() int {
	n := 0
	for _, f := range p.fetches {
		n += f
	}
	return n
}

// leastLoaded returns up to reliefTargets ranks with the shortest times, in ascending
// order.
func (p *layerPlan) leastLoaded() []int {
	out := make([]int, 0, reliefTargets+1)
	for rank, t := range p.times {
		if len(out) == reliefTargets && t >= p.times[out[reliefTargets-1]] {
			continue
		}
		i := len(out)
		for i > 0 && p.times[out[i-1]] > t {
			i--
		}
		out = slices.Insert(out, i, rank)
		out = out[:min(len(out), reliefTargets)]
	}
	return out
}
