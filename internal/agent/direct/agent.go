// Package direct implements an agent that controls the expert map of the engine
// beside it, and leads the engine's group when no other agent does. Requests do
// not pass through it: entries send them to the engine themselves.
//
// An order is an instruction that the leader of a group sends to the agent of
// each rank. The agent forwards it to its engine. Package rank explains grants,
// holds and ballots.
package direct

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"net/netip"
	"time"

	"bramleydeal/internal/agent/rank"
	"bramleydeal/internal/process/config"
	"bramleydeal/internal/process/debug"
	"bramleydeal/internal/process/directory"
	"bramleydeal/internal/process/log"
	"bramleydeal/internal/process/task"
	"bramleydeal/internal/process/tlsfiles"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/inbound"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
)

// stopTimeout bounds the graceful stop of the gRPC server.
const stopTimeout = time.Second

// Dependencies are the clients of the operators' platform that an agent needs.
type Dependencies struct {
	Lister  Lister
	Leases  Leases
	Decoder directory.Decoder
	// EngineAt returns a client of the engine at an address.
	EngineAt func(netip.AddrPort) rank.OrderEngine
}

// Agent is an agent process without a request path. It serves the orders of
// group leaders on the peer listener.
type Agent struct {
	peer.UnimplementedAgentServer

	config    config.Process
	log       *log.Logger
	tlsFiles  *tlsfiles.Files
	pool      *dial.Pool
	traffic   dial.Traffic
	budget    *inbound.Budget
	roster    *roster
	candidate *candidate
	vars      *expvar.Map
	metricSet *metrics.Set
}

// New returns the agent that c configures. It opens no listener before Run.
func New(c config.Process, d Dependencies, logger *log.Logger) (*Agent, error) {
	files, err := tlsfiles.Load(c.TLS)
	if err != nil {
		return nil, err
	}
	a := &Agent{config: c, log: logger, tlsFiles: files, vars: new(expvar.Map).Init(), metricSet: metrics.NewSet()}
	a.pool = dial.NewPool(files.PeerCredentials(), &a.traffic)
	a.budget = inbound.NewBudget(c.MemoryBytes(), c.Descriptors)
	a.roster = &roster{
		lister: d.Lister, decoder: d.Decoder, ownEngine: c.Upstream.Address, agentPort: c.PeerListen.Port(), pool: a.pool, log: logger.Component("roster"),
		engineAt: d.EngineAt, fencing: c.Direct.Fencing, refresh: make(chan struct{}, 1),
	}
	a.candidate = &candidate{self: c.Name, roster: a.roster, leases: d.Leases, log: logger.Component("lead")}
	engine := d.EngineAt(c.Upstream.Address)
	var options []rank.AdapterOption
	if c.Direct.Fencing {
		options = append(options, rank.WithFencing())
	}
	a.candidate.controller = rank.New(a.roster, rank.NewOrderAdapter(engine, logger.Component("engine"), options...), logger.Component("rank"))
	a.candidate.courier = &courier{roster: a.roster, own: a.candidate.controller, log: logger.Component("lead"), pausedUntil: map[string]time.Time{}}
	a.roster.hasOtherLeader, a.roster.groupFormed = a.candidate.hasOtherLeader, groupFormed(engine, logger.Component("roster"))
	a.registerMetrics()
	a.vars.Set("peers", expvar.Func(func() any { return a.traffic.State() }))
	a.vars.Set("memstats", expvar.Get("memstats"))
	return a, nil
}

// groupFormed returns a function that reports whether an engine belongs to a
// group that has been formed, that is, has an epoch above 0.
func groupFormed(engine rank.OrderEngine, log logr.Logger) func(context.Context) bool {
	return func(ctx context.Context) bool {
		r, err := engine.Report(ctx)
		if err != nil {
			log.V(1).Info("engine not reachable; group membership unknown", "reason", err.Error())
		}
		return err == nil && r.Epoch > 0
	}
}

