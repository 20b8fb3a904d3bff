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
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// TestColdUpstreamsAreShown guards against upstreams that get few requests without a metric or
// a log line that says why, and against metrics of services that have no cold upstreams.
func TestColdUpstreamsAreShown(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	var lines []string
	log := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	p := NewPools(1, "e0", "north", Config{Pool: core.PoolConfig{Cold: core.ColdConfig{Factor: 1.5, Slack: 5}}}, set, log)
	configuration := &service.Configuration{Services: map[string]service.Service{
		"model": {Name: "model", ColdTime: time.Minute, ColdRate: 4}, "plain": {Name: "plain"},
	}}
	upstreams := map[string]service.Upstream{"i-1": {ID: "i-1", Service: "model", FailureDomain: "north"}, "i-2": {ID: "i-2", Service: "plain", FailureDomain: "north"}}
	p.Update(service.NewView(configuration, upstreams, true), []fleet.Instance{{Name: "e0", Role: fleet.EntryRole, FailureDomain: "north"}})
	now := time.Now()
	for _, name := range []string{"model", "model", "plain", "plain"} {
		p.Choose(name, core.PoolQuery{}, now)
	}
	var exposition bytes.Buffer
	set.WritePrometheus(&exposition)
	for _, line := range []string{
		`bramleydeal_upstreams_cold{service="model"} 1`, `bramleydeal_cold_requests_total{service="model",outcome="elsewhere"} 0`,
		`bramleydeal_cold_requests_total{service="model",outcome="refused"} 1`,
	} {
		is.True(strings.Contains(exposition.String(), line+"\n"))
	}
	is.True(!strings.Contains(exposition.String(), `cold{service="plain"}`))
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"reason"="unknown"`))
	is.True(strings.Contains(lines[0], `"upstreams"="i-1"`))
	is.Equal(p.State(now)["model"][0].Cold.Reason, core.ColdUnknown)
}
