package client

import (
	"time"

	"bramleydeal/internal/world/answer"
)

// RetryState tracks the attempts at one caller's request. An attempt is one sending of
// the request to one upstream. After each outcome RetryState decides whether the request
// may be retried, and if not, how the caller is refused: with a kind that promises "not
// run" only if every upstream that was sent the request declined it.
type RetryState struct {
	config RetryConfig
	// attempts is the number of upstreams that may have received the request.
	// failedConnections is the number of connections that failed before any byte of
	// the request was sent.
	attempts, failedConnections int
	// mayHaveRun is set once an attempt was neither unsent nor declined.
	mayHaveRun bool
	stopReason StopReason
}

// StopReason is the reason for which a request was not retried. It is shown to callers
// and in log lines.
type StopReason string

// The reasons for which a request is not retried.
const (
	NoUpstreamLeft   StopReason = "no upstream left"
	NoneInRegion     StopReason = "no upstream in the regions of the route and the client account"
	UpstreamsHeld    StopReason = "the upstreams left asked for fewer requests"
	NoTimeLeft       StopReason = "no time left"
	NoAttemptsLeft   StopReason = "no tries left"
	NotRepeatable    StopReason = "may have run and is not repeatable"
	NoQuotaLeft      StopReason = "retry budget used up"
	NoConnectionMade StopReason = "no connection made"
	ServiceFull      StopReason = "more requests would make the answers late"
	PromptHeldBack   StopReason = "a part of the prompt may end upstreams"
	RequestHeldBack  StopReason = "equal requests have ended upstreams"
)

// RetryConfig holds the limits on the attempts at one request.
type RetryConfig struct {
	// Repeatable allows a retry of a request that may have run.
	Repeatable bool
	// MaxAttempts is the maximum number of upstreams that the request may be sent to.
	MaxAttempts int
	// Deadline is when the response to the caller must be ready.
	Deadline time.Time
}

// Limits that apply to every request.
const (
	// maxFailedConnections is the number of failed connections after which the
	// request is refused.
	maxFailedConnections = 4
	// minTimeLeft is the time before the deadline below which the request is not
	// retried: connecting, sending and receiving take some milliseconds.
	minTimeLeft = 15 * time.Millisecond
)

// NewRetryState returns the state of a request that was not sent yet.
func NewRetryState(config RetryConfig) *RetryState { return &RetryState{config: config} }

// Outcome is how one unsuccessful attempt ended: Unsent, Declined, Lost or Failed.
type Outcome interface{ outcome() }

// Unsent means that the connection failed before any byte of the request was sent.
type Unsent struct{}

// Declined means that the upstream replied that it has not run the request and will not.
type Declined struct{}

// Lost means that the request was sent and its outcome is unknown: the connection was
// reset, the response timed out, or the response was incomplete.
type Lost struct{}

// Failed means that the upstream sent a complete error response of its own.
type Failed struct{}

func (Unsent) outcome()   {}
func (Declined) outcome() {}
func (Lost) outcome()     {}
func (Failed) outcome()   {}

// NextStep is what to do with a request after an outcome: Retry, RefuseWith or
// PassFailure.
type NextStep interface{ next() }

// Retry means that the request is sent to another upstream.
type Retry struct{}

// RefuseWith means that the caller is refused with an error response of this process.
type RefuseWith struct{ Kind answer.Kind }

// PassFailure means that the caller gets the upstream's error response.
type PassFailure struct{}

func (Retry) next()       {}
func (RefuseWith) next()  {}
func (PassFailure) next() {}

// RecordOutcome records the outcome of an attempt and returns the next step. takeRetry
// takes a retry from the retry quota and reports whether there was one; it is called only
// if nothing else forbids a retry. Unsent attempts are retried without it.
func (s *RetryState) RecordOutcome(o Outcome, takeRetry func() bool, now time.Time) NextStep {
	switch o.(type) {
	case Unsent:
		s.failedConnections++
		s.stopReason = NoConnectionMade
		if s.failedConnections < maxFailedConnections && s.hasTimeLeft(now) {
			return Retry{}
		}
	case Declined:
		s.attempts++
		if s.mayRetry(now, takeRetry) {
			return Retry{}
		}
	case Lost:
		s.attempts++
		s.mayHaveRun = true
		if s.mayRetry(now, takeRetry) {
			return Retry{}
		}
	case Failed:
		s.attempts++
		s.mayHaveRun = true
		if s.mayRetry(now, takeRetry) {
			return Retry{}
		}
		return PassFailure{}
	}
	return s.refusal(now)
}

