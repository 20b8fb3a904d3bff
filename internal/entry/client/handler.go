// Package client serves the HTTP callers of an entry that forwards requests
// unchanged and directly to the upstreams, without agents. It handles a request
// from its first byte to the last byte of its response. Which upstream serves a
// request is decided in core/upstream, whether it is retried in core/client.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	core "bramleydeal/internal/core/client"
	"bramleydeal/internal/entry/upstream"
	"bramleydeal/internal/process/log"
	"bramleydeal/internal/wire/inbound"
	"bramleydeal/internal/world/answer"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// Timing and limits of the caller side.
const (
	// responseMargin is how long before the caller's own timeout the response
	// must be ready, so that it arrives in time.
	responseMargin = 30 * time.Millisecond
	// noUpstreamRetryAfter is the Retry-After delay if no upstream could be
	// used: an ejected upstream gets requests again after about that time.
	noUpstreamRetryAfter = 500 * time.Millisecond
	// overloadRetryAfter is the delay if the upstreams are overloaded. It is
	// short because each request that ends makes room for another.
	overloadRetryAfter = 250 * time.Millisecond
	// minOutageRetryAfter is the shortest delay during an outage of a whole
	// service, if the caller's remaining time allows it: a lost instance or
	// failure domain takes some seconds to return, and its group some more to
	// re-form.
	minOutageRetryAfter = 3 * time.Second
	// startingRetryAfter is the delay while this process has no configuration
	// yet.
	startingRetryAfter = 300 * time.Millisecond
	// drainingRetryAfter is the delay while this process drains. It is short
	// because other entries serve the request at once.
	drainingRetryAfter = 50 * time.Millisecond
	// successLogsPerSecond is how many requests that succeeded at the first
	// attempt are logged each second; more would be too many to read.
	successLogsPerSecond = 150
)

// Handler is the HTTP handler for the callers of one entry.
type Handler struct {
	view              func() *service.View
	awaitConfirmation func(context.Context)
	pools             *upstream.Pools
	headerCodec       HeaderCodec
	log               logr.Logger
	// successLogRate limits the log lines of requests that succeeded at the
	// first attempt; countSuppressed counts the lines that it suppressed.
	successLogRate  *log.RateLimiter
	countSuppressed func()
	counters        counters

	// unreadMu guards unread, the headers of upstreams that are counted as not read.
	unreadMu sync.Mutex
	unread   map[string]bool

	// heldBodies is the number of bytes of the bodies that are held.
	heldBodies atomic.Int64

	// identityKey is the key under which requests are identified.
	identityKey atomic.Pointer[core.IdentityKey]

	// accepting reports whether callers' connections are accepted.
	accepting func() bool

	draining atomic.Bool
	inFlight atomic.Int64
	// drain holds the times of the drain, nil if the process is not draining.
	drain atomic.Pointer[drainTimes]
}

// drainTimes are the times of a drain.
type drainTimes struct {
	// routedUntil is the time until which callers may still be routed here, endBy the
	// time by which the last response must be ready.
	routedUntil, endBy time.Time
}

// Config holds the dependencies of a Handler.
type Config struct {
	// View returns the current configuration and upstreams.
	View func() *service.View
	// AwaitConfirmation waits for a short time if this process's host was
	// suspended and the data from before is not confirmed yet. View has no
	// configuration until then.
	AwaitConfirmation func(context.Context)
	Pools             *upstream.Pools
	HeaderCodec       HeaderCodec
	Log               logr.Logger
	// CountSuppressed counts a log line that was suppressed.
	CountSuppressed func()
	Metrics         *metrics.Set
}

