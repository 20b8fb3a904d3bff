// Package instance owns the decisions about which instances know of each
// other: watch holders, peers to compare settings with, and the subset of
// agents that an entry listens to. Every choice is a pure function of the
// instance list, so that no agreement is needed.
package instance

import (
	"cmp"
	"slices"

	"bramleydeal/internal/world/fleet"
	"github.com/cespare/xxhash/v2"
)

// Rank orders instances by the hash of their name together with key, highest
// first. Removing an instance moves no other (rendezvous hashing).
func SortByHash(instances []fleet.Instance, key string) []fleet.Instance {
	out := slices.Clone(instances)
	score := func(i fleet.Instance) uint64 { return xxhash.Sum64String(i.Name + "\x00" + key) }
	slices.SortFunc(out, func(a, b fleet.Instance) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// Filter returns the instances for which keep reports true.
func Filter(instances []fleet.Instance, keep func(fleet.Instance) bool) []fleet.Instance {
	var out []fleet.Instance
	for _, i := range instances {
		if keep(i) {
			out = append(out, i)
		}
	}
	return out
}

// Watchers returns the count entries of a failure domain that hold a watch on
// the platform.
func Watchers(instances []fleet.Instance, domain fleet.FailureDomain, count int) []fleet.Instance {
	entries := Filter(instances, func(i fleet.Instance) bool {
		return i.Role == fleet.EntryRole && i.FailureDomain == domain && !i.Leaving
	})
	return firstN(SortByHash(entries, "watch"), count)
}

// IsWatcher tells whether self is one of a failure domain's watchers.
func IsWatcher(instances []fleet.Instance, self string, domain fleet.FailureDomain, count int) bool {
	return slices.ContainsFunc(Watchers(instances, domain, count), func(i fleet.Instance) bool { return i.Name == self })
}

// contenders is the number of entries that contend for the lease of a duty, so
// that the platform's calls do not grow with the fleet.
const maxContenders = 3

// Contends tells whether self is one of the entries that contend for the lease
// of a duty.
func ContendsForLease(instances []fleet.Instance, self, duty string) bool {
	entries := Filter(instances, func(i fleet.Instance) bool { return i.Role == fleet.EntryRole && !i.Leaving })
	return slices.ContainsFunc(firstN(SortByHash(entries, duty), maxContenders), func(i fleet.Instance) bool { return i.Name == self })
}

// Successors returns the agents that may adopt a term of a leaving one, in the
// order in which they are asked. Entries compute the same order to find a term
// again.
func Successors(agents []fleet.Instance, leaving, term string) []fleet.Instance {
	return SortByHash(Filter(agents, func(i fleet.Instance) bool { return i.Name != leaving && !i.Leaving }), term)
}

// Numbers of peers that a process compares settings with.
const (
	// LocalPeers are in the process's own failure domain.
	LocalPeers = 3
	// RemotePeers are in other failure domains.
	RemotePeers = 2
)

// Peers returns the entries that self compares settings with: a few of its own
// failure domain and a few of others, so that a cut of either kind leaves a
// path.
func Peers(instances []fleet.Instance, self string, domain fleet.FailureDomain) []fleet.Instance {
	entries := Filter(instances, func(i fleet.Instance) bool {
		return i.Role == fleet.EntryRole && i.Name != self
	})
	local := SortByHash(Filter(entries, func(i fleet.Instance) bool { return i.FailureDomain == domain }), self)
	remote := SortByHash(Filter(entries, func(i fleet.Instance) bool { return i.FailureDomain != domain }), self)
	return append(firstN(local, LocalPeers), firstN(remote, RemotePeers)...)
}

// Subset returns the agents of one service or group that an entry listens to:
// all of them while they are few, else the first ones by hash, those of the
// entry's own failure domain before the others but never all of them alone.
func Subset(agents []fleet.Instance, self string, domain fleet.FailureDomain, size int) []fleet.Instance {
	if len(agents) <= size {
		return agents
	}
	local := SortByHash(Filter(agents, func(i fleet.Instance) bool { return i.FailureDomain == domain }), self)
	remote := SortByHash(Filter(agents, func(i fleet.Instance) bool { return i.FailureDomain != domain }), self)
	chosen := slices.Clone(firstN(local, size*3/4))
	chosen = append(chosen, firstN(remote, size-len(chosen))...)
	return append(chosen, firstN(local[min(len(local), size*3/4):], size-len(chosen))...)
}

func firstN(instances []fleet.Instance, n int) []fleet.Instance {
	return instances[:min(max(n, 0), len(instances))]
}
