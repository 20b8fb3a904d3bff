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
	"bramleydeal/internal/wire/peer"
)

// Times and numbers of the calls to peers.
const (
	// peerSilence is the time without a word of any peer after which a process
	// that reads late reads fresh: two comparisons, and below the seconds within
	// which a change must be in force.
	peerSilence = 2 * time.Second
	// peerPollInterval is how often peers are asked while the store fails.
	peerPollInterval = 300 * time.Millisecond
	// peerCompareInterval is how often one peer is asked while it does not: a store that
	// keeps silent to this process alone looks like one without news.
	peerCompareInterval = 900 * time.Millisecond
	// peersAsked is how many peers are asked at a time while the store fails.
	peersAsked = 3
	// maxPushed bounds the peers that a change is pushed to.
	maxPushed = 64
	// peerTimeout bounds a call to a peer.
	peerTimeout = time.Second
	// announceSpread is the time over which the peers that read late are told of a
	// change, so that those who know it by then are not sent it.
	announceSpread = 80 * time.Millisecond
)

// freshWatchers is how many entries of a failure domain watch the store itself:
// two may be lost at once. The others' watches may tell seconds late, at a tenth
// of the price; they hear of a change from these, or from whoever reads the store
// in turn.
const freshWatchers = 3

// peers returns at most n peers to ask, in random order.
func (d *Directory) peers(n int) []netip.AddrPort {
	d.mu.Lock()
	out := slices.Clone(d.seeds)
	for _, i := range d.instances {
		if i.Name != d.self && !slices.Contains(out, i.Address) {
			out = append(out, i.Address)
		}
	}
	d.mu.Unlock()
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// followPeers asks peers for what the store does not tell.
func (d *Directory) followPeers(ctx context.Context) {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	compared := time.Now()
	fresh := d.readsFresh()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		d.noticeSuspension()
		fresh = d.refresh(fresh)
		ask, count := d.missing(), peersAsked
		if len(ask) == 0 && time.Since(compared) >= peerCompareInterval {
			ask, count = served, 1
			compared = time.Now()
		}
		if len(ask) == 0 {
			continue
		}
		for _, a := range d.peers(count) {
			for _, k := range ask {
				go d.compare(ctx, k, a)
			}
		}
	}
}

// refresh ends the watches that may tell late once this process is to read fresh.
// It returns whether it is.
func (d *Directory) refresh(before bool) bool {
	now := d.readsFresh()
	if now && !before {
		d.log.Info("reading the store fresh")
		for _, k := range kinds {
			d.endWatch(k)
		}
	}
	return now
}

// missing returns the kinds that the store does not serve, and those that await
// confirmation.
func (d *Directory) missing() []Kind {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Kind
	for _, k := range kinds {
		if d.contact[k].failing || d.suspension.awaits(k) {
			out = append(out, k)
		}
	}
	return out
}

// compare asks a peer for the objects of a kind that this process lacks.
func (d *Directory) compare(ctx context.Context, k Kind, a netip.AddrPort) {
	d.mu.Lock()
	revision := d.replicas[k].Revision()
	d.mu.Unlock()
	suspensions := d.suspension.suspensions()
	reply, err := d.callPeer(ctx, a, &peer.CompareRequest{Instance: d.self, Kind: string(k), Revision: revision})
	if err != nil {
		return
	}
	if reply.Revision > revision {
		d.take(k, peer.UpdateFromProto(reply.From, reply.Revision, reply.Objects), reply.Instance)
	}
	if reply.Revision > 0 && reply.Revision >= revision {
		d.suspension.confirm(k, suspensions)
	}
}

// take applies what a peer knows. A watch that missed it may deliver nothing any
// more; one that tells late may not have come to it.
func (d *Directory) take(k Kind, u store.Update, source string) {
	if d.apply(k, u, source) {
		d.mu.Lock()
		d.stats.PeerUpdates++
		d.mu.Unlock()
		if d.readsFresh() {
			d.endWatch(k)
		}
	}
}

