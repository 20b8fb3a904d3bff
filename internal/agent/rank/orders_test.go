package rank

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"
)

// engines is a group of engines that take single orders, in lock-step.
type engineGroup struct {
	t     *rapid.T
	epoch uint64
	// step is the last pass that was begun.
	step  uint64
	ranks []*simulatedEngine
	// delayed are orders that were not answered and will be carried out.
	delayed    []func()
	withFaults bool
}

// single is one rank's engine.
type simulatedEngine struct {
	group                               *engineGroup
	mapInUse, prepared, highestPrepared uint64
	armed, armedStep, hold              uint64
	fence                               uint64
}

// current tells whether an order's mark is up to date, and takes its fence in.
func (s *simulatedEngine) acceptFence(m Fence) bool {
	if m.Epoch != s.group.epoch || m.Token != 0 && m.Token < s.fence {
		return false
	}
	s.fence = max(s.fence, m.Token)
	return true
}

func newEngineGroup(t *rapid.T, n int) *engineGroup {
	e := &engineGroup{t: t, epoch: 1, withFaults: true}
	for range n {
		e.ranks = append(e.ranks, &simulatedEngine{group: e})
	}
	return e
}

// pass begins the next pass unless a rank holds it, and checks the maps.
func (e *engineGroup) startStep() bool {
	next := e.step + 1
	for _, r := range e.ranks {
		if r.hold == next {
			return false
		}
	}
	for _, r := range e.ranks {
		if r.armed != 0 && r.armedStep == next {
			r.mapInUse, r.prepared, r.armed, r.armedStep = r.armed, 0, 0, 0
		}
	}
	for _, r := range e.ranks {
		if r.mapInUse != e.ranks[0].mapInUse {
			e.t.Fatalf("pass %d begins with maps %d and %d", next, e.ranks[0].mapInUse, r.mapInUse)
		}
	}
	e.step = next
	return true
}

// formAnew is what follows when a rank crashed.
func (e *engineGroup) reform() {
	e.epoch++
	for i := range e.ranks {
		e.ranks[i] = &simulatedEngine{group: e}
	}
}

var errNoReply = errors.New("the order is not answered")

// order carries out an order, or loses it, its answer, or delays it.
func (e *engineGroup) handle(do func() bool) (bool, error) {
	if !e.withFaults {
		return do(), nil
	}
	switch rapid.IntRange(0, 9).Draw(e.t, "order") {
	case 0:
		return false, errNoReply
	case 1:
		do()
		return false, errNoReply
	case 2:
		e.delayed = append(e.delayed, func() { do() })
		return false, errNoReply
	default:
		return do(), nil
	}
}

func (s *simulatedEngine) Report(context.Context) (Report, error) {
	return Report{
		Epoch: s.group.epoch, NextStep: s.group.step + 1, Map: s.mapInUse, Prepared: s.prepared,
		Armed: s.armed, ArmedStep: s.armedStep, Hold: s.hold,
	}, nil
}

func (s *simulatedEngine) Counts(context.Context) ([]uint32, error) { return nil, nil }
func (s *simulatedEngine) Held(context.Context) ([][]int, error)    { return nil, nil }

func (s *simulatedEngine) Prepare(_ context.Context, m Fence, version uint64, _ [][][]int) (bool, error) {
	return s.group.handle(func() bool {
		if !s.acceptFence(m) || version <= s.highestPrepared || s.armed != 0 {
			return false
		}
		s.highestPrepared, s.prepared = version, version
		return true
	})
}

func (s *simulatedEngine) Arm(_ context.Context, m Fence, version, step uint64) (bool, error) {
	return s.group.handle(func() bool {
		if !s.acceptFence(m) {
			return false
		}
		if s.armed == version && s.armedStep == step {
			return true
		}
		if s.prepared != version || step <= s.group.step || s.armed != 0 {
			return false
		}
		s.armed, s.armedStep = version, step
		return true
	})
}

func (s *simulatedEngine) Hold(_ context.Context, m Fence, step uint64) (bool, error) {
	return s.group.handle(func() bool {
		if !s.acceptFence(m) {
			return false
		}
		if s.hold == step {
			return true
		}
		if step <= s.group.step || s.hold != 0 {
			return false
		}
		s.hold = step
		return true
	})
}

func (s *simulatedEngine) Release(_ context.Context, m Fence, step uint64) (bool, error) {
	return s.group.handle(func() bool {
		if !s.acceptFence(m) {
			return false
		}
		if s.hold == step {
			s.hold = 0
		}
		return true
	})
}

