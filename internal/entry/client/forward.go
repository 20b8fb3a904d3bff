package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	core "bramleydeal/internal/core/client"
	choice "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/upstream"
	"bramleydeal/internal/wire/header"
	"bramleydeal/internal/world/answer"
	"bramleydeal/internal/world/service"
)

// Bounds of a try at one upstream.
const (
	// wholeAnswer is the most bytes of an answer that are held back until it is
	// known to be whole.
	wholeAnswer = 1 << 20
	// streamSilence is the silence after which a stream is taken for lost. A
	// group answers for a lost rank after about 1.5 s; callers leave after 2 s.
	streamSilence = 1600 * time.Millisecond
	// tryShare is the part of the time left that a try may take which can be
	// followed by another.
	tryShare = 0.5
)

// forwarding is a request on its way to upstreams, and its answer so far.
type forwarding struct {
	*call
	handler *Handler
	w       http.ResponseWriter
	request *http.Request
	attempt *core.RetryState
	chosen  choice.PoolQuery
	events  upstream.Events
	// begun is true once the caller has the head of the answer.
	begun bool
	// failed is the latest whole failure of an upstream.
	failed *wholeFailure
}

// wholeFailure is an upstream's own failure, read whole.
type wholeFailure struct {
	head *http.Response
	body []byte
}

// forward sends a request to upstreams until one has answered it or the caller
// is refused.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, c *call) {
	f := &forwarding{call: c, handler: h, w: w, request: r}
	f.attempt = core.NewRetryState(core.RetryConfig{
		Repeatable: c.route.Repeatable(), MaxAttempts: max(c.route.Attempts, 1), Deadline: c.until,
	})
	ctx, cancel := context.WithDeadline(r.Context(), c.until)
	defer cancel()
	for {
		u, ok := h.pools.Choose(c.service, f.chosen, time.Now())
		if !ok {
			f.end(f.attempt.NoUpstream(time.Now()))
			return
		}
		outcome := f.try(ctx, u)
		if outcome == nil {
			return
		}
		next := f.attempt.RecordOutcome(outcome, f.mayRepeat, time.Now())
		if _, again := next.(core.Retry); !again {
			f.end(next)
			return
		}
	}
}

// mayRepeat asks the retry budget for one more try.
func (f *forwarding) mayRepeat() bool {
	allowed := f.handler.pools.Repeat(f.service, time.Now())
	f.handler.count.repeated(allowed)
	return allowed
}

