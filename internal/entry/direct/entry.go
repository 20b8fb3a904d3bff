// Package direct assembles an entry that forwards callers' requests unchanged
// to upstreams that it reaches without agents. It creates the entry's
// components and listeners and shuts them down in order.
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

	"bramleydeal/internal/core/admission"
	coreclient "bramleydeal/internal/core/client"
	"bramleydeal/internal/core/store"
	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/client"
	"bramleydeal/internal/entry/upstream"
	"bramleydeal/internal/process/clock"
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
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"
	"google.golang.org/grpc"
)

// Timing of a shutdown.
const (
	// routedTime is how long callers may still be routed to this entry after it stopped
	// being ready: two readiness checks one second apart, and a second for those on their
	// way.
	routedTime = 3 * time.Second
	// unreadyGrace is how long this entry goes on serving after it stopped being ready: the
	// last request that was routed here must have arrived.
	unreadyGrace = routedTime + 200*time.Millisecond
	// exitMargin and exitMarginShare limit the part of the grace period that is reserved for
	// the exit of the process.
	exitMargin      = 500 * time.Millisecond
	exitMarginShare = 0.1
	// drainPollInterval is how often a draining entry checks whether all
	// requests are done.
	drainPollInterval = 20 * time.Millisecond
)

// Settings for the choice among upstreams, also those that left the list.
const (
	// ejectionTime is the length of the first ejection. An upstream that
	// crashed needs seconds to restart.
	ejectionTime = time.Second
	// ejectionFailures is the number of consecutive failures after which an
	// upstream is ejected.
	ejectionFailures = 3
	// ejectionErrorRate is the fraction of failed requests from which on an
	// upstream is ejected. It is well above that of a healthy service.
	ejectionErrorRate = 0.4
	// slowFactor is the multiple of the median latency above which an upstream
	// is ejected.
	slowFactor = 3
	// removalGraceShare is the part of the drain time during which an upstream
	// that was removed from the list may still be used if no better one is left.
	removalGraceShare = 0.4
	// recoveryGrace is how long upstreams whose registrations lapsed during a
	// store outage may take to register again after it.
	recoveryGrace = 2200 * time.Millisecond
)

// Dependencies holds the parts of an entry that depend on the platform that it
// is deployed on.
type Dependencies struct {
	Store       directory.Store
	Decoder     directory.Decoder
	HeaderCodec client.HeaderCodec
}

// Entry is the entry component of a process.
type Entry struct {
	config       config.Process
	log          *log.Logger
	files        *tlsfiles.Files
	pool         *dial.Pool
	traffic      dial.Traffic
	budget       *inbound.Budget
	store        directory.Store
	directory    *directory.Directory
	pools        *upstream.Pools
	handler      *client.Handler
	callerServer *client.Server
	expvars      *expvar.Map
	metricSet    *metrics.Set
	// identityKey is the key under which requests are identified. Only keepRegistered uses it
	// once Run was called.
	identityKey coreclient.IdentityKey
	// unlisted signals that this process is missing from the list of instances.
	unlisted chan struct{}
}

