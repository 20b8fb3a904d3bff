// Package direct puts an entry together that forwards callers' requests
// unchanged to upstreams which it reaches without an agent: its listeners, its
// parts and the order in which they stop.
package direct

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bramleydeal/internal/core/store"
	choice "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/client"
	"bramleydeal/internal/entry/upstream"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/process/config"
	"bramleydeal/internal/process/debug"
	"bramleydeal/internal/process/directory"
	"bramleydeal/internal/process/log"
	"bramleydeal/internal/process/tlsfiles"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"
	"google.golang.org/grpc"
)

// Times of a shutdown.
const (
	// rotationTime is how long callers may still be led here after the entry
	// stopped being ready: two questions, a second apart, and the last callers.
	rotationTime = 3200 * time.Millisecond
	// exitMargin is kept of the grace for the exit itself.
	exitMargin = 500 * time.Millisecond
	// drainPoll is how often a leaving entry looks whether it is done.
	drainPoll = 20 * time.Millisecond
)

// Settings of the choice among upstreams and of their presence.
const (
	// ejectionTime is the first ejection; an upstream that crashed needs seconds.
	ejectionTime     = time.Second
	ejectionFailures = 3
	// ejectionRate is well above the share of failures of a sound service.
	ejectionRate = 0.4
	slowFactor   = 3
	// lingerShare is the part of the drain time for which a removed upstream may
	// be used where nothing better is left.
	lingerShare = 0.4
	// returnTime is how long lapsed entries may take to come back.
	returnTime = 2200 * time.Millisecond
	// usualEntries is the number of entries assumed until any are known.
	usualEntries = 12
)

// Deployment is what an entry meets on the operators' platform.
type Dependencies struct {
	Store       directory.Store
	Decoder     directory.Decoder
	HeaderCodec client.HeaderCodec
}

// Entry is one entry process.
type Entry struct {
	config    config.Process
	log       *log.Logger
	files     *tlsfiles.Files
	pool      *dial.Pool
	traffic   dial.Traffic
	store     directory.Store
	directory *directory.Directory
	pools     *upstream.Pools
	handler   *client.Handler
	callers   *client.Server
	metrics   *expvar.Map
	numbers   *metrics.Set
}

// New puts an entry together. seed decides its random choices.
func New(c config.Process, d Dependencies, seed uint64, logger *log.Logger) (*Entry, error) {
	files, err := tlsfiles.Load(c.TLS)
	if err != nil {
		return nil, err
	}
	e := &Entry{config: c, log: logger, files: files, store: d.Store, metrics: new(expvar.Map).Init(), numbers: metrics.NewSet()}
	e.pool = dial.NewPool(files.PeerCredentials(), &e.traffic)
	drainTime := time.Duration(c.Direct.DrainTime)
	e.directory = directory.New(c.Name, d.Store, d.Decoder, e.pool,
		choice.PresenceConfig{RemovalGrace: time.Duration(lingerShare * float64(drainTime)), RecoveryGrace: returnTime},
		directory.WithSeedPeers(others(c)), directory.WithLog(logger.Component("directory")))
	e.pools = upstream.NewPools(seed, c.FailureDomain, upstream.Rules{
		Pool: choice.PoolConfig{
			EjectionTime: ejectionTime, EjectionFailures: ejectionFailures, EjectionErrorRate: ejectionRate, SlowFactor: slowFactor,
		},
		Quota: quotaRules(c.Direct),
	}, e.numbers, logger.Component("pools"))
	e.handler = client.New(client.Config{
		View: e.directory.View, Await: e.directory.AwaitConfirmation, Pools: e.pools, Dialect: d.HeaderCodec, Log: logger.Component("client"), Omit: logger.CountSuppressed, Metrics: e.numbers,
	})
	e.callers = client.NewServer(e.handler, logger)
	e.publishNumbers()
	e.metrics.Set("upstreams", expvar.Func(func() any { return e.pools.State(time.Now()) }))
	e.metrics.Set("peers", expvar.Func(func() any { return e.traffic.State() }))
	e.metrics.Set("memstats", expvar.Get("memstats"))
	return e, nil
}

