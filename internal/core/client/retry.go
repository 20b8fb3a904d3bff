package client

import (
	"time"

	"bramleydeal/internal/world/answer"
)

// Attempt follows one caller's request over the upstreams that it is sent to. It
// decides after each outcome whether the request may be sent once more, and what
// the caller is told otherwise: a refusal that promises "not run" only while
// every upstream that was sent the request has said so.
type RetryState struct {
	config RetryConfig
	// sent counts upstreams that may have read the request, unsent the
	// connections that failed before.
	attempts, failedConnections int
	mayHaveRun                  bool
	stopReason                  StopReason
}

// Why says for what reason a request was not sent once more.
type StopReason string

// The reasons.
const (
	NoUpstreamLeft   StopReason = "no upstream left"
	NoTimeLeft       StopReason = "no time left"
	NoAttemptsLeft   StopReason = "no tries left"
	NotRepeatable    StopReason = "may have run and is not repeatable"
	NoBudgetLeft     StopReason = "retry budget used up"
	NoConnectionMade StopReason = "no connection made"
)

// AttemptRules say what a request may do.
type RetryConfig struct {
	// Repeatable requests may be sent again after they may have run.
	Repeatable bool
	// Limit is the most upstreams that the request may be sent to.
	MaxAttempts int
	// Until is when the caller must have its answer.
	Deadline time.Time
}

// Bounds of one request's tries.
const (
	// maxUnsent is how many connections may fail before the request is refused.
	maxFailedConnections = 4
	// minLeft is the time below which nothing more is tried: a connection, a
	// request and an answer take some milliseconds.
	minTimeLeft = 15 * time.Millisecond
)

// NewAttempt returns the attempt of a request that was not sent yet.
func NewRetryState(r RetryConfig) *RetryState { return &RetryState{config: r} }

// Outcome is how one try at an upstream ended without an answer for the caller.
type Outcome interface{ outcome() }

// Unsent means that no byte of the request left this process.
type Unsent struct{}

// Declined means that the upstream said that it did not and will not run it.
type Declined struct{}

// Lost means that the request was sent and its outcome is not known: a reset, a
// silence, or bytes that are no whole answer.
type Lost struct{}

// Failed means that the upstream answered whole with a failure of its own.
type Failed struct{}

func (Unsent) outcome()   {}
func (Declined) outcome() {}
func (Lost) outcome()     {}
func (Failed) outcome()   {}

// Next is what is done after an outcome.
type NextStep interface{ next() }

// Again sends the request to another upstream.
type Retry struct{}

// RefuseWith ends the request with a refusal of this process.
type RefuseWith struct{ Kind answer.Kind }

// PassOn gives the caller the upstream's own failure.
type PassFailure struct{}

func (Retry) next()       {}
func (RefuseWith) next()  {}
func (PassFailure) next() {}

// Ended takes in an outcome. mayRepeat asks the retry budget, and is called only
// where everything else allows one more try.
func (a *RetryState) RecordOutcome(o Outcome, mayRepeat func() bool, now time.Time) NextStep {
	switch o.(type) {
	case Unsent:
		a.failedConnections++
		a.stopReason = NoConnectionMade
		if a.failedConnections < maxFailedConnections && a.hasTimeLeft(now) {
			return Retry{}
		}
	case Declined:
		a.attempts++
		if a.mayRetry(now, mayRepeat) {
			return Retry{}
		}
	case Lost:
		a.attempts++
		a.mayHaveRun = true
		if a.mayRetry(now, mayRepeat) {
			return Retry{}
		}
	case Failed:
		a.attempts++
		a.mayHaveRun = true
		if a.mayRetry(now, mayRepeat) {
			return Retry{}
		}
		return PassFailure{}
	}
	return a.refusal(now)
}

// Unserved tells what the caller is told when no upstream can take the request.
func (a *RetryState) NoUpstream(now time.Time) RefuseWith {
	a.stopReason = NoUpstreamLeft
	if a.mayHaveRun {
		return a.refusal(now)
	}
	return RefuseWith{answer.NoUpstream}
}

// TimedOut tells what the caller is told when its time is up. underWay is true
// while an upstream that was sent the request has not answered.
func (a *RetryState) TimedOut(underWay bool) RefuseWith {
	a.stopReason = NoTimeLeft
	if underWay || a.mayHaveRun {
		return RefuseWith{answer.DeadlineExceeded}
	}
	return RefuseWith{answer.Overloaded}
}

func (a *RetryState) refusal(now time.Time) RefuseWith {
	switch {
	case a.mayHaveRun && !a.hasTimeLeft(now):
		return RefuseWith{answer.DeadlineExceeded}
	case a.mayHaveRun:
		return RefuseWith{answer.UpstreamFailed}
	case a.attempts == 0:
		return RefuseWith{answer.NoUpstream}
	default:
		return RefuseWith{answer.Overloaded}
	}
}

// mayBeSentAgain tells whether there is one more try, and keeps the reason if not.
func (a *RetryState) mayRetry(now time.Time, mayRepeat func() bool) bool {
	switch {
	case a.mayHaveRun && !a.config.Repeatable:
		a.stopReason = NotRepeatable
	case a.attempts >= a.config.MaxAttempts:
		a.stopReason = NoAttemptsLeft
	case !a.hasTimeLeft(now):
		a.stopReason = NoTimeLeft
	case !mayRepeat():
		a.stopReason = NoBudgetLeft
	default:
		return true
	}
	return false
}

func (a *RetryState) hasTimeLeft(now time.Time) bool {
	return a.config.Deadline.Sub(now) >= minTimeLeft
}

// Why returns the reason for which the request was not sent once more.
func (a *RetryState) StopReason() StopReason { return a.stopReason }

// Sent returns how many upstreams may have read the request.
func (a *RetryState) Attempts() int { return a.attempts }
