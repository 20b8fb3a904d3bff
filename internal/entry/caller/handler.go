// Package caller serves the HTTP callers of an entry: chat completions, plain
// services and sessions. It handles everything that a caller sees, from
// authentication to the last byte of the response. The agent that serves a
// request is chosen through package agent.
package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bramleydeal/internal/entry/agent"
	"bramleydeal/internal/entry/store"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/inbound"
	"bramleydeal/internal/world/answer"
	"bramleydeal/internal/world/fleet"
	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
)

// Names of the headers between callers and the entry.
const (
	SessionHeader     = "Bramleydeal-Session"
	RequestIDHeader   = "X-Request-Id"
	keyHeader         = "Idempotency-Key"
	lastEventIDHeader = "Last-Event-Id"
	ownHeaderPrefix   = "Bramleydeal-"
)

// maxKeyLength is the maximum length of an idempotency key in bytes.
const maxKeyLength = 255

// Handler serves the callers of one entry.
type Handler struct {
	self     string
	domain   fleet.FailureDomain
	current  func() *snapshot.Snapshot
	balancer *agent.Balancer
	claims   *store.Claims
	log      logr.Logger

	draining atomic.Bool
	inFlight atomic.Int64
	stats    Stats
}

// Stats counts requests by what happened to them. Moved and Reattached count a
// request each time; Completed leaves out requests that run at most once.
type Stats struct {
	Requests, Refused, Moved, Reattached, Completed, Interrupted atomic.Uint64
}

// Config holds the dependencies of a Handler.
type Config struct {
	Self          string
	FailureDomain fleet.FailureDomain
	Current       func() *snapshot.Snapshot
	Balancer      *agent.Balancer
	Claims        *store.Claims
	Log           logr.Logger
}

// New returns a Handler.
func New(c Config) *Handler {
	return &Handler{self: c.Self, domain: c.FailureDomain, current: c.Current, balancer: c.Balancer, claims: c.Claims, log: c.Log}
}

// Routes returns the HTTP handler for all paths that callers use.
func (h *Handler) Routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/readyz", h.ready)
	r.Post("/v1/chat/completions", h.admit(openAIErrors, h.chat))
	r.Get("/v1/chat/completions", h.admit(openAIErrors, h.resumeChat))
	r.Get("/v1/models", h.admit(openAIErrors, h.models))
	r.Post("/sessions", h.admit(problemErrors, h.openSession))
	r.HandleFunc("/services/{service}", h.admit(problemErrors, h.service))
	r.HandleFunc("/services/{service}/*", h.admit(problemErrors, h.service))
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		answer.Refuse(answer.NotFound, "no such path: %s", r.URL.Path).Write(w, "")
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		answer.Refuse(answer.NotFound, "%s is not served at %s", r.Method, r.URL.Path).Write(w, "")
	})
	return r
}

// Drain makes /readyz respond with 503 and asks callers to close their
// connections.
func (h *Handler) Drain() { h.draining.Store(true) }

// ready serves the readiness check of the platform's load balancer.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case h.draining.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case h.current().Revision == 0:
		http.Error(w, "no settings yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
		// Write errors are ignored: they mean that the load balancer is gone.
		_, _ = io.WriteString(w, "ready\n")
	}
}

// request is a caller's request and the data derived from it.
type request struct {
	id          string
	account     string
	arrived     time.Time
	snapshot    *snapshot.Snapshot
	scope       tree.Scope
	body        []byte
	errorFormat errorFormat
	log         logr.Logger
	// connection counts what the request holds, nil if nothing does.
	connection *inbound.Conn
}

// errorFormat is the format of the error responses to a caller.
type errorFormat int

const (
	// problemErrors are problem documents (application/problem+json).
	problemErrors errorFormat = iota
	// openAIErrors are errors in the format of the OpenAI API.
	openAIErrors
)

// refuse responds with a refusal, counts it and logs it.
func (h *Handler) refuse(w http.ResponseWriter, rq *request, r *answer.Refusal) {
	h.stats.Refused.Add(1)
	rq.log.Info("refused", "kind", r.Kind, "detail", r.Detail)
	if rq.errorFormat == openAIErrors {
		r.WriteOpenAI(w, rq.id)
		return
	}
	r.Write(w, rq.id)
}

// requestHandler serves a request that was admitted.
type requestHandler func(w http.ResponseWriter, r *http.Request, rq *request)

