package upstream

import (
	"bytes"
	"testing"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

func TestMetricsOfRemovedUpstreamAreUnregistered(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	p := NewPools(1, "e0", "north", Config{}, set, logr.Discard())
	one := service.Upstream{ID: "i-1", Service: "stock", FailureDomain: "north"}
	two := service.Upstream{ID: "i-2", Service: "stock", FailureDomain: "south"}
	both := map[string]service.Upstream{"i-1": one, "i-2": two}
	p.Update(service.NewView(nil, both, true), nil)
	now := time.Now()
	p.RecordOutcome(one, core.Answered, 500*time.Millisecond, now)
	p.RecordOutcome(one, core.Answered, 250*time.Millisecond, now)
	p.RecordOutcome(one, core.UpstreamError, time.Second, now)
	p.RecordOutcome(two, core.Rejected, 0, now)
	exposition := func() string {
		var b bytes.Buffer
		set.WritePrometheus(&b)
		return b.String()
	}
	is.Equal(exposition(), `bramleydeal_retry_quota_left{service="stock"} 0
bramleydeal_upstream_answered_seconds_total{service="stock",upstream="i-1",domain="north"} 0.75
bramleydeal_upstream_answered_seconds_total{service="stock",upstream="i-2",domain="south"} 0
bramleydeal_upstream_tries_total{service="stock",upstream="i-1",domain="north",outcome="answered"} 2
bramleydeal_upstream_tries_total{service="stock",upstream="i-1",domain="north",outcome="faulty"} 1
bramleydeal_upstream_tries_total{service="stock",upstream="i-2",domain="south",outcome="turned-away"} 1
`)
	delete(both, "i-1")
	p.Update(service.NewView(nil, both, true), nil)
	is.Equal(exposition(), `bramleydeal_retry_quota_left{service="stock"} 0
bramleydeal_upstream_answered_seconds_total{service="stock",upstream="i-2",domain="south"} 0
bramleydeal_upstream_tries_total{service="stock",upstream="i-2",domain="south",outcome="turned-away"} 1
`)
	// An attempt that ends after its upstream was removed must not leave
	// metrics behind.
	p.RecordOutcome(one, core.Answered, time.Second, now)
	p.Update(service.NewView(nil, both, true), nil)
	is.Equal(len(p.series.byUpstream), 1)
}
