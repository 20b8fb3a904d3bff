package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramleydeal/internal/agent/rank"
	"bramleydeal/internal/core/group"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"github.com/go-logr/logr"
)

// outcome is what becomes of one order to an engine.
type outcome int

const (
	answered outcome = iota
	// carriedOut means that the order is carried out and its answer lost.
	carriedOut
	// late means that the order gets no answer and is carried out when the schedule says so.
	late
	// lost means that the order gets no answer and is never carried out.
	lost
)

// maxSends is the number of times that an agent sends an order without an answer.
const maxSends = 2

var errNoAnswer = errors.New("no answer")

// simulatedGroup is a group of engines that compare no fencing tokens, with their agents, the leaders
// that run beside them and the messages in transit. It runs the agents' own code for orders and the
// leader of package group. Its schedule decides what happens next.
type simulatedGroup struct {
	engines []*simulatedEngine
	names   []string
	// agents are nil while they are down.
	agents   []*rank.Rank
	leaders  []*simulatedLeader
	inFlight []message
	// unanswered are the orders that are carried out late.
	unanswered []lateOrder
	// decide returns what becomes of an order.
	decide func(rank int, operation string) outcome
	step   uint64
	now    time.Time
	term   uint64
	// maps counts the maps that were staged.
	maps uint64
	// twoMaps tells of the first step that began while two ranks had different maps.
	twoMaps string
	events  []string
}

// simulatedLeader is a leader that runs beside the agent of a rank and is lost with it.
type simulatedLeader struct {
	*group.Leader
	host int
}

// message is an order, or its reply, in transit.
type message struct {
	from  *simulatedLeader
	rank  int
	order group.Order
	reply *group.Reply
}

type lateOrder struct {
	rank int
	// term is the latest term when it was sent.
	term uint64
	text string
	// operation is the name of the order.
	operation string
	carryOut  func() bool
}

var leaderConfig = group.LeaderConfig{ResendInterval: time.Second, PollInterval: time.Second, PromiseTimeout: 20 * time.Second, MinStepsAhead: 2}

func newGroup(ranks int, decide func(rank int, operation string) outcome) *simulatedGroup {
	s := &simulatedGroup{decide: decide, now: time.Unix(0, 0)}
	for i := range ranks {
		s.engines = append(s.engines, &simulatedEngine{group: s, rank: i})
		s.names = append(s.names, strconv.Itoa(i))
		s.agents = append(s.agents, nil)
		s.start(i)
	}
	return s
}

func (s *simulatedGroup) addEvent(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf(format, args...))
}

func (s *simulatedGroup) history() string { return strings.Join(s.events, "\n") }

// start starts the agent of a rank. It remembers nothing.
func (s *simulatedGroup) start(i int) {
	s.addEvent("agent %d starts", i)
	s.agents[i] = rank.New(members{s.names, i}, rank.NewOrderAdapter(s.engines[i], logr.Discard()), logr.Discard())
}

// stop stops the agent of a rank, with the leaders beside it and the messages to and from them.
func (s *simulatedGroup) stop(i int) {
	s.addEvent("agent %d is lost", i)
	s.agents[i] = nil
	s.leaders = slices.DeleteFunc(s.leaders, func(l *simulatedLeader) bool { return l.host == i })
	s.inFlight = slices.DeleteFunc(s.inFlight, func(m message) bool { return m.rank == i || m.from.host == i })
}

func (s *simulatedGroup) stopAll() {
	for i := range s.agents {
		s.stop(i)
	}
}

// lead starts a leader beside the agent of rank i: one with the next term of the group's lease, or an
// agent that completes a change under the ballot after the one that its rank has promised.
func (s *simulatedGroup) lead(i int, leased bool) *simulatedLeader {
	p := s.agents[i].State(context.Background()).Rank.Promised
	b := group.Ballot{Term: p.Term, Attempt: p.Attempt + 1, Proposer: s.names[i]}
	if leased {
		s.term++
		s.forgetTerm()
		b = group.Ballot{Term: s.term, Proposer: s.names[i]}
	}
	s.addEvent("agent %d leads under %+v", i, b)
	config := leaderConfig
	config.Yields = !leased
	l := &simulatedLeader{group.NewLeader(s.names, b, 0, config), i}
	s.leaders = append(s.leaders, l)
	return l
}

// lateTerms is the number of terms within which a late order is carried out, and a leader that does not
// know of its successor sends orders. It takes seconds to carry out an order late, or to notice that an
// agent sends none.
const lateTerms = 4

