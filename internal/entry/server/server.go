// Package server puts an entry together: its listeners, its parts and the
// order in which they stop.
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
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"github.com/samber/oops"
	"google.golang.org/grpc"
)

// Limits of the caller side.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Entry is one entry process.
type Entry struct {
	config   config.Process
	log      *log.Logger
	files    *tlsfiles.Files
	pool     *dial.Pool
	traffic  dial.Traffic
	spread   *replication.Replicator
	balancer *agent.Balancer
	handler  *caller.Handler
	metrics  *expvar.Map
	drain    chan struct{}
	duties   []LeaderTask
}

// Duty is a part that an entry runs beside serving callers.
type LeaderTask interface {
	Run(ctx context.Context)
	// State returns the duty's part of the dump.
	State() any
}

// New puts an entry together. ctx bounds its lifetime; seed decides its random
// choices.
func New(ctx context.Context, c config.Process, seed uint64, logger *log.Logger) (*Entry, error) {
	files, err := tlsfiles.Load(c.TLS)
	if err != nil {
		return nil, err
	}
	e := &Entry{config: c, log: logger, files: files, metrics: new(expvar.Map).Init(), drain: make(chan struct{}, 1)}
	e.pool = dial.NewPool(files.PeerCredentials(), &e.traffic)
	options := []replication.Option{replication.WithSeedPeers(c.Peers), replication.WithLog(logger.Component("spread")), replication.WithRandomSeed(seed)}
	var objects *object.Client
	if c.Platform.IsValid() {
		objects = object.NewClient(c.Platform)
		options = append(options, replication.WithPlatform(objects))
	}
	e.spread = replication.New(c.Name, c.FailureDomain, fleet.EntryRole, e.pool, options...)
	e.balancer = agent.New(ctx, c.Name, c.FailureDomain, e.pool, seed, logger.Component("balancer"))
	e.handler = caller.New(caller.Config{
		Self: c.Name, FailureDomain: c.FailureDomain, Current: e.spread.Current,
		Balancer: e.balancer, Claims: store.NewClaims(objects), Log: logger.Component("caller"),
	})
	if objects != nil {
		holder := c.Name + "#" + strconv.FormatUint(rand.Uint64(), 36)
		e.duties = append(e.duties,
			rank.New(c.Name, holder, c.FailureDomain, objects, e.pool, e.spread.Current, logger.Component("groups")),
			store.NewSweep(objects, holder, c.FailureDomain, e.contends, e.spread.Current, logger.Component("claims")))
	}
	e.publishMetrics()
	return e, nil
}

func (e *Entry) publishMetrics() {
	e.metrics.Set("caller", expvar.Func(func() any { return e.handler.State() }))
	e.metrics.Set("spread", expvar.Func(func() any { return e.spread.State() }))
	e.metrics.Set("peers", expvar.Func(func() any { return e.traffic.State() }))
	e.metrics.Set("memstats", expvar.Get("memstats"))
}

// Run serves until stop ends, then drains; it returns when all is closed. ctx
// ends everything at once.
func (e *Entry) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.pool.Close()
	go e.balancer.Run(ctx)
	e.spread.Subscribe(e.settingsChanged)
	go e.spread.Run(ctx)
	for _, d := range e.duties {
		go d.Run(ctx)
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

func (e *Entry) settingsChanged(now *snapshot.Snapshot) {
	e.balancer.SettingsChanged(now)
	e.log.SetVerbosity(tree.Get(now.Tree, e.scope(), reference.LogLevel))
}

// contends tells whether this entry is among the few that contend for the lease
// of a duty.
func (e *Entry) contends(duty string) bool {
	return instance.ContendsForLease(slices.Collect(maps.Values(e.spread.Current().Instances)), e.config.Name, duty)
}

func (e *Entry) scope() tree.Scope { return tree.Scope{FailureDomain: string(e.config.FailureDomain)} }

// listen opens the entry's listeners and serves them.
func (e *Entry) listen(ctx context.Context) (*http.Server, *grpc.Server, error) {
	callerListener, err := net.Listen("tcp", e.config.Listen.String())
	if err != nil {
		return nil, nil, oops.Code("listen").Wrapf(err, "listen: give another address, or end the process that holds it")
	}
	if c := e.files.CallerTLSConfig(); c != nil {
		callerListener = tls.NewListener(callerListener, c)
	}
	peerListener, err := e.traffic.Listen(e.config.PeerListen.String())
	if err != nil {
		return nil, nil, errors.Join(err, callerListener.Close())
	}
	peers := grpc.NewServer(dial.ServerOptions(e.files.PeerCredentials())...)
	peer.RegisterSpreadServer(peers, e.spread)
	callers := &http.Server{
		Handler: e.handler.Routes(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	go e.report("peers", func() error { return peers.Serve(peerListener) })
	go e.report("callers", func() error { return callers.Serve(callerListener) })
	if e.config.DebugListen.IsValid() {
		go e.report("debug", func() error { return e.serveDebug(ctx) })
	}
	return callers, peers, nil
}

func (e *Entry) report(part string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Component("entry").Error(err, "a listener ended", "listener", part)
	}
}

func (e *Entry) serveDebug(ctx context.Context) error {
	return debug.Serve(ctx, e.config.DebugListen, debug.Handler(e.metrics, func() any { return e.State(ctx) }, e.Drain))
}

// Drain begins a graceful shutdown, as the first signal does.
func (e *Entry) Drain() {
	select {
	case e.drain <- struct{}{}:
	default:
	}
}

// shutDown goes on serving for the balancer's grace, then takes no new
// connections and waits for the requests in progress up to the drain limit.
func (e *Entry) shutDown(ctx context.Context, callers *http.Server) error {
	t := e.spread.Current().Tree
	grace, limit := tree.Get(t, e.scope(), reference.DrainGrace), tree.Get(t, e.scope(), reference.DrainLimit)
	l := e.log.Component("entry")
	l.Info("leaving", "grace", grace.String(), "limit", limit.String())
	e.handler.Drain()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return callers.Close()
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := callers.Shutdown(limited); err != nil {
		l.Info("the drain limit has passed, callers resume their streams elsewhere", "in-flight", e.handler.State().InFlight)
		return callers.Close()
	}
	l.Info("drained")
	return nil
}

// State is the entry's dump.
type State struct {
	Instance      string                           `json:"instance"`
	Role          fleet.Role                       `json:"role"`
	FailureDomain fleet.FailureDomain              `json:"failure-domain"`
	Revision      uint64                           `json:"revision"`
	Caller        caller.State                     `json:"caller"`
	Spread        replication.State                `json:"spread"`
	Upstreams     map[string][]core.CandidateState `json:"upstreams"`
	Listening     []string                         `json:"listening-to"`
	Peers         dial.TrafficState                `json:"peers"`
	Duties        []any                            `json:"duties,omitempty"`
}

// State returns the entry's dump.
func (e *Entry) State(ctx context.Context) State {
	out := State{
		Instance: e.config.Name, Role: fleet.EntryRole, FailureDomain: e.config.FailureDomain,
		Revision: e.spread.Current().Revision, Caller: e.handler.State(), Spread: e.spread.State(),
		Upstreams: e.balancer.State(ctx), Listening: e.balancer.Listening(), Peers: e.traffic.State(),
	}
	for _, d := range e.duties {
		out.Duties = append(out.Duties, d.State())
	}
	return out
}
