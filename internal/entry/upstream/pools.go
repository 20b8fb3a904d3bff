package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bramleydeal/internal/core/admission"
	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// Config holds the settings for choosing among directly reached upstreams and
// for retries.
type Config struct {
	Pool  core.PoolConfig
	Quota core.RetryQuotaConfig
	// Admission enables the gates that hold back requests to overloaded engines.
	Admission bool
}

// Pools holds the pool of upstreams and the retry quota of each service.
type Pools struct {
	self   string
	domain fleet.FailureDomain
	seed   uint64
	log    logr.Logger

	// mu guards the fields below. The decisions made under it take microseconds,
	// so a mutex is cheaper than a goroutine that owns the state.
	mu      sync.Mutex
	started time.Time
	// phase, in [0, 1), spreads what several processes do at the same moment.
	phase    float64
	config   Config
	services map[string]*servicePool
	series   series
	returns  admission.Returns
	// announce makes the peers get the news at once.
	announce func()
	// withoutRegion holds the failure domains that were logged because their region is not known.
	withoutRegion map[fleet.FailureDomain]bool
	// sendBy and endBy limit the waits of callers, zero for no limits.
	sendBy, endBy time.Time
}

// servicePool is the pool, the retry quota and the suspects of one service.
type servicePool struct {
	pool     *core.Pool
	quota    *core.RetryQuota
	suspects *core.ContentSuspects
	gate     *admission.Gate
	// suspended is set if all of the service's groups were stalled when the gate last decided.
	suspended bool
	// watches holds the attempts that may be interrupted.
	watches map[*Watch]bool
	// heldBack holds the attempts that were interrupted because of their contents a short time
	// ago, in order of time.
	heldBack []heldBackAttempt
	// implicated holds the parts and requests that this entry itself has implicated and that
	// are held back.
	implicated map[string]bool
	// reopening holds the callers that wait for the service's groups.
	reopening *core.ReopeningQueue
}

// NewPools returns Pools without services for the entry named self in a failure
// domain. seed determines the random choices. Metrics are registered in metricSet.
func NewPools(seed uint64, self string, domain fleet.FailureDomain, config Config, metricSet *metrics.Set, log logr.Logger) *Pools {
	return &Pools{
		self: self, domain: domain, seed: seed, log: log, started: time.Now(), phase: rand.New(rand.NewPCG(seed, seed)).Float64(), config: config, services: map[string]*servicePool{},
		series: series{set: metricSet, byUpstream: map[string]*upstreamSeries{}}, announce: func() {}, withoutRegion: map[fleet.FailureDomain]bool{},
	}
}

// OnUrgentNews makes f be called when this entry has news that its peers must get at once.
// It must be called before the first request. f must not call the Pools.
func (p *Pools) OnUrgentNews(f func()) { p.announce = f }

// defaultEntryCount is the number of entries assumed until instances are listed.
const defaultEntryCount = 12

