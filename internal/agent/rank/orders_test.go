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

// engineGroup is a group of simulated engines that run steps together.
type engineGroup struct {
	t     *rapid.T
	epoch uint64
	// step is the last step that was started.
	step  uint64
	ranks []*simulatedEngine
	// delayed are orders that got no reply and are still to be carried out.
	delayed    []func()
	withFaults bool
}

// simulatedEngine is the engine of one rank.
type simulatedEngine struct {
	group                               *engineGroup
	mapInUse, prepared, highestPrepared uint64
	armed, armedStep, hold              uint64
	fence                               uint64
}

// acceptFence reports whether an order is up to date, and records its fencing token.
func (s *simulatedEngine) acceptFence(f Fence) bool {
	if f.Epoch != s.group.epoch || f.Token != 0 && f.Token < s.fence {
		return false
	}
	s.fence = max(s.fence, f.Token)
	return true
}

func newEngineGroup(t *rapid.T, n int) *engineGroup {
	e := &engineGroup{t: t, epoch: 1, withFaults: true}
	for range n {
		e.ranks = append(e.ranks, &simulatedEngine{group: e})
	}
	return e
}

// startStep starts the next step unless a rank holds it, and fails the test when the
// ranks use different maps in it.
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
			e.t.Fatalf("step %d starts with maps %d and %d", next, e.ranks[0].mapInUse, r.mapInUse)
		}
	}
	e.step = next
	return true
}

// reform re-forms the group, as it does after a crash of a rank.
func (e *engineGroup) reform() {
	e.epoch++
	for i := range e.ranks {
		e.ranks[i] = &simulatedEngine{group: e}
	}
}

var errNoReply = errors.New("no reply to the order")

// handle carries out an order. With faults it may lose the order or its reply, or delay
// the order.
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

func (s *simulatedEngine) ReportAnew(ctx context.Context) (Report, error) { return s.Report(ctx) }
func (s *simulatedEngine) Counts(context.Context) ([]uint32, error)       { return nil, nil }
func (s *simulatedEngine) Held(context.Context, uint64) ([][]int, error)  { return nil, nil }

func (s *simulatedEngine) Prepare(_ context.Context, f Fence, version uint64, _ [][][]int) (bool, error) {
	return s.group.handle(func() bool {
		if !s.acceptFence(f) || version <= s.highestPrepared || s.armed != 0 {
			return false
		}
		s.highestPrepared, s.prepared = version, version
		return true
	})
}

