package history

import (
	"time"

	"bramleydeal/internal/soak/program"
)

// Evacuation is the evacuation of a failure domain, from its acknowledgement by the store
// until it is taken back. To is zero before that.
type Evacuation struct {
	FailureDomain string
	From, To      time.Time
}

// BeginEvacuation records that the store has now acknowledged the evacuation of a failure
// domain. The function that it returns records the end; it must be called before the
// evacuation is taken back.
func (h *History) BeginEvacuation(failureDomain string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &Evacuation{FailureDomain: failureDomain, From: time.Now()}
	h.evacuations = append(h.evacuations, e)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		e.To = time.Now()
	}
}

// checkEvacuations checks that no request reaches an upstream of a failure domain later than
// the evacuation time after it was evacuated. Entries that had a fault within that time, or
// while the store had one, are excused, as are upstreams with a fault, which delay arrivals.
func (c *checker) checkEvacuations() {
	for id, arrivals := range c.arrivals {
		r := c.byID[id]
		for _, a := range arrivals {
			for _, e := range c.evacuations {
				late := a.FailureDomain == e.FailureDomain && a.At.After(e.From.Add(program.EvacuationTime)) && (e.To.IsZero() || a.At.Before(e.To))
				if r == nil || a.Misdirected || !late {
					continue
				}
				from := a.At.Add(-program.EvacuationTime)
				if c.faultFree(r.Entry, from, a.At, true) && c.faultFree(Store, from, a.At, true) && c.faultFree(a.Upstream, e.From, a.At, false) {
					c.addViolation("an evacuated failure domain gets no requests", "%s since %s, arrival at %s at %s: %v",
						e.FailureDomain, e.From.Format("15:04:05.000"), a.Upstream, a.At.Format("15:04:05.000"), r)
				}
			}
		}
	}
}
