package client

import (
	"fmt"
	"time"

	"bramleydeal/internal/world/answer"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of the caller side.
type counters struct{ set *metrics.Set }

// latencyBounds are the upper bounds of the latency histogram's buckets in
// seconds. They are close together in the range of the routes' latency targets.
var latencyBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2, 4, 8}

// completed counts a request that got its complete response. took is the time
// to the first event of a stream, or to the complete response otherwise.
func (c counters) completed(r *service.Route, outcome string, took time.Duration) {
	c.ended(r, outcome)
	c.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`bramleydeal_request_seconds{kind=%q}`, r.Kind), latencyBounds).Update(took.Seconds())
}

// ended counts a request by its outcome. r is nil if no route was found.
func (c counters) ended(r *service.Route, outcome string) {
	kind := "none"
	if r != nil {
		kind = r.Kind.String()
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`bramleydeal_requests_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
}

// refused counts a request that this entry refused, by the refusal's kind.
func (c counters) refused(r *service.Route, k answer.Kind) { c.ended(r, "refused-"+string(k)) }

// failedAttempt counts an attempt that produced no response for the caller.
func (c counters) failedAttempt(outcome string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`bramleydeal_failed_tries_total{outcome=%q}`, outcome)).Inc()
}

// maxUnreadHeaders limits the names of headers that are counted.
const maxUnreadHeaders = 64

// unreadHeaders counts the headers of an upstream's response that mean nothing to this
// system, and logs each name once: a new one may say what upstreams expect.
func (h *Handler) unreadHeaders(names []string, upstream, request string) {
	for _, name := range names {
		h.unreadMu.Lock()
		known := h.unread[name]
		if !known && len(h.unread) < maxUnreadHeaders {
			h.unread[name] = true
		}
		counted := h.unread[name]
		h.unreadMu.Unlock()
		if !counted {
			continue
		}
		h.counters.set.GetOrCreateCounter(fmt.Sprintf(`bramleydeal_unread_headers_total{name=%q}`, name)).Inc()
		if !known {
			h.log.Info("an upstream's response has a header that is not read", "header", name, "upstream", upstream, "request", request)
		}
	}
}

// retryDecision counts a retry that the retry quota allowed or denied.
func (c counters) retryDecision(allowed bool) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`bramleydeal_repeats_total{allowed="%t"}`, allowed)).Inc()
}
