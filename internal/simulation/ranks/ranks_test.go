package ranks

import (
	"testing"
	"time"

	"bramleydeal/internal/core/group"
	"github.com/matryer/is"
)

// smallGroup returns the options of a group that is quick to simulate.
func smallGroup() Options {
	return Options{
		Shape: group.Shape{Ranks: 8, Experts: 32, Layers: 4, Slots: 6},
		Replanner: group.ReplannerConfig{
			FetchTime: 40 * time.Millisecond, MaxFetchesPerLayer: 2, MaxFetchTime: 200 * time.Millisecond,
			MinSaving: 0.05, LongStepShare: 0.75,
		},
		ExpertShare: 0.85, StepTime: 55 * time.Millisecond, MaxGap: 100 * time.Millisecond, RequestsPerRank: 6, MeanSteps: 20,
		Topics: 5, Concentration: 1.2, CommonShare: 0.3, ShiftShare: 0.8, ShiftInterval: 4 * time.Second,
		ObserveInterval: 100 * time.Millisecond, MinPlanInterval: 150 * time.Millisecond, StepsAhead: 3, Duration: 20 * time.Second, Seed: 1,
	}
}

func TestSameSeedGivesSameReport(t *testing.T) {
	is.New(t).Equal(Run(smallGroup()), Run(smallGroup()))
}

// TestReplanningReducesLateRequests compares replanning with a group that never changes its
// map, since no saving reaches the minimum.
func TestReplanningReducesLateRequests(t *testing.T) {
	is := is.New(t)
	replannedLate, fixedLate := 0.0, 0.0
	for seed := range uint64(8) {
		o := smallGroup()
		o.Seed = seed
		replanned := Run(o)
		o.Replanner.MinSaving = 1e9
		fixed := Run(o)
		is.Equal(fixed.Changes, 0)
		is.True(replanned.Skew < fixed.Skew)
		is.True(replanned.LongStepShare < fixed.LongStepShare)
		is.True(replanned.BoundSkew >= 1 && replanned.BoundSkew < replanned.Skew)
		replannedLate += replanned.LateShare
		fixedLate += fixed.LateShare
	}
	is.True(replannedLate < fixedLate*3/4)
}

func TestLongerFetchesCauseMoreLateRequests(t *testing.T) {
	is := is.New(t)
	late := func(fetchTime time.Duration) (sum float64) {
		for seed := range uint64(5) {
			o := smallGroup()
			o.Seed, o.Replanner.FetchTime = seed, fetchTime
			sum += Run(o).LateShare
		}
		return sum
	}
	is.True(late(20*time.Millisecond) < late(300*time.Millisecond))
}