// New returns an Entry with settings c that uses the platform through d. seed
// determines its random choices. It returns an error if the TLS files cannot be
// loaded.
func New(c config.Process, d Dependencies, seed uint64, logger *log.Logger) (*Entry, error) {
	files, err := tlsfiles.Load(c.TLS)
	if err != nil {
		return nil, err
	}
	e := &Entry{config: c, log: logger, files: files, store: d.Store, unlisted: make(chan struct{}, 1), expvars: new(expvar.Map).Init(), metricSet: metrics.NewSet()}
	e.pool = dial.NewPool(files.PeerCredentials(), &e.traffic)
	e.budget = inbound.NewBudget(c.MemoryBytes(), c.Descriptors)
	drainTime := time.Duration(c.Direct.DrainTime)
	e.pools = upstream.NewPools(seed, c.Name, c.FailureDomain, upstream.Config{
		Pool: core.PoolConfig{
			Regions:      c.Direct.Regions,
			EjectionTime: ejectionTime, EjectionFailures: ejectionFailures, EjectionErrorRate: ejectionErrorRate, SlowFactor: slowFactor,
			Cold: core.ColdConfig{Factor: c.Direct.ColdFactor, Slack: c.Direct.ColdSlack},
		},
		Quota:     retryQuotaConfig(c.Direct),
		Admission: c.Direct.Admission == config.AdmitInTime,
	}, e.metricSet, logger.Component("pools"))
	e.directory = directory.New(c.Name, d.Store, d.Decoder, e.pool,
		core.PresenceConfig{RemovalGrace: time.Duration(removalGraceShare * float64(drainTime)), RecoveryGrace: recoveryGrace},
		append(evacuationOptions(c.Direct), directory.WithSeedPeers(otherPeers(c)), directory.WithNews(e.pools), directory.WithLog(logger.Component("directory")))...)
	e.handler = client.New(client.Config{
		View: e.directory.View, AwaitConfirmation: e.directory.AwaitConfirmation, Pools: e.pools, HeaderCodec: d.HeaderCodec, Log: logger.Component("client"), CountSuppressed: logger.CountSuppressed, Metrics: e.metricSet,
	})
	e.identityKey = coreclient.NewIdentityKey()
	e.handler.SetIdentityKey(e.identityKey)
	e.pools.OnUrgentNews(e.directory.Announce)
	e.callerServer = client.NewServer(e.handler, logger, client.WithBudget(e.budget))
	e.handler.SetAccepting(e.callerServer.Accepting)
	e.registerMetrics()
	e.expvars.Set("upstreams", expvar.Func(func() any { return e.pools.State(time.Now()) }))
	e.expvars.Set("placement", expvar.Func(func() any { return e.pools.Placements(time.Now()) }))
	e.expvars.Set("peers", expvar.Func(func() any { return e.traffic.State() }))
	e.expvars.Set("memstats", expvar.Get("memstats"))
	return e, nil
}

// registerMetrics registers the metrics of the entry's components.
func (e *Entry) registerMetrics() {
	e.budget.Register(e.metricSet)
	gauge := func(name string, value func() float64) { e.metricSet.NewGauge(name, value) }
	gauge("bramleydeal_ready", func() float64 {
		if e.handler.Ready() {
			return 1
		}
		return 0
	})
	gauge("bramleydeal_configuration_version", func() float64 { return float64(e.directory.State().ConfigurationVersion) })
	for _, k := range e.directory.Kinds() {
		gauge(fmt.Sprintf(`bramleydeal_store_answered_ago_seconds{kind=%q}`, k), func() float64 {
			return e.directory.State().Kinds[string(k)].AnsweredAgo.Seconds()
		})
	}
	gauge("bramleydeal_task_panics", func() float64 { return float64(task.Panics()) })
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
	gauge("bramleydeal_domains_evacuated", func() float64 { return float64(len(e.directory.State().Evacuated)) })
	gauge("bramleydeal_upstreams_limited", func() float64 {
		n := 0
		for _, members := range e.pools.State(time.Now()) {
			for _, m := range members {
				if m.Limit != nil {
					n++
				}
			}
		}
		return float64(n)
	})
	gauge("bramleydeal_prompt_parts_held", func() float64 {
		return e.countHeld(func(s upstream.SuspectStates) []core.SuspectState { return s.Parts })
	})
	gauge("bramleydeal_requests_held", func() float64 {
		return e.countHeld(func(s upstream.SuspectStates) []core.SuspectState { return s.Requests })
	})
	gauge(`bramleydeal_log_lines_left_out{reason="reader-slow"}`, func() float64 { dropped, _ := e.log.OmittedLines(); return float64(dropped) })
	gauge(`bramleydeal_log_lines_left_out{reason="over-the-rate"}`, func() float64 { _, suppressed := e.log.OmittedLines(); return float64(suppressed) })
}

// countHeld returns the number of suspects for which requests are held back, of those that
// kind selects.
func (e *Entry) countHeld(kind func(upstream.SuspectStates) []core.SuspectState) float64 {
	n := 0
	for _, states := range e.pools.Suspects(time.Now()) {
		for _, s := range kind(states) {
			if s.HeldForMS > 0 {
				n++
			}
		}
	}
	return float64(n)
}

