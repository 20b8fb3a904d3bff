package group

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// replannerShape is the shape of a small group. initialMap gives each of its ranks two
// experts and one empty slot.
var replannerShape = Shape{Ranks: 4, Experts: 8, Layers: 1, Slots: 3}

func replannerConfig() ReplannerConfig {
	return ReplannerConfig{
		FetchTime: 100 * time.Millisecond, MaxFetchesPerLayer: 3, MaxFetchTime: 300 * time.Millisecond,
		MinSaving: 0.35, LongStepShare: 0.75,
	}
}

// observe makes r observe a number of steps with the same counts and step time,
// beginning at now. It returns the time of the last step.
func observe(r *Replanner, counts []uint8, steps int, stepTime time.Duration, now time.Time) time.Time {
	for range steps {
		now = now.Add(stepTime)
		r.AddSample(Sample{Counts: counts, Unit: 1})
		r.Observe(r.steps.lastStep+1, now)
	}
	return now
}

func initialMap() Map {
	m := Map{Ranks: 4, Slots: 3, Layers: [][]int{{0, 4, EmptySlot, 1, 5, EmptySlot, 2, 6, EmptySlot, 3, 7, EmptySlot}}}
	return m
}

func TestReplannerKeepsTheMapWithoutSamples(t *testing.T) {
	_, ok := NewReplanner(replannerShape, replannerConfig()).Plan(initialMap(), 0)
	is.New(t).True(!ok)
}

func TestReplannerKeepsABalancedMap(t *testing.T) {
	is := is.New(t)
	r := NewReplanner(replannerShape, replannerConfig())
	observe(r, []uint8{50, 50, 50, 50, 50, 50, 50, 50}, 5, 100*time.Millisecond, time.Unix(0, 0))
	plan, ok := r.Plan(initialMap(), 120*time.Millisecond)
	is.True(!ok)
	is.Equal(plan.Skew, 1.0)
}

func TestReplannerLimitsFetchTime(t *testing.T) {
	for name, c := range map[string]struct {
		maxFetchTime time.Duration
		maxFetches   int
	}{
		"one expert":   {150 * time.Millisecond, 1},
		"two experts":  {299 * time.Millisecond, 2},
		"no time left": {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := replannerConfig()
			config.MaxFetchTime = c.maxFetchTime
			r := NewReplanner(replannerShape, config)
			observe(r, []uint8{200, 10, 10, 10, 200, 10, 10, 10}, 5, 100*time.Millisecond, time.Unix(0, 0))
			plan, ok := r.Plan(initialMap(), 120*time.Millisecond)
			is.True(ok)
			is.True(plan.PlannedSkew < plan.Skew)
			for _, n := range fetchesPerRank(initialMap().Layers[0], plan.Map.Layers[0], replannerShape) {
				is.True(n <= c.maxFetches)
			}
		})
	}
}

func TestReplannerRequiresLargerSavingForShortSteps(t *testing.T) {
	for name, c := range map[string]struct {
		stepTime  time.Duration
		minSaving float64
	}{
		"steps as long as the allowed pause": {120 * time.Millisecond, 0.35},
		"steps half as long as long steps":   {45 * time.Millisecond, 0.35 * 8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewReplanner(replannerShape, replannerConfig())
			observe(r, []uint8{50, 50, 50, 50, 50, 50, 50, 50}, 50, c.stepTime, time.Unix(0, 0))
			plan, _ := r.Plan(initialMap(), 120*time.Millisecond)
			is.True(math.Abs(plan.MinSaving-c.minSaving) < 0.01*c.minSaving)
		})
	}
}
