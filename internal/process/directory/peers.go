package directory

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bramleydeal/internal/core/instance"
	"bramleydeal/internal/core/store"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/process/task"
	"bramleydeal/internal/wire/peer"
)

// Intervals, timeouts and numbers of the calls to peers.
const (
	// maxPeerSilence is the time without a reply from any peer after which a process
	// watches the store directly instead of its cache. It is longer than two
	// comparisons and below the few seconds within which a change must take effect.
	maxPeerSilence = 2 * time.Second
	// peerPollInterval is the time between the calls to peers while the store is
	// failing or a kind is unconfirmed after a suspension. followPeers also checks for a
	// suspension at this interval.
	peerPollInterval = 300 * time.Millisecond
	// peerCompareInterval is the time between the calls to a peer while the store
	// works. They are needed because a store that reports no changes to this process
	// alone looks like a store without changes.
	peerCompareInterval = 900 * time.Millisecond
	// peersPerPoll is the number of peers called at each peerPollInterval while the
	// store is failing or a kind is unconfirmed.
	peersPerPoll = 3
	// maxPushPeers is the maximum number of peers to which a change is pushed, and with
	// which news is exchanged at once.
	maxPushPeers = 64
	// forwardPeers is the number of peers to which a peer's urgent news is passed on.
	forwardPeers = 3
	// peerTimeout is the timeout of a call to a peer.
	peerTimeout = time.Second
	// notifyJitter is the time over which the calls to cached watchers after a
	// change are spread. A watcher that has the change by then is not sent it.
	notifyJitter = 80 * time.Millisecond
)

// directWatchers is the number of entries in a failure domain that watch the store
// directly; two of them may fail at once. The other entries watch the store's cache,
// which costs the store a tenth as much but may report changes seconds late. They are
// notified of changes by a direct watcher or by the process whose turn it is to list
// the store.
const directWatchers = 3

// peers returns at most n peers in random order.
func (d *Directory) peers(n int) []netip.AddrPort {
	d.mu.Lock()
	out := slices.Clone(d.seedPeers)
	for _, i := range d.instances {
		if i.Name != d.self && !slices.Contains(out, i.Address) {
			out = append(out, i.Address)
		}
	}
	d.mu.Unlock()
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// followPeers compares with peers until ctx ends: with peersPerPoll of them, at each
// peerPollInterval, for the kinds that kindsToCompare returns, and if there are none,
// with one of them at each peerCompareInterval for d.requestKinds. At each
// peerPollInterval it also checks for a suspension and updates the watch mode.
func (d *Directory) followPeers(ctx context.Context) {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	lastCompare := time.Now()
	direct := d.watchesDirectly()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		d.checkSuspension()
		direct = d.updateWatchMode(direct)
		toCompare, count := d.kindsToCompare(), peersPerPoll
		if len(toCompare) == 0 && time.Since(lastCompare) >= peerCompareInterval {
			toCompare, count = d.requestKinds, 1
			lastCompare = time.Now()
		}
		if len(toCompare) == 0 {
			continue
		}
		for _, a := range d.peers(count) {
			for _, k := range toCompare {
				go task.Once(d.log, "compare", func() { d.compare(ctx, k, a) })
			}
		}
	}
}

// updateWatchMode reports whether this process is to watch the store directly. If it
// did not do so before, updateWatchMode ends the pending watches of the cache.
func (d *Directory) updateWatchMode(wasDirect bool) bool {
	direct := d.watchesDirectly()
	if direct && !wasDirect {
		d.log.Info("watching the store directly instead of its cache")
		for _, k := range d.kinds {
			d.endWatch(k)
		}
	}
	return direct
}

// kindsToCompare returns the kinds for which the store is failing or that are
// unconfirmed.
func (d *Directory) kindsToCompare() []Kind {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Kind
	for _, k := range d.kinds {
		if d.health[k].failing || d.suspension.isUnconfirmed(k) {
			out = append(out, k)
		}
	}
	return out
}

