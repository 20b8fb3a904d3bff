package group

import "slices"

// ReplanConfig holds the limits of Replan.
type ReplanConfig struct {
	// MaxFetches limits the experts that one rank may fetch for a change, over all
	// layers. The limit is per rank because a change waits for the slowest rank.
	MaxFetches int
	// MaxFetchesPerLayer limits the experts of one layer that a rank may fetch.
	MaxFetchesPerLayer int
	// MinSaving is the smallest saving in a layer per fetched expert. Savings are
	// reductions of the slowest rank's time, as a share of the ranks' mean time in the
	// layer.
	MinSaving float64
}

// Replan returns the map to change to under the given loads, and whether it differs
// from the current one. It selects improvements of single layers in descending order of
// their saving per fetch, until the limits of the config are reached. The next call can
// then select the remaining ones. The version of the result is that of the current map.
func Replan(current Map, loads Loads, s Shape, c ReplanConfig) (Map, bool) {
	p := &replan{config: c, fetches: make([]int, s.Ranks)}
	for l := range current.Layers {
		p.layers = append(p.layers, newLayerPlan(current.Layers[l], loads[l], s))
	}
	for p.improve() {
	}
	if slices.Max(p.fetches) == 0 {
		return current, false
	}
	next := current.Clone()
	for l, layer := range p.layers {
		next.Layers[l] = layer.slots
	}
	return next, true
}

// replan is the state of a call of Replan.
type replan struct {
	config ReplanConfig
	layers []*layerPlan
	// fetches is the number of experts that each rank has to fetch, over all layers.
	fetches []int
}

// improve applies the improvement with the largest saving per fetch. It reports false if
// no layer has one that saves enough.
func (p *replan) improve() bool {
	var best *layerPlan
	for _, layer := range p.layers {
		if !layer.searched {
			layer.search(p.allowance(layer), p.config)
		}
		if i := layer.improvement; i.saving > 0 && i.perFetch() >= p.config.MinSaving && (best == nil || i.perFetch() > best.improvement.perFetch()) {
			best = layer
		}
	}
	if best == nil {
		return false
	}
	before := slices.Clone(best.fetches)
	best.applyImprovement()
	for rank := range p.fetches {
		p.fetches[rank] += best.fetches[rank] - before[rank]
	}
	if slices.Max(p.fetches) <= p.config.MaxFetches {
		return true
	}
	// Other layers have used the fetches of a rank since the search in this layer. It is
	// searched again with what is left.
	for rank := range p.fetches {
		p.fetches[rank] -= best.fetches[rank] - before[rank]
	}
	best.revert(best.improvement.changes)
	return true
}

// allowance returns the number of fetches that each rank may make in a layer in addition
// to those in the other layers.
func (p *replan) allowance(layer *layerPlan) []int {
	out := make([]int, len(p.fetches))
	for rank := range out {
		out[rank] = min(p.config.MaxFetches-p.fetches[rank]+layer.fetches[rank], p.config.MaxFetchesPerLayer)
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
