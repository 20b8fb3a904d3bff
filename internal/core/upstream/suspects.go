package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleydeal/internal/core/instance"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// Suspects tracks the parts of prompts on which upstreams may end. A part is implicated
// each time that an upstream ends without notice while a request with the part had made no
// progress there, and proven sound by each request with it that makes progress. Requests
// with an implicated part are held back for a time that grows with each end, and are then
// tried one at a time.
//
// The processes tell each other what they know, since each sees only some of the requests
// that an upstream had when it ended.
type Suspects struct {
	self    string
	entries []fleet.Instance
	parts   map[string]*suspect
	proven  provenParts
	// firstProofAt is when the first request of this process made progress, zero before.
	firstProofAt time.Time
}

// End is the end of an upstream's process without notice.
type End struct {
	Of service.Incarnation
	At time.Time
}

// suspect is what is known of a part that was implicated.
type suspect struct {
	// ends are the ends that implicate the part, in order of time.
	ends []End
	// provenAt is when a request with the part last made progress, zero if not known.
	provenAt time.Time
	// trialAt is when this process last let a request with the part through, zero if it
	// did not since the last end.
	trialAt time.Time
}

// Parameters of the suspicion of parts.
const (
	// firstHold is the time for which requests with a part are held back after one end. If
	// the end implicates other parts too that a request does not have, the request is held
	// back for ambiguousHold only: it may be sound, and then tells the parts apart.
	firstHold     = 30 * time.Second
	ambiguousHold = 5 * time.Second
	// The time after two ends is holdGrowth times firstHold, and so on with each further
	// one, up to maxHold.
	holdGrowth = 4
	maxHold    = 24 * time.Hour
	// conclusiveEnds is the number of ends from which on requests with the part that are
	// already at upstreams are cancelled at once. After one, they are cancelled once peers
	// have had ClearingTime to say which parts are sound.
	conclusiveEnds = 2
	// minHistory is the time since its first proof after which a process knows enough for
	// one end to be conclusive: after a start no part is proven.
	minHistory = 3 * time.Second
	// proofTime is the time for which a proof still counts for a part that is implicated
	// after it.
	proofTime = time.Minute
	// provenAllowance is the number of episodes for which such a part is not suspected.
	provenAllowance = 2
	// episodeGap is the time after an end within which others belong to the same episode.
	// A sound request makes progress within that time.
	episodeGap = time.Second
	// trialInterval is the time between the trials of two processes, trialTime the time
	// that a trial may take. While the evidence is below strongEvidence, all processes have
	// their turn within trialSpread: callers of a sound part may know one process only.
	trialInterval  = 2 * time.Second
	trialTime      = 3 * time.Second
	trialSpread    = 20 * time.Second
	strongEvidence = 3
	// minForgetTime is the shortest time after its last end for which a part is known.
	// A part that is not held back is forgotten after clearedTime.
	minForgetTime = 10 * time.Minute
	clearedTime   = 30 * time.Second
	// maxSuspects and maxEnds limit the implicated parts and the ends kept for each.
	maxSuspects = 512
	maxEnds     = 12
	// maxSuspectNews limits the parts that a process tells its peers of at a time.
	maxSuspectNews = 64
)

// NewSuspects returns Suspects without any part, for the process named self.
func NewSuspects(self string) *Suspects {
	return &Suspects{self: self, parts: map[string]*suspect{}}
}

// Configure sets the processes that share the trials, this one included.
func (s *Suspects) Configure(entries []fleet.Instance) { s.entries = entries }

// weight returns the number of ends that speak against the part by itself. Ends before the
// last proof do not count.
func (p *suspect) weight() int {
	first := slices.IndexFunc(p.ends, func(e End) bool { return e.At.After(p.provenAt) })
	if first < 0 {
		return 0
	}
	since := p.ends[first:]
	if p.provenAt.IsZero() || since[0].At.Sub(p.provenAt) >= proofTime {
		return len(since)
	}
	return max(episodes(since)-provenAllowance, 0)
}