// publishNumbers serves what the parts count.
func (e *Entry) publishNumbers() {
	gauge := func(name string, value func() float64) { e.numbers.NewGauge(name, value) }
	gauge("bramleydeal_ready", func() float64 {
		if e.handler.Ready() {
			return 1
		}
		return 0
	})
	gauge("bramleydeal_configuration_version", func() float64 { return float64(e.directory.State().ConfigurationVersion) })
	for _, k := range []directory.Kind{directory.Configuration, directory.Upstreams, directory.Instances} {
		gauge(fmt.Sprintf(`bramleydeal_store_answered_ago_seconds{kind=%q}`, k), func() float64 {
			return e.directory.State().Kinds[string(k)].AnsweredAgo.Seconds()
		})
	}
	gauge("bramleydeal_store_calls", func() float64 { return float64(e.directory.State().Stats.StoreCalls) })
	gauge("bramleydeal_store_errors", func() float64 { return float64(e.directory.State().Stats.StoreErrors) })
	gauge("bramleydeal_peer_updates", func() float64 { return float64(e.directory.State().Stats.PeerUpdates) })
	gauge("bramleydeal_upstreams_ejected", func() float64 {
		n := 0
		for _, members := range e.pools.State(time.Now()) {
			for _, m := range members {
				if m.Ejected {
					n++
				}
			}
		}
		return float64(n)
	})
	gauge(`bramleydeal_log_lines_left_out{reason="reader-slow"}`, func() float64 { dropped, _ := e.log.DroppedLines(); return float64(dropped) })
	gauge(`bramleydeal_log_lines_left_out{reason="over-the-rate"}`, func() float64 { _, omitted := e.log.DroppedLines(); return float64(omitted) })
}

func quotaRules(d *config.Direct) choice.RetryQuotaConfig {
	return choice.RetryQuotaConfig{
		Ratio: d.RetryRatio, Slack: d.RetrySlack, Window: time.Duration(d.RetryWindow), Processes: usualEntries,
	}
}

// Reload takes changed settings into force: the bounds of repeats. Addresses are
// those of the start.
func (e *Entry) Reload(c config.Process) {
	if c.Direct != nil {
		e.pools.Configure(quotaRules(c.Direct))
	}
}

// others returns the peers of the settings without the process itself.
func others(c config.Process) (out []netip.AddrPort) {
	for _, a := range c.Peers {
		if a != c.PeerListen {
			out = append(out, a)
		}
	}
	return out
}

// Run serves until stop ends, then drains; it returns when all is closed. ctx
// ends everything at once.
func (e *Entry) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.log.Flush()
	defer e.pool.Close()
	e.directory.Subscribe(e.changed)
	if err := e.listen(ctx); err != nil {
		return err
	}
	go e.directory.Run(ctx)
	go e.register(ctx)
	e.log.Component("entry").Info("started", "listen", e.config.Listen, "failure-domain", e.config.FailureDomain)
	select {
	case <-stop.Done():
	case <-ctx.Done():
		return e.callers.Close()
	}
	return e.shutDown(ctx)
}

func (e *Entry) changed(v *service.View, instances map[string]fleet.Instance) {
	entries := 0
	for _, i := range instances {
		if i.Role == fleet.EntryRole {
			entries++
		}
	}
	if entries == 0 {
		entries = usualEntries
	}
	e.pools.Update(v, entries)
	if v.Configuration != nil {
		e.callers.Configure(v.Configuration.Limits)
	}
}

