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

// TestMain raises rapid's default number of checks. The flag overrides it, for example
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
	// events is the history, printed when a check fails.
	events []string
}

// addEvent adds a line to the history.
func (w *simulation) addEvent(format string, args ...any) {
	w.events = append(w.events, fmt.Sprintf(format, args...))
}

// newSimulation returns a group of 2 or 3 ranks without grants, and one leader.
func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, paused: map[int]bool{}, lastVersion: 1, now: time.Unix(0, 0)}
	for i := range rapid.IntRange(2, 3).Draw(t, "ranks") {
		w.names = append(w.names, fmt.Sprint("r", i))
		w.ranks = append(w.ranks, Rank{Incarnation: fmt.Sprint("first", i)})
	}
	w.addLeader()
	return w
}

var searchConfig = LeaderConfig{ResendInterval: time.Second, PromiseTimeout: 20 * time.Second, MinStepsAhead: 2}

// addLeader adds a leader of a higher term, or of the same term and a higher attempt,
// as an agent does that completes a change. Earlier leaders remain active.
func (w *simulation) addLeader() {
	b := Ballot{Term: w.term, Attempt: uint64(len(w.leaders)), Proposer: fmt.Sprint("p", len(w.leaders))}
	if rapid.Bool().Draw(w.t, "new term") {
		w.term++
		b.Term = w.term
	}
	w.leaders = append(w.leaders, NewLeader(w.names, b, 1, searchConfig))
}

// runSteps makes the group run up to n steps, as far as the grants allow, and checks
// that all ranks use the same map in each.
func (w *simulation) runSteps(n int) {
	for range n {
		var used uint64
		for i, r := range w.ranks {
			m, ok := r.MapVersionAt(w.step)
			if !ok {
				return
			}
			if i > 0 && m != used {
				w.t.Fatalf("%s\nstep %d: rank 0 uses map %d and rank %d map %d", strings.Join(w.events, "\n"), w.step, used, i, m)
			}
			used = m
		}
		w.addEvent("step %d runs on map %d", w.step, used)
		w.step++
	}
}

// deliver delivers message i. If keep is set, the message stays in transit and may be
// delivered again.
func (w *simulation) deliver(i int, keep bool) {
	m := w.inFlight[i]
	if !keep {
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	}
	if m.reply != nil {
		if !w.paused[m.leader] {
			w.addEvent("leader %d receives from rank %d: %+v", m.leader, m.rank, *m.reply)
			w.leaders[m.leader].HandleReply(w.names[m.rank], m.order, *m.reply, w.now)
		}
		return
	}
	next, accepted := w.ranks[m.rank].Apply(m.order, w.step)
	w.ranks[m.rank] = next
	w.addEvent("rank %d receives %+v, accepted %v", m.rank, m.order, accepted)
	w.inFlight = append(w.inFlight, message{m.leader, m.rank, m.order, &Reply{Accepted: accepted, State: next, NextStep: w.step}})
}

// tick puts the orders that leader n sends now in transit.
func (w *simulation) tick(n int) {
	for _, s := range w.leaders[n].Tick(w.now) {
		for i, name := range w.names {
			if name == s.Rank {
				w.inFlight = append(w.inFlight, message{leader: n, rank: i, order: s.Order})
			}
		}
	}
}

// performEvent performs one random event: usually progress, sometimes a fault.
func (w *simulation) performEvent() {
	kind := rapid.IntRange(0, 99).Draw(w.t, "event")
	switch {
	case kind < 62 && len(w.inFlight) > 0:
		w.deliver(rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "message"), kind < 3)
	case kind < 64 && len(w.inFlight) > 0:
		i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "lost message")
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	case kind < 80:
		w.now = w.now.Add(time.Second)
		n := rapid.IntRange(0, len(w.leaders)-1).Draw(w.t, "leader to tick")
		if !w.paused[n] {
			w.tick(n)
		}
	case kind < 86:
		w.runSteps(rapid.IntRange(1, 3).Draw(w.t, "steps"))
	case kind < 92:
		w.lastVersion++
		w.leaders[rapid.IntRange(0, len(w.leaders)-1).Draw(w.t, "leader to propose")].Propose(w.lastVersion)
	case kind < 95 && len(w.leaders) < 4:
		w.addLeader()
	case kind < 97:
		n := rapid.IntRange(0, len(w.leaders)-1).Draw(w.t, "leader to pause or resume")
		w.paused[n] = !w.paused[n]
	case kind < 99:
		w.restarts++
		w.addEvent("a rank loses its state")
		w.ranks[rapid.IntRange(0, len(w.ranks)-1).Draw(w.t, "rank that loses its state")] = Rank{Incarnation: fmt.Sprint("again", w.restarts)}
	}
}

// TestAllRanksUseOneMapInEachStep checks that no sequence of lost, duplicated and
// reordered messages, concurrent leaders and ranks that lose their state makes two
// ranks use different maps in one step.
func TestAllRanksUseOneMapInEachStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			w.performEvent()
		}
	})
}

// TestGroupProgressesWithOneLeaderAndWorkingLinks checks that the group runs steps again
// after any history of faults, once a single leader is active and no messages are lost.
func TestGroupProgressesWithOneLeaderAndWorkingLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			w.performEvent()
		}
		w.inFlight = nil
		w.term++
		w.leaders = append(w.leaders, NewLeader(w.names, Ballot{Term: w.term, Proposer: "last"}, 1, searchConfig))
		n := len(w.leaders) - 1
		before := w.step
		for range 100 {
			w.now = w.now.Add(time.Second)
			w.tick(n)
			for len(w.inFlight) > 0 {
				w.deliver(0, false)
			}
			w.runSteps(2)
		}
		if w.step < before+100 {
			t.Fatalf("the group is stuck at step %d in phase %s: %+v", w.step, w.leaders[n].Phase(), w.ranks)
		}
	})
}

// TestUndisturbedChangeDelaysNoStep checks that changes without faults never make the
// group wait, although each message takes up to ten steps.
func TestUndisturbedChangeDelaysNoStep(t *testing.T) {
	w := &simulation{names: []string{"a", "b", "c"}, paused: map[int]bool{}}
	for range w.names {
		w.ranks = append(w.ranks, Rank{Incarnation: "x"})
	}
	config := LeaderConfig{ResendInterval: time.Hour, PromiseTimeout: time.Hour, MinStepsAhead: 50}
	l := NewLeader(w.names, Ballot{Term: 1}, 1, config)
	w.leaders = []*Leader{l}
	random := rand.New(rand.NewPCG(1, 1))
	delayed, changes := 0, 0
	type delayedMessage struct {
		message
		at int
	}
	var due []delayedMessage
	for now := range 4000 {
		w.tick(0)
		for len(w.inFlight) > 0 {
			due = append(due, delayedMessage{w.inFlight[0], now + 1 + random.IntN(10)})
			w.inFlight = w.inFlight[1:]
		}
		for i := 0; i < len(due); i++ {
			if due[i].at <= now {
				w.inFlight = append(w.inFlight, due[i].message)
				due = append(due[:i], due[i+1:]...)
				i--
				w.deliver(len(w.inFlight)-1, false)
			}
		}
		before := w.step
		w.runSteps(1)
		if now > 100 && w.step == before {
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
