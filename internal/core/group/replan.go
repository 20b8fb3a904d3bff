package group

import (
	"cmp"
	"math"
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
	// Least is the least share of a rank's mean load in a layer that a change must
	// save, for each expert that the busiest rank fetches.
	Least float64
	// Stay is the share of a rank's mean load that holding an expert already is
	// worth in the placement.
	Stay float64
}

// option is one way to place a layer anew.
type option struct {
	slots []int
	// saved is in shares of the layer's mean load of a rank.
	saved float64
	// fetches counts, for each rank, the experts that it does not hold yet, most
	// is the largest of them.
	fetches []int
	most    int
}

// Replan returns the map to change to for the loads that are expected, and false
// when no change is worth its fetches. What saves most for the time that it takes
// comes first, in all layers, as far as no rank fetches more than the rules
// allow; the next change does the rest.
func Replan(current Map, loads Loads, s Shape, r ReplanRules) (Map, bool) {
	options := make([][]option, len(current.Layers))
	for l := range current.Layers {
		options[l] = replanLayer(current.Layers[l], loads[l], s, r)
	}
	chosen := make([]option, len(options))
	for l := range chosen {
		chosen[l].fetches = make([]int, s.Ranks)
	}
	total := make([]int, s.Ranks)
	for {
		layer, next := bestUpgrade(options, chosen, total, r)
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

// bestUpgrade returns the layer and the option that saves most beyond what is
// chosen, for each expert that its busiest rank fetches more; -1 for none.
func bestUpgrade(options [][]option, chosen []option, total []int, r ReplanRules) (int, option) {
	layer, best, most := -1, option{}, 0.0
	for l, list := range options {
		for _, o := range list {
			more := o.saved - chosen[l].saved
			worth := more / float64(max(o.most-chosen[l].most, 1))
			if worth < r.Least || worth <= most || !fits(total, chosen[l].fetches, o.fetches, r.Fetches) {
				continue
			}
			layer, best, most = l, o, worth
		}
	}
	return layer, best
}

// fits tells whether no rank fetches more than most with other fetches in place
// of some.
func fits(total, without, with []int, most int) bool {
	for rank := range total {
		if total[rank]-without[rank]+with[rank] > most {
			return false
		}
	}
	return true
}

// stays are the preferences for what is held that are tried, in multiples of the
// rules': a stronger one fetches less.
var stays = []float64{1, 4, 16}

// replanLayer returns the ways to place a layer anew that save something, with
// rising numbers of fetches.
func replanLayer(layer []int, loads []float64, s Shape, r ReplanRules) []option {
	mean := 0.0
	for _, x := range loads {
		mean += x / float64(s.Ranks)
	}
	if mean == 0 {
		return nil
	}
	before := slices.Max(rankTimes(layer, loads, s, nil))
	if before <= (1+r.Least)*mean {
		return nil
	}
	var out []option
	for spare := 1; spare <= min(r.Spare, r.Fetches); spare++ {
		for _, stay := range stays {
			slots, ok := placeNear(layer, loads, s, stay*r.Stay*mean, spare)
			if !ok {
				continue
			}
			o := option{slots: slots, fetches: fetches(layer, slots, s)}
			o.most = slices.Max(o.fetches)
			if o.saved = (before - slices.Max(rankTimes(slots, loads, s, nil))) / mean; o.saved > 0 {
				out = append(out, o)
			}
		}
	}
	return out
}

// fetches counts the experts that each rank has to fetch to go from one layer to
// another.
func fetches(from, to []int, s Shape) []int {
	out := make([]int, s.Ranks)
	for slot, e := range to {
		rank := slot / s.Slots
		if e != EmptySlot && !slices.Contains(from[rank*s.Slots:(rank+1)*s.Slots], e) {
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
	p.slots = slices.Repeat([]int{EmptySlot}, s.Ranks*s.Slots)
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
const usefulReplicas = 2

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

// Sample is how often each expert was chosen by one rank's requests in a short
// time, by layer and expert in one list: Counts in units of Unit.
type Sample struct {
	Counts []uint8
	Unit   float64
}

// NewSample returns what was chosen between two counts that only rise, modulo
// 2^32. Counts that began anew, or of another length, make an empty sample.
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
	// One byte a count is precise enough: what weighs little needs no place of
	// its own.
	s := Sample{Counts: make([]uint8, len(after)), Unit: float64(most) / math.MaxUint8}
	for i := range after {
		s.Counts[i] = uint8(math.Round(float64(after[i]-before[i]) / s.Unit))
	}
	return s
}

// Demand estimates the loads of the next steps from samples.
type Demand struct {
	shape Shape
	// fresh sums the samples since at, mixed is what is expected.
	fresh Loads
	seen  bool
	at    time.Time
	mixed Loads
}

const (
	// demandTime is the time over which what was counted loses half of its weight.
	// Counts of a tenth of a second hold millions of choices: what is old is
	// worse than what is few.
	demandTime = 200 * time.Millisecond
	// shiftDistance is the part of the choices that must fall on other experts
	// than expected, for what was counted before to be forgotten at once.
	shiftDistance = 0.2
)

// NewDemand returns a demand that has seen nothing.
func NewDemand(s Shape) *Demand {
	d := &Demand{shape: s}
	d.clear()
	return d
}

func (d *Demand) clear() {
	d.fresh, d.seen = make(Loads, d.shape.Layers), false
	for l := range d.fresh {
		d.fresh[l] = make([]float64, d.shape.Experts)
	}
}

// Add takes in a rank's sample. One of another shape is left out.
func (d *Demand) Add(s Sample) {
	if len(s.Counts) != d.shape.Layers*d.shape.Experts {
		return
	}
	d.seen = true
	for i, n := range s.Counts {
		d.fresh[i/d.shape.Experts][i%d.shape.Experts] += float64(n) * s.Unit
	}
}

// Mix brings the samples added since the last call into what is expected.
func (d *Demand) Mix(now time.Time) {
	age := now.Sub(d.at)
	d.at = now
	switch {
	case !d.seen:
	case d.mixed == nil || distance(d.mixed, d.fresh) > shiftDistance:
		d.mixed = d.fresh
	default:
		d.mixed = average(d.mixed, d.fresh, float64(age)/float64(age+demandTime))
	}
	d.clear()
}

// Expected returns the loads that are expected, false before any are known.
func (d *Demand) Expected() (Loads, bool) { return d.mixed, d.mixed != nil }

// distance is the part of all choices that falls on other experts in a than in
// b, the mean of the layers.
func distance(a, b Loads) float64 {
	sum := 0.0
	for l := range a {
		x, y := total(a[l]), total(b[l])
		if x == 0 || y == 0 {
			continue
		}
		for e := range a[l] {
			sum += math.Abs(a[l][e]/x-b[l][e]/y) / 2
		}
	}
	return sum / float64(max(len(a), 1))
}

func total(loads []float64) float64 {
	sum := 0.0
	for _, x := range loads {
		sum += x
	}
	return sum
}
