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

// TestMain raises the number of cases per rapid check from 100 to 3000, unless the
// -rapid.checks flag sets another one.
func TestMain(m *testing.M) {
	if err := flag.Lookup("rapid.checks").Value.Set("3000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// inFlightAttempt is an attempt on its way to an agent. It can arrive late, and more than
// once.
type inFlightAttempt struct {
	agent   int
	attempt Attempt
}

// ledgerSimulation simulates three agents with their ledgers, and counts how often each
// key runs.
type ledgerSimulation struct {
	t            *rapid.T
	now          time.Time
	agents       []*Ledger[string]
	incarnations int
	inFlight     []inFlightAttempt
	running      map[int][]Attempt
	runs         map[string]int
	// notRun is set for the keys that a caller was told have not run, until they are
	// sent again.
	notRun map[string]bool
	terms  []string
	// owners maps each term to the agent that created it.
	owners map[string]int
}

const testRetention = 10 * time.Second

func newLedgerSimulation(t *rapid.T) *ledgerSimulation {
	s := &ledgerSimulation{t: t, now: time.Unix(0, 0), running: map[int][]Attempt{}, runs: map[string]int{}, notRun: map[string]bool{}, owners: map[string]int{}}
	for i := range 3 {
		s.agents = append(s.agents, nil)
		s.restartAgent(i)
	}
	return s
}

// restartAgent restarts an agent as a new incarnation with an empty ledger.
func (s *ledgerSimulation) restartAgent(i int) {
	s.incarnations++
	s.agents[i] = NewLedger[string](fmt.Sprint("inc", s.incarnations), 5, testRetention, s.now)
	s.running[i] = nil
	s.recordTerm(i)
}

// recordTerm records the current term of an agent if it is new.
func (s *ledgerSimulation) recordTerm(i int) {
	term := s.agents[i].Term()
	if _, ok := s.owners[term]; !ok {
		s.terms = append(s.terms, term)
		s.owners[term] = i
	}
}

// deliver delivers an attempt to its agent.
func (s *ledgerSimulation) deliver(c inFlightAttempt) {
	switch s.agents[c.agent].Begin(c.attempt, "answer", s.now).(type) {
	case Run[string]:
		s.running[c.agent] = append(s.running[c.agent], c.attempt)
		id := c.attempt.Term + "/" + c.attempt.Key
		s.runs[id]++
		if s.runs[id] > 1 {
			s.t.Fatalf("%s ran twice", id)
		}
		if s.notRun[id] {
			s.t.Fatalf("%s ran after its caller was told that it had not run", id)
		}
	}
}

// step performs one randomly drawn event.
func (s *ledgerSimulation) step() {
	agent := rapid.IntRange(0, 2).Draw(s.t, "agent")
	l := s.agents[agent]
	switch kind := rapid.IntRange(0, 19).Draw(s.t, "event"); {
	case kind < 6: // a caller sends a request or retries it
		a := Attempt{Key: rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(s.t, "key"), Digest: 1}
		a.Term = rapid.SampledFrom(s.terms).Draw(s.t, "term")
		delete(s.notRun, a.Term+"/"+a.Key) // the retry may run
		if s.runs[a.Term+"/"+a.Key] == 0 {
			if _, epoch := s.keyStateAndEpoch(agent, a); epoch > 0 && rapid.Bool().Draw(s.t, "knows epoch") {
				a.Epoch = epoch
			}
		}
		s.inFlight = append(s.inFlight, inFlightAttempt{agent, a})
	case kind < 13 && len(s.inFlight) > 0:
		i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "copy")
		s.deliver(s.inFlight[i])
		if kind < 10 {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
		}
	case kind < 14 && len(s.running[agent]) > 0:
		a := s.running[agent][0]
		s.running[agent] = s.running[agent][1:]
		if rapid.Bool().Draw(s.t, "answered") {
			l.MarkDone(a.Key, a.Term)
		} else {
			l.MarkLost(a.Key, a.Term)
		}
	case kind == 14: // an entry seals a key in order to answer "not run"
		a := Attempt{Key: rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(s.t, "sealed key"), Term: rapid.SampledFrom(s.terms).Draw(s.t, "sealed term")}
		if state, ok := l.Seal(a.Key, a.Term); ok && state == Sealed {
			if n := s.runs[a.Term+"/"+a.Key]; n > 0 {
				s.t.Fatalf("%s was sealed as not run, but ran %d times", a.Key, n)
			}
			s.notRun[a.Term+"/"+a.Key] = true
		}
	case kind == 15: // time passes
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(s.t, "seconds")) * time.Second)
		for i, l := range s.agents {
			l.Tick(s.now)
			s.recordTerm(i)
		}
	case kind == 16: // a hand-over whose offer to the successor may be lost
		successor := (agent + 1) % 3
		term := rapid.SampledFrom(s.terms).Draw(s.t, "term to hand over")
		keys, ok := l.HandOver(term, fmt.Sprint(successor))
		if ok && rapid.IntRange(0, 3).Draw(s.t, "offer") > 0 {
			s.agents[successor].Adopt(term, keys, s.now)
		}
	case kind == 17:
		s.restartAgent(agent)
	}
}

