// Package ledger records what callers, back ends and the faults of a soak run saw
// and did, and checks the promises on it. It has no socket and no clock of its
// own.
package history

import (
	"sync"
	"time"
)

// Kind is a kind of request.
type Kind string

// The kinds of requests.
const (
	Confirm Kind = "confirm" // not idempotent
	Check   Kind = "check"   // idempotent
	Draft   Kind = "draft"   // a stream that may be resumed
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes of a request.
const (
	// Answered requests have the whole answer of an upstream.
	Answered Outcome = "answered"
	// Refused requests were told that they have not run and will not.
	Refused Outcome = "refused"
	// Failed requests got an answer that promises nothing.
	Failed Outcome = "failed"
	// Denied requests bear a key that the entry does not know.
	Denied Outcome = "denied"
	// Broken requests were sent and their connection ended, or their answer was
	// left incomplete.
	Broken Outcome = "broken"
	// Unsent requests found no connection.
	Unsent Outcome = "unsent"
	// Wrong requests got an answer that is not theirs, not whole or not in order.
	Wrong Outcome = "wrong"
	// Abandoned requests were given up by the caller, who waited long enough.
	Abandoned Outcome = "abandoned"
)

// Request is one request of a caller.
type Request struct {
	ID    string
	Kind  Kind
	Entry string
	// Lifetime is that of the entry's process when the request was sent.
	Lifetime int
	// Key is the version of the configuration that brought the key.
	Key         int
	Sent, Ended time.Time
	// Until is when the caller must have an answer.
	Until   time.Time
	Status  int
	Outcome Outcome
	Detail  string
}

// Arrival is a request that reached an upstream.
type Arrival struct {
	Upstream string
	At       time.Time
	Runs     bool
}

// Trouble is what was done to an entry, an upstream or the store. To is zero while it
// lasts.
type Trouble struct {
	Target, What string
	// Planned trouble must cut nothing off.
	Planned  bool
	From, To time.Time
}

// Store is the target of the store's trouble.
const Store = "store"

// Version is one version of the configuration.
type Version struct{ Sent, Acked time.Time }

// Ledger holds the records of one run.
type Ledger struct {
	mu       sync.Mutex
	requests []Request
	arrivals map[string][]Arrival
	troubles []*Trouble
	// versions are by number, from 1; version n knows the keys n and n-1.
	versions map[int]Version
	// left is when the store acknowledged that an upstream leaves.
	left map[string]time.Time
	// calmFrom is when the last trouble had ended and the time to recover was over.
	calmFrom time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{arrivals: map[string][]Arrival{}, versions: map[int]Version{}, left: map[string]time.Time{}}
}

// Arrived records a request at an upstream.
func (l *Ledger) Arrived(id string, a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], a)
}

// Ended records a request that its caller has done with.
func (l *Ledger) Ended(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// Begin records trouble; the function that it returns records its end.
func (l *Ledger) Begin(t Trouble) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.From = time.Now()
	l.troubles = append(l.troubles, &t)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		t.To = time.Now()
	}
}

// Troubled tells whether a target had one kind of trouble since a time.
func (l *Ledger) Troubled(target, what string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.troubles {
		if t.Target == target && t.What == what && (t.To.IsZero() || t.To.After(since)) {
			return true
		}
	}
	return false
}

// Write records a version of the configuration around the call that writes it.
func (l *Ledger) Write(version int, write func()) {
	sent := time.Now()
	l.mu.Lock()
	l.versions[version] = Version{Sent: sent}
	l.mu.Unlock()
	write()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[version] = Version{Sent: sent, Acked: time.Now()}
}

// Leave records that the store acknowledged an upstream's leaving.
func (l *Ledger) Leave(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[upstream] = time.Now()
}

// Calm records that the time to recover after all trouble is over.
func (l *Ledger) Calm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calmFrom = time.Now()
}

// Counts returns the number of requests by outcome.
func (l *Ledger) Counts() map[Outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[Outcome]int{}
	for _, r := range l.requests {
		counts[r.Outcome]++
	}
	return counts
}
