package client

import (
	"net/http"
	"time"

	"bramleydeal/internal/core/upstream"
)

// HeaderCodec maps between the names and formats of the HTTP headers that a
// deployment uses and the values that the entry works with.
type HeaderCodec interface {
	// ParseRequest returns what a caller's request headers say.
	ParseRequest(h http.Header) RequestInfo
	// SetForwardHeaders sets the entry's own headers in h, the headers of a
	// request to an upstream.
	SetForwardHeaders(h http.Header, f ForwardInfo)
	// ParseResponse returns what the headers of an upstream's response with the given
	// status say.
	ParseResponse(status int, h http.Header) ResponseInfo
	// SetRequestID sets the request's ID in the headers of a response that the
	// entry itself produces.
	SetRequestID(h http.Header, id string)
}

// RequestInfo holds the values of a caller's request headers.
type RequestInfo struct {
	// ID is the request's ID as the caller chose it.
	ID string
	// TimeLeft is how long the caller waits for its response, 0 if not given.
	TimeLeft time.Duration
	// APIKey is the client account's API key, empty if none was sent.
	APIKey string
	// LastEventID is the ID of the last event of a stream that the caller
	// received.
	LastEventID string
	// PromptTokens is the size of the prompt, MaxOutputTokens the most tokens
	// that may be generated, LengthHint the caller's estimate of the output's
	// length in tokens. Each is 0 if not given.
	PromptTokens, MaxOutputTokens, LengthHint int
	// SharedParts are the IDs of the parts of the prompt that other requests may hold
	// too, in order, nil if none are given.
	SharedParts []string
	// Prompt describes the model and the prompt with all its parts, empty if there is none.
	// Equal requests have equal ones.
	Prompt string
}

// ForwardInfo holds the values of the entry's own headers in a request to an
// upstream.
type ForwardInfo struct {
	// UpstreamID is the ID of the upstream that the request is meant for;
	// another one that receives it must refuse it.
	UpstreamID string
	// Account is the client account that the caller's API key belongs to, empty
	// if none. It replaces whatever the caller sent, and so do Rank and Ranked.
	Account string
	// TimeLeft is how much longer the caller waits, 0 if not known.
	TimeLeft time.Duration
	// Rank is the rank of the request's urgency from 0, the most urgent, to
	// MaxUrgencyRank. It counts only if Ranked is set.
	Rank   int
	Ranked bool
	// LastEventID is the ID of the event after which the upstream resumes a
	// stream. If it is empty, the header that the caller sent stays.
	LastEventID string
}

// MaxUrgencyRank is the rank of the least urgent requests.
const MaxUrgencyRank = 9

// ResponseInfo holds the values of an upstream's response headers.
type ResponseInfo struct {
	// ID is the ID of the request that this is the response to.
	ID string
	// Signed reports whether the response carries the upstream's signature.
	Signed bool
	// NotRun reports that the upstream guarantees that it did not and will not
	// run the request.
	NotRun bool
	// GroupFault reports that the request was refused because another rank of
	// the upstream's group failed.
	GroupFault bool
	// Load is nil if the upstream did not report its load.
	Load *Load
	// Advice is what the upstream says about the requests that it takes.
	Advice upstream.Advice
	// Unread holds the names of the headers that this codec does not know.
	Unread []string
}

// Load is the load that an upstream reports: the numbers of running and waiting
// requests and of requests that it can run at once.
type Load struct{ Running, Waiting, Slots int }
