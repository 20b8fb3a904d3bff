package client

import (
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
		repeatable bool
		limit      int
		outcomes   []Outcome
		now        time.Time
		want       NextStep
	}{
		"a connection that fails is no try":                  {false, 1, []Outcome{Unsent{}}, early, Retry{}},
		"too many connections fail":                          {false, 1, []Outcome{Unsent{}, Unsent{}, Unsent{}, Unsent{}}, early, RefuseWith{answer.NoUpstream}},
		"one that was declined goes on within its limit":     {false, 2, []Outcome{Declined{}}, early, Retry{}},
		"one that was declined at its limit has not run":     {false, 1, []Outcome{Declined{}}, early, RefuseWith{answer.Overloaded}},
		"a lost one that may not be repeated may have run":   {false, 2, []Outcome{Lost{}}, early, RefuseWith{answer.UpstreamFailed}},
		"a lost one that may be repeated is sent again":      {true, 2, []Outcome{Lost{}}, early, Retry{}},
		"a lost one stays doubtful when then declined":       {true, 2, []Outcome{Lost{}, Declined{}}, early, RefuseWith{answer.UpstreamFailed}},
		"a lost one stays doubtful when then not reached":    {true, 2, []Outcome{Lost{}, Unsent{}, Unsent{}, Unsent{}, Unsent{}}, early, RefuseWith{answer.UpstreamFailed}},
		"an upstream's failure is passed on":                 {false, 2, []Outcome{Failed{}}, early, PassFailure{}},
		"an upstream's failure is tried again if repeatable": {true, 2, []Outcome{Failed{}}, early, Retry{}},
		"nothing is tried when the time is up":               {true, 2, []Outcome{Lost{}}, late, RefuseWith{answer.DeadlineExceeded}},
		"one that was declined when the time is up":          {true, 2, []Outcome{Declined{}}, late, RefuseWith{answer.Overloaded}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := NewRetryState(RetryConfig{Repeatable: test.repeatable, MaxAttempts: test.limit, Deadline: testStart.Add(time.Second)})
			var got NextStep
			for _, o := range test.outcomes {
				got = a.RecordOutcome(o, allowRetry, test.now)
			}
			is.Equal(got, test.want)
		})
	}
}

func TestRetryStateAsksForRetryBeforeSecondAttempt(t *testing.T) {
	is := is.New(t)
	a := NewRetryState(RetryConfig{Repeatable: true, MaxAttempts: 3, Deadline: testStart.Add(time.Second)})
	is.Equal(a.RecordOutcome(Lost{}, func() bool { return false }, testStart), NextStep(RefuseWith{answer.UpstreamFailed}))
}

// TestAttemptRunsAtMostOnceAndRefusesTruthfully plays requests against upstreams
// that run, lose, decline or delay them in any order.
func TestRetryStateRunsAtMostOnceAndNeverRefusesARunRequestAsNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		a := NewRetryState(RetryConfig{Repeatable: repeatable, MaxAttempts: limit, Deadline: testStart.Add(time.Second)})
		now := testStart
		ran, reached := 0, 0
		var last NextStep
		for again := true; again; {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			var o Outcome
			switch rapid.IntRange(0, 4).Draw(t, "outcome") {
			case 0:
				o = Unsent{}
			case 1:
				o, reached = Declined{}, reached+1
			case 2: // it runs, now or later, and nobody hears of it
				o, reached, ran = Lost{}, reached+1, ran+1
			case 3: // it does not run, and nobody hears of that either
				o, reached = Lost{}, reached+1
			default:
				o, reached, ran = Failed{}, reached+1, ran+1
			}
			last = a.RecordOutcome(o, func() bool { return rapid.Bool().Draw(t, "budget") }, now)
			_, again = last.(Retry)
		}
		if !repeatable && ran > 1 {
			t.Fatalf("ran %d times", ran)
		}
		if reached > limit {
			t.Fatalf("sent to %d upstreams, the limit is %d", reached, limit)
		}
		if refusal, ok := last.(RefuseWith); ok && answer.Lookup(refusal.Kind).Run == answer.NotRun && ran > 0 {
			t.Fatalf("refused as %s, and it ran", refusal.Kind)
		}
	})
}

func TestTimedOutPromisesNotRunOnlyIfUnsent(t *testing.T) {
	is := is.New(t)
	a := NewRetryState(RetryConfig{MaxAttempts: 1, Deadline: testStart})
	is.Equal(a.TimedOut(true), RefuseWith{answer.DeadlineExceeded})
	is.Equal(a.TimedOut(false), RefuseWith{answer.Overloaded})
}
