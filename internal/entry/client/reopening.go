package client

import (
	"context"
	"time"

	coreupstream "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/service"
)

const (
	// returnedShare is the part of a route's timeout up to which a caller's remaining time
	// tells that it was refused before, or is too short to come back once more.
	returnedShare = 0.8
	// minBeginShare and maxBeginShare limit the part of the route's patience that a wait leaves
	// for the response to begin. Between them it is the route's latency target.
	minBeginShare, maxBeginShare = 0.2, 0.5
	// usualRequestTime and usualStreamTime are the times that nearly all plain requests and
	// streams complete in. A wait leaves them before the deadline.
	usualRequestTime = time.Second
	usualStreamTime  = 4 * time.Second
)

// usualTime returns the time that nearly all requests of a route complete in.
func usualTime(r *service.Route) time.Duration {
	if r.Kind == service.Stream {
		return usualStreamTime
	}
	return usualRequestTime
}

// returned reports whether the caller has come back after a refusal, as far as its remaining
// time tells.
func (c *callerRequest) returned() bool {
	return c.info.TimeLeft > 0 && c.info.TimeLeft <= c.returnedTime()
}

// returnedTime is the remaining time up to which a caller counts as one that has come back.
func (c *callerRequest) returnedTime() time.Duration {
	return time.Duration(returnedShare * float64(c.route.EffectiveTimeout()))
}

// soonestReturn returns the delay after which the caller counts as one that has come back.
func (c *callerRequest) soonestReturn(now time.Time) time.Duration {
	return max(c.callerDeadline.Sub(now)-c.returnedTime(), 0)
}

// maxWait returns the longest time after its arrival for which a caller may wait before its
// request is sent.
func maxWait(r *service.Route) time.Duration {
	patience := r.Patience()
	least, most := time.Duration(minBeginShare*float64(patience)), time.Duration(maxBeginShare*float64(patience))
	return patience - min(max(r.LatencyTarget, least), most)
}

// choose returns the upstream for the next attempt, after a wait if the request may wait. It
// returns false if there is none.
func (f *forwarding) choose(ctx context.Context) (service.Upstream, bool) {
	isRetry := f.retryTaken
	for {
		turn := f.awaitReopening(ctx)
		if turn == coreupstream.StillWaiting {
			return service.Upstream{}, false // the caller has left
		}
		if isRetry && !f.retryTaken && !f.takeRetry() {
			return service.Upstream{}, false
		}
		u, ok := f.handler.pools.Choose(f.service, f.query, time.Now())
		if ok || turn != coreupstream.Released && turn != coreupstream.Probing {
			return u, ok
		}
		// Another request became the probe, or the group has stalled again.
	}
}

// awaitReopening makes a caller that has come back wait while the groups of its service are
// stalled, and returns how that ended.
func (f *forwarding) awaitReopening(ctx context.Context) coreupstream.Turn {
	if f.headSent || f.waited || !f.returned() {
		return coreupstream.NotWaiting
	}
	until := f.arrived.Add(maxWait(f.route))
	if latest := f.deadline.Add(-usualTime(f.route)); latest.Before(until) {
		until = latest
	}
	// A retry that follows a wait counts at the time at which it is made.
	f.returnRetry()
	began := time.Now()
	turn := f.handler.pools.AwaitReopening(ctx, f.service, coreupstream.Wait{
		Urgency: f.route.Urgency(f.account), ArrivedAt: f.arrived, Until: until, EndsBy: f.deadline,
		MayProbe: f.retryState.Attempts()+1 < f.route.Attempts,
	})
	if turn != coreupstream.NotWaiting {
		f.handler.log.Info("wait for a stalled group ended", "request", f.info.ID, "route", f.route.Name, "service", f.service,
			"outcome", turn.String(), "waited-ms", time.Since(began).Milliseconds())
	}
	f.waited = turn == coreupstream.Expired || turn == coreupstream.Displaced
	return turn
}
