// Package upstream owns the decisions about upstreams: the ledger that runs a
// non-idempotent request at most once, the choice among upstreams, their
// ejection, and the retry budget. It performs no calls and reads no clock.
package upstream

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Ledger records, for one agent, the keys of non-idempotent requests, so that
// each runs at most once in its term.
//
// A term names one generation of the ledger. The current and the previous
// generation are kept, and those adopted from agents that left. A generation
// is forgotten only as a whole, together with its term; from then on every
// request under that term is refused as TermUnknown, so forgetting a key can
// never lead to a second run.
type Ledger[A any] struct {
	incarnation string
	number      int
	capacity    int
	retention   time.Duration
	current     *generation[A]
	previous    *generation[A]
	adopted     map[string]*generation[A]
	// handedOver maps a term to the agent that adopted it.
	handedOver map[string]string
}

type generation[A any] struct {
	term    string
	started time.Time
	entries map[string]*entry[A]
}

type entry[A any] struct {
	state  KeyState
	epoch  uint64
	digest uint64
	answer A
}

// EntryState is what the ledger knows of a key.
type KeyState int

// The states of a key. Absent keys have not run in the term.
const (
	Absent KeyState = iota
	// SealedState keys have not run; copies sent before the seal are refused.
	Sealed
	// Running keys have been given to the upstream, or wait for it.
	Running
	// Done keys ran and have an answer.
	Done
	// Lost keys may have run: the upstream broke off without an answer.
	Lost
)

// MaxAdopted bounds the terms that an agent holds for agents that left.
const MaxAdopted = 64

// NewLedger returns the ledger of one incarnation of an agent. No two
// incarnations may share a name.
func NewLedger[A any](incarnation string, capacity int, retention time.Duration, now time.Time) *Ledger[A] {
	l := &Ledger[A]{
		incarnation: incarnation, capacity: capacity, retention: retention,
		adopted: map[string]*generation[A]{}, handedOver: map[string]string{},
	}
	l.rotate(now)
	return l
}

// Configure changes the bounds; they hold from the next key on.
func (l *Ledger[A]) Configure(capacity int, retention time.Duration) {
	l.capacity, l.retention = capacity, retention
}

func (l *Ledger[A]) rotate(now time.Time) {
	l.number++
	l.previous = l.current
	l.current = &generation[A]{
		term:    fmt.Sprintf("%s-%d", l.incarnation, l.number),
		started: now,
		entries: map[string]*entry[A]{},
	}
}

// Tick begins a new generation when the current one has reached its age, and
// drops adopted ones that have reached twice that.
func (l *Ledger[A]) Tick(now time.Time) {
	if now.Sub(l.current.started) >= l.retention {
		l.rotate(now)
	}
	for term, g := range l.adopted {
		if now.Sub(g.started) >= 2*l.retention {
			delete(l.adopted, term)
		}
	}
}

// Term returns the term under which new keys are taken.
func (l *Ledger[A]) Term() string { return l.current.term }

// Adopted returns the terms adopted from other agents, sorted.
func (l *Ledger[A]) Adopted() []string {
	out := make([]string, 0, len(l.adopted))
	for term := range l.adopted {
		if _, gone := l.handedOver[term]; !gone {
			out = append(out, term)
		}
	}
	sort.Strings(out)
	return out
}

// Len returns the number of keys held.
func (l *Ledger[A]) Len() int {
	n := len(l.current.entries)
	if l.previous != nil {
		n += len(l.previous.entries)
	}
	for _, g := range l.adopted {
		n += len(g.entries)
	}
	return n
}

// Attempt is one arrival of a request at the ledger.
type Attempt struct {
	Key    string
	Term   string
	Epoch  uint64
	Digest uint64
}

// Verdict is the ledger's decision on an attempt.
type Verdict[A any] interface{ verdict() }

// Run says that the caller must run the request now and report its end.
type Run[A any] struct{}

// Attach says that the request is running or done; Answer is its answer so far.
type Attach[A any] struct{ Answer A }

// Refused says that the attempt must not run.
type Refused[A any] struct {
	Reason Reason
	// Epoch is what a new attempt must present when the reason is SealedAttempt.
	Epoch uint64
	// Successor is the agent that holds the term when the reason is TermHandedOver.
	Successor string
}

func (Run[A]) verdict()     {}
func (Attach[A]) verdict()  {}
func (Refused[A]) verdict() {}

// Reason says why the ledger refused an attempt.
type Reason int

// The reasons of a refusal.
const (
	// SealedAttempt means that the attempt was sent before the key's seal.
	SealedAttempt Reason = iota + 1
	// TermUnknown means that the ledger does not hold the term: nothing is known of the key.
	TermUnknown
	// TermHandedOver means that another agent holds the term.
	TermHandedOver
	// LedgerFull means that no further key can be taken now.
	LedgerFull
	// DigestDiffers means that the key belongs to another request.
	DigestDiffers
	// OutcomeLost means that the request may have run and has no answer.
	OutcomeLost
)

// Begin decides on an attempt. After Run the key is Running until Finish,
// Lose or Refuse is called.
func (l *Ledger[A]) Begin(a Attempt, answer A, now time.Time) Verdict[A] {
	g, refused := l.generation(a.Term)
	if g == nil {
		return refused
	}
	e := g.entries[a.Key]
	if e == nil {
		return l.beginNew(g, a, answer, now)
	}
	if e.digest != 0 && e.digest != a.Digest {
		return Refused[A]{Reason: DigestDiffers}
	}
	switch e.state {
	case Sealed:
		if a.Epoch != e.epoch {
			return Refused[A]{Reason: SealedAttempt, Epoch: e.epoch}
		}
		e.state, e.digest, e.answer = Running, a.Digest, answer
		return Run[A]{}
	case Lost:
		return Refused[A]{Reason: OutcomeLost}
	default:
		return Attach[A]{Answer: e.answer}
	}
}

