// Package spread keeps a process's replica of the replicated objects up to
// date: from the platform where the process holds a watch, and from its peers
// always. The rules of what is newer are in core/store, the choice of peers
// in core/instance.
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

// Timings of the calls that keep the replica up to date.
const (
	platformTimeout = 5 * time.Second
	compareTimeout  = 2 * time.Second
	watchWait       = 20 * time.Second
	// checkInterval is how often a process without a watch asks the platform for changes.
	checkInterval = 8 * time.Second
	// lonelyInterval is the same for a process that knows no peers.
	lonelyInterval = time.Second
	retryPause     = 500 * time.Millisecond
	ringSize       = 64
)

// Spread is the part of a process that keeps its replica.
type Replicator struct {
	peer.UnimplementedSpreadServer

	self     string
	domain   fleet.FailureDomain
	role     fleet.Role
	platform *object.Client
	seeds    []netip.AddrPort
	pool     *dial.Pool
	log      logr.Logger
	random   *rand.Rand

	replica *eventloop.Loop[*store.Replica]
	current atomic.Pointer[snapshot.Snapshot]
	updated chan struct{}

	mu          sync.Mutex
	subscribers []func(*snapshot.Snapshot)

	watching     atomic.Bool
	platformSeen atomic.Int64
	stats        Stats
}

// Stats counts what the spread did.
type Stats struct {
	PlatformCalls, PlatformErrors, Compares, CompareErrors, Served, Stale atomic.Uint64
}

// Option configures a Spread.
type Option func(*Replicator)

// WithPlatform lets the process read from the platform itself.
func WithPlatform(c *object.Client) Option { return func(s *Replicator) { s.platform = c } }

// WithSeeds names peers to start from while the platform is away.
func WithSeedPeers(seeds []netip.AddrPort) Option { return func(s *Replicator) { s.seeds = seeds } }

// WithLog sets the logger.
func WithLog(l logr.Logger) Option { return func(s *Replicator) { s.log = l } }

// WithSeed seeds the choice among peers.
func WithRandomSeed(seed uint64) Option {
	return func(s *Replicator) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns the spread of the named instance, at revision 0.
func New(self string, domain fleet.FailureDomain, role fleet.Role, pool *dial.Pool, options ...Option) *Replicator {
	s := &Replicator{
		self: self, domain: domain, role: role, pool: pool, log: logr.Discard(),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		replica: eventloop.NewLoop(store.NewReplica(), ringSize),
		updated: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(s)
	}
	s.current.Store(snapshot.Build(store.NewReplica(), nil))
	return s
}

// Current returns the snapshot in force. Its revision never falls.
func (s *Replicator) Current() *snapshot.Snapshot { return s.current.Load() }

// Subscribe calls f with the snapshot in force now and with each later one, in
// order and one at a time. A later one comes into force when all have had it.
func (s *Replicator) Subscribe(f func(*snapshot.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
	f(s.Current())
}

// Run keeps the replica up to date until ctx ends.
func (s *Replicator) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, duty := range []func(context.Context){s.replica.Run, s.runPlatform, s.runCompare} {
		group.Go(func() { duty(ctx) })
	}
	group.Wait()
}

// apply moves the replica forward and publishes the new snapshot.
func (s *Replicator) apply(ctx context.Context, u store.Update, source string) store.ApplyResult {
	outcome := store.UpToDate
	// An error means that the process is stopping.
	_ = s.replica.Do(ctx, func(r *store.Replica) {
		before := r.Revision()
		outcome = r.Apply(u)
		if outcome == store.Applied {
			s.publish(r, before, source)
		}
	})
	return outcome
}

// publish runs on the replica's goroutine, so snapshots follow each other.
func (s *Replicator) publish(r *store.Replica, before uint64, source string) {
	next := snapshot.Build(r, s.Current())
	s.mu.Lock()
	// Subscribers first: whoever sees that a snapshot is in force may rely on them.
	for _, f := range s.subscribers {
		f(next)
	}
	s.current.Store(next)
	s.mu.Unlock()
	s.log.Info("settings in force", "revision", next.Revision, "from", before, "source", source)
	for _, text := range next.Rejected {
		s.log.Info("object left out", "reason", text)
	}
	select {
	case s.updated <- struct{}{}:
	default:
	}
}

// runPlatform watches the platform, or asks it now and then.
func (s *Replicator) runPlatform(ctx context.Context) {
	if s.platform == nil {
		return
	}
	for ctx.Err() == nil {
		pause := s.askPlatform(ctx)
		clock.Sleep(ctx, pause)
	}
}

// askPlatform performs one call and returns the pause before the next.
func (s *Replicator) askPlatform(ctx context.Context) time.Duration {
	now := s.Current()
	watch := s.isWatcher(now)
	s.watching.Store(watch)
	var u store.Update
	var err error
	s.stats.PlatformCalls.Add(1)
	switch {
	case now.Revision == 0:
		u, err = s.list(ctx)
	case watch:
		u, err = s.watch(ctx, now.Revision, watchWait)
	default:
		u, err = s.watch(ctx, now.Revision, 0)
	}
	if err != nil {
		s.stats.PlatformErrors.Add(1)
		s.log.V(1).Info("the platform did not answer", "error", err.Error())
		return s.jitter(retryPause)
	}
	s.platformSeen.Store(time.Now().UnixNano())
	if u.Revision < now.Revision {
		s.stats.Stale.Add(1)
		s.log.Info("the platform shows an old revision, refused", "revision", u.Revision, "in-force", now.Revision)
		return s.jitter(checkInterval)
	}
	s.apply(ctx, u, "platform")
	switch {
	case s.isWatcher(s.Current()):
		return 0
	case len(s.peers()) == 0:
		return s.jitter(lonelyInterval)
	default:
		return s.jitter(checkInterval)
	}
}

func (s *Replicator) list(ctx context.Context) (store.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return s.platform.List(ctx, fleet.ReplicatedPrefix)
}

func (s *Replicator) watch(ctx context.Context, after uint64, wait time.Duration) (store.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+platformTimeout)
	defer cancel()
	return s.platform.Watch(ctx, fleet.ReplicatedPrefix, after, wait)
}

