package client

import (
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// newestView returns the view with the newest configuration, or that of the request's arrival if
// there is none that is confirmed after a suspension.
func (f *forwarding) newestView() *service.View {
	if view := f.handler.view(); view.Configuration != nil {
		return view
	}
	return f.view
}

// updateAccount makes the client account that holds the request's key in the newest configuration
// that of the next attempt. If none holds it any more, the request keeps its account.
func (f *forwarding) updateAccount() {
	if a, ok := f.newestView().Account(f.info.APIKey); ok {
		f.account = a
	}
}

// regions returns the sets of regions whose upstreams may be sent the request now: those of its
// route in the newest configuration, so that a change binds the next attempt, and those of its
// client account. A route that has gone from the configuration keeps the regions that it had on
// arrival. It returns nil if there are none.
func (f *forwarding) regions() [][]fleet.Region {
	route, account := f.route, f.account
	if r, ok := f.newestView().Route(f.request.Host, f.request.URL.Path); ok {
		route = r
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
