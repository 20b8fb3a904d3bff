package upstream

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is what an entry knows of one upstream of a service or group.
type Candidate struct {
	Name string
	// Distance is the one-way time to the upstream's failure domain.
	Distance time.Duration

	report     LoadReport
	reportedAt time.Time
	// outstanding counts this entry's requests that have not ended, others what
	// the last report had beyond them.
	outstanding int
	// It is averaged, since a report is older than what it reports lasts.
	others float64
	// prefixes are those reported, the latest last.
	prefixes []uint64
	health   health
	// listed and said are the platform's and the agent's word that it leaves.
	listed, said bool
	known        bool
}

// leaving tells whether anybody said that the upstream leaves. The platform's
// list lags both ways, so its silence proves nothing.
func (c *Candidate) leaving() bool { return c.listed || c.said }

// Report is an upstream's word about its load, late by an unknown time.
type LoadReport struct {
	Running, Queued, Slots int
	Leaving                bool
	// Prefixes were added to the upstream's cache since the last report; Anew
	// says that they are all it holds.
	Prefixes         []uint64
	PrefixesComplete bool
}

// Rules are the settings of the choice among upstreams.
type CandidateSetConfig struct {
	EjectionFailures int
	EjectionTime     time.Duration
	SlowFactor       float64
	// ReportInterval is the interval of load reports; a candidate silent for
	// silentReports of them counts as unreachable.
	ReportInterval time.Duration
}

// Constants of the choice.
const (
	// silentReports is how many load reports may be missing before an
	// upstream is taken for unreachable.
	silentReports = 4
	// minSilence is the least time without a word before that.
	minSilence = 1500 * time.Millisecond
	// othersTime is the time over which the others' load is averaged.
	othersTime = 10 * time.Second
	// prefixBonus is the share of a full load that a preferred upstream's cache
	// outweighs, holderBonus that of one that reported the prefix some time ago.
	prefixBonus = 0.5
	holderBonus = 0.15
	// distanceUnit is the distance that weighs as much as a full load.
	distanceUnit = 50 * time.Millisecond
	// maxPrefixes bounds the prefixes kept of one upstream.
	maxPrefixes = 64
	// choices is how many candidates are drawn at random, and how many a prefix
	// prefers.
	choices = 2
)

// Set holds the upstreams of one service or group, as one entry sees them.
type CandidateSet struct {
	rules      CandidateSetConfig
	candidates map[string]*Candidate
	order      []string
	random     *rand.Rand
}