// compare requests from a peer the objects of a kind that changed after this
// process's revision. A peer whose revision is not lower confirms the kind.
func (d *Directory) compare(ctx context.Context, k Kind, a netip.AddrPort) {
	d.mu.Lock()
	revision := d.replicas[k].Revision()
	d.mu.Unlock()
	suspensions := d.suspension.suspensions()
	request := &peer.CompareRequest{Instance: d.self, Kind: string(k), Revision: revision}
	request.News, request.PromptNews = d.newsFor(k)
	reply, err := d.callPeer(ctx, a, request)
	if err != nil {
		return
	}
	d.recordNews(reply.News, reply.PromptNews, reply.Instance)
	if reply.Revision > revision {
		d.applyFromPeer(k, peer.UpdateFromProto(reply.From, reply.Revision, reply.Objects), reply.Instance)
	}
	if reply.Revision > 0 && reply.Revision >= revision {
		d.suspension.confirm(k, suspensions)
	}
}

// applyFromPeer applies an update from a peer. If it has changes, a direct watch has
// missed them and may be broken, so it is ended. A watch of the cache may just be
// late.
func (d *Directory) applyFromPeer(k Kind, u store.Update, source string) {
	if d.apply(k, u, source) {
		d.mu.Lock()
		d.stats.PeerUpdates++
		d.mu.Unlock()
		if d.watchesDirectly() {
			d.endWatch(k)
		}
	}
}

// Compare implements peer.SpreadServer. It applies the objects in the request and
// returns those that changed after the peer's revision. If the kind is unknown or
// unconfirmed, the reply has revision 0.
func (d *Directory) Compare(_ context.Context, request *peer.CompareRequest) (*peer.CompareReply, error) {
	if k := Kind(request.Kind); len(request.Objects) > 0 && slices.Contains(d.kinds, k) {
		d.applyFromPeer(k, peer.UpdateFromProto(request.From, request.Revision, request.Objects), request.Instance)
	}
	d.recordNews(request.News, request.PromptNews, request.Instance)
	reply := &peer.CompareReply{Instance: d.self}
	reply.News, reply.PromptNews = d.newsFor(Kind(request.Kind))
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.replicas[Kind(request.Kind)]
	if r == nil || d.suspension.isUnconfirmed(Kind(request.Kind)) {
		// Unconfirmed state must not confirm the state of another process.
		return reply, nil
	}
	reply.Revision = r.Revision()
	if reply.Revision > request.Revision {
		u := r.Since(request.Revision)
		reply.From, reply.Objects = u.From, peer.ObjectsToProto(u.Objects)
	}
	return reply, nil
}

// newsFor returns the news that accompany a comparison of a kind.
func (d *Directory) newsFor(k Kind) ([]*peer.UpstreamNews, []*peer.PromptNews) {
	if d.news == nil || k != Upstreams {
		return nil, nil
	}
	return d.news.News(time.Now())
}

// recordNews records the news from the peer named source. If they are urgent, they are
// passed on, since the source reaches maxPushPeers at most.
func (d *Directory) recordNews(upstreams []*peer.UpstreamNews, prompts []*peer.PromptNews, source string) {
	if d.news == nil || len(upstreams)+len(prompts) == 0 {
		return
	}
	if urgent := d.news.RecordNews(upstreams, prompts, source, time.Now()); urgent && d.peerCount() > maxPushPeers {
		d.announceTo(forwardPeers)
	}
}

// Announce makes the directory exchange news with its peers at once.
func (d *Directory) Announce() { d.announceTo(maxPushPeers) }

// announceTo makes the directory exchange news with count peers at once. It does not wait.
func (d *Directory) announceTo(count int) {
	for {
		select {
		case d.announcements <- count:
			return
		case waiting := <-d.announcements:
			count = max(count, waiting)
		}
	}
}

