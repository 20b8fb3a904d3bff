package group

import (
	"cmp"
	"container/heap"
	"slices"
)

// Loads are the tokens that each expert of each layer got, by layer and expert.
type Loads [][]float64

// Empty marks a slot that holds no expert.
const EmptySlot = -1

// Map places the experts of all layers on the slots of a group's ranks.
type Map struct {
	Version uint64 `json:"version"`
	Ranks   int    `json:"ranks"`
	// Slots is the number of experts of one layer that each rank holds.
	Slots int `json:"slots"`
	// Layers has, for each layer, the expert in each slot: those of the first
	// rank, then those of the second, and so on.
	Layers [][]int `json:"layers"`
}

// Clone returns a copy that shares nothing with m.
func (m Map) Clone() Map {
	out := m
	out.Layers = make([][]int, len(m.Layers))
	for i, l := range m.Layers {
		out.Layers[i] = slices.Clone(l)
	}
	return out
}

// Moves returns the number of experts that ranks have to fetch to go from m to
// another map: those that a rank holds in the other and not in m.
func (m Map) Moves(to Map) int {
	n := 0
	for i := range m.Layers {
		for r := range m.Ranks {
			held := m.Layers[i][r*m.Slots : (r+1)*m.Slots]
			for _, e := range to.Layers[i][r*m.Slots : (r+1)*m.Slots] {
				if e != EmptySlot && !slices.Contains(held, e) {
					n++
				}
			}
		}
	}
	return n
}

// Shape is the size of a group's placement.
type Shape struct {
	Ranks, Experts, Layers int
	// Slots is the number of experts of one layer that a rank has memory for.
	Slots int
	// Speed is each rank's speed relative to the group's typical one; nil for
	// equal ranks.
	Speed []float64
}

func (s Shape) speed(rank int) float64 {
	if rank >= len(s.Speed) || s.Speed[rank] <= 0 {
		return 1
	}
	return s.Speed[rank]
}

// DefaultSlots is one slot more than an even share.
func DefaultSlots(experts, ranks int) int { return (experts+ranks-1)/ranks + 1 }

// Uniform returns the map of a group that knows no loads: experts in turn.
func Uniform(s Shape) Map {
	m := Map{Ranks: s.Ranks, Slots: s.Slots, Layers: make([][]int, s.Layers)}
	for l := range m.Layers {
		m.Layers[l] = uniformLayer(s)
	}
	return m
}

// uniformLayer deals the experts out to the ranks in turn, passing over those
// that a rank has already.
func uniformLayer(s Shape) []int {
	layer := make([]int, s.Ranks*s.Slots)
	next := 0
	for slot := range s.Slots {
		for r := range s.Ranks {
			held := layer[r*s.Slots : r*s.Slots+slot]
			for slot < s.Experts && slices.Contains(held, next%s.Experts) {
				next++
			}
			layer[r*s.Slots+slot] = next % s.Experts
			next++
		}
	}
	return layer
}

// rankTimes returns the time of each rank in one layer, in units of load.
// Replicas of an expert share its load evenly.
func rankTimes(layer []int, loads []float64, s Shape, into []float64) []float64 {
	replicas := make([]int, s.Experts)
	for _, e := range layer {
		if e != EmptySlot {
			replicas[e]++
		}
	}
	into = into[:0]
	for r := range s.Ranks {
		t := 0.0
		for _, e := range layer[r*s.Slots : (r+1)*s.Slots] {
			if e != EmptySlot {
				t += loads[e] / float64(replicas[e])
			}
		}
		into = append(into, t/s.speed(r))
	}
	return into
}

// StepTime is the time of a step in units of load: in each layer all ranks wait
// for the slowest. Mean is the lower bound, with every layer spread evenly.
func StepTime(m Map, loads Loads, s Shape) (slowest, mean float64) {
	var times []float64
	speeds := 0.0
	for r := range s.Ranks {
		speeds += s.speed(r)
	}
	for l, layer := range m.Layers {
		times = rankTimes(layer, loads[l], s, times)
		slowest += slices.Max(times)
		for _, x := range loads[l] {
			mean += x / speeds
		}
	}
	return slowest, mean
}

// Skew is the slowest rank's time over the mean.
func Skew(m Map, loads Loads, s Shape) float64 {
	slowest, mean := StepTime(m, loads, s)
	if mean == 0 {
		return 1
	}
	return slowest / mean
}

// Greedy places all experts afresh: replicas go to the experts with the highest
// load per replica, then the heaviest replicas to the least loaded ranks.
func Greedy(loads Loads, s Shape) Map {
	m := Map{Ranks: s.Ranks, Slots: s.Slots, Layers: make([][]int, s.Layers)}
	for l := range m.Layers {
		m.Layers[l] = greedyLayer(loads[l], s)
	}
	return m
}

// replica is one copy of an expert and its share of the load.
type replica struct {
	expert int
	load   float64
}

