package upstream

import (
	"slices"
	"time"
)

// SuspectNews is what a process tells its peers of a part.
type SuspectNews struct {
	Part string
	Ends []End
	// ProvenAt is zero if the process knows of no request with the part that made
	// progress.
	ProvenAt time.Time
}

// News returns what is known of implicated parts at now. Parts that nothing speaks against are
// news for clearedTime only: the peers have been told by then.
func (s *Suspects) News(now time.Time) []SuspectNews {
	s.forget(now)
	var out []SuspectNews
	for _, id := range s.sorted() {
		p := s.parts[id]
		if len(out) == maxSuspectNews {
			break
		}
		if s.evidence(p) > 0 || now.Sub(p.lastEnd().At) <= clearedTime {
			out = append(out, SuspectNews{id, slices.Clone(p.ends), p.provenAt})
		}
	}
	return out
}

// SuspectChange is what news of a part changed.
type SuspectChange struct {
	// Learned is true if an end was not known.
	Learned bool
	// Held and Cleared say whether requests with the part are held back because of the news, or
	// no longer.
	Held, Cleared bool
}

// RecordNews records what a peer knows of a part.
func (s *Suspects) RecordNews(n SuspectNews, now time.Time) (c SuspectChange) {
	if len(n.Ends) == 0 {
		return c
	}
	p := s.suspect(n.Part, now)
	before := s.evidence(p)
	for _, e := range n.Ends {
		c.Learned = p.addEnd(e) || c.Learned
	}
	if n.ProvenAt.After(p.provenAt) {
		p.provenAt = n.ProvenAt
		s.proven.record(n.Part, n.ProvenAt)
	}
	after := s.evidence(p)
	c.Held, c.Cleared = after > before, before > 0 && after == 0
	return c
}

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
