package direct

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
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
	"pgregory.net/rapid"
)

// fixedStore is a store with fixed lists of objects, and the decoder of their JSON
// values.
type fixedStore map[directory.Kind][]store.Object

func (s fixedStore) ListCached(_ context.Context, k directory.Kind) (store.Update, error) {
	return store.Update{Objects: s[k]}, nil
}

func (s fixedStore) Configuration(value []byte) (*service.Configuration, error) {
	var d service.Configuration
	err := json.Unmarshal(value, &d)
	return &d, err
}

func (s fixedStore) Upstream(_ string, value []byte) (service.Upstream, error) {
	var u service.Upstream
	err := json.Unmarshal(value, &u)
	return u, err
}

func object(name string, v any) store.Object {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // the tests pass values that can be encoded
	}
	return store.Object{Name: name, Value: value}
}

// rankUpstream returns the stored object of the upstream that is rank n of the named
// group, which has two ranks.
func rankUpstream(name string, n int) store.Object {
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
	s := fixedStore{
		directory.Upstreams: {rankUpstream("g0", 0), rankUpstream("g0", 1), {Name: "odd", Value: []byte(`7`)}},
		directory.Configuration: {object("main", service.Configuration{
			Routes: []service.Route{
				{MaxGap: 200 * time.Millisecond, Targets: []service.Target{{Service: "quotes"}}},
				{MaxGap: 120 * time.Millisecond, Targets: []service.Target{{Service: "quotes"}}},
				{MaxGap: 10 * time.Millisecond, Targets: []service.Target{{Service: "other"}}},
			},
			Services: map[string]service.Service{"quotes": {Engine: &service.Engine{Experts: &experts}}},
		})},
	}
	return &roster{lister: s, decoder: s, ownEngine: engine, agentPort: port, pool: dial.NewPool(nil, &dial.Traffic{}), log: logr.Discard()}
}

func readRoster(t *testing.T, r *roster) {
	t.Helper()
	upstreams, err := r.read(t.Context())
	is.New(t).NoErr(err)
	is.New(t).Equal(upstreams, 2)
}

func TestRosterFindsGroupOfOwnEngine(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 7100)
	is.True(!r.ExpertParallel()) // the roster has not been read
	readRoster(t, r)
	is.Equal(r.Name(), "g0")
	is.Equal(r.Self(), "1")
	is.Equal(r.Ranks(), []string{"0", "1"})
	is.True(r.ExpertParallel())
	is.Equal(r.maxGap(), 120*time.Millisecond)
	is.Equal(r.current.Load().engineAddresses["0"], engineAddress(0))
}

// TestRosterIgnoresOddEntries guards against an agent that takes the place of its engine, or the
// address of another rank, from an entry that another writer or a former engine has left.
func TestRosterIgnoresOddEntries(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 7100)
	entry := func(name, group string, n, size int, address netip.AddrPort, startedAt time.Time) store.Object {
		return object(name, service.Upstream{
			ID: name, Service: "quotes", Address: address, StartedAt: startedAt, Membership: &service.Membership{Group: group, Epoch: 1, Rank: n, Size: size},
		})
	}
	started := time.UnixMilli(1750000000000)
	r.lister.(fixedStore)[directory.Upstreams] = []store.Object{
		entry("a", "g0", 0, 2, engineAddress(0), started), entry("b", "g0", 1, 2, engineAddress(1), started),
		entry("odd-1", "g9", 0, 4096, engineAddress(1), time.Time{}), entry("odd-2", "g0", 0, 2, engineAddress(7), time.Time{}),
		entry("odd-3", "g0", 6, 8, engineAddress(8), time.Time{}), {Name: "odd-4", Value: []byte(`7`)},
	}
	_, err := r.read(t.Context())
	is.NoErr(err)
	is.Equal(r.Name(), "g0")
	is.Equal(r.Ranks(), []string{"0", "1"})
	is.Equal(r.current.Load().engineAddresses, map[string]netip.AddrPort{"0": engineAddress(0), "1": engineAddress(1)})
}

// listed returns the stored object of the engine that is rank n of the group g0, which has four.
func listed(n int, epoch uint64, address netip.AddrPort, startedAt time.Time) store.Object {
	name := fmt.Sprintf("rank-%d-epoch-%d", n, epoch)
	return object(name, service.Upstream{
		ID: name, Service: "quotes", Address: address, StartedAt: startedAt, Membership: &service.Membership{Group: "g0", Epoch: epoch, Rank: n, Size: 4},
	})
}