func (s *simulatedEngine) Arm(_ context.Context, f Fence, version, step uint64) (bool, error) {
	return s.group.handle(func() bool {
		if !s.acceptFence(f) {
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

func (s *simulatedEngine) Disarm(_ context.Context, f Fence, version uint64) (bool, error) {
	return s.group.handle(func() bool {
		if !s.acceptFence(f) || s.mapInUse == version {
			return false
		}
		if s.armed == version {
			s.armed, s.armedStep = 0, 0
		}
		return true
	})
}

func (s *simulatedEngine) Hold(_ context.Context, f Fence, step uint64) (bool, error) {
	return s.group.handle(func() bool {
		if !s.acceptFence(f) {
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

func (s *simulatedEngine) Release(_ context.Context, f Fence, step uint64) (bool, error) {
	return s.group.handle(func() bool {
		if !s.acceptFence(f) {
			return false
		}
		if s.hold == step {
			s.hold = 0
		}
		return true
	})
}

// namedGroup is a Group that knows the names of its ranks but reaches none of them.
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

// simulation is a group with its agents, its leader and its former leaders.
type simulation struct {
	t       *rapid.T
	now     time.Time
	engines *engineGroup
	agents  []*Rank
	// fallbacks control a rank whose agent is unreachable for the leader. The agent
	// itself may still be running.
	fallbacks []*Rank
	// cutOff are the ranks whose agents no leader reaches. They go on reading their engines.
	cutOff  [simulatedRanks]bool
	leaders []*group.Leader
	// leadsFrom are the ranks whose agents lead, by the number of the leader.
	leadsFrom map[int]string
	// inFlight are the orders that have not been delivered, replies those whose reply
	// has not been delivered to the leader.
	inFlight    []message
	replies     []message
	lastVersion uint64
}

// message is an order to a rank and, once the rank has handled it, the reply.
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
		w.fallbacks = append(w.fallbacks, w.newFallback(i))
	}
	w.startLeader()
	return w
}

func (w *simulation) newAgent(i int) *Rank {
	return New(namedGroup{strconv.Itoa(i), simulatedRanks}, NewOrderAdapter(&engineProxy{w.engines, i}, logr.Discard(), WithFencing()), logr.Discard())
}

// newFallback returns an agent that reaches the engine of a rank from another instance, where
// reports come late.
func (w *simulation) newFallback(i int) *Rank {
	return New(namedGroup{strconv.Itoa(i), simulatedRanks}, NewOrderAdapter(&laggingProxy{engineProxy: engineProxy{w.engines, i}, simulation: w}, logr.Discard(),
		WithFencing(), WithReportLag(simulatedLag, func() time.Time { return w.now })), logr.Discard())
}

// simulatedLag is the age of the reports of a laggingProxy.
const simulatedLag = 150 * time.Millisecond

// laggingProxy is an engineProxy whose reports are as old as simulatedLag.
type laggingProxy struct {
	engineProxy
	simulation *simulation
	reports    []datedReport
}

type datedReport struct {
	at     time.Time
	report Report
}

// record records the report of now.
func (p *laggingProxy) record() {
	// The simulated engine never fails.
	r, _ := p.current().Report(context.Background())
	p.reports = append(p.reports, datedReport{p.simulation.now, r})
}

func (p *laggingProxy) Report(context.Context) (Report, error) {
	p.record()
	for len(p.reports) > 1 && !p.reports[1].at.After(p.simulation.now.Add(-simulatedLag)) {
		p.reports = p.reports[1:]
	}
	return p.reports[0].report, nil
}

func (p *laggingProxy) ReportAnew(ctx context.Context) (Report, error) { return p.Report(ctx) }

// recordReports records the reports that the fallbacks get later.
func (w *simulation) recordReports() {
	for _, f := range w.fallbacks {
		f.engine.(*orderAdapter).engine.(*laggingProxy).record()
	}
}

// engineProxy forwards to the current engine of a rank, which is replaced when the
// group re-forms.
type engineProxy struct {
	group *engineGroup
	rank  int
}

func (p *engineProxy) current() *simulatedEngine                     { return p.group.ranks[p.rank] }
func (p *engineProxy) Report(ctx context.Context) (Report, error)    { return p.current().Report(ctx) }
func (p *engineProxy) Counts(ctx context.Context) ([]uint32, error)  { return nil, nil }
func (p *engineProxy) Held(context.Context, uint64) ([][]int, error) { return nil, nil }
func (p *engineProxy) ReportAnew(ctx context.Context) (Report, error) {
	return p.current().ReportAnew(ctx)
}
func (p *engineProxy) Hold(ctx context.Context, f Fence, s uint64) (bool, error) {
	return p.current().Hold(ctx, f, s)
}
func (p *engineProxy) Release(ctx context.Context, f Fence, s uint64) (bool, error) {
	return p.current().Release(ctx, f, s)
}
func (p *engineProxy) Arm(ctx context.Context, f Fence, v, s uint64) (bool, error) {
	return p.current().Arm(ctx, f, v, s)
}
func (p *engineProxy) Disarm(ctx context.Context, f Fence, v uint64) (bool, error) {
	return p.current().Disarm(ctx, f, v)
}
func (p *engineProxy) Prepare(ctx context.Context, f Fence, v uint64, experts [][][]int) (bool, error) {
	return p.current().Prepare(ctx, f, v, experts)
}

// startLeader starts a leader under the next term. Earlier leaders continue.
func (w *simulation) startLeader() {
	term := uint64(len(w.leaders) + 1)
	w.leaders = append(w.leaders, group.NewLeader(namedGroup{"", simulatedRanks}.Ranks(), group.Ballot{Term: term, Proposer: fmt.Sprint("p", term)}, 0,
		group.LeaderConfig{ResendInterval: 100 * time.Millisecond, PollInterval: 200 * time.Millisecond, PromiseTimeout: time.Second, MinStepsAhead: 2}))
}

// tick puts the orders that are due at a leader in flight.
func (w *simulation) tick(i int) {
	for _, s := range w.leaders[i].Tick(w.now) {
		w.inFlight = append(w.inFlight, message{leader: i, rank: s.Rank, order: s.Order})
	}
}

// deliverOrder delivers an order to its rank's agent, or with faults sometimes to the
// fallback. With again it stays in flight and is delivered once more later.
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
	if own := w.leadsFrom[u.leader]; own == u.rank {
		// A leader carries out its own rank's orders itself.
	} else if w.cutOff[r] || w.engines.withFaults && rapid.IntRange(0, 7).Draw(w.t, "use fallback") == 0 {
		agent = w.fallbacks[r]
	}
	reply, err := agent.Order(context.Background(), orders.OrderToProto("g", "", u.order))
	if err != nil {
		return
	}
	u.reply = orders.ReplyFromProto(reply)
	w.replies = append(w.replies, u)
}

// deliverReply delivers a rank's reply to its leader.
func (w *simulation) deliverReply(n int) {
	u := w.replies[n]
	w.replies = slices.Delete(w.replies, n, n+1)
	w.leaders[u.leader].HandleReply(u.rank, u.order, u.reply, w.now)
}

// stage stages a new map at all ranks and proposes it to a leader.
func (w *simulation) stage(i int) {
	w.lastVersion++
	for r, a := range w.agents {
		if w.cutOff[r] {
			a = w.fallbacks[r]
		}
		// If the order is lost, this rank does not have the map and refuses the change.
		_, _ = a.engine.(*orderAdapter).tryStage(context.Background(), &preparation{version: w.lastVersion})
	}
	w.leaders[i].Propose(w.lastVersion)
}

// randomEvent performs one event that rapid draws.
func (w *simulation) randomEvent() {
	w.recordReports()
	latest := len(w.leaders) - 1
	switch kind := rapid.IntRange(0, 19).Draw(w.t, "event"); {
	case kind < 4:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(w.t, "ms")) * time.Millisecond)
		w.tick(rapid.IntRange(max(latest-1, 0), latest).Draw(w.t, "leader"))
	case kind < 9 && len(w.inFlight) > 0:
		w.deliverOrder(rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "in flight"), rapid.IntRange(0, 9).Draw(w.t, "duplicate") == 0)
	case kind < 13 && len(w.replies) > 0:
		w.deliverReply(rapid.IntRange(0, len(w.replies)-1).Draw(w.t, "reply"))
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
	case kind == 18 && rapid.Bool().Draw(w.t, "read engines"):
		// Agents also read their engines without an order.
		i := rapid.IntRange(0, simulatedRanks-1).Draw(w.t, "rank")
		w.read(i)
	case kind == 18:
		switch rapid.IntRange(0, 7).Draw(w.t, "failure") {
		case 0:
			i := rapid.IntRange(0, simulatedRanks-1).Draw(w.t, "restarted")
			w.agents[i] = w.newAgent(i)
		case 1:
			w.engines.reform()
		case 2:
			w.startLeader()
		case 3, 4:
			// A cut begins or ends. The group forms anew when a rank was away.
			i := rapid.IntRange(0, simulatedRanks-1).Draw(w.t, "cut off")
			w.cutOff[i] = !w.cutOff[i]
			if rapid.Bool().Draw(w.t, "re-form") {
				w.engines.reform()
			}
		}
	default:
		w.engines.startStep()
	}
}

// read has the agents of a rank read its engine, as they do without an order.
func (w *simulation) read(rank int) {
	for _, a := range []*Rank{w.agents[rank], w.fallbacks[rank]} {
		// What a read does not complete is done by a later one.
		_, _ = a.engine.Read(context.Background(), false)
	}
}

// settle lets the latest leader finish without faults, and fails the test when the group
// does not run at least 100 further steps.
func (w *simulation) settle() {
	w.engines.withFaults = false
	w.inFlight, w.replies, w.engines.delayed, w.cutOff = nil, nil, nil, [simulatedRanks]bool{}
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
		w.t.Fatalf("group stopped at step %d; leader is %s with current grant %+v\n%s", w.engines.step, l.Phase(), l.Current(), w.describe())
	}
}

// describe returns the states of all engines and agents for a failure message.
func (w *simulation) describe() string {
	out := ""
	for i, s := range w.engines.ranks {
		state := w.agents[i].engine.(*orderAdapter).state
		out += fmt.Sprintf("rank %d: in use %d, prepared %d, armed %d at %d, hold %d; state %+v\n", i, s.mapInUse, s.prepared, s.armed, s.armedStep, s.hold, state)
	}
	return out
}

// TestOneMapPerStepWithLostLateAndDuplicateOrders checks that all ranks use the same map
// in each step, and that the group can always continue. The random histories contain
// lost, delayed and duplicate orders, lost replies, agents that restart or are cut off while
// others control their engines, groups that re-form, and leaders that continue after their
// term.
func TestOneMapPerStepWithLostLateAndDuplicateOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			w.randomEvent()
		}
		w.settle()
	})
}

