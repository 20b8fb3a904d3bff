package group

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// replannerShape is that of a small group whose first map gives each rank two experts.
var replannerShape = Shape{Ranks: 4, Experts: 8, Layers: 1, Slots: 3}

func replannerRules() ReplannerConfig {
	return ReplannerConfig{
		FetchTime: 100 * time.Millisecond, MaxFetchesPerLayer: 3, MaxFetchTime: 300 * time.Millisecond,
		MinSaving: 0.35, LongStepShare: 0.75, FetchPenalty: 0.03,
	}
}

// observe lets a replanner see counts and steps of a length.
func observe(r *Replanner, counts []uint8, steps int, step time.Duration, from time.Time) time.Time {
	for range steps {
		from = from.Add(step)
		r.AddSample(Sample{Counts: counts, Unit: 1})
		r.Observe(r.pace.step+1, from)
	}
	return from
}

func firstMap() Map {
	m := Map{Ranks: 4, Slots: 3, Layers: [][]int{{0, 4, EmptySlot, 1, 5, EmptySlot, 2, 6, EmptySlot, 3, 7, EmptySlot}}}
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

func TestReplannerAsksForMoreWhileStepsAreShort(t *testing.T) {
	for name, c := range map[string]struct {
		step  time.Duration
		least float64
	}{
		"steps as long as the allowed pause": {120 * time.Millisecond, 0.35},
		"steps half as long as long ones":    {45 * time.Millisecond, 0.35 * 8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewReplanner(replannerShape, replannerRules())
			observe(r, []uint8{50, 50, 50, 50, 50, 50, 50, 50}, 50, c.step, time.Unix(0, 0))
			plan, _ := r.Plan(firstMap(), 120*time.Millisecond)
			is.True(math.Abs(plan.MinSaving-c.least) < 0.01*c.least)
		})
	}
}
