package upstream

import (
	"fmt"
	"math"
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/cespare/xxhash/v2"
)

// Parameters of the requests to cold upstreams.
const (
	// separateHalves is the number of parts into which the processes may be divided without
	// hearing of each other. Each part sends at most the bound divided by it.
	separateHalves = 2
	// burstDivisor is the fraction of what a part may send in a second that is for one
	// request of each sender at the same time. The rest is for the steady rate.
	burstDivisor = 3
	// maxColdFor is the longest time for which an upstream may say that it is cold. A longer
	// one is taken for an error of the upstream.
	maxColdFor = 10 * time.Minute
)

// ColdReason says why an upstream counts as cold.
type ColdReason string

// The reasons for which an upstream counts as cold.
const (
	// ColdStarted means that its incarnation was not in the pool before.
	ColdStarted ColdReason = "started"
	// ColdRegistered means that its registration says so.
	ColdRegistered ColdReason = "registered"
	// ColdAnswered means that one of its responses said so.
	ColdAnswered ColdReason = "answered"
	// ColdListed means that it had lapsed from the list and is listed again.
	ColdListed ColdReason = "listed-again"
	// ColdUnreached means that it ended, or that connections to it or its failure domain
	// failed.
	ColdUnreached ColdReason = "unreached"
	// ColdEvacuated means that the evacuation of its failure domain has ended.
	ColdEvacuated ColdReason = "evacuation-ended"
	// ColdUnknown means that this process has just begun or was suspended.
	ColdUnknown ColdReason = "unknown"
)

// enabled reports whether the requests to cold upstreams are limited.
func (c ColdConfig) enabled() bool { return c.Time > 0 && c.Rate > 0 && c.bound() > 0 }

// bound returns the number of requests that a cold upstream may get in any second from all
// processes together.
func (c ColdConfig) bound() float64 { return c.Factor*c.Rate + c.Slack }

// senders returns how many of a number of processes send requests to a cold upstream, and the
// requests per second that they send together. In any second they send at most rate + count
// requests, which is the bound divided by separateHalves if the bound leaves room for that.
func (c ColdConfig) senders(processes int) (count int, rate float64) {
	part := c.bound() / separateHalves
	count = max(1, min(processes, max(minSenders, int(part/burstDivisor)), int(math.Ceil(part))-1))
	rate = part - float64(count)
	if rate <= 0 {
		rate = max(c.bound()-float64(count), 0) / separateHalves
	}
	return count, min(c.Rate, rate)
}

// coldState is what a process assumes of the coldness of one upstream.
type coldState struct {
	// until is the time until which the upstream is cold, away the time until which it may
	// be out of reach and cold later. Both are zero if it never was.
	until, away time.Time
	reason      ColdReason
	// share is this process's share in the requests that it takes, rate those that all
	// processes send it per second.
	share limitShare
	rate  float64
	// part is the fraction of the processes that send it requests.
	part float64
	// sharers identifies the settings and processes from which share was computed.
	sharers uint64
	// reported is set while the last ColdChange of the upstream says that it is cold.
	reported bool
}

// end returns the time from which on the upstream counts as warm.
func (c *coldState) end() time.Time {
	if c.away.After(c.until) {
		return c.away
	}
	return c.until
}

// heldUntil returns the time before which this process must send no request to the upstream,
// which it last sent one at sentAt.
func (c *coldState) heldUntil(sentAt time.Time) time.Time {
	next := sentAt.Add(c.share.interval)
	if end := c.end(); !c.share.sender || end.Before(next) {
		return end
	}
	return next
}

// nextShare returns the time at which some process may send the upstream a request, where this
// process may from until on.
func (c *coldState) nextShare(until, now time.Time) time.Time {
	if c.share.sender || !c.end().After(now) {
		return until
	}
	if next := now.Add(limitInterval(1, c.rate)); next.Before(until) {
		return next
	}
	return until
}

