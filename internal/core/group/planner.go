package group

import (
	"slices"
	"time"
)

// Planner decides when experts are moved between ranks. It keeps the current map
// unless the step time that a move is expected to save outweighs the time to fetch
// the weights. The saving is counted over the time for which the loads are expected
// to last. It is not safe for concurrent use.
type Planner struct {
	shape  Shape
	config PlannerConfig
	// fast and slow are exponential moving averages of the loads. A move must save
	// enough under both, so that a short peak or alternating loads move nothing.
	fast, slow   Loads
	observations int
	// costFactor multiplies the cost of a move. It doubles after a change that saved
	// much less than expected.
	costFactor float64
	// expectedSaving is the saving expected of the last change as a share of the
	// mean step time, 0 for none. previousMap is the map before that change.
	expectedSaving float64
	previousMap    Map
	// moveBudget is the number of experts that may be fetched now.
	moveBudget   float64
	lastObserved time.Time
}

// PlannerConfig holds the parameters of a Planner.
type PlannerConfig struct {
	// SkewWeight is the value of one second of step time saved, MoveWeight the cost
	// of one second of fetching.
	SkewWeight, MoveWeight float64
	// FetchTime is the time to fetch one expert's weights from the weight store.
	FetchTime time.Duration
	// MovesPerHour limits the number of experts fetched per hour.
	MovesPerHour int
	// Horizon is the time over which the saving of a move is counted.
	Horizon time.Duration
}

// Parameters of the planner.
const (
	// fastGain and slowGain are the weights of a new observation in the two moving
	// averages.
	fastGain = 0.5
	slowGain = 0.15
	// minObservations is the number of observations before the first move.
	minObservations = 3
	maxCostFactor   = 1024
	// maxBudgetHours limits the unused moves that accumulate, in hours' worth of
	// PlannerConfig.MovesPerHour.
	maxBudgetHours = 0.25
	// minRebuildSkew is the skew of a layer below which the layer is not placed from
	// scratch.
	minRebuildSkew = 1.03
	// minAchievedShare is the share of the expected saving below which a change
	// doubles the cost of further ones.
	minAchievedShare = 0.3
)

// NewPlanner returns a planner without any observations.
func NewPlanner(s Shape, c PlannerConfig) *Planner {
	return &Planner{shape: s, config: c, costFactor: 1, moveBudget: float64(c.MovesPerHour) * maxBudgetHours}
}

// Configure replaces the parameters, and Shape.Speed by speed.
func (p *Planner) Configure(c PlannerConfig, speed []float64) { p.config, p.shape.Speed = c, speed }

// Observe updates the planner with the loads at now that were counted since the last
// call, and adds the moves allowed in that time to its budget.
func (p *Planner) Observe(loads Loads, now time.Time) {
	if !p.lastObserved.IsZero() {
		hours := now.Sub(p.lastObserved).Hours()
		p.moveBudget = min(p.moveBudget+hours*float64(p.config.MovesPerHour), max(float64(p.config.MovesPerHour)*maxBudgetHours, 1))
	}
	p.lastObserved = now
	p.observations++
	p.fast = movingAverage(p.fast, loads, fastGain)
	p.slow = movingAverage(p.slow, loads, slowGain)
}

// movingAverage moves each value of old towards that of loads by the share gain, and
// returns old. If old has another number of layers, it returns a copy of loads.
func movingAverage(old, loads Loads, gain float64) Loads {
	if len(old) != len(loads) {
		out := make(Loads, len(loads))
		for l := range loads {
			out[l] = slices.Clone(loads[l])
		}
		return out
	}
	for l := range old {
		for e := range old[l] {
			old[l][e] += gain * (loads[l][e] - old[l][e])
		}
	}
	return old
}

// Plan returns the map to change to, and whether it differs from the current one.
// Its version is that of the current map. The caller must make the change, since the
// planner counts its moves as spent.
func (p *Planner) Plan(current Map) (Map, bool) {
	if p.observations < minObservations {
		return current, false
	}
	p.adjustCostFactor(current)
	next := current.Clone()
	moves, saved := 0, 0.0
	_, mean := StepTime(current, p.slow, p.shape)
	if mean == 0 {
		return current, false
	}
	for l := range next.Layers {
		n, s := p.improveLayer(next.Layers[l], p.fast[l], p.slow[l], mean, int(p.moveBudget)-moves)
		moves += n
		saved += s
	}
	if moves == 0 {
		return current, false
	}
	p.moveBudget -= float64(moves)
	p.previousMap, p.expectedSaving = current, saved/mean
	return next, true
}

// adjustCostFactor compares the last change with the map before it under the present
// loads. It doubles the cost of further moves if the change saved too little, and
// halves it otherwise.
func (p *Planner) adjustCostFactor(current Map) {
	if p.expectedSaving == 0 {
		return
	}
	achieved := Skew(p.previousMap, p.fast, p.shape) - Skew(current, p.fast, p.shape)
	if achieved < minAchievedShare*p.expectedSaving {
		p.costFactor = min(2*p.costFactor, maxCostFactor)
	} else {
		p.costFactor = max(p.costFactor/2, 1)
	}
	p.expectedSaving = 0
}

// minSavingPerMove returns the smallest saving that one move must reach, as a share
// of the mean step time.
func (p *Planner) minSavingPerMove() float64 {
	if p.config.SkewWeight <= 0 || p.config.Horizon <= 0 {
		return 1
	}
	return p.costFactor * p.config.MoveWeight * p.config.FetchTime.Seconds() / (p.config.SkewWeight * p.config.Horizon.Seconds())
}

// maxChangesPerLayer limits the candidates that one plan applies to a layer.
const maxChangesPerLayer = 12

// improveLayer applies the moves in one layer that save enough. It returns their
// number and the time that they save, in units of load. fast and slow are the
// layer's loads, mean is the mean step time, and budget limits the moves.
func (p *Planner) improveLayer(layer []int, fast, slow []float64, mean float64, budget int) (moves int, saved float64) {
	search := newLayerSearch(layer, fast, slow, p.shape)
	for range maxChangesPerLayer {
		c, ok := search.bestCandidate()
		if !ok || c.fetches > budget-moves || c.saving < p.minSavingPerMove()*float64(c.fetches)*mean {
			break
		}
		search.apply(c)
		moves += c.fetches
		saved += c.saving
	}
	// Single moves end at a local optimum. Placing the layer from scratch may still
	// save enough for all of its moves together.
	if skew := search.skew(); skew > minRebuildSkew && search.times[averageCount-1][search.slowest[averageCount-1][0]]*(1-1/skew) > p.minSavingPerMove()*mean {
		if c := search.rebuild(); c.fetches > 0 && c.fetches <= budget-moves && c.saving >= p.minSavingPerMove()*float64(c.fetches)*mean {
			search.apply(c)
			moves += c.fetches
			saved += c.saving
		}
	}
	return moves, saved
}
