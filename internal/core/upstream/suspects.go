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

// Suspects tracks what requests consist of on which upstreams may end: the parts of their
// prompts, or the requests as a whole. A part is implicated each time that an upstream ends
// without notice while a request with the part had made no progress there, and proven sound
// by each request with it that makes progress. Requests with an implicated part are held back
// for a time that grows with each end, and are then tried one at a time.
//
// The processes tell each other what they know, since each sees only some of the requests
// that an upstream had when it ended.
type Suspects struct {
	self    string
	subject Subject
	entries []fleet.Instance
	parts   map[string]*suspect
	proven  provenParts
	// firstProofAt is when the first request of this process made progress, zero before.
	firstProofAt time.Time
}

// Subject is what Suspects track: PromptParts or WholeRequests.
type Subject interface{ subject() }

// PromptParts are the parts of prompts. Many requests, no two alike, have the same part, so one
// end that a part is implicated in is enough to hold them back.
type PromptParts struct{}

// WholeRequests are identities of requests, each the only part of its request. Few requests are
// ever repeated, so one that was lost to a single end is more likely to be sound, and may be
// sent to another upstream.
type WholeRequests struct{}

func (PromptParts) subject()   {}
func (WholeRequests) subject() {}

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
	// provenAllowance is the number of episodes for which such a part is not suspected,
	// provenRequestAllowance that for such a request. A request that is often repeated is at
	// each upstream that ends, but it makes progress at others between two episodes.
	provenAllowance        = 2
	provenRequestAllowance = 1
	// minRequestEnds is the number of ends from which on a whole request is held back.
	minRequestEnds = 2
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
	// A part that is not held back is forgotten after clearedTime. A whole request, which may
	// come rarely, is known for maxHold or more, or for singleEndTime if it is not held back yet.
	minForgetTime = 10 * time.Minute
	clearedTime   = 30 * time.Second
	singleEndTime = time.Hour
	// maxSuspects and maxEnds limit the implicated parts and the ends kept for each.
	maxSuspects = 512
	maxEnds     = 12
	// maxSuspectNews limits the parts that a process tells its peers of at a time.
	maxSuspectNews = 64
)

// NewSuspects returns Suspects of a subject without any part, for the process named self.
func NewSuspects(self string, subject Subject) *Suspects {
	return &Suspects{self: self, subject: subject, parts: map[string]*suspect{}}
}

// Configure sets the processes that share the trials, this one included.
func (s *Suspects) Configure(entries []fleet.Instance) { s.entries = entries }

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
	trials, wait := s.trials(parts, now)
	if wait > 0 {
		return wait, false
	}
	recordTrials(trials, now)
	return 0, true
}

// trials returns the suspects of which a request with the given parts would be a trial at now,
// or the time after which one may be sent.
func (s *Suspects) trials(parts []string, now time.Time) (trials []*suspect, wait time.Duration) {
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
	return trials, wait
}

func recordTrials(trials []*suspect, now time.Time) {
	for _, p := range trials {
		p.trialAt = now
	}
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
// made no progress there. It returns the parts that are held back because of it, and whether
// there is anything in it that peers do not know.
func (s *Suspects) RecordEnd(of service.Incarnation, parts []string, now time.Time) (held []string, learned bool) {
	for _, id := range parts {
		p := s.suspect(id, now)
		if !p.addEnd(End{of, now}) {
			continue
		}
		learned = true
		if s.evidence(p) > 0 {
			held = append(held, id)
		}
	}
	return held, learned
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

// forget removes the parts that were not implicated for long, and the one implicated first
// if there are too many.
func (s *Suspects) forget(now time.Time) {
	maps.DeleteFunc(s.parts, func(_ string, p *suspect) bool { return now.Sub(p.lastEnd().At) > s.forgetTime(p) })
	if len(s.parts) >= maxSuspects {
		ids := s.sorted()
		delete(s.parts, ids[len(ids)-1])
	}
}

// forgetTime returns the time after its last end for which a part is known.
func (s *Suspects) forgetTime(p *suspect) time.Duration {
	evidence := s.evidence(p)
	if _, whole := s.subject.(WholeRequests); whole {
		switch {
		case evidence > 0:
			return max(2*holdTime(evidence), maxHold)
		case p.lastEnd().At.After(p.provenAt):
			return singleEndTime
		}
	}
	if evidence > 0 {
		return max(2*holdTime(evidence), minForgetTime)
	}
	return clearedTime
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