func (l *Ledger[A]) beginNew(g *generation[A], a Attempt, answer A, now time.Time) Verdict[A] {
	if a.Epoch != 0 {
		// The seal that the attempt speaks of was forgotten or never made here.
		return Refused[A]{Reason: TermUnknown}
	}
	if len(g.entries) >= l.capacity {
		if g == l.current && (l.previous == nil || now.Sub(l.previous.started) >= l.retention) {
			l.rotate(now)
		}
		return Refused[A]{Reason: LedgerFull}
	}
	g.entries[a.Key] = &entry[A]{state: Running, digest: a.Digest, answer: answer}
	return Run[A]{}
}

func (l *Ledger[A]) generation(term string) (*generation[A], Refused[A]) {
	if to, ok := l.handedOver[term]; ok {
		return nil, Refused[A]{Reason: TermHandedOver, Successor: to}
	}
	switch {
	case l.current.term == term:
		return l.current, Refused[A]{}
	case l.previous != nil && l.previous.term == term:
		return l.previous, Refused[A]{}
	case l.adopted[term] != nil:
		return l.adopted[term], Refused[A]{}
	}
	return nil, Refused[A]{Reason: TermUnknown}
}

func (l *Ledger[A]) lookup(key, term string) *entry[A] {
	g, _ := l.generation(term)
	if g == nil {
		return nil
	}
	return g.entries[key]
}

// Finish records that a running key ran and has its answer.
func (l *Ledger[A]) MarkDone(key, term string) {
	if e := l.lookup(key, term); e != nil && e.state == Running {
		e.state = Done
	}
}

// Lose records that a running key may have run and has no answer.
func (l *Ledger[A]) MarkLost(key, term string) {
	if e := l.lookup(key, term); e != nil && e.state == Running {
		var none A
		e.state, e.answer = Lost, none
	}
}

// Refuse records that a running key was not given to the upstream after all.
// It is sealed, so that a late copy of the attempt does not run either.
func (l *Ledger[A]) MarkNotRun(key, term string) {
	if e := l.lookup(key, term); e != nil && e.state == Running {
		l.seal(e)
	}
}

func (l *Ledger[A]) seal(e *entry[A]) {
	var none A
	e.state, e.answer, e.digest = Sealed, none, 0
	e.epoch++
}

// Seal refuses all attempts at a key that were sent before now, unless it has
// been started, and returns what is known of it. ok is false when the ledger
// does not hold the term.
func (l *Ledger[A]) Seal(key, term string) (state KeyState, ok bool) {
	g, _ := l.generation(term)
	if g == nil {
		return Absent, false
	}
	e := g.entries[key]
	if e == nil {
		if len(g.entries) >= l.capacity {
			return Absent, false
		}
		e = &entry[A]{}
		g.entries[key] = e
	}
	if e.state == Absent || e.state == Sealed {
		l.seal(e)
	}
	return e.state, true
}

// Exported is one key as it is handed to a successor.
type KeyRecord[A any] struct {
	Key    string
	State  KeyState
	Epoch  uint64
	Digest uint64
	Answer A
}

// HandOver gives the term away to a successor and returns its keys. From then
// on the ledger refuses the term, so that no two agents ever hold it; Running
// keys must have ended before, and go over as Lost if they have not. It reports
// false when the ledger does not hold the term: there is nothing to offer then,
// and an empty offer would let keys run again.
func (l *Ledger[A]) HandOver(term, successor string) ([]KeyRecord[A], bool) {
	g, _ := l.generation(term)
	if g == nil {
		return nil, false
	}
	l.handedOver[term] = successor
	out := make([]KeyRecord[A], 0, len(g.entries))
	for key, e := range g.entries {
		x := KeyRecord[A]{Key: key, State: e.state, Epoch: e.epoch, Digest: e.digest, Answer: e.answer}
		if e.state == Running {
			x.State = Lost
		}
		out = append(out, x)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, true
}

// Holds tells whether the ledger holds a term.
func (l *Ledger[A]) Holds(term string) bool {
	g, _ := l.generation(term)
	return g != nil
}

// Unfinished counts the keys that are running.
func (l *Ledger[A]) RunningKeys() int {
	n := 0
	for _, term := range l.Terms() {
		g, _ := l.generation(term)
		if g == nil {
			continue
		}
		for _, e := range g.entries {
			if e.state == Running {
				n++
			}
		}
	}
	return n
}

// Terms returns the terms held, the current one first.
func (l *Ledger[A]) Terms() []string {
	terms := []string{l.current.term}
	if l.previous != nil {
		terms = append(terms, l.previous.term)
	}
	terms = append(terms, l.Adopted()...)
	return slices.DeleteFunc(terms, func(term string) bool { return !l.Holds(term) })
}

// Adopt takes over a term with all its keys. It reports false, and takes
// nothing, when the agent holds or gave away the term or has no room for it.
func (l *Ledger[A]) Adopt(term string, keys []KeyRecord[A], now time.Time) bool {
	_, gone := l.handedOver[term]
	if gone || strings.HasPrefix(term, l.incarnation+"-") || l.adopted[term] != nil || len(l.adopted) >= MaxAdopted {
		return false
	}
	g := &generation[A]{term: term, started: now, entries: make(map[string]*entry[A], len(keys))}
	for _, x := range keys {
		g.entries[x.Key] = &entry[A]{state: x.State, epoch: x.Epoch, digest: x.Digest, answer: x.Answer}
	}
	l.adopted[term] = g
	return true
}
