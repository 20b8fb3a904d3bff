// Package replication keeps a process's replica of the replicated objects up to date.
// The process reads changes from the platform, continuously if it is one of the
// watchers of its failure domain, and compares revisions with its peers. Package
// core/store decides which of two updates is newer, package core/instance chooses the
// watchers and the peers.
package replication

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleydeal/internal/core/instance"
	"bramleydeal/internal/core/store"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/process/eventloop"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/store/object"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Timeouts and intervals of the calls that keep the replica up to date.
const (
	// platformTimeout is the timeout of a call to the platform, in addition to the
	// time for which a watch waits.
	platformTimeout = 5 * time.Second
	// compareTimeout is the timeout of a comparison with a peer.
	compareTimeout = 2 * time.Second
	// watchWait is how long a watch waits for a change at the platform.
	watchWait = 20 * time.Second
	// checkInterval is the mean time between two calls to the platform by a process
	// that is not a watcher.
	checkInterval = 8 * time.Second
	// noPeersInterval is like checkInterval for a process without peers, which learns
	// of changes from the platform only.
	noPeersInterval = time.Second
	// retryPause is the mean pause after a failed call to the platform.
	retryPause = 500 * time.Millisecond
	// queueSize is the capacity of the replica's queue of functions to execute.
	queueSize = 64
)

// Replicator keeps the replica of a process up to date. It is safe for concurrent
// use.
type Replicator struct {
	peer.UnimplementedSpreadServer

	self      string
	domain    fleet.FailureDomain
	role      fleet.Role
	platform  *object.Client
	seedPeers []netip.AddrPort
	pool      *dial.Pool
	log       logr.Logger
	random    *rand.Rand

	replica *eventloop.Loop[*store.Replica]
	current atomic.Pointer[snapshot.Snapshot]
	// updated signals to runCompare that the replica was updated.
	updated chan struct{}

	mu          sync.Mutex
	subscribers []func(*snapshot.Snapshot)

	watching atomic.Bool
	// platformRespondedAt is the time of the platform's last response, in nanoseconds
	// since the Unix epoch, 0 before the first.
	platformRespondedAt atomic.Int64
	stats               Stats
}

// Stats counts calls: those to the platform and those of them that failed, the
// comparisons with peers and those of them that failed, the comparisons served to
// peers, and the responses of the platform with an outdated revision.
type Stats struct {
	PlatformCalls, PlatformErrors, Compares, CompareErrors, ComparesServed, OldRevisions atomic.Uint64
}

// Option configures a Replicator.
type Option func(*Replicator)

// WithPlatform sets the client of the platform. Without it, the process gets changes
// from its peers only.
func WithPlatform(c *object.Client) Option { return func(r *Replicator) { r.platform = c } }

// WithSeedPeers sets peers to compare with in addition to the listed instances. They
// are needed when the process starts while the platform is unavailable.
func WithSeedPeers(peers []netip.AddrPort) Option { return func(r *Replicator) { r.seedPeers = peers } }

// WithLog sets the logger.
func WithLog(l logr.Logger) Option { return func(r *Replicator) { r.log = l } }

