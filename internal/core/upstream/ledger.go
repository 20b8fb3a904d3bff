// Package upstream decides how requests are distributed to upstreams: the choice
// among them, their ejection, the limits on retries, and the ledger that runs a
// non-idempotent request at most once. It performs no I/O and reads no clock; the
// caller passes the time.
//
// Upstreams that are reached through an agent are chosen by CandidateSet, those
// that are reached directly by Pool.
package upstream

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Ledger is the deduplication table of an agent. It records the idempotency keys of
// the non-idempotent requests that the agent received, so that each of them runs at
// most once within its term. A is the type of the responses kept for retries.
//
// A term is the identifier of one generation of the ledger. The ledger keeps the
// current and the previous generation, and those adopted from agents that left. A
// generation is only ever dropped as a whole, together with its term. All later
// attempts under that term are refused with TermUnknown, so dropping a key never
// leads to a second run.
type Ledger[A any] struct {
	// incarnation is the name of the agent's incarnation and the prefix of its terms.
	incarnation string
	// termNumber is the number of the current term, counted from 1.
	termNumber int
	capacity   int
	retention  time.Duration
	current    *generation[A]
	previous   *generation[A]
	// adopted holds the generations taken over from other agents by term.
	adopted map[string]*generation[A]
	// handedOver maps each term that was handed over to its successor agent.
	handedOver map[string]string
}

// generation holds the keys of one term.
type generation[A any] struct {
	term      string
	startedAt time.Time
	keys      map[string]*keyEntry[A]
}

// keyEntry is the record of one key.
type keyEntry[A any] struct {
	state KeyState
	// epoch is the number of times that the key was sealed.
	epoch uint64
	// digest is the digest of the request, 0 while the key is sealed.
	digest   uint64
	response A
}

// KeyState is the state of a key in the ledger.
type KeyState int

// The states of a key.
const (
	// Absent means that the ledger has no record of the key: it has not run in
	// the term.
	Absent KeyState = iota
	// Sealed means that the key has not run, and that attempts sent before the
	// seal are refused.
	Sealed
	// Running means that the request was handed to the upstream or waits for it.
	Running
	// Done means that the request ran and has a response.
	Done
	// Lost means that the request may have run: the upstream failed without a
	// response.
	Lost
)

// MaxAdoptedTerms is the maximum number of terms that an agent holds for agents
// that left.
const MaxAdoptedTerms = 64

// NewLedger returns the ledger of one incarnation of an agent. Terms are named after
// the incarnation, which must therefore be unique. The ledger holds up to capacity
// keys per generation and begins a new generation after the time retention.
func NewLedger[A any](incarnation string, capacity int, retention time.Duration, now time.Time) *Ledger[A] {
	l := &Ledger[A]{
		incarnation: incarnation, capacity: capacity, retention: retention,
		adopted: map[string]*generation[A]{}, handedOver: map[string]string{},
	}
	l.rotate(now)
	return l
}

// Configure changes the capacity and the retention, starting with the next key.
func (l *Ledger[A]) Configure(capacity int, retention time.Duration) {
	l.capacity, l.retention = capacity, retention
}

// rotate begins a new generation and drops the previous one.
func (l *Ledger[A]) rotate(now time.Time) {
	l.termNumber++
	l.previous = l.current
	l.current = &generation[A]{
		term:      fmt.Sprintf("%s-%d", l.incarnation, l.termNumber),
		startedAt: now,
		keys:      map[string]*keyEntry[A]{},
	}
}

// Tick begins a new generation if the current one is older than the retention, and
// drops adopted generations held for more than twice the retention.
func (l *Ledger[A]) Tick(now time.Time) {
	if now.Sub(l.current.startedAt) >= l.retention {
		l.rotate(now)
	}
	for term, g := range l.adopted {
		if now.Sub(g.startedAt) >= 2*l.retention {
			delete(l.adopted, term)
		}
	}
}

// Term returns the current term, under which new keys are recorded.
func (l *Ledger[A]) Term() string { return l.current.term }

// Adopted returns the terms that were adopted from other agents and are still held,
// sorted.
func (l *Ledger[A]) Adopted() []string {
	out := make([]string, 0, len(l.adopted))
	for term := range l.adopted {
		if _, handedOver := l.handedOver[term]; !handedOver {
			out = append(out, term)
		}
	}
	sort.Strings(out)
	return out
}

