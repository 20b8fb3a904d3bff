package service

import (
	"net/netip"
	"time"

	"bramleydeal/internal/world/fleet"
)

// Upstream is a back end as it registered itself.
type Upstream struct {
	// ID names one incarnation, unless the upstream came back under it: then Born
	// tells the incarnations apart.
	ID            string
	StartedAt     time.Time
	Service       string
	Address       netip.AddrPort
	FailureDomain fleet.FailureDomain
	Slots         int
	// Leaving upstreams take no new work.
	Leaving bool
	// Lapsed upstreams are missing from the list and may have gone.
	Lapsed bool
	// ColdFor is how long the upstream stays slow after its start.
	ColdFor time.Duration
	// Membership is nil for an upstream that belongs to no group.
	Membership *Membership
}

// Membership is an upstream's place in a group that steps together.
type Membership struct {
	Group string
	// Epoch rises whenever the group forms anew.
	Epoch uint64
	Rank  int
	Size  int
	// Broken groups run nothing until they form anew.
	Broken bool
}

// Incarnation identifies one run of an upstream.
type Incarnation struct {
	ID        string
	StartedAt time.Time
}

// Incarnation returns the incarnation that the entry speaks of.
func (u *Upstream) Incarnation() Incarnation { return Incarnation{u.ID, u.StartedAt} }
