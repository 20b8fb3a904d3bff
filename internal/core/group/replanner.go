package group

import "time"

// ReplannerConfig holds the parameters of a Replanner.
type ReplannerConfig struct {
	// FetchTime is the time that a rank takes to fetch one expert, 0 if unknown.
	FetchTime time.Duration
	// MaxFetchesPerLayer limits the experts of one layer that a rank may fetch for
	// one change.
	MaxFetchesPerLayer int
	// MaxFetchTime limits the time that a rank spends on the fetches of one change.
	// The loads have changed again by the time that much longer ones end.
	MaxFetchTime time.Duration
	// MinSaving is the smallest saving of a change in one layer per fetched expert, as
	// a share of the ranks' mean time in the layer. It applies to steps that take
	// LongStepShare or more of the longest pause allowed between events; shorter steps
	// require a larger saving.
	MinSaving, LongStepShare float64
}

// Replanner decides when a group's map changes, and to which map, from samples of
// the experts that the ranks' requests select and from the group's step time. It
// reacts to changes of the loads within seconds; [Planner] is for maps that stay in
// use for minutes or hours. It is not safe for concurrent use.
type Replanner struct {
	shape     Shape
	config    ReplannerConfig
	estimator *LoadEstimator
	steps     stepTimer
}

// PlannedChange is a change to another map, as planned by a Replanner.
type PlannedChange struct {
	Map Map
	// Skew is the skew of the current map and PlannedSkew that of Map, both under the
	// estimated loads.
	Skew, PlannedSkew float64
	// MinSaving is the saving that a change had to reach, in the unit of
	// ReplannerConfig.MinSaving.
	MinSaving float64
}

// NewReplanner returns a replanner without any samples.
func NewReplanner(s Shape, c ReplannerConfig) *Replanner {
	return &Replanner{shape: s, config: c, estimator: NewLoadEstimator(s)}
}

// AddSample adds a rank's sample. The next call of Observe takes it into account.
func (r *Replanner) AddSample(s Sample) { r.estimator.Add(s) }

// Observe updates the load estimate with the samples added since the last call, and
// the step time with the highest step that the group has reached at now. It reports
// whether the loads have shifted, so that plans made before are outdated.
func (r *Replanner) Observe(step uint64, now time.Time) (shifted bool) {
	r.steps.record(step, now)
	return r.estimator.Update(now)
}

// StepTime returns the moving average of the step time, 0 before it is known.
func (r *Replanner) StepTime() time.Duration { return r.steps.mean }

// Plan returns a change from the current map, and whether it saves enough to be
// made. maxGap is the longest pause allowed between the events of a stream, 0 for no
// limit. The skew of the current map is returned in either case, 0 while there is no
// load estimate.
func (r *Replanner) Plan(current Map, maxGap time.Duration) (PlannedChange, bool) {
	loads, known := r.estimator.Expected()
	if !known {
		return PlannedChange{}, false
	}
	out := PlannedChange{Skew: Skew(current, loads, r.shape)}
	out.MinSaving = r.minSaving(r.steps.mean, maxGap)
	next, changed := Replan(current, loads, r.shape, ReplanConfig{
		MaxFetches: r.maxFetches(), MaxFetchesPerLayer: r.config.MaxFetchesPerLayer, MinSaving: out.MinSaving,
	})
	out.Map, out.PlannedSkew = next, Skew(next, loads, r.shape)
	return out, changed
}

// Improves reports whether next has a lower skew than current under the estimated loads,
// false while there is no estimate.
func (r *Replanner) Improves(current, next Map) bool {
	loads, known := r.estimator.Expected()
	return known && Skew(next, loads, r.shape) < Skew(current, loads, r.shape)
}

// maxFetches returns the largest number of experts that one rank may fetch for a
// change. It is at least 1.
func (r *Replanner) maxFetches() int {
	if r.config.FetchTime <= 0 {
		return 1
	}
	return max(int(r.config.MaxFetchTime/r.config.FetchTime), 1)
}

// minSaving returns the saving that a change must reach. For steps shorter than
// LongStepShare of maxGap it rises with the cube of the ratio of that length to the
// step time, since a group whose steps are well within the allowed pause needs no
// better map.
func (r *Replanner) minSaving(step, maxGap time.Duration) float64 {
	if maxGap <= 0 || step <= 0 {
		return r.config.MinSaving
	}
	slack := max(r.config.LongStepShare*float64(maxGap)/float64(step), 1)
	return r.config.MinSaving * slack * slack * slack
}

// stepTimer measures the step time of a group as an exponential moving average.
type stepTimer struct {
	lastStep   uint64
	lastStepAt time.Time
	mean       time.Duration
}

// stepTimeGain is the weight of a new observation in the average step time.
const stepTimeGain = 0.4

// record updates the average with the step that the group has reached at now.
func (t *stepTimer) record(step uint64, now time.Time) {
	if !t.lastStepAt.IsZero() && step > t.lastStep {
		perStep := now.Sub(t.lastStepAt) / time.Duration(step-t.lastStep)
		t.mean += time.Duration(stepTimeGain * float64(perStep-t.mean))
	}
	if step != t.lastStep {
		t.lastStep, t.lastStepAt = step, now
	}
}