// TestReturningAgentReleasesNoHoldOfAnother guards against a step with two maps after a cut: the
// leader controls the engine of an agent that it does not reach yet, and that agent, which has
// promised nothing since the group re-formed, releases the leader's hold.
func TestReturningAgentReleasesNoHoldOfAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.settle()
		w.engines.reform()
		cut := rapid.IntRange(0, simulatedRanks-1).Draw(t, "cut off")
		for i := range simulatedRanks {
			w.read(i)
		}
		w.cutOff[cut] = true
		w.startLeader()
		latest := len(w.leaders) - 1
		for range 300 {
			w.recordReports()
			switch kind := rapid.IntRange(0, 9).Draw(t, "event"); {
			case kind < 4 && len(w.inFlight) > 0:
				w.deliverOrder(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "in flight"), false)
			case kind < 7 && len(w.replies) > 0:
				w.deliverReply(rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply"))
			case kind == 7 && rapid.IntRange(0, 3).Draw(t, "cut begins or ends") == 0:
				w.cutOff[cut] = !w.cutOff[cut]
			case kind == 7:
				w.read(cut)
			case kind == 8:
				w.engines.startStep()
			default:
				w.now = w.now.Add(60 * time.Millisecond)
				w.tick(latest)
				if w.leaders[latest].Phase() == group.Steady && !w.leaders[latest].ChangePending() {
					w.stage(latest)
				}
			}
		}
		w.settle()
	})
}

