package schedule

import (
	"math/rand/v2"
	"time"
)

// Evacuation empties a failure domain.
const Evacuation Fault = "evacuation"

// Times of the evacuations. They last longer than it takes until entries must keep to them.
const (
	meanEvacuationGap = 3 * time.Second
	minEvacuation     = 6 * time.Second
	maxEvacuation     = 12 * time.Second
)

// GenerateEvacuations returns the evacuations of a seed, one after the other, of which the last
// one ends before the total duration. They are drawn by themselves, as are extended faults.
func GenerateEvacuations(seed uint64, total time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 4))
	var steps []Step
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanEvacuationGap)).Round(time.Millisecond)
		s := Step{
			At: at, Fault: Evacuation, Target: random.IntN(1 << 10),
			Duration: (minEvacuation + time.Duration(random.Int64N(int64(maxEvacuation-minEvacuation)))).Round(time.Millisecond),
		}
		if at += s.Duration; at >= total {
			return steps
		}
		steps = append(steps, s)
	}
}
