package service

import (
	"net"
	"slices"
	"strings"

	"bramleydeal/internal/world/fleet"
)

// View is an immutable view of the configuration and the upstreams, with indexes. A
// process serves requests according to its current View.
type View struct {
	// Configuration is nil until the first configuration has been read.
	Configuration *Configuration
	// Upstreams holds the upstreams that may be used, by ID.
	Upstreams map[string]Upstream
	// UpstreamsKnown tells whether the upstreams have been listed at least once.
	UpstreamsKnown bool
	// Evacuated holds the failure domains whose upstreams must get no requests.
	Evacuated map[fleet.FailureDomain]bool

	routesByHost  map[string][]*Route
	accountsByKey map[string]*Account
	// urgencies are the levels of urgency of requests, the most urgent first.
	urgencies []Urgency
}

// NewView returns a view of a configuration, which may be nil, and of the upstreams by
// ID.
func NewView(c *Configuration, upstreams map[string]Upstream, upstreamsKnown bool) *View {
	v := &View{Configuration: c, Upstreams: upstreams, UpstreamsKnown: upstreamsKnown, routesByHost: map[string][]*Route{}, accountsByKey: map[string]*Account{}}
	if c == nil {
		return v
	}
	v.urgencies = urgencies(c)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		v.routesByHost[host] = append(v.routesByHost[host], r)
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			if k != "" { // a request without a key is nobody's
				v.accountsByKey[k] = &c.Accounts[i]
			}
		}
	}
	return v
}

// WithUpstreams returns a view with the same configuration and other upstreams, by ID.
func (v *View) WithUpstreams(upstreams map[string]Upstream) *View {
	next := *v
	next.Upstreams, next.UpstreamsKnown = upstreams, true
	return &next
}

// WithEvacuated returns a view with the same configuration and upstreams and other evacuated
// failure domains.
func (v *View) WithEvacuated(domains map[fleet.FailureDomain]bool) *View {
	next := *v
	next.Evacuated = domains
	return &next
}

// Route returns the route with the longest matching prefix for a host and path, and
// false if there is none. The host may include a port, which is ignored, and is compared
// without regard to case.
func (v *View) Route(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Route
	for _, r := range v.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Account returns the client account that an API key belongs to.
func (v *View) Account(key string) (*Account, bool) {
	a, ok := v.accountsByKey[key]
	return a, ok
}

// Authorize returns the client account of a request to a route with an API key, nil if the key
// belongs to none, and whether the route serves the request. A key names its account on public
// routes too, which serve requests without one. All routes do if the configuration has no client
// accounts.
func (v *View) Authorize(r *Route, key string) (account *Account, ok bool) {
	if a, found := v.Account(key); found {
		return a, true
	}
	return nil, r.Public || v.Configuration == nil || len(v.Configuration.Accounts) == 0
}

// LeadsTo reports whether the named service is a target of the route.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// PickService returns the name of the service for one request, chosen at random in
// proportion to the weights of the route's targets. draw is a uniform random number in
// [0, 1). The route must have a target.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * total
	for _, t := range r.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
