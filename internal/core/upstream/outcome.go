package upstream

import (
	"slices"
	"time"
)

// PoolOutcome is how a request ended at an upstream of a Pool.
type PoolOutcome int

// The outcomes of a request at an upstream of a Pool.
const (
	// Answered means that a complete response arrived.
	Answered PoolOutcome = iota
	// UpstreamError means that the connection broke, the response timed out or was
	// invalid, or the upstream returned a server error.
	UpstreamError
	// Rejected means that the upstream declined the request without running it.
	Rejected
	// Unreachable means that the connection failed before a timeout, for example
	// because it was refused, or that the address now belongs to another upstream.
	Unreachable
	// ConnectTimeout means that connecting timed out without any reply.
	ConnectTimeout
	// GroupStalled means that the upstream did not run the request because its
	// group is stalled.
	GroupStalled
	// CallerLeft means that the caller disconnected before the end of the response, or that the
	// attempt ended early for another reason that says nothing of the upstream.
	CallerLeft
)

// RecordOutcome records that a request to the upstream with the given ID ended with o
// at now. took is the time to the complete response, or to the first event of a stream,
// and counts for Answered only. Outcomes at upstreams that are not in the pool are
// ignored.
func (p *Pool) RecordOutcome(id string, o PoolOutcome, took time.Duration, now time.Time) {
	m := p.byID[id]
	if m == nil {
		return
	}
	m.outstanding = max(m.outstanding-1, 0)
	p.placement.stay.end(o == Rejected, now)
	if m.group != nil {
		m.group.outstanding = max(m.group.outstanding-1, 0)
	}
	if m.group != nil && o != GroupStalled {
		m.group.health.probing = false
	}
	domain := p.reachabilityOf(m)
	wasOutOfReach := domain.connectTimeouts >= maxConnectTimeouts
	domain.recordOutcome(o, now)
	if wasOutOfReach && domain.connectTimeouts == 0 {
		p.recordDomainReached(m.FailureDomain, now)
	}
	if o == Answered || o == Rejected || o == GroupStalled {
		p.recordReached(m, now)
	}
	defer p.trackOutage(now)
	if o != Answered && o != CallerLeft && o != Rejected {
		if p.consecutiveFailures++; p.firstFailureAt.IsZero() {
			p.firstFailureAt = now
		}
	}
	switch o {
	case Answered:
		p.recordSuccess(m, took, now)
	case UpstreamError:
		p.recordFailure(m, now)
	case Unreachable, ConnectTimeout:
		// The upstream cannot be reached at its address, so it is ejected even if
		// that leaves less than half of the pool.
		p.recordAway(m, now)
		m.health.eject(p.config.EjectionTime, now)
	case GroupStalled:
		m.health.probing = false
		m.group.recordStall(now)
	case Rejected:
		m.health.probing = false
		p.recordFull(m, now)
	case CallerLeft:
		m.health.probing = false
	}
}

// minOutageFailures is the number of consecutive failed requests from which on a
// service counts as unavailable although some of its upstreams are healthy.
const minOutageFailures = 3

// Outage returns how long the service has been unavailable at now: since its first
// failure if at least minOutageFailures consecutive requests failed, or since its last
// success (or first configuration) if no upstream is healthy or lapsed. It is 0 while
// the service is available, and for a service that never had upstreams.
func (p *Pool) Outage(now time.Time) time.Duration {
	switch {
	case p.consecutiveFailures >= minOutageFailures:
		return now.Sub(p.firstFailureAt)
	case p.anyHealthy(now):
		return 0
	case p.firstConfiguredAt.IsZero():
		return 0 // the service never had upstreams
	case p.lastSuccessAt.IsZero():
		return now.Sub(p.firstConfiguredAt)
	}
	return now.Sub(p.lastSuccessAt)
}

// anyHealthy reports whether any upstream is healthy, or lapsed but not ejected. Upstreams
// that have MaxOutstanding requests, or are taken for out of reach, do not count.
func (p *Pool) anyHealthy(now time.Time) bool {
	return slices.ContainsFunc(p.members, func(m *member) bool {
		return p.eligibility(m, PoolQuery{}, now) <= lapsed && !m.cold.away.After(now)
	})
}

// recordSuccess records a complete response from m with the given latency, and ejects m
// if it is slow.
func (p *Pool) recordSuccess(m *member, took time.Duration, now time.Time) {
	p.lastSuccessAt, p.firstFailureAt, p.consecutiveFailures = now, time.Time{}, 0
	p.outages.RecordAnswer(now)
	if m.group != nil {
		m.group.health, m.group.broken = health{}, false
	}
	m.recordSample(0)
	m.health.recordSuccess(took)
	// The ranks of a group are not ejected for latency: all of them are as slow as
	// the slowest.
	if m.group == nil && m.health.isSlow(p.allHealth(), p.config.SlowFactor) {
		p.eject(m, now)
		return
	}
	m.health.decayEjections()
}

// recordFailure records a failure of m, and ejects m if it failed a probe, fails often
// or failed several times in a row.
func (p *Pool) recordFailure(m *member, now time.Time) {
	m.recordSample(1)
	m.health.consecutiveFailures++
	failsOften := m.samples >= minErrorRateSamples && m.errorRate >= p.config.EjectionErrorRate
	if m.health.probing || failsOften || m.health.consecutiveFailures >= p.config.EjectionFailures {
		p.eject(m, now)
	}
}

// recordSample adds one outcome to the error rate: 1 for a failure, 0 for a success.
func (m *member) recordSample(failure float64) {
	m.samples++
	m.errorRate += max(errorRateGain, 1/float64(m.samples)) * (failure - m.errorRate)
}

// eject ejects m and resets its error rate, unless more than half of the pool would be
// ejected then.
func (p *Pool) eject(m *member, now time.Time) {
	if mayEject(&m.health, p.allHealth()) {
		m.health.eject(p.config.EjectionTime, now)
		m.errorRate, m.samples = 0, 0
	}
}

// allHealth returns the health of the upstreams that share the load: those of evacuated
// failure domains get none.
func (p *Pool) allHealth() []*health {
	all := make([]*health, 0, len(p.members))
	for _, m := range p.members {
		if !p.evacuated(m) {
			all = append(all, &m.health)
		}
	}
	return all
}
