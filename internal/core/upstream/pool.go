package upstream

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// Pool chooses among the upstreams of one service that are reached directly, not
// through an agent. It relies on the list in which they register, on the load that
// they report, and on the outcomes of the requests of this process.
type Pool struct {
	config  PoolConfig
	self    string
	domain  fleet.FailureDomain
	members []*member
	byID    map[string]*member
	groups  map[string]*poolGroup
	// former holds upstreams that were in the pool until lately, by ID.
	former map[string]formerMember
	random *rand.Rand
	// firstConfiguredAt is when the pool got its first upstreams.
	firstConfiguredAt time.Time
	// lastSuccessAt is when a request last succeeded. firstFailureAt is when the
	// first request failed since, zero if none has. consecutiveFailures is the
	// number of requests that failed since.
	lastSuccessAt, firstFailureAt time.Time
	consecutiveFailures           int
	reachability                  map[fleet.FailureDomain]*reachability
	cold                          coldLog
}

// member is one upstream of a pool.
type member struct {
	service.Upstream
	health health
	// advice is what the upstream said of the requests that it takes, share this
	// process's share in its limit, and sentAt the time of the last request to it.
	advice advice
	share  limitShare
	sentAt time.Time
	// phase, in [0, 1), spreads the requests of several processes to one upstream.
	phase float64
	// outstanding is the number of requests of this process that have not ended.
	outstanding int
	// otherLoad is the number of requests of other processes, as the upstream
	// reported it at reportedAt.
	otherLoad  float64
	reportedAt time.Time
	// errorRate is a moving average over samples outcomes, where a failure counts
	// as 1 and a success as 0.
	errorRate float64
	samples   int
	// group is nil for an upstream that belongs to no group.
	group *poolGroup
	// endedAt is when the upstream ended without notice, zero if it is not known to have.
	endedAt time.Time
	cold    coldState
}

// PoolConfig holds the settings of a Pool.
type PoolConfig struct {
	// EjectionTime is the time for which an upstream is first ejected. The time
	// doubles with each ejection that follows, up to maxEjectionFactor times
	// EjectionTime.
	EjectionTime time.Duration
	// EjectionFailures is the number of consecutive failures after which an
	// upstream is ejected.
	EjectionFailures int
	// EjectionErrorRate is the fraction of failed requests from which on an
	// upstream is ejected.
	EjectionErrorRate float64
	// SlowFactor is the multiple of the median latency above which an upstream
	// counts as slow and is ejected.
	SlowFactor float64
	// MaxOutstanding is the maximum number of requests of this process that may be
	// outstanding at one upstream, 0 for no limit.
	MaxOutstanding int
	// Entries are the processes that share the limits that upstreams name, this one
	// included.
	Entries []fleet.Instance
	// Regions maps failure domains to their regions.
	Regions map[fleet.FailureDomain]fleet.Region
	// Evacuated holds the failure domains whose upstreams get no requests.
	Evacuated map[fleet.FailureDomain]bool
	// Cold limits the requests to upstreams that have started lately.
	Cold ColdConfig
}

// ColdConfig limits the requests to cold upstreams. The zero value does not limit them.
type ColdConfig struct {
	// Time is the time for which an upstream is cold after its start.
	Time time.Duration
	// Rate is the number of requests per second that a cold upstream takes from all
	// entries together. Factor and Slack bound the requests that it may get in any second:
	// Factor times Rate, plus Slack.
	Rate, Factor, Slack float64
}

// Parameters of the choice among directly reached upstreams.
const (
	// errorRateGain is the weight of one outcome in the error rate.
	errorRateGain = 0.15
	// minErrorRateSamples is the number of outcomes from which on the error rate
	// may eject an upstream.
	minErrorRateSamples = 6
	// groupProbeInterval is the time between two requests that probe a stalled
	// group. Groups re-form within a few hundred milliseconds and reject requests
	// immediately until then.
	groupProbeInterval = 250 * time.Millisecond
	// brokenGroupProbeInterval is the time between two probes of a group that the
	// list marks as broken. It is longer than groupProbeInterval because the list
	// shows when the group has re-formed, and each failed probe costs a retry.
	brokenGroupProbeInterval = time.Second
	// loadReportTTL is the time over which the weight of a reported load falls to
	// zero. It is about the duration of a request.
	loadReportTTL = time.Second
)