// implicatedBy reports whether an end implicates the part.
func (p *suspect) implicatedBy(e End) bool {
	return slices.ContainsFunc(p.ends, func(o End) bool { return o.Of.Equal(e.Of) })
}

// evidence returns the number of ends that speak against a part. A single one does not if
// it has a better explanation: another part that it implicates and that others do too.
func (s *Suspects) evidence(p *suspect) int {
	weight := p.weight()
	if weight != 1 {
		return weight
	}
	for _, o := range s.parts {
		if o != p && len(o.ends) >= conclusiveEnds && o.implicatedBy(p.lastEnd()) && o.weight() >= conclusiveEnds {
			return 0
		}
	}
	return weight
}

// episodes returns the number of episodes that ends, in order of time, belong to.
func episodes(ends []End) int {
	n := 0
	var last time.Time
	for _, e := range ends {
		if n == 0 || e.At.Sub(last) >= episodeGap {
			n++
			last = e.At
		}
	}
	return n
}

// holdTime returns the time for which a part is held back after its last end, given the
// evidence against it.
func holdTime(evidence int) time.Duration {
	if evidence == 0 {
		return 0
	}
	hold := firstHold
	for range evidence - 1 {
		hold = min(hold*holdGrowth, maxHold)
	}
	return hold
}

// lastEnd returns the last end that implicates the part.
func (p *suspect) lastEnd() End { return p.ends[len(p.ends)-1] }

// explained reports whether parts, p's among them, include all parts that are held back and
// that p's last end implicates: one of these has ended the upstream.
func (s *Suspects) explained(p *suspect, parts []string) bool {
	for id, o := range s.parts {
		if o != p && o.implicatedBy(p.lastEnd()) && s.evidence(o) > 0 && !slices.Contains(parts, id) {
			return false
		}
	}
	return true
}

// heldUntil returns the time until which no process lets a request with the given parts, p's
// among them, through because of p, zero if p is not held back.
func (s *Suspects) heldUntil(p *suspect, parts []string) time.Time {
	evidence := s.evidence(p)
	if evidence == 0 {
		return time.Time{}
	}
	hold := holdTime(evidence)
	if !s.explained(p, parts) {
		hold = ambiguousHold
	}
	return p.lastEnd().At.Add(hold)
}

// Admit reports whether a request whose prompt has the given parts may be sent at now. If
// not, it returns the time after which one with them may be sent by some process.
func (s *Suspects) Admit(parts []string, now time.Time) (wait time.Duration, ok bool) {
	var trials []*suspect
	for _, id := range parts {
		p := s.parts[id]
		if p == nil || s.evidence(p) == 0 {
			continue
		}
		until := s.heldUntil(p, parts)
		if s.trialFrom(id, p, until).After(now) {
			wait = max(wait, until.Sub(now), episodeGap)
			continue
		}
		trials = append(trials, p)
	}
	if wait > 0 {
		return wait, false
	}
	for _, p := range trials {
		p.trialAt = now
	}
	return 0, true
}

// trialFrom returns the time from which on this process may let a request with a part
// through that is held back until the given time. The processes take turns.
func (s *Suspects) trialFrom(id string, p *suspect, until time.Time) time.Time {
	turn := slices.IndexFunc(instance.SortByHash(s.entries, id), func(i fleet.Instance) bool { return i.Name == s.self })
	if turn < 0 {
		turn = len(s.entries)
	}
	interval := trialInterval
	if s.evidence(p) < strongEvidence {
		interval = min(interval, trialSpread/time.Duration(max(len(s.entries), 1)))
	}
	from := until.Add(time.Duration(turn) * interval)
	// A trial without an outcome is followed by one of each other process.
	if next := p.trialAt.Add(max(trialTime, interval*time.Duration(len(s.entries)))); !p.trialAt.IsZero() && next.After(from) {
		return next
	}
	return from
}

