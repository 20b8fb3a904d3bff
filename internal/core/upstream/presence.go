package upstream

import (
	"maps"
	"net/netip"
	"time"

	"bramleydeal/internal/world/service"
)

// Presence decides which upstreams of a lagging list may be used. An entry that
// is removed says that its upstream leaves without notice, unless the list itself
// lost it: entries lapse while their store is away and come back soon after.
type Presence struct {
	rules PresenceConfig
	// listed are the entries of the list, lapsed those that it lost.
	listed map[string]service.Upstream
	lapsed map[string]lapse
}

// PresenceRules are the times of a Presence.
type PresenceConfig struct {
	// Linger is how long a removed upstream may still be used while there is no
	// sign that the list is at fault. It is shorter than the time within which a
	// leaving upstream must get no more work.
	RemovalGrace time.Duration
	// Return is how long after the store's return lapsed entries may take to
	// come back.
	RecoveryGrace time.Duration
}

// lapse is an entry that the list no longer has.
type lapse struct {
	upstream service.Upstream
	until    time.Time
}

// NewPresence returns a presence without upstreams.
func NewPresence(r PresenceConfig) *Presence {
	return &Presence{rules: r, listed: map[string]service.Upstream{}, lapsed: map[string]lapse{}}
}

// Listed takes in the whole list at now. away is the time since the store
// answered again after it was away, or a negative one if it was not.
func (p *Presence) UpdateList(list map[string]service.Upstream, away time.Duration, now time.Time) {
	lost := 0
	for id := range p.listed {
		if _, ok := list[id]; !ok {
			lost++
		}
	}
	// Many upstreams that go at once were lost by the list.
	until := now.Add(p.rules.RemovalGrace)
	if many := lost > 1 && 2*lost > len(p.listed); many || away >= 0 && away < p.rules.RecoveryGrace {
		until = now.Add(p.rules.RecoveryGrace - max(away, 0))
	}
	for id, u := range p.listed {
		if _, ok := list[id]; !ok && !u.Leaving {
			p.lapsed[id] = lapse{u, until}
		}
	}
	for id := range list {
		delete(p.lapsed, id)
	}
	p.listed = withoutPredecessors(list)
}

// withoutPredecessors leaves out upstreams whose address a later one has taken:
// the list keeps one that ended without notice for a while.
func withoutPredecessors(list map[string]service.Upstream) map[string]service.Upstream {
	latest := make(map[netip.AddrPort]service.Upstream, len(list))
	for _, u := range list {
		if o, taken := latest[u.Address]; !taken || u.StartedAt.After(o.StartedAt) || u.StartedAt.Equal(o.StartedAt) && u.ID < o.ID {
			latest[u.Address] = u
		}
	}
	out := make(map[string]service.Upstream, len(latest))
	for _, u := range latest {
		out[u.ID] = u
	}
	return out
}

// Usable returns the upstreams that may be used at now, and when that changes
// next by time alone; the zero time says never.
func (p *Presence) Usable(now time.Time) (map[string]service.Upstream, time.Time) {
	out := maps.Clone(p.listed)
	var next time.Time
	for id, l := range p.lapsed {
		if !now.Before(l.until) {
			delete(p.lapsed, id)
			continue
		}
		if p.readdressed(l.upstream) {
			continue
		}
		u := l.upstream
		u.Lapsed = true
		out[id] = u
		if next.IsZero() || l.until.Before(next) {
			next = l.until
		}
	}
	return out, next
}

// readdressed tells whether another listed upstream has the address by now.
func (p *Presence) readdressed(u service.Upstream) bool {
	for _, o := range p.listed {
		if o.Address == u.Address {
			return true
		}
	}
	return false
}
