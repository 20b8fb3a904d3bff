package group

import (
	"cmp"
	"container/heap"
	"slices"
)

// Loads holds the number of tokens routed to each expert, by layer and expert.
type Loads [][]float64

// EmptySlot marks a slot that holds no expert.
const EmptySlot = -1

// Map is an expert map: it assigns the experts of all layers to the slots of a
// group's ranks. An expert may be on several ranks.
type Map struct {
	Version uint64 `json:"version"`
	Ranks   int    `json:"ranks"`
	// Slots is the number of slots that each rank has for experts of one layer.
	Slots int `json:"slots"`
	// Layers holds, for each layer, the expert in each slot: the slots of the first
	// rank come first, then those of the second, and so on.
	Layers [][]int `json:"layers"`
}

// Clone returns a deep copy of m.
func (m Map) Clone() Map {
	out := m
	out.Layers = make([][]int, len(m.Layers))
	for i, l := range m.Layers {
		out.Layers[i] = slices.Clone(l)
	}
	return out
}

// Moves returns the number of experts that the ranks have to fetch to change from m
// to another map, summed over layers and ranks.
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

// Shape holds the dimensions of a group's expert map and the speeds of its ranks.
type Shape struct {
	Ranks, Experts, Layers int
	// Slots is the number of experts of one layer that fit into a rank's memory.
	Slots int
	// Speed is each rank's speed relative to a typical rank of the group, nil for
	// ranks of equal speed.
	Speed []float64
}

// speed returns the relative speed of a rank, 1 if it is not set.
func (s Shape) speed(rank int) float64 {
	if rank >= len(s.Speed) || s.Speed[rank] <= 0 {
		return 1
	}
	return s.Speed[rank]
}

// DefaultSlots returns the number of slots per rank and layer for a group that does
// not set it: one more than an even share of the experts, which leaves room for
// replicas.
func DefaultSlots(experts, ranks int) int { return (experts+ranks-1)/ranks + 1 }

// Uniform returns the map of a group whose loads are unknown. It assigns the experts
// to the ranks in round-robin order.
func Uniform(s Shape) Map {
	m := Map{Ranks: s.Ranks, Slots: s.Slots, Layers: make([][]int, s.Layers)}
	for l := range m.Layers {
		m.Layers[l] = uniformLayer(s)
	}
	return m
}

// uniformLayer assigns the experts of one layer to the ranks in round-robin order,
// skipping those that a rank already holds.
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

// rankTimes returns the time of each rank in one layer, in units of load. Replicas of
// an expert share its load evenly. The result reuses the memory of into.
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

// StepTime returns the time of a step in units of load, as the sum over the layers:
// in each layer all ranks wait for the slowest one. mean is the time with an even
// distribution of every layer's load, which is a lower bound.
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

// Skew returns the ratio of the step time to its lower bound, both as returned by
// StepTime. It is 1 for a perfectly balanced map, and without any loads.
func Skew(m Map, loads Loads, s Shape) float64 {
	slowest, mean := StepTime(m, loads, s)
	if mean == 0 {
		return 1
	}
	return slowest / mean
}

// Greedy returns a map that is made from scratch for the loads. It gives additional
// replicas to the experts with the highest load per replica, then places the replicas
// on the least loaded ranks in descending order of load.
func Greedy(loads Loads, s Shape) Map {
	m := Map{Ranks: s.Ranks, Slots: s.Slots, Layers: make([][]int, s.Layers)}
	for l := range m.Layers {
		m.Layers[l] = greedyLayer(loads[l], s)
	}
	return m
}

// replica is one copy of an expert with its share of the expert's load.
type replica struct {
	expert int
	load   float64
}

// greedyLayer places the experts of one layer as Greedy does.
func greedyLayer(loads []float64, s Shape) []int {
	capacity, total := capacities(s)
	items := assignReplicas(loads, s, total)
	slices.SortFunc(items, func(a, b replica) int {
		return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.expert, b.expert))
	})
	ranks := &rankHeap{shape: s}
	for r := range s.Ranks {
		if capacity[r] > 0 {
			ranks.bins = append(ranks.bins, &bin{rank: r, capacity: capacity[r]})
		}
	}
	layer := slices.Repeat([]int{EmptySlot}, s.Ranks*s.Slots)
	for _, item := range items {
		ranks.place(item, layer)
	}
	return layer
}

// capacities returns the number of slots to fill at each rank and their sum. A slow
// rank gets fewer in proportion to its speed, unless the experts need its slots.
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

// assignReplicas distributes the slots of a layer among its experts: one to each, the
// others one by one to the expert with the highest load per replica so far, up to one
// replica per rank. The result is in the order of the experts.
func assignReplicas(loads []float64, s Shape, total int) []replica {
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

// expertHeap is a heap of experts by load per replica, the highest first. count is
// the number of replicas of each expert.
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
func (h *expertHeap) Push(any)      {} // required by heap.Interface, never called
func (h *expertHeap) Pop() any {
	last := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return last
}

// bin is a rank while experts are assigned to its slots. time is the sum of its loads
// divided by its speed.
type bin struct {
	rank     int
	capacity int
	time     float64
	experts  []int
}

// rankHeap is a heap of the ranks that have free slots by their time, the lowest
// first.
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

// place assigns a replica to the least loaded rank that does not hold its expert,
// and writes it to the rank's next slot of layer.
func (h *rankHeap) place(item replica, layer []int) {
	var skipped []*bin
	b := heap.Pop(h).(*bin)
	for slices.Contains(b.experts, item.expert) && h.Len() > 0 {
		skipped = append(skipped, b)
		b = heap.Pop(h).(*bin)
	}
	layer[b.rank*h.shape.Slots+len(b.experts)] = item.expert
	b.experts = append(b.experts, item.expert)
	b.time += item.load / h.shape.speed(b.rank)
	if len(b.experts) < b.capacity {
		skipped = append(skipped, b)
	}
	for _, p := range skipped {
		heap.Push(h, p)
	}
}

// ByLayerAndRank returns the experts of each rank, indexed by layer, then by rank.
// Empty slots are left out.
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

// MapFromRanks returns a map from the experts of each rank, indexed by rank, then by
// layer. Slots that byRank does not fill are empty.
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