// Proven reports whether each of the parts is known to be sound at now.
func (s *Suspects) Proven(parts []string, now time.Time) bool {
	return !slices.ContainsFunc(parts, func(id string) bool {
		at := s.proven.last(id)
		return at.IsZero() || now.Sub(at) >= proofTime
	})
}

// RecordProgress records that a request with the given parts made progress at an upstream.
// It returns the parts that were held back until now.
func (s *Suspects) RecordProgress(parts []string, now time.Time) (cleared []string) {
	if s.firstProofAt.IsZero() {
		s.firstProofAt = now
	}
	for _, id := range parts {
		s.proven.record(id, now)
		if p := s.parts[id]; p != nil {
			held := s.evidence(p) > 0
			p.provenAt = now
			if held {
				cleared = append(cleared, id)
			}
		}
	}
	return cleared
}

// RecordEnd records that an upstream ended at now while a request with the given parts had
// made no progress there. It returns the parts that are held back because of it.
func (s *Suspects) RecordEnd(of service.Incarnation, parts []string, now time.Time) (held []string) {
	for _, id := range parts {
		p := s.suspect(id, now)
		if p.addEnd(End{of, now}) && s.evidence(p) > 0 {
			held = append(held, id)
		}
	}
	return held
}

// suspect returns the state of a part and adds it if necessary.
func (s *Suspects) suspect(id string, now time.Time) *suspect {
	p := s.parts[id]
	if p == nil {
		s.forget(now)
		p = &suspect{provenAt: s.proven.last(id)}
		s.parts[id] = p
	}
	return p
}

// addEnd adds an end and reports whether it was not known.
func (p *suspect) addEnd(e End) bool {
	if p.implicatedBy(e) {
		return false
	}
	p.ends = append(p.ends, e)
	slices.SortStableFunc(p.ends, func(a, b End) int { return a.At.Compare(b.At) })
	p.ends = p.ends[max(len(p.ends)-maxEnds, 0):]
	p.trialAt = time.Time{}
	return true
}

// forget removes the parts that were not implicated for long, and the one implicated first
// if there are too many.
func (s *Suspects) forget(now time.Time) {
	maps.DeleteFunc(s.parts, func(_ string, p *suspect) bool {
		age := now.Sub(p.lastEnd().At)
		if evidence := s.evidence(p); evidence > 0 {
			return age > max(2*holdTime(evidence), minForgetTime)
		}
		return age > clearedTime
	})
	if len(s.parts) >= maxSuspects {
		ids := s.sorted()
		delete(s.parts, ids[len(ids)-1])
	}
}

// sorted returns the IDs of all parts, those with the most evidence and the latest end
// first.
func (s *Suspects) sorted() []string {
	evidence := make(map[string]int, len(s.parts))
	for id, p := range s.parts {
		evidence[id] = s.evidence(p)
	}
	return slices.SortedFunc(maps.Keys(s.parts), func(a, b string) int {
		return cmp.Or(cmp.Compare(evidence[b], evidence[a]), s.parts[b].lastEnd().At.Compare(s.parts[a].lastEnd().At), cmp.Compare(a, b))
	})
}

// SuspectNews is what a process tells its peers of a part.
type SuspectNews struct {
	Part string
	Ends []End
	// ProvenAt is zero if the process knows of no request with the part that made
	// progress.
	ProvenAt time.Time
}

// News returns what is known of implicated parts at now.
func (s *Suspects) News(now time.Time) []SuspectNews {
	s.forget(now)
	ids := s.sorted()
	var out []SuspectNews
	for _, id := range ids[:min(len(ids), maxSuspectNews)] {
		p := s.parts[id]
		out = append(out, SuspectNews{id, slices.Clone(p.ends), p.provenAt})
	}
	return out
}

