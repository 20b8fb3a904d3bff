// Package direct puts an agent together that guards the expert map of the engine
// beside it and leads the engine's group whenever no other agent does. Requests
// do not pass through it.
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
	"bramleydeal/internal/process/tlsfiles"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
)

// stopTimeout bounds the closing of the listeners.
const stopTimeout = time.Second

// Deployment is what an agent meets on the operators' platform.
type Dependencies struct {
	Lister  Lister
	Leases  Leases
	Decoder directory.Decoder
	// Orders reaches the engine at an address.
	EngineAt func(netip.AddrPort) rank.OrderEngine
}

// Agent is one agent process.
type Agent struct {
	peer.UnimplementedAgentServer

	config  config.Process
	log     *log.Logger
	files   *tlsfiles.Files
	pool    *dial.Pool
	traffic dial.Traffic
	roster  *roster
	lead    *lead
	metrics *expvar.Map
	numbers *metrics.Set
}

// New puts an agent together.
func New(c config.Process, d Dependencies, logger *log.Logger) (*Agent, error) {
	files, err := tlsfiles.Load(c.TLS)
	if err != nil {
		return nil, err
	}
	a := &Agent{config: c, log: logger, files: files, metrics: new(expvar.Map).Init(), numbers: metrics.NewSet()}
	a.pool = dial.NewPool(files.PeerCredentials(), &a.traffic)
	a.roster = &roster{
		lister: d.Lister, reader: d.Decoder, engine: c.Upstream.Address, port: c.PeerListen.Port(), pool: a.pool, log: logger.Component("roster"),
		orders: d.EngineAt, fencing: c.Direct.Fencing, asked: make(chan struct{}, 1),
	}
	a.lead = &lead{self: c.Name, roster: a.roster, leases: d.Leases, log: logger.Component("lead")}
	own := d.EngineAt(c.Upstream.Address)
	a.lead.rank = rank.New(a.roster, rank.NewOrderedEngine(own, logger.Component("engine")), logger.Component("rank"))
	a.roster.followed, a.roster.formed = a.lead.followed, formed(own, logger.Component("roster"))
	a.publishNumbers()
	a.metrics.Set("peers", expvar.Func(func() any { return a.traffic.State() }))
	a.metrics.Set("memstats", expvar.Get("memstats"))
	return a, nil
}

// formed returns whether an engine knows the group that it is a rank of.
func formed(engine rank.OrderEngine, log logr.Logger) func(context.Context) bool {
	return func(ctx context.Context) bool {
		r, err := engine.Report(ctx)
		if err != nil {
			log.V(1).Info("the engine does not answer yet", "reason", err.Error())
		}
		return err == nil && r.Epoch > 0
	}
}

// publishNumbers serves what the parts count.
func (a *Agent) publishNumbers() {
	stats, led := a.lead.rank.Stats(), &a.lead.numbers
	for name, value := range map[string]func() float64{
		`bramleydeal_rank_orders{outcome="accepted"}`: func() float64 { return float64(stats.Accepted.Load()) },
		`bramleydeal_rank_orders{outcome="refused"}`:  func() float64 { return float64(stats.Refused.Load()) },
		"bramleydeal_changes_completed":               func() float64 { return float64(stats.Completed.Load()) },
		"bramleydeal_group_term":                      func() float64 { return float64(led.term.Load()) },
		"bramleydeal_group_map":                       func() float64 { return float64(led.version.Load()) },
		"bramleydeal_group_skew":                      func() float64 { return float64(led.skewMilli.Load()) / 1000 },
		"bramleydeal_group_step_seconds":              func() float64 { return time.Duration(led.step.Load()).Seconds() },
		"bramleydeal_experts_moved":                   func() float64 { return float64(led.moved.Load()) },
	} {
		a.numbers.NewGauge(name, value)
	}
}

// Order implements peer.AgentServer.
func (a *Agent) Order(ctx context.Context, m *peer.GrantOrder) (*peer.GrantReply, error) {
	if m.Group != a.roster.Name() {
		a.roster.ask() // the engine has moved to another group
	}
	return a.lead.rank.Order(ctx, m)
}

// Run serves until stop or ctx ends.
func (a *Agent) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer a.log.Flush()
	defer a.pool.Close()
	listener, err := a.traffic.Listen(a.config.PeerListen.String())
	if err != nil {
		return err
	}
	peers := grpc.NewServer(dial.ServerOptions(a.files.PeerCredentials())...)
	peer.RegisterAgentServer(peers, a)
	go a.report("peers", func() error { return peers.Serve(listener) })
	if a.config.DebugListen.IsValid() {
		go a.report("debug", func() error {
			return debug.Serve(ctx, a.config.DebugListen, debug.Handler(a.metrics, func() any { return a.State(ctx) }, nil, debug.WithMetrics(a.numbers)))
		})
	}
	go a.roster.run(ctx)
	go a.lead.rank.Run(ctx)
	go a.lead.run(ctx)
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

func (a *Agent) report(part string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		a.log.Component("agent").Error(err, "a listener ended", "listener", part)
	}
}

// State is the agent's dump.
type State struct {
	Instance      string              `json:"instance"`
	Role          fleet.Role          `json:"role"`
	FailureDomain fleet.FailureDomain `json:"failure-domain"`
	Group         string              `json:"group"`
	Rank          rank.State          `json:"rank"`
	Peers         dial.TrafficState   `json:"peers"`
}

// State returns the agent's dump.
func (a *Agent) State(ctx context.Context) State {
	return State{
		Instance: a.config.Name, Role: fleet.AgentRole, FailureDomain: a.config.FailureDomain, Group: a.roster.Name(),
		Rank: a.lead.rank.State(ctx), Peers: a.traffic.State(),
	}
}