// WithRandomSeed sets the seed for the random choice of the peer to compare with.
func WithRandomSeed(seed uint64) Option {
	return func(r *Replicator) { r.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns the replicator of the instance self, with an empty replica at
// revision 0. It makes no calls before Run.
func New(self string, domain fleet.FailureDomain, role fleet.Role, pool *dial.Pool, options ...Option) *Replicator {
	r := &Replicator{
		self: self, domain: domain, role: role, pool: pool, log: logr.Discard(),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		replica: eventloop.NewLoop(store.NewReplica(), queueSize),
		updated: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(r)
	}
	r.current.Store(snapshot.Build(store.NewReplica(), nil))
	return r
}

// Current returns the current snapshot. Its revision never decreases.
func (r *Replicator) Current() *snapshot.Snapshot { return r.current.Load() }

// Subscribe calls f with the current snapshot and with each later one, in order and
// one at a time. A later snapshot becomes the current one after all subscribers were
// called with it.
func (r *Replicator) Subscribe(f func(*snapshot.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
	f(r.Current())
}

// Run keeps the replica up to date until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, task := range []func(context.Context){r.replica.Run, r.runPlatform, r.runCompare} {
		group.Go(func() { task(ctx) })
	}
	group.Wait()
}

// apply applies an update to the replica and publishes the new snapshot. source names
// the sender in the log.
func (r *Replicator) apply(ctx context.Context, u store.Update, source string) store.ApplyResult {
	result := store.UpToDate
	// Do fails only when the process is stopping.
	_ = r.replica.Do(ctx, func(replica *store.Replica) {
		before := replica.Revision()
		result = replica.Apply(u)
		if result == store.Applied {
			r.publish(replica, before, source)
		}
	})
	return result
}

// publish builds a snapshot of the replica and makes it the current one. It runs on
// the goroutine that owns the replica, so that snapshots are published in order.
func (r *Replicator) publish(replica *store.Replica, before uint64, source string) {
	next := snapshot.Build(replica, r.Current())
	r.mu.Lock()
	// A request that uses the new snapshot relies on the subscribers having it.
	for _, f := range r.subscribers {
		f(next)
	}
	r.current.Store(next)
	r.mu.Unlock()
	r.log.Info("settings in force", "revision", next.Revision, "from", before, "source", source)
	for _, text := range next.Rejected {
		r.log.Info("ignoring an invalid object", "reason", text)
	}
	select {
	case r.updated <- struct{}{}:
	default:
	}
}

// runPlatform reads changes from the platform until ctx ends: continuously while the
// process is a watcher, at intervals otherwise.
func (r *Replicator) runPlatform(ctx context.Context) {
	if r.platform == nil {
		return
	}
	for ctx.Err() == nil {
		pause := r.callPlatform(ctx)
		clock.Sleep(ctx, pause)
	}
}

// callPlatform makes one call to the platform and returns the pause before the next.
func (r *Replicator) callPlatform(ctx context.Context) time.Duration {
	current := r.Current()
	watch := r.isWatcher(current)
	r.watching.Store(watch)
	var u store.Update
	var err error
	r.stats.PlatformCalls.Add(1)
	switch {
	case current.Revision == 0:
		u, err = r.list(ctx)
	case watch:
		u, err = r.watch(ctx, current.Revision, watchWait)
	default:
		u, err = r.watch(ctx, current.Revision, 0)
	}
	if err != nil {
		r.stats.PlatformErrors.Add(1)
		r.log.V(1).Info("a call to the platform failed; retrying after a pause", "error", err.Error())
		return r.jitter(retryPause)
	}
	r.platformRespondedAt.Store(time.Now().UnixNano())
	if u.Revision < current.Revision {
		r.stats.OldRevisions.Add(1)
		r.log.Info("ignoring a response of the platform with an outdated revision", "revision", u.Revision, "in-force", current.Revision)
		return r.jitter(checkInterval)
	}
	r.apply(ctx, u, "platform")
	switch {
	case r.isWatcher(r.Current()):
		return 0
	case len(r.peers()) == 0:
		return r.jitter(noPeersInterval)
	default:
		return r.jitter(checkInterval)
	}
}

// list reads all replicated objects from the platform.
func (r *Replicator) list(ctx context.Context) (store.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return r.platform.List(ctx, fleet.ReplicatedPrefix)
}

// watch returns the changes after a revision. It waits up to the given time if there
// are none yet.
func (r *Replicator) watch(ctx context.Context, after uint64, wait time.Duration) (store.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+platformTimeout)
	defer cancel()
	return r.platform.Watch(ctx, fleet.ReplicatedPrefix, after, wait)
}

// isWatcher reports whether this process watches the platform continuously.
func (r *Replicator) isWatcher(current *snapshot.Snapshot) bool {
	if r.role != fleet.EntryRole {
		return false
	}
	count := tree.Get(current.Tree, r.scope(), reference.Watchers)
	return instance.IsWatcher(slices.Collect(maps.Values(current.Instances)), r.self, r.domain, count)
}

// scope returns the scope in which this process looks up settings.
func (r *Replicator) scope() tree.Scope { return tree.Scope{FailureDomain: string(r.domain)} }

