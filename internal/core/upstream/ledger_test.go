package upstream

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain searches more histories than rapid's own default, unless told how many.
func TestMain(m *testing.M) {
	if err := flag.Lookup("rapid.checks").Value.Set("3000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// copied is a copy of an attempt on its way to an agent; copies can come late
// and more than once.
type copied struct {
	agent   int
	attempt Attempt
}

// ledgerWorld is a few agents with their ledgers, and an upstream that counts
// executions.
type ledgerWorld struct {
	t       *rapid.T
	now     time.Time
	agents  []*Ledger[string]
	born    int
	flight  []copied
	running map[int][]Attempt
	ran     map[string]int
	// notRun marks keys of which a caller was told that they did not run, and
	// that nobody has sent again since.
	notRun map[string]bool
	terms  []string
	owners map[string]int
}

const searchRetention = 10 * time.Second

func newLedgerWorld(t *rapid.T) *ledgerWorld {
	w := &ledgerWorld{t: t, now: time.Unix(0, 0), running: map[int][]Attempt{}, ran: map[string]int{}, notRun: map[string]bool{}, owners: map[string]int{}}
	for i := range 3 {
		w.agents = append(w.agents, nil)
		w.start(i)
	}
	return w
}

// start gives an agent a new incarnation without memory.
func (w *ledgerWorld) start(i int) {
	w.born++
	w.agents[i] = NewLedger[string](fmt.Sprint("inc", w.born), 5, searchRetention, w.now)
	w.running[i] = nil
	w.noteTerm(i)
}

func (w *ledgerWorld) noteTerm(i int) {
	term := w.agents[i].Term()
	if _, ok := w.owners[term]; !ok {
		w.terms = append(w.terms, term)
		w.owners[term] = i
	}
}

// deliver lets a copy arrive at its agent.
func (w *ledgerWorld) deliver(c copied) {
	switch w.agents[c.agent].Begin(c.attempt, "answer", w.now).(type) {
	case Run[string]:
		w.running[c.agent] = append(w.running[c.agent], c.attempt)
		id := c.attempt.Term + "/" + c.attempt.Key
		w.ran[id]++
		if w.ran[id] > 1 {
			w.t.Fatalf("%s ran twice", id)
		}
		if w.notRun[id] {
			w.t.Fatalf("%s ran after its caller was told that it did not", id)
		}
	}
}

func (w *ledgerWorld) act() {
	agent := rapid.IntRange(0, 2).Draw(w.t, "agent")
	l := w.agents[agent]
	switch kind := rapid.IntRange(0, 19).Draw(w.t, "event"); {
	case kind < 6: // a caller sends, or sends again
		a := Attempt{Key: rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(w.t, "key"), Digest: 1}
		a.Term = rapid.SampledFrom(w.terms).Draw(w.t, "term")
		delete(w.notRun, a.Term+"/"+a.Key) // it may run again by its caller's wish
		if w.ran[a.Term+"/"+a.Key] == 0 {
			if _, refused := w.sealEpoch(agent, a); refused > 0 && rapid.Bool().Draw(w.t, "knows epoch") {
				a.Epoch = refused
			}
		}
		w.flight = append(w.flight, copied{agent, a})
	case kind < 13 && len(w.flight) > 0:
		i := rapid.IntRange(0, len(w.flight)-1).Draw(w.t, "copy")
		w.deliver(w.flight[i])
		if kind < 10 {
			w.flight = append(w.flight[:i], w.flight[i+1:]...)
		}
	case kind < 14 && len(w.running[agent]) > 0:
		a := w.running[agent][0]
		w.running[agent] = w.running[agent][1:]
		if rapid.Bool().Draw(w.t, "answered") {
			l.MarkDone(a.Key, a.Term)
		} else {
			l.MarkLost(a.Key, a.Term)
		}
	case kind == 14: // an entry wants to say "not run"
		a := Attempt{Key: rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(w.t, "sealed key"), Term: rapid.SampledFrom(w.terms).Draw(w.t, "sealed term")}
		if state, ok := l.Seal(a.Key, a.Term); ok && state == Sealed {
			if n := w.ran[a.Term+"/"+a.Key]; n > 0 {
				w.t.Fatalf("%s is said not to have run and ran %d times", a.Key, n)
			}
			w.notRun[a.Term+"/"+a.Key] = true
		}
	case kind == 15:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(w.t, "seconds")) * time.Second)
		for i, l := range w.agents {
			l.Tick(w.now)
			w.noteTerm(i)
		}
	case kind == 16: // a hand-over whose offer may be lost
		to := (agent + 1) % 3
		term := rapid.SampledFrom(w.terms).Draw(w.t, "term to hand over")
		keys, ok := l.HandOver(term, fmt.Sprint(to))
		if ok && rapid.IntRange(0, 3).Draw(w.t, "offer") > 0 {
			w.agents[to].Adopt(term, keys, w.now)
		}
	case kind == 17:
		w.start(agent)
	}
}

