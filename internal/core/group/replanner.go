package group

import "time"

// ReplannerRules are the rules by which a leader changes the maps of its group.
type ReplannerConfig struct {
	// FetchTime is the time in which a rank copies one expert, 0 if unknown.
	FetchTime time.Duration
	// Spare is the most experts of one layer that a rank may copy for one map.
	MaxFetchesPerLayer int
	// MaxFetchTime bounds the copying for one change: much longer copies end after
	// the demand that they were made for.
	MaxFetchTime time.Duration
	// LeastSaving is the share of a rank's mean load in a layer that must be saved
	// for each expert that its busiest rank copies, while steps take LongStep of
	// the longest pause allowed between events; shorter steps ask for more.
	MinSaving, LongStepShare float64
	// Stay is the share of a rank's load that an expert in place is worth.
	FetchPenalty float64
}

// Replanner decides when a group's map changes, and to which. It takes in what
// the ranks count and how far they step.
type Replanner struct {
	shape  Shape
	rules  ReplannerConfig
	demand *Demand
	pace   stepTime
}

// Replanned is a change to a better map.
type PlannedChange struct {
	Map Map
	// Skew and PlannedSkew are those of the map before and of the next one.
	Skew, PlannedSkew float64
	// Least is what the change had to save.
	MinSaving float64
}

// NewReplanner returns a replanner that has seen nothing.
func NewReplanner(s Shape, r ReplannerConfig) *Replanner {
	return &Replanner{shape: s, rules: r, demand: NewDemand(s)}
}

// Add takes in a rank's sample.
func (r *Replanner) AddSample(s Sample) { r.demand.Add(s) }

// Observe brings the samples added since the last call into what is expected.
// step is the highest that the group has reached at now.
func (r *Replanner) Observe(step uint64, now time.Time) {
	r.demand.Mix(now)
	r.pace.reached(step, now)
}

// StepTime returns the mean time of the latest steps, 0 before any is known.
func (r *Replanner) StepTime() time.Duration { return r.pace.mean }

// Plan returns the change from the current map that is worth it, if any. maxGap is
// the longest pause between events that is on time, 0 for none. The skew of the
// current map is returned either way, 0 while no loads are known.
func (r *Replanner) Plan(current Map, maxGap time.Duration) (PlannedChange, bool) {
	loads, known := r.demand.Expected()
	if !known {
		return PlannedChange{}, false
	}
	out := PlannedChange{Skew: Skew(current, loads, r.shape)}
	out.MinSaving = r.least(r.pace.mean, maxGap)
	next, changed := Replan(current, loads, r.shape, ReplanRules{
		Fetches: r.fetches(), Spare: r.rules.MaxFetchesPerLayer, Least: out.MinSaving, Stay: r.rules.FetchPenalty,
	})
	out.Map, out.PlannedSkew = next, Skew(next, loads, r.shape)
	return out, changed
}

// fetches is the most experts that one rank may copy for a change.
func (r *Replanner) fetches() int {
	if r.rules.FetchTime <= 0 {
		return 1
	}
	return max(int(r.rules.MaxFetchTime/r.rules.FetchTime), 1)
}

// least is what a change must save. Steps well below the longest pause that
// callers take for on time need no better map.
func (r *Replanner) least(step, maxGap time.Duration) float64 {
	if maxGap <= 0 || step <= 0 {
		return r.rules.MinSaving
	}
	slack := max(r.rules.LongStepShare*float64(maxGap)/float64(step), 1)
	return r.rules.MinSaving * slack * slack * slack
}

// stepTime is the mean time of a step.
type stepTime struct {
	step uint64
	at   time.Time
	mean time.Duration
}

// latestWeight is the weight of the latest steps in the mean.
const latestWeight = 0.4

// reached takes in the step that a group has reached at now.
func (p *stepTime) reached(step uint64, now time.Time) {
	if !p.at.IsZero() && step > p.step {
		took := now.Sub(p.at) / time.Duration(step-p.step)
		p.mean += time.Duration(latestWeight * float64(took-p.mean))
	}
	if step != p.step {
		p.step, p.at = step, now
	}
}
