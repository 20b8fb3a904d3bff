package group

import (
	"cmp"
	"slices"
	"time"
)

// ReplanRules bound what one change of a map may do.
type ReplanRules struct {
	// Fetches is the most experts that one rank may have to fetch for a change,
	// over all layers: the change waits for the slowest rank.
	Fetches int
	// Spare is the most experts of one layer that a rank may have to fetch.
	Spare int
	// Least is the least share of the mean step that a layer's change must save,
	// for each expert that the busiest rank fetches.
	Least float64
	// Stay is the share of a rank's mean load that holding an expert already is
	// worth in the placement.
	Stay float64
}

// replanned is a layer's new placement and what comes of it.
type replanned struct {
	layer int
	slots []int
	saved float64
	// fetches counts, for each rank, the experts that it does not hold yet.
	fetches []int
}

// Replan returns the map to change to for the loads that are expected, and false
// when no change is worth its fetches. The layers that save most come first, as
// far as no rank fetches more than the rules allow; what is left is done by the
// next change.
func Replan(current Map, loads Loads, s Shape, r ReplanRules) (Map, bool) {
	var plans []replanned
	for l := range current.Layers {
		if p, ok := replanLayer(current.Layers[l], loads[l], s, r); ok {
			p.layer = l
			plans = append(plans, p)
		}
	}
	slices.SortStableFunc(plans, func(a, b replanned) int { return cmp.Compare(b.worth(), a.worth()) })
	next := current.Clone()
	total := make([]int, s.Ranks)
	changed := false
	for _, p := range plans {
		if !fits(total, p.fetches, r.Fetches) && changed {
			continue
		}
		for rank, n := range p.fetches {
			total[rank] += n
		}
		next.Layers[p.layer] = p.slots
		changed = true
	}
	return next, changed
}

// worth is what a layer's change saves for the time that its fetches take.
func (p replanned) worth() float64 { return p.saved / float64(max(slices.Max(p.fetches), 1)) }

func fits(total, more []int, most int) bool {
	for rank := range total {
		if total[rank]+more[rank] > most {
			return false
		}
	}
	return true
}

// replanLayer places one layer anew and tells whether that is worth it.
func replanLayer(layer []int, loads []float64, s Shape, r ReplanRules) (replanned, bool) {
	mean := 0.0
	for _, x := range loads {
		mean += x / float64(s.Ranks)
	}
	if mean == 0 {
		return replanned{}, false
	}
	before := slices.Max(rankTimes(layer, loads, s, nil))
	best := replanned{}
	// A stronger preference for what is held fetches less; the cheapest placement
	// for what it saves is taken.
	for _, stay := range []float64{r.Stay, 4 * r.Stay, 16 * r.Stay} {
		slots, ok := placeNear(layer, loads, s, stay*mean, r.Spare)
		if !ok {
			continue
		}
		p := replanned{slots: slots, fetches: fetches(layer, slots, s)}
		p.saved = (before - slices.Max(rankTimes(slots, loads, s, nil))) / mean
		if best.slots == nil || p.worth() > best.worth() {
			best = p
		}
	}
	if best.slots == nil {
		return best, false
	}
	return best, best.saved > r.Least*float64(max(slices.Max(best.fetches), 1))
}

// fetches counts the experts that each rank has to fetch to go from one layer to
// another.
func fetches(from, to []int, s Shape) []int {
	out := make([]int, s.Ranks)
	for slot, e := range to {
		rank := slot / s.Slots
		if e != Empty && !slices.Contains(from[rank*s.Slots:(rank+1)*s.Slots], e) {
			out[rank]++
		}
	}
	return out
}

