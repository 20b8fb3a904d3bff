// Package directory reads a deployment on a prepared platform for operators: the
// configuration, the upstreams, the instances and the evacuations that the store lists. It writes
// nothing, because the platform's own operators maintain the configuration.
package directory

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramleydeal/internal/process/directory"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/samber/oops"
)

// CodeNotFound is the code of errors about a path that is not in the configuration,
// or a configuration that is not in the store.
const CodeNotFound = "not-found"

// Deployment holds the objects that the store listed when Read was called.
type Deployment struct {
	View      *service.View
	Instances []fleet.Instance
	// Unreadable maps the names of objects that could not be decoded, such as
	// "upstreams/i-7", to the error messages.
	Unreadable map[string]string
}

// Read lists the objects of all kinds. It returns an error if the store does, and a
// not-found error if the store has no configuration that can be decoded. Other objects
// that cannot be decoded are reported as Unreadable.
func Read(ctx context.Context, s directory.Store, decoder directory.Decoder) (*Deployment, error) {
	d := &Deployment{Unreadable: map[string]string{}}
	var configuration *service.Configuration
	upstreams := map[string]service.Upstream{}
	evacuated := map[fleet.FailureDomain]bool{}
	for _, k := range []directory.Kind{directory.Configuration, directory.Upstreams, directory.Instances, directory.Evacuations} {
		u, err := s.List(ctx, k)
		if err != nil {
			return nil, oops.Wrapf(err, "list the store's %s", k)
		}
		for _, o := range u.Objects {
			var err error
			switch k {
			case directory.Configuration:
				configuration, err = decoder.Configuration(o.Value)
			case directory.Upstreams:
				var upstream service.Upstream
				if upstream, err = decoder.Upstream(o.Name, o.Value); err == nil {
					upstreams[upstream.ID] = upstream
				}
			case directory.Instances:
				var instance fleet.Instance
				if instance, err = fleet.ParseInstance(o.Value); err == nil {
					d.Instances = append(d.Instances, instance)
				}
			case directory.Evacuations:
				evacuated[fleet.FailureDomain(o.Name)] = true
			}
			if err != nil {
				d.Unreadable[string(k)+"/"+o.Name] = err.Error()
			}
		}
	}
	if configuration == nil {
		return nil, oops.Code(CodeNotFound).Errorf("the store has no configuration that can be decoded: %v", d.Unreadable)
	}
	d.View = service.NewView(configuration, upstreams, true).WithEvacuated(evacuated)
	return d, nil
}

// Setting is the effective value of a setting and its origin.
type Setting struct {
	Path  string `json:"path"`
	Name  string `json:"setting"`
	Value string `json:"value"`
	// From names the version of the configuration that sets the value, or is Default.
	From string `json:"from"`
}

// Default is the origin of values that the configuration does not set.
const Default = "default"

// Levels returns the paths that Explain accepts, sorted.
func (d *Deployment) Levels() []string {
	c := d.View.Configuration
	out := []string{limitsPath}
	for i := range c.Routes {
		out = append(out, routePrefix+c.Routes[i].Name)
	}
	for name := range c.Services {
		out = append(out, servicePrefix+name)
	}
	for i := range c.Accounts {
		out = append(out, accountPrefix+c.Accounts[i].Name)
	}
	slices.Sort(out)
	return out
}

// Paths, or prefixes of paths, of the parts of a configuration.
const (
	limitsPath    = "limits"
	routePrefix   = "route/"
	servicePrefix = "service/"
	accountPrefix = "client-account/"
)

// Explain returns the settings of one path, or a not-found error if the configuration
// has no such part. The settings contain no secrets: of an account's keys, only the
// number is shown.
func (d *Deployment) Explain(path string) ([]Setting, error) {
	c := d.View.Configuration
	b := &settingsBuilder{path: path, version: fmt.Sprintf("configuration version %d", c.Version)}
	if path == limitsPath {
		b.addLimits(c.Limits)
		return b.settings, nil
	}
	if name, ok := strings.CutPrefix(path, routePrefix); ok {
		if i := slices.IndexFunc(c.Routes, func(r service.Route) bool { return r.Name == name }); i >= 0 {
			b.addRoute(&c.Routes[i])
			return b.settings, nil
		}
	}
	if name, ok := strings.CutPrefix(path, servicePrefix); ok {
		if s, ok := c.Services[name]; ok {
			b.addService(s)
			return b.settings, nil
		}
	}
	if name, ok := strings.CutPrefix(path, accountPrefix); ok {
		if i := slices.IndexFunc(c.Accounts, func(a service.Account) bool { return a.Name == name }); i >= 0 {
			b.addAccount(&c.Accounts[i])
			return b.settings, nil
		}
	}
	return nil, oops.Code(CodeNotFound).Errorf("%s is not in configuration version %d; write %s", path, c.Version,
		"limits, route/NAME, service/NAME or client-account/NAME")
}

