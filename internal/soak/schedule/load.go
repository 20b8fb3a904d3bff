package schedule

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of faults that leave upstreams with little room.
const (
	// ColdReturn ends several upstreams of a failure domain at once; they come back cold.
	ColdReturn Fault = "cold-return"
	// Overload leaves each upstream with room for one request for a time.
	Overload Fault = "overload"
)

// Durations of the faults of GenerateLoad.
const (
	// overloadShare is the part of the whole duration that the overload lasts.
	overloadShare = 0.2
	// coldReturnGap is the mean time between two cold returns.
	coldReturnGap = 5 * time.Second
)

// GenerateLoad returns the steps of the kinds ColdReturn and Overload for a seed and a total
// duration: one overload from the third quarter on, and cold returns throughout.
func GenerateLoad(seed uint64, total time.Duration, kinds ...Fault) []Step {
	random := rand.New(rand.NewPCG(seed, 5))
	step := func(at time.Duration, f Fault, d time.Duration) Step {
		return Step{At: at, Fault: f, Target: random.IntN(1 << 10), Variant: random.IntN(1 << 10), Duration: d.Round(time.Millisecond)}
	}
	steps := []Step{
		step((total/2 + time.Duration(random.Int64N(int64(total/4)))).Round(time.Millisecond), Overload, time.Duration(overloadShare*float64(total))),
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
