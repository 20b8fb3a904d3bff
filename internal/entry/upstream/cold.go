package upstream

import (
	"fmt"
	"slices"
	"strings"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/service"
)

// withColdConfig returns c with the cold time and the rate of a service.
func withColdConfig(c core.PoolConfig, of service.Service) core.PoolConfig {
	c.Cold.Time, c.Cold.Rate = of.ColdTime, of.ColdRate
	return c
}

// registerColdMetrics registers the metrics of the cold upstreams of a service, if it has any.
// p.mu must be held.
func (p *Pools) registerColdMetrics(name string, of service.Service) {
	if of.ColdTime <= 0 || of.ColdRate <= 0 {
		return
	}
	read := func(value func(s *servicePool) uint64) func() float64 {
		return func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return float64(value(p.services[name]))
		}
	}
	p.series.set.GetOrCreateGauge(fmt.Sprintf(`bramleydeal_upstreams_cold{service=%q}`, name), read(func(s *servicePool) uint64 {
		return s.pool.ColdUpstreams(time.Now())
	}))
	p.series.set.GetOrCreateGauge(fmt.Sprintf(`bramleydeal_cold_requests_total{service=%q,outcome="elsewhere"}`, name), read(func(s *servicePool) uint64 {
		elsewhere, _ := s.pool.ColdRequests()
		return elsewhere
	}))
	p.series.set.GetOrCreateGauge(fmt.Sprintf(`bramleydeal_cold_requests_total{service=%q,outcome="refused"}`, name), read(func(s *servicePool) uint64 {
		_, refused := s.pool.ColdRequests()
		return refused
	}))
}

// maxNamedUpstreams is the number of upstreams that a log line names.
const maxNamedUpstreams = 8

// logColdChanges logs which upstreams of a service have become cold or warm, in one line for
// all that became so for the same reason.
func (p *Pools) logColdChanges(service string, changes []core.ColdChange) {
	for len(changes) > 0 {
		first := changes[0]
		var names []string
		var rest []core.ColdChange
		for _, c := range changes {
			if c.Cold == first.Cold && c.Reason == first.Reason {
				names = append(names, c.Upstream)
			} else {
				rest = append(rest, c)
			}
		}
		slices.Sort(names)
		values := []any{"service", service, "reason", first.Reason, "count", len(names), "upstreams", strings.Join(names[:min(len(names), maxNamedUpstreams)], ",")}
		if first.Cold {
			p.log.Info("upstreams count as cold; they get few requests", append(values, "for-ms", first.For.Milliseconds())...)
		} else {
			p.log.Info("upstreams no longer count as cold", values...)
		}
		changes = rest
	}
}