// RecordNews records what a peer knows of a part. held and cleared say whether requests
// with it are held back because of that, or no longer.
func (s *Suspects) RecordNews(n SuspectNews, now time.Time) (held, cleared bool) {
	if len(n.Ends) == 0 {
		return false, false
	}
	p := s.suspect(n.Part, now)
	before := s.evidence(p)
	for _, e := range n.Ends {
		p.addEnd(e)
	}
	if n.ProvenAt.After(p.provenAt) {
		p.provenAt = n.ProvenAt
		s.proven.record(n.Part, n.ProvenAt)
	}
	after := s.evidence(p)
	return after > before, before > 0 && after == 0
}

// Held returns the parts because of which requests are held back.
func (s *Suspects) Held() []string {
	return slices.DeleteFunc(s.sorted(), func(id string) bool { return s.evidence(s.parts[id]) == 0 })
}

// Conclusive reports whether so much speaks against the parts of a request at now that it is to
// be cancelled if it is at an upstream that has not begun to answer.
func (s *Suspects) Conclusive(parts []string, now time.Time) bool {
	knowsProofs := !s.firstProofAt.IsZero() && now.Sub(s.firstProofAt) >= minHistory
	return slices.ContainsFunc(parts, func(id string) bool {
		p := s.parts[id]
		if p == nil {
			return false
		}
		evidence := s.evidence(p)
		settled := evidence >= conclusiveEnds || evidence > 0 && knowsProofs && now.Sub(p.lastEnd().At) >= ClearingTime
		return settled && s.explained(p, parts)
	})
}

// ClearingTime is the time that peers have after an end to say which of the parts that it
// implicates are sound.
const ClearingTime = 20 * time.Millisecond

// Age makes all that is known older by d.
func (s *Suspects) Age(d time.Duration) {
	for _, p := range s.parts {
		for i := range p.ends {
			p.ends[i].At = p.ends[i].At.Add(-d)
		}
		if !p.provenAt.IsZero() {
			p.provenAt = p.provenAt.Add(-d)
		}
	}
	s.proven.age(d)
}

// SuspectState is the debug state of a part.
type SuspectState struct {
	Part string `json:"part"`
	// Ends is the number of upstreams that ended and may have done so because of the part.
	Ends int `json:"ends"`
	// Evidence is the number of those that speak against it, after the last proof.
	Evidence  int   `json:"evidence"`
	HeldForMS int64 `json:"held-for-milliseconds"`
}

// State returns the debug state of all implicated parts at now.
func (s *Suspects) State(now time.Time) []SuspectState {
	var out []SuspectState
	for _, id := range s.sorted() {
		p := s.parts[id]
		out = append(out, SuspectState{id, len(p.ends), s.evidence(p), max(s.heldUntil(p, s.Held()).Sub(now), 0).Milliseconds()})
	}
	return out
}

// provenParts holds when requests with a part last made progress, for at least proofTime or
// the last maxProven parts.
type provenParts struct {
	current, previous map[string]time.Time
	// begun is the time of the first record in current.
	begun time.Time
}

// maxProven limits each of the two generations of proven parts.
const maxProven = 4096

// last returns when a part was last proven, zero if not known.
func (p *provenParts) last(id string) time.Time {
	if at, ok := p.current[id]; ok {
		return at
	}
	return p.previous[id]
}

// record records that a part was proven at a time.
func (p *provenParts) record(id string, at time.Time) {
	if p.current == nil || len(p.current) >= maxProven || at.Sub(p.begun) >= proofTime {
		p.current, p.previous, p.begun = map[string]time.Time{}, p.current, at
	}
	if at.After(p.last(id)) {
		p.current[id] = at
	}
}

func (p *provenParts) age(d time.Duration) {
	for _, generation := range []map[string]time.Time{p.current, p.previous} {
		for id, at := range generation {
			generation[id] = at.Add(-d)
		}
	}
	p.begun = p.begun.Add(-d)
}
