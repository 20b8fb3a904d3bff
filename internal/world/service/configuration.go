// Package service defines the data types of the configuration that operators write
// (routes, services, client accounts and limits) and of the upstreams that register
// themselves. It makes no decisions and does not depend on a storage format.
package service

import (
	"time"

	"bramleydeal/internal/world/fleet"
)

// Kind says whether a route's requests may run more than once.
type Kind int

// The kinds of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a stream of events. They may run more than
	// once only if their route is resumable.
	Stream
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non-idempotent"
	}
}

// Configuration is one version of the operators' configuration. It is immutable.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	Limits   Limits
}

// Route assigns the requests for one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout limits the time until a request is answered. If it is 0, DefaultTimeout
	// applies.
	Timeout time.Duration
	// LatencyTarget is the target for the time until the response, or until the first
	// event of a stream, 0 for none.
	LatencyTarget time.Duration
	// MaxGap is the target for the longest pause between two events of a stream, 0 for
	// none.
	MaxGap time.Duration
	// Attempts limits the number of upstreams that one request may be sent to.
	Attempts int
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Public routes require no API key.
	Public bool
	// Resumable means that a stream may be continued at another upstream.
	Resumable bool
	// Regions are the regions whose upstreams may serve the route's requests. Empty means
	// all.
	Regions []fleet.Region
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is one of the services of a route.
type Target struct {
	Service string
	// Weight is the target's share of the requests, relative to the weights of the
	// route's other targets.
	Weight float64
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the HTTP path of the upstreams' health check, empty for none.
	HealthPath string
	// MaxConnections limits the connections from all entries together to one upstream,
	// 0 for no limit.
	MaxConnections int
	// ColdTime is the time for which an upstream that has just started is cold, 0 if
	// upstreams of the service never are. ColdRate is the number of requests per second
	// that a cold upstream takes from all entries together.
	ColdTime time.Duration
	ColdRate float64
	// Engine describes the inference engines of the service. It is nil for a service
	// without any.
	Engine *Engine
}

// Engine describes the inference engines of a service. All times are those of one
// engine at its usual speed.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// MemoryTokens is the capacity of the engine's memory (KV cache) in tokens, which
	// prompts and generated tokens share.
	MemoryTokens int
	// StepTime is the fixed part of the time of one decoding step. SequenceTime is the
	// time that each running sequence adds, ContextTime the time that each thousand
	// tokens of context add.
	StepTime, SequenceTime, ContextTime time.Duration
	// PrefillRate is the number of prompt tokens processed per second.
	PrefillRate float64
	// PrefillChunk limits the prompt tokens processed in one step.
	PrefillChunk int
	// StepsPerPass is the number of decoding steps that the engine runs in one pass
	// while it has running sequences.
	StepsPerPass int
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and of
	// generated texts.
	MeanPromptTokens, MeanAnswerTokens int
	// Experts is nil if the engines do not run a mixture-of-experts model.
	Experts *Experts
}

// Experts describes the experts of an expert-parallel group and their placement.
type Experts struct {
	// Sets is the number of sets of layers that share one placement of their experts,
	// Count the number of experts of each set.
	Sets, Count int
	// Slots is the number of experts of a set that fit into one rank's memory.
	Slots int
	// MaxFetchesPerSet limits the experts of a set that one change of the expert map may
	// add to a rank.
	MaxFetchesPerSet int
	// FetchTime is the time that a rank takes to fetch one expert's weights, 0 if
	// unknown.
	FetchTime time.Duration
	// WorkShare is the share of the work per token that the experts do.
	WorkShare float64
	// FormTime is the time that a broken group takes to re-form and accept requests
	// again.
	FormTime time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is not nil.
	Priority *int
	// Regions are the regions whose upstreams may serve the account's requests, beside
	// those of the route. Empty means all.
	Regions []fleet.Region
}

// Limits limits the size and duration of requests. A value of 0 or less stands for the
// default.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout limits the time until the whole header of a request has arrived.
	// IdleTimeout limits the time that a connection stays open without a request.
	HeaderTimeout, IdleTimeout time.Duration
}