// TestRosterOfTwoEpochs guards against one engine that is taken for two ranks, and against an
// address that a rank had before its group was formed anew. Clocks may have been set back meanwhile.
func TestRosterOfTwoEpochs(t *testing.T) {
	started := time.UnixMilli(1750000000000)
	for name, test := range map[string]struct {
		list []store.Object
		want map[string]netip.AddrPort
	}{
		"one engine is listed as two ranks": {
			[]store.Object{
				listed(0, 2, engineAddress(0), started), listed(1, 2, engineAddress(1), started),
				listed(3, 2, engineAddress(2), started.Add(time.Minute)),
				listed(2, 1, engineAddress(2), started), listed(3, 1, engineAddress(3), started),
			},
			map[string]netip.AddrPort{"0": engineAddress(0), "1": engineAddress(1), "3": engineAddress(2)},
		},
		"after a clock was set back": {
			[]store.Object{
				listed(0, 2, engineAddress(0), started), listed(1, 2, engineAddress(1), started),
				listed(3, 2, engineAddress(2), started.Add(-time.Minute)),
				listed(2, 1, engineAddress(2), started), listed(3, 1, engineAddress(3), started),
			},
			map[string]netip.AddrPort{"0": engineAddress(0), "1": engineAddress(1), "3": engineAddress(2)},
		},
		"ranks that have not written since": {
			[]store.Object{
				listed(0, 2, engineAddress(0), started), listed(1, 1, engineAddress(1), started),
				listed(2, 1, engineAddress(2), started), listed(3, 2, engineAddress(4), started),
			},
			map[string]netip.AddrPort{"0": engineAddress(0), "1": engineAddress(1), "2": engineAddress(2), "3": engineAddress(4)},
		},
	} {
		for order := range 2 {
			t.Run(fmt.Sprint(name, " ", order), func(t *testing.T) {
				is := is.New(t)
				r := newRoster(engineAddress(0), 7100)
				list := slices.Clone(test.list)
				if order == 1 {
					slices.Reverse(list)
				}
				r.lister.(fixedStore)[directory.Upstreams] = list
				_, err := r.read(t.Context())
				is.NoErr(err)
				is.Equal(r.current.Load().engineAddresses, test.want)
			})
		}
	}
}

// agedStore is a store whose lists have a revision.
type agedStore struct {
	fixedStore
	revision uint64
}

func (s *agedStore) ListCached(ctx context.Context, k directory.Kind) (store.Update, error) {
	u, err := s.fixedStore.ListCached(ctx, k)
	u.Revision = s.revision
	return u, err
}

// TestRosterIgnoresOlderLists guards against a leader that goes back to the addresses of a list
// which is older than one that it has read. Revisions begin anew in another era of the store.
func TestRosterIgnoresOlderLists(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(0), 7100)
	s := &agedStore{fixedStore: r.lister.(fixedStore)}
	r.lister = s
	read := func(era, revision uint64, address netip.AddrPort) error {
		s.revision = store.VersionOf(era, revision)
		s.fixedStore[directory.Upstreams] = []store.Object{listed(0, 1, engineAddress(0), time.Time{}), listed(1, 1, address, time.Time{})}
		_, err := r.read(t.Context())
		return err
	}
	is.NoErr(read(0, 20, engineAddress(1)))
	is.True(errors.Is(read(0, 19, engineAddress(5)), errOlderList))
	is.Equal(r.current.Load().engineAddresses["1"], engineAddress(1))
	is.NoErr(read(0, 20, engineAddress(1)))
	is.NoErr(read(1, 3, engineAddress(6)))
	is.Equal(r.current.Load().engineAddresses["1"], engineAddress(6))
	is.True(errors.Is(read(0, 21, engineAddress(5)), errOlderList))
	is.Equal(r.current.Load().engineAddresses["1"], engineAddress(6))
}

func TestFollowersUseLongRosterInterval(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 7100)
	otherLeader := false
	r.hasOtherLeader = func() bool { return otherLeader }
	is.Equal(r.interval(100), rosterInterval+100*rosterIntervalPerUpstream)
	otherLeader = true
	is.Equal(r.interval(100), rosterFollowerInterval)
}

func TestAcceptedOrderMakesAgentFollowSender(t *testing.T) {
	is := is.New(t)
	c := &candidate{controller: rank.New(newRoster(engineAddress(1), 7100), rank.NewOrderAdapter(&idleEngine{}, logr.Discard()), logr.Discard())}
	is.True(!c.hasOtherLeader()) // no order was received
	order := orders.OrderToProto("g0", "", group.Collect{Ballot: group.Ballot{Term: 1, Proposer: "w0"}})
	reply, err := c.controller.Order(t.Context(), order)
	is.NoErr(err)
	is.True(reply.Accepted)
	is.True(c.hasOtherLeader())
	c.metrics.term.Store(2)
	is.True(!c.hasOtherLeader()) // this agent leads
}

