package service

import (
	"net"
	"strings"
)

// View is the immutable picture that one process works by: the configuration and
// the upstreams, with indexes over them.
type View struct {
	// Configuration is nil until a configuration is known.
	Configuration *Configuration
	// Upstreams are all that may be used, by ID.
	Upstreams map[string]Upstream
	// Listed tells whether the upstreams were ever listed.
	UpstreamsKnown bool

	hosts map[string][]*Route
	keys  map[string]*Account
}

// NewView indexes a configuration, which may be nil.
func NewView(d *Configuration, upstreams map[string]Upstream, listed bool) *View {
	v := &View{Configuration: d, Upstreams: upstreams, UpstreamsKnown: listed, hosts: map[string][]*Route{}, keys: map[string]*Account{}}
	if d == nil {
		return v
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		v.hosts[host] = append(v.hosts[host], r)
	}
	for i := range d.Accounts {
		for _, k := range d.Accounts[i].Keys {
			v.keys[k] = &d.Accounts[i]
		}
	}
	return v
}

// WithUpstreams returns the view with other upstreams and the same configuration.
func (v *View) WithUpstreams(upstreams map[string]Upstream) *View {
	next := *v
	next.Upstreams, next.UpstreamsKnown = upstreams, true
	return &next
}

// Route returns the route of a host and path, the one with the longest prefix.
// The host may have a port.
func (v *View) Route(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Route
	for _, r := range v.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Account returns the client account that holds a key.
func (v *View) Account(key string) (*Account, bool) {
	a, ok := v.keys[key]
	return a, ok
}

// AsksForKeys tells whether routes that are not public ask for a key.
func (v *View) RequiresKeys() bool {
	return v.Configuration != nil && len(v.Configuration.Accounts) > 0
}

// Pick returns the service for one request, by the weights of the route's
// targets; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := draw * total
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
