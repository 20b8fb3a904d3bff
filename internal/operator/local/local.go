// Package local runs a whole deployment in one process, to try bramleydeal out. The
// entries and agents are those of a real deployment; the platform, the engines and
// the services are in-memory stand-ins. No other command of bramleydeal uses
// stand-ins.
package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	agent "bramleydeal/internal/agent/server"
	entry "bramleydeal/internal/entry/server"
	"bramleydeal/internal/process/config"
	"bramleydeal/internal/process/log"
	"bramleydeal/internal/standin/engine"
	"bramleydeal/internal/standin/service"
	"bramleydeal/internal/standin/store"
	"bramleydeal/internal/wire/inbound"
	"bramleydeal/internal/world/fleet"
	"github.com/samber/oops"
)

// The account, model, sizes and times of the local deployment.
const (
	// Key is the bearer key of the only client account, "demo".
	Key = "demo-key"
	// Model is the name of the only model.
	Model             = "quotes-1"
	modelAgentCount   = 6
	entryCount        = 3
	readyTimeout      = 5 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

var failureDomains = []fleet.FailureDomain{"coimbra", "leiria", "viseu"}

// Local is a deployment whose entries, agents and stand-ins run in this process.
type Local struct {
	listen          netip.AddrPort
	log             *log.Logger
	platform        *store.Platform
	platformAddress netip.AddrPort
	processes       []process
	running         sync.WaitGroup
	// budget counts what clients make the whole deployment hold.
	budget    *inbound.Budget
	instances []fleet.Instance
}

// process is an entry or an agent.
type process interface {
	Run(ctx, stop context.Context) error
}

// New returns a deployment whose first entry listens at the given address for callers.
// The stand-ins run until ctx ends; Run runs the entries and agents. Of the logs, only
// those of this package are written to w.
func New(ctx context.Context, listen netip.AddrPort, w io.Writer) (*Local, error) {
	l := &Local{listen: listen, log: log.New(w, log.Text, "local"), platform: store.New(), budget: inbound.NewBudget(config.Process{}.MemoryBytes(), 0)}
	var err error
	if l.platformAddress, err = l.serveStandin(ctx, l.platform.Handler()); err != nil {
		return nil, err
	}
	if err := l.addAgents(ctx); err != nil {
		return nil, err
	}
	if err := l.addEntries(ctx); err != nil {
		return nil, err
	}
	return l, l.writeObjects()
}

// freeAddress returns a loopback address that is not in use. An outgoing connection
// could take its port before a process listens on it. Most local connections go out
// from 127.0.0.1, so freeAddress prefers a random other address of 127.0.0.0/8, if the
// system supports them.
func freeAddress() (netip.AddrPort, error) {
	loopback := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	listener, err := net.Listen("tcp", netip.AddrPortFrom(loopback, 0).String())
	if err != nil {
		listener, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return netip.AddrPort{}, oops.Code("listen").Wrap(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	return address, listener.Close()
}

// serveStandin starts an HTTP server for a stand-in, which runs until ctx ends, and
// returns its address.
func (l *Local) serveStandin(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, oops.Code("listen").Wrap(err)
	}
	server := &http.Server{Handler: inbound.Plain(h), ReadHeaderTimeout: readyTimeout}
	inbound.Configure(server)
	context.AfterFunc(ctx, func() {
		// The process is ending, so an error from closing has no effect.
		_ = server.Close()
	})
	go func() {
		if err := server.Serve(l.budget.Listener(listener, l.budget.Callers())); !errors.Is(err, http.ErrServerClosed) {
			l.log.Component("local").Error(err, "the server of a stand-in failed; its requests get no response")
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// addAgents adds an agent and a stand-in for each engine of the model group and for
// each upstream of the service, one service upstream per failure domain.
func (l *Local) addAgents(ctx context.Context) error {
	for n := range modelAgentCount {
		e := engine.New(engine.DefaultOptions)
		go e.Run(ctx)
		u := config.Upstream{Kind: config.Engine, Target: "quotes", Rank: n}
		if err := l.addAgent(ctx, fmt.Sprintf("w%d", n+1), failureDomains[n%len(failureDomains)], u, e.Handler()); err != nil {
			return err
		}
	}
	for n, d := range failureDomains {
		u := config.Upstream{Kind: config.Service, Target: "stock"}
		if err := l.addAgent(ctx, fmt.Sprintf("s%d", n+1), d, u, service.New().Handler()); err != nil {
			return err
		}
	}
	return nil
}

// addAgent adds an agent, and a stand-in with the handler h as its upstream.
func (l *Local) addAgent(ctx context.Context, name string, d fleet.FailureDomain, u config.Upstream, h http.Handler) error {
	var err error
	if u.Address, err = l.serveStandin(ctx, h); err != nil {
		return err
	}
	c, err := l.processConfig(name, d, fleet.AgentRole)
	if err != nil {
		return err
	}
	c.Upstream = u
	a, err := agent.New(ctx, c, rand.Uint64(), log.New(io.Discard, log.Text, name), agent.WithBudget(l.budget))
	l.processes = append(l.processes, a)
	return err
}

// addEntries adds the entries. The first one listens for callers at the address given
// to New.
func (l *Local) addEntries(ctx context.Context) error {
	for n := range entryCount {
		c, err := l.processConfig(fmt.Sprintf("e%d", n+1), failureDomains[n%len(failureDomains)], fleet.EntryRole)
		if err != nil {
			return err
		}
		if n == 0 {
			c.Listen = l.listen
		} else if c.Listen, err = freeAddress(); err != nil {
			return err
		}
		e, err := entry.New(ctx, c, rand.Uint64(), log.New(io.Discard, log.Text, c.Name), entry.WithBudget(l.budget))
		if err != nil {
			return err
		}
		l.processes = append(l.processes, e)
	}
	return nil
}

// processConfig returns the settings of a process and adds it to the instances that
// the platform lists.
func (l *Local) processConfig(name string, d fleet.FailureDomain, r fleet.Role) (config.Process, error) {
	c := config.Process{Name: name, FailureDomain: d, Platform: l.platformAddress}
	var err error
	if c.PeerListen, err = freeAddress(); err != nil {
		return c, err
	}
	if c.DebugListen, err = freeAddress(); err != nil {
		return c, err
	}
	l.instances = append(l.instances, fleet.Instance{Name: name, Role: r, FailureDomain: d, Address: c.PeerListen, DebugAddress: c.DebugListen})
	return c, nil
}

// writeObjects writes the settings tree and the instances to the platform.
func (l *Local) writeObjects() error {
	sum := sha256.Sum256([]byte(Key))
	upstreams := map[fleet.Role][]string{}
	var models, services []string
	for _, i := range l.instances {
		upstreams[i.Role] = append(upstreams[i.Role], i.Name)
		value, err := json.Marshal(i)
		if err != nil {
			return oops.Wrap(err)
		}
		l.platform.Put(fleet.InstancePrefix+i.Name, value)
	}
	models, services = upstreams[fleet.AgentRole][:modelAgentCount], upstreams[fleet.AgentRole][modelAgentCount:]
	for path, level := range map[string]any{
		"fleet":               map[string]any{"drain-grace": "200ms"},
		"group/quotes":        map[string]any{"model": Model, "upstreams": models},
		"service/stock":       map[string]any{"upstreams": services},
		"client-account/demo": map[string]any{"key-hash": hex.EncodeToString(sum[:])},
	} {
		value, err := json.Marshal(level)
		if err != nil {
			return oops.Wrap(err)
		}
		l.platform.Put(fleet.SettingsPrefix+path, value)
	}
	return nil
}

// Run runs the entries and agents until stop ends and they have drained, or until ctx
// ends. It returns the errors of all of them.
func (l *Local) Run(ctx, stop context.Context) error {
	var mu sync.Mutex
	var errs error
	for _, p := range l.processes {
		l.running.Go(func() {
			if err := p.Run(ctx, stop); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = errors.Join(errs, err)
			}
		})
	}
	if l.waitReady(ctx) {
		l.log.Component("local").Info("ready", "callers", "http://"+l.listen.String(), "key", Key, "model", Model,
			"service", "stock", "platform", l.platformAddress.String())
	}
	l.running.Wait()
	return errs
}

// waitReady waits until the first entry reports that it is ready, and returns false if
// it does not within readyTimeout.
func (l *Local) waitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.listen.String()+"/readyz", nil)
		if err != nil {
			return false
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			// The body is not used, so an error from closing it has no effect.
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(readyPollInterval)
	}
	return false
}