// evacuationOptions makes the directory follow evacuations if the deployment has any.
func evacuationOptions(d *config.Direct) []directory.Option {
	if d.EvacuationTime <= 0 {
		return nil
	}
	return []directory.Option{directory.WithEvacuations(time.Duration(d.EvacuationTime))}
}

func retryQuotaConfig(d *config.Direct) core.RetryQuotaConfig {
	return core.RetryQuotaConfig{
		Ratio: d.RetryRatio, Slack: d.RetrySlack, Window: time.Duration(d.RetryWindow),
	}
}

// Reload applies changed settings. Only the retry quota's settings can change;
// the listen addresses stay those of the start.
func (e *Entry) Reload(c config.Process) {
	if c.Direct != nil {
		e.pools.Configure(retryQuotaConfig(c.Direct))
	}
}

// otherPeers returns the configured peers except this process itself.
func otherPeers(c config.Process) (out []netip.AddrPort) {
	for _, a := range c.Peers {
		if a != c.PeerListen {
			out = append(out, a)
		}
	}
	return out
}

// Run serves until stop is done, then drains, closes the caller listener and
// returns. If ctx ends, it closes the caller listener immediately. The ready and
// debug listeners close when Run returns, the peer listener with the process.
func (e *Entry) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.log.Flush()
	defer e.pool.Close()
	e.directory.Subscribe(e.viewChanged)
	if err := e.listen(ctx); err != nil {
		return err
	}
	go e.directory.Run(ctx)
	go task.Run(ctx, e.log.Component("entry"), "register", e.keepRegistered)
	e.log.Component("entry").Info("started", "listen", e.config.Listen, "failure-domain", e.config.FailureDomain)
	select {
	case <-stop.Done():
	case <-ctx.Done():
		return e.callerServer.Close()
	}
	return e.shutDown(ctx)
}

// viewChanged applies a new view and list of instances to the pools and the
// caller listener.
func (e *Entry) viewChanged(v *service.View, instances map[string]fleet.Instance) {
	var entries []fleet.Instance
	for _, i := range instances {
		if i.Role == fleet.EntryRole {
			entries = append(entries, i)
		}
	}
	e.pools.Update(v, entries)
	if _, listed := instances[e.config.Name]; !listed && len(instances) > 0 {
		select {
		case e.unlisted <- struct{}{}:
		default:
		}
	}
	if v.Configuration != nil {
		e.callerServer.Configure(v.Configuration.Limits)
	}
}

// listen opens the listeners and starts serving them.
func (e *Entry) listen(ctx context.Context) error {
	callerListener, err := net.Listen("tcp", e.config.Listen.String())
	if err != nil {
		return oops.Code("listen").Wrapf(err, "listen: give another address, or end the process that holds it")
	}
	peerListener, err := e.traffic.Listen(e.config.PeerListen.String())
	if err != nil {
		return errors.Join(err, callerListener.Close())
	}
	peers := grpc.NewServer(append(dial.ServerOptions(e.files.PeerCredentials(), e.budget), task.RecoverCalls(e.log.Component("entry")))...)
	peer.RegisterSpreadServer(peers, e.directory)
	go e.runListener("peers", func() error { return peers.Serve(e.budget.PeerListener(peerListener)) })
	go e.runListener("callers", func() error { return e.callerServer.Serve(callerListener) })
	if e.config.ReadyListen.IsValid() {
		go e.runListener("ready", func() error { return e.serveReady(ctx) })
	}
	if e.config.DebugListen.IsValid() {
		go e.runListener("debug", func() error {
			return debug.Serve(ctx, e.config.DebugListen, debug.Handler(e.expvars, func() any { return e.State() }, nil, debug.WithMetrics(e.metricSet)), e.budget)
		})
	}
	return nil
}

func (e *Entry) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", e.handler.ServeReady)
	return debug.Serve(ctx, e.config.ReadyListen, mux, e.budget)
}

// runListener runs serve and logs its error, unless the server was shut down.
func (e *Entry) runListener(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Component("entry").Error(err, "listener failed; it no longer accepts connections", "listener", name)
	}
}