// NewPool returns an empty pool for the process with the given name in the given failure
// domain. Its random choices are determined by seed.
func NewPool(seed uint64, self string, domain fleet.FailureDomain, config PoolConfig) *Pool {
	return &Pool{
		config: config, self: self, domain: domain, byID: map[string]*member{}, groups: map[string]*poolGroup{}, former: map[string]formerMember{},
		reachability: map[fleet.FailureDomain]*reachability{},
		random:       rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
}

// Configure replaces the upstreams and the settings. The state of an upstream is kept
// if it has the same ID and incarnation as before.
func (p *Pool) Configure(upstreams []service.Upstream, config PoolConfig, now time.Time) {
	previous := p.config
	p.config = config
	p.identifySharers()
	if p.firstConfiguredAt.IsZero() && len(upstreams) > 0 {
		p.firstConfiguredAt = now
	}
	kept := make(map[string]*member, len(upstreams))
	groups := map[string]*poolGroup{}
	p.members = p.members[:0]
	for _, u := range upstreams {
		m := p.byID[u.ID]
		isNew := m == nil || m.Incarnation() != u.Incarnation()
		if isNew {
			m = p.newMember(u.Incarnation())
			m.Upstream = u
		}
		wasCold := m.cold.reported
		p.updateCold(m, u, isNew, previous, now)
		m.Upstream = u
		if wasCold {
			p.updateColdShare(m)
		}
		m.group = p.groupFor(groups, u.Membership)
		kept[u.ID] = m
		p.members = append(p.members, m)
	}
	slices.SortFunc(p.members, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range p.members {
		if m.group != nil {
			m.group.outstanding += m.outstanding
		}
	}
	for _, m := range p.members {
		p.updateShare(m)
	}
	for name, l := range groupListings(upstreams) {
		groups[name].updateListing(l, now)
	}
	p.keepFormer(kept, now)
	p.byID, p.groups = kept, groups
}

// PoolQuery describes a request for which a Pool chooses an upstream.
type PoolQuery struct {
	// Exclude holds the IDs of the upstreams at which an attempt was made before.
	Exclude []string
	// FailedGroups names the groups at which the request failed before. They are
	// used only if no other upstream is available.
	FailedGroups []string
	// Regions holds sets of regions. The upstream must be in a region of each set; an empty
	// set allows all regions.
	Regions [][]fleet.Region
}

// Choose returns the upstream for a request and counts the request as outstanding
// there. It returns false if no upstream may be used.
//
// Only the upstreams of the best eligibility are considered. Groups are compared by
// their load first, since the ranks of a group compute each step together; then
// upstreams by theirs. Upstreams in the pool's own failure domain are preferred among
// equally loaded ones.
func (p *Pool) Choose(q PoolQuery, now time.Time) (service.Upstream, bool) {
	best := p.best(q, now)
	p.countPassed(best)
	if best == nil {
		return service.Upstream{}, false
	}
	best.outstanding++
	best.sentAt = now
	best.health.recordStart(now)
	p.reachabilityOf(best).recordStart(now)
	if best.group != nil {
		best.group.outstanding++
		best.group.health.recordStart(now)
	}
	return best.Upstream, true
}

// eligibility is how suitable an upstream is for a request; lower values are better.
type eligibility int

// The values of eligibility, best first.
const (
	healthy eligibility = iota
	// lapsed upstreams are missing from the list and may have stopped.
	lapsed
	// ejected upstreams were ejected themselves, or belong to a group at which the
	// request failed before.
	ejected
	// ineligible upstreams must not get the request.
	ineligible
)

// best returns the upstream for a request, or nil if none is eligible.
func (p *Pool) best(q PoolQuery, now time.Time) *member {
	var best *member
	bestEligibility := ineligible
	draws, drawn := 0, 0
	for _, m := range p.members {
		e := p.eligibility(m, q, now)
		if e == ineligible || e > bestEligibility || p.passOver(m, now) {
			continue
		}
		if best == nil || e < bestEligibility {
			best, bestEligibility, draws = m, e, 1
			continue
		}
		switch c := p.compare(m, best, now); {
		case c < 0:
			best, draws = m, 1
		case c == 0:
			// Reservoir sampling: each of several equal members is equally likely.
			draws++
			if drawn = p.random.IntN(draws); drawn == 0 {
				best = m
			}
		}
	}
	return best
}

// eligibility returns the eligibility of m for a request at now.
func (p *Pool) eligibility(m *member, q PoolQuery, now time.Time) eligibility {
	switch {
	case m.leaving() || slices.Contains(q.Exclude, m.ID):
		return ineligible
	case p.config.MaxOutstanding > 0 && m.outstanding >= p.config.MaxOutstanding:
		return ineligible
	case p.reachabilityOf(m).blocked(now):
		return ineligible
	case m.group != nil && m.group.health.ejected(now):
		// A stalled group runs no request, at whichever rank it arrives.
		return ineligible
	case m.health.ejected(now) || m.group != nil && slices.Contains(q.FailedGroups, m.Membership.Group):
		return ejected
	case m.Lapsed:
		return lapsed
	default:
		return healthy
	}
}

// leaving reports whether the list or the upstream itself says that it is draining. Either
// is enough: the list lags behind, and the upstream says it only in its responses.
func (m *member) leaving() bool { return m.Leaving || m.advice.leaving }

// compare orders two upstreams of the same eligibility, the better one first.
func (p *Pool) compare(a, b *member, now time.Time) int {
	if a.group != b.group && a.group != nil && b.group != nil {
		if c := cmp.Compare(a.group.load(), b.group.load()); c != 0 {
			return c
		}
	}
	return cmp.Or(
		cmp.Compare(a.load(now), b.load(now)),
		cmp.Compare(p.domainDistance(a), p.domainDistance(b)),
	)
}

// load returns the upstream's load as a fraction of its slots. The load from other
// processes counts less the older its report is, and not at all for the rank of a group.
func (m *member) load(now time.Time) float64 {
	load := float64(m.outstanding)
	if age := now.Sub(m.reportedAt); age < loadReportTTL && m.group == nil {
		load += m.otherLoad * float64(loadReportTTL-age) / float64(loadReportTTL)
	}
	if m.group != nil && m.cold.end().After(now) {
		// The other ranks get requests of all processes, a cold one only of its senders.
		load *= m.cold.part
	}
	return load / float64(max(m.Slots, 1))
}

// domainDistance returns 0 for an upstream in the pool's own failure domain, else 1.
func (p *Pool) domainDistance(m *member) int {
	if m.FailureDomain == p.domain {
		return 0
	}
	return 1
}

// RecordLoad records the number of running and waiting requests that an upstream
// reported, those of this process included. Reports of upstreams that are not in the
// pool are ignored.
func (p *Pool) RecordLoad(id string, running, waiting int, now time.Time) {
	if m := p.byID[id]; m != nil {
		m.otherLoad, m.reportedAt = float64(max(running+waiting-m.outstanding, 0)), now
	}
}

// MemberState is the debug state of one upstream.
type MemberState struct {
	ID               string              `json:"id"`
	Address          string              `json:"address"`
	Domain           fleet.FailureDomain `json:"failure-domain"`
	Group            string              `json:"group,omitempty"`
	Outstanding      int                 `json:"outstanding"`
	Leaving          bool                `json:"leaving"`
	Ejected          bool                `json:"ejected"`
	ErrorRate        float64             `json:"error-rate"`
	AverageLatencyMS float64             `json:"typical-milliseconds"`
	// Limit is the requests per second that the upstream takes from all processes
	// together, nil if it has not limited them.
	Limit *float64 `json:"limit,omitempty"`
	// LimitAgeMS is the time in milliseconds since a response last named the limit.
	LimitAgeMS int64 `json:"limit-age-milliseconds,omitempty"`
	// HeldForMS is the time in milliseconds for which this process sends no request
	// because of the limit or because the upstream said when to come back.
	HeldForMS int64 `json:"held-for-milliseconds,omitempty"`
	// Cold is nil for a warm upstream.
	Cold *ColdState `json:"cold,omitempty"`
}

// State returns the debug state of all upstreams at now, sorted by ID.
func (p *Pool) State(now time.Time) []MemberState {
	out := make([]MemberState, 0, len(p.members))
	for _, m := range p.members {
		s := MemberState{
			ID: m.ID, Address: m.Address.String(), Domain: m.FailureDomain, Outstanding: m.outstanding, Leaving: m.leaving(),
			Ejected: m.health.ejected(now), ErrorRate: m.errorRate, AverageLatencyMS: float64(m.health.averageLatency) / float64(time.Millisecond),
		}
		if m.Membership != nil {
			s.Group = m.Membership.Group
		}
		s.HeldForMS, s.Cold = max(m.heldUntil().Sub(now), 0).Milliseconds(), m.cold.state(now)
		if m.advice.limited {
			limit := m.advice.limit
			s.Limit, s.LimitAgeMS = &limit, now.Sub(m.advice.limitAt).Milliseconds()
		}
		out = append(out, s)
	}
	return out
}