// end gives the caller what there is without a whole answer.
func (f *forwarding) end(next core.NextStep) {
	if f.begun {
		f.handler.count.ended(f.route, "cut")
		f.handler.log.Info("stream cut", "request", f.info.ID, "route", f.route.Name, "last-event", f.events.LastID(), "tries", f.attempt.Attempts(),
			"why", f.attempt.StopReason(), "configuration-version", f.version(), "took-ms", time.Since(f.arrived).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	switch n := next.(type) {
	case core.PassFailure:
		f.passOn(f.failed.head, f.failed.body)
		f.handler.count.ended(f.route, "upstream-failure")
		f.log(f.failed.head.StatusCode, "upstream's own failure")
	case core.RefuseWith:
		f.handler.refuse(f.w, f.call, answer.Refuse(n.Kind, "sent to %d upstreams; %s", f.attempt.Attempts(), f.attempt.StopReason()).WithRetryAfter(f.comeBack(n.Kind)))
	}
}

// comeBack is when the caller may find an upstream that serves it. An outage is
// expected to last about as long again as it has lasted; a caller that comes back
// with less than two thirds of its time would find too little left.
func (f *forwarding) comeBack(k answer.Kind) time.Duration {
	now := time.Now()
	if outage := f.handler.pools.Outage(f.service, now); outage > 0 {
		return min(max(outage, comeBackOutage), max(f.until.Sub(now)/3, comeBackFull))
	}
	if k == answer.Overloaded {
		return comeBackFull
	}
	return comeBack
}

// try sends the request to one upstream. It returns nil when nothing is left to
// be decided: the caller has its whole answer or has gone.
func (f *forwarding) try(ctx context.Context, u service.Upstream) core.Outcome {
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, f.limit(began))
	defer cancel()
	silence := f.watchSilence(cancel)
	defer silence.Stop()
	x, err := upstream.Send(limited, u.Address, f.outgoing(u, began))
	if err != nil {
		return f.broken(ctx, u, began, err)
	}
	defer x.Close()
	info := f.handler.dialect.ParseResponse(x.Response.Header)
	if info.Load != nil {
		f.handler.pools.ReportLoad(u, info.Load.Running, info.Load.Waiting, time.Now())
	}
	switch {
	case info.ID != "" && info.ID != f.info.ID:
		return f.broken(ctx, u, began, errors.New("the answer belongs to another request"))
	case info.NotRun && x.Response.StatusCode != http.StatusBadRequest:
		return f.declined(u, began, x.Response.StatusCode, info)
	case success(x.Response) && (!info.Signed || x.Response.Header.Get("Content-Encoding") != ""):
		return f.broken(ctx, u, began, errors.New("the answer is not the upstream's"))
	case success(x.Response) && f.route.Kind == service.Stream:
		return f.relay(ctx, limited, silence, u, x, began)
	default:
		return f.answer(ctx, u, x, began)
	}
}

// watchSilence ends a try at a stream that falls silent, also before its first
// event, where the stream can begin or go on elsewhere.
func (f *forwarding) watchSilence(cancel func()) *time.Timer {
	silence := time.AfterFunc(streamSilence, cancel)
	if f.route.Kind != service.Stream || !f.route.Repeatable() {
		silence.Stop()
	}
	return silence
}

func success(r *http.Response) bool { return r.StatusCode/100 == 2 }

// limit is the longest time for a try. One that may be followed by another
// leaves time for it; streams have a bound for each silence instead.
func (f *forwarding) limit(now time.Time) time.Duration {
	left := f.until.Sub(now)
	if f.route.Kind != service.Stream && f.route.Repeatable() && f.attempt.Attempts()+1 < f.route.Attempts {
		return time.Duration(tryShare * float64(left))
	}
	return left
}

// outgoing returns the request for an upstream.
func (f *forwarding) outgoing(u service.Upstream, now time.Time) *upstream.Request {
	h := make(http.Header, len(f.request.Header)+4)
	listed := connectionHeaders(f.request.Header)
	for name, values := range f.request.Header {
		if !header.IsHopByHop(name) && !listed[name] {
			h[name] = values
		}
	}
	// The body is sent whole and with its length, and an interim answer is of no
	// use for it.
	h.Del("Content-Length")
	h.Del("Expect")
	out := ForwardInfo{UpstreamID: u.ID, LastEventID: f.events.LastID()}
	if f.account != nil {
		out.Account = f.account.Name
	}
	if !f.leaves.IsZero() {
		out.TimeLeft = max(f.leaves.Sub(now), time.Millisecond)
	}
	if f.route.Timeout > 0 {
		if left := max(f.arrived.Add(f.route.Timeout).Sub(now), time.Millisecond); out.TimeLeft == 0 || left < out.TimeLeft {
			out.TimeLeft = left
		}
	}
	f.handler.dialect.SetForwardHeaders(h, out)
	return &upstream.Request{Method: f.request.Method, Target: f.request.RequestURI, Host: f.request.Host, Header: h, Body: f.body}
}

// connectionHeaders returns the headers that a message declares to be those of
// its connection.
func connectionHeaders(h http.Header) map[string]bool {
	var out map[string]bool
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if out == nil {
				out = map[string]bool{}
			}
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// broken records a try without a whole answer.
func (f *forwarding) broken(ctx context.Context, u service.Upstream, began time.Time, err error) core.Outcome {
	now := time.Now()
	f.exclude(u)
	switch {
	case gone(f.request.Context()):
		f.handler.pools.Ended(u, choice.CallerLeft, 0, now)
		f.handler.count.ended(f.route, "caller-left")
		f.tried(u, began, "caller left", err)
		return nil
	case errors.Is(err, upstream.ErrUnsent) && ctx.Err() == nil:
		outcome := choice.Unreachable
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			outcome = choice.ConnectTimeout
		}
		f.handler.pools.Ended(u, outcome, 0, now)
		f.tried(u, began, "not reached", err)
		return core.Unsent{}
	case ctx.Err() != nil:
		f.handler.pools.Ended(u, choice.UpstreamError, 0, now)
		f.tried(u, began, "timed out", err)
		f.end(f.attempt.TimedOut(!errors.Is(err, upstream.ErrUnsent)))
		return nil
	default:
		f.handler.pools.Ended(u, choice.UpstreamError, 0, now)
		f.tried(u, began, "lost", err)
		return core.Lost{}
	}
}

// declined records that an upstream refused to run the request.
func (f *forwarding) declined(u service.Upstream, began time.Time, status int, info ResponseInfo) core.Outcome {
	f.exclude(u)
	outcome := choice.Rejected
	switch {
	case info.GroupFault && u.Membership != nil:
		outcome = choice.GroupStalled
	case status == http.StatusMisdirectedRequest:
		// Another upstream has the address now.
		outcome = choice.Unreachable
	}
	f.handler.pools.Ended(u, outcome, 0, time.Now())
	f.tried(u, began, "declined", nil, "status", status, "group-fault", info.GroupFault)
	return core.Declined{}
}

// exclude keeps the request from an upstream that failed it, and as far as
// possible from its group, which may have failed as a whole.
func (f *forwarding) exclude(u service.Upstream) {
	f.chosen.Exclude = append(f.chosen.Exclude, u.ID)
	if u.Membership != nil {
		f.chosen.FailedGroups = append(f.chosen.FailedGroups, u.Membership.Group)
	}
}

// answer passes on an answer that is no stream of events, once it is whole.
func (f *forwarding) answer(ctx context.Context, u service.Upstream, x *upstream.Exchange, began time.Time) core.Outcome {
	body, more, err := x.ReadWhole(wholeAnswer)
	if err != nil {
		return f.broken(ctx, u, began, err)
	}
	status := x.Response.StatusCode
	if status >= http.StatusInternalServerError && !more {
		f.exclude(u)
		f.handler.pools.Ended(u, choice.UpstreamError, 0, time.Now())
		f.tried(u, began, "failed", nil, "status", status)
		f.failed = &wholeFailure{x.Response, body}
		return core.Failed{}
	}
	f.handler.pools.Ended(u, choice.Answered, time.Since(began), time.Now())
	if f.begun {
		// A stream that was begun cannot go on with another kind of answer.
		f.end(core.RefuseWith{Kind: answer.UpstreamFailed})
	}
	f.passOn(x.Response, body)
	if more {
		f.passRest(x)
	}
	f.handler.count.answered(f.route, "answered", time.Since(f.arrived))
	f.logWell(status, "answered", "upstream", u.ID)
	return nil
}

// passOn sends the head of an answer and what was read of its body.
func (f *forwarding) passOn(head *http.Response, body []byte) {
	f.sendHead(head)
	// A write error means that the caller has gone.
	_, _ = f.w.Write(body)
}

// passRest sends the rest of a long answer as it arrives.
func (f *forwarding) passRest(x *upstream.Exchange) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := x.Read(buffer)
		if _, failed := f.w.Write(buffer[:n]); failed != nil {
			return
		}
		if err != nil {
			f.endRest(err)
			return
		}
	}
}

