package upstream

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// Pool holds the upstreams of one service that are reached directly, without an
// agent in front. What it knows of them comes from the list in which they
// register and from the outcomes of this process's own requests.
type Pool struct {
	rules   PoolConfig
	domain  fleet.FailureDomain
	members []*member
	byID    map[string]*member
	groups  map[string]*poolGroup
	random  *rand.Rand
	// begun is when the pool got its first upstreams.
	begun time.Time
	// goodAt is when a request last ended well, badAt when the first one since
	// ended badly, and failed the number of those.
	goodAt, badAt time.Time
	failed        int
	// reach is by failure domain.
	reach map[fleet.FailureDomain]*reach
}

// member is one upstream of a pool.
type member struct {
	service.Upstream
	health health
	// outstanding counts this process's requests that have not ended.
	outstanding int
	// others is the load from other processes, as the upstream reported at reportedAt.
	others     float64
	reportedAt time.Time
	// errorRate is a moving average over the outcomes, 1 for a failure.
	errorRate float64
	samples   int
	group     *poolGroup
}

// poolGroup is a group of upstreams that step together: one that stops stalls
// all of them.
type poolGroup struct {
	health health
	size   int
	// listing is what the list says, broken the same unless an answer has come
	// since.
	listing listing
	broken  bool
	// outstanding is the sum over the group's members.
	outstanding int
}

// listing is what the list says of a group in its newest epoch.
type listing struct {
	epoch uint64
	// broken tells that one rank at least calls the group broken.
	broken bool
}

// PoolRules are the settings of a pool.
type PoolConfig struct {
	// EjectionTime is the first time for which a failing upstream gets no
	// work; it doubles with each ejection in a row.
	EjectionTime time.Duration
	// EjectionFailures is how many failures in a row eject an upstream.
	EjectionFailures int
	// EjectionRate is the share of failures that ejects an upstream.
	EjectionErrorRate float64
	// SlowFactor is how many times the median time makes an upstream slow.
	SlowFactor float64
	// Outstanding is the most requests of this process at one upstream, 0 for no
	// bound.
	MaxOutstanding int
}

// Constants of the choice among directly reached upstreams.
const (
	// rateGain is the weight of one outcome in the error rate.
	rateGain = 0.15
	// minRateSamples is how many outcomes an error rate needs to be believed.
	minRateSamples = 6
	// groupPause is how long a group that stopped is left alone between two
	// requests that try it: a group opens again within some hundred milliseconds,
	// and refuses at once until then.
	groupPause = 250 * time.Millisecond
	// brokenPause is the same while the list too says that the group runs nothing:
	// the list then tells when it opens, and every request that tries it in vain
	// must be sent once more.
	brokenPause = time.Second
	// loadReportTTL is how long a reported load counts;
	// a request takes a second or so.
	loadReportTTL = time.Second
)

