// Package service owns the types that mirror what operators want served: routes,
// services, client accounts and the upstreams that register themselves. It
// decides nothing and knows no format in which any of this is kept.
package service

import "time"

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They are repeatable
	// only where their route is resumable.
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

// Configuration is one version of what operators want. It is never changed once built.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	Limits   Limits
}

// Route leads requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time that a request may stay unanswered, 0 for none.
	Timeout time.Duration
	// Latency is the time within which an answer, or a stream's first event, is
	// on time.
	LatencyTarget time.Duration
	// MaxGap is the longest pause between the events of a stream on time.
	MaxGap time.Duration
	// Attempts is the most upstreams that one request may be sent to.
	Attempts int
	// Priority ranks the route's requests, 0 first.
	Priority int
	// Public routes ask for no key.
	Public bool
	// Resumable streams may be continued at another upstream.
	Resumable bool
}

// Repeatable tells whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is one service that a route leads to.
type Target struct {
	Service string
	// Weight is the target's share relative to the route's other targets.
	Weight float64
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of one upstream from all instances,
	// 0 for no bound.
	MaxConnections int
	// Engine describes the model engines of the service, nil for a plain one.
	Engine *Engine
}

// Engine is what is known of a service's model engines. All times are those of
// one engine at its usual pace.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// MemoryTokens is the engine's memory for prompts and answers.
	MemoryTokens int
	// StepTime is the fixed part of one decoding step, SequenceTime what each
	// running sequence adds, ContextTime what each thousand tokens of context add.
	StepTime, SequenceTime, ContextTime time.Duration
	// ReadRate is the number of prompt tokens read a second.
	PrefillRate float64
	// ReadChunk is the most prompt tokens read in one step.
	PrefillChunk int
	// StepsPerPass is the number of steps that a pass with running sequences makes.
	StepsPerPass int
	// UsualPrompt and UsualAnswer are mean numbers of tokens.
	MeanPromptTokens, MeanAnswerTokens int
	// Experts is nil where the engines hold no experts.
	Experts *Experts
}

// Experts is the shape of an expert-parallel group.
type Experts struct {
	// Sets is the number of sets of layers, Count the experts of each set.
	Sets, Count int
	// Places is the number of experts of a set that one rank has memory for.
	Slots int
	// Spare is the most experts of a set that one map may add to a rank.
	MaxFetchesPerSet int
	// FetchTime is the time that a rank takes to copy one expert's weights.
	FetchTime time.Duration
	// Share is the part of the work for tokens that the experts do.
	WorkShare float64
	// FormTime is the time that a broken group takes to open again.
	FormTime time.Duration
}

// Account is one client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's when it is not nil.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time in which a request's head must arrive, Idle
	// the time that a connection may stay without a request.
	HeaderTimeout, IdleTimeout time.Duration
}
