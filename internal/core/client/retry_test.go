package client

import (
	"net/http"
	"testing"
	"time"

	"bramleydeal/internal/world/answer"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

func allowRetry() bool { return true }

func TestRetryStateDecides(t *testing.T) {
	early := testStart.Add(time.Millisecond)
	late := testStart.Add(time.Second)
	tests := map[string]struct {
		repeatable  bool
		maxAttempts int
		outcomes    []Outcome
		now         time.Time
		want        NextStep
	}{
		"failed connection is no attempt": {false, 1, []Outcome{Unsent{}}, early, Retry{}},
		"too many failed connections":     {false, 1, []Outcome{Unsent{}, Unsent{}, Unsent{}, Unsent{}}, early, RefuseWith{answer.NoUpstream}},
		"declined, below the limit":       {false, 2, []Outcome{Declined{}}, early, Retry{}},
		"declined, at the limit":          {false, 1, []Outcome{Declined{}}, early, RefuseWith{answer.Overloaded}},
		"lost, not repeatable":            {false, 2, []Outcome{Lost{}}, early, RefuseWith{answer.UpstreamFailed}},
		"lost, repeatable":                {true, 2, []Outcome{Lost{}}, early, Retry{}},
		"lost, then declined":             {true, 2, []Outcome{Lost{}, Declined{}}, early, RefuseWith{answer.UpstreamFailed}},
		"lost, then failed connections":   {true, 2, []Outcome{Lost{}, Unsent{}, Unsent{}, Unsent{}, Unsent{}}, early, RefuseWith{answer.UpstreamFailed}},
		"upstream error, not repeatable":  {false, 2, []Outcome{Failed{}}, early, PassFailure{}},
		"upstream error, repeatable":      {true, 2, []Outcome{Failed{}}, early, Retry{}},
		"lost, at the deadline":           {true, 2, []Outcome{Lost{}}, late, RefuseWith{answer.DeadlineExceeded}},
		"declined, at the deadline":       {true, 2, []Outcome{Declined{}}, late, RefuseWith{answer.Overloaded}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewRetryState(RetryConfig{Repeatable: test.repeatable, MaxAttempts: test.maxAttempts, Deadline: testStart.Add(time.Second)})
			var got NextStep
			for _, o := range test.outcomes {
				got = s.RecordOutcome(o, allowRetry, test.now)
			}
			is.Equal(got, test.want)
		})
	}
}

func TestRetryStateRefusesWithoutRetryQuota(t *testing.T) {
	is := is.New(t)
	s := NewRetryState(RetryConfig{Repeatable: true, MaxAttempts: 3, Deadline: testStart.Add(time.Second)})
	is.Equal(s.RecordOutcome(Lost{}, func() bool { return false }, testStart), NextStep(RefuseWith{answer.UpstreamFailed}))
}

// TestRetryStateNeverRefusesRunRequestAsNotRun checks random sequences of outcomes: a
// non-repeatable request runs at most once, MaxAttempts is kept, and no request that ran
// is refused with a kind that promises "not run".
func TestRetryStateNeverRefusesRunRequestAsNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		maxAttempts := rapid.IntRange(1, 4).Draw(t, "limit")
		s := NewRetryState(RetryConfig{Repeatable: repeatable, MaxAttempts: maxAttempts, Deadline: testStart.Add(time.Second)})
		now := testStart
		ran, reached := 0, 0
		var last NextStep
		for retry := true; retry; {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			var o Outcome
			switch rapid.IntRange(0, 4).Draw(t, "outcome") {
			case 0:
				o = Unsent{}
			case 1:
				o, reached = Declined{}, reached+1
			case 2: // the request runs, now or later, without a response
				o, reached, ran = Lost{}, reached+1, ran+1
			case 3: // the request does not run, and there is no response
				o, reached = Lost{}, reached+1
			default:
				o, reached, ran = Failed{}, reached+1, ran+1
			}
			last = s.RecordOutcome(o, func() bool { return rapid.Bool().Draw(t, "budget") }, now)
			if _, retry = last.(Retry); retry && rapid.Bool().Draw(t, "no upstream for the retry") {
				end := rapid.SampledFrom([]func(time.Time) RefuseWith{s.NoUpstream, s.NoUpstreamInRegion, s.Held, s.PromptHeld, s.RequestHeld, func(time.Time) RefuseWith { return s.TimedOut(false) }})
				last, retry = end.Draw(t, "end")(now), false
			}
		}
		if !repeatable && ran > 1 {
			t.Fatalf("ran %d times", ran)
		}
		if reached > maxAttempts {
			t.Fatalf("sent to %d upstreams, the limit is %d", reached, maxAttempts)
		}
		if refusal, ok := last.(RefuseWith); ok && answer.Lookup(refusal.Kind).Run == answer.NotRun && ran > 0 {
			t.Fatalf("refused as %s, which promises that it did not run, but it ran", refusal.Kind)
		}
		if refusal, ok := last.(RefuseWith); ok && ran > 0 && answer.Lookup(refusal.Kind).Status == http.StatusServiceUnavailable {
			t.Fatalf("refused as %s with the status of requests that did not run, but it ran", refusal.Kind)
		}
	})
}

func TestTimedOutPromisesNotRunOnlyIfUnsent(t *testing.T) {
	is := is.New(t)
	s := NewRetryState(RetryConfig{MaxAttempts: 1, Deadline: testStart})
	is.Equal(s.TimedOut(true), RefuseWith{answer.DeadlineExceeded})
	is.Equal(s.TimedOut(false), RefuseWith{answer.Overloaded})
}