// runCompare compares with a random peer at each interval, and with all peers after
// the replica was updated, until ctx ends.
func (r *Replicator) runCompare(ctx context.Context) {
	for ctx.Err() == nil {
		peers := r.peers()
		interval := tree.Get(r.Current().Tree, r.scope(), reference.SpreadInterval)
		timer := time.NewTimer(r.jitter(interval))
		select {
		case <-r.updated:
			r.compareAll(ctx, peers)
		case <-timer.C:
			if len(peers) > 0 {
				r.compare(ctx, peers[r.random.IntN(len(peers))])
			}
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// compareAll compares with all the given peers at once and waits for the end.
func (r *Replicator) compareAll(ctx context.Context, peers []netip.AddrPort) {
	var group sync.WaitGroup
	for _, a := range peers {
		group.Go(func() { r.compare(ctx, a) })
	}
	group.Wait()
}

// peers returns the addresses of the peers that this process compares with: the seed
// peers and those that instance.Peers chooses.
func (r *Replicator) peers() []netip.AddrPort {
	current := r.Current()
	out := slices.Clone(r.seedPeers)
	for _, i := range instance.Peers(slices.Collect(maps.Values(current.Instances)), r.self, r.domain) {
		if !slices.Contains(out, i.Address) {
			out = append(out, i.Address)
		}
	}
	return out
}

// compare compares revisions with a peer and transfers the missing changes, so that
// both have the higher revision.
func (r *Replicator) compare(ctx context.Context, a netip.AddrPort) {
	connection, err := r.pool.Get(a)
	if err != nil {
		r.stats.CompareErrors.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	client := peer.NewSpreadClient(connection)
	r.stats.Compares.Add(1)
	reply, err := client.Compare(ctx, &peer.CompareRequest{Instance: r.self, Revision: r.Current().Revision})
	if err != nil {
		r.stats.CompareErrors.Add(1)
		r.log.V(1).Info("a comparison with a peer failed", "peer", a, "error", err.Error())
		return
	}
	if reply.Revision > r.Current().Revision {
		r.apply(ctx, peer.UpdateFromProto(reply.From, reply.Revision, reply.Objects), reply.Instance)
		return
	}
	if reply.Revision < r.Current().Revision {
		r.sendChanges(ctx, client, reply.Revision)
	}
}

// sendChanges sends a peer the changes since revision from.
func (r *Replicator) sendChanges(ctx context.Context, client peer.SpreadClient, from uint64) {
	var u store.Update
	if r.replica.Do(ctx, func(replica *store.Replica) { u = replica.Since(from) }) != nil {
		return
	}
	request := &peer.CompareRequest{Instance: r.self, Revision: u.Revision, From: u.From, Objects: peer.ObjectsToProto(u.Objects)}
	if _, err := client.Compare(ctx, request, grpc.WaitForReady(false)); err != nil {
		r.stats.CompareErrors.Add(1)
	}
}

// Compare implements peer.SpreadServer. It applies the objects in the request and
// returns those that changed after the peer's revision.
func (r *Replicator) Compare(ctx context.Context, request *peer.CompareRequest) (*peer.CompareReply, error) {
	r.stats.ComparesServed.Add(1)
	if len(request.Objects) > 0 || request.From > 0 {
		r.apply(ctx, peer.UpdateFromProto(request.From, request.Revision, request.Objects), request.Instance)
	}
	reply := &peer.CompareReply{Instance: r.self, Revision: r.Current().Revision}
	if reply.Revision <= request.Revision {
		return reply, nil
	}
	err := r.replica.Do(ctx, func(replica *store.Replica) {
		u := replica.Since(request.Revision)
		reply.From, reply.Revision, reply.Objects = u.From, u.Revision, peer.ObjectsToProto(u.Objects)
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return reply, nil
}

// jitter returns a random time between d/2 and 3d/2.
func (r *Replicator) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// State is the replicator's debug state.
type State struct {
	Revision           uint64   `json:"revision"`
	Watching           bool     `json:"watching"`
	PlatformAnsweredAt string   `json:"platform-answered-at,omitempty"`
	PlatformCalls      uint64   `json:"platform-calls"`
	PlatformErrors     uint64   `json:"platform-errors"`
	Compares           uint64   `json:"compares"`
	CompareErrors      uint64   `json:"compare-errors"`
	ComparesServed     uint64   `json:"compares-served"`
	OldRevisions       uint64   `json:"old-revisions-refused"`
	Rejected           []string `json:"rejected-objects,omitempty"`
	Peers              []string `json:"peers"`
}

// State returns the replicator's debug state.
func (r *Replicator) State() State {
	current := r.Current()
	out := State{
		Revision: current.Revision, Watching: r.watching.Load(), Rejected: current.Rejected,
		PlatformCalls: r.stats.PlatformCalls.Load(), PlatformErrors: r.stats.PlatformErrors.Load(),
		Compares: r.stats.Compares.Load(), CompareErrors: r.stats.CompareErrors.Load(),
		ComparesServed: r.stats.ComparesServed.Load(), OldRevisions: r.stats.OldRevisions.Load(),
	}
	if at := r.platformRespondedAt.Load(); at > 0 {
		out.PlatformAnsweredAt = time.Unix(0, at).UTC().Format(time.RFC3339Nano)
	}
	for _, a := range r.peers() {
		out.Peers = append(out.Peers, a.String())
	}
	return out
}
