package upstream

import (
	"math"
	"time"

	"bramleydeal/internal/core/instance"
	"bramleydeal/internal/world/fleet"
)

// Parameters of the placement of requests.
const (
	// sharersPerUpstream is the number of entries that prefer the same upstream, where there
	// are enough entries and upstreams.
	sharersPerUpstream = 8
	// minPreferred is the least number of upstreams that an entry prefers.
	minPreferred = 4
	// preferenceMargin is the number of requests by which a preferred upstream may be expected
	// to be busier than another one of its failure domain and still be chosen.
	preferenceMargin = 1.5
	// domainMargin is the same for an upstream in the entry's own failure domain.
	domainMargin = 0.5
	// initialStay is the time that a request is assumed to stay at its upstream before any has
	// ended, and initialStayWeight the number of ended requests that this counts for.
	initialStay       = time.Second
	initialStayWeight = 2
	// maxStaySamples is the number of ended requests from which on older ones lose weight.
	maxStaySamples = 40
	// serviceMeanStays is the time, in stays of a request, over which the mean load of a service
	// is taken. That of a domain is taken over one stay.
	serviceMeanStays = 10
	// serviceMeanWeight is the number of reports of a domain that the mean of the service
	// counts for in the mean of the domain.
	serviceMeanWeight = 2
	// reportDecayStays is the time, in stays, in which the difference of an upstream from the mean
	// falls to 1/e. It is less than 1 since the others avoid a busy upstream as well.
	reportDecayStays = 0.5
	// maxReportStays is the age of a report, in stays, from which on it says nothing.
	maxReportStays = 3
)

// placement is what a pool knows of the load that other processes put on its upstreams. A
// process hears of an upstream only when that answers one of its own requests. In between, the
// requests that ran there end and others begin, so the load tends to the mean within the time
// that a request stays.
type placement struct {
	stay staying
	// service and domains are the mean loads of other processes, as fractions of the slots.
	service recentMean
	domains map[fleet.FailureDomain]*domainLoad
	counts  PlacementCounts
}

// domainLoad is the load that other processes put on the upstreams of a failure domain.
type domainLoad struct {
	recent recentMean
	// expected is the mean as of the latest choice.
	expected float64
}

// PlacementCounts counts the requests by where they were placed, and the reports of load.
type PlacementCounts struct {
	// Preferred requests went to an upstream that the entry prefers, Local ones to another one
	// in its failure domain and Remote ones to another failure domain.
	Preferred uint64 `json:"preferred"`
	Local     uint64 `json:"own-domain"`
	Remote    uint64 `json:"other-domain"`
	// Idle is the number of reports of upstreams at which no request waited, Queued that of the
	// others.
	Idle   uint64 `json:"reports-without-queue"`
	Queued uint64 `json:"reports-with-queue"`
}

// recentMean is a mean of samples in which the weight of a sample falls exponentially with its
// age.
type recentMean struct {
	sum, weight float64
	at          time.Time
}

// add adds the sample x. window is the time in which the weight of a sample falls to 1/e.
func (m *recentMean) add(x float64, window time.Duration, now time.Time) {
	left := decay(now.Sub(m.at), window)
	m.sum, m.weight, m.at = m.sum*left+x, m.weight*left+1, now
}

// value returns the mean of the samples and of weight samples of the value prior.
func (m *recentMean) value(prior, weight float64, window time.Duration, now time.Time) float64 {
	left := decay(now.Sub(m.at), window)
	total := m.weight*left + weight
	if total == 0 {
		return prior
	}
	return (m.sum*left + prior*weight) / total
}

// decay returns the weight that is left of something after the time age.
func decay(age, window time.Duration) float64 { return math.Exp(-float64(age) / float64(window)) }

// staying measures how long requests stay at upstreams: the time that all requests together
// spent there, divided by the number of those that ended.
type staying struct {
	// outstanding is the number of requests at upstreams at the time at.
	outstanding int
	at          time.Time
	spent       time.Duration
	ended       int
}

// advance counts the time until now.
func (s *staying) advance(now time.Time) {
	if !s.at.IsZero() {
		s.spent += time.Duration(s.outstanding) * now.Sub(s.at)
	}
	s.at = now
}

// begin records that a request was sent.
func (s *staying) begin(now time.Time) {
	s.advance(now)
	s.outstanding++
}

// end records that a request ended. A request that was declined did not stay.
func (s *staying) end(declined bool, now time.Time) {
	s.advance(now)
	s.outstanding = max(s.outstanding-1, 0)
	if declined {
		return
	}
	if s.ended++; s.ended >= maxStaySamples {
		s.ended, s.spent = s.ended/2, s.spent/2
	}
}

// mean returns the mean time that a request stays at its upstream.
func (s *staying) mean() time.Duration {
	return max((s.spent+initialStayWeight*initialStay)/time.Duration(s.ended+initialStayWeight), time.Millisecond)
}

// configurePlacement adopts the members of the pool.
func (p *Pool) configurePlacement(now time.Time) {
	l := &p.placement
	if l.domains == nil {
		l.domains = map[fleet.FailureDomain]*domainLoad{}
	}
	l.stay.advance(now)
	l.stay.outstanding = 0
	var local []*member
	for _, m := range p.members {
		l.stay.outstanding += m.outstanding
		m.preferred = false
		if l.domains[m.FailureDomain] == nil {
			l.domains[m.FailureDomain] = &domainLoad{}
		}
		m.domainLoad = l.domains[m.FailureDomain]
		if m.FailureDomain == p.domain && !m.leaving() {
			local = append(local, m)
		}
	}
	p.prefer(local)
	for _, m := range p.members {
		m.margin = 0
		if !m.preferred {
			m.margin += preferenceMargin
		}
		if m.FailureDomain != p.domain {
			m.margin += domainMargin
		}
	}
}

