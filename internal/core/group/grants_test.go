package group

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain raises the number of cases per rapid check from 100 to 3000, unless the
// -rapid.checks flag sets another one, for example
// go test ./internal/core/group -rapid.checks=100000
func TestMain(m *testing.M) {
	checks := flag.Lookup("rapid.checks")
	if err := checks.Value.Set("3000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// message is an order or a reply in transit.
type message struct {
	leader int
	rank   int
	order  Order
	reply  *Reply
}

// simulation is a group with its ranks, leaders and messages in transit. rapid draws
// the events that happen to it.
type simulation struct {
	t           *rapid.T
	ranks       []Rank
	step        uint64
	names       []string
	leaders     []*Leader
	paused      map[int]bool
	inFlight    []message
	now         time.Time
	term        uint64
	lastVersion uint64
	restarts    int
	// recipients are the ranks that orders of a leader for another rank reach instead.
	recipients map[recipient]int
	// events is the history, printed when a check fails.
	events []string
}

// recipient is a rank as a leader addresses it.
type recipient struct{ leader, rank int }

// addEvent adds a line to the history.
func (s *simulation) addEvent(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf(format, args...))
}

// newSimulation returns a group of 2 or 3 ranks without grants, and one leader.
func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, paused: map[int]bool{}, lastVersion: 1, now: time.Unix(0, 0)}
	for i := range rapid.IntRange(2, 3).Draw(t, "ranks") {
		s.names = append(s.names, fmt.Sprint("r", i))
		s.ranks = append(s.ranks, Rank{Incarnation: fmt.Sprint("first", i)})
	}
	s.addLeader()
	return s
}

var simulationConfig = LeaderConfig{ResendInterval: time.Second, PollInterval: time.Second, PromiseTimeout: 20 * time.Second, MinStepsAhead: 2}

// addLeader adds a leader of a higher term, or of the same term and a higher attempt,
// as an agent does that completes a change. Earlier leaders remain active.
func (s *simulation) addLeader() {
	b := Ballot{Term: s.term, Attempt: uint64(len(s.leaders)), Proposer: fmt.Sprint("p", len(s.leaders))}
	if rapid.Bool().Draw(s.t, "new term") {
		s.term++
		b.Term = s.term
	}
	s.leaders = append(s.leaders, NewLeader(s.names, b, 1, simulationConfig))
}

// runSteps makes the group run up to n steps, as far as the grants allow, and checks
// that all ranks use the same map in each.
func (s *simulation) runSteps(n int) {
	for range n {
		var used uint64
		for i, r := range s.ranks {
			m, ok := r.MapVersionAt(s.step)
			if !ok {
				return
			}
			if i > 0 && m != used {
				s.t.Fatalf("%s\nstep %d: rank 0 uses map %d and rank %d map %d", strings.Join(s.events, "\n"), s.step, used, i, m)
			}
			used = m
		}
		s.addEvent("step %d runs on map %d", s.step, used)
		s.step++
	}
}

// deliver delivers message i. If keep is set, the message stays in transit and may be
// delivered again.
func (s *simulation) deliver(i int, keep bool) {
	m := s.inFlight[i]
	if !keep {
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	}
	if m.reply != nil {
		if !s.paused[m.leader] {
			s.addEvent("leader %d receives from rank %d: %+v", m.leader, m.rank, *m.reply)
			s.leaders[m.leader].HandleReply(s.names[m.rank], m.order, *m.reply, s.now)
		}
		return
	}
	to, misdirected := s.recipients[recipient{m.leader, m.rank}]
	if !misdirected {
		to = m.rank
	}
	next, accepted := s.ranks[to].Apply(m.order, s.step)
	s.ranks[to] = next
	s.addEvent("rank %d receives %+v for rank %d, accepted %v", to, m.order, m.rank, accepted)
	s.inFlight = append(s.inFlight, message{m.leader, m.rank, m.order, &Reply{Accepted: accepted, State: next, NextStep: s.step}})
}

// tick puts the orders that leader n sends now in transit.
func (s *simulation) tick(n int) {
	for _, o := range s.leaders[n].Tick(s.now) {
		for i, name := range s.names {
			if name == o.Rank {
				s.inFlight = append(s.inFlight, message{leader: n, rank: i, order: o.Order})
			}
		}
	}
}

