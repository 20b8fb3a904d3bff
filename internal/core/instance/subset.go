// Package instance decides which instances communicate with each other: the entries that
// watch the platform, the peers to compare settings with, the candidates for a lease, the
// successors of a draining agent, and the subset of agents that an entry listens to. Every
// choice is a pure function of the instance list, so it needs no coordination.
package instance

import (
	"cmp"
	"slices"

	"bramleydeal/internal/world/fleet"
	"github.com/cespare/xxhash/v2"
)

// SortByHash returns the instances in descending order of the hash of their name and key
// (rendezvous hashing). Adding or removing an instance does not change the order of the
// others.
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

// Watchers returns the entries of a failure domain that hold a watch on the platform, at
// most count of them. Draining entries are not among them.
func Watchers(instances []fleet.Instance, domain fleet.FailureDomain, count int) []fleet.Instance {
	entries := Filter(instances, func(i fleet.Instance) bool {
		return i.Role == fleet.EntryRole && i.FailureDomain == domain && !i.Leaving
	})
	return firstN(SortByHash(entries, "watch"), count)
}

// IsWatcher reports whether the instance named self is a watcher of a failure domain.
func IsWatcher(instances []fleet.Instance, self string, domain fleet.FailureDomain, count int) bool {
	return slices.ContainsFunc(Watchers(instances, domain, count), func(i fleet.Instance) bool { return i.Name == self })
}

// Senders returns the entries that may send requests to an upstream that limits them, at
// most count of them: entries of its failure domain first, which reach it if any do.
// Draining entries are not among them.
func Senders(instances []fleet.Instance, upstream string, domain fleet.FailureDomain, count int) []fleet.Instance {
	entries := Filter(instances, func(i fleet.Instance) bool { return i.Role == fleet.EntryRole && !i.Leaving })
	local := Filter(entries, func(i fleet.Instance) bool { return i.FailureDomain == domain })
	remote := Filter(entries, func(i fleet.Instance) bool { return i.FailureDomain != domain })
	return firstN(append(SortByHash(local, upstream), SortByHash(remote, upstream)...), count)
}

// maxContenders is the number of entries that contend for the lease of a leader task. It
// is fixed so that the number of calls to the platform does not grow with the number of
// entries.
const maxContenders = 3

// ContendsForLease reports whether the entry named self is one of those that contend for
// the lease of a leader task, that is, a job that only the holder of the lease performs.
func ContendsForLease(instances []fleet.Instance, self, task string) bool {
	entries := Filter(instances, func(i fleet.Instance) bool { return i.Role == fleet.EntryRole && !i.Leaving })
	return slices.ContainsFunc(firstN(SortByHash(entries, task), maxContenders), func(i fleet.Instance) bool { return i.Name == self })
}

// Successors returns the agents that may adopt a ledger term of a draining agent, in the
// order in which they are asked. Entries compute the same order to find the agent that
// adopted the term.
func Successors(agents []fleet.Instance, draining, term string) []fleet.Instance {
	return SortByHash(Filter(agents, func(i fleet.Instance) bool { return i.Name != draining && !i.Leaving }), term)
}

// The number of peers that a process compares settings with.
const (
	// LocalPeers is the maximum number of peers in the process's own failure domain.
	LocalPeers = 3
	// RemotePeers is the maximum number of peers in other failure domains.
	RemotePeers = 2
)

// Peers returns the entries that the process named self compares settings with: some in
// its own failure domain and some in others, so that a network partition within or between
// failure domains leaves a path for updates.
func Peers(instances []fleet.Instance, self string, domain fleet.FailureDomain) []fleet.Instance {
	entries := Filter(instances, func(i fleet.Instance) bool {
		return i.Role == fleet.EntryRole && i.Name != self
	})
	local := SortByHash(Filter(entries, func(i fleet.Instance) bool { return i.FailureDomain == domain }), self)
	remote := SortByHash(Filter(entries, func(i fleet.Instance) bool { return i.FailureDomain != domain }), self)
	return append(firstN(local, LocalPeers), firstN(remote, RemotePeers)...)
}

// Subset returns the agents of one service or group that the entry named self listens to.
// These are all agents if there are at most size, else size agents in the order of
// SortByHash: up to three quarters from the entry's own failure domain, the rest from
// others. If others have too few, more of its own are added.
func Subset(agents []fleet.Instance, self string, domain fleet.FailureDomain, size int) []fleet.Instance {
	if len(agents) <= size {
		return agents
	}
	local := SortByHash(Filter(agents, func(i fleet.Instance) bool { return i.FailureDomain == domain }), self)
	remote := SortByHash(Filter(agents, func(i fleet.Instance) bool { return i.FailureDomain != domain }), self)
	subset := slices.Clone(firstN(local, size*3/4))
	subset = append(subset, firstN(remote, size-len(subset))...)
	return append(subset, firstN(local[min(len(local), size*3/4):], size-len(subset))...)
}

// firstN returns the first n instances, or all if there are fewer.
func firstN(instances []fleet.Instance, n int) []fleet.Instance {
	return instances[:min(max(n, 0), len(instances))]
}
