package history

import (
	"math"
	"slices"
	"time"

	"bramleydeal/internal/soak/program"
)

// interval is a time in which something held. To is zero while it does.
type interval struct{ From, To time.Time }

// contains reports whether t is in the interval.
func (i *interval) contains(t time.Time) bool {
	return t.After(i.From) && (i.To.IsZero() || t.Before(i.To))
}

// loads is the part of a History that says when upstreams had little room.
type loads struct {
	// coldUntil is the time until which an upstream is cold, by upstream.
	coldUntil map[string]time.Time
	overloads []*interval
}

// BeginOverload records that the upstreams are overloaded from now on. The function that it
// returns records the end.
func (h *History) BeginOverload() (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := &interval{From: time.Now()}
	h.overloads = append(h.overloads, i)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		i.To = time.Now()
	}
}

// MarkCold records that an upstream is cold until a time.
func (h *History) MarkCold(upstream string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.coldUntil == nil {
		h.coldUntil = map[string]time.Time{}
	}
	h.coldUntil[upstream] = until
}

// Bounds of a cold upstream, as the platform's operators state them.
const (
	// coldWindow is the time in which its requests are counted.
	coldWindow = time.Second
	// maxCold is the number of requests from all entries together that it may get then.
	maxCold = program.ColdFactor*program.ColdRate + program.ColdSlack
)

// significance is the number of standard errors by which one kind of request must be served less
// often than another to count as such: about one of a thousand comparisons of equal ones
// exceeds it.
const significance = 3

// checkLoad checks that cold upstreams are spared, and that overload is not borne by urgent
// requests.
func (c *checker) checkLoad() {
	cold := map[string][]time.Time{}
	for _, arrivals := range c.arrivals {
		for _, a := range arrivals {
			if !a.Misdirected && a.At.Before(c.coldUntil[a.Upstream]) {
				cold[a.Upstream] = append(cold[a.Upstream], a.At)
			}
		}
	}
	for upstream, times := range cold {
		c.checkCold(upstream, times)
	}
	c.checkPriorities()
}

// checkCold checks that a cold upstream gets no more than maxCold requests in any second. Those
// that a fault of its link may have held up count at no particular time.
func (c *checker) checkCold(upstream string, times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	for i, from := range times {
		n := countBetween(times[i:], from, from.Add(coldWindow))
		if float64(n) > maxCold && c.faultFree(upstream, from.Add(-SettleTime), from.Add(coldWindow), true) {
			c.addViolation("a cold upstream gets few requests", "%s got %d in the second from %s, %.0f are allowed", upstream, n, from.Format("15:04:05.000"), maxCold)
			return
		}
	}
}

// checkPriorities checks that requests of the urgent kind are not served less often during
// overload than those of the other kind that takes as long. Only requests that were served or
// refused count, and only if no upstream or entry with a fault had to do with them.
func (c *checker) checkPriorities() {
	var urgent, other served
	for i := range c.requests {
		r := &c.requests[i]
		of := &other
		switch {
		case !slices.ContainsFunc(c.overloads, func(o *interval) bool { return o.contains(r.Sent) && o.contains(r.Ended) }):
			continue
		case r.Kind == Confirm:
			of = &urgent
		case r.Kind != Check:
			continue
		}
		faulty := slices.ContainsFunc(c.arrivals[r.ID], func(a Arrival) bool { return !c.faultFree(a.Upstream, r.Sent.Add(-SettleTime), r.Ended, true) })
		if faulty || r.Deadly != "" || !c.timeBoundsApply(r) || r.Outcome != Answered && r.Outcome != Refused {
			continue
		}
		if of.all++; r.Outcome == Answered {
			of.answered++
		}
	}
	if urgent.all == 0 || other.all == 0 {
		return
	}
	if urgent.share()+significance*standardError(urgent, other) < other.share() {
		c.addViolation("overload is not borne by urgent requests", "%.2f of %d urgent ones served, %.2f of %d others", urgent.share(), urgent.all, other.share(), other.all)
	}
}

// standardError returns the standard error of the difference between the shares of a and b if
// both are served equally.
func standardError(a, b served) float64 {
	p := float64(a.answered+b.answered) / float64(a.all+b.all)
	return math.Sqrt(p * (1 - p) * (1/float64(a.all) + 1/float64(b.all)))
}

// littleRoom reports whether upstreams were overloaded or cold at a time, so that entries refuse
// requests for that.
func (c *checker) littleRoom(t time.Time) bool {
	for _, until := range c.coldUntil {
		if t.Before(until) && t.After(until.Add(-program.ColdTime)) {
			return true
		}
	}
	return slices.ContainsFunc(c.overloads, func(o *interval) bool { return o.contains(t) })
}
