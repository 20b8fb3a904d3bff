package upstream

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is the state that an entry keeps for one upstream of a service or
// group: its last load report, its health and the requests in flight to it.
type Candidate struct {
	Name string
	// Distance is the one-way network latency to the upstream's failure domain.
	Distance time.Duration

	report     LoadReport
	reportedAt time.Time
	// outstanding is the number of this entry's requests that have not ended.
	outstanding int
	// otherLoad is the moving average of the running and queued requests that
	// were reported beyond outstanding. It is averaged because many requests
	// end before the report that counts them arrives.
	otherLoad float64
	// prefixes holds the hashes of the reported prompt prefixes, the latest last.
	prefixes []uint64
	health   health
	// leavingListed and leavingReported are set while the platform's list and
	// the agent's load report, respectively, mark the upstream as leaving.
	leavingListed, leavingReported bool
	// reported is set once a load report has arrived.
	reported bool
}

// leaving reports whether the platform's list or the agent marks the upstream as
// leaving. Either mark is enough: each source can lag behind the other, so the absence
// of a mark proves nothing.
func (c *Candidate) leaving() bool { return c.leavingListed || c.leavingReported }

// LoadReport is the load that an upstream's agent reports. It arrives with an
// unknown delay.
type LoadReport struct {
	Running, Queued, Slots int
	Leaving                bool
	// Prefixes holds the hashes of the prompt prefixes added to the upstream's
	// cache since the last report, or of all cached ones if PrefixesComplete is
	// set.
	Prefixes         []uint64
	PrefixesComplete bool
}

// CandidateSetConfig holds the settings of a CandidateSet.
type CandidateSetConfig struct {
	// EjectionFailures is the number of consecutive failures after which an
	// upstream is ejected.
	EjectionFailures int
	// EjectionTime is the time for which an upstream is first ejected. The time
	// doubles with each ejection that follows, up to maxEjectionFactor times
	// EjectionTime.
	EjectionTime time.Duration
	// SlowFactor is the multiple of the median latency above which an upstream
	// counts as slow and is ejected.
	SlowFactor float64
	// ReportInterval is the interval at which agents report their load. An
	// upstream that has sent none for maxMissedReports intervals, or for
	// minReportTimeout if that is longer, is used only if no other one is healthy.
	ReportInterval time.Duration
}

// Parameters of the choice among candidates.
const (
	// maxMissedReports is the number of report intervals without a report after
	// which a candidate's report counts as overdue.
	maxMissedReports = 4
	// minReportTimeout is the shortest time without a report after which a
	// candidate's report counts as overdue, whatever the report interval.
	minReportTimeout = 1500 * time.Millisecond
	// otherLoadWindow is the time constant of the moving average of the load from
	// other entries.
	otherLoadWindow = 10 * time.Second
	// preferredBonus is subtracted from the cost of a candidate that the hash of
	// the request's prefix prefers. A cost of 1 is a load that fills all slots.
	preferredBonus = 0.5
	// holderBonus is subtracted from the cost of a candidate that reported the
	// prefix. It is lower than preferredBonus because the prefix may have been
	// evicted from the cache since.
	holderBonus = 0.15
	// distanceUnit is the one-way latency that costs as much as a load that fills
	// all slots.
	distanceUnit = 50 * time.Millisecond
	// maxPrefixes is the maximum number of reported prefixes kept per upstream.
	maxPrefixes = 64
	// sampleSize is the number of candidates drawn at random for a request, and
	// the number of candidates that a prefix's hash prefers.
	sampleSize = 2
)

// CandidateSet chooses among the upstreams of one service or group that an entry
// reaches through their agents. It relies on the agents' load reports and on the
// outcomes of the entry's own requests.
type CandidateSet struct {
	config     CandidateSetConfig
	candidates map[string]*Candidate
	// order holds the names of the candidates, sorted.
	order  []string
	random *rand.Rand
}