// placeNear places the experts of one layer, the heaviest first: each replica
// goes to the rank with the least load, where not holding the expert yet counts
// as much as a load of stay. It fails when an expert finds no place.
func placeNear(held []int, loads []float64, s Shape, stay float64, spare int) ([]int, bool) {
	p := &placement{held: held, shape: s, stay: stay, spare: spare}
	p.slots = slices.Repeat([]int{Empty}, s.Ranks*s.Slots)
	p.used, p.fetched, p.load = make([]int, s.Ranks), make([]int, s.Ranks), make([]float64, s.Ranks)
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

// replicaCounts returns how many ranks hold each expert: one, and more for those
// whose load is above what a rank may carry of one expert.
func replicaCounts(loads []float64, s Shape) []int {
	counts := make([]int, s.Experts)
	for _, r := range replicasOf(loads, s, s.Ranks*s.Slots) {
		counts[r.expert]++
	}
	// Copies that no load asks for would only be fetched for nothing.
	sum := 0.0
	for _, x := range loads {
		sum += x
	}
	for e := range counts {
		useful := int(usefulReplicas*loads[e]*float64(s.Ranks)/max(sum, 1)) + 1
		counts[e] = max(1, min(counts[e], useful))
	}
	return counts
}

// usefulReplicas is how many replicas an expert gets for each mean rank's load
// that it carries: parts well below a rank's share can be balanced.
const usefulReplicas = 4

// placement is a layer while it is placed.
type placement struct {
	held, slots   []int
	shape         Shape
	stay          float64
	spare         int
	used, fetched []int
	load          []float64
}

// place puts the replicas of an expert on ranks of their own.
func (p *placement) place(e, count int, load float64) bool {
	part := load / float64(count)
	placed := 0
	taken := make([]bool, p.shape.Ranks)
	for range count {
		rank := p.cheapest(e, taken)
		if rank < 0 {
			break
		}
		taken[rank] = true
		if !p.holds(rank, e) {
			p.fetched[rank]++
		}
		p.slots[rank*p.shape.Slots+p.used[rank]] = e
		p.used[rank]++
		p.load[rank] += part
		placed++
	}
	if placed > 0 && placed < count {
		p.spread(taken, load, part, placed)
	}
	return placed > 0
}

// spread corrects the loads where fewer replicas found a place.
func (p *placement) spread(taken []bool, load, part float64, placed int) {
	for rank, is := range taken {
		if is {
			p.load[rank] += load/float64(placed) - part
		}
	}
}

// cheapest returns the rank for one more replica, -1 without one.
func (p *placement) cheapest(e int, taken []bool) int {
	best, least := -1, 0.0
	for rank := range p.shape.Ranks {
		if taken[rank] || p.used[rank] >= p.shape.Slots {
			continue
		}
		cost := p.load[rank] / p.shape.speed(rank)
		if !p.holds(rank, e) {
			if p.fetched[rank] >= p.spare {
				continue
			}
			cost += p.stay
		}
		if best < 0 || cost < least {
			best, least = rank, cost
		}
	}
	return best
}

func (p *placement) holds(rank, e int) bool {
	return slices.Contains(p.held[rank*p.shape.Slots:(rank+1)*p.shape.Slots], e)
}

// Demand estimates the loads of the next steps from counts that only rise.
type Demand struct {
	// last are the latest counts of each rank, mixed what is expected.
	last  map[string][]uint32
	at    time.Time
	mixed Loads
}

// demandTime is the time over which what was counted loses two thirds of its
// weight: long enough to hold a few requests of each kind, and short against
// changes of what callers ask.
const demandTime = 700 * time.Millisecond

// NewDemand returns a demand that has seen nothing.
func NewDemand() *Demand { return &Demand{last: map[string][]uint32{}} }

// Count takes in the counts of all ranks at now, by layer and expert in one
// list. A rank whose counts began anew counts from the next time on. It returns
// the loads that are expected, false before any are known.
func (d *Demand) Count(counts map[string][]uint32, s Shape, now time.Time) (Loads, bool) {
	fresh := make(Loads, s.Layers)
	for l := range fresh {
		fresh[l] = make([]float64, s.Experts)
	}
	sum := 0.0
	for rank, c := range counts {
		last := d.last[rank]
		d.last[rank] = c
		if len(c) != s.Layers*s.Experts || len(last) != len(c) {
			continue
		}
		for i := range c {
			// Counts may pass the range of the type; a fall of more is a new start.
			if n := c[i] - last[i]; n < 1<<31 {
				fresh[i/s.Experts][i%s.Experts] += float64(n)
				sum += float64(n)
			}
		}
	}
	gain := 1.0
	if !d.at.IsZero() && d.mixed != nil {
		age := now.Sub(d.at)
		gain = float64(age) / float64(age+demandTime)
	}
	d.at = now
	if sum > 0 {
		d.mixed = average(d.mixed, fresh, gain)
	}
	return d.mixed, d.mixed != nil
}
