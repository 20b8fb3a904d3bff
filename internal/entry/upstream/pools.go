package upstream

import (
	"fmt"
	"slices"
	"sync"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// Rules are the settings of an entry's choice among directly reached upstreams.
type Rules struct {
	Pool  core.PoolConfig
	Quota core.RetryQuotaConfig
}

// Pools holds the pool and the retry quota of each service.
type Pools struct {
	domain fleet.FailureDomain
	seed   uint64
	log    logr.Logger

	// mu guards all below. The core's decisions take microseconds, so that a lock
	// is cheaper than a goroutine of its own.
	mu       sync.Mutex
	started  time.Time
	rules    Rules
	services map[string]*pooled
	series   series
}

type pooled struct {
	pool  *core.Pool
	quota *core.RetryQuota
}

// NewPools returns pools that hold no service. What they count is added to numbers.
func NewPools(seed uint64, domain fleet.FailureDomain, rules Rules, numbers *metrics.Set, log logr.Logger) *Pools {
	return &Pools{
		domain: domain, seed: seed, log: log, started: time.Now(), rules: rules, services: map[string]*pooled{},
		series: series{set: numbers, byUpstream: map[string]*upstreamSeries{}},
	}
}

// Update takes in a new view. processes is the number of entries that share the
// retry quota and the upstreams' connections.
func (p *Pools) Update(v *service.View, processes int) {
	now := time.Now()
	members := map[string][]service.Upstream{}
	for _, u := range v.Upstreams {
		members[u.Service] = append(members[u.Service], u)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules.Quota.Processes = max(processes, 1)
	p.series.keep(v.Upstreams)
	for name := range members {
		p.of(name)
	}
	for name, s := range p.services {
		rules := p.rules.Pool
		if v.Configuration != nil && v.Configuration.Services[name].MaxConnections > 0 {
			rules.MaxOutstanding = max(v.Configuration.Services[name].MaxConnections/p.rules.Quota.Processes, 1)
		}
		s.pool.Configure(members[name], rules, now)
		s.quota.Configure(p.rules.Quota)
	}
}

// of returns a service's pool and quota; p.mu is held.
func (p *Pools) of(name string) *pooled {
	s := p.services[name]
	if s == nil {
		s = &pooled{core.NewPool(p.seed, p.domain, p.rules.Pool), core.NewRetryQuota(p.rules.Quota, p.started)}
		p.services[name] = s
		p.series.set.GetOrCreateGauge(fmt.Sprintf(`bramleydeal_retry_quota_left{service=%q}`, name), func() float64 { return p.left(name, time.Now()) })
	}
	return s
}

// left is how many requests to a service may be sent once more.
func (p *Pools) left(name string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.services[name].quota.Remaining(now)
}

// Configure changes the rules of the quotas.
func (p *Pools) Configure(q core.RetryQuotaConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.Processes = p.rules.Quota.Processes
	p.rules.Quota = q
	for _, s := range p.services {
		s.quota.Configure(q)
	}
}

// Choose returns the upstream of a service for a request and counts it as begun.
func (p *Pools) Choose(name string, s core.PoolQuery, now time.Time) (service.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(name).pool.Choose(s, now)
}

// Ended records how a request ended at an upstream.
func (p *Pools) Ended(u service.Upstream, o core.Outcome, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(u.Service).pool.RecordOutcome(u.ID, o, took, now)
	p.series.ended(u, o, took)
}

// ReportLoad records the load that an upstream reports.
func (p *Pools) ReportLoad(u service.Upstream, running, waiting int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(u.Service).pool.RecordLoad(u.ID, running, waiting, now)
}

// Outage is how long a service has had no sound upstream, 0 while it has one.
func (p *Pools) Outage(name string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(name).pool.Outage(now)
}

// Request counts a caller's request for a service.
func (p *Pools) Request(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(name).quota.RecordRequest(now)
}

// Repeat tells whether a request to a service may be sent once more.
func (p *Pools) Repeat(name string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(name).quota.TakeRetry(now)
}

// State returns the pools' part of the dump.
func (p *Pools) State(now time.Time) map[string][]core.MemberState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]core.MemberState{}
	for name, s := range p.services {
		out[name] = slices.Clip(s.pool.State(now))
	}
	return out
}
