package direct

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramleydeal/internal/agent/rank"
	"bramleydeal/internal/core/group"
	"bramleydeal/internal/core/store"
	"bramleydeal/internal/process/directory"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/service"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/grpc"
)

// lists is a store whose lists are given, and a reader of its objects.
type lists map[directory.Kind][]store.Object

func (l lists) ListCached(_ context.Context, k directory.Kind) (store.Update, error) {
	return store.Update{Objects: l[k]}, nil
}

func (l lists) Configuration(value []byte) (*service.Configuration, error) {
	var d service.Configuration
	err := json.Unmarshal(value, &d)
	return &d, err
}

func (l lists) Upstream(_ string, value []byte) (service.Upstream, error) {
	var u service.Upstream
	err := json.Unmarshal(value, &u)
	return u, err
}

func object(name string, v any) store.Object {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // tests write what can be written
	}
	return store.Object{Name: name, Value: value}
}

// member is the upstream of a rank.
func member(name string, n int) store.Object {
	return object(fmt.Sprint(name, n), service.Upstream{
		ID: fmt.Sprint(name, n), Service: "quotes", Address: engineAddress(n),
		Membership: &service.Membership{Group: name, Epoch: 1, Rank: n, Size: 2},
	})
}

func engineAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(n + 1)}), 9000)
}

var experts = service.Experts{Sets: 1, Count: 4, Slots: 3, MaxFetchesPerSet: 1, FetchTime: 100 * time.Millisecond}

func newRoster(engine netip.AddrPort, port uint16) *roster {
	l := lists{
		directory.Upstreams: {member("g0", 0), member("g0", 1), {Name: "odd", Value: []byte(`7`)}},
		directory.Configuration: {object("main", service.Configuration{
			Routes: []service.Route{
				{MaxGap: 200 * time.Millisecond, Targets: []service.Target{{Service: "quotes"}}},
				{MaxGap: 120 * time.Millisecond, Targets: []service.Target{{Service: "quotes"}}},
				{MaxGap: 10 * time.Millisecond, Targets: []service.Target{{Service: "other"}}},
			},
			Services: map[string]service.Service{"quotes": {Engine: &service.Engine{Experts: &experts}}},
		})},
	}
	return &roster{lister: l, reader: l, engine: engine, port: port, pool: dial.NewPool(nil, &dial.Traffic{}), log: logr.Discard()}
}

func read(t *testing.T, r *roster) {
	t.Helper()
	upstreams, err := r.read(t.Context())
	is.New(t).NoErr(err)
	is.New(t).Equal(upstreams, 2)
}

func TestRosterFindsTheGroupOfTheOwnEngine(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 7100)
	is.True(!r.ExpertParallel()) // nothing is known yet
	read(t, r)
	is.Equal(r.Name(), "g0")
	is.Equal(r.Self(), "1")
	is.Equal(r.Ranks(), []string{"0", "1"})
	is.True(r.ExpertParallel())
	is.Equal(r.maxGap(), 120*time.Millisecond)
	is.Equal(r.current.Load().engines["0"], engineAddress(0))
}

func TestFollowersReadTheRosterRarely(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 7100)
	followed := false
	r.followed = func() bool { return followed }
	is.Equal(r.interval(100), rosterInterval+100*rosterPerWorker)
	followed = true
	is.Equal(r.interval(100), followerInterval)
}

func TestAgentsFollowWhoeverSentThemAnOrder(t *testing.T) {
	is := is.New(t)
	l := &lead{rank: rank.New(newRoster(engineAddress(1), 7100), rank.NewOrderedEngine(&still{}, logr.Discard()), logr.Discard())}
	is.True(!l.followed()) // no order came
	order := orders.OrderToProto("g0", group.Collect{Ballot: group.Ballot{Term: 1, Proposer: "w0"}})
	reply, err := l.rank.Order(t.Context(), order)
	is.NoErr(err)
	is.True(reply.Accepted)
	is.True(l.followed())
	l.numbers.term.Store(2)
	is.True(!l.followed()) // it leads itself
}

func TestAnOrderOfAnotherGroupMakesTheRosterBeRead(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 7100)
	r.asked = make(chan struct{}, 1)
	read(t, r)
	a := &Agent{roster: r, lead: &lead{rank: rank.New(r, rank.NewOrderedEngine(&still{}, logr.Discard()), logr.Discard())}}
	order := func(name string) {
		_, err := a.Order(t.Context(), orders.OrderToProto(name, group.Collect{Ballot: group.Ballot{Term: 1, Proposer: "w0"}}))
		is.NoErr(err)
	}
	order("g0")
	is.Equal(len(r.asked), 0)
	order("g1")
	is.Equal(len(r.asked), 1)
}

func TestTheListIsNotReadBeforeTheEngineHasAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRoster(engineAddress(1), 7100)
		asked := 0
		r.formed = func(context.Context) bool { asked++; return asked > 3 }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.run(ctx)
		time.Sleep(3*rosterRetry - time.Millisecond)
		is.True(r.current.Load() == nil)
		time.Sleep(2 * time.Millisecond)
		is.True(r.current.Load() != nil)
		time.Sleep(time.Minute)
		is.Equal(asked, 4) // no more once the group is known
		cancel()
		synctest.Wait()
	})
}

func TestRosterKnowsNoGroupWithoutTheOwnEngine(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(9), 7100)
	read(t, r)
	is.True(!r.ExpertParallel())
	_, err := r.Call(t.Context(), "0", &peer.GrantOrder{})
	is.True(err != nil)
}

// leases is a store of leases.
type leases struct {
	object store.Object
	away   bool
	asked  atomic.Int64
}

