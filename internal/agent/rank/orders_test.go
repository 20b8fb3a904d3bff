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
type engines struct {
	t     *rapid.T
	epoch uint64
	// step is the last pass that was begun.
	step  uint64
	ranks []*single
	// delayed are orders that were not answered and will be carried out.
	delayed []func()
	faults  bool
}

// single is one rank's engine.
type single struct {
	all                    *engines
	inUse, prepared, known uint64
	armed, armedStep, hold uint64
	fence                  uint64
}

// current tells whether an order's mark is up to date, and takes its fence in.
func (s *single) current(m Fence) bool {
	if m.Epoch != s.all.epoch || m.Token != 0 && m.Token < s.fence {
		return false
	}
	s.fence = max(s.fence, m.Token)
	return true
}

func newEngines(t *rapid.T, n int) *engines {
	e := &engines{t: t, epoch: 1, faults: true}
	for range n {
		e.ranks = append(e.ranks, &single{all: e})
	}
	return e
}

// pass begins the next pass unless a rank holds it, and checks the maps.
func (e *engines) pass() bool {
	next := e.step + 1
	for _, r := range e.ranks {
		if r.hold == next {
			return false
		}
	}
	for _, r := range e.ranks {
		if r.armed != 0 && r.armedStep == next {
			r.inUse, r.prepared, r.armed, r.armedStep = r.armed, 0, 0, 0
		}
	}
	for _, r := range e.ranks {
		if r.inUse != e.ranks[0].inUse {
			e.t.Fatalf("pass %d begins with maps %d and %d", next, e.ranks[0].inUse, r.inUse)
		}
	}
	e.step = next
	return true
}

// formAnew is what follows when a rank crashed.
func (e *engines) formAnew() {
	e.epoch++
	for i := range e.ranks {
		e.ranks[i] = &single{all: e}
	}
}

var errUnanswered = errors.New("the order is not answered")

// order carries out an order, or loses it, its answer, or delays it.
func (e *engines) order(do func() bool) (bool, error) {
	if !e.faults {
		return do(), nil
	}
	switch rapid.IntRange(0, 9).Draw(e.t, "order") {
	case 0:
		return false, errUnanswered
	case 1:
		do()
		return false, errUnanswered
	case 2:
		e.delayed = append(e.delayed, func() { do() })
		return false, errUnanswered
	default:
		return do(), nil
	}
}

func (s *single) Report(context.Context) (Report, error) {
	return Report{
		Epoch: s.all.epoch, NextStep: s.all.step + 1, Map: s.inUse, Prepared: s.prepared,
		Armed: s.armed, ArmedStep: s.armedStep, Hold: s.hold,
	}, nil
}

func (s *single) Counts(context.Context) ([]uint32, error) { return nil, nil }
func (s *single) Held(context.Context) ([][]int, error)    { return nil, nil }

func (s *single) Prepare(_ context.Context, m Fence, version uint64, _ [][][]int) (bool, error) {
	return s.all.order(func() bool {
		if !s.current(m) || version <= s.known || s.armed != 0 {
			return false
		}
		s.known, s.prepared = version, version
		return true
	})
}

func (s *single) Arm(_ context.Context, m Fence, version, step uint64) (bool, error) {
	return s.all.order(func() bool {
		if !s.current(m) {
			return false
		}
		if s.armed == version && s.armedStep == step {
			return true
		}
		if s.prepared != version || step <= s.all.step || s.armed != 0 {
			return false
		}
		s.armed, s.armedStep = version, step
		return true
	})
}

func (s *single) Hold(_ context.Context, m Fence, step uint64) (bool, error) {
	return s.all.order(func() bool {
		if !s.current(m) {
			return false
		}
		if s.hold == step {
			return true
		}
		if step <= s.all.step || s.hold != 0 {
			return false
		}
		s.hold = step
		return true
	})
}

func (s *single) Release(_ context.Context, m Fence, step uint64) (bool, error) {
	return s.all.order(func() bool {
		if !s.current(m) {
			return false
		}
		if s.hold == step {
			s.hold = 0
		}
		return true
	})
}

// roll is a group that only has names.
type roll struct {
	self string
	n    int
}