// roll is a group that only has names.
type namedGroup struct {
	self string
	size int
}

func (r namedGroup) Name() string         { return "g" }
func (r namedGroup) ExpertParallel() bool { return true }
func (r namedGroup) Self() string         { return r.self }
func (r namedGroup) Ranks() []string {
	var out []string
	for i := range r.size {
		out = append(out, strconv.Itoa(i))
	}
	return out
}
func (r namedGroup) Call(context.Context, string, *peer.GrantOrder) (*peer.GrantReply, error) {
	return nil, errNoReply
}

// world is a group with its agents and whoever leads it or did.
type simulation struct {
	t       *rapid.T
	now     time.Time
	engines *engineGroup
	agents  []*Rank
	// others act for a rank whose agent does not answer; the agent itself may
	// still be there.
	fallbacks []*Rank
	leaders   []*group.Leader
	// sent are orders under way, answered their replies.
	inFlight    []message
	replies     []message
	lastVersion uint64
}

type message struct {
	leader int
	rank   string
	order  group.Order
	reply  group.Reply
}

const simulatedRanks = 3

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: time.Unix(1000, 0), engines: newEngineGroup(t, simulatedRanks)}
	for i := range simulatedRanks {
		w.agents = append(w.agents, w.newAgent(i))
		w.fallbacks = append(w.fallbacks, w.newAgent(i))
	}
	w.startLeader()
	return w
}

func (w *simulation) newAgent(i int) *Rank {
	return New(namedGroup{strconv.Itoa(i), simulatedRanks}, NewOrderAdapter(&engineProxy{w.engines, i}, logr.Discard()), logr.Discard())
}

// proxy is the engine of a rank, which is replaced when the group forms anew.
type engineProxy struct {
	group *engineGroup
	rank  int
}

func (p *engineProxy) current() *simulatedEngine                    { return p.group.ranks[p.rank] }
func (p *engineProxy) Report(ctx context.Context) (Report, error)   { return p.current().Report(ctx) }
func (p *engineProxy) Counts(ctx context.Context) ([]uint32, error) { return nil, nil }
func (p *engineProxy) Held(ctx context.Context) ([][]int, error)    { return nil, nil }
func (p *engineProxy) Hold(ctx context.Context, m Fence, s uint64) (bool, error) {
	return p.current().Hold(ctx, m, s)
}
func (p *engineProxy) Release(ctx context.Context, m Fence, s uint64) (bool, error) {
	return p.current().Release(ctx, m, s)
}
func (p *engineProxy) Arm(ctx context.Context, m Fence, v, s uint64) (bool, error) {
	return p.current().Arm(ctx, m, v, s)
}
func (p *engineProxy) Prepare(ctx context.Context, m Fence, v uint64, experts [][][]int) (bool, error) {
	return p.current().Prepare(ctx, m, v, experts)
}

// lead begins a leader under the next term; the ones before go on.
func (w *simulation) startLeader() {
	term := uint64(len(w.leaders) + 1)
	w.leaders = append(w.leaders, group.NewLeader(namedGroup{"", simulatedRanks}.Ranks(), group.Ballot{Term: term, Proposer: fmt.Sprint("p", term)}, 0,
		group.LeaderConfig{ResendInterval: 100 * time.Millisecond, PollInterval: 200 * time.Millisecond, PromiseTimeout: time.Second, MinStepsAhead: 2}))
}

func (w *simulation) tick(i int) {
	for _, s := range w.leaders[i].Tick(w.now) {
		w.inFlight = append(w.inFlight, message{leader: i, rank: s.Rank, order: s.Order})
	}
}

// arrive gives an order to its rank's agent; it may stay under way and come again.
func (w *simulation) deliverOrder(n int, again bool) {
	u := w.inFlight[n]
	if !again {
		w.inFlight = slices.Delete(w.inFlight, n, n+1)
	}
	r, err := strconv.Atoi(u.rank)
	if err != nil {
		w.t.Fatal(err)
	}
	agent := w.agents[r]
	if w.engines.withFaults && rapid.IntRange(0, 7).Draw(w.t, "other") == 0 {
		agent = w.fallbacks[r]
	}
	reply, err := agent.Order(context.Background(), orders.OrderToProto("g", u.order))
	if err != nil {
		return
	}
	u.reply = orders.ReplyFromProto(reply)
	w.replies = append(w.replies, u)
}

func (w *simulation) deliverReply(n int) {
	u := w.replies[n]
	w.replies = slices.Delete(w.replies, n, n+1)
	w.leaders[u.leader].HandleReply(u.rank, u.order, u.reply, w.now)
}

