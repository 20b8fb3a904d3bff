package upstream

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// window returns count of the members for the process at a position among peers. The members
// form a ring in the order of the hash of their IDs, on which the windows of all processes begin
// at equal distances. So each member is in about the same number of windows, neighbours share
// only some members, and the windows move little if a process comes or goes.
func window(members []*member, position, peers, count int) []*member {
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b *member) int { return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), cmp.Compare(a.ID, b.ID)) })
	start := position * len(ring) / peers
	out := append(ring[start:], ring[:start]...)
	return out[:min(count, len(out))]
}

// ringHash returns the position of an upstream on the ring.
func ringHash(id string) uint64 { return xxhash.Sum64String(id) }