func (r roll) Name() string         { return "g" }
func (r roll) ExpertParallel() bool { return true }
func (r roll) Self() string         { return r.self }
func (r roll) Ranks() []string {
	var out []string
	for i := range r.n {
		out = append(out, strconv.Itoa(i))
	}
	return out
}
func (r roll) Call(context.Context, string, *peer.GrantOrder) (*peer.GrantReply, error) {
	return nil, errUnanswered
}

// world is a group with its agents and whoever leads it or did.
type world struct {
	t       *rapid.T
	now     time.Time
	engines *engines
	agents  []*Rank
	// others act for a rank whose agent does not answer; the agent itself may
	// still be there.
	others  []*Rank
	leaders []*group.Leader
	// sent are orders under way, answered their replies.
	sent     []underWay
	answered []underWay
	version  uint64
}

type underWay struct {
	leader int
	rank   string
	order  group.Order
	reply  group.Reply
}

const worldRanks = 3

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0), engines: newEngines(t, worldRanks)}
	for i := range worldRanks {
		w.agents = append(w.agents, w.newAgent(i))
		w.others = append(w.others, w.newAgent(i))
	}
	w.lead()
	return w
}

func (w *world) newAgent(i int) *Rank {
	return New(roll{strconv.Itoa(i), worldRanks}, NewOrderedEngine(&proxy{w.engines, i}, logr.Discard()), logr.Discard())
}

// proxy is the engine of a rank, which is replaced when the group forms anew.
type proxy struct {
	all  *engines
	rank int
}

func (p *proxy) now() *single                                 { return p.all.ranks[p.rank] }
func (p *proxy) Report(ctx context.Context) (Report, error)   { return p.now().Report(ctx) }
func (p *proxy) Counts(ctx context.Context) ([]uint32, error) { return nil, nil }
func (p *proxy) Held(ctx context.Context) ([][]int, error)    { return nil, nil }
func (p *proxy) Hold(ctx context.Context, m Fence, s uint64) (bool, error) {
	return p.now().Hold(ctx, m, s)
}
func (p *proxy) Release(ctx context.Context, m Fence, s uint64) (bool, error) {
	return p.now().Release(ctx, m, s)
}
func (p *proxy) Arm(ctx context.Context, m Fence, v, s uint64) (bool, error) {
	return p.now().Arm(ctx, m, v, s)
}
func (p *proxy) Prepare(ctx context.Context, m Fence, v uint64, experts [][][]int) (bool, error) {
	return p.now().Prepare(ctx, m, v, experts)
}

// lead begins a leader under the next term; the ones before go on.
func (w *world) lead() {
	term := uint64(len(w.leaders) + 1)
	w.leaders = append(w.leaders, group.NewLeader(roll{"", worldRanks}.Ranks(), group.Ballot{Term: term, Proposer: fmt.Sprint("p", term)}, 0,
		group.LeaderConfig{ResendInterval: 100 * time.Millisecond, PollInterval: 200 * time.Millisecond, PromiseTimeout: time.Second, MinStepsAhead: 2}))
}

func (w *world) tick(i int) {
	for _, s := range w.leaders[i].Tick(w.now) {
		w.sent = append(w.sent, underWay{leader: i, rank: s.Rank, order: s.Order})
	}
}

// arrive gives an order to its rank's agent; it may stay under way and come again.
func (w *world) arrive(n int, again bool) {
	u := w.sent[n]
	if !again {
		w.sent = slices.Delete(w.sent, n, n+1)
	}
	r, err := strconv.Atoi(u.rank)
	if err != nil {
		w.t.Fatal(err)
	}
	agent := w.agents[r]
	if w.engines.faults && rapid.IntRange(0, 7).Draw(w.t, "other") == 0 {
		agent = w.others[r]
	}
	reply, err := agent.Order(context.Background(), orders.OrderToProto("g", u.order))
	if err != nil {
		return
	}
	u.reply = orders.ReplyFromProto(reply)
	w.answered = append(w.answered, u)
}

func (w *world) reply(n int) {
	u := w.answered[n]
	w.answered = slices.Delete(w.answered, n, n+1)
	w.leaders[u.leader].HandleReply(u.rank, u.order, u.reply, w.now)
}

