// Package directory maintains a process's local copy of the configuration, the
// upstreams and the other instances. It follows the store by watches, and compares
// with peers, which provide the updates while the store is unavailable to the
// process. Package core/upstream decides which upstreams of an outdated list may be
// used, package core/store which of two updates is newer.
package directory

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/core/upstream"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/process/task"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/go-logr/logr"
	"github.com/samber/oops"
)

// Kind is a kind of objects. Each kind is listed and watched on its own and has its own
// revision.
type Kind string

// The kinds of objects in a directory.
const (
	// Configuration has a single object, the newest configuration.
	Configuration Kind = "configuration"
	// Upstreams has an object for each upstream that registered itself.
	Upstreams Kind = "upstreams"
	// Instances has an object for each entry, which the entry itself creates.
	Instances Kind = "instances"
	// Evacuations has an object for each failure domain whose upstreams the operator wants
	// to get no requests. It is followed only with the option WithEvacuations.
	Evacuations Kind = "evacuations"
	// IdentityKeys has one object with the key under which all entries identify requests. It
	// is not replicated: an entry reads it as it starts.
	IdentityKeys Kind = "identity-keys"
)

// Store is a client of the object store.
type Store interface {
	// List returns all objects of a kind.
	List(ctx context.Context, k Kind) (store.Update, error)
	// Watch returns the changes after a revision. It waits up to the given time if
	// there are none yet. The error store.ErrHistoryGone means that the store no
	// longer has these changes and the kind has to be listed again.
	Watch(ctx context.Context, k Kind, after uint64, wait time.Duration) (store.Update, error)
	// WatchCached is like Watch but reads from the store's cache. It costs the store
	// less, and changes may be delayed by seconds.
	WatchCached(ctx context.Context, k Kind, after uint64, wait time.Duration) (store.Update, error)
	// Create adds an object. If it exists already, Create returns it with
	// store.ErrConflict.
	Create(ctx context.Context, k Kind, name string, value []byte) (store.Object, error)
	// Replace overwrites an object whose version must be version. If it has another
	// version, Replace returns the object with store.ErrConflict.
	Replace(ctx context.Context, k Kind, name string, value []byte, version uint64) (store.Object, error)
}

// Decoder decodes the values of objects. An error means that the value is invalid.
type Decoder interface {
	Configuration(value []byte) (*service.Configuration, error)
	Upstream(name string, value []byte) (service.Upstream, error)
}

// Times of the calls to the store.
const (
	// listTimeout is the timeout of a list with all its pages. It allows for
	// thousands of objects that all processes read at once when the system starts.
	// The store's client limits the time without data within a page.
	listTimeout = 15 * time.Second
	// watchWait is how long a watch waits for a change. Longer watches mean fewer
	// calls, but the operators' stores keep only 20 s of history: after a longer
	// watch without a change, the kind would have to be listed again.
	watchWait = 15 * time.Second
	// watchMargin is how long after watchWait a watch without a response is given
	// up as failed.
	watchMargin = 2 * time.Second
	// upstreamsPause, configurationPause and instancesPause are the pauses after a
	// change of each kind. They combine a series of changes, as when the system
	// starts, into few calls. They are below the few seconds within which a change
	// must take effect. Instances may be updated later: only the addresses and the
	// number of the peers are used.
	// upstreamsSeriesPause follows a change that was made during the pause before.
	upstreamsPause       = 350 * time.Millisecond
	upstreamsSeriesPause = 700 * time.Millisecond
	configurationPause   = 700 * time.Millisecond
	instancesPause       = time.Second
	// seriesWindow is the time within which a watch returns a change that was made
	// before the watch began. It is several times the store's response time.
	seriesWindow = 50 * time.Millisecond
	// maxProbeDelay is the maximum time that the calls for another kind than the
	// configuration wait for the store to serve the configuration again.
	maxProbeDelay = 5 * time.Second
	// minRetryPause and maxRetryPause are the limits of the mean pause after a failed
	// call. minRetryPause is also the pause after a list of an empty store, and between
	// two checks of whether the configuration is served again.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = time.Second
	// checkSlot is the time between two full lists by the entries, which take turns:
	// a change may be missed by the watches of all processes at once. It is short
	// enough to leave most of the time within which a change must take effect to the
	// list itself and to pushing the change to the peers.
	checkSlot = 800 * time.Millisecond
)

