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

// suspendable returns a directory that knows a configuration and the upstreams,
// and a function that suspends its machine.
func suspendable(t *testing.T) (*Directory, *fake, func(time.Duration)) {
	t.Helper()
	var ahead time.Duration
	f := newFake()
	d := New("e1", f, plain{}, dial.NewPool(nil, &dial.Traffic{}), upstream.PresenceConfig{RemovalGrace: time.Second, RecoveryGrace: 2 * time.Second},
		WithSuspended(func() (time.Duration, error) { return ahead, nil }))
	f.set(Configuration, 10, configuration(7))
	f.set(Upstreams, 10)
	f.set(Instances, 10)
	learn(t, d, Configuration)
	learn(t, d, Upstreams)
	return d, f, func(d time.Duration) { ahead += d }
}

func TestAfterASuspensionNothingIsServedBeforeItIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _, suspend := suspendable(t)
		d.noticeSuspension()
		is.Equal(version(d), uint64(7))

		before := d.suspension.suspensions()
		suspend(4 * time.Second)
		d.noticeSuspension()
		is.Equal(version(d), uint64(0))
		is.Equal(d.missing(), []Kind{Configuration, Upstreams}) // peers are asked too

		d.suspension.confirm(Configuration, before) // the answer to a question from before
		d.suspension.confirm(Upstreams, before)
		is.Equal(version(d), uint64(0))

		now := d.suspension.suspensions()
		d.suspension.confirm(Configuration, now)
		is.Equal(version(d), uint64(0)) // the upstreams may have gone
		d.suspension.confirm(Upstreams, now)
		is.Equal(version(d), uint64(7))
		is.Equal(len(d.missing()), 0)
	})
}

// TestAFreshListConfirms, not a watch that may tell late.
func TestAFreshListConfirms(t *testing.T) {
	is := is.New(t)
	d, f, suspend := suspendable(t)
	d.noticeSuspension()
	suspend(4 * time.Second)
	d.noticeSuspension()
	before := f.asked(Configuration)
	_, err := d.ask(t.Context(), Configuration, false)
	is.NoErr(err)
	is.Equal(f.asked(Configuration), before+1) // listed, not watched
}

func TestAPeerThatWasSuspendedConfirmsNothing(t *testing.T) {
	is := is.New(t)
	d, _, suspend := suspendable(t)
	suspend(time.Second)
	d.noticeSuspension()
	reply, err := d.Compare(t.Context(), &peer.CompareRequest{Instance: "e2", Kind: string(Configuration)})
	is.NoErr(err)
	is.Equal(reply.Revision, uint64(0))
	d.suspension.confirm(Configuration, d.suspension.suspensions())
	reply, err = d.Compare(t.Context(), &peer.CompareRequest{Instance: "e2", Kind: string(Configuration)})
	is.NoErr(err)
	is.Equal(reply.Revision, uint64(10))
}

func TestAShortSuspensionChangesNothing(t *testing.T) {
	is := is.New(t)
	d, _, suspend := suspendable(t)
	suspend(minSuspension - time.Millisecond)
	d.noticeSuspension()
	is.Equal(version(d), uint64(7))
}

func TestAProcessThatStoodStillCountsAsSuspended(t *testing.T) {
	for name, c := range map[string]struct {
		still time.Duration
		known uint64
	}{
		"a busy machine":    {peerPollInterval + minStandstill - time.Millisecond, 7},
		"a stopped process": {peerPollInterval + minStandstill, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d, _, _ := suspendable(t)
				d.noticeSuspension()
				time.Sleep(c.still)
				d.noticeSuspension()
				is.Equal(version(d), c.known)
			})
		})
	}
}

func TestWithoutStoreAndPeersASuspendedProcessServesAgainAfterTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _, suspend := suspendable(t)
		suspend(time.Minute)
		d.noticeSuspension()
		time.Sleep(unconfirmedLimit - time.Millisecond)
		is.Equal(version(d), uint64(0))
		time.Sleep(time.Millisecond)
		is.Equal(version(d), uint64(7))
	})
}

func TestARequestWaitsShortlyForTheConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _, suspend := suspendable(t)
		suspend(time.Second)
		began := time.Now()
		d.AwaitConfirmation(t.Context())
		is.Equal(time.Since(began), confirmationWait)
		is.Equal(version(d), uint64(0))

		go func() {
			time.Sleep(time.Millisecond)
			for _, k := range []Kind{Configuration, Upstreams} {
				d.suspension.confirm(k, d.suspension.suspensions())
			}
		}()
		began = time.Now()
		d.AwaitConfirmation(t.Context())
		is.Equal(time.Since(began), time.Millisecond)
		is.Equal(version(d), uint64(7))
	})
}

func TestAfterASuspensionTheStoreIsListedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, f, suspend := suspendable(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, k := range kinds {
			go d.follow(ctx, k)
		}
		synctest.Wait() // all watches wait
		f.set(Configuration, 12, configuration(9))
		suspend(time.Second)
		d.AwaitConfirmation(ctx)
		is.Equal(version(d), uint64(9))
	})
}

func TestAPeerConfirmsWhatItKnowsAtLeastAsFar(t *testing.T) {
	for name, c := range map[string]struct {
		revision uint64
		known    uint64
	}{
		"a peer at the same revision": {10, 7},
		"a peer that is ahead":        {12, 7},
		"a peer that is behind":       {9, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, _, suspend := suspendable(t)
			other, f := newDirectory("e2")
			f.set(Configuration, c.revision, configuration(7))
			f.set(Upstreams, c.revision)
			learn(t, other, Configuration)
			learn(t, other, Upstreams)
			address := serve(t, other)
			suspend(time.Second)
			d.noticeSuspension()
			for _, k := range []Kind{Configuration, Upstreams} {
				d.compare(t.Context(), k, address)
			}
			is.Equal(version(d), c.known)
		})
	}
}

// serve serves a directory to its peers on loopback.
func serve(t *testing.T, d *Directory) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peer.RegisterSpreadServer(server, d)
	go func() {
		// It ends with Stop, without an error.
		_ = server.Serve(l)
	}()
	t.Cleanup(server.Stop)
	return netip.MustParseAddrPort(l.Addr().String())
}
