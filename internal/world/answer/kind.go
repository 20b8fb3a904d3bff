// Package answer defines the refusals: the error responses that this system produces
// itself. It holds the closed list of error kinds and the table that maps each kind to
// an HTTP response. It does not decide when a kind applies.
package answer

import (
	"net/http"
	"time"
)

// Kind is a reason for which a request gets no response from an upstream. Every Kind has
// exactly one row in the table.
type Kind string

// RunStatus says whether a refused request ran at an upstream.
type RunStatus string

// The values of RunStatus. NotRun guarantees that the request did not run, and that no copy
// of it still in transit will. RunUnknown means that it may have run.
const (
	NotRun     RunStatus = "not-run"
	Ran        RunStatus = "ran"
	RunUnknown RunStatus = "unknown"
)

// The error kinds. The Meaning of a row explains each.
const (
	InvalidRequest     Kind = "invalid-request"
	Unauthorized       Kind = "unauthorized"
	Forbidden          Kind = "forbidden"
	NotFound           Kind = "not-found"
	TooLarge           Kind = "too-large"
	Overloaded         Kind = "overloaded"
	QueueTimeout       Kind = "queue-timeout"
	NoUpstream         Kind = "no-upstream"
	NoUpstreamInRegion Kind = "no-upstream-in-region"
	PromptHeld         Kind = "prompt-held"
	RequestHeld        Kind = "request-held"
	Leaving            Kind = "leaving"
	Sealed             Kind = "sealed"
	Undecided          Kind = "undecided"
	ClaimUnavailable   Kind = "claim-unavailable"
	OwnerUnreachable   Kind = "owner-unreachable"
	OutcomeUnknown     Kind = "outcome-unknown"
	TermMoved          Kind = "term-moved"
	KeyReused          Kind = "key-reused"
	AnswerGone         Kind = "answer-gone"
	StreamLost         Kind = "stream-lost"
	UpstreamFailed     Kind = "upstream-failed"
	DeadlineExceeded   Kind = "deadline-exceeded"
	Internal           Kind = "internal"
)

// Row describes the response for a kind.
type Row struct {
	Kind   Kind
	Status int
	Run    RunStatus
	// Retry tells whether the same request may succeed if it is sent again.
	Retry bool
	// RetryAfter is the delay before a retry, unless the refusal sets one.
	RetryAfter time.Duration
	// OpenAIType is the error type in the OpenAI error format.
	OpenAIType string
	// Meaning is the description of the kind on the reference page.
	Meaning string
}

// table holds the row of each kind, in the order of the reference page.
var table = []Row{
	{InvalidRequest, http.StatusBadRequest, NotRun, false, 0, "invalid_request_error", "The request is malformed; the detail names the place and the remedy."},
	{Unauthorized, http.StatusUnauthorized, NotRun, false, 0, "authentication_error", "The bearer key is missing or belongs to no client account."},
	{Forbidden, http.StatusForbidden, NotRun, false, 0, "permission_error", "The client account may not use this service or model."},
	{NotFound, http.StatusNotFound, NotRun, false, 0, "invalid_request_error", "No such service, model or path."},
	{TooLarge, http.StatusRequestEntityTooLarge, NotRun, false, 0, "invalid_request_error", "The body is larger than body-limit."},
	{Overloaded, http.StatusServiceUnavailable, NotRun, true, time.Second, "overloaded_error", "The upstreams' queues are full, or the request could not have been served in time."},
	{QueueTimeout, http.StatusServiceUnavailable, NotRun, true, time.Second, "overloaded_error", "The request waited for queue-wait without being started."},
	{NoUpstream, http.StatusServiceUnavailable, NotRun, true, 2 * time.Second, "overloaded_error", "No upstream of this service or model can be reached."},
	{NoUpstreamInRegion, http.StatusServiceUnavailable, NotRun, true, 5 * time.Second, "overloaded_error", "The service has upstreams, but none in the regions that may handle the request."},
	{PromptHeld, http.StatusServiceUnavailable, NotRun, true, 5 * time.Second, "overloaded_error", "Upstreams ended as they began to answer requests with a part of this prompt; such requests are held back for a time."},
	{RequestHeld, http.StatusServiceUnavailable, NotRun, true, 5 * time.Second, "overloaded_error", "Upstreams ended as they ran requests equal to this one; such requests are held back for a time."},
	{Leaving, http.StatusServiceUnavailable, NotRun, true, time.Second, "overloaded_error", "The upstream or the entry is leaving and takes no new work."},
	{Sealed, http.StatusConflict, NotRun, true, time.Second, "conflict_error", "This attempt was refused earlier and arrived late; a new attempt may run."},
	{Undecided, http.StatusServiceUnavailable, RunUnknown, true, 2 * time.Second, "overloaded_error", "This attempt was refused, but an earlier one with the same key may have run. Retry with the same key."},
	{ClaimUnavailable, http.StatusServiceUnavailable, RunUnknown, true, 5 * time.Second, "overloaded_error", "The platform that decides keys without a session is away. This attempt did not run; an earlier one with the same key may have. Retry with the same key, or open a session."},
	{OwnerUnreachable, http.StatusGatewayTimeout, RunUnknown, true, 2 * time.Second, "api_error", "The owner of this session, key or stream does not answer. Retry with the same key and session, or the same Last-Event-ID; new work goes under the new session in the answer's header."},
	{OutcomeUnknown, http.StatusBadGateway, RunUnknown, false, 0, "api_error", "The request may have run; its owner or its upstream was lost. It will not run again under this key."},
	{TermMoved, http.StatusServiceUnavailable, RunUnknown, true, time.Second, "api_error", "The owner handed its ledger to a successor that cannot be reached yet. Retry with the same key."},
	{KeyReused, http.StatusUnprocessableEntity, RunUnknown, false, 0, "invalid_request_error", "The key was used before with another request."},
	{AnswerGone, http.StatusGone, Ran, false, 0, "api_error", "The request ran; its answer was larger than answer-buffer and is no longer kept."},
	{StreamLost, http.StatusGone, RunUnknown, false, 0, "api_error", "The stream named by Last-Event-ID is no longer held and cannot be repeated exactly. Send the request anew."},
	{UpstreamFailed, http.StatusBadGateway, RunUnknown, true, time.Second, "api_error", "Every upstream tried failed before the end of its answer."},
	{DeadlineExceeded, http.StatusGatewayTimeout, RunUnknown, true, time.Second, "api_error", "The request's deadline passed while it was running."},
	{Internal, http.StatusInternalServerError, RunUnknown, false, 0, "api_error", "A fault in bramleydeal itself; the log has the request id."},
}

var rowByKind = func() map[Kind]Row {
	m := make(map[Kind]Row, len(table))
	for _, r := range table {
		m[r.Kind] = r
	}
	return m
}()

// Lookup returns the row of a kind, or that of Internal if the kind has none.
func Lookup(k Kind) Row {
	if r, ok := rowByKind[k]; ok {
		return r
	}
	return rowByKind[Internal]
}

// Table returns a copy of all rows in the order of the reference page.
func Table() []Row { return append([]Row(nil), table...) }