// Directory is the local copy of the objects that a process uses. It is safe for
// concurrent use.
type Directory struct {
	peer.UnimplementedSpreadServer

	self      string
	store     Store
	decoder   Decoder
	seedPeers []netip.AddrPort
	pool      *dial.Pool
	log       logr.Logger
	// news is nil if nothing but objects is exchanged with peers. announcements holds the
	// number of peers that are to get it at once.
	news          News
	announcements chan int

	// kinds are the kinds that are followed, requestKinds those of them that are needed to
	// handle requests.
	kinds, requestKinds []Kind

	view       atomic.Pointer[service.View]
	suspension *suspension
	// logClockError limits the log to the first error of reading the clock.
	logClockError sync.Once

	// mu guards the fields below.
	mu       sync.Mutex
	replicas map[Kind]*store.Replica
	// presence holds the listed upstreams and the lapsed ones, which were removed from
	// the list but may be used until their grace period ends.
	presence  *upstream.Presence
	instances map[string]fleet.Instance
	// evacuations is nil if the kind is not followed. evacuationTimer publishes the evacuated
	// failure domains again when one ends by itself.
	evacuations     *upstream.Evacuations
	evacuationTimer *time.Timer
	// expiryTimer publishes the usable upstreams again when the next grace period ends.
	expiryTimer *time.Timer
	subscribers []func(*service.View, map[string]fleet.Instance)
	// health is the availability of the store for each kind.
	health map[Kind]storeHealth
	// cancelWatch cancels the pending watch of a kind.
	cancelWatch map[Kind]context.CancelFunc
	stats       Stats
	// lastPeerReply is the time of the last reply from any peer.
	lastPeerReply time.Time
}

// storeHealth is the store's availability as seen by the calls for one kind. Of the
// lists that runChecks makes, only the failed ones count.
type storeHealth struct {
	failing  bool
	failedAt time.Time
	// recoveredAt is the time of the first successful call after the last failure,
	// zero if there was none.
	recoveredAt time.Time
	// respondedAt is the time of the last successful call.
	respondedAt time.Time
}

// Stats counts the calls of a directory and the updates from peers that changed it. Of
// the lists that runChecks makes, only the failed ones count, as StoreErrors.
type Stats struct {
	StoreCalls  uint64 `json:"store-calls"`
	StoreErrors uint64 `json:"store-errors"`
	PeerCalls   uint64 `json:"peer-calls"`
	PeerUpdates uint64 `json:"peer-updates"`
}

// Option configures a Directory.
type Option func(*Directory)

// WithSeedPeers sets peers to call in addition to the listed instances. They are
// needed at the start, when no instances are known.
func WithSeedPeers(peers []netip.AddrPort) Option { return func(d *Directory) { d.seedPeers = peers } }

// WithLog sets the logger.
func WithLog(l logr.Logger) Option { return func(d *Directory) { d.log = l } }

// News is what a process and its peers tell each other of upstreams and of requests to them
// whenever they compare the list of upstreams.
type News interface {
	News(now time.Time) ([]*peer.UpstreamNews, []*peer.PromptNews)
	// RecordNews records the news of the peer named source. It reports whether they are to
	// be passed on at once.
	RecordNews(upstreams []*peer.UpstreamNews, prompts []*peer.PromptNews, source string, now time.Time) bool
	// Suspended makes all that is known so much older: the process was suspended, which
	// its clock may not count.
	Suspended(d time.Duration)
}

// WithNews exchanges news with peers.
func WithNews(n News) Option { return func(d *Directory) { d.news = n } }