// listen opens the entry's listeners and serves them.
func (e *Entry) listen(ctx context.Context) error {
	callerListener, err := net.Listen("tcp", e.config.Listen.String())
	if err != nil {
		return oops.Code("listen").Wrapf(err, "listen: give another address, or end the process that holds it")
	}
	peerListener, err := e.traffic.Listen(e.config.PeerListen.String())
	if err != nil {
		return errors.Join(err, callerListener.Close())
	}
	peers := grpc.NewServer(dial.ServerOptions(e.files.PeerCredentials())...)
	peer.RegisterSpreadServer(peers, e.directory)
	go e.report("peers", func() error { return peers.Serve(peerListener) })
	go e.report("callers", func() error { return e.callers.Serve(callerListener) })
	if e.config.ReadyListen.IsValid() {
		go e.report("ready", func() error { return e.serveReady(ctx) })
	}
	if e.config.DebugListen.IsValid() {
		go e.report("debug", func() error {
			return debug.Serve(ctx, e.config.DebugListen, debug.Handler(e.metrics, func() any { return e.State() }, nil, debug.WithMetrics(e.numbers)))
		})
	}
	return nil
}

func (e *Entry) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", e.handler.ServeReady)
	return debug.Serve(ctx, e.config.ReadyListen, mux)
}

func (e *Entry) report(part string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Component("entry").Error(err, "a listener ended", "listener", part)
	}
}

// register makes the process known to the others through the store.
func (e *Entry) register(ctx context.Context) {
	value, err := json.Marshal(fleet.Instance{
		Name: e.config.Name, Role: fleet.EntryRole, FailureDomain: e.config.FailureDomain,
		Address: e.config.PeerListen, DebugAddress: e.config.DebugListen,
	})
	if err != nil {
		e.log.Component("entry").Error(err, "the process cannot be described")
		return
	}
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, registerTimeout)
		held, err := e.store.Create(limited, directory.Instances, e.config.Name, value)
		if errors.Is(err, store.ErrConflict) && string(held.Value) != string(value) {
			_, err = e.store.Replace(limited, directory.Instances, e.config.Name, value, held.Version)
		}
		cancel()
		if err == nil || errors.Is(err, store.ErrConflict) {
			e.log.Component("entry").Info("registered", "address", e.config.PeerListen)
			return
		}
		e.log.Component("entry").V(1).Info("not registered yet", "reason", err.Error())
		clock.Sleep(ctx, registerPause)
	}
}

// Times of the registration.
const (
	registerTimeout = 2 * time.Second
	registerPause   = 2 * time.Second
)

// shutDown goes on serving until no caller is led here any more and every
// request has its answer, or the grace is nearly over.
func (e *Entry) shutDown(ctx context.Context) error {
	l := e.log.Component("entry")
	began := time.Now()
	end := began.Add(time.Duration(e.config.Direct.Grace) - exitMargin)
	l.Info("leaving", "grace", time.Duration(e.config.Direct.Grace).String(), "in-flight", e.handler.InFlight())
	e.handler.Leave(end)
	e.callers.AskToLeave()
	clock.Sleep(ctx, min(rotationTime, time.Until(end)))
	for e.handler.InFlight() > 0 && time.Now().Before(end) && ctx.Err() == nil {
		clock.Sleep(ctx, drainPoll)
	}
	l.Info("stopped", "in-flight", e.handler.InFlight(), "took-ms", time.Since(began).Milliseconds())
	limited, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := e.callers.Shutdown(limited); err != nil {
		return oops.Wrap(e.callers.Close())
	}
	return nil
}

// State is the entry's dump.
type State struct {
	Instance      string                          `json:"instance"`
	Role          fleet.Role                      `json:"role"`
	FailureDomain fleet.FailureDomain             `json:"failure-domain"`
	Ready         bool                            `json:"ready"`
	InFlight      int64                           `json:"in-flight"`
	Directory     directory.State                 `json:"directory"`
	Upstreams     map[string][]choice.MemberState `json:"upstreams"`
	Peers         dial.TrafficState               `json:"peers"`
}

// State returns the entry's dump.
func (e *Entry) State() State {
	return State{
		Instance: e.config.Name, Role: fleet.EntryRole, FailureDomain: e.config.FailureDomain, Ready: e.handler.Ready(),
		InFlight: e.handler.InFlight(), Directory: e.directory.State(), Upstreams: e.pools.State(time.Now()), Peers: e.traffic.State(),
	}
}
