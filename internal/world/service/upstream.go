package service

import (
	"net/netip"
	"time"

	"bramleydeal/internal/world/fleet"
)

// Upstream is a server that runs requests, as it registered itself.
type Upstream struct {
	// ID identifies the upstream. A restarted upstream may register under its previous
	// ID; StartedAt then distinguishes the incarnations.
	ID            string
	StartedAt     time.Time
	Service       string
	Address       netip.AddrPort
	FailureDomain fleet.FailureDomain
	Slots         int
	// Leaving means that the upstream is draining and accepts no new requests.
	Leaving bool
	// Lapsed means that the upstream is missing from the list of upstreams, so that it
	// may have stopped.
	Lapsed bool
	// ColdFor is how long the upstream remained cold when it wrote its registration, 0 if
	// it was not cold.
	ColdFor time.Duration
	// Membership is nil for an upstream that belongs to no group.
	Membership *Membership
}

// Membership is an upstream's position in an expert-parallel group, whose members run
// every step of the model together.
type Membership struct {
	Group string
	// Epoch increases whenever the group re-forms.
	Epoch uint64
	// Rank is the upstream's number in the group, from 0 to Size-1.
	Rank int
	Size int
	// Broken means that the group runs nothing until it re-forms.
	Broken bool
}

// Incarnation identifies one run of an upstream's process.
type Incarnation struct {
	ID        string
	StartedAt time.Time
}

// Incarnation returns the identity of the run that registered u.
func (u *Upstream) Incarnation() Incarnation { return Incarnation{u.ID, u.StartedAt} }

// Equal reports whether i and o identify the same run.
func (i Incarnation) Equal(o Incarnation) bool { return i.ID == o.ID && i.StartedAt.Equal(o.StartedAt) }
