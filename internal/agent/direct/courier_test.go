package direct

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleydeal/internal/agent/rank"
	"bramleydeal/internal/core/group"
	"bramleydeal/internal/process/log"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/grpc"
)

// largeGroup is a group of ranks in three failure domains, each with an agent on a loopback
// address of its own.
type largeGroup struct {
	agents  []*Agent
	servers []*grpc.Server
	relayed atomic.Int64
}

// countingAgent counts the calls of Relay.
type countingAgent struct {
	*Agent
	group *largeGroup
}

func (a countingAgent) Relay(r *peer.RelayRequest, s grpc.ServerStreamingServer[peer.RelayReply]) error {
	a.group.relayed.Add(1)
	return a.Agent.Relay(r, s)
}

// startLargeGroup starts the agents of n ranks until the test ends.
func startLargeGroup(t *testing.T, n int) *largeGroup {
	t.Helper()
	g := &largeGroup{}
	first, err := net.Listen("tcp", engineAddress(0).Addr().String()+":0")
	if err != nil {
		t.Fatal(err)
	}
	port := netip.MustParseAddrPort(first.Addr().String()).Port()
	for i := range n {
		listener := first
		if i > 0 {
			if listener, err = net.Listen("tcp", netip.AddrPortFrom(engineAddress(i).Addr(), port).String()); err != nil {
				t.Fatal(err)
			}
		}
		a := newGroupAgent(i, n, port)
		server := grpc.NewServer()
		peer.RegisterAgentServer(server, countingAgent{a, g})
		go func() {
			// Serve returns an error when the test stops the server.
			_ = server.Serve(listener)
		}()
		t.Cleanup(server.Stop)
		g.agents, g.servers = append(g.agents, a), append(g.servers, server)
	}
	return g
}

// newGroupAgent returns the agent of a rank whose roster lists all ranks.
func newGroupAgent(number, ranks int, port uint16) *Agent {
	info := &groupInfo{
		self: service.Membership{Group: "g0", Epoch: 1, Rank: number, Size: ranks}, experts: &experts,
		engineAddresses: map[string]netip.AddrPort{},
	}
	domains := map[string]fleet.FailureDomain{}
	for i := range ranks {
		info.engineAddresses[strconv.Itoa(i)] = engineAddress(i)
		domains[strconv.Itoa(i)] = fleet.FailureDomain(strconv.Itoa(i % 3))
	}
	info.relayGroups = relayGroups(domains)
	pool := dial.NewPool(nil, &dial.Traffic{})
	r := &roster{ownEngine: engineAddress(number), agentPort: port, pool: pool, log: logr.Discard()}
	r.current.Store(info)
	controller := rank.New(r, rank.NewOrderAdapter(&rankEngine{number: number}, logr.Discard()), logr.Discard())
	c := &candidate{roster: r, controller: controller, log: logr.Discard()}
	c.courier = &courier{roster: r, own: controller, log: logr.Discard(), pausedUntil: map[string]time.Time{}}
	return &Agent{roster: r, candidate: c, pool: pool, log: log.New(discard{}, log.Text, "a")}
}

// rankEngine is an engine that tells which rank of the group g0 it is.
type rankEngine struct {
	idleEngine
	number int
}

func (e *rankEngine) Report(ctx context.Context) (rank.Report, error) {
	r, err := e.idleEngine.Report(ctx)
	r.Group, r.Rank = "g0", strconv.Itoa(e.number)
	return r, err
}

func (e *rankEngine) ReportAnew(ctx context.Context) (rank.Report, error) { return e.Report(ctx) }

