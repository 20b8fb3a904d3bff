package upstream

import (
	"slices"
	"time"
)

// health is the health of one upstream (or of a group of them), derived from the
// outcomes of the requests sent to it.
type health struct {
	consecutiveFailures int
	// ejections is the number of ejections that lengthen the next one.
	ejections int
	// ejectedUntil is zero unless the upstream is ejected. After that time a
	// single request probes the upstream; its success ends the ejection.
	ejectedUntil time.Time
	// probing is set while that request is outstanding.
	probing bool
	// averageLatency is the moving average of the latency, 0 without any sample.
	averageLatency time.Duration
}

// Parameters of the ejection of upstreams.
const (
	// maxEjectionFactor limits the ejection time to a multiple of its base.
	maxEjectionFactor = 10
	// latencyGain is the weight of a new sample in the average latency.
	latencyGain = 0.1
	// minUpstreamsForSlow is the number of upstreams that must have an average
	// latency before one of them may count as slow: the median of fewer says
	// little.
	minUpstreamsForSlow = 3
	// minSlowLatency is the average latency below which no upstream counts as
	// slow.
	minSlowLatency = 20 * time.Millisecond
)

// ejected reports whether the upstream must get no request at now. Once the
// ejection time has passed, it returns false until a probe is sent.
func (h *health) ejected(now time.Time) bool {
	if h.ejectedUntil.IsZero() {
		return false
	}
	return now.Before(h.ejectedUntil) || h.probing
}

// recordStart records that a request is sent at now. The first one after the
// ejection time is the probe.
func (h *health) recordStart(now time.Time) {
	if !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		h.probing = true
	}
}

// recordSuccess records a successful request that took the given time. The
// success of a probe ends the ejection.
func (h *health) recordSuccess(took time.Duration) {
	h.consecutiveFailures = 0
	if h.averageLatency == 0 {
		h.averageLatency = took
	}
	h.averageLatency += time.Duration(latencyGain * float64(took-h.averageLatency))
	if h.probing {
		h.probing = false
		h.ejectedUntil = time.Time{}
		h.averageLatency = took
	}
}

// decayEjections shortens the next ejection of an upstream that is not ejected.
// It is called on each success.
func (h *health) decayEjections() {
	if h.ejections > 0 && h.ejectedUntil.IsZero() {
		h.ejections--
	}
}

// isSlow reports whether the average latency exceeds factor times the median of
// all upstreams.
func (h *health) isSlow(all []*health, factor float64) bool {
	var latencies []time.Duration
	for _, o := range all {
		if o.averageLatency > 0 {
			latencies = append(latencies, o.averageLatency)
		}
	}
	if len(latencies) < minUpstreamsForSlow || h.averageLatency < minSlowLatency {
		return false
	}
	slices.Sort(latencies)
	median := latencies[(len(latencies)-1)/2]
	return float64(h.averageLatency) > factor*float64(median)
}

// eject ejects the upstream at now for the time base, which doubles with each
// ejection up to maxEjectionFactor times base.
func (h *health) eject(base time.Duration, now time.Time) {
	factor := min(1<<min(h.ejections, 10), maxEjectionFactor)
	h.ejections++
	h.probing = false
	h.consecutiveFailures = 0
	h.ejectedUntil = now.Add(time.Duration(factor) * base)
}

// mayEject reports whether h may be ejected: at most half of all upstreams may be
// ejected at once, since the others must take over their load.
func mayEject(h *health, all []*health) bool {
	ejected := 0
	for _, o := range all {
		if o != h && !o.ejectedUntil.IsZero() {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(all)
}
