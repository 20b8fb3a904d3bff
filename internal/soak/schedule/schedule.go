// Package schedule draws the faults of a soak run from a seed. It has no clock and
// no socket.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is a kind of fault.
type Fault string

// The kinds of faults.
const (
	// EntryKill, EntryStop, EntryPause and EntryReload come by signals.
	EntryKill   Fault = "entry-kill"
	EntryStop   Fault = "entry-stop"
	EntryPause  Fault = "entry-pause"
	EntryReload Fault = "entry-reload"
	// EntryKillAll kills all entries right after a change of the configuration was
	// acknowledged.
	EntryKillAll Fault = "entry-kill-all"
	// StoreLink harms an entry's way to the store, UpstreamLink the way to an upstream.
	StoreLink    Fault = "store-link"
	UpstreamLink Fault = "upstream-link"
	// UpstreamCrash ends an upstream, another one takes its place; UpstreamLeave does it
	// after its requests; UpstreamFault makes its answers wrong.
	UpstreamCrash Fault = "upstream-crash"
	UpstreamLeave Fault = "upstream-leave"
	UpstreamFault Fault = "upstream-fault"
	// StoreFault makes the store refuse, delay, lose or forget.
	StoreFault Fault = "store-fault"
	// Change is a new version of the configuration.
	Change Fault = "change"
)

// weights are how often the kinds come, relative to each other.
var weights = []struct {
	fault  Fault
	weight int
}{
	{EntryKill, 2}, {EntryKillAll, 1}, {EntryStop, 3}, {EntryPause, 2}, {EntryReload, 2}, {StoreLink, 2}, {UpstreamLink, 4},
	{UpstreamCrash, 2}, {UpstreamLeave, 3}, {UpstreamFault, 4}, {StoreFault, 3}, {Change, 4},
}

// Step is one fault of a run.
type Step struct {
	At    time.Duration
	Fault Fault
	// Target chooses among the entries or upstreams, Variant among what the fault may
	// do; both are taken modulo the number of choices.
	Target, Variant int
	For             time.Duration
}

// String returns the step as one line of a report.
func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %-13s target %d variant %d for %s", s.At.Seconds(), s.Fault, s.Target, s.Variant, s.For)
}

// Times of the steps.
const (
	// meanGap is the mean time between two faults; they overlap.
	meanGap = 700 * time.Millisecond
	// minLength and maxLength bound a fault that lasts.
	minLength = 200 * time.Millisecond
	maxLength = 4 * time.Second
	// seriesGap is the time between the faults of a series.
	seriesGap = 300 * time.Millisecond
)

// Draw returns the steps of a seed over a time, in order. A third of the faults
// comes as a series of the same kind at neighbouring targets.
func Draw(seed uint64, over time.Duration, only ...Fault) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at >= over {
			break
		}
		s := Step{
			At: at.Round(time.Millisecond), Fault: draw(random), Target: random.IntN(1 << 10), Variant: random.IntN(1 << 10),
			For: (minLength + time.Duration(random.Int64N(int64(maxLength-minLength)))).Round(time.Millisecond),
		}
		series := 1
		if random.IntN(3) == 0 {
			series += 1 + random.IntN(2)
		}
		for n := range series {
			next := s
			next.At += time.Duration(n) * seriesGap
			next.Target += n
			if next.At < over && (len(only) == 0 || slices.Contains(only, next.Fault)) {
				steps = append(steps, next)
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

func draw(random *rand.Rand) Fault {
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	n := random.IntN(sum)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.fault
		}
	}
	panic("the weights do not add up")
}

// Print returns the steps as lines.
func Format(steps []Step) string {
	var b strings.Builder
	for _, s := range steps {
		b.WriteString(s.String() + "\n")
	}
	return b.String()
}