// performEvent performs one random event: usually progress, sometimes a fault.
func (s *simulation) performEvent() {
	kind := rapid.IntRange(0, 99).Draw(s.t, "event")
	switch {
	case kind < 62 && len(s.inFlight) > 0:
		s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "message"), kind < 3)
	case kind < 64 && len(s.inFlight) > 0:
		i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "lost message")
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	case kind < 80:
		s.now = s.now.Add(time.Second)
		n := rapid.IntRange(0, len(s.leaders)-1).Draw(s.t, "leader to tick")
		if !s.paused[n] {
			s.tick(n)
		}
	case kind < 86:
		s.runSteps(rapid.IntRange(1, 3).Draw(s.t, "steps"))
	case kind < 92:
		s.lastVersion++
		s.leaders[rapid.IntRange(0, len(s.leaders)-1).Draw(s.t, "leader to propose")].Propose(s.lastVersion)
	case kind < 95 && len(s.leaders) < 4:
		s.addLeader()
	case kind < 97:
		n := rapid.IntRange(0, len(s.leaders)-1).Draw(s.t, "leader to pause or resume")
		s.paused[n] = !s.paused[n]
	case kind < 99:
		s.restarts++
		s.addEvent("a rank loses its state")
		s.ranks[rapid.IntRange(0, len(s.ranks)-1).Draw(s.t, "rank that loses its state")] = Rank{Incarnation: fmt.Sprint("again", s.restarts)}
	}
}

// TestNoGrantsAllowTwoMapsInOneStep checks that no sequence of lost, duplicated and
// reordered messages, concurrent leaders and ranks that lose their state makes two
// ranks use different maps in one step.
func TestNoGrantsAllowTwoMapsInOneStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			s.performEvent()
		}
	})
}

// TestMisdirectedOrdersGrantNoTwoMaps checks the same while orders reach other ranks than those
// that they are for, as by a list that is older than the group: a rank that answers for two must
// not be counted as both of them.
func TestMisdirectedOrdersGrantNoTwoMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.recipients = map[recipient]int{}
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			if rapid.IntRange(0, 29).Draw(t, "a leader reads a list") == 0 {
				of := recipient{rapid.IntRange(0, len(s.leaders)-1).Draw(t, "leader"), rapid.IntRange(0, len(s.ranks)-1).Draw(t, "rank")}
				s.recipients[of] = rapid.IntRange(0, len(s.ranks)-1).Draw(t, "recipient")
				s.addEvent("orders of leader %d for rank %d reach rank %d", of.leader, of.rank, s.recipients[of])
			}
			s.performEvent()
		}
	})
}

// TestGroupProgressesWithOneLeaderAndWorkingLinks checks that the group runs steps again
// after any history of faults, once a single leader is active and no messages are lost.
func TestGroupProgressesWithOneLeaderAndWorkingLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			s.performEvent()
		}
		s.inFlight = nil
		s.term++
		s.leaders = append(s.leaders, NewLeader(s.names, Ballot{Term: s.term, Proposer: "last"}, 1, simulationConfig))
		n := len(s.leaders) - 1
		before := s.step
		for range 100 {
			s.now = s.now.Add(time.Second)
			s.tick(n)
			for len(s.inFlight) > 0 {
				s.deliver(0, false)
			}
			s.runSteps(2)
		}
		if s.step < before+100 {
			t.Fatalf("the group is stuck at step %d in phase %s: %+v", s.step, s.leaders[n].Phase(), s.ranks)
		}
	})
}

// TestUndisturbedChangeDelaysNoStep checks that changes without faults never make the
// group wait, although each message takes up to ten steps.
func TestUndisturbedChangeDelaysNoStep(t *testing.T) {
	s := &simulation{names: []string{"a", "b", "c"}, paused: map[int]bool{}}
	for _, name := range s.names {
		s.ranks = append(s.ranks, Rank{Incarnation: "first of " + name})
	}
	config := LeaderConfig{ResendInterval: time.Hour, PromiseTimeout: time.Hour, MinStepsAhead: 50}
	l := NewLeader(s.names, Ballot{Term: 1}, 1, config)
	s.leaders = []*Leader{l}
	random := rand.New(rand.NewPCG(1, 1))
	delayed, changes := 0, 0
	type delayedMessage struct {
		message
		at int
	}
	var due []delayedMessage
	for now := range 4000 {
		s.tick(0)
		for len(s.inFlight) > 0 {
			due = append(due, delayedMessage{s.inFlight[0], now + 1 + random.IntN(10)})
			s.inFlight = s.inFlight[1:]
		}
		for i := 0; i < len(due); i++ {
			if due[i].at <= now {
				s.inFlight = append(s.inFlight, due[i].message)
				due = append(due[:i], due[i+1:]...)
				i--
				s.deliver(len(s.inFlight)-1, false)
			}
		}
		before := s.step
		s.runSteps(1)
		if now > 100 && s.step == before {
			delayed++
		}
		if l.Phase() == Steady && now%200 == 0 && now > 100 && l.Propose(uint64(now)) {
			changes++
		}
	}
	if delayed > 0 || changes < 10 || l.Aborted() > 0 {
		t.Fatalf("%d steps delayed by %d changes, %d changes aborted", delayed, changes, l.Aborted())
	}
}