// NewPool returns an empty pool of a process in a failure domain. Its choices
// follow from seed.
func NewPool(seed uint64, domain fleet.FailureDomain, rules PoolConfig) *Pool {
	return &Pool{
		rules: rules, domain: domain, byID: map[string]*member{}, groups: map[string]*poolGroup{},
		reach:  map[fleet.FailureDomain]*reach{},
		random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
}

// Configure replaces the upstreams and rules. What is known of an incarnation
// that stays is kept; a new incarnation under an old ID begins afresh.
func (p *Pool) Configure(upstreams []service.Upstream, rules PoolConfig, now time.Time) {
	p.rules = rules
	if p.begun.IsZero() && len(upstreams) > 0 {
		p.begun = now
	}
	kept := make(map[string]*member, len(upstreams))
	groups := map[string]*poolGroup{}
	p.members = p.members[:0]
	for _, u := range upstreams {
		m := p.byID[u.ID]
		if m == nil || m.Incarnation() != u.Incarnation() {
			m = &member{}
		}
		m.Upstream = u
		m.group = p.joinGroup(groups, u.Membership)
		kept[u.ID] = m
		p.members = append(p.members, m)
	}
	slices.SortFunc(p.members, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range p.members {
		if m.group != nil {
			m.group.outstanding += m.outstanding
		}
	}
	for name, l := range listings(upstreams) {
		groups[name].listed(l, now)
	}
	p.byID, p.groups = kept, groups
}

// joinGroup returns the group of a membership, with what was known of it.
func (p *Pool) joinGroup(groups map[string]*poolGroup, s *service.Membership) *poolGroup {
	if s == nil {
		return nil
	}
	g := groups[s.Group]
	if g == nil {
		g = p.groups[s.Group]
		if g == nil {
			g = &poolGroup{}
		}
		g.outstanding, g.size = 0, max(s.Size, 1)
		groups[s.Group] = g
	}
	return g
}

// listings returns what a list says of each group.
func listings(upstreams []service.Upstream) map[string]listing {
	out := map[string]listing{}
	for _, u := range upstreams {
		s := u.Membership
		if s == nil {
			continue
		}
		l := out[s.Group]
		switch {
		case s.Epoch > l.epoch:
			l = listing{s.Epoch, s.Broken}
		case s.Epoch == l.epoch:
			l.broken = l.broken || s.Broken
		}
		out[s.Group] = l
	}
	return out
}

// listed takes in what the list says of the group.
func (g *poolGroup) listed(l listing, now time.Time) {
	before := g.listing
	g.listing = l
	switch {
	case l.epoch == before.epoch && l.broken == before.broken:
	case l.broken:
		g.broken = true
		g.stalled(now)
	default:
		// The group formed anew, or is no longer called broken.
		g.broken, g.health = false, health{}
	}
}

// Selection describes a request that needs an upstream.
type PoolQuery struct {
	// Exclude names the upstreams that were tried.
	Exclude []string
	// Groups names the groups that failed the request: others come first.
	FailedGroups []string
}

// Choose returns the upstream for a request and counts it as begun. The groups
// are compared first, since a group's ranks step together; then the upstreams
// by their load, those of the own failure domain first among equals.
func (p *Pool) Choose(s PoolQuery, now time.Time) (service.Upstream, bool) {
	best := p.best(s, now)
	if best == nil {
		return service.Upstream{}, false
	}
	best.outstanding++
	best.health.begin(now)
	p.reachOf(best).begin(now)
	if best.group != nil {
		best.group.outstanding++
		best.group.health.begin(now)
	}
	return best.Upstream, true
}

// standing ranks how much is to be expected of an upstream.
type standing int

const (
	sound standing = iota
	lapsed
	out
	unusable
)

func (p *Pool) best(s PoolQuery, now time.Time) *member {
	var best *member
	bestStanding := unusable
	draws, equal := 0, 0
	for _, m := range p.members {
		st := p.standing(m, s, now)
		if st == unusable || st > bestStanding {
			continue
		}
		if best == nil || st < bestStanding {
			best, bestStanding, draws = m, st, 1
			continue
		}
		switch c := p.compare(m, best, now); {
		case c < 0:
			best, draws = m, 1
		case c == 0:
			// Each of several equals is as likely.
			draws++
			if equal = p.random.IntN(draws); equal == 0 {
				best = m
			}
		}
	}
	return best
}

func (p *Pool) standing(m *member, s PoolQuery, now time.Time) standing {
	switch {
	case m.Leaving || slices.Contains(s.Exclude, m.ID):
		return unusable
	case p.rules.MaxOutstanding > 0 && m.outstanding >= p.rules.MaxOutstanding:
		return unusable
	case p.reachOf(m).cut(now):
		return unusable
	case m.group != nil && m.group.health.out(now):
		// Whatever rank is asked, the group runs nothing.
		return unusable
	case m.health.out(now) || m.group != nil && slices.Contains(s.FailedGroups, m.Membership.Group):
		return out
	case m.Lapsed:
		return lapsed
	default:
		return sound
	}
}

// compare orders two upstreams of the same standing.
func (p *Pool) compare(a, b *member, now time.Time) int {
	if a.group != b.group && a.group != nil && b.group != nil {
		if c := cmp.Compare(a.group.load(), b.group.load()); c != 0 {
			return c
		}
	}
	return cmp.Or(
		cmp.Compare(a.load(now), b.load(now)),
		cmp.Compare(p.distance(a), p.distance(b)),
	)
}

func (g *poolGroup) load() float64 { return float64(g.outstanding) / float64(g.size) }

// load is the upstream's load in shares of its slots.
func (m *member) load(now time.Time) float64 {
	load := float64(m.outstanding)
	if age := now.Sub(m.reportedAt); age < loadReportTTL && m.group == nil {
		load += m.others * float64(loadReportTTL-age) / float64(loadReportTTL)
	}
	return load / float64(max(m.Slots, 1))
}

func (p *Pool) distance(m *member) int {
	if m.FailureDomain == p.domain {
		return 0
	}
	return 1
}

// ReportLoad records the load that an upstream reports, which counts this process's
// own requests too.
func (p *Pool) RecordLoad(id string, running, waiting int, now time.Time) {
	if m := p.byID[id]; m != nil {
		m.others, m.reportedAt = float64(max(running+waiting-m.outstanding, 0)), now
	}
}

// Outcome is how a request ended at a directly reached upstream.
type Outcome int

// The outcomes of a request.
const (
	// Answered means a whole answer.
	Answered Outcome = iota
	// Faulty means a broken connection, a silence, a broken answer or the
	// upstream's own failure.
	UpstreamError
	// TurnedAway means that the upstream did not run the request.
	Rejected
	// Unreachable means that no connection was made: nobody listens there.
	Unreachable
	// Silent means that no connection was made in time: nothing came back.
	ConnectTimeout
	// GroupStalled means that the upstream stopped because of its group.
	GroupStalled
	// CallerLeft means that the caller went away.
	CallerLeft
)

// Ended records the end of a request after took.
func (p *Pool) RecordOutcome(id string, o Outcome, took time.Duration, now time.Time) {
	m := p.byID[id]
	if m == nil {
		return
	}
	m.outstanding = max(m.outstanding-1, 0)
	if m.group != nil {
		m.group.outstanding = max(m.group.outstanding-1, 0)
	}
	if m.group != nil && o != GroupStalled {
		m.group.health.probing = false
	}
	p.reachOf(m).ended(o, now)
	if o != Answered && o != CallerLeft && o != Rejected {
		if p.failed++; p.badAt.IsZero() {
			p.badAt = now
		}
	}
	switch o {
	case Answered:
		p.good(m, took, now)
	case UpstreamError:
		p.bad(m, now)
	case Unreachable, ConnectTimeout:
		// Nobody listens there: whether the others can bear it is no question.
		m.health.eject(p.rules.EjectionTime, now)
	case GroupStalled:
		m.health.probing = false
		m.group.stalled(now)
	case Rejected, CallerLeft:
		m.health.probing = false
	}
}

func (g *poolGroup) stalled(now time.Time) {
	if g == nil {
		return
	}
	pause := groupPause
	if g.broken {
		pause = brokenPause
	}
	g.health.ejections = 0
	g.health.eject(pause, now)
}

// outageFailures is how many requests in a row must have ended badly for their
// service to be called away although upstreams are left to be tried.
const outageFailures = 3

// Outage is how long the service has been away: no upstream may be used, none is
// sound, or all requests of late ended badly. It is 0 while the service is there.
func (p *Pool) Outage(now time.Time) time.Duration {
	switch {
	case p.failed >= outageFailures:
		return now.Sub(p.badAt)
	case p.anySound(now):
		return 0
	case p.begun.IsZero():
		return 0 // there is no such service
	case p.goodAt.IsZero():
		return now.Sub(p.begun)
	}
	return now.Sub(p.goodAt)
}

func (p *Pool) anySound(now time.Time) bool {
	return slices.ContainsFunc(p.members, func(m *member) bool { return p.standing(m, PoolQuery{}, now) <= lapsed })
}

func (p *Pool) good(m *member, took time.Duration, now time.Time) {
	p.goodAt, p.badAt, p.failed = now, time.Time{}, 0
	if m.group != nil {
		m.group.health, m.group.broken = health{}, false
	}
	m.note(0)
	m.health.succeeded(took)
	// The ranks of a group are all as slow as the slowest.
	if m.group == nil && m.health.slow(p.healths(), p.rules.SlowFactor) {
		p.eject(m, now)
		return
	}
	m.health.forgive()
}

func (p *Pool) bad(m *member, now time.Time) {
	m.note(1)
	m.health.failures++
	often := m.samples >= minRateSamples && m.errorRate >= p.rules.EjectionErrorRate
	if m.health.probing || often || m.health.failures >= p.rules.EjectionFailures {
		p.eject(m, now)
	}
}

// note takes one outcome into the error rate.
func (m *member) note(failure float64) {
	m.samples++
	m.errorRate += max(rateGain, 1/float64(m.samples)) * (failure - m.errorRate)
}

func (p *Pool) eject(m *member, now time.Time) {
	if mayEject(&m.health, p.healths()) {
		m.health.eject(p.rules.EjectionTime, now)
		m.errorRate, m.samples = 0, 0
	}
}

func (p *Pool) healths() []*health {
	all := make([]*health, 0, len(p.members))
	for _, m := range p.members {
		all = append(all, &m.health)
	}
	return all
}

// MemberState is one upstream's part of the dump.
type MemberState struct {
	ID          string              `json:"id"`
	Address     string              `json:"address"`
	Domain      fleet.FailureDomain `json:"failure-domain"`
	Group       string              `json:"group,omitempty"`
	Outstanding int                 `json:"outstanding"`
	Leaving     bool                `json:"leaving"`
	Ejected     bool                `json:"ejected"`
	ErrorRate   float64             `json:"error-rate"`
	TypicalMS   float64             `json:"typical-milliseconds"`
}

// State returns the pool's part of the dump.
func (p *Pool) State(now time.Time) []MemberState {
	out := make([]MemberState, 0, len(p.members))
	for _, m := range p.members {
		s := MemberState{
			ID: m.ID, Address: m.Address.String(), Domain: m.FailureDomain, Outstanding: m.outstanding, Leaving: m.Leaving,
			Ejected: m.health.out(now), ErrorRate: m.errorRate, TypicalMS: float64(m.health.typical) / float64(time.Millisecond),
		}
		if m.Membership != nil {
			s.Group = m.Membership.Group
		}
		out = append(out, s)
	}
	return out
}
