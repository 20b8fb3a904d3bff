// Package server implements an agent that requests pass through. It creates the agent's
// components and listeners and stops them in order.
package server

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bramleydeal/internal/agent/entry"
	"bramleydeal/internal/agent/rank"
	"bramleydeal/internal/agent/upstream"
	"bramleydeal/internal/process/config"
	"bramleydeal/internal/process/debug"
	"bramleydeal/internal/process/log"
	"bramleydeal/internal/process/replication"
	"bramleydeal/internal/process/tlsfiles"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/store/object"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/inbound"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"google.golang.org/grpc"
)

// stopTimeout bounds the graceful stop of the gRPC server after a drain.
const stopTimeout = 2 * time.Second

// Agent is an agent process. It runs the entries' requests at its upstream.
type Agent struct {
	config     config.Process
	log        *log.Logger
	tlsFiles   *tlsfiles.Files
	pool       *dial.Pool
	traffic    dial.Traffic
	budget     *inbound.Budget
	replicator *replication.Replicator
	gateway    *entry.Server
	// rank is nil when the upstream is a plain service.
	rank           *rank.Rank
	vars           *expvar.Map
	drainRequested chan struct{}
}

// Option configures an Agent.
type Option func(*Agent)

// WithBudget counts what clients make the agent hold in b, which it shares with others in the process.
func WithBudget(b *inbound.Budget) Option { return func(a *Agent) { a.budget = b } }

// New returns the agent that c configures. It opens no listener before Run. ctx bounds the
// lifetime of the agent and of the requests at its upstream; seed determines the random
// choice of the peers with which it compares settings.
func New(ctx context.Context, c config.Process, seed uint64, logger *log.Logger, options ...Option) (*Agent, error) {
	files, err := tlsfiles.Load(c.TLS)
	if err != nil {
		return nil, err
	}
	a := &Agent{config: c, log: logger, tlsFiles: files, vars: new(expvar.Map).Init(), drainRequested: make(chan struct{}, 1)}
	for _, o := range options {
		o(a)
	}
	if a.budget == nil {
		a.budget = inbound.NewBudget(c.MemoryBytes(), c.Descriptors)
	}
	a.pool = dial.NewPool(files.PeerCredentials(), &a.traffic)
	replicaOptions := []replication.Option{replication.WithSeedPeers(c.Peers), replication.WithLog(logger.Component("spread")), replication.WithRandomSeed(seed)}
	if c.Platform.IsValid() {
		replicaOptions = append(replicaOptions, replication.WithPlatform(object.NewClient(c.Platform)))
	}
	a.replicator = replication.New(c.Name, c.FailureDomain, fleet.AgentRole, a.pool, replicaOptions...)
	gateway := entry.Config{
		Self: c.Name, Incarnation: incarnation(), Target: c.Upstream.Target, Scope: a.scope(),
		Current: a.replicator.Current, Client: upstream.NewClient(c.Upstream.Address), Pool: a.pool, Budget: a.budget, Log: logger.Component("door"),
	}
	if c.Upstream.Kind == config.Engine {
		a.rank = rank.New(rankGroup{a}, rank.NewPlanEngine(c.Upstream.Address), logger.Component("rank"))
		gateway.OrderHandler = a.rank
	}
	a.gateway = entry.NewServer(ctx, gateway)
	a.vars.Set("door", expvar.Func(func() any { return a.gateway.State(ctx) }))
	a.vars.Set("spread", expvar.Func(func() any { return a.replicator.State() }))
	a.vars.Set("peers", expvar.Func(func() any { return a.traffic.State() }))
	a.vars.Set("clients", expvar.Func(func() any { return a.budget.State() }))
	a.vars.Set("memstats", expvar.Get("memstats"))
	return a, nil
}

// incarnation returns a random name for this run of the agent.
func incarnation() string { return strconv.FormatUint(rand.Uint64(), 36) }

// scope returns the settings scope of the agent's upstream.
func (a *Agent) scope() tree.Scope {
	s := tree.Scope{FailureDomain: string(a.config.FailureDomain)}
	if a.config.Upstream.Kind == config.Engine {
		s.Group = a.config.Upstream.Target
	} else {
		s.Service = a.config.Upstream.Target
	}
	return s
}

// rankGroup is the group of the agent's engine as the settings define it. It implements
// rank.Group.
type rankGroup struct{ *Agent }

// Name implements rank.Group.
func (r rankGroup) Name() string { return r.scope().Group }

