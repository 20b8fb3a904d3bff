package history

import (
	"slices"
	"time"

	"bramleydeal/internal/soak/program"
)

// Advice is what an upstream says in all its responses in a time: that it is leaving, that
// it takes Limit requests per second from all entries together, or that it wants no
// requests for RetryAfter. To is zero while it does.
type Advice struct {
	Upstream   string
	Leaving    bool
	Limit      float64
	RetryAfter time.Duration
	From, To   time.Time
}

// Bounds of the requests to an upstream that gave advice, as the platform's operators state
// them.
const (
	// toldBefore is the time after which advice that an entry has received binds it.
	toldBefore = 500 * time.Millisecond
	// limitWindow is the time in which requests are counted. It may have limitFactor
	// times the requests that the limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// suspendedSlack is the number of requests from one entry that may arrive although
	// the upstream wants none.
	suspendedSlack = 2
)

// BeginAdvice records that an upstream gives advice from now on. The function that it
// returns records the end.
func (h *History) BeginAdvice(a Advice) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.From = time.Now()
	h.advice = append(h.advice, &a)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		a.To = time.Now()
	}
}

// delivery is a request that an upstream received from an entry.
type delivery struct {
	Arrival
	request *Request
}

// checkAdvice checks that entries follow the advice of upstreams from the time on at which
// a request to the upstream had ended for a caller. An entry that had a fault since is
// excused: it may have forgotten the advice.
func (c *checker) checkAdvice() {
	byUpstream := map[string][]delivery{}
	for id, arrivals := range c.arrivals {
		r := c.byID[id]
		if r == nil {
			continue // the caller had not ended with it when the run ended
		}
		for _, a := range arrivals {
			if a.Misdirected {
				continue
			}
			byUpstream[a.Upstream] = append(byUpstream[a.Upstream], delivery{a, r})
		}
	}
	for _, a := range c.advice {
		deliveries := byUpstream[a.Upstream]
		slices.SortFunc(deliveries, func(x, y delivery) int { return x.At.Compare(y.At) })
		to := a.To
		if to.IsZero() {
			to = time.Now()
		}
		switch {
		case a.Leaving:
			c.checkLeaving(a, deliveries)
		case a.Limit > 0:
			c.checkLimit(a, to, deliveries)
		case a.RetryAfter > 0:
			c.checkSuspension(a, to, deliveries)
		}
	}
}

// bound returns the deliveries by entries that had received the advice at least the given
// time before, and had no fault from then on.
func (c *checker) bound(a *Advice, deliveries []delivery, after time.Duration) []delivery {
	told := map[string]time.Time{}
	for _, d := range deliveries {
		if first, ok := told[d.request.Entry]; d.At.After(a.From) && (!ok || d.request.Ended.Before(first)) {
			told[d.request.Entry] = d.request.Ended
		}
	}
	var out []delivery
	for _, d := range deliveries {
		at, ok := told[d.request.Entry]
		if ok && d.request.Sent.After(at.Add(after)) && c.faultFree(d.request.Entry, at.Add(-SettleTime), d.At, true) {
			out = append(out, d)
		}
	}
	return out
}

// checkLeaving checks that an upstream that says that it is leaving gets no new requests
// after its drain time.
func (c *checker) checkLeaving(a *Advice, deliveries []delivery) {
	for _, d := range c.bound(a, deliveries, program.DrainTime) {
		c.addViolation("a leaving upstream gets no new work", "%s says so since %s, arrival at %s: %v",
			a.Upstream, a.From.Format("15:04:05.000"), d.At.Format("15:04:05.000"), d.request)
	}
}

// checkLimit checks that an upstream gets no more requests than its limit allows.
func (c *checker) checkLimit(a *Advice, to time.Time, deliveries []delivery) {
	var times []time.Time
	for _, d := range c.bound(a, deliveries, toldBefore) {
		if d.At.After(a.From.Add(SettleTime)) && d.At.Before(to) {
			times = append(times, d.At)
		}
	}
	allowed := limitFactor*a.Limit*limitWindow.Seconds() + limitSlack
	for i, from := range times {
		if n := countBetween(times[i:], from, from.Add(limitWindow)); float64(n) > allowed {
			c.addViolation("the limit of an upstream", "%s got %d requests in the window from %s, %.0f are allowed", a.Upstream, n, from.Format("15:04:05.000"), allowed)
			return
		}
	}
}

// checkSuspension checks that an upstream gets no more than suspendedSlack requests from an
// entry in the time for which it wanted none, counted from its first refusal of one.
func (c *checker) checkSuspension(a *Advice, to time.Time, deliveries []delivery) {
	refusedAt := map[string]time.Time{}
	arrived := map[string]int{}
	for _, d := range deliveries {
		entry := d.request.Entry
		at, refused := refusedAt[entry]
		switch {
		case !d.At.After(a.From):
		case !refused && d.At.Before(to):
			refusedAt[entry] = d.At
		case refused && d.At.After(at.Add(toldBefore)) && d.At.Before(at.Add(a.RetryAfter)) && c.faultFree(entry, at.Add(-SettleTime), d.At, true) &&
			c.faultFree(a.Upstream, at.Add(-SettleTime), d.At, true):
			if arrived[entry]++; arrived[entry] > suspendedSlack {
				c.addViolation("an upstream that wants no requests gets none", "%s refused one of %s at %s for %v, arrival at %s: %v",
					a.Upstream, entry, at.Format("15:04:05.000"), a.RetryAfter, d.At.Format("15:04:05.000"), d.request)
				return
			}
		}
	}
}