// forgetTerm ends what is left of the terms before the last ones.
func (s *simulatedGroup) forgetTerm() {
	old := func(term uint64) bool { return term+lateTerms <= s.term }
	s.leaders = slices.DeleteFunc(s.leaders, func(l *simulatedLeader) bool { return old(l.Ballot().Term) })
	s.inFlight = slices.DeleteFunc(s.inFlight, func(m message) bool { return old(m.from.Ballot().Term) })
	s.unanswered = slices.DeleteFunc(s.unanswered, func(o lateOrder) bool { return old(o.term) })
}

// tick puts the orders that a leader sends next in transit.
func (s *simulatedGroup) tick(l *simulatedLeader) {
	batch := l.Tick(s.now)
	if len(batch) == 0 {
		s.now = s.now.Add(leaderConfig.ResendInterval)
		batch = l.Tick(s.now)
	}
	for _, o := range batch {
		s.inFlight = append(s.inFlight, message{from: l, rank: slices.Index(s.names, o.Rank), order: o.Order})
	}
}

// deliver delivers a message in transit.
func (s *simulatedGroup) deliver(i int) {
	m := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	if m.reply != nil {
		s.addEvent("leader %+v receives from rank %d: %+v", m.from.Ballot(), m.rank, *m.reply)
		m.from.HandleReply(s.names[m.rank], m.order, *m.reply, s.now)
		if m.from.Superseded() {
			s.leaders = slices.DeleteFunc(s.leaders, func(l *simulatedLeader) bool { return l == m.from })
		}
		return
	}
	if s.agents[m.rank] == nil {
		return
	}
	s.addEvent("agent %d receives %T%+v", m.rank, m.order, m.order)
	reply, err := s.agents[m.rank].Order(context.Background(), orders.OrderToProto("g", s.names[m.rank], m.order))
	if err != nil {
		s.addEvent("agent %d: %v", m.rank, err)
		return
	}
	r := orders.ReplyFromProto(reply)
	s.inFlight = append(s.inFlight, message{m.from, m.rank, m.order, &r})
}

// deliverAll delivers messages until none is in transit.
func (s *simulatedGroup) deliverAll() {
	for len(s.inFlight) > 0 {
		s.deliver(0)
	}
}

// run makes a leader send its orders a number of times, and delivers all messages.
func (s *simulatedGroup) run(l *simulatedLeader, rounds int) {
	for range rounds {
		s.tick(l)
		s.deliverAll()
	}
}

// propose stages a new map at all engines, unless a change is under way, and proposes it.
func (s *simulatedGroup) propose(l *simulatedLeader) bool {
	if l.Phase() != group.Steady || l.ChangePending() {
		return false
	}
	s.maps++
	version := group.MapVersion(l.Ballot().Term, s.maps)
	for i, e := range s.engines {
		if e.hold != 0 || e.armed != 0 {
			return false
		}
		if ok, err := e.send("prepare", fmt.Sprint("prepare ", version), func() bool { return e.prepare(version) }); !ok || err != nil {
			s.addEvent("rank %d does not stage map %d", i, version)
			return false
		}
	}
	s.addEvent("leader %+v proposes map %d", l.Ballot(), version)
	return l.Propose(version)
}

// carryOut carries out a late order.
func (s *simulatedGroup) carryOut(i int) {
	o := s.unanswered[i]
	s.unanswered = slices.Delete(s.unanswered, i, i+1)
	s.addEvent("rank %d carries out late: %s: %v", o.rank, o.text, o.carryOut())
}

// carryOutAll carries out the late orders to a rank of one operation, of any rank and operation if
// these are -1 and empty.
func (s *simulatedGroup) carryOutAll(rank int, operation string) {
	for i := 0; i < len(s.unanswered); {
		if o := s.unanswered[i]; (rank < 0 || o.rank == rank) && (operation == "" || o.operation == operation) {
			s.carryOut(i)
		} else {
			i++
		}
	}
}

// runSteps makes the group run up to n steps, as far as no rank holds.
func (s *simulatedGroup) runSteps(n int) {
	for range n {
		next := s.step + 1
		if slices.ContainsFunc(s.engines, func(e *simulatedEngine) bool { return e.hold == next }) {
			return
		}
		s.step = next
		var maps []uint64
		for _, e := range s.engines {
			if e.armed != 0 && e.armedStep == next {
				e.version, e.armed, e.armedStep = e.armed, 0, 0
			}
			maps = append(maps, e.version)
		}
		s.addEvent("step %d runs on maps %v", next, maps)
		if len(slices.Compact(slices.Clone(maps))) > 1 && s.twoMaps == "" {
			s.twoMaps = fmt.Sprintf("step %d runs on maps %v", next, maps)
		}
	}
}

