// Package schedule generates the schedule of faults of a soak run from a seed. The same
// seed always gives the same schedule.
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
	// EntryKill, EntryStop, EntryPause and EntryReload send SIGKILL, SIGTERM, SIGSTOP and
	// SIGHUP to the process of an entry. A process that was killed or stopped is
	// started again, one that was paused is continued.
	EntryKill   Fault = "entry-kill"
	EntryStop   Fault = "entry-stop"
	EntryPause  Fault = "entry-pause"
	EntryReload Fault = "entry-reload"
	// EntryKillAll kills all entries right after the store has acknowledged a new version
	// of the configuration.
	EntryKillAll Fault = "entry-kill-all"
	// StoreLink impairs the link from an entry to the store, UpstreamLink the link to an
	// upstream.
	StoreLink    Fault = "store-link"
	UpstreamLink Fault = "upstream-link"
	// UpstreamCrash closes an upstream at once and UpstreamLeave after its drain time; a
	// new upstream then starts at the same address. UpstreamFault makes an upstream send
	// faulty responses.
	UpstreamCrash Fault = "upstream-crash"
	UpstreamLeave Fault = "upstream-leave"
	UpstreamFault Fault = "upstream-fault"
	// StoreFault makes the store reject or delay calls, drop responses, or drop its
	// history.
	StoreFault Fault = "store-fault"
	// ConfigurationChange writes a new version of the configuration.
	ConfigurationChange Fault = "change"
	// UpstreamAdvice makes an upstream name a limit, refuse requests with a time to come
	// back, or say that it is leaving before the store does.
	UpstreamAdvice Fault = "upstream-advice"
	// StoreRestore takes the store away for a moment and brings it back from a copy of
	// some seconds before.
	StoreRestore Fault = "store-restore"
	// DeadlyPart makes upstreams end as they begin to answer a request with one part of
	// prompts, or one of some requests that are sent again and again.
	DeadlyPart Fault = "deadly-part"
)

// extendedFaults are the kinds of faults of ExtendedFaults, each as frequent as the others.
var extendedFaults = []Fault{UpstreamAdvice, UpstreamAdvice, StoreRestore}

// extendedGap is the mean time between the beginnings of two extended faults.
const extendedGap = 1500 * time.Millisecond

// GenerateExtended returns the schedule of the faults that Generate does not know, for the
// same seed and duration. They are drawn by themselves, so that the schedules of seeds that
// were kept stay as they were.
func GenerateExtended(seed uint64, total time.Duration, kinds ...Fault) []Step {
	random := rand.New(rand.NewPCG(seed, 2))
	var steps []Step
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(extendedGap))
		if at >= total {
			return steps
		}
		s := Step{
			At: at.Round(time.Millisecond), Fault: extendedFaults[random.IntN(len(extendedFaults))], Target: random.IntN(1 << 10), Variant: random.IntN(1 << 10),
			Duration: (minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))).Round(time.Millisecond),
		}
		if len(kinds) == 0 || slices.Contains(kinds, s.Fault) {
			steps = append(steps, s)
		}
	}
}

// GenerateDeadlyPart returns the one DeadlyPart step of a seed. It begins in the second fifth
// of the duration and lasts until its end.
func GenerateDeadlyPart(seed uint64, total time.Duration) Step {
	random := rand.New(rand.NewPCG(seed, 3))
	at := (total/5 + time.Duration(random.Int64N(int64(total/5)))).Round(time.Millisecond)
	return Step{At: at, Fault: DeadlyPart, Variant: random.IntN(1 << 10), Duration: total - at}
}

// weights are the relative frequencies of the kinds of faults.
var weights = []struct {
	fault  Fault
	weight int
}{
	{EntryKill, 2}, {EntryKillAll, 1}, {EntryStop, 3}, {EntryPause, 2}, {EntryReload, 2}, {StoreLink, 2}, {UpstreamLink, 4},
	{UpstreamCrash, 2}, {UpstreamLeave, 3}, {UpstreamFault, 4}, {StoreFault, 3}, {ConfigurationChange, 4},
}

// Step is one scheduled fault of a run.
type Step struct {
	// At is the time at which the fault begins, from the start of fault injection.
	At    time.Duration
	Fault Fault
	// Target selects an entry or upstream, Variant one of the forms of the fault. Both
	// are taken modulo the number of choices.
	Target, Variant int
	// Duration is the time that a fault with a duration lasts.
	Duration time.Duration
}

// String returns the step as one line of a report.
func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %-13s target %d variant %d for %s", s.At.Seconds(), s.Fault, s.Target, s.Variant, s.Duration)
}

// Durations of the schedule.
const (
	// meanGap is the mean time between the beginnings of two faults or bursts. It is
	// shorter than most faults, so that faults overlap.
	meanGap = 700 * time.Millisecond
	// minDuration and maxDuration are the bounds of a fault's duration.
	minDuration = 200 * time.Millisecond
	maxDuration = 4 * time.Second
	// burstGap is the time between the faults of a burst.
	burstGap = 300 * time.Millisecond
)

// Generate returns the schedule for a seed and a total duration, in order of time. One
// in three faults begins a burst of two or three faults of the same kind at consecutive
// targets. If kinds are given, all other kinds are left out.
func Generate(seed uint64, total time.Duration, kinds ...Fault) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at >= total {
			break
		}
		s := Step{
			At: at.Round(time.Millisecond), Fault: drawFault(random), Target: random.IntN(1 << 10), Variant: random.IntN(1 << 10),
			Duration: (minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))).Round(time.Millisecond),
		}
		burst := 1
		if random.IntN(3) == 0 {
			burst += 1 + random.IntN(2)
		}
		for n := range burst {
			next := s
			next.At += time.Duration(n) * burstGap
			next.Target += n
			if next.At < total && (len(kinds) == 0 || slices.Contains(kinds, next.Fault)) {
				steps = append(steps, next)
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// drawFault returns a random kind of fault with the probability of its weight.
func drawFault(random *rand.Rand) Fault {
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
	panic("unreachable: n is less than the sum of the weights")
}

// Format returns the steps as text, one line each.
func Format(steps []Step) string {
	var b strings.Builder
	for _, s := range steps {
		b.WriteString(s.String() + "\n")
	}
	return b.String()
}
