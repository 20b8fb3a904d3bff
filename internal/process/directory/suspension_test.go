package directory

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"bramleydeal/internal/core/upstream"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"github.com/matryer/is"
	"google.golang.org/grpc"
)

// newSuspendableDirectory returns a directory with a configuration and an empty list of
// upstreams, its store, and a function that simulates a suspension of the host.
func newSuspendableDirectory(t *testing.T) (*Directory, *storeStandIn, func(time.Duration)) {
	t.Helper()
	var suspendedTime time.Duration
	s := newStoreStandIn()
	d := New("e1", s, jsonDecoder{}, dial.NewPool(nil, &dial.Traffic{}), upstream.PresenceConfig{RemovalGrace: time.Second, RecoveryGrace: 2 * time.Second},
		WithSuspendedTime(func() (time.Duration, error) { return suspendedTime, nil }))
	s.setList(Configuration, 10, configuration(7))
	s.setList(Upstreams, 10)
	s.setList(Instances, 10)
	load(t, d, Configuration)
	load(t, d, Upstreams)
	return d, s, func(d time.Duration) { suspendedTime += d }
}

// TestNothingIsServedAfterASuspensionUntilConfirmed guards against requests that are
// served with a configuration or upstreams that were replaced during a suspension, and
// against a confirmation by the reply to a call made before it.
func TestNothingIsServedAfterASuspensionUntilConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _, suspend := newSuspendableDirectory(t)
		d.checkSuspension()
		is.Equal(version(d), uint64(7))

		before := d.suspension.suspensions()
		suspend(4 * time.Second)
		d.checkSuspension()
		is.Equal(version(d), uint64(0))
		is.Equal(d.kindsToCompare(), []Kind{Configuration, Upstreams}) // peers are called as well

		d.suspension.confirm(Configuration, before) // by a call made before the suspension
		d.suspension.confirm(Upstreams, before)
		is.Equal(version(d), uint64(0))

		now := d.suspension.suspensions()
		d.suspension.confirm(Configuration, now)
		is.Equal(version(d), uint64(0)) // the upstreams are still unconfirmed
		d.suspension.confirm(Upstreams, now)
		is.Equal(version(d), uint64(7))
		is.Equal(len(d.kindsToCompare()), 0)
	})
}

// TestUnconfirmedKindIsListed guards against a confirmation by a watch, which may
// report a change late.
func TestUnconfirmedKindIsListed(t *testing.T) {
	is := is.New(t)
	d, s, suspend := newSuspendableDirectory(t)
	d.checkSuspension()
	suspend(4 * time.Second)
	d.checkSuspension()
	before := s.listCount(Configuration)
	_, err := d.listOrWatch(t.Context(), Configuration, false)
	is.NoErr(err)
	is.Equal(s.listCount(Configuration), before+1) // listed instead of watched
}

// TestSuspendedPeerConfirmsNothing guards against processes that confirm each other's
// outdated state after they were suspended together.
func TestSuspendedPeerConfirmsNothing(t *testing.T) {
	is := is.New(t)
	d, _, suspend := newSuspendableDirectory(t)
	suspend(time.Second)
	d.checkSuspension()
	reply, err := d.Compare(t.Context(), &peer.CompareRequest{Instance: "e2", Kind: string(Configuration)})
	is.NoErr(err)
	is.Equal(reply.Revision, uint64(0))
	d.suspension.confirm(Configuration, d.suspension.suspensions())
	reply, err = d.Compare(t.Context(), &peer.CompareRequest{Instance: "e2", Kind: string(Configuration)})
	is.NoErr(err)
	is.Equal(reply.Revision, uint64(10))
}

func TestShortSuspensionIsIgnored(t *testing.T) {
	is := is.New(t)
	d, _, suspend := newSuspendableDirectory(t)
	suspend(minSuspension - time.Millisecond)
	d.checkSuspension()
	is.Equal(version(d), uint64(7))
}

func TestStallCountsAsSuspension(t *testing.T) {
	for name, c := range map[string]struct {
		stall       time.Duration
		wantVersion uint64
	}{
		"short delay": {peerPollInterval + minStall - time.Millisecond, 7},
		"stall":       {peerPollInterval + minStall, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d, _, _ := newSuspendableDirectory(t)
				d.checkSuspension()
				time.Sleep(c.stall)
				d.checkSuspension()
				is.Equal(version(d), c.wantVersion)
			})
		})
	}
}

// TestUnconfirmedStateIsServedAfterTheLimit guards against a process that never serves
// again after a suspension because neither the store nor a peer is available.
func TestUnconfirmedStateIsServedAfterTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _, suspend := newSuspendableDirectory(t)
		suspend(time.Minute)
		d.checkSuspension()
		time.Sleep(unconfirmedLimit - time.Millisecond)
		is.Equal(version(d), uint64(0))
		time.Sleep(time.Millisecond)
		is.Equal(version(d), uint64(7))
	})
}

func TestRequestWaitsForConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _, suspend := newSuspendableDirectory(t)
		suspend(time.Second)
		start := time.Now()
		d.AwaitConfirmation(t.Context())
		is.Equal(time.Since(start), confirmationWait)
		is.Equal(version(d), uint64(0))

		go func() {
			time.Sleep(time.Millisecond)
			for _, k := range []Kind{Configuration, Upstreams} {
				d.suspension.confirm(k, d.suspension.suspensions())
			}
		}()
		start = time.Now()
		d.AwaitConfirmation(t.Context())
		is.Equal(time.Since(start), time.Millisecond)
		is.Equal(version(d), uint64(7))
	})
}

// TestStoreIsListedAgainAfterASuspension guards against waiting for watches that were
// pending before a suspension: their connections may be broken.
func TestStoreIsListedAgainAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, s, suspend := newSuspendableDirectory(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, k := range kinds {
			go d.followStore(ctx, k)
		}
		synctest.Wait() // until all watches are pending
		s.setList(Configuration, 12, configuration(9))
		suspend(time.Second)
		d.AwaitConfirmation(ctx)
		is.Equal(version(d), uint64(9))
	})
}

func TestPeerConfirmsUpToItsRevision(t *testing.T) {
	for name, c := range map[string]struct {
		revision    uint64
		wantVersion uint64
	}{
		"peer at the same revision": {10, 7},
		"peer at a higher revision": {12, 7},
		"peer at a lower revision":  {9, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, _, suspend := newSuspendableDirectory(t)
			other, s := newDirectory("e2")
			s.setList(Configuration, c.revision, configuration(7))
			s.setList(Upstreams, c.revision)
			load(t, other, Configuration)
			load(t, other, Upstreams)
			address := serve(t, other)
			suspend(time.Second)
			d.checkSuspension()
			for _, k := range []Kind{Configuration, Upstreams} {
				d.compare(t.Context(), k, address)
			}
			is.Equal(version(d), c.wantVersion)
		})
	}
}

// serve serves a directory's peer interface on loopback and returns the address.
func serve(t *testing.T, d *Directory) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peer.RegisterSpreadServer(server, d)
	go func() {
		// Serve returns nil after Stop.
		_ = server.Serve(l)
	}()
	t.Cleanup(server.Stop)
	return netip.MustParseAddrPort(l.Addr().String())
}