// NoUpstream returns the refusal for a request that no upstream can take.
func (s *RetryState) NoUpstream(now time.Time) RefuseWith {
	s.stopReason = NoUpstreamLeft
	if s.mayHaveRun {
		return s.refusal(now)
	}
	return RefuseWith{answer.NoUpstream}
}

// NoUpstreamInRegion returns the refusal for a request whose service has upstreams, but none in
// the regions that may handle the request.
func (s *RetryState) NoUpstreamInRegion(now time.Time) RefuseWith {
	s.stopReason = NoneInRegion
	if s.mayHaveRun {
		return s.refusal(now)
	}
	return RefuseWith{answer.NoUpstreamInRegion}
}

// Held returns the refusal for a request that no upstream can take now because of the
// limits that they have named, or of the times for which they want no requests.
func (s *RetryState) Held(now time.Time) RefuseWith {
	s.stopReason = UpstreamsHeld
	if s.mayHaveRun {
		return s.refusal(now)
	}
	return RefuseWith{answer.Overloaded}
}

// Full returns the refusal for a request that was not admitted because of the load.
func (s *RetryState) Full(now time.Time) RefuseWith {
	s.stopReason = ServiceFull
	if s.mayHaveRun {
		return s.refusal(now)
	}
	return RefuseWith{answer.Overloaded}
}

// PromptHeld returns the refusal for a request whose prompt has a part on which upstreams may
// end.
func (s *RetryState) PromptHeld(now time.Time) RefuseWith {
	s.stopReason = PromptHeldBack
	if s.mayHaveRun {
		return s.refusal(now)
	}
	return RefuseWith{answer.PromptHeld}
}

// RequestHeld returns the refusal for a request on which, as a whole, upstreams may end.
func (s *RetryState) RequestHeld(now time.Time) RefuseWith {
	s.stopReason = RequestHeldBack
	if s.mayHaveRun {
		return s.refusal(now)
	}
	return RefuseWith{answer.RequestHeld}
}

// TimedOut returns the refusal for a request whose deadline has passed. pending is true
// if an upstream that may have received the request has not responded.
func (s *RetryState) TimedOut(pending bool) RefuseWith {
	s.stopReason = NoTimeLeft
	if pending || s.mayHaveRun {
		return RefuseWith{answer.DeadlineExceeded}
	}
	return RefuseWith{answer.Overloaded}
}

// refusal returns the refusal for a request that is not retried.
func (s *RetryState) refusal(now time.Time) RefuseWith {
	switch {
	case s.mayHaveRun && !s.hasTimeLeft(now):
		return RefuseWith{answer.DeadlineExceeded}
	case s.mayHaveRun:
		return RefuseWith{answer.UpstreamFailed}
	case s.attempts == 0:
		return RefuseWith{answer.NoUpstream}
	default:
		return RefuseWith{answer.Overloaded}
	}
}

// mayRetry reports whether the request may be retried, and sets the stop reason if not.
func (s *RetryState) mayRetry(now time.Time, takeRetry func() bool) bool {
	switch {
	case s.mayHaveRun && !s.config.Repeatable:
		s.stopReason = NotRepeatable
	case s.attempts >= s.config.MaxAttempts:
		s.stopReason = NoAttemptsLeft
	case !s.hasTimeLeft(now):
		s.stopReason = NoTimeLeft
	case !takeRetry():
		s.stopReason = NoQuotaLeft
	default:
		return true
	}
	return false
}

// hasTimeLeft reports whether enough time is left before the deadline for an attempt.
func (s *RetryState) hasTimeLeft(now time.Time) bool {
	return s.config.Deadline.Sub(now) >= minTimeLeft
}

// StopReason returns the reason for which the request was not retried.
func (s *RetryState) StopReason() StopReason { return s.stopReason }

// Attempts returns the number of upstreams that may have received the request.
func (s *RetryState) Attempts() int { return s.attempts }