// announceNews exchanges news with peers whenever there is something to announce, until ctx
// ends.
func (d *Directory) announceNews(ctx context.Context) {
	// What this process knew before a restart is known to its peers.
	d.announceTo(forwardPeers)
	for {
		select {
		case count := <-d.announcements:
			for _, a := range d.peers(count) {
				go task.Once(d.log, "announce", func() { d.compare(ctx, Upstreams, a) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// peerCount returns the number of listed instances.
func (d *Directory) peerCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.instances)
}

// notifyCachedWatchers sends a change to the cached watchers that do not have it yet.
// It returns before the calls are made.
func (d *Directory) notifyCachedWatchers(ctx context.Context, k Kind) {
	for _, a := range d.cachedWatchers() {
		go task.Once(d.log, "notify", func() {
			clock.Sleep(ctx, rand.N(notifyJitter))
			d.mu.Lock()
			revision := d.replicas[k].Revision()
			d.mu.Unlock()
			reply, err := d.callPeer(ctx, a, &peer.CompareRequest{Instance: d.self, Kind: string(k), Revision: revision})
			if err != nil || reply.Revision >= revision {
				return
			}
			d.mu.Lock()
			u := d.replicas[k].Since(reply.Revision)
			d.mu.Unlock()
			d.sendUpdate(ctx, a, k, u)
		})
	}
}

// watchesDirectly reports whether this process watches the store directly instead of
// its cache: it is one of its failure domain's direct watchers, it is not listed yet,
// or no peer has replied lately that could notify it of changes.
func (d *Directory) watchesDirectly() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	own, listed := d.instances[d.self]
	return !listed || time.Since(d.lastPeerReply) >= maxPeerSilence || instance.IsWatcher(slices.Collect(maps.Values(d.instances)), d.self, own.FailureDomain, directWatchers)
}

// cachedWatchers returns the addresses of the other instances in this process's
// failure domain that watch the store's cache.
func (d *Directory) cachedWatchers() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.instances[d.self]
	watchers := instance.Watchers(slices.Collect(maps.Values(d.instances)), own.FailureDomain, directWatchers)
	var out []netip.AddrPort
	for _, i := range d.instances {
		if i.FailureDomain == own.FailureDomain && i.Name != d.self && !slices.Contains(watchers, i) {
			out = append(out, i.Address)
		}
	}
	return out
}

// push sends up to maxPushPeers peers the changes of a kind since a revision. It
// returns before the calls are made.
func (d *Directory) push(ctx context.Context, k Kind, from uint64) {
	d.mu.Lock()
	u := d.replicas[k].Since(from)
	d.mu.Unlock()
	for _, a := range d.peers(maxPushPeers) {
		go task.Once(d.log, "push", func() { d.sendUpdate(ctx, a, k, u) })
	}
}

// sendUpdate sends objects to a peer. A failed call is logged and not retried: the
// peer compares by itself later.
func (d *Directory) sendUpdate(ctx context.Context, a netip.AddrPort, k Kind, u store.Update) {
	// callPeer logs the error.
	_, _ = d.callPeer(ctx, a, &peer.CompareRequest{Instance: d.self, Kind: string(k), Revision: u.Revision, From: u.From, Objects: peer.ObjectsToProto(u.Objects)})
}

// callPeer calls Compare at a peer within peerTimeout and logs an error.
func (d *Directory) callPeer(ctx context.Context, a netip.AddrPort, request *peer.CompareRequest) (*peer.CompareReply, error) {
	d.mu.Lock()
	d.stats.PeerCalls++
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	connection, err := d.pool.Get(a)
	if err != nil {
		d.log.Error(err, "cannot create a connection to a peer", "peer", a)
		return nil, err
	}
	reply, err := peer.NewSpreadClient(connection).Compare(ctx, request)
	if err != nil {
		d.log.V(1).Info("a call to a peer failed", "peer", a, "reason", err.Error())
		return nil, err
	}
	d.mu.Lock()
	d.lastPeerReply = time.Now()
	d.mu.Unlock()
	return reply, nil
}