// settingsBuilder collects the settings of one path.
type settingsBuilder struct {
	path, version string
	settings      []Setting
}

// add adds a setting. set tells whether the configuration sets it; if not, value is
// the default.
func (b *settingsBuilder) add(name, value string, set bool) {
	from := b.version
	if !set {
		from = Default
	}
	b.settings = append(b.settings, Setting{Path: b.path, Name: name, Value: value, From: from})
}

// addDuration adds a duration, where 0 means that it is not set.
func (b *settingsBuilder) addDuration(name string, d time.Duration) {
	if d == 0 {
		b.add(name, "none", false)
		return
	}
	b.add(name, d.String(), true)
}

// addCount adds a number, where 0 means that it is not set.
func (b *settingsBuilder) addCount(name string, n int64) {
	if n == 0 {
		b.add(name, "none", false)
		return
	}
	b.add(name, strconv.FormatInt(n, 10), true)
}

// addLimits adds the limits on callers' requests and connections.
func (b *settingsBuilder) addLimits(l service.Limits) {
	e := l.Effective()
	b.add("header-bytes", strconv.FormatInt(e.HeaderBytes, 10), l.HeaderBytes > 0)
	b.add("body-bytes", strconv.FormatInt(e.BodyBytes, 10), l.BodyBytes > 0)
	b.add("header-time", e.HeaderTimeout.String(), l.HeaderTimeout > 0)
	b.add("idle-time", e.IdleTimeout.String(), l.IdleTimeout > 0)
}

// addRoute adds the settings of a route.
func (b *settingsBuilder) addRoute(r *service.Route) {
	b.add("host", r.Host, true)
	b.add("prefix", r.Prefix, true)
	b.add("kind", r.Kind.String(), true)
	b.add("repeatable", strconv.FormatBool(r.Repeatable()), true)
	for _, t := range r.Targets {
		b.add("service", fmt.Sprintf("%s with weight %g", t.Service, t.Weight), true)
	}
	b.add("timeout", r.EffectiveTimeout().String(), r.Timeout > 0)
	b.addDuration("latency", r.LatencyTarget)
	b.addDuration("largest-gap", r.MaxGap)
	b.add("attempts", strconv.Itoa(r.Attempts), true)
	b.add("priority", strconv.Itoa(r.Priority), true)
	b.add("public", strconv.FormatBool(r.Public), true)
	b.addRegions(r.Regions)
}

// addRegions adds the regions that a route or account allows.
func (b *settingsBuilder) addRegions(regions []fleet.Region) {
	if len(regions) == 0 {
		b.add("regions", "all", false)
		return
	}
	names := make([]string, len(regions))
	for i, r := range regions {
		names[i] = string(r)
	}
	b.add("regions", strings.Join(names, ", "), true)
}

// addService adds the settings of a service and, for a model service, those of its
// engines.
func (b *settingsBuilder) addService(s service.Service) {
	b.addCount("connections-per-upstream", int64(s.MaxConnections))
	b.add("health-path", s.HealthPath, s.HealthPath != "")
	if s.ColdTime > 0 && s.ColdRate > 0 {
		b.addDuration("cold-time", s.ColdTime)
		b.add("cold-rate", fmt.Sprintf("%g requests/s", s.ColdRate), true)
	}
	e := s.Engine
	if e == nil {
		return
	}
	b.addCount("engine-slots", int64(e.Slots))
	b.addCount("engine-memory-tokens", int64(e.MemoryTokens))
	b.addDuration("step-time", e.StepTime)
	b.addDuration("sequence-time", e.SequenceTime)
	b.addDuration("context-time", e.ContextTime)
	b.add("read-rate", fmt.Sprintf("%g tokens/s", e.PrefillRate), true)
	if x := e.Experts; x != nil {
		b.add("experts", fmt.Sprintf("%d sets of %d, %d places a rank, %d moved in one map", x.Sets, x.Count, x.Slots, x.MaxFetchesPerSet), true)
		b.addDuration("expert-fetch-time", x.FetchTime)
	}
}

// addAccount adds the settings of a client account. An account without a priority has
// that of the route.
func (b *settingsBuilder) addAccount(a *service.Account) {
	b.add("keys", strconv.Itoa(len(a.Keys)), true)
	b.addRegions(a.Regions)
	if a.Priority == nil {
		b.add("priority", "the route's", false)
		return
	}
	b.add("priority", strconv.Itoa(*a.Priority), true)
}
