// Package directory keeps what a process knows of the configuration, of the
// upstreams and of the other instances: from the store by watches, and from its
// peers while the store does not serve it. What may be used of a lagging list is
// decided in core/upstream, what is newer in core/store.
package directory

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/core/upstream"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/go-logr/logr"
)

// Kind is a kind of objects with a revision of its own.
type Kind string

// The kinds that are kept.
const (
	// Configuration has one object, the newest configuration.
	Configuration Kind = "configuration"
	// Upstreams has one object for each upstream that registered itself.
	Upstreams Kind = "upstreams"
	// Instances has one object for each process of this system that serves others.
	Instances Kind = "instances"
)

// Store is where the objects come from.
type Store interface {
	// List returns all objects of a kind.
	List(ctx context.Context, k Kind) (store.Update, error)
	// Watch waits for changes after a revision. store.ErrHistoryGone says that
	// the kind has to be listed again.
	Watch(ctx context.Context, k Kind, after uint64, wait time.Duration) (store.Update, error)
	// WatchCached is the same at less cost to the store; changes may come seconds
	// late.
	WatchCached(ctx context.Context, k Kind, after uint64, wait time.Duration) (store.Update, error)
	// Create makes an object; store.ErrConflict comes with the one that stands.
	Create(ctx context.Context, k Kind, name string, value []byte) (store.Object, error)
	// Replace changes an object whose version must be version.
	Replace(ctx context.Context, k Kind, name string, value []byte, version uint64) (store.Object, error)
}

// Reader turns objects into what they say.
type Decoder interface {
	Configuration(value []byte) (*service.Configuration, error)
	Upstream(name string, value []byte) (service.Upstream, error)
}

// Times of the calls to the store.
const (
	// listTimeout bounds a list of many pages, each of which is bounded by the
	// store's client: thousands of entries, read by all processes at a start.
	listTimeout = 15 * time.Second
	// watchWait is how long a watch waits at the store; each one is a call. It is
	// shorter than the 20 s for which the operators' stores keep their history:
	// otherwise a kind that seldom changes is listed anew after each watch.
	watchWait = 15 * time.Second
	// watchMargin is the time beyond that after which a watch is taken for lost.
	watchMargin = 2 * time.Second
	// upstreamsPause, configurationPause and instancesPause are the pauses after a
	// change of each kind, so that a series of them, as at a start, takes few calls.
	// They are below the seconds within which a change must be in force; of
	// instances only the peers' addresses and number are used.
	// upstreamsSeriesPause follows a change that had waited for the one before.
	upstreamsPause       = 350 * time.Millisecond
	upstreamsSeriesPause = 700 * time.Millisecond
	configurationPause   = 700 * time.Millisecond
	instancesPause       = time.Second
	// seriesWithin is how soon a watch tells of a change that came before it began:
	// several answers of the store.
	seriesWithin = 50 * time.Millisecond
	// probeWait is the longest time for which a kind that the store does not serve
	// waits until the configuration is served again, before it is asked for itself.
	probeWait = 5 * time.Second
	// minPause and maxPause bound the pause after a failed call.
	minPause = 200 * time.Millisecond
	maxPause = time.Second
	// checkSlot is how often any of the entries reads the store anew: a watch may
	// deliver nothing of a change, at all processes at once. It leaves most of the
	// time within which a change must be in force to the call and the push.
	checkSlot = 800 * time.Millisecond
)

// Directory is one process's knowledge.
type Directory struct {
	peer.UnimplementedSpreadServer

	self   string
	store  Store
	reader Decoder
	seeds  []netip.AddrPort
	pool   *dial.Pool
	log    logr.Logger

	view       atomic.Pointer[service.View]
	suspension *suspension
	// unreadable is done when the clocks could not be read for the first time.
	unreadable sync.Once

	// mu guards all below.
	mu          sync.Mutex
	replicas    map[Kind]*store.Replica
	presence    *upstream.Presence
	instances   map[string]fleet.Instance
	recheck     *time.Timer
	subscribers []func(*service.View, map[string]fleet.Instance)
	// health of the store as each kind's calls found it.
	contact map[Kind]contact
	// interrupt ends the pending watch of a kind.
	interrupt map[Kind]context.CancelFunc
	stats     Stats
	// heard is when a peer last answered.
	heard time.Time
}

