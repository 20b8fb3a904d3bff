// Package server assembles an entry that reaches upstreams through their
// agents. It creates the entry's components and listeners and shuts them down
// in order.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bramleydeal/internal/core/instance"
	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/agent"
	"bramleydeal/internal/entry/caller"
	"bramleydeal/internal/entry/rank"
	"bramleydeal/internal/entry/store"
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
	"bramleydeal/internal/wire/http10"
	"bramleydeal/internal/wire/inbound"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"github.com/samber/oops"
	"google.golang.org/grpc"
)

// Limits of callers' connections.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Entry is the entry component of a process.
type Entry struct {
	config      config.Process
	log         *log.Logger
	files       *tlsfiles.Files
	pool        *dial.Pool
	traffic     dial.Traffic
	budget      *inbound.Budget
	replicator  *replication.Replicator
	balancer    *agent.Balancer
	handler     *caller.Handler
	expvars     *expvar.Map
	drain       chan struct{}
	leaderTasks []LeaderTask
}

// LeaderTask is a job that one entry at a time performs, while it holds the
// task's lease in the platform.
type LeaderTask interface {
	// Run contends for the lease until ctx ends and performs the task while it
	// holds the lease.
	Run(ctx context.Context)
	// State returns the task's debug state.
	State() any
}

// Option configures an Entry.
type Option func(*Entry)

// WithBudget counts what clients make the entry hold in b, which it shares with others in the process.
func WithBudget(b *inbound.Budget) Option { return func(e *Entry) { e.budget = b } }

// New returns an Entry with settings c. ctx bounds its lifetime. seed
// determines its random choices. It returns an error if the TLS files cannot be
// loaded.
func New(ctx context.Context, c config.Process, seed uint64, logger *log.Logger, options ...Option) (*Entry, error) {
	files, err := tlsfiles.Load(c.TLS)
	if err != nil {
		return nil, err
	}
	e := &Entry{config: c, log: logger, files: files, expvars: new(expvar.Map).Init(), drain: make(chan struct{}, 1)}
	for _, o := range options {
		o(e)
	}
	if e.budget == nil {
		e.budget = inbound.NewBudget(c.MemoryBytes(), c.Descriptors)
	}
	e.pool = dial.NewPool(files.PeerCredentials(), &e.traffic)
	replicaOptions := []replication.Option{replication.WithSeedPeers(c.Peers), replication.WithLog(logger.Component("spread")), replication.WithRandomSeed(seed)}
	var objects *object.Client
	if c.Platform.IsValid() {
		objects = object.NewClient(c.Platform)
		replicaOptions = append(replicaOptions, replication.WithPlatform(objects))
	}
	e.replicator = replication.New(c.Name, c.FailureDomain, fleet.EntryRole, e.pool, replicaOptions...)
	e.balancer = agent.New(ctx, c.Name, c.FailureDomain, e.pool, seed, logger.Component("balancer"))
	e.handler = caller.New(caller.Config{
		Self: c.Name, FailureDomain: c.FailureDomain, Current: e.replicator.Current,
		Balancer: e.balancer, Claims: store.NewClaims(objects), Log: logger.Component("caller"),
	})
	if objects != nil {
		holder := c.Name + "#" + strconv.FormatUint(rand.Uint64(), 36)
		e.leaderTasks = append(e.leaderTasks,
			rank.New(c.Name, holder, c.FailureDomain, objects, e.pool, e.replicator.Current, logger.Component("groups")),
			store.NewClaimSweeper(objects, holder, c.FailureDomain, e.contends, e.replicator.Current, logger.Component("claims")))
	}
	e.publishExpvars()
	return e, nil
}

func (e *Entry) publishExpvars() {
	e.expvars.Set("caller", expvar.Func(func() any { return e.handler.State() }))
	e.expvars.Set("spread", expvar.Func(func() any { return e.replicator.State() }))
	e.expvars.Set("peers", expvar.Func(func() any { return e.traffic.State() }))
	e.expvars.Set("clients", expvar.Func(func() any { return e.budget.State() }))
	e.expvars.Set("memstats", expvar.Get("memstats"))
}

// Run serves until stop is done or Drain is called, then drains, closes the
// listeners and returns. If ctx ends, it closes them immediately.
func (e *Entry) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.pool.Close()
	go e.balancer.Run(ctx)
	e.replicator.Subscribe(e.settingsChanged)
	go e.replicator.Run(ctx)
	for _, t := range e.leaderTasks {
		go t.Run(ctx)
	}
	callers, peers, err := e.listen(ctx)
	if err != nil {
		return err
	}
	defer peers.Stop()
	e.log.Component("entry").Info("serving callers", "address", e.config.Listen.String())
	select {
	case <-stop.Done():
	case <-e.drain:
	case <-ctx.Done():
		return callers.Close()
	}
	return e.shutDown(ctx, callers)
}