// ExpertParallel implements rank.Group.
func (r rankGroup) ExpertParallel() bool {
	return tree.Get(r.replicator.Current().Tree, r.scope(), reference.ExpertParallel)
}

// Self implements rank.Group.
func (r rankGroup) Self() string { return r.config.Name }

// Ranks implements rank.Group.
func (r rankGroup) Ranks() []string {
	names := []string{}
	for _, i := range r.replicator.Current().Upstreams(r.scope()) {
		names = append(names, i.Name)
	}
	return names
}

// Call implements rank.Group.
func (r rankGroup) Call(ctx context.Context, name string, m *peer.GrantOrder) (*peer.GrantReply, error) {
	return orders.Call(ctx, r.replicator.Current(), r.pool, name, m)
}

// Run serves until stop is done or Drain is called. It then drains, stops the gRPC server
// and returns. When ctx is done, it stops at once without a drain. It returns an error when
// it cannot listen on the peer address.
func (a *Agent) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer a.pool.Close()
	go a.gateway.Run(ctx)
	a.replicator.Subscribe(a.settingsChanged)
	go a.replicator.Run(ctx)
	if a.rank != nil {
		go a.rank.Run(ctx)
	}
	listener, err := a.traffic.Listen(a.config.PeerListen.String())
	if err != nil {
		return err
	}
	peers := grpc.NewServer(dial.ServerOptions(a.tlsFiles.PeerCredentials(), a.budget)...)
	peer.RegisterAgentServer(peers, a.gateway)
	peer.RegisterSpreadServer(peers, a.replicator)
	go a.runListener("peers", func() error { return peers.Serve(a.budget.PeerListener(listener)) })
	if a.config.DebugListen.IsValid() {
		go a.runListener("debug", func() error { return a.serveDebug(ctx) })
	}
	a.log.Component("agent").Info("serving entries", "address", a.config.PeerListen.String(), "upstream", a.config.Upstream.Address.String())
	select {
	case <-stop.Done():
	case <-a.drainRequested:
	case <-ctx.Done():
		peers.Stop()
		return nil
	}
	a.gateway.Drain(ctx)
	a.close(peers)
	return nil
}

// close ends the streams of load reports and stops the gRPC server. It waits up to
// stopTimeout for other open calls and then cancels them.
func (a *Agent) close(peers *grpc.Server) {
	timer := time.AfterFunc(stopTimeout, peers.Stop)
	defer timer.Stop()
	a.gateway.Stop()
	peers.GracefulStop()
}

// settingsChanged applies a new settings snapshot to the gateway and the logger.
func (a *Agent) settingsChanged(settings *snapshot.Snapshot) {
	a.gateway.SettingsChanged(settings)
	a.log.SetVerbosity(tree.Get(settings.Tree, a.scope(), reference.LogLevel))
}

// runListener runs serve and logs its error, unless the server was shut down.
func (a *Agent) runListener(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		a.log.Component("agent").Error(err, "listener failed; it no longer accepts connections", "listener", name)
	}
}

func (a *Agent) serveDebug(ctx context.Context) error {
	return debug.Serve(ctx, a.config.DebugListen, debug.Handler(a.vars, func() any { return a.State(ctx) }, a.Drain), a.budget)
}

// Drain makes Run drain the agent and return, as the first termination signal does. It
// does not block.
func (a *Agent) Drain() {
	select {
	case a.drainRequested <- struct{}{}:
	default:
	}
}

// State is the agent's debug state.
type State struct {
	Instance      string              `json:"instance"`
	Role          fleet.Role          `json:"role"`
	FailureDomain fleet.FailureDomain `json:"failure-domain"`
	Revision      uint64              `json:"revision"`
	Gateway       entry.State         `json:"door"`
	Replication   replication.State   `json:"spread"`
	Peers         dial.TrafficState   `json:"peers"`
	Clients       inbound.Stats       `json:"clients"`
	Rank          *rank.State         `json:"rank,omitempty"`
}

// State returns the agent's debug state.
func (a *Agent) State(ctx context.Context) State {
	out := State{
		Instance: a.config.Name, Role: fleet.AgentRole, FailureDomain: a.config.FailureDomain,
		Revision: a.replicator.Current().Revision, Gateway: a.gateway.State(ctx), Replication: a.replicator.State(), Peers: a.traffic.State(), Clients: a.budget.State(),
	}
	if a.rank != nil && (rankGroup{a}).ExpertParallel() {
		s := a.rank.State(ctx)
		out.Rank = &s
	}
	return out
}