// contact is when calls of one kind to the store last failed and answered.
type contact struct {
	failing  bool
	failedAt time.Time
	// returned is when the store answered again after a failure.
	returned time.Time
	answered time.Time
}

// Stats counts what a directory did.
type Stats struct {
	StoreCalls  uint64 `json:"store-calls"`
	StoreErrors uint64 `json:"store-errors"`
	PeerCalls   uint64 `json:"peer-calls"`
	PeerUpdates uint64 `json:"peer-updates"`
}

// Option configures a Directory.
type Option func(*Directory)

// WithSeeds names peers that are known before any instance is.
func WithSeedPeers(seeds []netip.AddrPort) Option { return func(d *Directory) { d.seeds = seeds } }

// WithLog sets the logger.
func WithLog(l logr.Logger) Option { return func(d *Directory) { d.log = l } }

// New returns the directory of the named instance. It knows nothing before Run.
func New(self string, s Store, r Decoder, pool *dial.Pool, rules upstream.PresenceConfig, options ...Option) *Directory {
	d := &Directory{
		self: self, store: s, reader: r, pool: pool, log: logr.Discard(),
		replicas:  map[Kind]*store.Replica{},
		presence:  upstream.NewPresence(rules),
		instances: map[string]fleet.Instance{},
		contact:   map[Kind]contact{},
		interrupt: map[Kind]context.CancelFunc{},
	}
	for _, k := range kinds {
		d.replicas[k] = store.NewReplica()
	}
	for _, o := range options {
		o(d)
	}
	if d.suspension == nil {
		d.suspension = newSuspension(clock.Suspended)
	}
	d.view.Store(service.NewView(nil, nil, false))
	return d
}

var kinds = []Kind{Configuration, Upstreams, Instances}

// served are the kinds by which requests are served.
var served = []Kind{Configuration, Upstreams}

// Subscribe calls f now and at each change, one call at a time. A changed view is
// the current one when all have had it.
func (d *Directory) Subscribe(f func(*service.View, map[string]fleet.Instance)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, f)
	f(d.view.Load(), d.instances)
}

// Run keeps the directory up to date until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for _, k := range kinds {
		duties.Go(func() { d.follow(ctx, k) })
	}
	duties.Go(func() { d.followPeers(ctx) })
	duties.Go(func() { d.followSlots(ctx) })
	duties.Wait()
}

// follow keeps one kind up to date from the store.
func (d *Directory) follow(ctx context.Context, k Kind) {
	pause := minPause
	anew := true
	for ctx.Err() == nil {
		suspensions := d.suspension.suspensions()
		asked := time.Now()
		u, err := d.ask(ctx, k, anew)
		switch {
		case errors.Is(err, store.ErrHistoryGone):
			d.log.Info("the store forgot its history, listing again", "kind", k)
			anew = true
		case errors.Is(err, context.Canceled) && ctx.Err() == nil:
			// The watch was ended to begin anew.
			anew = true
		case err != nil:
			d.failed(k, err)
			clock.Sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxPause)
			d.awaitStore(ctx, k)
		default:
			pause, anew = minPause, suspensions != d.suspension.suspensions()
			d.answered(k)
			changed := d.apply(k, u, "store")
			d.suspension.confirm(k, suspensions)
			if changed && d.readsFresh() {
				d.announce(ctx, k)
			}
			switch {
			case changed:
				clock.Sleep(ctx, pauseAfter(k, time.Since(asked) < seriesWithin))
			case u.Revision == 0:
				// Nothing was ever written; a watch needs a revision.
				clock.Sleep(ctx, minPause)
			}
		}
	}
}

// pauseAfter is the pause after a change of a kind; series tells that it had
// waited for the pause before to end.
func pauseAfter(k Kind, series bool) time.Duration {
	switch {
	case k == Configuration:
		return configurationPause
	case k == Instances:
		return instancesPause
	case series:
		return upstreamsSeriesPause
	}
	return upstreamsPause
}

// awaitStore lets the configuration alone find out when a store that serves
// nothing is back: each try is a call of every process.
func (d *Directory) awaitStore(ctx context.Context, k Kind) {
	for begun := time.Now(); k != Configuration && time.Since(begun) < probeWait && ctx.Err() == nil; {
		d.mu.Lock()
		lost := d.contact[Configuration].failing
		d.mu.Unlock()
		if !lost {
			return
		}
		clock.Sleep(ctx, minPause)
	}
}