func (l *leases) Get(context.Context, string) (store.Object, error) {
	l.asked.Add(1)
	switch {
	case l.away:
		return store.Object{}, errors.New("away")
	case l.object.Version == 0:
		return store.Object{}, store.ErrNotFound
	}
	return l.object, nil
}

func (l *leases) Put(_ context.Context, name string, value []byte, version uint64) (store.Object, error) {
	if l.away || version != l.object.Version {
		return l.object, store.ErrConflict
	}
	l.object = store.Object{Name: name, Version: version + 1, Value: value}
	return l.object, nil
}

func TestEachClaimTakesTheNextTerm(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(0), 7100)
	read(t, r)
	s := &leases{}
	for term := uint64(1); term <= 3; term++ {
		got, err := (&lead{self: "a", roster: r, leases: s, log: logr.Discard()}).claim(t.Context())
		is.NoErr(err)
		is.Equal(got, term)
	}
	s.away = true
	_, err := (&lead{self: "a", roster: r, leases: s, log: logr.Discard()}).claim(t.Context())
	is.True(err != nil)
}

// still is an engine that stands at one step and takes every order.
type still struct{ reports int }

func (s *still) Report(context.Context) (rank.Report, error) {
	s.reports++
	return rank.Report{Epoch: 1, NextStep: 5}, nil
}
func (s *still) Counts(context.Context) ([]uint32, error) { return []uint32{1, 2, 3, 4}, nil }
func (s *still) Held(context.Context) ([][]int, error)    { return [][]int{{0, 2}}, nil }
func (s *still) Prepare(context.Context, rank.Fence, uint64, [][][]int) (bool, error) {
	return true, nil
}
func (s *still) Arm(context.Context, rank.Fence, uint64, uint64) (bool, error) { return true, nil }
func (s *still) Hold(context.Context, rank.Fence, uint64) (bool, error)        { return true, nil }
func (s *still) Release(context.Context, rank.Fence, uint64) (bool, error)     { return true, nil }

func TestRanksClaimOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	due := func(n int, after time.Duration) bool {
		r := newRoster(engineAddress(n), 7100)
		read(t, r)
		l := &lead{roster: r, rank: rank.New(r, rank.NewOrderedEngine(&still{}, logr.Discard()), logr.Discard()), begun: now}
		return l.due(now.Add(after))
	}
	is.True(due(0, firstClaimDelay))
	is.True(!due(1, firstClaimDelay))
	is.True(due(1, firstClaimDelay+leaderTimeout))
}

// TestRanksThatLearnOfTheirGroupLateClaimOneAfterTheOther: a group forms long
// after its agents have started.
func TestRanksThatLearnOfTheirGroupLateClaimOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRoster(engineAddress(1), 7100)
		s := &leases{away: true}
		l := &lead{roster: r, leases: s, rank: rank.New(r, rank.NewOrderedEngine(&still{}, logr.Discard()), logr.Discard()), log: logr.Discard()}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go l.run(ctx)
		time.Sleep(time.Minute + lookInterval/2) // between two looks
		read(t, r)
		time.Sleep(firstClaimDelay + leaderTimeout - lookInterval)
		is.Equal(s.asked.Load(), int64(0)) // rank 0 comes first
		time.Sleep(3 * lookInterval)
		is.Equal(s.asked.Load(), int64(1))
		cancel()
		synctest.Wait()
	})
}

// serverOf serves a rank's agent on loopback.
func serverOf(t *testing.T, r *rank.Rank) (netip.AddrPort, *grpc.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peer.RegisterAgentServer(server, &Agent{lead: &lead{rank: r}, roster: newRoster(engineAddress(0), 7100)})
	go func() {
		// It ends with the test.
		_ = server.Serve(listener)
	}()
	t.Cleanup(server.Stop)
	return netip.MustParseAddrPort(listener.Addr().String()), server
}

func TestALeaderActsForAnAgentThatIsAbsent(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 7100)
	read(t, r)
	beside, instead := &still{}, &still{}
	address, server := serverOf(t, rank.New(r, rank.NewOrderedEngine(beside, logr.Discard()), logr.Discard()))
	lost := 0
	c := &remoteAgent{name: "0", address: address, pool: r.pool, log: logr.Discard(), lost: func() { lost++ }}
	c.takeover = rank.New(r, rank.NewOrderedEngine(instead, logr.Discard()), logr.Discard())
	ask := func() (*peer.GrantReply, error) {
		m := orders.OrderToProto("g0", group.Collect{Ballot: group.Ballot{Term: 1}})
		m.Loads = true
		return c.call(t.Context(), m)
	}
	reply, err := ask()
	is.NoErr(err)
	is.Equal(len(reply.Held), 1)
	is.Equal(instead.reports, 0)
	server.Stop()
	_, err = ask()
	is.True(err != nil) // absent for too short a time
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if reply, err = ask(); err == nil {
			break
		}
		is.True(time.Now().Before(end))
	}
	is.True(reply.Accepted)
	is.Equal(len(reply.Held), 0) // counts are not read from afar
	is.True(instead.reports > 0)
	is.Equal(lost, 1)
}

func TestNobodyActsForAnAgentWhereEnginesTakeOldOrders(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 1) // nobody listens there
	read(t, r)
	c := r.remoteAgent("0", engineAddress(0))
	is.True(c.takeover == nil)
	r.fencing, r.remotes = true, nil
	r.orders = func(netip.AddrPort) rank.OrderEngine { return &still{} }
	is.True(r.remoteAgent("0", engineAddress(0)).takeover != nil)
}
