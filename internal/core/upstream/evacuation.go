package upstream

import (
	"slices"
	"time"

	"bramleydeal/internal/world/fleet"
)

// Evacuations decides which failure domains are evacuated: those that the store lists, and
// for a time those that are missing only because the store came back from an older copy.
type Evacuations struct {
	// hold is how long an evacuation stays in force that an older copy of the store lacks.
	// Its operator writes it again, or means it to end.
	hold time.Duration
	// era is that of the latest list, 0 before the first one.
	era    uint64
	listed map[fleet.FailureDomain]bool
	// heldUntil holds the domains that the store's older copy lacks.
	heldUntil map[fleet.FailureDomain]time.Time
}

// NewEvacuations returns Evacuations without any domain.
func NewEvacuations(hold time.Duration) *Evacuations {
	return &Evacuations{hold: hold, heldUntil: map[fleet.FailureDomain]time.Time{}}
}

// UpdateList applies a new list of evacuated domains, which was current in an era of the
// store. Lists must be applied in order. It returns the domains that stay evacuated although
// the list lacks them, sorted, if it is the first one of its era.
func (e *Evacuations) UpdateList(listed map[fleet.FailureDomain]bool, era uint64, now time.Time) (held []fleet.FailureDomain) {
	if era > e.era {
		for d := range e.listed {
			if !listed[d] {
				held = append(held, d)
				e.heldUntil[d] = now.Add(e.hold)
			}
		}
	}
	for d := range listed {
		delete(e.heldUntil, d)
	}
	e.listed, e.era = listed, era
	slices.Sort(held)
	return held
}

// InForce returns the domains that are evacuated at now, and the time at which that changes
// without a new list, zero if it does not.
func (e *Evacuations) InForce(now time.Time) (map[fleet.FailureDomain]bool, time.Time) {
	out := map[fleet.FailureDomain]bool{}
	for d := range e.listed {
		out[d] = true
	}
	var next time.Time
	for d, until := range e.heldUntil {
		if !now.Before(until) {
			delete(e.heldUntil, d)
			continue
		}
		out[d] = true
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return out, next
}

// evacuated reports whether m must get no requests because its failure domain is evacuated.
func (p *Pool) evacuated(m *member) bool { return p.config.Evacuated[m.FailureDomain] }
