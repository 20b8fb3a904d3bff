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

// TestMain searches more histories than rapid's own default, unless told how
// many: go test ./internal/core/group -rapid.checks=100000
func TestMain(m *testing.M) {
	checks := flag.Lookup("rapid.checks")
	if err := checks.Value.Set("3000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// message is an order or an answer under way.
type message struct {
	leader int
	rank   int
	order  Order
	reply  *Reply
}

// world is a group with its ranks, leaders and messages, driven by a search.
type world struct {
	t       *rapid.T
	ranks   []Rank
	step    uint64
	names   []string
	leaders []*Leader
	paused  map[int]bool
	flight  []message
	now     time.Time
	term    uint64
	maps    uint64
	lost    int
	// trace is the history, printed by a failing run.
	trace []string
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, paused: map[int]bool{}, maps: 1, now: time.Unix(0, 0)}
	for i := range rapid.IntRange(2, 3).Draw(t, "ranks") {
		w.names = append(w.names, fmt.Sprint("r", i))
		w.ranks = append(w.ranks, Rank{Incarnation: fmt.Sprint("first", i)})
	}
	w.addLeader()
	return w
}

var searchRules = LeaderConfig{ResendInterval: time.Second, PromiseTimeout: 20 * time.Second, MinStepsAhead: 2}

// addLeader adds a leader of a higher term, or of the same term and a higher
// attempt, as an agent does that completes a change. Older ones stay about.
func (w *world) addLeader() {
	b := Ballot{Term: w.term, Attempt: uint64(len(w.leaders)), Proposer: fmt.Sprint("p", len(w.leaders))}
	if rapid.Bool().Draw(w.t, "new term") {
		w.term++
		b.Term = w.term
	}
	w.leaders = append(w.leaders, NewLeader(w.names, b, 1, searchRules))
}

// run makes the group step as far as its grants allow, and checks that every
// rank uses the same map.
func (w *world) run(steps int) {
	for range steps {
		var used uint64
		for i, r := range w.ranks {
			m, ok := r.MapVersionAt(w.step)
			if !ok {
				return
			}
			if i > 0 && m != used {
				w.t.Fatalf("%s\nstep %d: rank 0 uses map %d and rank %d map %d", strings.Join(w.trace, "\n"), w.step, used, i, m)
			}
			used = m
		}
		w.note("step %d runs on map %d", w.step, used)
		w.step++
	}
}

func (w *world) deliver(i int, keep bool) {
	m := w.flight[i]
	if !keep {
		w.flight = append(w.flight[:i], w.flight[i+1:]...)
	}
	if m.reply != nil {
		if !w.paused[m.leader] {
			w.note("leader %d hears of rank %d: %+v", m.leader, m.rank, *m.reply)
			w.leaders[m.leader].HandleReply(w.names[m.rank], m.order, *m.reply, w.now)
		}
		return
	}
	next, accepted := w.ranks[m.rank].Apply(m.order, w.step)
	w.ranks[m.rank] = next
	w.note("rank %d gets %+v, accepted %v", m.rank, m.order, accepted)
	w.flight = append(w.flight, message{m.leader, m.rank, m.order, &Reply{Accepted: accepted, State: next, NextStep: w.step}})
}

func (w *world) tick(n int) {
	for _, s := range w.leaders[n].Tick(w.now) {
		for i, name := range w.names {
			if name == s.Rank {
				w.flight = append(w.flight, message{leader: n, rank: i, order: s.Order})
			}
		}
	}
}

// act performs one random event: mostly progress, now and then a fault.
func (w *world) act() {
	kind := rapid.IntRange(0, 99).Draw(w.t, "event")
	switch {
	case kind < 62 && len(w.flight) > 0:
		w.deliver(rapid.IntRange(0, len(w.flight)-1).Draw(w.t, "message"), kind < 3)
	case kind < 64 && len(w.flight) > 0:
		i := rapid.IntRange(0, len(w.flight)-1).Draw(w.t, "lost message")
		w.flight = append(w.flight[:i], w.flight[i+1:]...)
	case kind < 80:
		w.now = w.now.Add(time.Second)
		n := rapid.IntRange(0, len(w.leaders)-1).Draw(w.t, "ticking leader")
		if !w.paused[n] {
			w.tick(n)
		}
	case kind < 86:
		w.run(rapid.IntRange(1, 3).Draw(w.t, "steps"))
	case kind < 92:
		w.maps++
		w.leaders[rapid.IntRange(0, len(w.leaders)-1).Draw(w.t, "proposing leader")].Propose(w.maps)
	case kind < 95 && len(w.leaders) < 4:
		w.addLeader()
	case kind < 97:
		n := rapid.IntRange(0, len(w.leaders)-1).Draw(w.t, "pausing leader")
		w.paused[n] = !w.paused[n]
	case kind < 99:
		w.lost++
		w.note("a rank loses its memory")
		w.ranks[rapid.IntRange(0, len(w.ranks)-1).Draw(w.t, "losing rank")] = Rank{Incarnation: fmt.Sprint("again", w.lost)}
	}
}

func TestNoStepEverHasTwoMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			w.act()
		}
	})
}

// TestGroupStepsOnOnceALeaderIsLeftAlone lets any history end with one live
// leader and working links: the group must step again.
func TestGroupStepsOnOnceALeaderIsLeftAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			w.act()
		}
		w.flight = nil
		w.term++
		w.leaders = append(w.leaders, NewLeader(w.names, Ballot{Term: w.term, Proposer: "last"}, 1, searchRules))
		n := len(w.leaders) - 1
		before := w.step
		for range 100 {
			w.now = w.now.Add(time.Second)
			w.tick(n)
			for len(w.flight) > 0 {
				w.deliver(0, false)
			}
			w.run(2)
		}
		if w.step < before+100 {
			t.Fatalf("the group is stuck at step %d in phase %s: %+v", w.step, w.leaders[n].Phase(), w.ranks)
		}
	})
}

// TestUndisturbedChangeStopsNoStep has messages take as long as ten steps.
func TestUndisturbedChangeStopsNoStep(t *testing.T) {
	w := &world{names: []string{"a", "b", "c"}, paused: map[int]bool{}}
	for range w.names {
		w.ranks = append(w.ranks, Rank{Incarnation: "x"})
	}
	rules := LeaderConfig{ResendInterval: time.Hour, PromiseTimeout: time.Hour, MinStepsAhead: 50}
	l := NewLeader(w.names, Ballot{Term: 1}, 1, rules)
	w.leaders = []*Leader{l}
	random := rand.New(rand.NewPCG(1, 1))
	stopped, changes := 0, 0
	type timed struct {
		message
		at int
	}
	var due []timed
	for now := range 4000 {
		w.tick(0)
		for len(w.flight) > 0 {
			due = append(due, timed{w.flight[0], now + 1 + random.IntN(10)})
			w.flight = w.flight[1:]
		}
		for i := 0; i < len(due); i++ {
			if due[i].at <= now {
				w.flight = append(w.flight, due[i].message)
				due = append(due[:i], due[i+1:]...)
				i--
				w.deliver(len(w.flight)-1, false)
			}
		}
		before := w.step
		w.run(1)
		if now > 100 && w.step == before {
			stopped++
		}
		if l.Phase() == Steady && now%200 == 0 && now > 100 && l.Propose(uint64(now)) {
			changes++
		}
	}
	if stopped > 0 || changes < 10 || l.Aborted() > 0 {
		t.Fatalf("%d steps waited during %d changes, %d given up", stopped, changes, l.Aborted())
	}
}