// ColdChange tells that an upstream has become cold or warm.
type ColdChange struct {
	Upstream string
	// Cold is set if the upstream has become cold, for the time For.
	Cold   bool
	Reason ColdReason
	For    time.Duration
}

// coldLog holds what has changed since the last call of TakeColdChanges.
type coldLog struct {
	changes []ColdChange
	// next is the time at which an upstream becomes warm, zero if none is cold.
	next time.Time
	// elsewhere and refused count the requests that a cold upstream had no room for.
	elsewhere, refused uint64
	// passed is set while a request is chosen for if a cold upstream had no room for it.
	passed bool
	// sharers identifies the settings and the processes that share the requests to cold
	// upstreams.
	sharers uint64
}

// identifySharers sets sharers from the settings. The order of the processes is not part of it.
func (p *Pool) identifySharers() {
	c := p.config.Cold
	if !c.enabled() {
		return
	}
	p.cold.sharers = xxhash.Sum64String(fmt.Sprint(c))
	for _, e := range p.config.Entries {
		p.cold.sharers += xxhash.Sum64String(fmt.Sprint(e.Name, "\x00", e.FailureDomain, "\x00", e.Role, e.Leaving))
	}
}

// TakeColdChanges returns the upstreams that became cold or warm since the last call.
func (p *Pool) TakeColdChanges(now time.Time) []ColdChange {
	if !p.cold.next.IsZero() && !now.Before(p.cold.next) {
		p.cold.next = time.Time{}
		for _, m := range p.members {
			switch end := m.cold.end(); {
			case !m.cold.reported:
			case end.After(now):
				p.cold.expectWarm(end)
			default:
				m.cold.reported = false
				p.cold.changes = append(p.cold.changes, ColdChange{Upstream: m.ID, Reason: m.cold.reason})
			}
		}
	}
	changes := p.cold.changes
	p.cold.changes = nil
	return changes
}

func (l *coldLog) expectWarm(at time.Time) {
	if l.next.IsZero() || at.Before(l.next) {
		l.next = at
	}
}

// ColdUpstreams returns the number of upstreams that are cold at now.
func (p *Pool) ColdUpstreams(now time.Time) (count uint64) {
	for _, m := range p.members {
		if m.cold.end().After(now) {
			count++
		}
	}
	return count
}

// ColdRequests returns how many requests a cold upstream had no room for: those that were sent
// elsewhere and those for which there was no other upstream.
func (p *Pool) ColdRequests() (elsewhere, refused uint64) { return p.cold.elsewhere, p.cold.refused }

// passOver reports whether m must not get a request at now because of its limit, its coldness
// or what it said.
func (p *Pool) passOver(m *member, now time.Time) bool {
	if !m.heldUntil().After(now) {
		return false
	}
	p.cold.passed = p.cold.passed || m.cold.heldUntil(m.sentAt).After(now)
	return true
}

// countPassed counts the request for which best was chosen if a cold upstream had no room for
// it.
func (p *Pool) countPassed(best *member) {
	switch {
	case !p.cold.passed:
	case best == nil:
		p.cold.refused++
	default:
		p.cold.elsewhere++
	}
	p.cold.passed = false
}

// updateCold records what the list says of the coldness of m, which becomes u. isNew is set
// if the incarnation was not in the pool before, and previous are the settings until now.
func (p *Pool) updateCold(m *member, u service.Upstream, isNew bool, previous PoolConfig, now time.Time) {
	c := p.config.Cold
	if !c.enabled() {
		m.cold = coldState{}
		return
	}
	domain := u.FailureDomain
	switch {
	case !previous.Cold.enabled():
		// The list may be older than the last start of the upstream.
		p.setCold(m, c.Time, ColdUnknown, now)
	case isNew:
		p.setCold(m, c.Time, ColdStarted, now)
	case m.Lapsed && !u.Lapsed:
		p.setCold(m, c.Time, ColdListed, now)
	case previous.Evacuated[domain] && !p.config.Evacuated[domain]:
		p.setCold(m, c.Time, ColdEvacuated, now)
	}
	if isNew || u.ColdFor != m.ColdFor {
		p.setCold(m, u.ColdFor, ColdRegistered, now)
	}
}