// NewCandidateSet returns an empty set. Its random draws are determined by seed.
func NewCandidateSet(seed uint64, config CandidateSetConfig) *CandidateSet {
	return &CandidateSet{config: config, candidates: map[string]*Candidate{}, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// ConfiguredUpstream is one upstream of the list that Configure takes.
type ConfiguredUpstream struct {
	Name string
	// Distance is the one-way network latency to the upstream's failure domain.
	Distance time.Duration
	// Leaving is set for an upstream that is draining and must get no new work.
	Leaving bool
}

// Configure replaces the upstreams and the settings. The state of upstreams that
// were in the set before is kept.
func (s *CandidateSet) Configure(upstreams []ConfiguredUpstream, config CandidateSetConfig) {
	s.config = config
	kept := make(map[string]*Candidate, len(upstreams))
	s.order = s.order[:0]
	for _, u := range upstreams {
		c := s.candidates[u.Name]
		if c == nil {
			c = &Candidate{Name: u.Name}
		}
		c.Distance = u.Distance
		c.leavingListed = u.Leaving
		kept[u.Name] = c
		s.order = append(s.order, u.Name)
	}
	slices.Sort(s.order)
	s.candidates = kept
}

// RecordLoadReport records the load report r of the named upstream, which arrived
// at now. Reports of upstreams that are not in the set are ignored. If the report
// was overdue, the upstream's consecutive failures are reset.
func (s *CandidateSet) RecordLoadReport(name string, r LoadReport, now time.Time) {
	c := s.candidates[name]
	if c == nil {
		return
	}
	if c.reported && now.Sub(c.reportedAt) > s.reportTimeout() {
		c.health.consecutiveFailures = 0
	}
	otherLoad := float64(max(r.Running+r.Queued-c.outstanding, 0))
	gain := 1.0
	if age := now.Sub(c.reportedAt); c.reported {
		gain = float64(age) / float64(age+otherLoadWindow)
	}
	c.otherLoad += gain * (otherLoad - c.otherLoad)
	c.leavingReported = r.Leaving
	c.report, c.reportedAt, c.reported = r, now, true
	c.addPrefixes(r)
}

// addPrefixes adds the reported prefixes and keeps the latest maxPrefixes. The
// upstream does not report evictions from its cache, so a prefix is only a hint.
func (c *Candidate) addPrefixes(r LoadReport) {
	if r.PrefixesComplete {
		c.prefixes = nil
	}
	for _, p := range r.Prefixes {
		c.prefixes = append(slices.DeleteFunc(c.prefixes, func(held uint64) bool { return held == p }), p)
	}
	c.prefixes = c.prefixes[max(0, len(c.prefixes)-maxPrefixes):]
}

// CandidateQuery describes a request for which a CandidateSet chooses an upstream.
type CandidateQuery struct {
	// Prefix is the hash of the prompt's prefix, 0 for none.
	Prefix uint64
	// Exclude holds the names of the upstreams at which an attempt was made before.
	Exclude []string
}

// Choose returns the name of the upstream for a request and counts the request as
// outstanding there. It returns false if no upstream may be used.
//
// It takes the candidate of the lowest cost among two drawn at random and, for a
// request with a prefix, two preferred by the prefix's hash and one that reported
// to have the prefix cached. All entries compute the same preference, so a prefix
// is cached at few upstreams without any coordination. The random draw avoids
// herding: entries with the same outdated reports would otherwise all choose the
// same upstream.
func (s *CandidateSet) Choose(q CandidateQuery, now time.Time) (string, bool) {
	usable := s.usable(q, now)
	if len(usable) == 0 {
		return "", false
	}
	best, lowest := (*Candidate)(nil), 0.0
	for _, c := range s.sample(usable, q.Prefix) {
		// The first of several equal ones is kept: the draw is random, so each
		// of them is chosen at times.
		if cost := c.cost() - c.cacheBonus; best == nil || cost < lowest {
			best, lowest = c.Candidate, cost
		}
	}
	s.RecordStart(best.Name, now)
	return best.Name, true
}

// sampled is a candidate considered for a request, with the bonus for what its
// cache may hold.
type sampled struct {
	*Candidate
	cacheBonus float64
}

// sample returns the candidates considered for a request with the given prefix.
// It shuffles usable.
func (s *CandidateSet) sample(usable []*Candidate, prefix uint64) []sampled {
	var out []sampled
	if prefix != 0 {
		for _, c := range preferredByPrefix(usable, prefix) {
			out = append(out, sampled{c, preferredBonus})
		}
		if holders := slices.DeleteFunc(slices.Clone(usable), func(c *Candidate) bool { return !slices.Contains(c.prefixes, prefix) }); len(holders) > 0 {
			out = append(out, sampled{holders[s.random.IntN(len(holders))], holderBonus})
		}
	}
	s.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	for _, c := range usable[:min(sampleSize, len(usable))] {
		out = append(out, sampled{Candidate: c})
	}
	return out
}

// preferredByPrefix returns the sampleSize candidates with the highest hash of
// name and prefix (rendezvous hashing). Adding or removing a candidate changes
// the preference of few prefixes.
func preferredByPrefix(usable []*Candidate, prefix uint64) []*Candidate {
	var out []*Candidate
	var scores []uint64
	for _, c := range usable {
		score := xxhash.Sum64String(c.Name) ^ prefix
		score = (score ^ score>>31) * 0x9e3779b97f4a7c15
		score ^= score >> 29
		i := 0
		for i < len(scores) && scores[i] >= score {
			i++
		}
		if i < sampleSize {
			out, scores = slices.Insert(out, i, c), slices.Insert(scores, i, score)
			out, scores = out[:min(len(out), sampleSize)], scores[:min(len(scores), sampleSize)]
		}
	}
	return out
}

// usable returns the candidates that may be chosen for a request: the healthy ones, or
// if there are none, those whose report is overdue, or else the ejected ones, since an
// attempt there is better than a refusal. Leaving and excluded candidates are never
// returned.
func (s *CandidateSet) usable(q CandidateQuery, now time.Time) []*Candidate {
	var healthy, overdue, ejected []*Candidate
	for _, name := range s.order {
		c := s.candidates[name]
		switch {
		case c.leaving() || slices.Contains(q.Exclude, name):
		case c.health.ejected(now):
			ejected = append(ejected, c)
		case s.reportOverdue(c, now):
			overdue = append(overdue, c)
		default:
			healthy = append(healthy, c)
		}
	}
	for _, candidates := range [][]*Candidate{healthy, overdue, ejected} {
		if len(candidates) > 0 {
			return candidates
		}
	}
	return nil
}

// reportTimeout returns the time since the last report after which a candidate's
// report counts as overdue.
func (s *CandidateSet) reportTimeout() time.Duration {
	return max(minReportTimeout, maxMissedReports*s.config.ReportInterval)
}

// reportOverdue reports whether c has not reported yet, or not within the report
// timeout.
func (s *CandidateSet) reportOverdue(c *Candidate, now time.Time) bool {
	return !c.reported || now.Sub(c.reportedAt) > s.reportTimeout()
}

// SinceLastReport returns the time since the last load report of the named
// upstream, or 0 if it has not reported yet or is not in the set.
func (s *CandidateSet) SinceLastReport(name string, now time.Time) time.Duration {
	c := s.candidates[name]
	if c == nil || !c.reported {
		return 0
	}
	return now.Sub(c.reportedAt)
}

// ReportOverdue reports whether the named upstream has not sent a load report
// within the report timeout. It is true for upstreams that are not in the set.
func (s *CandidateSet) ReportOverdue(name string, now time.Time) bool {
	c := s.candidates[name]
	return c == nil || s.reportOverdue(c, now)
}

// cost returns the candidate's load as a fraction of its slots, plus the penalty
// for its distance. This entry's part of the load is its own count of outstanding
// requests, which is more recent than the last report.
func (c *Candidate) cost() float64 {
	load := (c.otherLoad + float64(c.outstanding)) / float64(max(c.report.Slots, 1))
	return load + float64(c.Distance)/float64(distanceUnit)
}

// RecordStart counts a request as outstanding at the named upstream. Callers need it
// only for requests that are bound to an upstream, since Choose calls it itself.
func (s *CandidateSet) RecordStart(name string, now time.Time) {
	c := s.candidates[name]
	if c == nil {
		return
	}
	c.outstanding++
	c.health.recordStart(now)
}

// CandidateOutcome is how a request ended at an upstream of a CandidateSet.
type CandidateOutcome int

// The outcomes of a request at a candidate.
const (
	// Succeeded means that a complete response arrived.
	Succeeded CandidateOutcome = iota
	// Failed means that the connection broke, timed out or carried an invalid
	// response.
	Failed
	// Declined means that the agent refused the request, which does not affect
	// the upstream's health.
	Declined
	// Abandoned means that the caller disconnected before the end of the response.
	Abandoned
)

// RecordOutcome records that a request to the named upstream ended with o at now.
// took is the time to the first byte of the response and counts for Succeeded only.
// Outcomes at upstreams that are not in the set are ignored.
func (s *CandidateSet) RecordOutcome(name string, o CandidateOutcome, took time.Duration, now time.Time) {
	c := s.candidates[name]
	if c == nil {
		return
	}
	c.outstanding = max(c.outstanding-1, 0)
	switch o {
	case Succeeded:
		s.recordSuccess(c, took, now)
	case Failed:
		s.recordFailure(c, now)
	case Declined, Abandoned:
		c.health.probing = false
	}
}

// recordSuccess records a success of c, and ejects c if it is slow.
func (s *CandidateSet) recordSuccess(c *Candidate, took time.Duration, now time.Time) {
	c.health.recordSuccess(took)
	if c.health.isSlow(s.allHealth(), s.config.SlowFactor) {
		s.eject(c, now)
	} else {
		c.health.decayEjections()
	}
}

// recordFailure records a failure of c, and ejects c if it failed a probe or failed
// EjectionFailures times in a row.
func (s *CandidateSet) recordFailure(c *Candidate, now time.Time) {
	c.health.consecutiveFailures++
	if c.health.probing || c.health.consecutiveFailures >= s.config.EjectionFailures {
		s.eject(c, now)
	}
}

// allHealth returns the health of all candidates.
func (s *CandidateSet) allHealth() []*health {
	out := make([]*health, 0, len(s.order))
	for _, name := range s.order {
		out = append(out, &s.candidates[name].health)
	}
	return out
}

// eject ejects c, unless more than half of the set would be ejected then.
func (s *CandidateSet) eject(c *Candidate, now time.Time) {
	if mayEject(&c.health, s.allHealth()) {
		c.health.eject(s.config.EjectionTime, now)
	}
}

// CandidateState is the debug state of one candidate.
type CandidateState struct {
	Name                string  `json:"name"`
	Running             int     `json:"running"`
	Queued              int     `json:"queued"`
	Slots               int     `json:"slots"`
	Outstanding         int     `json:"outstanding"`
	Leaving             bool    `json:"leaving"`
	ReportOverdue       bool    `json:"silent"`
	Ejected             bool    `json:"ejected"`
	ConsecutiveFailures int     `json:"failures-in-a-row"`
	AverageLatencyMS    float64 `json:"typical-milliseconds"`
	Cost                float64 `json:"cost"`
}

// State returns the debug state of all candidates at now, sorted by name.
func (s *CandidateSet) State(now time.Time) []CandidateState {
	out := make([]CandidateState, 0, len(s.order))
	for _, name := range s.order {
		c := s.candidates[name]
		out = append(out, CandidateState{
			Name: name, Running: c.report.Running, Queued: c.report.Queued, Slots: c.report.Slots,
			Outstanding: c.outstanding, Leaving: c.leaving(), ReportOverdue: s.reportOverdue(c, now), Ejected: c.health.ejected(now),
			ConsecutiveFailures: c.health.consecutiveFailures, AverageLatencyMS: float64(c.health.averageLatency) / float64(time.Millisecond), Cost: c.cost(),
		})
	}
	return out
}