// simulatedEngine is the engine of one rank. It follows the rules of the prepared platform for orders.
type simulatedEngine struct {
	group *simulatedGroup
	rank  int

	version, highest, prepared uint64
	armed, armedStep, hold     uint64
}

// send sends an order up to maxSends times until there is an answer.
func (e *simulatedEngine) send(operation, text string, apply func() bool) (bool, error) {
	s := e.group
	for range maxSends {
		switch s.decide(e.rank, operation) {
		case answered:
			ok := apply()
			s.addEvent("rank %d: %s: %v", e.rank, text, ok)
			return ok, nil
		case carriedOut:
			s.addEvent("rank %d: %s: %v, without an answer", e.rank, text, apply())
		case late:
			s.addEvent("rank %d: %s is late", e.rank, text)
			s.unanswered = append(s.unanswered, lateOrder{e.rank, s.term, text, operation, apply})
		case lost:
			s.addEvent("rank %d: %s is lost", e.rank, text)
		}
	}
	return false, errNoAnswer
}

func (e *simulatedEngine) prepare(version uint64) bool {
	if version <= e.highest || e.armed != 0 {
		return false
	}
	e.highest, e.prepared = version, version
	return true
}

func (e *simulatedEngine) arm(version, step uint64) bool {
	if e.armed == version && e.armedStep == step {
		return true
	}
	if e.armed != 0 || e.prepared != version || e.version == version || step <= e.group.step {
		return false
	}
	e.armed, e.armedStep = version, step
	return true
}

func (e *simulatedEngine) disarm(version uint64) bool {
	if e.version == version {
		return false
	}
	if e.armed == version {
		e.armed, e.armedStep = 0, 0
	}
	return true
}

func (e *simulatedEngine) stopBefore(step uint64) bool {
	if e.hold != 0 && e.hold != step || step <= e.group.step {
		return false
	}
	e.hold = step
	return true
}

func (e *simulatedEngine) release(step uint64) bool {
	if e.hold == step {
		e.hold = 0
	}
	return true
}

// Report implements rank.OrderEngine.
func (e *simulatedEngine) Report(context.Context) (rank.Report, error) {
	s := e.group
	return rank.Report{
		Rank: s.names[e.rank], Ranks: len(s.names), Epoch: 1, NextStep: s.step + 1, Map: e.version, Prepared: e.prepared, Armed: e.armed, ArmedStep: e.armedStep, Hold: e.hold,
	}, nil
}

// ReportAnew implements rank.OrderEngine.
func (e *simulatedEngine) ReportAnew(ctx context.Context) (rank.Report, error) { return e.Report(ctx) }

// Counts implements rank.OrderEngine.
func (e *simulatedEngine) Counts(context.Context) ([]uint32, error) {
	return make([]uint32, len(e.group.engines)), nil
}

// Held implements rank.OrderEngine. Each rank holds the expert of its own number.
func (e *simulatedEngine) Held(context.Context, uint64) ([][]int, error) {
	return [][]int{{e.rank}}, nil
}

// Prepare implements rank.OrderEngine.
func (e *simulatedEngine) Prepare(_ context.Context, _ rank.Fence, version uint64, _ [][][]int) (bool, error) {
	return e.send("prepare", fmt.Sprint("prepare ", version), func() bool { return e.prepare(version) })
}

// Arm implements rank.OrderEngine.
func (e *simulatedEngine) Arm(_ context.Context, _ rank.Fence, version, step uint64) (bool, error) {
	return e.send("arm", fmt.Sprintf("arm %d for %d", version, step), func() bool { return e.arm(version, step) })
}

// Disarm implements rank.OrderEngine.
func (e *simulatedEngine) Disarm(_ context.Context, _ rank.Fence, version uint64) (bool, error) {
	return e.send("disarm", fmt.Sprint("disarm ", version), func() bool { return e.disarm(version) })
}

// Hold implements rank.OrderEngine.
func (e *simulatedEngine) Hold(_ context.Context, _ rank.Fence, step uint64) (bool, error) {
	return e.send("hold", fmt.Sprint("hold ", step), func() bool { return e.stopBefore(step) })
}

// Release implements rank.OrderEngine.
func (e *simulatedEngine) Release(_ context.Context, _ rank.Fence, step uint64) (bool, error) {
	return e.send("release", fmt.Sprint("release ", step), func() bool { return e.release(step) })
}

// members is the group as an agent sees it.
type members struct {
	names []string
	self  int
}

func (m members) Name() string         { return "g" }
func (m members) ExpertParallel() bool { return true }
func (m members) Self() string         { return m.names[m.self] }
func (m members) Ranks() []string      { return m.names }
func (m members) Call(context.Context, string, *peer.GrantOrder) (*peer.GrantReply, error) {
	return nil, errNoAnswer
}
