package upstream

import (
	"bytes"
	"strings"
	"testing"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// placementMetrics are the metrics of a service at which three attempts ended that were not
// chosen there.
const placementMetrics = `bramleydeal_load_reports_total{service="stock",waiting="none"} 0
bramleydeal_load_reports_total{service="stock",waiting="some"} 0
bramleydeal_placements_total{service="stock",to="other-domain"} 0
bramleydeal_placements_total{service="stock",to="own-domain"} 0
bramleydeal_placements_total{service="stock",to="preferred"} 0
bramleydeal_request_stay_seconds{service="stock"} 0.4
`

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
	is.Equal(exposition(), placementMetrics+`bramleydeal_retry_quota_left{service="stock"} 0
bramleydeal_upstream_answered_seconds_total{service="stock",upstream="i-1",domain="north"} 0.75
bramleydeal_upstream_answered_seconds_total{service="stock",upstream="i-2",domain="south"} 0
bramleydeal_upstream_tries_total{service="stock",upstream="i-1",domain="north",outcome="answered"} 2
bramleydeal_upstream_tries_total{service="stock",upstream="i-1",domain="north",outcome="faulty"} 1
bramleydeal_upstream_tries_total{service="stock",upstream="i-2",domain="south",outcome="turned-away"} 1
`)
	delete(both, "i-1")
	p.Update(service.NewView(nil, both, true), nil)
	is.Equal(exposition(), placementMetrics+`bramleydeal_retry_quota_left{service="stock"} 0
bramleydeal_upstream_answered_seconds_total{service="stock",upstream="i-2",domain="south"} 0
bramleydeal_upstream_tries_total{service="stock",upstream="i-2",domain="south",outcome="turned-away"} 1
`)
	// An attempt that ends after its upstream was removed must not leave
	// metrics behind.
	p.RecordOutcome(one, core.Answered, time.Second, now)
	p.Update(service.NewView(nil, both, true), nil)
	is.Equal(len(p.series.byUpstream), 1)
}

// TestMetricsOfPlacement guards the series from which an operator sees where requests go and
// whether they wait there.
func TestMetricsOfPlacement(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	p := NewPools(1, "e0", "north", Config{}, set, logr.Discard())
	near := service.Upstream{ID: "i-1", Service: "stock", FailureDomain: "north", Slots: 4}
	far := service.Upstream{ID: "i-2", Service: "stock", FailureDomain: "south", Slots: 4}
	entries := []fleet.Instance{{Name: "e0", Role: fleet.EntryRole, FailureDomain: "north"}}
	p.Update(service.NewView(nil, map[string]service.Upstream{"i-1": near, "i-2": far}, true), entries)
	now := time.Now()
	u, ok := p.Choose("stock", core.PoolQuery{}, now)
	is.True(ok)
	is.Equal(u.ID, near.ID)
	p.RecordLoad(near, 4, 2, now)
	u, ok = p.Choose("stock", core.PoolQuery{Exclude: []string{near.ID}}, now)
	is.True(ok)
	is.Equal(u.ID, far.ID)
	var b bytes.Buffer
	set.WritePrometheus(&b)
	for _, line := range []string{
		`bramleydeal_placements_total{service="stock",to="preferred"} 1`, `bramleydeal_placements_total{service="stock",to="other-domain"} 1`,
		`bramleydeal_load_reports_total{service="stock",waiting="some"} 1`,
	} {
		is.True(strings.Contains(b.String(), line+"\n"))
	}
}