// NewSet returns an empty set whose choices follow from seed.
func NewCandidateSet(seed uint64, rules CandidateSetConfig) *CandidateSet {
	return &CandidateSet{rules: rules, candidates: map[string]*Candidate{}, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Member is one upstream that the settings list.
type ConfiguredUpstream struct {
	Name     string
	Distance time.Duration
	Leaving  bool
}

// Configure replaces the members and rules. What is known of members that stay
// is kept.
func (s *CandidateSet) Configure(members []ConfiguredUpstream, rules CandidateSetConfig) {
	s.rules = rules
	kept := make(map[string]*Candidate, len(members))
	s.order = s.order[:0]
	for _, m := range members {
		c := s.candidates[m.Name]
		if c == nil {
			c = &Candidate{Name: m.Name}
		}
		c.Distance = m.Distance
		c.listed = m.Leaving
		kept[m.Name] = c
		s.order = append(s.order, m.Name)
	}
	slices.Sort(s.order)
	s.candidates = kept
}

// Reported records an upstream's load report.
func (s *CandidateSet) RecordLoadReport(name string, r LoadReport, now time.Time) {
	c := s.candidates[name]
	if c == nil {
		return
	}
	if c.known && now.Sub(c.reportedAt) > s.silence() {
		c.health.failures = 0
	}
	others := float64(max(r.Running+r.Queued-c.outstanding, 0))
	gain := 1.0
	if age := now.Sub(c.reportedAt); c.known {
		gain = float64(age) / float64(age+othersTime)
	}
	c.others += gain * (others - c.others)
	c.said = r.Leaving
	c.report, c.reportedAt, c.known = r, now, true
	c.addPrefixes(r)
}

// addPrefixes keeps the latest prefixes that the upstream reported. What it has
// dropped since is not known, so a prefix is a hint and no more.
func (c *Candidate) addPrefixes(r LoadReport) {
	if r.PrefixesComplete {
		c.prefixes = nil
	}
	for _, p := range r.Prefixes {
		c.prefixes = append(slices.DeleteFunc(c.prefixes, func(held uint64) bool { return held == p }), p)
	}
	c.prefixes = c.prefixes[max(0, len(c.prefixes)-maxPrefixes):]
}

// Query describes a request that needs an upstream.
type CandidateQuery struct {
	// Prefix is the hash of the prompt's prefix, 0 for none.
	Prefix uint64
	// Exclude names upstreams already tried.
	Exclude []string
}

// Choose returns the upstream for a request and counts it as begun. Compared are
// two drawn at random and, for a prompt with a prefix, the two that the prefix's
// hash prefers and one that reported to hold it. All entries prefer the same
// ones, so that a prefix is cached in few places without any word between them;
// drawing keeps entries with equally old reports from all choosing the same.
func (s *CandidateSet) Choose(q CandidateQuery, now time.Time) (string, bool) {
	usable := s.usable(q, now)
	if len(usable) == 0 {
		return "", false
	}
	best, least := (*Candidate)(nil), 0.0
	for _, d := range s.draw(usable, q.Prefix) {
		// Of equals the first one drawn is taken, so that none is left untried.
		if cost := d.cost() - d.bonus; best == nil || cost < least {
			best, least = d.Candidate, cost
		}
	}
	s.Begin(best.Name, now)
	return best.Name, true
}

// drawn is a candidate to compare, with what its cache is worth.
type drawn struct {
	*Candidate
	bonus float64
}

// draw picks the candidates to compare.
func (s *CandidateSet) draw(usable []*Candidate, prefix uint64) []drawn {
	var out []drawn
	if prefix != 0 {
		for _, c := range preferred(usable, prefix) {
			out = append(out, drawn{c, prefixBonus})
		}
		if holders := slices.DeleteFunc(slices.Clone(usable), func(c *Candidate) bool { return !slices.Contains(c.prefixes, prefix) }); len(holders) > 0 {
			out = append(out, drawn{holders[s.random.IntN(len(holders))], holderBonus})
		}
	}
	s.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	for _, c := range usable[:min(choices, len(usable))] {
		out = append(out, drawn{Candidate: c})
	}
	return out
}

// preferred returns the candidates that a prefix's hash ranks highest. One that
// comes or goes changes the preference of few prefixes.
func preferred(usable []*Candidate, prefix uint64) []*Candidate {
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
		if i < choices {
			out, scores = slices.Insert(out, i, c), slices.Insert(scores, i, score)
			out, scores = out[:min(len(out), choices)], scores[:min(len(scores), choices)]
		}
	}
	return out
}

// usable returns the candidates that may take work, the better known first: if
// none is healthy, unhealthy ones are better than a refusal.
func (s *CandidateSet) usable(q CandidateQuery, now time.Time) []*Candidate {
	var healthy, unheard, rest []*Candidate
	for _, name := range s.order {
		c := s.candidates[name]
		switch {
		case c.leaving() || slices.Contains(q.Exclude, name):
		case c.health.out(now):
			rest = append(rest, c)
		case s.silent(c, now):
			unheard = append(unheard, c)
		default:
			healthy = append(healthy, c)
		}
	}
	for _, group := range [][]*Candidate{healthy, unheard, rest} {
		if len(group) > 0 {
			return group
		}
	}
	return nil
}

func (s *CandidateSet) silence() time.Duration {
	return max(minSilence, silentReports*s.rules.ReportInterval)
}

// silent tells whether nothing was heard of a candidate for too long.
func (s *CandidateSet) silent(c *Candidate, now time.Time) bool {
	return !c.known || now.Sub(c.reportedAt) > s.silence()
}

// Quiet returns the time since the last report of the named upstream, zero if
// none has come yet.
func (s *CandidateSet) SinceLastReport(name string, now time.Time) time.Duration {
	c := s.candidates[name]
	if c == nil || !c.known {
		return 0
	}
	return now.Sub(c.reportedAt)
}

// Silent tells whether nothing was heard of the named upstream for too long.
func (s *CandidateSet) ReportOverdue(name string, now time.Time) bool {
	c := s.candidates[name]
	return c == nil || s.silent(c, now)
}

// cost is the candidate's load in shares of its slots, with what its distance
// adds. Of the reported load, what this entry knows better itself is its own.
func (c *Candidate) cost() float64 {
	load := (c.others + float64(c.outstanding)) / float64(max(c.report.Slots, 1))
	return load + float64(c.Distance)/float64(distanceUnit)
}

// Begin counts a request sent to the named upstream without a choice.
func (s *CandidateSet) Begin(name string, now time.Time) {
	c := s.candidates[name]
	if c == nil {
		return
	}
	c.outstanding++
	c.health.begin(now)
}

// Result is how a request ended at an upstream.
type Result int

// The results of a request.
const (
	// Succeeded means a whole answer.
	Succeeded Result = iota
	// Failed means a broken connection, a silence or a broken answer.
	Failed
	// Declined means that the agent refused the request; it says nothing of its health.
	Declined
	// Abandoned means that the caller went away.
	Abandoned
)

// Ended records the end of a request. took is the time to the first byte.
func (s *CandidateSet) RecordResult(name string, r Result, took time.Duration, now time.Time) {
	c := s.candidates[name]
	if c == nil {
		return
	}
	c.outstanding = max(c.outstanding-1, 0)
	switch r {
	case Succeeded:
		s.succeeded(c, took, now)
	case Failed:
		s.failed(c, now)
	case Declined, Abandoned:
		c.health.probing = false
	}
}

func (s *CandidateSet) succeeded(c *Candidate, took time.Duration, now time.Time) {
	c.health.succeeded(took)
	if c.health.slow(s.healths(), s.rules.SlowFactor) {
		s.eject(c, now)
	} else {
		c.health.forgive()
	}
}

func (s *CandidateSet) failed(c *Candidate, now time.Time) {
	c.health.failures++
	if c.health.probing || c.health.failures >= s.rules.EjectionFailures {
		s.eject(c, now)
	}
}

func (s *CandidateSet) healths() []*health {
	out := make([]*health, 0, len(s.order))
	for _, name := range s.order {
		out = append(out, &s.candidates[name].health)
	}
	return out
}

// eject takes a candidate out of the choice, unless half of the set is out
// already.
func (s *CandidateSet) eject(c *Candidate, now time.Time) {
	if mayEject(&c.health, s.healths()) {
		c.health.eject(s.rules.EjectionTime, now)
	}
}

// CandidateState is one upstream's part of the dump.
type CandidateState struct {
	Name        string  `json:"name"`
	Running     int     `json:"running"`
	Queued      int     `json:"queued"`
	Slots       int     `json:"slots"`
	Outstanding int     `json:"outstanding"`
	Leaving     bool    `json:"leaving"`
	Silent      bool    `json:"silent"`
	Ejected     bool    `json:"ejected"`
	Failures    int     `json:"failures-in-a-row"`
	TypicalMS   float64 `json:"typical-milliseconds"`
	Cost        float64 `json:"cost"`
}

// State returns the set's part of the dump.
func (s *CandidateSet) State(now time.Time) []CandidateState {
	out := make([]CandidateState, 0, len(s.order))
	for _, name := range s.order {
		c := s.candidates[name]
		out = append(out, CandidateState{
			Name: name, Running: c.report.Running, Queued: c.report.Queued, Slots: c.report.Slots,
			Outstanding: c.outstanding, Leaving: c.leaving(), Silent: s.silent(c, now), Ejected: c.health.out(now),
			Failures: c.health.failures, TypicalMS: float64(c.health.typical) / float64(time.Millisecond), Cost: c.cost(),
		})
	}
	return out
}