func TestOrderForAnotherGroupRefreshesRoster(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 7100)
	r.refresh = make(chan struct{}, 1)
	readRoster(t, r)
	a := &Agent{roster: r, candidate: &candidate{controller: rank.New(r, rank.NewOrderAdapter(&idleEngine{}, logr.Discard()), logr.Discard())}}
	order := func(name string) {
		_, err := a.Order(t.Context(), orders.OrderToProto(name, "", group.Collect{Ballot: group.Ballot{Term: 1, Proposer: "w0"}}))
		is.NoErr(err)
	}
	order("g0")
	is.Equal(len(r.refresh), 0)
	order("g1")
	is.Equal(len(r.refresh), 1)
}

func TestRosterIsNotReadBeforeEngineHasGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRoster(engineAddress(1), 7100)
		calls := 0
		r.groupFormed = func(context.Context) bool { calls++; return calls > 3 }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.run(ctx)
		time.Sleep(3*rosterRetry - time.Millisecond)
		is.True(r.current.Load() == nil)
		time.Sleep(2 * time.Millisecond)
		is.True(r.current.Load() != nil)
		time.Sleep(time.Minute)
		is.Equal(calls, 4) // not called again once the group is known
		cancel()
		synctest.Wait()
	})
}

func TestRosterHasNoGroupWithoutOwnEngine(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(9), 7100)
	readRoster(t, r)
	is.True(!r.ExpertParallel())
	_, err := r.Call(t.Context(), "0", &peer.GrantOrder{})
	is.True(err != nil)
}

// leaseStore stores leases and counts the reads of them.
type leaseStore struct {
	objects     map[string]store.Object
	era         uint64
	unavailable bool
	gets        atomic.Int64
}

func (s *leaseStore) Get(_ context.Context, name string) (store.Object, error) {
	s.gets.Add(1)
	if s.unavailable {
		return store.Object{}, errors.New("unavailable")
	}
	o, ok := s.objects[name]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

func (s *leaseStore) Put(_ context.Context, name string, value []byte, version uint64) (store.Object, error) {
	if s.unavailable || version != s.objects[name].Version {
		return s.objects[name], store.ErrConflict
	}
	if s.objects == nil {
		s.objects = map[string]store.Object{}
	}
	o := store.Object{Name: name, Version: store.VersionOf(s.era, store.RevisionOf(version)+1), Value: value}
	s.objects[name] = o
	return o, nil
}

func (s *leaseStore) Era() uint64 { return s.era }

func TestEachClaimTakesNextTerm(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(0), 7100)
	readRoster(t, r)
	s := &leaseStore{}
	for term := uint64(1); term <= 3; term++ {
		got, err := newCandidate(r, s).claim(t.Context())
		is.NoErr(err)
		is.Equal(got, term)
	}
	s.unavailable = true
	_, err := newCandidate(r, s).claim(t.Context())
	is.True(err != nil)
}

// newCandidate returns a candidate that has received no orders.
func newCandidate(r *roster, s Leases) *candidate {
	return &candidate{
		self: "a", roster: r, leases: s, log: logr.Discard(),
		controller: rank.New(r, rank.NewOrderAdapter(&idleEngine{}, logr.Discard()), logr.Discard()),
	}
}

// TestClaimAfterOlderCopyTakesUnusedTerm guards against a term, and the fencing tokens and
// map versions derived from it, that is used twice because the store came back from a copy
// that is older than a claim: also if the only process that knew of the claim is gone, if
// the claim was the first one, if it happens twice in a row, and if a write of the earlier
// era is executed late.
func TestClaimAfterOlderCopyTakesUnusedTerm(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(0), 7100)
	readRoster(t, r)
	s := &leaseStore{}
	used := map[uint64]bool{}
	claim := func(c *candidate) uint64 {
		is.Helper()
		term, err := c.claim(t.Context())
		is.NoErr(err)
		is.True(!used[term])
		used[term] = true
		return term
	}
	empty := maps.Clone(s.objects)
	claim(newCandidate(r, s))
	older := maps.Clone(s.objects)
	claim(newCandidate(r, s))
	last := claim(newCandidate(r, s))
	for era, copied := range []map[string]store.Object{older, empty, older} {
		s.objects, s.era = maps.Clone(copied), uint64(era+1)
		first := claim(newCandidate(r, s))
		is.True(first > last)
		// A write of the first era that is executed now changes another object.
		_, err := s.Put(t.Context(), leaseName(r.Name(), 0), []byte(`{"holder":"b","term":2}`), s.objects[leaseName(r.Name(), 0)].Version)
		is.NoErr(err)
		last = claim(newCandidate(r, s))
		is.True(last > first)
	}
}

