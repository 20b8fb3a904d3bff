package client

import (
	"fmt"
	"time"

	"bramleydeal/internal/world/answer"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
)

// counters are the numbers that the caller side serves.
type counters struct{ set *metrics.Set }

// latencyBounds are the upper bounds of the latency histograms in seconds, close
// together where the targets of routes lie.
var latencyBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2, 4, 8}

// answered counts a request that got its whole answer. took is the time to the
// first event for a stream, to the answer otherwise.
func (c counters) answered(r *service.Route, outcome string, took time.Duration) {
	c.ended(r, outcome)
	c.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`bramleydeal_request_seconds{kind=%q}`, r.Kind), latencyBounds).Update(took.Seconds())
}

// ended counts a request by its outcome.
func (c counters) ended(r *service.Route, outcome string) {
	kind := "none"
	if r != nil {
		kind = r.Kind.String()
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`bramleydeal_requests_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
}

// refused counts a refusal by its kind.
func (c counters) refused(r *service.Route, k answer.Kind) { c.ended(r, "refused-"+string(k)) }

// tried counts a try at an upstream that gave the caller nothing.
func (c counters) tried(outcome string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`bramleydeal_failed_tries_total{outcome=%q}`, outcome)).Inc()
}

// repeated counts a request that was or might not be sent once more.
func (c counters) repeated(allowed bool) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`bramleydeal_repeats_total{allowed="%t"}`, allowed)).Inc()
}
