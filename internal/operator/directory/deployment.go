// Package directory reads a deployment on the prepared platform for operators:
// the configuration in force, the upstreams and the entries as the store lists
// them. It writes nothing; the configuration has its own operators.
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

// CodeNotFound marks errors about what the configuration does not name.
const CodeNotFound = "not-found"

// Picture is what the store lists at one moment.
type Deployment struct {
	View      *service.View
	Instances []fleet.Instance
	// Unreadable are the objects that name nothing, with the reason.
	Unreadable map[string]string
}

// Read lists all kinds. It fails when the store does, or holds no configuration
// that can be read.
func Read(ctx context.Context, s directory.Store, r directory.Decoder) (*Deployment, error) {
	p := &Deployment{Unreadable: map[string]string{}}
	var configuration *service.Configuration
	upstreams := map[string]service.Upstream{}
	for _, k := range []directory.Kind{directory.Configuration, directory.Upstreams, directory.Instances} {
		u, err := s.List(ctx, k)
		if err != nil {
			return nil, oops.Wrapf(err, "list the store's %s", k)
		}
		for _, o := range u.Objects {
			var err error
			switch k {
			case directory.Configuration:
				configuration, err = r.Configuration(o.Value)
			case directory.Upstreams:
				var one service.Upstream
				if one, err = r.Upstream(o.Name, o.Value); err == nil {
					upstreams[one.ID] = one
				}
			case directory.Instances:
				var one fleet.Instance
				if one, err = fleet.ParseInstance(o.Value); err == nil {
					p.Instances = append(p.Instances, one)
				}
			}
			if err != nil {
				p.Unreadable[string(k)+"/"+o.Name] = err.Error()
			}
		}
	}
	if configuration == nil {
		return nil, oops.Code(CodeNotFound).Errorf("the store holds no configuration that can be read: %v", p.Unreadable)
	}
	p.View = service.NewView(configuration, upstreams, true)
	return p, nil
}

// Setting is one effective value and where it comes from.
type Setting struct {
	Path  string `json:"path"`
	Name  string `json:"setting"`
	Value string `json:"value"`
	// From is the version of the configuration, or Default.
	From string `json:"from"`
}

// Default is the origin of values that the configuration does not name.
const Default = "default"

// Levels returns the paths that Explain takes, in order.
func (p *Deployment) Levels() []string {
	c := p.View.Configuration
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

// The paths of what a configuration holds.
const (
	limitsPath    = "limits"
	routePrefix   = "route/"
	servicePrefix = "service/"
	accountPrefix = "client-account/"
)

// Explain returns the settings of one path. A secret is never among them.
func (p *Deployment) Explain(path string) ([]Setting, error) {
	c := p.View.Configuration
	w := &settingsBuilder{path: path, version: fmt.Sprintf("configuration version %d", c.Version)}
	if path == limitsPath {
		w.addLimits(c.Limits)
		return w.settings, nil
	}
	if name, ok := strings.CutPrefix(path, routePrefix); ok {
		if i := slices.IndexFunc(c.Routes, func(r service.Route) bool { return r.Name == name }); i >= 0 {
			w.addRoute(&c.Routes[i])
			return w.settings, nil
		}
	}
	if name, ok := strings.CutPrefix(path, servicePrefix); ok {
		if s, ok := c.Services[name]; ok {
			w.addService(s)
			return w.settings, nil
		}
	}
	if name, ok := strings.CutPrefix(path, accountPrefix); ok {
		if i := slices.IndexFunc(c.Accounts, func(a service.Account) bool { return a.Name == name }); i >= 0 {
			w.addAccount(&c.Accounts[i])
			return w.settings, nil
		}
	}
	return nil, oops.Code(CodeNotFound).Errorf("%s is not in configuration version %d; write %s", path, c.Version,
		"limits, route/NAME, service/NAME or client-account/NAME")
}

// writer collects the settings of one path.
type settingsBuilder struct {
	path, version string
	settings      []Setting
}

// add adds a setting. One that is not set has the value that stands for none.
func (w *settingsBuilder) add(name, value string, set bool) {
	from := w.version
	if !set {
		from = Default
	}
	w.settings = append(w.settings, Setting{Path: w.path, Name: name, Value: value, From: from})
}

func (w *settingsBuilder) addDuration(name string, d time.Duration) {
	if d == 0 {
		w.add(name, "none", false)
		return
	}
	w.add(name, d.String(), true)
}

func (w *settingsBuilder) addCount(name string, n int64) {
	if n == 0 {
		w.add(name, "none", false)
		return
	}
	w.add(name, strconv.FormatInt(n, 10), true)
}

func (w *settingsBuilder) addLimits(l service.Limits) {
	e := l.Effective()
	w.add("header-bytes", strconv.FormatInt(e.HeaderBytes, 10), l.HeaderBytes > 0)
	w.add("body-bytes", strconv.FormatInt(e.BodyBytes, 10), l.BodyBytes > 0)
	w.add("header-time", e.HeaderTimeout.String(), l.HeaderTimeout > 0)
	w.add("idle-time", e.IdleTimeout.String(), l.IdleTimeout > 0)
}

func (w *settingsBuilder) addRoute(r *service.Route) {
	w.add("host", r.Host, true)
	w.add("prefix", r.Prefix, true)
	w.add("kind", r.Kind.String(), true)
	w.add("repeatable", strconv.FormatBool(r.Repeatable()), true)
	for _, t := range r.Targets {
		w.add("service", fmt.Sprintf("%s with weight %g", t.Service, t.Weight), true)
	}
	w.add("timeout", r.EffectiveTimeout().String(), r.Timeout > 0)
	w.addDuration("latency", r.LatencyTarget)
	w.addDuration("largest-gap", r.MaxGap)
	w.add("attempts", strconv.Itoa(r.Attempts), true)
	w.add("priority", strconv.Itoa(r.Priority), true)
	w.add("public", strconv.FormatBool(r.Public), true)
}

func (w *settingsBuilder) addService(s service.Service) {
	w.addCount("connections-per-upstream", int64(s.MaxConnections))
	w.add("health-path", s.HealthPath, s.HealthPath != "")
	e := s.Engine
	if e == nil {
		return
	}
	w.addCount("engine-slots", int64(e.Slots))
	w.addCount("engine-memory-tokens", int64(e.MemoryTokens))
	w.addDuration("step-time", e.StepTime)
	w.addDuration("sequence-time", e.SequenceTime)
	w.addDuration("context-time", e.ContextTime)
	w.add("read-rate", fmt.Sprintf("%g tokens/s", e.PrefillRate), true)
	if x := e.Experts; x != nil {
		w.add("experts", fmt.Sprintf("%d sets of %d, %d places a rank, %d moved in one map", x.Sets, x.Count, x.Slots, x.MaxFetchesPerSet), true)
		w.addDuration("expert-fetch-time", x.FetchTime)
	}
}

func (w *settingsBuilder) addAccount(a *service.Account) {
	w.add("keys", strconv.Itoa(len(a.Keys)), true)
	if a.Priority == nil {
		w.add("priority", "the route's", false)
		return
	}
	w.add("priority", strconv.Itoa(*a.Priority), true)
}