// keyStateAndEpoch returns the state and the seal epoch of an attempt's key at an agent.
func (s *ledgerSimulation) keyStateAndEpoch(agent int, a Attempt) (KeyState, uint64) {
	g, _ := s.agents[agent].findGeneration(a.Term)
	if g == nil || g.keys[a.Key] == nil {
		return Absent, 0
	}
	return g.keys[a.Key].state, g.keys[a.Key].epoch
}

// TestLedgerRunsEachKeyAtMostOncePerTerm checks random sequences of retries, delayed and
// duplicated attempts, seals, hand-overs, lost outcomes, restarts and new generations.
func TestLedgerRunsEachKeyAtMostOncePerTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLedgerSimulation(t)
		for range rapid.IntRange(20, 200).Draw(t, "events") {
			s.step()
		}
	})
}

// beginKey begins an attempt at a key under the current term of a ledger.
func beginKey(l *Ledger[string], key string, now time.Time) Verdict[string] {
	return l.Begin(Attempt{Key: key, Term: l.Term(), Digest: 1}, "answer to "+key, now)
}

func TestLedgerAttachesRetryToFirstResponse(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger[string]("a", 10, time.Hour, now)
	is.Equal(beginKey(l, "k", now), Run[string]{})
	is.Equal(beginKey(l, "k", now), Attach[string]{Response: "answer to k"})
	l.MarkDone("k", l.Term())
	is.Equal(beginKey(l, "k", now), Attach[string]{Response: "answer to k"})
	is.Equal(l.Begin(Attempt{Key: "k", Term: l.Term(), Digest: 2}, "", now), Refused[string]{Reason: DigestDiffers})
}

func TestLedgerNeverRerunsLostKey(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger[string]("a", 10, time.Hour, now)
	beginKey(l, "k", now)
	l.MarkLost("k", l.Term())
	is.Equal(beginKey(l, "k", now), Refused[string]{Reason: OutcomeUnknown})
}

func TestLedgerRefusesTermAfterDroppingItsKeys(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger[string]("a", 10, time.Hour, now)
	term := l.Term()
	beginKey(l, "k", now)
	l.MarkDone("k", term)
	now = now.Add(time.Hour)
	l.Tick(now)
	is.True(l.Term() != term)
	is.Equal(l.Begin(Attempt{Key: "k", Term: term, Digest: 1}, "", now), Attach[string]{Response: "answer to k"}) // the previous generation is still held
	l.Tick(now.Add(time.Hour))
	is.Equal(l.Begin(Attempt{Key: "k", Term: term, Digest: 1}, "", now), Refused[string]{Reason: TermUnknown})
	is.Equal(l.Len(), 0)
}

func TestLedgerRefusesKeysBeyondCapacity(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger[string]("a", 3, time.Hour, now)
	refused := 0
	for n := range 100 {
		if _, ok := beginKey(l, fmt.Sprint(n), now).(Refused[string]); ok {
			refused++
		}
	}
	is.True(refused > 80)
	is.True(l.Len() <= 6)
}

func TestHandedOverTermIsHeldByOneAgent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, b := NewLedger[string]("a", 10, time.Hour, now), NewLedger[string]("b", 10, time.Hour, now)
	term := a.Term()
	beginKey(a, "k", now)
	a.MarkDone("k", term)
	keys, ok := a.HandOver(term, "b")
	is.True(ok)
	is.Equal(a.Begin(Attempt{Key: "k", Term: term}, "", now), Refused[string]{Reason: TermHandedOver, Successor: "b"})
	is.True(b.Adopt(term, keys, now))
	is.True(!b.Adopt(term, keys, now))
	is.Equal(b.Begin(Attempt{Key: "k", Term: term, Digest: 1}, "", now), Attach[string]{Response: "answer to k"})
	is.Equal(b.Begin(Attempt{Key: "new", Term: term, Digest: 1}, "", now), Run[string]{})
}
