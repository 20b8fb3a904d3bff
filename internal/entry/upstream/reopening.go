package upstream

import (
	"context"
	"fmt"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/service"
)

// reopeningPollInterval is the time between two looks of a waiting caller at the groups.
const reopeningPollInterval = 20 * time.Millisecond

// AwaitReopening waits while the groups of the named service are stalled, for as long as c
// allows and until ctx ends, and returns how the wait ended: StillWaiting if ctx ended first,
// NotWaiting if the caller must not wait.
func (p *Pools) AwaitReopening(ctx context.Context, name string, c core.Wait) core.Turn {
	w := p.startWait(name, c, time.Now())
	if w == nil {
		return core.NotWaiting
	}
	ticker := time.NewTicker(reopeningPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			p.endWait(name, w, core.StillWaiting)
			return core.StillWaiting
		}
		if t := p.pollWait(name, w, time.Now()); t != core.StillWaiting {
			p.endWait(name, w, t)
			return t
		}
	}
}

func (p *Pools) startWait(name string, c core.Wait, now time.Time) *core.Waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.forService(name)
	return s.reopening.Add(c, s.pool.Availability(now), s.pool.Outages(), now)
}

func (p *Pools) pollWait(name string, w *core.Waiter, now time.Time) core.Turn {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.forService(name)
	return s.reopening.Poll(w, s.pool.Availability(now), now)
}

func (p *Pools) endWait(name string, w *core.Waiter, t core.Turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forService(name).reopening.Remove(w)
	p.series.set.GetOrCreateCounter(fmt.Sprintf(`bramleydeal_waits_total{service=%q,outcome=%q}`, name, t)).Inc()
}

// LimitWaits makes no caller wait longer than until sendBy whose request may last beyond endBy.
func (p *Pools) LimitWaits(sendBy, endBy time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sendBy, p.endBy = sendBy, endBy
	for _, s := range p.services {
		s.reopening.Limit(sendBy, endBy)
	}
}

// ReturnAfter returns the delay, at least atLeast and at most atMost, after which a caller
// refused at now is to return because the groups of the named service are stalled, 0 if they
// are not.
func (p *Pools) ReturnAfter(name string, atLeast, atMost time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forService(name).pool.Outages().ReturnAfter(atLeast, atMost, now)
}

// RecordFirstEvent records that an upstream has sent the first event of a stream at now, in
// response to a request sent at sent.
func (p *Pools) RecordFirstEvent(u service.Upstream, request string, sent, now time.Time) {
	p.mu.Lock()
	s := p.forService(u.Service)
	lasted := s.pool.Outages().Lasted(now)
	reopened := s.pool.RecordFirstEvent(u.ID, sent, now)
	p.mu.Unlock()
	if reopened {
		p.log.Info("group runs requests again", "service", u.Service, "upstream", u.ID, "request", request, "outage-ms", lasted.Milliseconds())
		p.announce()
	}
}

// Outages returns the debug state of the outages of each service that has groups.
func (p *Pools) Outages(now time.Time) map[string]core.OutageState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]core.OutageState{}
	for name, s := range p.services {
		if !s.pool.Grouped() {
			continue
		}
		state := s.pool.Outages().State(now)
		state.Waiting = s.reopening.Len()
		out[name] = state
	}
	return out
}

// registerOutageMetrics registers the metrics of the outages of the named service.
func (p *Pools) registerOutageMetrics(name string) {
	gauge := func(metric string, value func(core.OutageState) float64) {
		p.series.set.GetOrCreateGauge(fmt.Sprintf(`%s{service=%q}`, metric, name), func() float64 { return value(p.Outages(time.Now())[name]) })
	}
	gauge("bramleydeal_requests_waiting", func(s core.OutageState) float64 { return float64(s.Waiting) })
	gauge("bramleydeal_outage_seconds", func(s core.OutageState) float64 { return float64(s.LastedMS) / 1000 })
	gauge("bramleydeal_outage_estimate_seconds", func(s core.OutageState) float64 { return float64(s.EstimateMS) / 1000 })
}
