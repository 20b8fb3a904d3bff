package upstream

import (
	"slices"

	"bramleydeal/internal/world/fleet"
)

// inRegions reports whether a region is in each of the sets. An empty set allows all regions;
// an unknown region, which is empty, is in no other set.
func inRegions(region fleet.Region, sets [][]fleet.Region) bool {
	for _, set := range sets {
		if len(set) > 0 && (region == "" || !slices.Contains(set, region)) {
			return false
		}
	}
	return true
}

// ServesRegions reports whether the pool has an upstream that is not leaving and is in a region
// of each of the sets. It is true for an empty pool: there the regions are not what is missing.
func (p *Pool) ServesRegions(sets [][]fleet.Region) bool {
	return len(p.members) == 0 || slices.ContainsFunc(p.members, func(m *member) bool { return !m.leaving() && inRegions(m.region, sets) })
}
