package upstream

import (
	"slices"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// ServesRegions reports whether the named service has no upstreams at all, or one that is not
// leaving and is in a region of each of the sets.
func (p *Pools) ServesRegions(name string, sets [][]fleet.Region) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forService(name).pool.ServesRegions(sets)
}

// logUnknownRegions logs once each failure domain that has upstreams and no known region while
// a route or client account requires one. p.mu must be held.
func (p *Pools) logUnknownRegions(v *service.View) {
	if !requiresRegions(v.Configuration) {
		return
	}
	for _, u := range v.Upstreams {
		if p.config.Pool.Regions[u.FailureDomain] == "" && !p.withoutRegion[u.FailureDomain] {
			p.withoutRegion[u.FailureDomain] = true
			p.log.Info("the region of a failure domain is unknown; its upstreams get no requests that require a region", "failure-domain", u.FailureDomain, "upstream", u.ID)
		}
	}
}

// requiresRegions reports whether a route or client account of c names regions.
func requiresRegions(c *service.Configuration) bool {
	return c != nil && (slices.ContainsFunc(c.Routes, func(r service.Route) bool { return len(r.Regions) > 0 }) ||
		slices.ContainsFunc(c.Accounts, func(a service.Account) bool { return len(a.Regions) > 0 }))
}