// admit returns a handler that authenticates requests, limits how many are in
// progress, and passes the admitted ones to next.
func (h *Handler) admit(format errorFormat, next requestHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rq := h.newRequest(r, format)
		defer rq.connection.End()
		w.Header().Set(RequestIDHeader, rq.id)
		if h.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.stats.Requests.Add(1)
		if refusal := h.authenticate(r, rq); refusal != nil {
			h.refuse(w, rq, refusal)
			return
		}
		defer h.inFlight.Add(-1)
		limit := tree.Get(rq.snapshot.Tree, tree.Scope{FailureDomain: string(h.domain)}, reference.EntryConcurrency)
		// The lines of the head are held once more as they are sent on, and the answer as it arrives.
		if h.inFlight.Add(1) > int64(limit) || !rq.connection.Begin() || !rq.connection.Reserve(rq.connection.HeadCost()+2*dial.StreamWindow) {
			h.refuse(w, rq, h.refuseOverloaded(r, rq))
			return
		}
		if r.ContentLength == 0 && !rq.connection.SetWaiting() {
			h.refuse(w, rq, h.refuseOverloaded(r, rq))
			return
		}
		next(w, r, rq)
	}
}

func (h *Handler) newRequest(r *http.Request, format errorFormat) *request {
	id := r.Header.Get(RequestIDHeader)
	if id == "" || len(id) > 64 || strings.ContainsFunc(id, invalidIDRune) {
		id = strconv.FormatUint(rand.Uint64(), 36)
	}
	return &request{
		id: id, arrived: time.Now(), snapshot: h.current(), errorFormat: format,
		scope: tree.Scope{FailureDomain: string(h.domain)},
		log:   h.log.WithValues("request", id), connection: inbound.FromContext(r.Context()),
	}
}

func invalidIDRune(c rune) bool {
	return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.')
}

// authenticate sets the client account that the bearer key belongs to.
func (h *Handler) authenticate(r *http.Request, rq *request) *answer.Refusal {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return answer.Refuse(answer.Unauthorized, "send the account's key as Authorization: Bearer KEY")
	}
	account, ok := rq.snapshot.Account(key)
	if !ok {
		return answer.Refuse(answer.Unauthorized, "the key belongs to no client account")
	}
	rq.account = account
	rq.scope.ClientAccount = account
	return nil
}

// refuseOverloaded returns the refusal of a request because the entry is at its
// concurrency limit. An earlier attempt of a request with an idempotency key
// may have run, so Overloaded, which states that the request did not run, needs
// the confirmation of the session's owner.
func (h *Handler) refuseOverloaded(r *http.Request, rq *request) *answer.Refusal {
	key := r.Header.Get(keyHeader)
	if key == "" {
		return answer.Refuse(answer.Overloaded, "the entry serves as many requests as it may")
	}
	if s, ok := parseSession(r.Header.Get(SessionHeader)); ok && h.sealProvesNotRun(r.Context(), rq, s, key) {
		return answer.Refuse(answer.Overloaded, "the entry serves as many requests as it may")
	}
	return answer.Refuse(answer.Undecided, "the entry serves as many requests as it may")
}

// withDeadline returns a context that ends when the time for the request
// (setting request-deadline) is over.
func (h *Handler) withDeadline(ctx context.Context, rq *request) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, rq.arrived.Add(tree.Get(rq.snapshot.Tree, rq.scope, reference.RequestDeadline)))
}

// State is the handler's debug state.
type State struct {
	InFlight    int64  `json:"in-flight"`
	Draining    bool   `json:"draining"`
	Requests    uint64 `json:"requests"`
	Refused     uint64 `json:"refused"`
	Moved       uint64 `json:"moved"`
	Reattached  uint64 `json:"reattached"`
	Completed   uint64 `json:"completed"`
	Interrupted uint64 `json:"broken"`
}

// State returns the handler's debug state.
func (h *Handler) State() State {
	return State{
		InFlight: h.inFlight.Load(), Draining: h.draining.Load(), Requests: h.stats.Requests.Load(),
		Refused: h.stats.Refused.Load(), Moved: h.stats.Moved.Load(), Reattached: h.stats.Reattached.Load(),
		Completed: h.stats.Completed.Load(), Interrupted: h.stats.Interrupted.Load(),
	}
}
