package schedule

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of faults that decide where requests may go, and how many.
const (
	// Evacuation evacuates a failure domain for a time.
	Evacuation Fault = "evacuation"
	// ColdReturn ends several upstreams of a failure domain at once; they come back cold.
	ColdReturn Fault = "cold-return"
	// Overload leaves each upstream with room for one request for a time.
	Overload Fault = "overload"
)

// Durations of the faults of GenerateLoad.
const (
	// minEvacuation is the least duration of an evacuation. It is longer than the time in
	// which it must take effect.
	minEvacuation = 8 * time.Second
	// evacuationShare and overloadShare are the parts of the whole duration that the
	// evacuation and the overload last.
	evacuationShare, overloadShare = 0.45, 0.2
	// coldReturnGap is the mean time between two cold returns.
	coldReturnGap = 5 * time.Second
)

// GenerateLoad returns the steps of the kinds Evacuation, ColdReturn and Overload for a seed and
// a total duration: one evacuation from the first quarter on, one overload from the third, and
// cold returns throughout.
func GenerateLoad(seed uint64, total time.Duration, kinds ...Fault) []Step {
	random := rand.New(rand.NewPCG(seed, 4))
	within := func(from, share float64) time.Duration {
		return time.Duration((from + share*random.Float64()) * float64(total)).Round(time.Millisecond)
	}
	step := func(at time.Duration, f Fault, d time.Duration) Step {
		return Step{At: at, Fault: f, Target: random.IntN(1 << 10), Variant: random.IntN(1 << 10), Duration: d.Round(time.Millisecond)}
	}
	steps := []Step{
		step(within(0, 0.25), Evacuation, max(minEvacuation, time.Duration(evacuationShare*float64(total)))),
		step(within(0.5, 0.25), Overload, time.Duration(overloadShare*float64(total))),
	}
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(coldReturnGap))
		if at >= total {
			break
		}
		steps = append(steps, step(at.Round(time.Millisecond), ColdReturn, minDuration+time.Duration(random.Int64N(int64(time.Second)))))
	}
	if len(kinds) > 0 {
		steps = slices.DeleteFunc(steps, func(s Step) bool { return !slices.Contains(kinds, s.Fault) })
	}
	return steps
}