// New returns the directory of the instance self. It is empty until Run is called.
func New(self string, s Store, decoder Decoder, pool *dial.Pool, config upstream.PresenceConfig, options ...Option) *Directory {
	d := &Directory{
		self: self, store: s, decoder: decoder, pool: pool, log: logr.Discard(), kinds: kinds, requestKinds: requestKinds,
		replicas:    map[Kind]*store.Replica{},
		presence:    upstream.NewPresence(config),
		instances:   map[string]fleet.Instance{},
		health:      map[Kind]storeHealth{},
		cancelWatch: map[Kind]context.CancelFunc{},
		// One that waits covers those that come meanwhile.
		announcements: make(chan int, 1),
	}
	for _, o := range options {
		o(d)
	}
	for _, k := range d.kinds {
		d.replicas[k] = store.NewReplica()
	}
	if d.suspension == nil {
		d.suspension = newSuspension(clock.SuspendedTime)
	}
	d.suspension.kinds = d.requestKinds
	d.view.Store(service.NewView(nil, nil, false))
	return d
}

// kinds are the kinds that every directory follows.
var kinds = []Kind{Configuration, Upstreams, Instances}

// requestKinds are those of kinds that are needed to handle requests.
var requestKinds = []Kind{Configuration, Upstreams}

// Subscribe calls f with the current state, and again at each change, one call at a
// time. View returns a changed view only after all subscribers were called with it.
// f may call View but no other method of the directory.
func (d *Directory) Subscribe(f func(*service.View, map[string]fleet.Instance)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, f)
	f(d.view.Load(), d.instances)
}

// Run keeps the directory up to date until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	if d.evacuations != nil {
		d.suspension.expect(Evacuations, time.Now())
	}
	for _, k := range d.kinds {
		tasks.Go(func() {
			task.Run(ctx, d.log, "follow-"+string(k), func(ctx context.Context) { d.followStore(ctx, k) })
		})
	}
	tasks.Go(func() { task.Run(ctx, d.log, "follow-peers", d.followPeers) })
	tasks.Go(func() { task.Run(ctx, d.log, "checks", d.runChecks) })
	tasks.Go(func() { task.Run(ctx, d.log, "announce", d.announceNews) })
	tasks.Wait()
}

// apply updates the replica of a kind and publishes the result. An update that is
// older than the replica is ignored, whether it comes from the store or from a peer.
// apply reports whether the update was the first one or changed any object.
func (d *Directory) apply(k Kind, u store.Update, source string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.replicas[k].Revision()
	if result := d.replicas[k].Apply(u); result != store.Applied {
		return false
	}
	era := store.EraOf(u.Revision)
	newEra := before > 0 && era > store.EraOf(before)
	// The list of evacuations may have become empty by the change of the era.
	if changes := d.replicas[k].Since(before); before > 0 && len(changes.Objects) == 0 && (!newEra || k != Evacuations) {
		return false
	}
	if newEra {
		d.log.Info("the store came back from an older copy", "kind", k, "era", era, "revision", store.RevisionOf(u.Revision),
			"former-revision", store.RevisionOf(before), "source", source)
		d.markRecovered(k)
		if k == Upstreams {
			d.presence.DoubtGone(time.Now())
		}
	}
	d.log.V(1).Info("objects changed", "kind", k, "revision", store.RevisionOf(u.Revision), "from", store.RevisionOf(before), "source", source, "objects", len(u.Objects))
	switch k {
	case Configuration:
		d.updateConfiguration(source)
	case Upstreams:
		d.updateUpstreams(source)
	case Instances:
		d.updateInstances()
	case Evacuations:
		d.updateEvacuations(source)
	}
	return true
}

// markRecovered records that the store has recovered just now: registrations that its older
// copy lacks take as long to return as those that lapsed in an outage. The caller holds
// d.mu.
func (d *Directory) markRecovered(k Kind) {
	h := d.health[k]
	h.failing, h.recoveredAt = false, time.Now()
	d.health[k] = h
}

