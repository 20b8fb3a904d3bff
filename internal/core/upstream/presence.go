package upstream

import (
	"maps"
	"net/netip"
	"time"

	"bramleydeal/internal/world/service"
)

// Presence decides which upstreams may be used, given a list of them that can lag or
// be incomplete. A removal from the list usually means that the upstream left without
// notice. But upstreams also lapse from the list while its store is unavailable, since
// they cannot renew their registration, and return soon after. A removed upstream
// therefore counts as lapsed, and may be used, for a grace period.
type Presence struct {
	config PresenceConfig
	// listed holds the upstreams of the latest list by ID, lapsed those that were
	// removed from it and are within their grace period.
	listed map[string]service.Upstream
	lapsed map[string]lapsedUpstream
	// leaving holds the upstreams that were listed as leaving, with the time of the last
	// list that had them.
	leaving map[service.Incarnation]time.Time
	// gone holds the upstreams that left the list without notice, with the time of that, doubted
	// those of them that an older copy of the list may still have, until when they must not be used.
	gone, doubted map[service.Incarnation]time.Time
}

// PresenceConfig holds the grace periods of a Presence.
type PresenceConfig struct {
	// RemovalGrace is how long a removed upstream may still be used if nothing
	// suggests that the list is incomplete. It must be shorter than the time within
	// which a leaving upstream must stop getting work.
	RemovalGrace time.Duration
	// RecoveryGrace is how long lapsed upstreams may take to register again after
	// the store is available again.
	RecoveryGrace time.Duration
}

// lapsedUpstream is an upstream that was removed from the list and may be used until a
// point in time.
type lapsedUpstream struct {
	upstream service.Upstream
	until    time.Time
}

// NewPresence returns a Presence without upstreams.
func NewPresence(config PresenceConfig) *Presence {
	return &Presence{
		config: config, listed: map[string]service.Upstream{}, lapsed: map[string]lapsedUpstream{}, leaving: map[service.Incarnation]time.Time{},
		gone: map[service.Incarnation]time.Time{}, doubted: map[service.Incarnation]time.Time{},
	}
}

// UpdateList replaces the list, which was read at now. sinceRecovery is the time since
// the store became available again after an outage, negative if there was none.
func (p *Presence) UpdateList(list map[string]service.Upstream, sinceRecovery time.Duration, now time.Time) {
	list = p.keepLeaving(list, now)
	removed := 0
	for id := range p.listed {
		if _, ok := list[id]; !ok {
			removed++
		}
	}
	// If two or more upstreams, and more than half of all, disappear at once, the list is
	// assumed to be incomplete.
	until, incomplete := now.Add(p.config.RemovalGrace), false
	if many := removed > 1 && 2*removed > len(p.listed); many || sinceRecovery >= 0 && sinceRecovery < p.config.RecoveryGrace {
		until, incomplete = now.Add(p.config.RecoveryGrace-max(sinceRecovery, 0)), true
	}
	forget(p.gone, now)
	maps.DeleteFunc(p.doubted, func(_ service.Incarnation, until time.Time) bool { return !now.Before(until) })
	for id, u := range p.listed {
		if _, ok := list[id]; ok || u.Leaving {
			continue
		}
		doubted := p.isDoubted(u, now)
		if !doubted {
			p.lapsed[id] = lapsedUpstream{u, until}
		}
		if doubted || !incomplete {
			p.gone[u.Incarnation()] = now
		}
	}
	for id, u := range list {
		delete(p.lapsed, id)
		delete(p.gone, u.Incarnation())
	}
	p.listed = latestByAddress(list)
}

// leavingMemory is the time for which an upstream that was listed as leaving, or was removed from the
// list, is known as such after the last list that had it.
const leavingMemory = 10 * time.Minute

// doubtTime is the time for which an upstream that was gone is not used after its store came back
// from an older copy. The store drops those that do not write to it after several heartbeats.
const doubtTime = 10 * time.Second

// DoubtGone tells that the next list may be that of a store that came back from an older copy: the
// upstreams that are gone may be in it and are not used before the store had time to drop them.
func (p *Presence) DoubtGone(now time.Time) {
	for i := range p.gone {
		p.doubted[i] = now.Add(doubtTime)
	}
}

// isDoubted reports whether an upstream was gone before the store came back from an older copy, and
// may be listed only because of that.
func (p *Presence) isDoubted(u service.Upstream, now time.Time) bool {
	return now.Before(p.doubted[u.Incarnation()])
}

// forget deletes what was known for longer than leavingMemory.
func forget(since map[service.Incarnation]time.Time, now time.Time) {
	maps.DeleteFunc(since, func(_ service.Incarnation, at time.Time) bool { return now.Sub(at) > leavingMemory })
}

// keepLeaving returns list with Leaving set for the upstreams that were listed as leaving
// before: a store that came back from an older copy lists them as they were then.
func (p *Presence) keepLeaving(list map[string]service.Upstream, now time.Time) map[string]service.Upstream {
	forget(p.leaving, now)
	out := maps.Clone(list)
	for id, u := range list {
		if _, known := p.leaving[u.Incarnation()]; known || u.Leaving {
			p.leaving[u.Incarnation()] = now
			u.Leaving = true
			out[id] = u
		}
	}
	return out
}

// latestByAddress returns the upstreams of list without those whose address a later one
// has taken over: the list keeps an upstream that stopped without notice for a while.
func latestByAddress(list map[string]service.Upstream) map[string]service.Upstream {
	latest := make(map[netip.AddrPort]service.Upstream, len(list))
	for _, u := range list {
		if o, found := latest[u.Address]; !found || u.StartedAt.After(o.StartedAt) || u.StartedAt.Equal(o.StartedAt) && u.ID < o.ID {
			latest[u.Address] = u
		}
	}
	out := make(map[string]service.Upstream, len(latest))
	for _, u := range latest {
		out[u.ID] = u
	}
	return out
}

// Usable returns the upstreams that may be used at now by ID, with Lapsed set for
// those that are not in the list, and the time at which the next grace period ends,
// zero if there is none.
func (p *Presence) Usable(now time.Time) (map[string]service.Upstream, time.Time) {
	out := maps.Clone(p.listed)
	var next time.Time
	for id, u := range p.listed {
		if !p.isDoubted(u, now) {
			continue
		}
		delete(out, id)
		if until := p.doubted[u.Incarnation()]; next.IsZero() || until.Before(next) {
			next = until
		}
	}
	for id, l := range p.lapsed {
		if !now.Before(l.until) {
			delete(p.lapsed, id)
			continue
		}
		if p.addressReused(l.upstream) {
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

// addressReused reports whether an upstream in the list has the address of u.
func (p *Presence) addressReused(u service.Upstream) bool {
	for _, o := range p.listed {
		if o.Address == u.Address {
			return true
		}
	}
	return false
}
