package upstream

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramleydeal/internal/core/admission"
	"bramleydeal/internal/core/capacity"
	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/service"
)

// gateConfig returns what the configuration says about the capacity of a service. Streams
// of several routes may run at an engine at once, so the strictest target for pauses counts.
func gateConfig(c *service.Configuration, name string) admission.Config {
	if c == nil || c.Services[name].Engine == nil {
		return admission.Config{}
	}
	engine := c.Services[name].Engine
	out := admission.Config{Model: capacity.NewModel(engine), Slots: engine.Slots}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.MaxGap > 0 && r.LeadsTo(name) && (out.MaxGap == 0 || r.MaxGap < out.MaxGap) {
			out.MaxGap = r.MaxGap
		}
	}
	return out
}

// gated returns the gate of the named service, nil if it has none. p.mu must be held.
func (p *Pools) gated(name string) *admission.Gate {
	if !p.config.Admission {
		return nil
	}
	return p.forService(name).gate
}

// recordAdmission counts a decision of a gate.
func (s *series) recordAdmission(name string, u service.Urgency, returning, admitted bool) {
	outcome := "admitted"
	if !admitted {
		outcome = "held-back"
	}
	s.set.GetOrCreateCounter(fmt.Sprintf(`bramleydeal_admissions_total{service=%q,account_priority="%d",route_priority="%d",returning="%t",outcome=%q}`,
		name, u.Account, u.Route, returning, outcome)).Inc()
}

// AdmitLoad reports whether the load of a service leaves room for a request. If so, the
// caller must call done when the request has ended. Otherwise retryAfter is when the request
// may return, most at the latest.
func (p *Pools) AdmitLoad(name string, u service.Urgency, returning bool, most time.Duration, now time.Time) (done func(), retryAfter time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gated(name)
	if g == nil {
		return func() {}, 0, true
	}
	p.forService(name).trackOutage(now)
	admitted := g.Admit(admission.Request{Urgency: u, Returning: returning, Draw: rand.Float64()}, now)
	p.series.recordAdmission(name, u, returning, admitted)
	if !admitted {
		if g.OverloadBegan(now) {
			s := g.State(now)
			p.log.Info("requests are held back: the upstreams are overloaded", "service", name, "load", s.Load, "limit", s.Limit,
				"load-age-ms", s.LoadAgeMS, "pass-ms", s.PassMS, "predicted-pass-ms", s.PredictedPassMS, "in-flight", s.InFlight)
		}
		return nil, g.RetryAfter(most, rand.Float64(), now), false
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		g.Done(time.Now())
	}, 0, true
}

// trackOutage tells the gate when the service's groups run requests again. Pools.mu must be
// held.
func (s *servicePool) trackOutage(now time.Time) {
	stopped := s.pool.Availability(now) != core.Available
	if s.suspended && !stopped {
		s.gate.Reopen()
	}
	s.suspended = stopped
}

// Returning records the time that the caller of a request to a route has left, and reports
// whether the request was probably refused before and returns.
func (p *Pools) Returning(route string, left time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returns.Returning(route, left, now)
}

// RecordPause records the time between two events of a stream.
func (p *Pools) RecordPause(u service.Upstream, pause time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forService(u.Service).gate.RecordPause(pause, now)
}

// gateGauges registers the gauges of a service's gate.
func (p *Pools) gateGauges(name string) {
	gauge := func(metric string, value func(admission.State) float64) {
		p.series.set.GetOrCreateGauge(fmt.Sprintf(`%s{service=%q}`, metric, name), func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return value(p.services[name].gate.State(time.Now()))
		})
	}
	gauge("bramleydeal_admission_load", func(s admission.State) float64 { return s.Load })
	gauge("bramleydeal_admission_limit", func(s admission.State) float64 { return s.Limit })
	gauge("bramleydeal_pass_seconds", func(s admission.State) float64 { return s.PassMS / 1000 })
	gauge("bramleydeal_predicted_pass_seconds", func(s admission.State) float64 { return s.PredictedPassMS / 1000 })
}

// Gates returns the debug state of the gates that have decided on requests, by service.
func (p *Pools) Gates(now time.Time) map[string]admission.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]admission.State{}
	for name, s := range p.services {
		if state := s.gate.State(now); state.Admitted+state.Refused > 0 {
			out[name] = state
		}
	}
	return out
}