func (s *Replicator) isWatcher(now *snapshot.Snapshot) bool {
	if s.role != fleet.EntryRole {
		return false
	}
	count := tree.Get(now.Tree, s.scope(), reference.Watchers)
	return instance.IsWatcher(slices.Collect(maps.Values(now.Instances)), s.self, s.domain, count)
}

func (s *Replicator) scope() tree.Scope { return tree.Scope{FailureDomain: string(s.domain)} }

// runCompare compares with one peer each interval, and with all of them at
// once after the replica moved forward.
func (s *Replicator) runCompare(ctx context.Context) {
	for ctx.Err() == nil {
		peers := s.peers()
		interval := tree.Get(s.Current().Tree, s.scope(), reference.SpreadInterval)
		timer := time.NewTimer(s.jitter(interval))
		select {
		case <-s.updated:
			s.compareAll(ctx, peers)
		case <-timer.C:
			if len(peers) > 0 {
				s.compare(ctx, peers[s.random.IntN(len(peers))])
			}
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (s *Replicator) compareAll(ctx context.Context, peers []netip.AddrPort) {
	var group sync.WaitGroup
	for _, a := range peers {
		group.Go(func() { s.compare(ctx, a) })
	}
	group.Wait()
}

func (s *Replicator) peers() []netip.AddrPort {
	now := s.Current()
	out := slices.Clone(s.seeds)
	for _, i := range instance.Peers(slices.Collect(maps.Values(now.Instances)), s.self, s.domain) {
		if !slices.Contains(out, i.Address) {
			out = append(out, i.Address)
		}
	}
	return out
}

// compare brings this process and a peer to the higher of their revisions.
func (s *Replicator) compare(ctx context.Context, a netip.AddrPort) {
	connection, err := s.pool.Get(a)
	if err != nil {
		s.stats.CompareErrors.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	client := peer.NewSpreadClient(connection)
	s.stats.Compares.Add(1)
	reply, err := client.Compare(ctx, &peer.CompareRequest{Instance: s.self, Revision: s.Current().Revision})
	if err != nil {
		s.stats.CompareErrors.Add(1)
		s.log.V(1).Info("a peer did not answer", "peer", a, "error", err.Error())
		return
	}
	if reply.Revision > s.Current().Revision {
		s.apply(ctx, peer.UpdateFromProto(reply.From, reply.Revision, reply.Objects), reply.Instance)
		return
	}
	if reply.Revision < s.Current().Revision {
		s.offer(ctx, client, reply.Revision)
	}
}

// offer sends a peer what it lacks since revision from.
func (s *Replicator) offer(ctx context.Context, client peer.SpreadClient, from uint64) {
	var u store.Update
	if s.replica.Do(ctx, func(r *store.Replica) { u = r.Since(from) }) != nil {
		return
	}
	request := &peer.CompareRequest{Instance: s.self, Revision: u.Revision, From: u.From, Objects: peer.ObjectsToProto(u.Objects)}
	if _, err := client.Compare(ctx, request, grpc.WaitForReady(false)); err != nil {
		s.stats.CompareErrors.Add(1)
	}
}

// Compare implements peer.SpreadServer.
func (s *Replicator) Compare(ctx context.Context, request *peer.CompareRequest) (*peer.CompareReply, error) {
	s.stats.Served.Add(1)
	if len(request.Objects) > 0 || request.From > 0 {
		s.apply(ctx, peer.UpdateFromProto(request.From, request.Revision, request.Objects), request.Instance)
	}
	reply := &peer.CompareReply{Instance: s.self, Revision: s.Current().Revision}
	if reply.Revision <= request.Revision {
		return reply, nil
	}
	err := s.replica.Do(ctx, func(r *store.Replica) {
		u := r.Since(request.Revision)
		reply.From, reply.Revision, reply.Objects = u.From, u.Revision, peer.ObjectsToProto(u.Objects)
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return reply, nil
}

// jitter spreads d over half to one and a half times itself.
func (s *Replicator) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// State is the spread's part of the dump.
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

// State returns the spread's part of the dump.
func (s *Replicator) State() State {
	now := s.Current()
	out := State{
		Revision: now.Revision, Watching: s.watching.Load(), Rejected: now.Rejected,
		PlatformCalls: s.stats.PlatformCalls.Load(), PlatformErrors: s.stats.PlatformErrors.Load(),
		Compares: s.stats.Compares.Load(), CompareErrors: s.stats.CompareErrors.Load(),
		ComparesServed: s.stats.Served.Load(), OldRevisions: s.stats.Stale.Load(),
	}
	if at := s.platformSeen.Load(); at > 0 {
		out.PlatformAnsweredAt = time.Unix(0, at).UTC().Format(time.RFC3339Nano)
	}
	for _, a := range s.peers() {
		out.Peers = append(out.Peers, a.String())
	}
	return out
}