// updateConfiguration makes the configuration of the replica the current one if its
// version is higher. The caller holds d.mu.
func (d *Directory) updateConfiguration(source string) {
	view := d.view.Load()
	for _, o := range d.replicas[Configuration].List("") {
		next, err := d.decoder.Configuration(o.Value)
		if err != nil {
			d.log.Error(err, "cannot decode the configuration; the current one stays in effect", "object", o.Name, "revision", o.Version)
			continue
		}
		if view.Configuration != nil && next.Version <= view.Configuration.Version {
			continue
		}
		view = service.NewView(next, view.Upstreams, view.UpstreamsKnown).WithEvacuated(view.Evacuated)
		d.log.Info("configuration in force", "version", next.Version, "revision", store.RevisionOf(o.Version), "source", source,
			"routes", len(next.Routes), "accounts", len(next.Accounts))
	}
	d.publish(view)
}

// updateUpstreams updates the list of upstreams from the replica. The caller holds
// d.mu.
func (d *Directory) updateUpstreams(source string) {
	list := map[string]service.Upstream{}
	for _, o := range d.replicas[Upstreams].List("") {
		u, err := d.decoder.Upstream(o.Name, o.Value)
		if err != nil {
			d.log.V(1).Info("ignoring an object that describes no usable upstream", "object", o.Name, "revision", store.RevisionOf(o.Version), "reason", err.Error())
			continue
		}
		list[u.ID] = u
	}
	d.logChanges(list, source)
	d.presence.UpdateList(list, d.sinceRecovery(), time.Now())
	d.publishUsable()
}

// logChanges logs each upstream that was added, changed or removed. The caller holds
// d.mu.
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
			d.log.Info("upstream no longer listed", "upstream", id, "service", u.Service, "source", source, "store-back-ms", d.sinceRecovery().Milliseconds())
		}
	}
}

// sinceRecovery returns the time since the store became available again for the
// upstreams, 0 while it is unavailable, and a negative time if it always was
// available. The caller holds d.mu.
func (d *Directory) sinceRecovery() time.Duration {
	h := d.health[Upstreams]
	switch {
	case h.failing:
		return 0
	case h.recoveredAt.IsZero():
		return -1
	default:
		return time.Since(h.recoveredAt)
	}
}

// publishUsable publishes the upstreams that may be used now. It also sets a timer
// for the end of the next grace period. The caller holds d.mu.
func (d *Directory) publishUsable() {
	usable, next := d.presence.Usable(time.Now())
	if d.expiryTimer != nil {
		d.expiryTimer.Stop()
	}
	if !next.IsZero() {
		d.expiryTimer = time.AfterFunc(time.Until(next), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.publishUsable()
		})
	}
	d.publish(d.view.Load().WithUpstreams(usable))
}

// updateInstances updates the list of instances from the replica. The caller holds
// d.mu.
func (d *Directory) updateInstances() {
	instances := map[string]fleet.Instance{}
	for _, o := range d.replicas[Instances].List("") {
		i, err := fleet.ParseInstance(o.Value)
		if err == nil && i.Name != o.Name {
			err = oops.Code("instance-malformed").Errorf("the object describes %q", i.Name)
		}
		if err != nil {
			d.log.Info("ignoring an instance whose object cannot be decoded", "object", o.Name, "reason", err.Error())
			continue
		}
		instances[i.Name] = i
	}
	d.instances = instances
	d.publish(d.view.Load())
}

// publish makes v the current view. The caller holds d.mu.
func (d *Directory) publish(v *service.View) {
	// A request that uses the new view relies on the subscribers having it.
	for _, f := range d.subscribers {
		f(v, d.instances)
	}
	d.view.Store(v)
}

// endWatch cancels the pending watch of a kind. followStore then lists the kind again.
func (d *Directory) endWatch(k Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel := d.cancelWatch[k]; cancel != nil {
		cancel()
	}
}
