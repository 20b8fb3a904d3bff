package upstream

import (
	"slices"
	"time"
)

// health is what the outcomes of requests tell about one upstream.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	// probing is true while one request tries an upstream back from ejection.
	probing bool
	typical time.Duration
}

// Constants of the judgement of health.
const (
	// maxEjectionFactor bounds the doubling of the ejection time.
	maxEjectionFactor = 10
	// typicalGain is the weight of a new time in the moving average.
	typicalGain = 0.1
	// minSamplesSlow is how many upstreams must have a typical time before one
	// is called slow.
	minSamplesSlow = 3
	// minSlowTime is a typical time below which no upstream is called slow.
	minSlowTime = 20 * time.Millisecond
)

// out tells whether the upstream is ejected; one whose time has passed is let
// back with a single probe.
func (h *health) out(now time.Time) bool {
	if h.ejectedUntil.IsZero() {
		return false
	}
	return now.Before(h.ejectedUntil) || h.probing
}

// begin notes that a request is sent.
func (h *health) begin(now time.Time) {
	if !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		h.probing = true
	}
}

// succeeded notes a good answer after a time.
func (h *health) succeeded(took time.Duration) {
	h.failures = 0
	if h.typical == 0 {
		h.typical = took
	}
	h.typical += time.Duration(typicalGain * float64(took-h.typical))
	if h.probing {
		h.probing = false
		h.ejectedUntil = time.Time{}
		h.typical = took
	}
}

// forgive shortens the next ejection of an upstream that does well.
func (h *health) forgive() {
	if h.ejections > 0 && h.ejectedUntil.IsZero() {
		h.ejections--
	}
}

// slow tells whether the typical time stands out among all by a factor.
func (h *health) slow(all []*health, factor float64) bool {
	var typical []time.Duration
	for _, o := range all {
		if o.typical > 0 {
			typical = append(typical, o.typical)
		}
	}
	if len(typical) < minSamplesSlow || h.typical < minSlowTime {
		return false
	}
	slices.Sort(typical)
	median := typical[(len(typical)-1)/2]
	return float64(h.typical) > factor*float64(median)
}

// eject takes the upstream out for a time that doubles with each ejection.
func (h *health) eject(base time.Duration, now time.Time) {
	factor := min(1<<min(h.ejections, 10), maxEjectionFactor)
	h.ejections++
	h.probing = false
	h.failures = 0
	h.ejectedUntil = now.Add(time.Duration(factor) * base)
}

// mayEject tells whether one more of all may be out: half of them stay.
func mayEject(h *health, all []*health) bool {
	out := 0
	for _, o := range all {
		if o != h && !o.ejectedUntil.IsZero() {
			out++
		}
	}
	return 2*(out+1) <= len(all)
}