// stage gives a new map to all engines through their agents and proposes it.
func (w *simulation) stage(i int) {
	w.lastVersion++
	for _, a := range w.agents {
		// A lost order leaves the map out at this rank, and the change is refused.
		_, _, _ = a.engine.(*orderAdapter).tryStage(context.Background(), w.lastVersion, group.Map{}, false)
	}
	w.leaders[i].Propose(w.lastVersion)
}

func (w *simulation) randomEvent() {
	latest := len(w.leaders) - 1
	switch kind := rapid.IntRange(0, 19).Draw(w.t, "event"); {
	case kind < 4:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(w.t, "ms")) * time.Millisecond)
		w.tick(rapid.IntRange(max(latest-1, 0), latest).Draw(w.t, "leader"))
	case kind < 9 && len(w.inFlight) > 0:
		w.deliverOrder(rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "sent"), rapid.IntRange(0, 9).Draw(w.t, "doubled") == 0)
	case kind < 13 && len(w.replies) > 0:
		w.deliverReply(rapid.IntRange(0, len(w.replies)-1).Draw(w.t, "answered"))
	case kind < 15:
		w.engines.startStep()
	case kind == 15 && len(w.engines.delayed) > 0:
		n := rapid.IntRange(0, len(w.engines.delayed)-1).Draw(w.t, "delayed")
		w.engines.delayed[n]()
		w.engines.delayed = slices.Delete(w.engines.delayed, n, n+1)
	case kind == 16:
		w.stage(rapid.IntRange(max(latest-1, 0), latest).Draw(w.t, "leader"))
	case kind == 17 && len(w.replies) > 0:
		w.replies = w.replies[1:] // a reply is lost
	case kind == 18 && rapid.Bool().Draw(w.t, "look"):
		// Agents look at their engines by themselves.
		i := rapid.IntRange(0, simulatedRanks-1).Draw(w.t, "rank")
		for _, a := range []*Rank{w.agents[i], w.fallbacks[i]} {
			// What cannot be ended now is tried again at the next look.
			_, _ = a.engine.Read(context.Background(), false)
		}
	case kind == 18:
		switch rapid.IntRange(0, 5).Draw(w.t, "loss") {
		case 0:
			i := rapid.IntRange(0, simulatedRanks-1).Draw(w.t, "restarted")
			w.agents[i] = w.newAgent(i)
		case 1:
			w.engines.reform()
		case 2:
			w.startLeader()
		}
	default:
		w.engines.startStep()
	}
}

// settle lets the latest leader finish without faults, and wants the group to
// step on.
func (w *simulation) settle() {
	w.engines.withFaults = false
	w.inFlight, w.replies, w.engines.delayed = nil, nil, nil
	before := w.engines.step
	for range 400 {
		w.now = w.now.Add(50 * time.Millisecond)
		w.tick(len(w.leaders) - 1)
		for len(w.inFlight) > 0 {
			w.deliverOrder(0, false)
		}
		for len(w.replies) > 0 {
			w.deliverReply(0)
		}
		for _, a := range w.agents {
			if _, err := a.engine.Read(context.Background(), false); err != nil {
				w.t.Fatal(err)
			}
		}
		w.engines.startStep()
	}
	if w.engines.step < before+100 {
		l := w.leaders[len(w.leaders)-1]
		w.t.Fatalf("the group stands at step %d, the leader is %s at %+v\n%s", w.engines.step, l.Phase(), l.Current(), w.describe())
	}
}

// dump describes engines and agents.
func (w *simulation) describe() string {
	out := ""
	for i, s := range w.engines.ranks {
		state := w.agents[i].engine.(*orderAdapter).state
		out += fmt.Sprintf("rank %d: in use %d, prepared %d, armed %d at %d, hold %d; state %+v\n", i, s.mapInUse, s.prepared, s.armed, s.armedStep, s.hold, state)
	}
	return out
}

// TestOneMapAPassWithLostLateAndDoubledOrders searches the agents' protocol over
// engines that lose orders, leave them unanswered or carry them out late, agents
// that restart, groups that form anew and leaders that go on after their term.
func TestOneMapPerStepWithLostLateAndDuplicateOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			w.randomEvent()
		}
		w.settle()
	})
}

// TestChangesHappen keeps the search honest: without faults, maps do change.
func TestMapChangesWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.settle()
		w.stage(0)
		w.settle()
		if w.engines.ranks[0].mapInUse != w.lastVersion {
			t.Fatalf("map %d is in use, %d was proposed", w.engines.ranks[0].mapInUse, w.lastVersion)
		}
	})
}
