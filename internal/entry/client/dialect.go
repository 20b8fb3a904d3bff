package client

import (
	"net/http"
	"time"
)

// Dialect turns the header names that a deployment's callers and upstreams use
// into what the entry goes by, and back.
type HeaderCodec interface {
	// Request reads a caller's headers.
	ParseRequest(h http.Header) RequestInfo
	// Forward puts the entry's own headers into those that go to an upstream.
	SetForwardHeaders(h http.Header, f ForwardInfo)
	// Answer reads an upstream's headers.
	ParseResponse(h http.Header) ResponseInfo
	// Echo puts a request's id into the headers of the entry's own answer.
	SetRequestID(h http.Header, id string)
}

// RequestInfo is what a caller says about its request besides method and path.
type RequestInfo struct {
	// ID is the caller's name for this request.
	ID string
	// TimeLeft is how long the caller waits, 0 when it does not say.
	TimeLeft time.Duration
	// Key is the client account's key, empty for none.
	APIKey string
	// LastEvent is the id of the last event that the caller has of a stream.
	LastEventID string
	// PromptTokens is the prompt's size, AnswerTokens the most that may be
	// generated, LengthHint the caller's own guess; 0 where it does not say.
	PromptTokens, MaxOutputTokens, LengthHint int
}

// Forward is what the entry tells an upstream about a request.
type ForwardInfo struct {
	// Instance is the incarnation that the request is meant for.
	UpstreamID string
	// Account is the client account that holds the caller's key, empty for none.
	Account string
	// TimeLeft is how long the caller still waits, 0 when it does not say.
	TimeLeft time.Duration
	// LastEvent resumes a stream after an event; empty leaves the caller's own.
	LastEventID string
}

// AnswerInfo is what an upstream says about its answer.
type ResponseInfo struct {
	// ID is the id of the request that is answered.
	ID string
	// Signed tells whether the answer carries the upstream's signature.
	Signed bool
	// NotRun is the upstream's promise that it did not and will not run the request.
	NotRun bool
	// GroupFault tells that another rank of the upstream's group is at fault.
	GroupFault bool
	// Load is nil when the upstream does not tell.
	Load *Load
}

// Load is the load that an upstream reports.
type Load struct{ Running, Waiting, Slots int }