// ask lists a kind, or waits for its changes.
func (d *Directory) ask(ctx context.Context, k Kind, anew bool) (store.Update, error) {
	d.mu.Lock()
	revision := d.replicas[k].Revision()
	failing := d.contact[k].failing
	d.stats.StoreCalls++
	d.mu.Unlock()
	if anew || revision == 0 || d.suspension.awaits(k) {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return d.store.List(ctx, k)
	}
	wait := watchWait
	if failing {
		wait = 0 // tells at once whether the store answers again
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	d.mu.Lock()
	d.interrupt[k] = cancel
	d.mu.Unlock()
	if !d.readsFresh() {
		return d.store.WatchCached(ctx, k, revision, wait)
	}
	return d.store.Watch(ctx, k, revision, wait)
}

func (d *Directory) failed(k Kind, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.StoreErrors++
	c := d.contact[k]
	if !c.failing {
		d.log.Info("the store is lost", "kind", k, "revision", d.replicas[k].Revision(), "reason", err.Error())
	}
	c.failing, c.failedAt = true, time.Now()
	d.contact[k] = c
}

func (d *Directory) answered(k Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.contact[k]
	c.answered = time.Now()
	if c.failing {
		c.failing, c.returned = false, c.answered
		d.log.Info("the store is back", "kind", k)
	}
	d.contact[k] = c
}

// apply moves one kind forward and publishes what follows. What is older than
// what the process knows is refused, whoever sends it. The result tells whether
// there was news.
func (d *Directory) apply(k Kind, u store.Update, source string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.replicas[k].Revision()
	if outcome := d.replicas[k].Apply(u); outcome != store.Applied {
		return false
	}
	if changes := d.replicas[k].Since(before); before > 0 && len(changes.Objects) == 0 {
		return false
	}
	d.log.V(1).Info("objects changed", "kind", k, "revision", u.Revision, "from", before, "source", source, "objects", len(u.Objects))
	switch k {
	case Configuration:
		d.readConfiguration(source)
	case Upstreams:
		d.readUpstreams(source)
	case Instances:
		d.readInstances()
	}
	return true
}

// readConfiguration takes the newest configuration into force; d.mu is held.
func (d *Directory) readConfiguration(source string) {
	now := d.view.Load()
	for _, o := range d.replicas[Configuration].List("") {
		next, err := d.reader.Configuration(o.Value)
		if err != nil {
			d.log.Error(err, "a configuration cannot be read, the one before stays in force", "object", o.Name, "revision", o.Version)
			continue
		}
		if now.Configuration != nil && next.Version <= now.Configuration.Version {
			continue
		}
		now = service.NewView(next, now.Upstreams, now.UpstreamsKnown)
		d.log.Info("configuration in force", "version", next.Version, "revision", o.Version, "source", source,
			"routes", len(next.Routes), "accounts", len(next.Accounts))
	}
	d.publish(now)
}

// readUpstreams takes in the list of upstreams; d.mu is held.
func (d *Directory) readUpstreams(source string) {
	list := map[string]service.Upstream{}
	for _, o := range d.replicas[Upstreams].List("") {
		u, err := d.reader.Upstream(o.Name, o.Value)
		if err != nil {
			d.log.V(1).Info("an entry names no upstream", "object", o.Name, "revision", o.Version, "reason", err.Error())
			continue
		}
		list[u.ID] = u
	}
	d.logChanges(list, source)
	d.presence.UpdateList(list, d.sinceReturn(), time.Now())
	d.publishUsable()
}

// logChanges writes a line for each upstream that came, changed or went.
func (d *Directory) logChanges(list map[string]service.Upstream, source string) {
	before := d.view.Load().Upstreams
	for id, u := range list {
		old, known := before[id]
		if !known || old.Leaving != u.Leaving || old.Incarnation() != u.Incarnation() || old.Lapsed {
			d.log.Info("upstream listed", "upstream", id, "address", u.Address, "service", u.Service, "leaving", u.Leaving, "source", source)
		}
	}
	for id, u := range before {
		if _, stays := list[id]; !stays && !u.Lapsed {
			d.log.Info("upstream no longer listed", "upstream", id, "service", u.Service, "source", source, "store-back-ms", d.sinceReturn().Milliseconds())
		}
	}
}

// sinceReturn is the time since the store answered again, 0 while it is away,
// negative if it never was; d.mu is held.
func (d *Directory) sinceReturn() time.Duration {
	c := d.contact[Upstreams]
	switch {
	case c.failing:
		return 0
	case c.returned.IsZero():
		return -1
	default:
		return time.Since(c.returned)
	}
}

// publishUsable publishes the upstreams that may be used now, and again when
// that changes by time alone; d.mu is held.
func (d *Directory) publishUsable() {
	usable, next := d.presence.Usable(time.Now())
	if d.recheck != nil {
		d.recheck.Stop()
	}
	if !next.IsZero() {
		d.recheck = time.AfterFunc(time.Until(next), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.publishUsable()
		})
	}
	d.publish(d.view.Load().WithUpstreams(usable))
}