// stage gives a new map to all engines through their agents and proposes it.
func (w *world) stage(i int) {
	w.version++
	for _, a := range w.agents {
		// A lost order leaves the map out at this rank, and the change is refused.
		_, _, _ = a.engine.(*orderedEngine).stageOnce(context.Background(), w.version, group.Map{}, false)
	}
	w.leaders[i].Propose(w.version)
}

func (w *world) event() {
	latest := len(w.leaders) - 1
	switch kind := rapid.IntRange(0, 19).Draw(w.t, "event"); {
	case kind < 4:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(w.t, "ms")) * time.Millisecond)
		w.tick(rapid.IntRange(max(latest-1, 0), latest).Draw(w.t, "leader"))
	case kind < 9 && len(w.sent) > 0:
		w.arrive(rapid.IntRange(0, len(w.sent)-1).Draw(w.t, "sent"), rapid.IntRange(0, 9).Draw(w.t, "doubled") == 0)
	case kind < 13 && len(w.answered) > 0:
		w.reply(rapid.IntRange(0, len(w.answered)-1).Draw(w.t, "answered"))
	case kind < 15:
		w.engines.pass()
	case kind == 15 && len(w.engines.delayed) > 0:
		n := rapid.IntRange(0, len(w.engines.delayed)-1).Draw(w.t, "delayed")
		w.engines.delayed[n]()
		w.engines.delayed = slices.Delete(w.engines.delayed, n, n+1)
	case kind == 16:
		w.stage(rapid.IntRange(max(latest-1, 0), latest).Draw(w.t, "leader"))
	case kind == 17 && len(w.answered) > 0:
		w.answered = w.answered[1:] // a reply is lost
	case kind == 18 && rapid.Bool().Draw(w.t, "look"):
		// Agents look at their engines by themselves.
		i := rapid.IntRange(0, worldRanks-1).Draw(w.t, "rank")
		for _, a := range []*Rank{w.agents[i], w.others[i]} {
			// What cannot be ended now is tried again at the next look.
			_, _ = a.engine.Read(context.Background(), false)
		}
	case kind == 18:
		switch rapid.IntRange(0, 5).Draw(w.t, "loss") {
		case 0:
			i := rapid.IntRange(0, worldRanks-1).Draw(w.t, "restarted")
			w.agents[i] = w.newAgent(i)
		case 1:
			w.engines.formAnew()
		case 2:
			w.lead()
		}
	default:
		w.engines.pass()
	}
}

// settle lets the latest leader finish without faults, and wants the group to
// step on.
func (w *world) settle() {
	w.engines.faults = false
	w.sent, w.answered, w.engines.delayed = nil, nil, nil
	before := w.engines.step
	for range 400 {
		w.now = w.now.Add(50 * time.Millisecond)
		w.tick(len(w.leaders) - 1)
		for len(w.sent) > 0 {
			w.arrive(0, false)
		}
		for len(w.answered) > 0 {
			w.reply(0)
		}
		for _, a := range w.agents {
			if _, err := a.engine.Read(context.Background(), false); err != nil {
				w.t.Fatal(err)
			}
		}
		w.engines.pass()
	}
	if w.engines.step < before+100 {
		l := w.leaders[len(w.leaders)-1]
		w.t.Fatalf("the group stands at step %d, the leader is %s at %+v\n%s", w.engines.step, l.Phase(), l.Current(), w.dump())
	}
}

// dump describes engines and agents.
func (w *world) dump() string {
	out := ""
	for i, s := range w.engines.ranks {
		state := w.agents[i].engine.(*orderedEngine).state
		out += fmt.Sprintf("rank %d: in use %d, prepared %d, armed %d at %d, hold %d; state %+v\n", i, s.inUse, s.prepared, s.armed, s.armedStep, s.hold, state)
	}
	return out
}

// TestOneMapAPassWithLostLateAndDoubledOrders searches the agents' protocol over
// engines that lose orders, leave them unanswered or carry them out late, agents
// that restart, groups that form anew and leaders that go on after their term.
func TestOneMapAPassWithLostLateAndDoubledOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			w.event()
		}
		w.settle()
	})
}

// TestChangesHappen keeps the search honest: without faults, maps do change.
func TestChangesHappen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.settle()
		w.stage(0)
		w.settle()
		if w.engines.ranks[0].inUse != w.version {
			t.Fatalf("map %d is in use, %d was proposed", w.engines.ranks[0].inUse, w.version)
		}
	})
}