// Len returns the number of keys in all generations.
func (l *Ledger[A]) Len() int {
	n := len(l.current.keys)
	if l.previous != nil {
		n += len(l.previous.keys)
	}
	for _, g := range l.adopted {
		n += len(g.keys)
	}
	return n
}

// Attempt is one attempt at a request as it arrives at the ledger.
type Attempt struct {
	Key  string
	Term string
	// Epoch is the key's seal epoch as known to the sender, 0 without a seal.
	Epoch uint64
	// Digest identifies the content of the request.
	Digest uint64
}

// Verdict is the ledger's decision on an attempt: Run, Attach or Refused.
type Verdict[A any] interface{ verdict() }

// Run means that the caller must run the request now and then call MarkDone,
// MarkLost or MarkNotRun.
type Run[A any] struct{}

// Attach means that the request is running or done. Response is its response, which
// may be incomplete.
type Attach[A any] struct{ Response A }

// Refused means that the attempt must not run.
type Refused[A any] struct {
	Reason Reason
	// Epoch is the epoch that a new attempt must carry if Reason is SealedAttempt.
	Epoch uint64
	// Successor is the agent that holds the term if Reason is TermHandedOver.
	Successor string
}

func (Run[A]) verdict()     {}
func (Attach[A]) verdict()  {}
func (Refused[A]) verdict() {}

// Reason is the reason for which the ledger refused an attempt.
type Reason int

// The reasons for a refusal.
const (
	// SealedAttempt means that the attempt was sent before the key was sealed.
	SealedAttempt Reason = iota + 1
	// TermUnknown means that the ledger does not hold the term, so it cannot tell
	// whether the request ran.
	TermUnknown
	// TermHandedOver means that the term was handed over to another agent.
	TermHandedOver
	// LedgerFull means that the generation holds as many keys as it may.
	LedgerFull
	// DigestDiffers means that the key was used for a different request.
	DigestDiffers
	// OutcomeUnknown means that the request may have run and has no response.
	OutcomeUnknown
)

// Begin decides on the attempt a. response is recorded as the response of its key if the
// verdict is Run; the key is then Running until MarkDone, MarkLost or MarkNotRun is
// called.
func (l *Ledger[A]) Begin(a Attempt, response A, now time.Time) Verdict[A] {
	g, refused := l.findGeneration(a.Term)
	if g == nil {
		return refused
	}
	e := g.keys[a.Key]
	if e == nil {
		return l.beginNew(g, a, response, now)
	}
	if e.digest != 0 && e.digest != a.Digest {
		return Refused[A]{Reason: DigestDiffers}
	}
	switch e.state {
	case Sealed:
		if a.Epoch != e.epoch {
			return Refused[A]{Reason: SealedAttempt, Epoch: e.epoch}
		}
		e.state, e.digest, e.response = Running, a.Digest, response
		return Run[A]{}
	case Lost:
		return Refused[A]{Reason: OutcomeUnknown}
	default:
		return Attach[A]{Response: e.response}
	}
}

// beginNew decides on an attempt at a key that is absent from g.
func (l *Ledger[A]) beginNew(g *generation[A], a Attempt, response A, now time.Time) Verdict[A] {
	if a.Epoch != 0 {
		// The ledger has no record of the seal that the attempt refers to: it was
		// dropped, or made elsewhere.
		return Refused[A]{Reason: TermUnknown}
	}
	if len(g.keys) >= l.capacity {
		// Later requests get a new generation, unless that would drop the previous
		// one before its retention has passed.
		if g == l.current && (l.previous == nil || now.Sub(l.previous.startedAt) >= l.retention) {
			l.rotate(now)
		}
		return Refused[A]{Reason: LedgerFull}
	}
	g.keys[a.Key] = &keyEntry[A]{state: Running, digest: a.Digest, response: response}
	return Run[A]{}
}