// settingsChanged applies a new settings snapshot.
func (e *Entry) settingsChanged(settings *snapshot.Snapshot) {
	e.balancer.SettingsChanged(settings)
	e.log.SetVerbosity(tree.Get(settings.Tree, e.scope(), reference.LogLevel))
}

// contends reports whether this entry is one of the few that contend for the
// lease of a leader task.
func (e *Entry) contends(task string) bool {
	return instance.ContendsForLease(slices.Collect(maps.Values(e.replicator.Current().Instances)), e.config.Name, task)
}

func (e *Entry) scope() tree.Scope { return tree.Scope{FailureDomain: string(e.config.FailureDomain)} }

// listen opens the listeners and starts serving them.
func (e *Entry) listen(ctx context.Context) (*http.Server, *grpc.Server, error) {
	callerListener, err := net.Listen("tcp", e.config.Listen.String())
	if err != nil {
		return nil, nil, oops.Code("listen").Wrapf(err, "listen: give another address, or end the process that holds it")
	}
	if c := e.files.CallerTLSConfig(); c != nil {
		callerListener = tls.NewListener(callerListener, c)
	}
	callerListener = e.budget.Listener(callerListener, e.budget.Callers())
	peerListener, err := e.traffic.Listen(e.config.PeerListen.String())
	if err != nil {
		return nil, nil, errors.Join(err, callerListener.Close())
	}
	peers := grpc.NewServer(dial.ServerOptions(e.files.PeerCredentials(), e.budget)...)
	peer.RegisterSpreadServer(peers, e.replicator)
	callers := &http.Server{
		Handler:           http10.ResetBroken(e.handler.Routes()),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	inbound.Configure(callers)
	callers.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return inbound.NewContext(http10.KeepConnection(ctx, c), c)
	}
	go e.runListener("peers", func() error { return peers.Serve(e.budget.PeerListener(peerListener)) })
	go e.runListener("callers", func() error { return callers.Serve(callerListener) })
	if e.config.DebugListen.IsValid() {
		go e.runListener("debug", func() error { return e.serveDebug(ctx) })
	}
	return callers, peers, nil
}

// runListener runs serve and logs its error, unless the server was shut down.
func (e *Entry) runListener(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Component("entry").Error(err, "listener failed; it no longer accepts connections", "listener", name)
	}
}

func (e *Entry) serveDebug(ctx context.Context) error {
	return debug.Serve(ctx, e.config.DebugListen, debug.Handler(e.expvars, func() any { return e.State(ctx) }, e.Drain), e.budget)
}

// Drain starts a graceful shutdown, as the first termination signal does.
func (e *Entry) Drain() {
	select {
	case e.drain <- struct{}{}:
	default:
	}
}

// shutDown keeps serving for drain-grace, so that the platform's load balancer
// can stop routing callers here. It then closes the listener and waits up to
// drain-limit for the requests in progress.
func (e *Entry) shutDown(ctx context.Context, callers *http.Server) error {
	t := e.replicator.Current().Tree
	grace, limit := tree.Get(t, e.scope(), reference.DrainGrace), tree.Get(t, e.scope(), reference.DrainLimit)
	l := e.log.Component("entry")
	l.Info("draining started", "grace", grace.String(), "limit", limit.String())
	e.handler.Drain()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return callers.Close()
	}
	shutdownCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := callers.Shutdown(shutdownCtx); err != nil {
		l.Info("the drain limit has passed with requests in progress; closing their connections, streams can be resumed at other entries", "in-flight", e.handler.State().InFlight)
		return callers.Close()
	}
	l.Info("drained")
	return nil
}

// State is the entry's debug state.
type State struct {
	Instance      string                           `json:"instance"`
	Role          fleet.Role                       `json:"role"`
	FailureDomain fleet.FailureDomain              `json:"failure-domain"`
	Revision      uint64                           `json:"revision"`
	Caller        caller.State                     `json:"caller"`
	Replication   replication.State                `json:"spread"`
	Upstreams     map[string][]core.CandidateState `json:"upstreams"`
	Subscriptions []string                         `json:"listening-to"`
	Peers         dial.TrafficState                `json:"peers"`
	Clients       inbound.Stats                    `json:"clients"`
	LeaderTasks   []any                            `json:"duties,omitempty"`
}

// State returns the entry's debug state.
func (e *Entry) State(ctx context.Context) State {
	out := State{
		Instance: e.config.Name, Role: fleet.EntryRole, FailureDomain: e.config.FailureDomain,
		Revision: e.replicator.Current().Revision, Caller: e.handler.State(), Replication: e.replicator.State(),
		Upstreams: e.balancer.State(ctx), Subscriptions: e.balancer.Subscriptions(), Peers: e.traffic.State(), Clients: e.budget.State(),
	}
	for _, t := range e.leaderTasks {
		out.LeaderTasks = append(out.LeaderTasks, t.State())
	}
	return out
}