// discard is a writer that discards what is written.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// collect sends a Collect from the first rank's agent to all ranks. It returns the names of
// the ranks that replied, and the number of samples.
func (g *largeGroup) collect(ctx context.Context) (replied map[string]bool, samples int) {
	var batch []dispatch
	for i := range g.agents {
		m := orders.OrderToProto("g0", strconv.Itoa(i), group.Collect{Ballot: group.Ballot{Term: 1, Proposer: "0"}})
		m.Loads = true
		batch = append(batch, dispatch{rank: strconv.Itoa(i), message: m})
	}
	var mu sync.Mutex
	replied = map[string]bool{}
	g.agents[0].candidate.courier.send(ctx, batch, replyHandler{
		sample: func(group.Sample) { mu.Lock(); defer mu.Unlock(); samples++ },
		reply: func(d dispatch, m *peer.GrantReply, err error) {
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				replied[d.rank] = m.Accepted
			}
		},
	})
	return replied, samples
}

// TestLargeGroupIsReachedByOneRelayOfEachRelayGroup guards against a leader that calls more
// agents than one relay of each relay group. An order whose time is over before all ranks
// have replied, as on a host without processor time, is lost and may be given again: each
// order to which all replied must have taken three relays.
func TestLargeGroupIsReachedByOneRelayOfEachRelayGroup(t *testing.T) {
	const ranks, relays, most = 24, 3, 20 * time.Second
	is := is.New(t)
	g := startLargeGroup(t, ranks)
	for end := time.Now().Add(most); ; {
		before := g.relayed.Load()
		replied, samples := g.collect(t.Context())
		if len(replied) == ranks {
			is.Equal(g.relayed.Load()-before, int64(relays))
			if samples <= relays+1 { // of the relays and of the own rank
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("no order was answered by all ranks in one message a relay within %v; the last one by %d in %d", most, len(replied), samples)
		}
		time.Sleep(relayPause) // relays of a lost order are not used for that time
	}
}

// repliesStream is the stream of a relay to its leader.
type repliesStream struct {
	grpc.ServerStreamingServer[peer.RelayReply]
	sent []*peer.RelayReply
}

func (s *repliesStream) Send(m *peer.RelayReply) error {
	s.sent = append(s.sent, m)
	return nil
}

// TestRelayAddsUpCounters guards against a relay that sends its leader the counters of each
// rank on its own.
func TestRelayAddsUpCounters(t *testing.T) {
	is := is.New(t)
	const ranks = 8
	replies := make(chan *peer.RankReply, ranks)
	for i := range ranks {
		replies <- &peer.RankReply{Rank: uint32(i), Reply: &peer.GrantReply{Accepted: true, Chosen: []byte{1, 2}, ChosenUnit: 1}}
	}
	var s repliesStream
	is.NoErr(flushReplies(&s, replies, ranks))
	total := 0
	for _, m := range s.sent {
		total += len(m.Replies)
		for _, r := range m.Replies {
			is.Equal(len(r.Reply.Chosen), 0)
		}
	}
	is.Equal(total, ranks)
	is.True(len(s.sent) < ranks)
	is.True(len(s.sent[0].Chosen) > 0)
}

func TestSmallGroupIsCalledDirectly(t *testing.T) {
	is := is.New(t)
	g := startLargeGroup(t, maxDirectRanks)
	replied, _ := g.collect(t.Context())
	is.Equal(len(replied), maxDirectRanks)
	is.Equal(g.relayed.Load(), int64(0))
}

// TestGroupIsReachedAlthoughRelaysFail guards against ranks without orders because the agent
// that was to relay them has stopped.
func TestGroupIsReachedAlthoughRelaysFail(t *testing.T) {
	is := is.New(t)
	g := startLargeGroup(t, 24)
	for _, stopped := range []int{1, 2, 3} { // the first ranks of all three relay groups but for the own rank
		g.servers[stopped].Stop()
	}
	replied, _ := g.collect(t.Context())
	is.Equal(len(replied), 21)
	for name := range replied {
		is.True(name != "1" && name != "2" && name != "3")
	}
}

// TestRankIsNotSilentBecauseItsRelayFailed guards against controlling an engine in place of
// its agent, since a relay or the leader's own link was overloaded: only an agent that was
// called and did not reply is unreachable.
func TestRankIsNotSilentBecauseItsRelayFailed(t *testing.T) {
	is := is.New(t)
	g := startLargeGroup(t, 24)
	g.collect(t.Context())
	r := g.agents[0].roster
	later := time.Now().Add(time.Minute)
	is.True(!r.unreachable("4", later)) // not called in that time
	r.recordResult("4", false, later)
	is.True(r.unreachable("4", later.Add(unreachableAfter)))
	r.recordResult("4", true, later.Add(unreachableAfter))
	is.True(!r.unreachable("4", later.Add(unreachableAfter)))
}

// TestRankDoesNotAnswerForAnother guards against a leader whose list of addresses is older than the
// group: a rank that has the address of another one carried out the orders for both, and the other
// one was left on another map. In a large group the orders go by way of relays.
func TestRankDoesNotAnswerForAnother(t *testing.T) {
	for _, ranks := range []int{4, 24} {
		t.Run(strconv.Itoa(ranks), func(t *testing.T) {
			is := is.New(t)
			g := startLargeGroup(t, ranks)
			leader := g.agents[0].roster
			older := *leader.current.Load()
			older.engineAddresses = maps.Clone(older.engineAddresses)
			older.engineAddresses["2"] = engineAddress(3)
			leader.current.Store(&older)
			replied, _ := g.collect(t.Context())
			is.Equal(len(replied), ranks-1)
			is.True(!replied["2"])
			is.True(g.agents[3].candidate.controller.Stats().Misdirected.Load() > 0)
			_, promised := g.agents[2].candidate.controller.LastOrder()
			is.Equal(promised, group.Ballot{})
		})
	}
}

// TestOrderForAnotherRankMakesLeaderReadTheList guards against a leader that keeps an older list of
// addresses until its next regular read.
func TestOrderForAnotherRankMakesLeaderReadTheList(t *testing.T) {
	is := is.New(t)
	g := startLargeGroup(t, 4)
	c := g.agents[0].candidate
	c.roster.refresh = make(chan struct{}, 1)
	l := newLeadership(c, 1, &experts, 4)
	order := []group.OutgoingOrder{{Rank: "2", Order: group.Collect{Ballot: group.Ballot{Term: 1, Proposer: "0"}}}}
	l.send(t.Context(), order, func(string, group.Order, group.Reply) {})
	is.Equal(len(c.roster.refresh), 0)
	c.roster.current.Load().engineAddresses["2"] = engineAddress(3)
	l.send(t.Context(), order, func(string, group.Order, group.Reply) { t.Error("another rank replied") })
	is.Equal(len(c.roster.refresh), 1)
}

func TestRelayRejectsInvalidRequests(t *testing.T) {
	is := is.New(t)
	_, err := relayTargets(&peer.RelayRequest{})
	is.True(err != nil) // no order
	_, err = relayTargets(&peer.RelayRequest{Order: &peer.GrantOrder{}, Targets: []*peer.RelayTarget{{Address: []byte{1}}}})
	is.True(err != nil)
	_, err = relayTargets(&peer.RelayRequest{Order: &peer.GrantOrder{}, Targets: make([]*peer.RelayTarget, maxRelayTargets+1)})
	is.True(err != nil)
}

func TestRelayGroupsLieInOneFailureDomainAndAreEven(t *testing.T) {
	is := is.New(t)
	domains := map[string]fleet.FailureDomain{}
	for i := range 96 {
		domains[strconv.Itoa(i)] = fleet.FailureDomain(strconv.Itoa(i % 5))
	}
	size := map[int]int{}
	domainOf := map[int]fleet.FailureDomain{}
	for name, number := range relayGroups(domains) {
		size[number]++
		if d, ok := domainOf[number]; ok {
			is.Equal(d, domains[name])
		}
		domainOf[number] = domains[name]
	}
	is.Equal(len(size), 10)
	for _, n := range size {
		is.True(n == 9 || n == 10)
	}
}