// TestWokenLeaderSwitchesNoRankAlone guards against a step with two maps after a leader's host stood
// still during a change: another agent acts for the leader's own rank, finds no grant and ends the
// change, while the leader goes on where it stood, has all promises, and switches its own rank.
func TestWokenLeaderSwitchesNoRankAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.settle()
		w.engines.withFaults = false
		w.leadsFrom = map[int]string{0: "0"}
		w.stage(0)
		awake := true
		for range rapid.IntRange(0, 40).Draw(t, "events before") {
			w.eventOfChange(0)
		}
		awake, w.cutOff[0] = false, true
		w.now = w.now.Add(time.Second)
		w.startLeader()
		for range rapid.IntRange(50, 200).Draw(t, "events after") {
			w.recordReports()
			switch kind := rapid.IntRange(0, 29).Draw(t, "event"); {
			case kind == 0 && !awake:
				awake, w.cutOff[0] = true, rapid.Bool().Draw(t, "still taken for absent")
			case kind == 1:
				w.cutOff[0] = !awake
			default:
				leader := 1
				if awake && kind%3 == 0 {
					leader = 0
				}
				w.eventOfChange(leader)
			}
		}
		w.settle()
	})
}

// eventOfChange performs one event of the change by a leader: it sends, receives, or a step starts.
func (w *simulation) eventOfChange(leader int) {
	of := func(all []message) []int {
		var out []int
		for i, m := range all {
			if m.leader == leader {
				out = append(out, i)
			}
		}
		return out
	}
	sent, replies := of(w.inFlight), of(w.replies)
	switch kind := rapid.IntRange(0, 9).Draw(w.t, "event of a change"); {
	case kind < 4 && len(sent) > 0:
		w.deliverOrder(rapid.SampledFrom(sent).Draw(w.t, "in flight"), false)
	case kind < 7 && len(replies) > 0:
		w.deliverReply(rapid.SampledFrom(replies).Draw(w.t, "reply"))
	case kind == 7:
		w.engines.startStep()
	default:
		w.now = w.now.Add(20 * time.Millisecond)
		w.tick(leader)
	}
}

// TestMapChangesWithoutFaults guards the test above against passing because no map ever
// changes.
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