// sealEpoch returns the epoch that a fresh attempt would be told.
func (w *ledgerWorld) sealEpoch(agent int, a Attempt) (KeyState, uint64) {
	g, _ := w.agents[agent].generation(a.Term)
	if g == nil || g.entries[a.Key] == nil {
		return Absent, 0
	}
	return g.entries[a.Key].state, g.entries[a.Key].epoch
}

// TestNoKeyRunsTwiceInItsTerm searches histories of retries, late and doubled
// copies, seals, hand-overs, losses and the passing of generations.
func TestNoKeyRunsTwiceInItsTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLedgerWorld(t)
		for range rapid.IntRange(20, 200).Draw(t, "events") {
			w.act()
		}
	})
}

func begin(l *Ledger[string], key string, now time.Time) Verdict[string] {
	return l.Begin(Attempt{Key: key, Term: l.Term(), Digest: 1}, "answer to "+key, now)
}

func TestRetryGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger[string]("a", 10, time.Hour, now)
	is.Equal(begin(l, "k", now), Run[string]{})
	is.Equal(begin(l, "k", now), Attach[string]{Answer: "answer to k"})
	l.MarkDone("k", l.Term())
	is.Equal(begin(l, "k", now), Attach[string]{Answer: "answer to k"})
	is.Equal(l.Begin(Attempt{Key: "k", Term: l.Term(), Digest: 2}, "", now), Refused[string]{Reason: DigestDiffers})
}

func TestLostOutcomeIsNeverRunAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger[string]("a", 10, time.Hour, now)
	begin(l, "k", now)
	l.MarkLost("k", l.Term())
	is.Equal(begin(l, "k", now), Refused[string]{Reason: OutcomeLost})
}

func TestForgettingEndsTheTerm(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger[string]("a", 10, time.Hour, now)
	term := l.Term()
	begin(l, "k", now)
	l.MarkDone("k", term)
	now = now.Add(time.Hour)
	l.Tick(now)
	is.True(l.Term() != term)
	is.Equal(l.Begin(Attempt{Key: "k", Term: term, Digest: 1}, "", now), Attach[string]{Answer: "answer to k"}) // still held
	l.Tick(now.Add(time.Hour))
	is.Equal(l.Begin(Attempt{Key: "k", Term: term, Digest: 1}, "", now), Refused[string]{Reason: TermUnknown})
	is.Equal(l.Len(), 0)
}

func TestFullLedgerRefusesAndIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger[string]("a", 3, time.Hour, now)
	refused := 0
	for n := range 100 {
		if _, ok := begin(l, fmt.Sprint(n), now).(Refused[string]); ok {
			refused++
		}
	}
	is.True(refused > 80)
	is.True(l.Len() <= 6)
}

func TestTermIsHeldByOneAgentOnly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, b := NewLedger[string]("a", 10, time.Hour, now), NewLedger[string]("b", 10, time.Hour, now)
	term := a.Term()
	begin(a, "k", now)
	a.MarkDone("k", term)
	keys, ok := a.HandOver(term, "b")
	is.True(ok)
	is.Equal(a.Begin(Attempt{Key: "k", Term: term}, "", now), Refused[string]{Reason: TermHandedOver, Successor: "b"})
	is.True(b.Adopt(term, keys, now))
	is.True(!b.Adopt(term, keys, now))
	is.Equal(b.Begin(Attempt{Key: "k", Term: term, Digest: 1}, "", now), Attach[string]{Answer: "answer to k"})
	is.Equal(b.Begin(Attempt{Key: "new", Term: term, Digest: 1}, "", now), Run[string]{})
}