// New returns a Handler and registers its metrics in c.Metrics.
func New(c Config) *Handler {
	h := &Handler{
		view: c.View, awaitConfirmation: c.AwaitConfirmation, pools: c.Pools, headerCodec: c.HeaderCodec, log: c.Log, successLogRate: log.NewRateLimiter(successLogsPerSecond), countSuppressed: c.CountSuppressed, counters: counters{c.Metrics}, unread: map[string]bool{}, accepting: func() bool { return true },
	}
	c.Metrics.NewGauge("bramleydeal_held_body_bytes", func() float64 { return float64(h.heldBodies.Load()) })
	c.Metrics.NewGauge("bramleydeal_requests_in_flight", func() float64 { return float64(h.InFlight()) })
	return h
}

// SetIdentityKey sets the key under which requests are identified from now on. It must be
// called before the first request.
func (h *Handler) SetIdentityKey(k core.IdentityKey) { h.identityKey.Store(&k) }

// SetAccepting makes the handler ready only while f reports that callers' connections are accepted.
// It must be called before the first request.
func (h *Handler) SetAccepting(f func() bool) { h.accepting = f }

// Drain makes the handler report that it is not ready and ask callers to close their
// connections. Callers may still be routed here until routedUntil. The process will exit at
// exit, even if requests are still in progress. Requests that could be cut off then are refused,
// also those of callers that wait for a service.
func (h *Handler) Drain(routedUntil, exit time.Time) {
	t := &drainTimes{routedUntil, exit.Add(-responseMargin)}
	h.drain.Store(t)
	h.draining.Store(true)
	h.pools.LimitWaits(t.acceptUntil(usualStreamTime), t.endBy)
}

// acceptUntil returns the time until which requests are accepted that usually take no longer
// than the given time, whatever their limits are.
func (t *drainTimes) acceptUntil(usual time.Duration) time.Time {
	if latest := t.endBy.Add(-usual); latest.Before(t.routedUntil) {
		return latest
	}
	return t.routedUntil
}

// mayAccept reports whether a request that is sent at now may be accepted. A draining process
// accepts those that are not worked on after their deadline and end before its exit. Callers
// that are still routed here may meet another draining process when they come back, so
// they are not refused if their requests usually end in time. Those that run at most once are: a
// caller whose request is cut off must not send it again.
func (h *Handler) mayAccept(c *callerRequest, now time.Time) bool {
	t := h.drain.Load()
	if t == nil || !c.deadline.After(t.endBy) {
		return true
	}
	return c.route.Kind != service.NonIdempotent && now.Before(t.acceptUntil(usualTime(c.route)))
}