// prefer marks the upstreams among local that this entry prefers.
func (p *Pool) prefer(local []*member) {
	entries := instance.Filter(p.config.Entries, func(i fleet.Instance) bool {
		return i.Role == fleet.EntryRole && !i.Leaving && i.FailureDomain == p.domain
	})
	for position, e := range instance.SortByHash(entries, "placement") {
		if e.Name != p.self || len(local) == 0 {
			continue
		}
		count := max(sharersPerUpstream*len(local)/len(entries), minPreferred)
		for _, m := range window(local, position, len(entries), count) {
			m.preferred = true
		}
	}
}

// expect prepares the choice of an upstream at now.
func (l *placement) expect(now time.Time) {
	stay := l.stay.mean()
	mean := l.service.value(0, 0, serviceMeanStays*stay, now)
	for _, d := range l.domains {
		d.expected = d.recent.value(mean, serviceMeanWeight, stay, now)
	}
}

// others returns the number of requests of other processes that m is expected to have: as it
// reported, and the closer to the mean of its domain the older its report is.
func (l *placement) others(m *member, stay time.Duration, now time.Time) float64 {
	mean := m.domainLoad.expected * float64(m.Slots)
	if m.reportedAt.IsZero() {
		return mean
	}
	if age := now.Sub(m.reportedAt); age < maxReportStays*stay {
		return mean + (m.otherLoad-mean)*decay(age, time.Duration(reportDecayStays*float64(stay)))
	}
	return mean
}

// predict returns the load that a request would meet at m as a fraction of the slots, with the
// margins of the upstreams that are to be avoided among about equally loaded ones.
func (l *placement) predict(m *member, stay time.Duration, now time.Time) float64 {
	own := float64(m.outstanding)
	if m.group != nil && m.cold.end().After(now) {
		// The other ranks get requests of all processes, a cold one only of its senders.
		own *= m.cold.part
	}
	return (own + l.others(m, stay, now) + m.margin) / float64(max(m.Slots, 1))
}

// recordPlacement counts a request that is sent to m.
func (p *Pool) recordPlacement(m *member, now time.Time) {
	p.placement.stay.begin(now)
	switch counts := &p.placement.counts; {
	case m.preferred:
		counts.Preferred++
	case m.FailureDomain == p.domain:
		counts.Local++
	default:
		counts.Remote++
	}
}

// recordReport records that m reported running and waiting requests.
func (p *Pool) recordReport(m *member, running, waiting int, now time.Time) {
	m.otherLoad, m.reportedAt = float64(max(running+waiting-m.outstanding, 0)), now
	load, stay := m.otherLoad/float64(max(m.Slots, 1)), p.placement.stay.mean()
	m.domainLoad.recent.add(load, stay, now)
	p.placement.service.add(load, serviceMeanStays*stay, now)
	if waiting > 0 {
		p.placement.counts.Queued++
	} else {
		p.placement.counts.Idle++
	}
}

// agePlacement makes all that is known of the load of upstreams older by d.
func (p *Pool) agePlacement(d time.Duration) {
	for _, m := range p.members {
		if !m.reportedAt.IsZero() {
			m.reportedAt = m.reportedAt.Add(-d)
		}
	}
	p.placement.service.at = p.placement.service.at.Add(-d)
	for _, l := range p.placement.domains {
		l.recent.at = l.recent.at.Add(-d)
	}
}

// recordFull records that m declined a request, which it does if it is full.
func (p *Pool) recordFull(m *member, now time.Time) {
	if full := float64(m.Slots - m.outstanding); m.otherLoad < full || now.Sub(m.reportedAt) > p.placement.stay.mean() {
		m.otherLoad, m.reportedAt = max(full, 0), now
	}
}

// PlacementState is the debug state of the placement of requests.
type PlacementState struct {
	Counts PlacementCounts `json:"counts"`
	// MeanStay is the mean time that requests stay at an upstream.
	MeanStay time.Duration `json:"mean-stay-nanoseconds"`
	// Domains holds the mean load that other processes are expected to put on the upstreams of a
	// failure domain, as a fraction of the slots.
	Domains map[fleet.FailureDomain]float64 `json:"expected-load"`
}

// Placement returns the debug state of the placement of requests at now.
func (p *Pool) Placement(now time.Time) PlacementState {
	s := PlacementState{p.placement.counts, p.placement.stay.mean(), map[fleet.FailureDomain]float64{}}
	p.placement.expect(now)
	for name, d := range p.placement.domains {
		s.Domains[name] = d.expected
	}
	return s
}

// MemberPlacement is the debug state of an upstream among those that requests may be placed at.
type MemberPlacement struct {
	// Preferred is set if this process prefers the upstream.
	Preferred bool `json:"preferred"`
	// OtherLoad is the number of requests of other processes that the upstream is expected to
	// have. ReportAgeMS is the age of its latest report in milliseconds, nil if there is none.
	OtherLoad   float64 `json:"expected-others"`
	ReportAgeMS *int64  `json:"report-age-milliseconds,omitempty"`
}

// memberPlacement returns the debug state of m at now. expect must have been called.
func (l *placement) memberPlacement(m *member, now time.Time) MemberPlacement {
	s := MemberPlacement{Preferred: m.preferred, OtherLoad: l.others(m, l.stay.mean(), now)}
	if !m.reportedAt.IsZero() {
		age := now.Sub(m.reportedAt).Milliseconds()
		s.ReportAgeMS = &age
	}
	return s
}
