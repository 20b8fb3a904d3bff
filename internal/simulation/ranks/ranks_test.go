package ranks

import (
	"testing"
	"time"

	"bramleydeal/internal/core/group"
	"github.com/matryer/is"
)

// small is a group that is quick to play.
func small() Options {
	return Options{
		Shape: group.Shape{Ranks: 8, Experts: 32, Layers: 4, Slots: 6},
		Replanner: group.ReplannerConfig{
			FetchTime: 40 * time.Millisecond, MaxFetchesPerLayer: 2, MaxFetchTime: 450 * time.Millisecond,
			MinSaving: 0.35, LongStepShare: 0.75, FetchPenalty: 0.03,
		},
		ExpertShare: 0.85, StepTime: 55 * time.Millisecond, MaxGap: 100 * time.Millisecond, RequestsPerRank: 6, MeanSteps: 20,
		Topics: 5, Concentration: 1.2, CommonShare: 0.3, ShiftShare: 0.8, ShiftInterval: 4 * time.Second,
		ObserveInterval: 100 * time.Millisecond, MinPlanInterval: 150 * time.Millisecond, StepsAhead: 3, Duration: 20 * time.Second, Seed: 1,
	}
}

func TestARunRepeats(t *testing.T) {
	is.New(t).Equal(Run(small()), Run(small()))
}

func TestChangingMapsServesBetterThanNeverChanging(t *testing.T) {
	is := is.New(t)
	changingLate, neverLate := 0.0, 0.0
	for seed := range uint64(8) {
		o := small()
		o.Seed = seed
		changing := Run(o)
		o.Replanner.MinSaving = 1e9
		never := Run(o)
		is.Equal(never.Changes, 0)
		is.True(changing.Skew < never.Skew)
		is.True(changing.LongStepShare < never.LongStepShare)
		is.True(changing.BoundSkew >= 1 && changing.BoundSkew < changing.Skew)
		changingLate += changing.LateShare
		neverLate += never.LateShare
	}
	is.True(changingLate < neverLate*3/4)
}

func TestCopiesThatTakeLongerServeWorse(t *testing.T) {
	is := is.New(t)
	late := func(fetch time.Duration) (sum float64) {
		for seed := range uint64(5) {
			o := small()
			o.Seed, o.Replanner.FetchTime = seed, fetch
			sum += Run(o).LateShare
		}
		return sum
	}
	is.True(late(20*time.Millisecond) < late(300*time.Millisecond))
}