// lossyLeases is a lease store whose writes may be executed late: one that is delayed gives
// an error, and has its effect when flush is called, if its condition holds then. It compares
// revisions only, as the platform's store does.
type lossyLeases struct {
	leaseStore
	delay   bool
	delayed []func()
}

func (s *lossyLeases) Put(ctx context.Context, name string, value []byte, version uint64) (store.Object, error) {
	write := func() (store.Object, error) {
		held := s.objects[name]
		if store.RevisionOf(held.Version) != store.RevisionOf(version) {
			return held, store.ErrConflict
		}
		return s.leaseStore.Put(ctx, name, value, held.Version)
	}
	if !s.delay {
		return write()
	}
	s.delayed = append(s.delayed, func() {
		// The writer has given up; the result reaches nobody.
		_, _ = write()
	})
	return store.Object{}, errors.New("no response")
}

// TestTermsAreNeverUsedTwice searches for a term that two claims return, over any order of
// claims, of writes that are executed late, and of older copies from which the store comes
// back.
func TestTermsAreNeverUsedTwice(t *testing.T) {
	r := newRoster(engineAddress(0), 7100)
	readRoster(t, r)
	rapid.Check(t, func(t *rapid.T) {
		s := &lossyLeases{}
		copies := []map[string]store.Object{nil}
		var highest uint64
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"claim", "claim", "lost claim", "late write", "copy", "restore"}).Draw(t, "step") {
			case "claim":
				if term, err := newCandidate(r, s).claim(t.Context()); err == nil {
					if term <= highest {
						t.Fatalf("term %d was claimed after term %d", term, highest)
					}
					highest = term
				}
			case "lost claim":
				s.delay = true
				if _, err := newCandidate(r, s).claim(t.Context()); err == nil {
					t.Fatal("a claim without a response succeeded")
				}
				s.delay = false
			case "late write":
				if n := len(s.delayed); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "write")
					s.delayed[i]()
					s.delayed = slices.Delete(s.delayed, i, i+1)
				}
			case "copy":
				copies = append(copies, maps.Clone(s.objects))
			case "restore":
				s.objects = maps.Clone(rapid.SampledFrom(copies).Draw(t, "copy"))
				s.era++
			}
		}
	})
}

// TestClaimExceedsPromisedTerm guards against a claim under a term that this rank knows
// from the orders of a leader whose lease the store has lost.
func TestClaimExceedsPromisedTerm(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(0), 7100)
	readRoster(t, r)
	c := newCandidate(r, &leaseStore{})
	_, err := c.controller.Order(t.Context(), orders.OrderToProto("g0", "", group.Collect{Ballot: group.Ballot{Term: 9, Proposer: "b"}}))
	is.NoErr(err)
	term, err := c.claim(t.Context())
	is.NoErr(err)
	is.Equal(term, uint64(10))
}

// idleEngine is an engine that stays at one step and accepts every order.
type idleEngine struct{ reports int }

func (e *idleEngine) Report(context.Context) (rank.Report, error) {
	e.reports++
	return rank.Report{Epoch: 1, NextStep: 5}, nil
}
func (e *idleEngine) ReportAnew(ctx context.Context) (rank.Report, error) { return e.Report(ctx) }
func (e *idleEngine) Counts(context.Context) ([]uint32, error)            { return []uint32{1, 2, 3, 4}, nil }
func (e *idleEngine) Held(context.Context, uint64) ([][]int, error) {
	return [][]int{{0, 2}}, nil
}
func (e *idleEngine) Prepare(context.Context, rank.Fence, uint64, [][][]int) (bool, error) {
	return true, nil
}
func (e *idleEngine) Arm(context.Context, rank.Fence, uint64, uint64) (bool, error) { return true, nil }
func (e *idleEngine) Disarm(context.Context, rank.Fence, uint64) (bool, error)      { return true, nil }
func (e *idleEngine) Hold(context.Context, rank.Fence, uint64) (bool, error)        { return true, nil }
func (e *idleEngine) Release(context.Context, rank.Fence, uint64) (bool, error)     { return true, nil }

func TestRanksClaimInOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	due := func(n int, after time.Duration) bool {
		r := newRoster(engineAddress(n), 7100)
		readRoster(t, r)
		c := &candidate{roster: r, controller: rank.New(r, rank.NewOrderAdapter(&idleEngine{}, logr.Discard()), logr.Discard()), groupKnownSince: now}
		return c.claimDue(now.Add(after))
	}
	is.True(due(0, firstClaimDelay))
	is.True(!due(1, firstClaimDelay))
	is.True(due(1, firstClaimDelay+leaderTimeout))
}

// TestRanksOfLateGroupClaimInOrder checks a group that forms long after its agents
// have started: rank 1 still waits for rank 0 to claim the leadership first.
func TestRanksOfLateGroupClaimInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRoster(engineAddress(1), 7100)
		s := &leaseStore{unavailable: true}
		c := &candidate{roster: r, leases: s, controller: rank.New(r, rank.NewOrderAdapter(&idleEngine{}, logr.Discard()), logr.Discard()), log: logr.Discard()}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.run(ctx)
		time.Sleep(time.Minute + claimCheckInterval/2) // between two checks
		readRoster(t, r)
		time.Sleep(firstClaimDelay + leaderTimeout - claimCheckInterval)
		is.Equal(s.gets.Load(), int64(0)) // rank 0 claims first
		time.Sleep(3 * claimCheckInterval)
		is.Equal(s.gets.Load(), int64(1))
		cancel()
		synctest.Wait()
	})
}

// startAgentServer serves the agent of a rank on a loopback address until the test
// ends.
func startAgentServer(t *testing.T, r *rank.Rank) (netip.AddrPort, *grpc.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peer.RegisterAgentServer(server, &Agent{candidate: &candidate{controller: r}, roster: newRoster(engineAddress(0), 7100)})
	go func() {
		// Serve returns an error when the test stops the server.
		_ = server.Serve(listener)
	}()
	t.Cleanup(server.Stop)
	return netip.MustParseAddrPort(listener.Addr().String()), server
}

func TestLeaderControlsEngineOfUnreachableAgent(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 7100)
	readRoster(t, r)
	agentEngine, fallbackEngine := &idleEngine{}, &idleEngine{}
	address, server := startAgentServer(t, rank.New(r, rank.NewOrderAdapter(agentEngine, logr.Discard()), logr.Discard()))
	unreachable := 0
	c := &remoteAgent{rank: "0", address: address, pool: r.pool, log: logr.Discard(), onUnreachable: func() { unreachable++ }}
	c.fallback = rank.New(r, rank.NewOrderAdapter(fallbackEngine, logr.Discard()), logr.Discard())
	call := func() (*peer.GrantReply, error) {
		m := orders.OrderToProto("g0", "", group.Collect{Ballot: group.Ballot{Term: 1}})
		m.Loads, m.Held = true, true
		return c.call(t.Context(), m)
	}
	reply, err := call()
	is.NoErr(err)
	is.Equal(len(reply.Held), 1)
	is.Equal(fallbackEngine.reports, 0)
	server.Stop()
	_, err = call()
	is.True(err != nil) // not unreachable for long enough
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if reply, err = call(); err == nil {
			break
		}
		is.True(time.Now().Before(end))
	}
	is.True(reply.Accepted)
	is.Equal(len(reply.Held), 0) // counters of a remote engine are not read
	is.True(fallbackEngine.reports > 0)
	is.Equal(unreachable, 1)
}

// TestUncalledAgentIsAnError guards against a reply of nil without an error, which crashed
// the leader: an unreachable agent that is not due for a call, without a fallback.
func TestUncalledAgentIsAnError(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &remoteAgent{rank: "0", log: logr.Discard(), repliedAt: now.Add(-time.Minute), failedAt: now, retryAt: now.Add(time.Minute)}
	reply, err := c.call(t.Context(), &peer.GrantOrder{})
	is.True(reply == nil)
	is.True(err != nil)
}

func TestNoFallbackWithoutFencing(t *testing.T) {
	is := is.New(t)
	r := newRoster(engineAddress(1), 1) // no agent listens on port 1
	readRoster(t, r)
	c := r.remoteAgent("0", engineAddress(0))
	is.True(c.fallback == nil)
	r.fencing, r.remoteAgents = true, nil
	r.engineAt = func(netip.AddrPort) rank.OrderEngine { return &idleEngine{} }
	is.True(r.remoteAgent("0", engineAddress(0)).fallback != nil)
}