// sendHead sends an answer's status and headers.
func (f *forwarding) sendHead(head *http.Response) {
	out := f.w.Header()
	listed := connectionHeaders(head.Header)
	for name, values := range head.Header {
		if !header.IsHopByHop(name) && !listed[name] {
			out[name] = values
		}
	}
	if _, typed := head.Header["Content-Type"]; !typed {
		out["Content-Type"] = nil // keeps net/http from guessing one
	}
	f.handler.close(out)
	f.w.WriteHeader(head.StatusCode)
	f.begun = true
}

// tried logs one try that gave the caller nothing.
func (f *forwarding) tried(u service.Upstream, began time.Time, outcome string, err error, more ...any) {
	values := []any{
		"request", f.info.ID, "route", f.route.Name, "upstream", u.ID, "address", u.Address, "outcome", outcome,
		"took-ms", time.Since(began).Milliseconds(), "try", f.attempt.Attempts() + 1,
	}
	if err != nil {
		values = append(values, "reason", err.Error())
	}
	f.handler.count.tried(outcome)
	f.handler.log.Info("try ended", append(values, more...)...)
}

// logWell writes the last line of a request that ended well. Of those that
// needed one try there may be too many to be read.
func (f *forwarding) logWell(status int, outcome string, more ...any) {
	if len(f.chosen.Exclude) == 0 && !f.handler.rate.Allow(time.Now()) {
		f.handler.omit()
		return
	}
	f.log(status, outcome, more...)
}

// log writes the request's last line.
func (f *forwarding) log(status int, outcome string, more ...any) {
	values := []any{
		"request", f.info.ID, "route", f.route.Name, "service", f.service, "status", status,
		"configuration-version", f.version(), "tries", f.attempt.Attempts() + 1, "took-ms", time.Since(f.arrived).Milliseconds(),
	}
	f.handler.log.Info(outcome, append(values, more...)...)
}