// Compare implements peer.SpreadServer.
func (d *Directory) Compare(_ context.Context, request *peer.CompareRequest) (*peer.CompareReply, error) {
	if k := Kind(request.Kind); len(request.Objects) > 0 && slices.Contains(kinds, k) {
		d.take(k, peer.UpdateFromProto(request.From, request.Revision, request.Objects), request.Instance)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := &peer.CompareReply{Instance: d.self}
	r := d.replicas[Kind(request.Kind)]
	if r == nil || d.suspension.awaits(Kind(request.Kind)) {
		// What awaits confirmation must not confirm what another process knows.
		return reply, nil
	}
	reply.Revision = r.Revision()
	if reply.Revision > request.Revision {
		u := r.Since(request.Revision)
		reply.From, reply.Objects = u.From, peer.ObjectsToProto(u.Objects)
	}
	return reply, nil
}

// announce brings a change to the peers that read late, unless they know it.
func (d *Directory) announce(ctx context.Context, k Kind) {
	for _, a := range d.lateReaders() {
		go func() {
			clock.Sleep(ctx, rand.N(announceSpread))
			d.mu.Lock()
			own := d.replicas[k].Revision()
			d.mu.Unlock()
			reply, err := d.callPeer(ctx, a, &peer.CompareRequest{Instance: d.self, Kind: string(k), Revision: own})
			if err != nil || reply.Revision >= own {
				return
			}
			d.mu.Lock()
			u := d.replicas[k].Since(reply.Revision)
			d.mu.Unlock()
			d.send(ctx, a, k, u)
		}()
	}
}

// readsFresh tells whether this process watches the store itself. One that is not
// listed yet does, and one that no peer would tell of a change.
func (d *Directory) readsFresh() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	own, listed := d.instances[d.self]
	return !listed || time.Since(d.heard) >= peerSilence || instance.IsWatcher(slices.Collect(maps.Values(d.instances)), d.self, own.FailureDomain, freshWatchers)
}

// lateReaders returns the entries of this process's failure domain that do not
// watch the store themselves.
func (d *Directory) lateReaders() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.instances[d.self]
	watchers := instance.Watchers(slices.Collect(maps.Values(d.instances)), own.FailureDomain, freshWatchers)
	var out []netip.AddrPort
	for _, i := range d.instances {
		if i.FailureDomain == own.FailureDomain && i.Name != d.self && !slices.Contains(watchers, i) {
			out = append(out, i.Address)
		}
	}
	return out
}

// push sends all peers what changed since a revision.
func (d *Directory) push(ctx context.Context, k Kind, from uint64) {
	d.mu.Lock()
	u := d.replicas[k].Since(from)
	d.mu.Unlock()
	for _, a := range d.peers(maxPushed) {
		go d.send(ctx, a, k, u)
	}
}

// send sends a peer objects; what fails is logged, the peer asks for itself.
func (d *Directory) send(ctx context.Context, a netip.AddrPort, k Kind, u store.Update) {
	// The error is logged by the call.
	_, _ = d.callPeer(ctx, a, &peer.CompareRequest{Instance: d.self, Kind: string(k), Revision: u.Revision, From: u.From, Objects: peer.ObjectsToProto(u.Objects)})
}

// callPeer compares with a peer. A failure is logged here.
func (d *Directory) callPeer(ctx context.Context, a netip.AddrPort, request *peer.CompareRequest) (*peer.CompareReply, error) {
	d.mu.Lock()
	d.stats.PeerCalls++
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	connection, err := d.pool.Get(a)
	if err != nil {
		d.log.Error(err, "a peer's address cannot be used", "peer", a)
		return nil, err
	}
	reply, err := peer.NewSpreadClient(connection).Compare(ctx, request)
	if err != nil {
		d.log.V(1).Info("a peer did not answer", "peer", a, "reason", err.Error())
		return nil, err
	}
	d.mu.Lock()
	d.heard = time.Now()
	d.mu.Unlock()
	return reply, nil
}
