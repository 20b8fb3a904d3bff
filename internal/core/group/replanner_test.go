package group

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// replannerShape is that of a small group whose first map gives each rank two experts.
var replannerShape = Shape{Ranks: 4, Experts: 8, Layers: 1, Slots: 3}

func replannerRules() ReplannerRules {
	return ReplannerRules{
		FetchTime: 100 * time.Millisecond, Spare: 3, ExpertShare: 0.8, MaxFetchTime: 300 * time.Millisecond,
		LeastSaving: 0.35, LongStep: 0.75, Stay: 0.03,
	}
}

// observe lets a replanner see counts and steps of a length.
func observe(r *Replanner, counts []uint8, steps int, step time.Duration, from time.Time) time.Time {
	for range steps {
		from = from.Add(step)
		r.Add(Sample{Counts: counts, Unit: 1})
		r.Observe(r.pace.step+1, from)
	}
	return from
}

func firstMap() Map {
	m := Map{Ranks: 4, Slots: 3, Layers: [][]int{{0, 4, Empty, 1, 5, Empty, 2, 6, Empty, 3, 7, Empty}}}
	return m
}

func TestReplannerWaitsForCounts(t *testing.T) {
	_, ok := NewReplanner(replannerShape, replannerRules()).Plan(firstMap(), 0)
	is.New(t).True(!ok)
}

func TestReplannerLeavesABalancedMap(t *testing.T) {
	is := is.New(t)
	r := NewReplanner(replannerShape, replannerRules())
	observe(r, []uint8{50, 50, 50, 50, 50, 50, 50, 50}, 5, 100*time.Millisecond, time.Unix(0, 0))
	plan, ok := r.Plan(firstMap(), 120*time.Millisecond)
	is.True(!ok)
	is.Equal(plan.Skew, 1.0)
}

func TestReplannerKeepsToTheTimeForCopies(t *testing.T) {
	for name, c := range map[string]struct {
		most time.Duration
		max  int
	}{
		"one expert":   {150 * time.Millisecond, 1},
		"two experts":  {299 * time.Millisecond, 2},
		"no time left": {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rules := replannerRules()
			rules.MaxFetchTime = c.most
			r := NewReplanner(replannerShape, rules)
			observe(r, []uint8{200, 10, 10, 10, 200, 10, 10, 10}, 5, 100*time.Millisecond, time.Unix(0, 0))
			plan, ok := r.Plan(firstMap(), 120*time.Millisecond)
			is.True(ok)
			is.True(plan.PlannedSkew < plan.Skew)
			for _, n := range fetches(firstMap().Layers[0], plan.Map.Layers[0], replannerShape) {
				is.True(n <= c.max)
			}
		})
	}
}

func TestReplannerCopiesLongerForWhatSavesMuch(t *testing.T) {
	for name, c := range map[string]struct {
		saving float64
		more   bool
	}{
		"saves enough a second":     {1, true},
		"saves too little a second": {100, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rules := replannerRules()
			rules.MaxFetchTime, rules.MaxLongFetchTime, rules.LongSaving = 100*time.Millisecond, 300*time.Millisecond, c.saving
			// Two layers with the same need: a rank copies for one, or for both.
			shape := replannerShape
			shape.Layers = 2
			current := firstMap()
			current.Layers = append(current.Layers, current.Layers[0])
			counts := []uint8{200, 10, 10, 10, 200, 10, 10, 10}
			r := NewReplanner(shape, rules)
			observe(r, append(counts, counts...), 5, 100*time.Millisecond, time.Unix(0, 0))
			plan, ok := r.Plan(current, 120*time.Millisecond)
			is.True(ok)
			most := 0
			for rank := range shape.Ranks {
				n := 0
				for l := range shape.Layers {
					n += fetches(current.Layers[l], plan.Map.Layers[l], shape)[rank]
				}
				most = max(most, n)
			}
			is.True(most <= 3)
			is.Equal(most > 1, c.more)
		})
	}
}

// A shift of the demand: the mean time of a step still is that of the old demand.
func TestReplannerExpectsLongerStepsAtOnceAfterAShift(t *testing.T) {
	is := is.New(t)
	const gap = 120 * time.Millisecond
	r := NewReplanner(replannerShape, replannerRules())
	now := observe(r, []uint8{50, 50, 50, 50, 50, 50, 50, 50}, 10, 50*time.Millisecond, time.Unix(0, 0))
	balanced, _ := r.Plan(firstMap(), gap)
	observe(r, []uint8{200, 10, 10, 10, 200, 10, 10, 10}, 1, 50*time.Millisecond, now)
	shifted, ok := r.Plan(firstMap(), gap)
	is.True(ok)
	is.True(shifted.Skew > 3)
	is.Equal(r.StepTime().Round(10*time.Millisecond), 50*time.Millisecond) // the measured steps tell nothing yet
	is.True(shifted.Step > r.StepTime()*3/2)
	is.True(shifted.Least < balanced.Least/3) // steps near the allowed pause justify more copies
}