// refuseLeaving returns the refusal of a request that may last beyond the exit of the process.
func refuseLeaving() *answer.Refusal {
	return answer.Refuse(answer.Leaving, "this entry leaves, and the request may last longer").WithRetryAfter(drainingRetryAfter)
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Ready reports whether the entry can serve requests: it has a configuration
// and a list of upstreams, accepts connections and is not draining.
func (h *Handler) Ready() bool {
	v := h.view()
	return !h.draining.Load() && h.accepting() && v.Configuration != nil && v.UpstreamsKnown
}

// ServeReady serves the readiness check: 200 if the handler is ready, 503 if
// not.
func (h *Handler) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// callerRequest is a caller's request and the data derived from it.
type callerRequest struct {
	info    RequestInfo
	arrived time.Time
	// connection counts what the request holds, nil if nothing does.
	connection *inbound.Conn
	// deadline is when the response must be sent; callerDeadline is when the
	// caller stops waiting, zero if not known.
	deadline, callerDeadline time.Time
	view                     *service.View
	route                    *service.Route
	service                  string
	account                  *service.Account
	// body is the body in pieces, bodyReserved the bytes that are reserved for it.
	body         [][]byte
	bodyReserved int64
	// identity tells the request apart from others with other content.
	identity string
	// answered is set once the head of a response was written.
	answered bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	arrived := time.Now()
	h.awaitConfirmation(r.Context())
	c := &callerRequest{info: h.headerCodec.ParseRequest(r.Header), arrived: arrived, view: h.view(), connection: inbound.FromContext(r.Context())}
	defer c.connection.End()
	defer h.releaseBody(c)
	if !c.connection.Begin() {
		h.refuse(w, c, refuseMemory())
		return
	}
	if refusal := h.resolve(w, r, c); refusal != nil {
		h.refuse(w, c, refusal)
		return
	}
	if !c.connection.SetWaiting() {
		h.refuse(w, c, refuseMemory())
		return
	}
	c.identity = h.identify(r, c)
	h.pools.RecordRequest(c.service, c.arrived)
	h.forward(w, r, c)
	if !c.answered {
		// net/http would send a 200 response of its own.
		panic(http.ErrAbortHandler)
	}
}

// resolve sets the route, client account, service, deadlines and body of a
// request. It returns a refusal if the request cannot be served.
func (h *Handler) resolve(w http.ResponseWriter, r *http.Request, c *callerRequest) *answer.Refusal {
	if c.view.Configuration == nil {
		return answer.Refuse(answer.NoUpstream, "no configuration is known yet").WithRetryAfter(startingRetryAfter)
	}
	route, ok := c.view.Route(r.Host, r.URL.Path)
	if !ok {
		return answer.Refuse(answer.NotFound, "no route leads to %s%s", r.Host, r.URL.Path)
	}
	c.route = route
	c.setDeadlines()
	if !h.mayAccept(c, c.arrived) {
		return refuseLeaving()
	}
	if c.account, ok = c.view.Authorize(route, c.info.APIKey); !ok {
		return answer.Refuse(answer.Unauthorized, "the key belongs to no client account")
	}
	c.service = route.PickService(rand.Float64())
	return h.readBody(w, r, c)
}

// identify returns the identity of a resolved request.
func (h *Handler) identify(r *http.Request, c *callerRequest) string {
	return h.identityKey.Load().Identify(core.Content{
		Method: r.Method, Host: r.Host, Target: r.RequestURI, Account: c.accountName(), Prompt: c.info.Prompt, Body: c.body,
	})
}

// setDeadlines derives the deadlines from the route's timeout and the caller's.
func (c *callerRequest) setDeadlines() {
	c.deadline = c.arrived.Add(c.route.EffectiveTimeout())
	if c.info.TimeLeft > 0 {
		c.callerDeadline = c.arrived.Add(c.info.TimeLeft)
		if early := c.callerDeadline.Add(-responseMargin); early.Before(c.deadline) {
			c.deadline = early
		}
	}
}

// refuse responds with a refusal by this entry, counts it and logs it.
func (h *Handler) refuse(w http.ResponseWriter, c *callerRequest, refusal *answer.Refusal) {
	row := answer.Lookup(refusal.Kind)
	h.setConnectionClose(w.Header())
	if c.connection.Evicted() {
		w.Header().Set("Connection", "close")
	}
	h.headerCodec.SetRequestID(w.Header(), c.info.ID)
	w.Header().Set("Content-Type", "application/json")
	if row.Retry {
		after := refusal.RetryAfter
		if after <= 0 {
			after = row.RetryAfter
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	c.answered = true
	w.WriteHeader(row.Status)
	// Write errors are ignored: they mean that the caller is gone.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": string(refusal.Kind), "detail": refusal.Detail})
	h.counters.refused(c.route, refusal.Kind)
	h.log.Info("refused", "request", c.info.ID, "route", c.routeName(), "kind", refusal.Kind, "status", row.Status,
		"detail", refusal.Detail, "configuration-version", c.configurationVersion(), "after-ms", time.Since(c.arrived).Milliseconds())
}

func (c *callerRequest) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// accountName returns the name of the client account, empty if the request has none.
func (c *callerRequest) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

func (c *callerRequest) configurationVersion() uint64 {
	if c.view.Configuration == nil {
		return 0
	}
	return c.view.Configuration.Version
}

// setConnectionClose asks the caller to close the connection if the entry is
// draining.
func (h *Handler) setConnectionClose(header http.Header) {
	if h.draining.Load() {
		header.Set("Connection", "close")
	}
}

// callerGone reports whether the caller has closed its connection. ctx must be
// the context of the caller's request.
func callerGone(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
