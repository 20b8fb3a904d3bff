package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	core "bramleydeal/internal/core/client"
	coreupstream "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/upstream"
	"bramleydeal/internal/wire/header"
	"bramleydeal/internal/world/answer"
	"bramleydeal/internal/world/service"
)

// Limits of an attempt, which is one sending of a request to one upstream.
const (
	// maxHeldResponse is the size in bytes up to which a response is held back
	// until it is complete, so that the request can still be retried.
	maxHeldResponse = 256 << 10
	// stallShare is the part of the time after which callers abandon a stream without
	// events that its upstream may take for the next one. The rest is left for another
	// upstream. A group needs about 1.5 s to report that it lost a rank.
	stallShare = 0.8
	// attemptTimeoutShare is the part of the remaining time that an attempt may
	// take if another one can follow it.
	attemptTimeoutShare = 0.5
)

// forwarding is the state of a request that is being forwarded to upstreams.
type forwarding struct {
	*callerRequest
	handler    *Handler
	w          http.ResponseWriter
	request    *http.Request
	retryState *core.RetryState
	query      coreupstream.PoolQuery
	events     upstream.EventSplitter
	// eventsBefore is the number of complete events at the start of the current attempt.
	eventsBefore int
	// progressed is set once the current attempt has made progress.
	progressed bool
	// watch watches the current attempt; interruption is why it was interrupted.
	watch        *upstream.Watch
	interruption atomic.Int32
	// headSent is true once the status and headers were sent to the caller, statusSent is that
	// status.
	headSent   bool
	statusSent int
	// retryTaken is true while a retry that was taken from the quota was not made yet.
	retryTaken bool
	// heldUntil is when the first upstream may be sent a request again if all that are
	// left have asked for fewer requests, otherwise zero.
	heldUntil time.Time
	// contentHold is the time after which a request like this one may be sent again if such
	// requests are held back, otherwise zero.
	contentHold time.Duration
	// returning is set if the caller was probably refused before and comes again.
	returning bool
	// gateHold is the time after which the request may return if it was not admitted.
	gateHold time.Duration
	// waited is set once the request has waited for its service's groups in vain.
	waited bool
	// lastFailure is the latest complete 5xx response of an upstream, nil if
	// none.
	lastFailure *upstreamFailure
}

// upstreamFailure is a complete 5xx response of an upstream.
type upstreamFailure struct {
	head *http.Response
	body []byte
}

// forward sends a request to one upstream after another until the caller has a
// response or the request is refused.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, c *callerRequest) {
	f := &forwarding{callerRequest: c, handler: h, w: w, request: r}
	f.retryState = core.NewRetryState(core.RetryConfig{
		Repeatable: c.route.Repeatable(), MaxAttempts: max(c.route.Attempts, 1), Deadline: c.deadline,
	})
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	// A request that waits for a stalled group is no load before its wait has ended.
	f.awaitReopening(ctx)
	if !h.mayAccept(c, time.Now()) {
		h.refuse(w, c, refuseLeaving()) // the drain began meanwhile
		return
	}
	done, ok := f.admit(time.Now())
	if !ok {
		return
	}
	defer done()
	for {
		if why, wait := h.pools.Admit(c.service, f.content(), time.Now()); why != coreupstream.NothingHeld {
			f.returnRetry()
			f.contentHold = wait
			f.fail(f.contentHeld(why, time.Now()))
			return
		}
		f.updateAccount()
		f.query.Regions = f.regions()
		u, ok := f.choose(ctx)
		if !ok {
			f.returnRetry()
			f.fail(f.noUpstream(time.Now()))
			return
		}
		f.retryTaken = false
		outcome := f.attempt(ctx, u)
		if outcome == nil {
			return
		}
		next := f.retryState.RecordOutcome(outcome, f.takeRetry, time.Now())
		if _, again := next.(core.Retry); !again || f.headSent && !f.events.Resumable() {
			f.returnRetry()
			f.fail(next)
			return
		}
	}
}

// contentHeld returns the refusal for a request that is held back because of its content.
func (f *forwarding) contentHeld(why coreupstream.HeldContent, now time.Time) core.RefuseWith {
	if why == coreupstream.RequestHeld {
		return f.retryState.RequestHeld(now)
	}
	return f.retryState.PromptHeld(now)
}

// noUpstream returns the refusal for a request that no upstream may be sent at now.
func (f *forwarding) noUpstream(now time.Time) core.RefuseWith {
	if !f.handler.pools.ServesRegions(f.service, f.query.Regions) {
		return f.retryState.NoUpstreamInRegion(now)
	}
	until, held := f.handler.pools.HeldUntil(f.service, f.query, now)
	if !held {
		return f.retryState.NoUpstream(now)
	}
	f.heldUntil = until
	return f.retryState.Held(now)
}

