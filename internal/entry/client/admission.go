package client

import (
	"time"

	"bramleydeal/internal/world/service"
)

// admit asks the gate of the service for room for a stream. If there is none, it refuses the
// request and returns false. Otherwise done must be called when the request has ended.
func (f *forwarding) admit(now time.Time) (done func(), ok bool) {
	if f.route.Kind != service.Stream {
		return func() {}, true
	}
	f.returning = f.handler.pools.Returning(f.route.Name, f.info.TimeLeft, now)
	done, retryAfter, ok := f.handler.pools.AdmitLoad(f.service, f.route.Urgency(f.account), f.returning, f.latestReturn(now), now)
	if !ok {
		f.gateHold = retryAfter
		f.fail(f.retryState.Full(now))
	}
	return done, ok
}

// latestReturn returns the time after which the caller can still be served if it returns then.
func (c *callerRequest) latestReturn(now time.Time) time.Duration {
	return max(c.deadline.Sub(now)/3, overloadRetryAfter)
}
