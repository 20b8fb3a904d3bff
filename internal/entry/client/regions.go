package client

import "bramleydeal/internal/world/fleet"

// regions returns the sets of regions whose upstreams may be sent the request now: those of its
// route and of its client account in the newest configuration, so that a change binds the next
// attempt. What has gone from the configuration keeps the regions that it had on arrival. The
// account of a key binds on public routes too. It returns nil if there are none.
func (f *forwarding) regions() [][]fleet.Region {
	route, account := f.route, f.account
	view := f.handler.view()
	if view.Configuration == nil {
		view = f.view // not confirmed after a suspension
	}
	if r, ok := view.Route(f.request.Host, f.request.URL.Path); ok {
		route = r
	}
	if a, ok := view.Account(f.info.APIKey); ok {
		account = a
	}
	var sets [][]fleet.Region
	if len(route.Regions) > 0 {
		sets = append(sets, route.Regions)
	}
	if account != nil && len(account.Regions) > 0 {
		sets = append(sets, account.Regions)
	}
	return sets
}