// Update applies a new view of the configuration and the upstreams. entries share the
// retry quota, the connections to the upstreams and the limits that these name.
func (p *Pools) Update(v *service.View, entries []fleet.Instance) {
	now := time.Now()
	members := map[string][]service.Upstream{}
	for _, u := range v.Upstreams {
		members[u.Service] = append(members[u.Service], u)
	}
	changes := map[string][]core.ColdChange{}
	defer func() {
		for name, c := range changes {
			p.logColdChanges(name, c)
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config.Quota.Processes = len(entries)
	if len(entries) == 0 {
		p.config.Quota.Processes = defaultEntryCount
	}
	p.config.Pool.Entries, p.config.Pool.Evacuated = entries, v.Evacuated
	p.series.prune(v.Upstreams)
	p.logUnknownRegions(v)
	for name := range members {
		p.forService(name)
	}
	for name, s := range p.services {
		config := p.config.Pool
		if v.Configuration != nil && v.Configuration.Services[name].MaxConnections > 0 {
			config.MaxOutstanding = max(v.Configuration.Services[name].MaxConnections/p.config.Quota.Processes, 1)
		}
		if v.Configuration != nil {
			config = withColdConfig(config, v.Configuration.Services[name])
			p.registerColdMetrics(name, v.Configuration.Services[name])
		}
		s.pool.Configure(members[name], config, now)
		changes[name] = s.pool.TakeColdChanges(now)
		if s.pool.Grouped() {
			p.registerOutageMetrics(name)
		}
		s.quota.Configure(p.config.Quota)
		s.suspects.Configure(entries)
		s.gate.Configure(gateConfig(v.Configuration, name))
	}
}

// forService returns the pool and quota of the named service and creates them
// if necessary. p.mu must be held.
func (p *Pools) forService(name string) *servicePool {
	s := p.services[name]
	if s == nil {
		s = &servicePool{
			pool: core.NewPool(p.seed, p.self, p.domain, p.config.Pool), quota: core.NewRetryQuota(p.config.Quota, p.started), suspects: core.NewContentSuspects(p.self),
			gate: admission.NewGate(), watches: map[*Watch]bool{}, implicated: map[string]bool{}, reopening: core.NewReopeningQueue(p.phase),
		}
		s.reopening.Limit(p.sendBy, p.endBy)
		p.services[name] = s
		if p.config.Admission {
			p.gateGauges(name)
		}
		p.series.set.GetOrCreateGauge(fmt.Sprintf(`bramleydeal_retry_quota_left{service=%q}`, name), func() float64 { return p.remainingRetries(name, time.Now()) })
		p.registerPlacement(name)
	}
	return s
}

// remainingRetries returns how many retries of requests to the named service
// the quota allows now, possibly a fraction.
func (p *Pools) remainingRetries(name string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.services[name].quota.Remaining(now)
}

// Configure changes the settings of the retry quotas, except the number of
// processes, which Update sets.
func (p *Pools) Configure(q core.RetryQuotaConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.Processes = p.config.Quota.Processes
	p.config.Quota = q
	for _, s := range p.services {
		s.quota.Configure(q)
	}
}

// Choose returns the upstream for a request to the named service and counts the
// request as started there. It reports false if no upstream can be used.
func (p *Pools) Choose(name string, q core.PoolQuery, now time.Time) (service.Upstream, bool) {
	p.mu.Lock()
	pool := p.forService(name).pool
	u, ok := pool.Choose(q, now)
	changes := pool.TakeColdChanges(now)
	p.mu.Unlock()
	p.logColdChanges(name, changes)
	return u, ok
}

// RecordOutcome records the outcome of an attempt at an upstream. took is the
// time to the first event of a stream, or to the complete response otherwise;
// it is used only if the outcome is Answered.
func (p *Pools) RecordOutcome(u service.Upstream, o core.PoolOutcome, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forService(u.Service).pool.RecordOutcome(u.ID, o, took, now)
	p.series.recordAttempt(u, o, took)
}

// RecordLoad records the load that an upstream reported: the numbers of its
// running and waiting requests.
func (p *Pools) RecordLoad(u service.Upstream, running, waiting int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.forService(u.Service)
	s.pool.RecordLoad(u.ID, running, waiting, now)
	s.gate.RecordLoad(running+waiting, now)
}

// Outage returns how long the named service has been unavailable, 0 while it is
// available.
func (p *Pools) Outage(name string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forService(name).pool.Outage(now)
}

// RecordRequest counts a caller's request to the named service for its retry
// quota.
func (p *Pools) RecordRequest(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forService(name).quota.RecordRequest(now)
}

// TakeRetry reports whether the retry quota of the named service allows a
// retry. If so, it counts the retry.
func (p *Pools) TakeRetry(name string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forService(name).quota.TakeRetry(now)
}

// ReturnRetry returns a retry that was taken from the quota of the named service and was
// not made.
func (p *Pools) ReturnRetry(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forService(name).quota.ReturnRetry(now)
}

// State returns the debug state of each pool's members, by service.
func (p *Pools) State(now time.Time) map[string][]core.MemberState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]core.MemberState{}
	for name, s := range p.services {
		out[name] = slices.Clip(s.pool.State(now))
	}
	return out
}
