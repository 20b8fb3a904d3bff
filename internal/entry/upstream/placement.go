package upstream

import (
	"fmt"
	"time"

	core "bramleydeal/internal/core/upstream"
)

// registerPlacement registers the metrics of the placement of the named service's requests.
// p.mu must be held.
func (p *Pools) registerPlacement(name string) {
	series := func(metric string, value func(core.PlacementState) float64) {
		p.series.set.GetOrCreateGauge(metric, func() float64 { return value(p.placement(name)) })
	}
	counter := func(metric, label, value string, count func(core.PlacementCounts) uint64) {
		series(fmt.Sprintf(`%s{service=%q,%s=%q}`, metric, name, label, value), func(s core.PlacementState) float64 { return float64(count(s.Counts)) })
	}
	counter("bramleydeal_placements_total", "to", "preferred", func(c core.PlacementCounts) uint64 { return c.Preferred })
	counter("bramleydeal_placements_total", "to", "own-domain", func(c core.PlacementCounts) uint64 { return c.Local })
	counter("bramleydeal_placements_total", "to", "other-domain", func(c core.PlacementCounts) uint64 { return c.Remote })
	counter("bramleydeal_load_reports_total", "waiting", "none", func(c core.PlacementCounts) uint64 { return c.Idle })
	counter("bramleydeal_load_reports_total", "waiting", "some", func(c core.PlacementCounts) uint64 { return c.Queued })
	series(fmt.Sprintf(`bramleydeal_request_stay_seconds{service=%q}`, name), func(s core.PlacementState) float64 { return s.MeanStay.Seconds() })
}

// placement returns the debug state of the placement of the named service's requests.
func (p *Pools) placement(name string) core.PlacementState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.services[name].pool.Placement(time.Now())
}

// Placements returns the debug state of the placement of requests, by service.
func (p *Pools) Placements(now time.Time) map[string]core.PlacementState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]core.PlacementState{}
	for name, s := range p.services {
		out[name] = s.pool.Placement(now)
	}
	return out
}
