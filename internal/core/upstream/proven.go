package upstream

import "time"

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
