package group

import (
	"slices"
	"time"
)

// Planner decides when experts move. It keeps the current map unless the step
// time that a move is expected to save, over the time for which the loads are
// expected to last, outweighs the fetching of the weights.
type Planner struct {
	shape Shape
	rules PlannerConfig
	// fast and slow are moving averages of the loads; a move must pay by both,
	// so that a peak or a flip-flop alone moves nothing.
	fast, slow Loads
	steps      int
	// threshold multiplies the cost; it doubles after a change that did not pay.
	threshold float64
	// expected is the share of the step time that the last change was to save,
	// previous the map before it.
	expected float64
	previous Map
	budget   float64
	lastAt   time.Time
}

// PlannerRules are the settings of a planner.
type PlannerConfig struct {
	// SkewWeight is the value of a second of step time saved, MoveWeight the
	// cost of a second of fetching.
	SkewWeight, MoveWeight float64
	// Fetch is the time that one expert's weights take from the weight store.
	FetchTime time.Duration
	// MovesPerHour bounds the moves.
	MovesPerHour int
	// Horizon is the time for which a saving is counted.
	Horizon time.Duration
}

// Constants of the planner.
const (
	fastGain = 0.5
	slowGain = 0.15
	// minSamples is the number of observations before the first move.
	minSamples   = 3
	maxThreshold = 1024
	// maxBudgetHours bounds the moves saved up.
	maxBudgetHours = 0.25
	// minReplaceSkew is the skew of a layer below which it is not placed afresh.
	minReplaceSkew = 1.03
	// paid is the share of the expected saving that a change must bring.
	paid = 0.3
)

// NewPlanner returns a planner that has seen nothing.
func NewPlanner(s Shape, r PlannerConfig) *Planner {
	return &Planner{shape: s, rules: r, threshold: 1, budget: float64(r.MovesPerHour) * maxBudgetHours}
}

// Configure changes the rules and the ranks' speeds.
func (p *Planner) Configure(r PlannerConfig, speed []float64) { p.rules, p.shape.Speed = r, speed }

// Observe takes in the loads since the last observation, at now.
func (p *Planner) Observe(loads Loads, now time.Time) {
	if !p.lastAt.IsZero() {
		hours := now.Sub(p.lastAt).Hours()
		p.budget = min(p.budget+hours*float64(p.rules.MovesPerHour), max(float64(p.rules.MovesPerHour)*maxBudgetHours, 1))
	}
	p.lastAt = now
	p.steps++
	p.fast = average(p.fast, loads, fastGain)
	p.slow = average(p.slow, loads, slowGain)
}

func average(old, loads Loads, gain float64) Loads {
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

// Plan returns the map to use from now on, and whether it differs from the
// current one.
func (p *Planner) Plan(current Map) (Map, bool) {
	if p.steps < minSamples {
		return current, false
	}
	p.judge(current)
	next := current.Clone()
	moves, saved := 0, 0.0
	_, mean := StepTime(current, p.slow, p.shape)
	if mean == 0 {
		return current, false
	}
	for l := range next.Layers {
		n, s := p.improve(next.Layers[l], p.fast[l], p.slow[l], mean, int(p.budget)-moves)
		moves += n
		saved += s
	}
	if moves == 0 {
		return current, false
	}
	p.budget -= float64(moves)
	p.previous, p.expected = current, saved/mean
	return next, true
}

// judge looks back at the last change, against the map before it under the
// loads of now: one that did not bring its saving makes the next ones harder,
// one that did makes them easier again.
func (p *Planner) judge(current Map) {
	if p.expected == 0 {
		return
	}
	brought := Skew(p.previous, p.fast, p.shape) - Skew(current, p.fast, p.shape)
	if brought < paid*p.expected {
		p.threshold = min(2*p.threshold, maxThreshold)
	} else {
		p.threshold = max(p.threshold/2, 1)
	}
	p.expected = 0
}

// cost is the least saving, as a share of the mean step time, that one move has
// to bring.
func (p *Planner) cost() float64 {
	if p.rules.SkewWeight <= 0 || p.rules.Horizon <= 0 {
		return 1
	}
	return p.threshold * p.rules.MoveWeight * p.rules.FetchTime.Seconds() / (p.rules.SkewWeight * p.rules.Horizon.Seconds())
}

// maxTries bounds the moves considered in one layer and plan.
const maxTries = 12

// improve makes the moves in one layer that pay and returns their number and
// what they save.
func (p *Planner) improve(layer []int, fast, slow []float64, mean float64, budget int) (moves int, saved float64) {
	w := newLayerWork(layer, fast, slow, p.shape)
	for range maxTries {
		c, ok := w.best()
		if !ok || c.moves > budget-moves || c.saved < p.cost()*float64(c.moves)*mean {
			break
		}
		w.apply(c)
		moves += c.moves
		saved += c.saved
	}
	// Single moves end where none of them helps any more; a fresh placement of
	// the layer may still pay for all its moves at once.
	if skew := w.skew(); skew > minReplaceSkew && w.times[averages-1][w.top[averages-1][0]]*(1-1/skew) > p.cost()*mean {
		if c := w.replace(); c.moves > 0 && c.moves <= budget-moves && c.saved >= p.cost()*float64(c.moves)*mean {
			w.apply(c)
			moves += c.moves
			saved += c.saved
		}
	}
	return moves, saved
}