func greedyLayer(loads []float64, s Shape) []int {
	capacity, total := capacities(s)
	items := replicasOf(loads, s, total)
	slices.SortFunc(items, func(a, b replica) int {
		return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.expert, b.expert))
	})
	ranks := &rankHeap{shape: s}
	for r := range s.Ranks {
		if capacity[r] > 0 {
			ranks.bins = append(ranks.bins, &bin{rank: r, free: capacity[r]})
		}
	}
	layer := slices.Repeat([]int{EmptySlot}, s.Ranks*s.Slots)
	for _, item := range items {
		ranks.place(item, layer)
	}
	return layer
}

// capacities returns the slots of each rank to be filled. A slow rank is given
// fewer, as long as all experts have room.
func capacities(s Shape) (each []int, total int) {
	for r := range s.Ranks {
		n := min(int(float64(s.Slots)*s.speed(r)+0.5), s.Slots)
		each = append(each, n)
		total += n
	}
	for r := 0; total < s.Experts && r < s.Ranks; r++ {
		total += s.Slots - each[r]
		each[r] = s.Slots
	}
	return each, total
}

// replicasOf hands out the slots of a layer: one to each expert, the others to
// whichever has most load per replica, but no more than one a rank.
func replicasOf(loads []float64, s Shape, total int) []replica {
	count := make([]int, s.Experts)
	h := &expertHeap{loads: loads, count: count}
	for e := range s.Experts {
		count[e] = 1
		h.order = append(h.order, e)
	}
	heap.Init(h)
	for range max(total-s.Experts, 0) {
		e := h.order[0]
		count[e]++
		if count[e] >= s.Ranks && len(h.order) > 1 {
			heap.Pop(h)
			continue
		}
		heap.Fix(h, 0)
	}
	var out []replica
	for e, n := range count {
		for range n {
			out = append(out, replica{e, loads[e] / float64(n)})
		}
	}
	return out[:min(len(out), total)]
}

// expertHeap orders experts by load per replica, the highest first.
type expertHeap struct {
	loads []float64
	count []int
	order []int
}

func (h *expertHeap) Len() int { return len(h.order) }
func (h *expertHeap) Less(i, j int) bool {
	a, b := h.order[i], h.order[j]
	x, y := h.loads[a]/float64(h.count[a]), h.loads[b]/float64(h.count[b])
	return x > y || x == y && a < b
}
func (h *expertHeap) Swap(i, j int) { h.order[i], h.order[j] = h.order[j], h.order[i] }
func (h *expertHeap) Push(any)      {} // nothing is pushed
func (h *expertHeap) Pop() any {
	last := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return last
}

// bin is one rank being filled.
type bin struct {
	rank    int
	free    int
	time    float64
	experts []int
}

// rankHeap orders ranks with free slots by their time, the lowest first.
type rankHeap struct {
	shape Shape
	bins  []*bin
}

func (h *rankHeap) Len() int { return len(h.bins) }
func (h *rankHeap) Less(i, j int) bool {
	a, b := h.bins[i], h.bins[j]
	return a.time < b.time || a.time == b.time && a.rank < b.rank
}
func (h *rankHeap) Swap(i, j int) { h.bins[i], h.bins[j] = h.bins[j], h.bins[i] }
func (h *rankHeap) Push(x any)    { h.bins = append(h.bins, x.(*bin)) }
func (h *rankHeap) Pop() any {
	last := h.bins[len(h.bins)-1]
	h.bins = h.bins[:len(h.bins)-1]
	return last
}

// place puts a replica on the least loaded rank that does not hold its expert.
func (h *rankHeap) place(item replica, layer []int) {
	var passed []*bin
	b := heap.Pop(h).(*bin)
	for slices.Contains(b.experts, item.expert) && h.Len() > 0 {
		passed = append(passed, b)
		b = heap.Pop(h).(*bin)
	}
	layer[b.rank*h.shape.Slots+len(b.experts)] = item.expert
	b.experts = append(b.experts, item.expert)
	b.time += item.load / h.shape.speed(b.rank)
	if len(b.experts) < b.free {
		passed = append(passed, b)
	}
	for _, p := range passed {
		heap.Push(h, p)
	}
}

// ByRank returns the experts by layer and rank.
func (m Map) ByLayerAndRank() [][][]int {
	out := make([][][]int, len(m.Layers))
	for l, layer := range m.Layers {
		out[l] = make([][]int, m.Ranks)
		for r := range m.Ranks {
			out[l][r] = slices.DeleteFunc(slices.Clone(layer[r*m.Slots:(r+1)*m.Slots]), func(e int) bool { return e == EmptySlot })
		}
	}
	return out
}

// MapOf returns the map of the experts by rank and layer.
func MapFromRanks(version uint64, byRank [][][]int, s Shape) Map {
	m := Map{Version: version, Ranks: s.Ranks, Slots: s.Slots, Layers: make([][]int, s.Layers)}
	for l := range m.Layers {
		m.Layers[l] = slices.Repeat([]int{EmptySlot}, s.Ranks*s.Slots)
		for r, layers := range byRank {
			if l < len(layers) {
				copy(m.Layers[l][r*s.Slots:(r+1)*s.Slots], layers[l])
			}
		}
	}
	return m
}