// findGeneration returns the generation of a term, or nil and the refusal for an
// attempt under that term.
func (l *Ledger[A]) findGeneration(term string) (*generation[A], Refused[A]) {
	if successor, ok := l.handedOver[term]; ok {
		return nil, Refused[A]{Reason: TermHandedOver, Successor: successor}
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

// lookup returns the record of a key, or nil if there is none.
func (l *Ledger[A]) lookup(key, term string) *keyEntry[A] {
	g, _ := l.findGeneration(term)
	if g == nil {
		return nil
	}
	return g.keys[key]
}

// MarkDone records that the request of a running key ran and has a response. Keys in
// another state are left as they are.
func (l *Ledger[A]) MarkDone(key, term string) {
	if e := l.lookup(key, term); e != nil && e.state == Running {
		e.state = Done
	}
}

// MarkLost records that the request of a running key may have run and has no response.
// Keys in another state are left as they are.
func (l *Ledger[A]) MarkLost(key, term string) {
	if e := l.lookup(key, term); e != nil && e.state == Running {
		var none A
		e.state, e.response = Lost, none
	}
}

// MarkNotRun records that the request of a running key was not handed to the upstream.
// The key is sealed, so that a delayed duplicate of the attempt does not run either.
// Keys in another state are left as they are.
func (l *Ledger[A]) MarkNotRun(key, term string) {
	if e := l.lookup(key, term); e != nil && e.state == Running {
		l.seal(e)
	}
}

// seal seals a key that has not run, under a new epoch.
func (l *Ledger[A]) seal(e *keyEntry[A]) {
	var none A
	e.state, e.response, e.digest = Sealed, none, 0
	e.epoch++
}

// Seal seals a key that has not run, so that all attempts sent before are refused,
// and returns the key's state. It does not seal a key that is Running, Done or Lost.
// ok is false if the ledger does not hold the term or has no room for the key.
func (l *Ledger[A]) Seal(key, term string) (state KeyState, ok bool) {
	g, _ := l.findGeneration(term)
	if g == nil {
		return Absent, false
	}
	e := g.keys[key]
	if e == nil {
		if len(g.keys) >= l.capacity {
			return Absent, false
		}
		e = &keyEntry[A]{}
		g.keys[key] = e
	}
	if e.state == Absent || e.state == Sealed {
		l.seal(e)
	}
	return e.state, true
}

// KeyRecord is the record of one key in the form that is handed over to a successor.
type KeyRecord[A any] struct {
	Key      string
	State    KeyState
	Epoch    uint64
	Digest   uint64
	Response A
}

// HandOver hands a term over to a successor and returns its keys, sorted. The ledger
// refuses the term from then on, so that two agents never hold it at the same time.
// The caller must first wait for the running requests to end: keys that are still
// Running are handed over as Lost. It returns false if the ledger does not hold the
// term; the caller must then offer nothing to the successor, since a term adopted
// without its keys would let them run again.
func (l *Ledger[A]) HandOver(term, successor string) ([]KeyRecord[A], bool) {
	g, _ := l.findGeneration(term)
	if g == nil {
		return nil, false
	}
	l.handedOver[term] = successor
	out := make([]KeyRecord[A], 0, len(g.keys))
	for key, e := range g.keys {
		r := KeyRecord[A]{Key: key, State: e.state, Epoch: e.epoch, Digest: e.digest, Response: e.response}
		if e.state == Running {
			r.State = Lost
		}
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, true
}

// Holds reports whether the ledger holds the term.
func (l *Ledger[A]) Holds(term string) bool {
	g, _ := l.findGeneration(term)
	return g != nil
}

// RunningKeys returns the number of keys that are running.
func (l *Ledger[A]) RunningKeys() int {
	n := 0
	for _, term := range l.Terms() {
		g, _ := l.findGeneration(term)
		if g == nil {
			continue
		}
		for _, e := range g.keys {
			if e.state == Running {
				n++
			}
		}
	}
	return n
}

// Terms returns the terms that the ledger holds, the current one first.
func (l *Ledger[A]) Terms() []string {
	terms := []string{l.current.term}
	if l.previous != nil {
		terms = append(terms, l.previous.term)
	}
	terms = append(terms, l.Adopted()...)
	return slices.DeleteFunc(terms, func(term string) bool { return !l.Holds(term) })
}

// Adopt takes over a term with all its keys from another agent. It changes nothing and
// returns false if the ledger holds the term or has handed it over, if the term is one
// of its own, or if it has adopted MaxAdoptedTerms terms.
func (l *Ledger[A]) Adopt(term string, keys []KeyRecord[A], now time.Time) bool {
	_, handedOver := l.handedOver[term]
	if handedOver || strings.HasPrefix(term, l.incarnation+"-") || l.adopted[term] != nil || len(l.adopted) >= MaxAdoptedTerms {
		return false
	}
	g := &generation[A]{term: term, startedAt: now, keys: make(map[string]*keyEntry[A], len(keys))}
	for _, r := range keys {
		g.keys[r.Key] = &keyEntry[A]{state: r.State, epoch: r.Epoch, digest: r.Digest, response: r.Response}
	}
	l.adopted[term] = g
	return true
}
