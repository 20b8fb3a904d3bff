package upstream

import (
	"slices"
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// poolGroup is a group of upstreams (ranks) that compute each step together, so a
// failure of one stalls all of them.
type poolGroup struct {
	health health
	size   int
	// listing is the state of the group in the latest list.
	listing groupListing
	// broken is set while the list marks the group as broken and no response of
	// the group has arrived since.
	broken bool
	// outstanding is the sum over the group's members.
	outstanding int
	// stalledAt is when the group was last found to be stalled.
	stalledAt time.Time
}

// groupListing is the state of a group according to the list, in its newest epoch.
type groupListing struct {
	epoch uint64
	// broken is set if at least one rank marks the group as broken.
	broken bool
}

// groupFor returns the group of a membership, or nil without a membership. A group
// that is not yet in groups is added to it, with its state from before if it has one.
func (p *Pool) groupFor(groups map[string]*poolGroup, m *service.Membership) *poolGroup {
	if m == nil {
		return nil
	}
	g := groups[m.Group]
	if g == nil {
		g = p.groups[m.Group]
		if g == nil {
			g = &poolGroup{}
		}
		g.outstanding, g.size = 0, max(m.Size, 1)
		groups[m.Group] = g
	}
	return g
}

// groupListings returns the state of each group according to the list.
func groupListings(upstreams []service.Upstream) map[string]groupListing {
	out := map[string]groupListing{}
	for _, u := range upstreams {
		m := u.Membership
		if m == nil {
			continue
		}
		l := out[m.Group]
		switch {
		case m.Epoch > l.epoch:
			l = groupListing{m.Epoch, m.Broken}
		case m.Epoch == l.epoch:
			l.broken = l.broken || m.Broken
		}
		out[m.Group] = l
	}
	return out
}

// updateListing records the group's state according to the latest list. A group that
// is newly marked as broken counts as stalled; one that re-formed or is no longer
// marked as broken starts with a clean health record.
func (g *poolGroup) updateListing(l groupListing, now time.Time) {
	previous := g.listing
	g.listing = l
	switch {
	case l.epoch == previous.epoch && l.broken == previous.broken:
	case l.broken:
		g.broken = true
		g.recordStall(now)
	default:
		g.broken, g.health = false, health{}
	}
}

// load returns the group's outstanding requests per rank.
func (g *poolGroup) load() float64 { return float64(g.outstanding) / float64(g.size) }

// recordStall ejects a stalled group until its next probe. It does nothing if g is nil.
func (g *poolGroup) recordStall(now time.Time) {
	if g == nil {
		return
	}
	interval := groupProbeInterval
	if g.broken {
		interval = brokenGroupProbeInterval
	}
	g.stalledAt = now
	g.health.ejections = 0 // keeps the interval from doubling with each failed probe
	g.health.eject(interval, now)
}

// maxEndAge is the age up to which the end of an upstream says something of its group.
// Groups re-form within some seconds.
const maxEndAge = 2 * time.Second

// RecordEnd records that an upstream has ended at now without notice. It reports whether
// that was not known.
func (p *Pool) RecordEnd(of service.Incarnation, now time.Time) bool {
	m := p.incarnation(of)
	return m != nil && p.recordEnd(m, now, now)
}

// recordEnd ejects an upstream that has ended. Its group runs nothing until it re-forms.
func (p *Pool) recordEnd(m *member, at, now time.Time) bool {
	if !m.endedAt.IsZero() {
		return false
	}
	m.endedAt = at
	p.recordAway(m, now)
	if now.Sub(at) < maxEndAge {
		m.health.eject(p.config.EjectionTime, now)
		if m.group != nil && !m.leaving() {
			m.group.broken = true
			m.group.recordStall(now)
			p.trackOutage(now)
		}
	}
	return true
}

// Membership returns the membership of an upstream in a group, nil if it has none or is not in
// the pool.
func (p *Pool) Membership(of service.Incarnation) *service.Membership {
	if m := p.incarnation(of); m != nil {
		return m.Upstream.Membership
	}
	return nil
}

// Alternative reports whether a request at an upstream of a group may be sent to a healthy
// upstream outside it, in a region of each of the sets.
func (p *Pool) Alternative(group string, now time.Time, regions ...[]fleet.Region) bool {
	return slices.ContainsFunc(p.members, func(m *member) bool {
		return (m.Membership == nil || m.Membership.Group != group) && p.eligibility(m, PoolQuery{Regions: regions}, now) <= lapsed
	})
}