// readInstances takes in the list of processes; d.mu is held.
func (d *Directory) readInstances() {
	instances := map[string]fleet.Instance{}
	for _, o := range d.replicas[Instances].List("") {
		i, err := fleet.ParseInstance(o.Value)
		if err != nil {
			d.log.Info("an instance cannot be read", "object", o.Name, "reason", err.Error())
			continue
		}
		instances[i.Name] = i
	}
	d.instances = instances
	d.publish(d.view.Load())
}

// publish makes a view the current one; d.mu is held.
func (d *Directory) publish(v *service.View) {
	// Subscribers first: whoever sees a view may rely on them.
	for _, f := range d.subscribers {
		f(v, d.instances)
	}
	d.view.Store(v)
}

// followSlots reads the store anew in this process's turn, and pushes what no
// watch has delivered to all peers.
func (d *Directory) followSlots(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, d.untilSlot(time.Now()))
		for _, k := range served {
			d.check(ctx, k)
		}
	}
}

// untilSlot is the time until this process's next turn. The turns follow the
// time of day: where clocks differ, two may check at once and a turn be left out.
func (d *Directory) untilSlot(now time.Time) time.Duration {
	d.mu.Lock()
	names := slices.Sorted(maps.Keys(d.instances))
	d.mu.Unlock()
	index := max(slices.Index(names, d.self), 0)
	cycle := time.Duration(max(len(names), 1)) * checkSlot
	start := time.Duration(index) * checkSlot
	wait := start - time.Duration(now.UnixNano()%int64(cycle))
	if wait <= 0 {
		wait += cycle
	}
	return wait
}

// check reads a kind anew.
func (d *Directory) check(ctx context.Context, k Kind) {
	d.mu.Lock()
	skip := d.contact[k].failing || d.replicas[k].Revision() == 0
	before := d.replicas[k].Revision()
	d.mu.Unlock()
	if skip {
		return
	}
	suspensions := d.suspension.suspensions()
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	u, err := d.store.List(limited, k)
	if err != nil {
		d.failed(k, err)
		d.endWatch(k)
		return
	}
	changed := d.apply(k, u, "check")
	d.suspension.confirm(k, suspensions)
	if changed {
		d.log.Info("the watch missed a change", "kind", k, "revision", u.Revision, "known", before)
		if d.readsFresh() {
			d.endWatch(k)
		}
		d.push(ctx, k, before)
	}
}

// endWatch ends the pending watch of a kind, which then begins anew.
func (d *Directory) endWatch(k Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel := d.interrupt[k]; cancel != nil {
		cancel()
	}
}

// State is the directory's part of the dump.
type State struct {
	ConfigurationVersion uint64               `json:"configuration-version"`
	Kinds                map[string]KindState `json:"kinds"`
	Instances            int                  `json:"instances"`
	Stats                Stats                `json:"stats"`
}

// KindState is what is known of one kind.
type KindState struct {
	Revision uint64 `json:"revision"`
	// StoreFailing tells that the store does not serve the kind to this process.
	StoreFailing bool `json:"store-failing"`
	// AnsweredAgo is the time since the store's last answer.
	AnsweredAgo time.Duration `json:"answered-ago-nanoseconds"`
}

// State returns the directory's part of the dump.
func (d *Directory) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := State{
		ConfigurationVersion: configurationVersion(d.view.Load()),
		Kinds:                map[string]KindState{}, Instances: len(d.instances), Stats: d.stats,
	}
	for _, k := range kinds {
		s := KindState{Revision: d.replicas[k].Revision(), StoreFailing: d.contact[k].failing}
		if at := d.contact[k].answered; !at.IsZero() {
			s.AnsweredAgo = time.Since(at)
		}
		out.Kinds[string(k)] = s
	}
	return out
}