// keepRegistered writes this process into the store's list of instances, so that other
// instances find it, shares the key under which requests are identified, and does both again whenever the list has other instances only: a store that
// came back from an older copy has lost it. It returns when ctx ends.
func (e *Entry) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		e.register(ctx)
		e.shareIdentityKey(ctx)
		clock.Sleep(ctx, registerRetryDelay)
		select {
		case <-e.unlisted:
		case <-ctx.Done():
		}
	}
}

// register writes this process into the store's list of instances. It retries until the
// write succeeds, the store has the same object already, another write has replaced the
// object in between, or ctx ends.
func (e *Entry) register(ctx context.Context) {
	value, err := json.Marshal(fleet.Instance{
		Name: e.config.Name, Role: fleet.EntryRole, FailureDomain: e.config.FailureDomain,
		Address: e.config.PeerListen, DebugAddress: e.config.DebugListen,
	})
	if err != nil {
		e.log.Component("entry").Error(err, "registration failed: the instance cannot be encoded; other instances cannot find this process")
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		stored, err := e.store.Create(callCtx, directory.Instances, e.config.Name, value)
		if errors.Is(err, store.ErrConflict) && string(stored.Value) != string(value) {
			_, err = e.store.Replace(callCtx, directory.Instances, e.config.Name, value, stored.Version)
		}
		cancel()
		if err == nil || errors.Is(err, store.ErrConflict) {
			e.log.Component("entry").Info("registered", "address", e.config.PeerListen)
			return
		}
		e.log.Component("entry").V(1).Info("registering this process in the store failed; retrying", "reason", err.Error())
		clock.Sleep(ctx, registerRetryDelay)
	}
}

// Timing of the registration.
const (
	registerTimeout    = 2 * time.Second
	registerRetryDelay = 2 * time.Second
)

// shutDown keeps serving until callers are no longer routed here and all
// requests are done, or the grace period is nearly over, and then closes the
// caller listener.
func (e *Entry) shutDown(ctx context.Context) error {
	l := e.log.Component("entry")
	began := time.Now()
	grace := time.Duration(e.config.Direct.Grace)
	end := began.Add(grace - min(exitMargin, time.Duration(exitMarginShare*float64(grace))))
	l.Info("draining started", "grace", grace.String(), "in-flight", e.handler.InFlight())
	e.handler.Drain(began.Add(routedTime), end)
	e.callerServer.DisableKeepAlives()
	clock.Sleep(ctx, min(unreadyGrace, time.Until(end)))
	for e.handler.InFlight() > 0 && time.Now().Before(end) && ctx.Err() == nil {
		clock.Sleep(ctx, drainPollInterval)
	}
	l.Info("stopped", "in-flight", e.handler.InFlight(), "took-ms", time.Since(began).Milliseconds())
	shutdownCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := e.callerServer.Shutdown(shutdownCtx); err != nil {
		return oops.Wrap(e.callerServer.Close())
	}
	return nil
}

// State is the entry's debug state.
type State struct {
	Instance      string                        `json:"instance"`
	Role          fleet.Role                    `json:"role"`
	FailureDomain fleet.FailureDomain           `json:"failure-domain"`
	Ready         bool                          `json:"ready"`
	InFlight      int64                         `json:"in-flight"`
	Directory     directory.State               `json:"directory"`
	Upstreams     map[string][]core.MemberState `json:"upstreams"`
	// Gates are the gates that have held back or admitted requests, by service.
	Gates   map[string]admission.State  `json:"gates"`
	Outages map[string]core.OutageState `json:"outages"`
	// Suspects are the contents of requests on which upstreams may have ended, by service.
	Suspects map[string]upstream.SuspectStates `json:"suspects"`
	Peers    dial.TrafficState                 `json:"peers"`
	Clients  inbound.Stats                     `json:"clients"`
}

// State returns the entry's debug state.
func (e *Entry) State() State {
	return State{
		Instance: e.config.Name, Role: fleet.EntryRole, FailureDomain: e.config.FailureDomain, Ready: e.handler.Ready(),
		InFlight: e.handler.InFlight(), Directory: e.directory.State(), Upstreams: e.pools.State(time.Now()), Gates: e.pools.Gates(time.Now()), Outages: e.pools.Outages(time.Now()), Suspects: e.pools.Suspects(time.Now()), Peers: e.traffic.State(), Clients: e.budget.State(),
	}
}