// setCold makes m cold for d from now on, if that is longer than it is already.
func (p *Pool) setCold(m *member, d time.Duration, reason ColdReason, now time.Time) {
	until := now.Add(min(d, maxColdFor))
	if !p.config.Cold.enabled() || d <= 0 || !until.After(m.cold.until) {
		return
	}
	m.cold.until = until
	p.becomeCold(m, reason, now)
}

// becomeCold reports that m is cold now, and sets this process's share in it.
func (p *Pool) becomeCold(m *member, reason ColdReason, now time.Time) {
	m.cold.reason = reason
	if !m.cold.reported {
		p.updateColdShare(m)
		m.cold.reported = true
		p.cold.changes = append(p.cold.changes, ColdChange{m.ID, true, reason, m.cold.end().Sub(now)})
	}
	p.cold.expectWarm(m.cold.end())
}

// updateColdShare sets this process's share in the requests that m takes while it is cold.
func (p *Pool) updateColdShare(m *member) {
	if m.cold.sharers == p.cold.sharers {
		return
	}
	var count int
	m.cold.sharers = p.cold.sharers
	processes := max(len(p.config.Entries), 1)
	count, m.cold.rate = p.config.Cold.senders(processes)
	m.cold.part = float64(count) / float64(processes)
	m.cold.share = newShare(m.cold.rate, count, m.ID, m.FailureDomain, p.self, p.config.Entries, m.phase)
}

// recordAway records that m has ended or could not be reached. It is cold for as long as it
// is not reached, since it may have started again without the list saying so. A process without
// a share in it, which does not learn that it is back, tries it after a time.
func (p *Pool) recordAway(m *member, now time.Time) {
	if !p.config.Cold.enabled() {
		return
	}
	p.updateColdShare(m)
	wait := minNewsTimeout + m.cold.share.offset
	if m.cold.share.sender {
		wait = maxColdFor
	}
	m.cold.away = now.Add(wait)
	p.becomeCold(m, ColdUnreached, now)
}

// recordReached records that m has responded.
func (p *Pool) recordReached(m *member, now time.Time) {
	if !m.cold.away.IsZero() {
		m.cold.away = time.Time{}
		p.setCold(m, p.config.Cold.Time, ColdUnreached, now)
		p.cold.expectWarm(m.cold.end())
	}
}

// recordDomainReached records that a failure domain which was out of reach no longer is.
func (p *Pool) recordDomainReached(domain fleet.FailureDomain, now time.Time) {
	for _, m := range p.members {
		if m.FailureDomain == domain {
			p.setCold(m, p.config.Cold.Time, ColdUnreached, now)
		}
	}
}

// RecordSuspension records that this process stood still and may have missed that upstreams
// became cold.
func (p *Pool) RecordSuspension(now time.Time) {
	for _, m := range p.members {
		p.setCold(m, p.config.Cold.Time, ColdUnknown, now)
	}
}

// ColdState is the debug state of a cold upstream.
type ColdState struct {
	Reason ColdReason `json:"reason"`
	// ForMS is the time in milliseconds for which it stays cold.
	ForMS int64 `json:"for-milliseconds"`
	// PerSecond is the number of requests per second that this process may send it.
	PerSecond float64 `json:"per-second"`
}

// state returns the debug state of a cold upstream, nil for a warm one.
func (c *coldState) state(now time.Time) *ColdState {
	end := c.end()
	if !end.After(now) {
		return nil
	}
	s := &ColdState{Reason: c.reason, ForMS: end.Sub(now).Milliseconds()}
	if c.share.sender {
		s.PerSecond = 1 / c.share.interval.Seconds()
	}
	return s
}