// registerMetrics exposes the counters of the rank controller and of the
// leadership as Prometheus metrics.
func (a *Agent) registerMetrics() {
	a.budget.Register(a.metricSet)
	stats, leader := a.candidate.controller.Stats(), &a.candidate.metrics
	for name, value := range map[string]func() float64{
		`bramleydeal_rank_orders{outcome="accepted"}`:    func() float64 { return float64(stats.Accepted.Load()) },
		`bramleydeal_rank_orders{outcome="refused"}`:     func() float64 { return float64(stats.Refused.Load()) },
		`bramleydeal_rank_orders{outcome="misdirected"}`: func() float64 { return float64(stats.Misdirected.Load()) },
		"bramleydeal_changes_completed":                  func() float64 { return float64(stats.Completed.Load()) },
		"bramleydeal_group_term":                         func() float64 { return float64(leader.term.Load()) },
		"bramleydeal_group_map":                          func() float64 { return float64(leader.mapVersion.Load()) },
		"bramleydeal_group_skew":                         func() float64 { return float64(leader.skewMilli.Load()) / 1000 },
		"bramleydeal_group_step_seconds":                 func() float64 { return time.Duration(leader.stepNanoseconds.Load()).Seconds() },
		"bramleydeal_experts_moved":                      func() float64 { return float64(leader.expertsMoved.Load()) },
		"bramleydeal_task_panics":                        func() float64 { return float64(task.Panics()) },
	} {
		a.metricSet.NewGauge(name, value)
	}
}

// Order implements peer.AgentServer. An order for another group or rank than the known
// one also triggers a refresh of the roster.
func (a *Agent) Order(ctx context.Context, m *peer.GrantOrder) (*peer.GrantReply, error) {
	if m.Group != a.roster.Name() || m.Rank != "" && m.Rank != a.roster.Self() {
		a.roster.requestRefresh() // the group was formed anew
	}
	return a.candidate.controller.Order(ctx, m)
}

// Run serves orders until stop or ctx is done. It returns an error when the peer
// address cannot be listened on.
func (a *Agent) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer a.log.Flush()
	defer a.pool.Close()
	listener, err := a.traffic.Listen(a.config.PeerListen.String())
	if err != nil {
		return err
	}
	peers := grpc.NewServer(append(dial.ServerOptions(a.tlsFiles.PeerCredentials(), a.budget), task.RecoverCalls(a.log.Component("agent")))...)
	peer.RegisterAgentServer(peers, a)
	go a.runListener("peers", func() error { return peers.Serve(a.budget.PeerListener(listener)) })
	if a.config.DebugListen.IsValid() {
		go a.runListener("debug", func() error {
			return debug.Serve(ctx, a.config.DebugListen, debug.Handler(a.vars, func() any { return a.State(ctx) }, nil, debug.WithMetrics(a.metricSet)), a.budget)
		})
	}
	l := a.log.Component("agent")
	go task.Run(ctx, l, "roster", a.roster.run)
	go task.Run(ctx, l, "rank", a.candidate.controller.Run)
	go task.Run(ctx, l, "lead", a.candidate.run)
	a.log.Component("agent").Info("started", "address", a.config.PeerListen, "engine", a.config.Upstream.Address)
	select {
	case <-stop.Done():
	case <-ctx.Done():
	}
	cancel()
	a.log.Component("agent").Info("stopped")
	timer := time.AfterFunc(stopTimeout, peers.Stop)
	defer timer.Stop()
	peers.GracefulStop()
	return nil
}

// runListener runs serve and logs its error, unless the server was shut down.
func (a *Agent) runListener(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		a.log.Component("agent").Error(err, "listener failed; it no longer accepts connections", "listener", name)
	}
}

// State is the agent's debug state.
type State struct {
	Instance      string              `json:"instance"`
	Role          fleet.Role          `json:"role"`
	FailureDomain fleet.FailureDomain `json:"failure-domain"`
	Group         string              `json:"group"`
	Rank          rank.State          `json:"rank"`
	Peers         dial.TrafficState   `json:"peers"`
	Clients       inbound.Stats       `json:"clients"`
}

// State returns the agent's debug state.
func (a *Agent) State(ctx context.Context) State {
	return State{
		Instance: a.config.Name, Role: fleet.AgentRole, FailureDomain: a.config.FailureDomain, Group: a.roster.Name(),
		Rank: a.candidate.controller.State(ctx), Peers: a.traffic.State(), Clients: a.budget.State(),
	}
}
