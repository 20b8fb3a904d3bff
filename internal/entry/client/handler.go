// Package client speaks HTTP to the callers of an entry that forwards their
// requests unchanged, straight to the upstreams. It owns a request from its first
// byte to the last byte of its answer; which upstream serves it and what may be
// repeated is decided in the core.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bramleydeal/internal/entry/upstream"
	"bramleydeal/internal/process/log"
	"bramleydeal/internal/world/answer"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// Times and sizes of the caller side.
const (
	// answerMargin is the time before a caller's own timeout at which it is
	// answered, so that the answer reaches it.
	answerMargin = 30 * time.Millisecond
	// comeBack is when a caller may try again that found no upstream: an ejected
	// one is tried again after about that time.
	comeBack = 500 * time.Millisecond
	// comeBackFull is the same after an upstream had no room; a queue moves on
	// with each request that ends.
	comeBackFull = 250 * time.Millisecond
	// comeBackOutage is the least time in an outage of a whole service: a machine
	// or a failure domain that was lost takes some seconds to come back, and its
	// group to open again.
	comeBackOutage = 3 * time.Second
	// comeBackStarting is the same for a process that knows no configuration yet.
	comeBackStarting = 300 * time.Millisecond
	// comeBackElsewhere is the same for a process that leaves: others serve.
	comeBackElsewhere = 50 * time.Millisecond
	// requestLines is how many requests a second that ended well at the first try
	// are logged.
	requestLines = 150
	// leavingCall and leavingStream are the times that a plain request and a
	// stream need at most in all but a few cases; a leaving process begins none
	// that would outlast it.
	leavingCall   = time.Second
	leavingStream = 4 * time.Second
)

// Handler serves the callers of one entry.
type Handler struct {
	view    func() *service.View
	await   func(context.Context)
	pools   *upstream.Pools
	dialect HeaderCodec
	log     logr.Logger
	// rate bounds the lines of ordinary requests; omit counts those left out.
	rate  *log.RateLimiter
	omit  func()
	count counters

	leaving  atomic.Bool
	inFlight atomic.Int64
	// exit is when the process ends, nil while it does not leave.
	exit atomic.Pointer[time.Time]
}

// Config is what a Handler is made of.
type Config struct {
	// View returns what is known of the configuration and the upstreams.
	View func() *service.View
	// Await waits for a short time where View is about to return more.
	Await   func(context.Context)
	Pools   *upstream.Pools
	Dialect HeaderCodec
	Log     logr.Logger
	// Omit counts a log line that is left out.
	Omit    func()
	Metrics *metrics.Set
}

// New returns a handler.
func New(c Config) *Handler {
	h := &Handler{
		view: c.View, await: c.Await, pools: c.Pools, dialect: c.Dialect, log: c.Log, rate: log.NewRateLimiter(requestLines), omit: c.Omit, count: counters{c.Metrics},
	}
	c.Metrics.NewGauge("bramleydeal_requests_in_flight", func() float64 { return float64(h.InFlight()) })
	return h
}

// Leave makes the handler unready and asks callers to leave their connections.
// exit is when the process will end whatever is under way.
func (h *Handler) Leave(exit time.Time) {
	h.exit.Store(&exit)
	h.leaving.Store(true)
}

// mayFinish tells whether a request that begins now will have its answer before
// the process ends.
func (h *Handler) mayFinish(r *service.Route, now time.Time) bool {
	exit := h.exit.Load()
	if exit == nil {
		return true
	}
	need := leavingCall
	if r.Kind == service.Stream {
		need = leavingStream
	}
	return exit.Sub(now) >= need
}

// InFlight returns the number of requests that have no whole answer yet.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Ready tells whether the entry can serve: it knows a configuration and the
// upstreams, and does not leave.
func (h *Handler) Ready() bool {
	v := h.view()
	return !h.leaving.Load() && v.Configuration != nil && v.UpstreamsKnown
}