// takeRetry reports whether the retry quota allows another attempt. If so, it
// counts the retry.
func (f *forwarding) takeRetry() bool {
	allowed := f.handler.pools.TakeRetry(f.service, time.Now())
	f.handler.counters.retryDecision(allowed)
	f.retryTaken = allowed
	return allowed
}

// returnRetry returns a retry that was taken from the quota and not made.
func (f *forwarding) returnRetry() {
	if f.retryTaken {
		f.handler.pools.ReturnRetry(f.service, time.Now())
		f.retryTaken = false
	}
}

// fail ends a request for which there is no successful response: it passes on an
// error response of the last upstream or sends a refusal. If the head of a
// stream was sent already, it aborts the connection by panicking with
// http.ErrAbortHandler.
func (f *forwarding) fail(next core.NextStep) {
	if f.headSent {
		f.handler.counters.ended(f.route, "cut")
		f.handler.log.Info("stream interrupted; closing the caller's connection", "request", f.info.ID, "route", f.route.Name, "last-event", f.events.LastID(), "tries", f.retryState.Attempts(),
			"why", f.retryState.StopReason(), "configuration-version", f.configurationVersion(), "took-ms", time.Since(f.arrived).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	switch n := next.(type) {
	case core.PassFailure:
		f.sendResponse(f.lastFailure.head, f.lastFailure.body)
		f.handler.counters.ended(f.route, "upstream-failure")
		f.log(f.lastFailure.head.StatusCode, "upstream's error response passed on")
	case core.RefuseWith:
		f.handler.refuse(f.w, f.callerRequest, answer.Refuse(n.Kind, "sent to %d upstreams; %s", f.retryState.Attempts(), f.retryState.StopReason()).WithRetryAfter(f.retryAfter(n.Kind)))
	}
}

// retryAfter returns the delay after which the caller is told to retry. The
// remaining length of an outage is estimated from earlier ones of the service's groups,
// or else as the time that it has lasted so far. The delay is limited to a third of the caller's remaining time, but not
// below overloadRetryAfter: a caller that retries with less than two thirds of
// its time has too little left to be served.
func (f *forwarding) retryAfter(k answer.Kind) time.Duration {
	now := time.Now()
	if f.contentHold > 0 {
		return f.contentHold
	}
	if f.gateHold > 0 {
		return f.gateHold
	}
	atMost := f.latestReturn(now)
	if wait := f.heldUntil.Sub(now); wait > 0 {
		// Callers that are refused in a row must not come back at once.
		wait += rand.N(wait)
		return min(wait, atMost)
	}
	if after := f.handler.pools.ReturnAfter(f.service, f.soonestReturn(now), atMost, now); after > 0 {
		return after
	}
	if outage := f.handler.pools.Outage(f.service, now); outage > 0 {
		return min(max(outage, minOutageRetryAfter), atMost)
	}
	if k == answer.NoUpstreamInRegion {
		return min(answer.Lookup(k).RetryAfter, atMost)
	}
	if k == answer.Overloaded {
		return overloadRetryAfter
	}
	return noUpstreamRetryAfter
}

// attempt sends the request to one upstream. It returns nil if the request is
// finished: the caller has its response, the request was refused, or the caller
// is gone.
func (f *forwarding) attempt(ctx context.Context, u service.Upstream) core.Outcome {
	began := time.Now()
	f.eventsBefore = f.events.Count()
	attemptCtx, cancel := context.WithTimeout(ctx, f.attemptTimeout(began))
	defer cancel()
	f.progressed = false
	f.interruption.Store(int32(upstream.Uninterrupted))
	f.watch = f.handler.pools.Watch(u, f.content(), f.route.Repeatable(), f.query.Regions, func(why upstream.Interruption) {
		f.interruption.Store(int32(why))
		cancel()
	}, began)
	defer f.watch.Stop()
	stallTimer := f.startStallTimer(cancel)
	defer stallTimer.Stop()
	x, err := upstream.Send(attemptCtx, u.Address, f.upstreamRequest(u, began))
	if err != nil {
		return f.recordFailure(ctx, u, began, err)
	}
	defer x.Close()
	info := f.handler.headerCodec.ParseResponse(x.Response.StatusCode, x.Response.Header)
	f.handler.unreadHeaders(info.Unread, u.ID, f.info.ID)
	if info.Load != nil {
		f.handler.pools.RecordLoad(u, info.Load.Running, info.Load.Waiting, time.Now())
	}
	if (info.ID == "" || info.ID == f.info.ID) && x.Response.StatusCode != http.StatusMisdirectedRequest {
		f.handler.pools.RecordAdvice(u, info.Advice, f.info.ID, began, time.Now())
	}
	switch {
	case info.ID != "" && info.ID != f.info.ID:
		return f.recordFailure(ctx, u, began, errors.New("the response belongs to another request"))
	case isDeclined(x.Response.StatusCode, info.NotRun):
		return f.recordDeclined(u, began, x.Response.StatusCode, info)
	case promisesNotRun(x.Response.StatusCode):
		return f.recordFailure(ctx, u, began, errUnfoundedPromise)
	case f.headSent && !f.continues(x.Response):
		return f.recordFailure(ctx, u, began, errNotContinued)
	case isSuccess(x.Response) && (!info.Signed || x.Response.Header.Get("Content-Encoding") != ""):
		return f.recordFailure(ctx, u, began, errors.New("the response is unsigned or has a Content-Encoding, so it is not the upstream's own"))
	case isSuccess(x.Response) && f.route.Kind == service.Stream:
		return f.relayStream(ctx, attemptCtx, stallTimer, u, x, began)
	default:
		return f.relayResponse(ctx, u, x, began)
	}
}

// startStallTimer starts the timer that cancels an attempt at a stream when no event
// arrives for stallTimeout, including the first one. The timer is stopped for requests
// that cannot be retried, since their stream cannot continue at another upstream.
func (f *forwarding) startStallTimer(cancel func()) *time.Timer {
	timer := time.AfterFunc(f.stallTimeout(), cancel)
	if f.route.Kind != service.Stream || !f.route.Repeatable() {
		timer.Stop()
	}
	return timer
}

func isSuccess(r *http.Response) bool { return r.StatusCode/100 == 2 }

// isCallerError reports whether a status tells that the upstream has handled the request and
// that the caller is at fault.
func isCallerError(status int) bool {
	return status/100 == 4 && !promisesNotRun(status)
}

// attemptTimeout returns the longest time that an attempt starting now may
// take. An attempt that another one can follow leaves time for it; streams are
// limited by the stall timer instead.
func (f *forwarding) attemptTimeout(now time.Time) time.Duration {
	left := f.deadline.Sub(now)
	if f.route.Kind != service.Stream && f.route.Repeatable() && f.retryState.Attempts()+1 < f.route.Attempts {
		return time.Duration(attemptTimeoutShare * float64(left))
	}
	return left
}

// upstreamRequest returns the request to send to an upstream, as of now.
func (f *forwarding) upstreamRequest(u service.Upstream, now time.Time) *upstream.Request {
	h := make(http.Header, len(f.request.Header)+4)
	connectionListed := connectionHeaders(f.request.Header)
	for name, values := range f.request.Header {
		if !header.IsHopByHop(name) && !connectionListed[name] {
			h[name] = values
		}
	}
	// The complete body is sent with its own Content-Length, so a 100 Continue
	// response would be of no use.
	h.Del("Content-Length")
	h.Del("Expect")
	out := ForwardInfo{UpstreamID: u.ID, Account: f.accountName(), LastEventID: f.events.LastID()}
	out.Rank, out.Ranked = f.view.UrgencyRank(f.route.Urgency(f.account), MaxUrgencyRank+1)
	if !f.callerDeadline.IsZero() {
		out.TimeLeft = max(f.callerDeadline.Sub(now), time.Millisecond)
	}
	if f.route.Timeout > 0 {
		if left := max(f.arrived.Add(f.route.Timeout).Sub(now), time.Millisecond); out.TimeLeft == 0 || left < out.TimeLeft {
			out.TimeLeft = left
		}
	}
	f.handler.headerCodec.SetForwardHeaders(h, out)
	return &upstream.Request{Method: f.request.Method, Target: f.request.RequestURI, Host: f.request.Host, Header: h, Body: f.body}
}

// connectionHeaders returns the names of the headers that the Connection header
// lists, which must not be forwarded. It returns nil if there are none.
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

// recordFailure records an attempt that ended without a complete response. It
// returns nil if the request is finished: the caller is gone or its time is up.
func (f *forwarding) recordFailure(ctx context.Context, u service.Upstream, began time.Time, err error) core.Outcome {
	now := time.Now()
	f.exclude(u)
	switch {
	case callerGone(f.request.Context()):
		f.handler.pools.RecordOutcome(u, coreupstream.CallerLeft, 0, now)
		f.handler.counters.ended(f.route, "caller-left")
		f.logAttempt(u, began, "caller left", err)
		if errors.Is(err, upstream.ErrUnsent) && !f.headSent {
			// A caller that has only closed its sending side still reads the response.
			f.fail(f.retryState.NoUpstream(now))
		}
		return nil
	case ctx.Err() == nil && upstream.Interruption(f.interruption.Load()) != upstream.Uninterrupted:
		return f.recordInterruption(u, began, err)
	case errors.Is(err, upstream.ErrUnsent) && ctx.Err() == nil:
		f.handler.pools.RecordOutcome(u, unsentOutcome(err), 0, now)
		f.logAttempt(u, began, "not reached", err)
		return core.Unsent{}
	case ctx.Err() != nil:
		f.handler.pools.RecordOutcome(u, coreupstream.UpstreamError, 0, now)
		f.logAttempt(u, began, "timed out", err)
		f.fail(f.retryState.TimedOut(!errors.Is(err, upstream.ErrUnsent)))
		return nil
	default:
		f.handler.pools.RecordOutcome(u, coreupstream.UpstreamError, 0, now)
		f.logAttempt(u, began, "lost", err)
		if !errors.Is(err, errStalled) && !errors.Is(err, errNotContinued) {
			f.checkEnd(ctx, u)
		}
		return core.Lost{}
	}
}

// recordDeclined records that an upstream refused to run the request.
func (f *forwarding) recordDeclined(u service.Upstream, began time.Time, status int, info ResponseInfo) core.Outcome {
	f.exclude(u)
	outcome := coreupstream.Rejected
	switch {
	case info.GroupFault && u.Membership != nil:
		outcome = coreupstream.GroupStalled
	case status == http.StatusMisdirectedRequest:
		// A 421 response means that another upstream has the address now.
		outcome = coreupstream.Unreachable
	}
	f.handler.pools.RecordOutcome(u, outcome, 0, time.Now())
	f.logAttempt(u, began, "declined", nil, "status", status, "group-fault", info.GroupFault)
	return core.Declined{}
}

// exclude prevents further attempts at an upstream that failed the request. It
// also marks the upstream's group, which may have failed as a whole, to be used
// only if no other upstream is available.
func (f *forwarding) exclude(u service.Upstream) {
	f.query.Exclude = append(f.query.Exclude, u.ID)
	if u.Membership != nil {
		f.query.FailedGroups = append(f.query.FailedGroups, u.Membership.Group)
	}
}

// relayResponse sends a response that is not an event stream to the caller. Up
// to maxHeldResponse it is sent only once it is complete; a longer response is
// sent as it arrives. A 5xx response that is not longer is kept in lastFailure
// instead, since the request may be retried.
func (f *forwarding) relayResponse(ctx context.Context, u service.Upstream, x *upstream.Exchange, began time.Time) core.Outcome {
	f.watch.RecordBegin()
	body, more, err := x.ReadBody(f.heldResponse(x.Response.ContentLength))
	if err != nil {
		return f.recordFailure(ctx, u, began, err)
	}
	status := x.Response.StatusCode
	if status >= http.StatusInternalServerError && !more {
		f.exclude(u)
		f.handler.pools.RecordOutcome(u, coreupstream.UpstreamError, 0, time.Now())
		f.logAttempt(u, began, "failed", nil, "status", status)
		f.lastFailure = &upstreamFailure{x.Response, body}
		return core.Failed{}
	}
	f.handler.pools.RecordOutcome(u, coreupstream.Answered, time.Since(began), time.Now())
	switch {
	case isSuccess(x.Response):
		f.recordProgress()
	case isCallerError(status):
		f.watch.RecordError(time.Now())
	}
	if f.headSent {
		// A stream whose head was sent cannot continue with a response of
		// another kind; fail panics.
		f.fail(core.RefuseWith{Kind: answer.UpstreamFailed})
	}
	f.sendResponse(x.Response, body)
	if more {
		f.sendRest(x)
	}
	f.handler.counters.completed(f.route, "answered", time.Since(f.arrived))
	f.logSuccess(status, "answered", "upstream", u.ID)
	return nil
}

// sendResponse sends the head of a response and the part of its body that was
// read.
func (f *forwarding) sendResponse(head *http.Response, body []byte) {
	f.sendHead(head)
	// Write errors are ignored: they mean that the caller is gone.
	_, _ = f.w.Write(body)
}

// sendRest sends the rest of a long response as it arrives.
func (f *forwarding) sendRest(x *upstream.Exchange) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := x.Read(buffer)
		if _, writeErr := f.w.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			f.finishRest(err)
			return
		}
	}
}

// sendHead sends a response's status and headers to the caller.
func (f *forwarding) sendHead(head *http.Response) {
	out := f.w.Header()
	connectionListed := connectionHeaders(head.Header)
	for name, values := range head.Header {
		if !header.IsHopByHop(name) && !connectionListed[name] {
			out[name] = values
		}
	}
	if _, hasType := head.Header["Content-Type"]; !hasType {
		out["Content-Type"] = nil // prevents net/http from detecting one
	}
	f.handler.setConnectionClose(out)
	f.answered = true
	f.w.WriteHeader(head.StatusCode)
	f.headSent, f.statusSent = true, head.StatusCode
}