// ServeReady answers the question whether the entry takes callers.
func (h *Handler) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// call is one caller's request.
type call struct {
	info    RequestInfo
	arrived time.Time
	// until is when the caller must have its answer, leaves when it stops waiting.
	until, leaves time.Time
	view          *service.View
	route         *service.Route
	service       string
	account       *service.Account
	body          []byte
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	arrived := time.Now()
	h.await(r.Context())
	c := &call{info: h.dialect.ParseRequest(r.Header), arrived: arrived, view: h.view()}
	if refusal := h.understand(w, r, c); refusal != nil {
		h.refuse(w, c, refusal)
		return
	}
	h.pools.Request(c.service, c.arrived)
	h.forward(w, r, c)
}

// understand finds the route, the client account and the body of a request.
func (h *Handler) understand(w http.ResponseWriter, r *http.Request, c *call) *answer.Refusal {
	if c.view.Configuration == nil {
		return answer.Refuse(answer.NoUpstream, "no configuration is known yet").WithRetryAfter(comeBackStarting)
	}
	route, ok := c.view.Route(r.Host, r.URL.Path)
	if !ok {
		return answer.Refuse(answer.NotFound, "no route leads to %s%s", r.Host, r.URL.Path)
	}
	c.route = route
	if !h.mayFinish(route, c.arrived) {
		return answer.Refuse(answer.Leaving, "this entry leaves").WithRetryAfter(comeBackElsewhere)
	}
	if c.view.RequiresKeys() && !route.Public {
		if c.account, ok = c.view.Account(c.info.APIKey); !ok {
			return answer.Refuse(answer.Unauthorized, "the key belongs to no client account")
		}
	}
	c.service = route.PickService(rand.Float64())
	c.setTimes()
	return h.readBody(w, r, c)
}

// setTimes derives when the request must be answered.
func (c *call) setTimes() {
	c.until = c.arrived.Add(c.route.EffectiveTimeout())
	if c.info.TimeLeft > 0 {
		c.leaves = c.arrived.Add(c.info.TimeLeft)
		if early := c.leaves.Add(-answerMargin); early.Before(c.until) {
			c.until = early
		}
	}
}

// readBody reads the whole body, so that it can be sent more than once.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, c *call) *answer.Refusal {
	limit := c.view.Configuration.Limits.Effective().BodyBytes
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		return answer.Refuse(answer.TooLarge, "the body has %d bytes, the most is %d", r.ContentLength, limit)
	}
	control := http.NewResponseController(w)
	// A connection that takes no deadline is read without one.
	_ = control.SetReadDeadline(c.until)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return answer.Refuse(answer.TooLarge, "the body has more than %d bytes", limit)
	}
	if err != nil {
		return answer.Refuse(answer.InvalidRequest, "the body ended early: %v", err)
	}
	c.body = body
	return nil
}

// refuse answers with a refusal of the entry's own.
func (h *Handler) refuse(w http.ResponseWriter, c *call, refusal *answer.Refusal) {
	row := answer.Lookup(refusal.Kind)
	h.close(w.Header())
	h.dialect.SetRequestID(w.Header(), c.info.ID)
	w.Header().Set("Content-Type", "application/json")
	if row.Retry {
		after := refusal.RetryAfter
		if after <= 0 {
			after = row.RetryAfter
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(row.Status)
	// A write error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": string(refusal.Kind), "detail": refusal.Detail})
	h.count.refused(c.route, refusal.Kind)
	h.log.Info("refused", "request", c.info.ID, "route", c.routeName(), "kind", refusal.Kind, "status", row.Status,
		"detail", refusal.Detail, "configuration-version", c.version(), "after-ms", time.Since(c.arrived).Milliseconds())
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

func (c *call) version() uint64 {
	if c.view.Configuration == nil {
		return 0
	}
	return c.view.Configuration.Version
}

// close asks the caller to leave the connection while the entry leaves.
func (h *Handler) close(header http.Header) {
	if h.leaving.Load() {
		header.Set("Connection", "close")
	}
}

// gone tells whether the caller has closed its connection.
func gone(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
