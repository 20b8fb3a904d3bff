package store

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	core "bramleydeal/internal/core/store"
	"bramleydeal/internal/store/object"
)

// LeasePrefix is the prefix of the names of lease objects.
const LeasePrefix = "lease/"

// Timing of a lease.
const (
	// leaseTickInterval is how often the candidate decides whether a call is due.
	leaseTickInterval = 100 * time.Millisecond
	// leaseTimeout bounds one call to the platform.
	leaseTimeout = 2 * time.Second
)

// Lease takes and renews a lease in the platform, following the decisions of a
// core/store.LeaseCandidate.
type Lease struct {
	client    *object.Client
	name      string
	candidate *core.LeaseCandidate
}

// NewLease returns a Lease for the lease object of that name. holder must be
// unique to one run of a process, since a candidate treats a lease under its
// holder name as its own.
func NewLease(c *object.Client, name, holder string, duration time.Duration) *Lease {
	return &Lease{client: c, name: LeasePrefix + name, candidate: &core.LeaseCandidate{Name: holder, Duration: duration}}
}

// Hold takes and renews the lease until ctx ends. While the lease is held, it
// runs whileHeld with the lease term, which serves as a fencing token, and a
// context that ends when the lease expires by this process's own clock.
// whileHeld must return when its context ends.
func (l *Lease) Hold(ctx context.Context, whileHeld func(ctx context.Context, term uint64)) {
	ticker := time.NewTicker(leaseTickInterval)
	defer ticker.Stop()
	var current *holding
	defer func() { current.end() }()
	for {
		term, ok := l.candidate.Term(time.Now())
		if current != nil && (!ok || term != current.term) {
			current.end()
			current = nil
		}
		if ok && current == nil {
			current = startHolding(ctx, term, whileHeld)
		}
		select {
		case <-ticker.C:
			l.perform(ctx, l.candidate.Tick(time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

// holding is a period of holding the lease without interruption.
type holding struct {
	term uint64
	stop context.CancelFunc
	done chan struct{}
}

// startHolding runs whileHeld in a new goroutine.
func startHolding(ctx context.Context, term uint64, whileHeld func(ctx context.Context, term uint64)) *holding {
	ctx, stop := context.WithCancel(ctx)
	h := &holding{term: term, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		whileHeld(ctx, term)
	}()
	return h
}

// end cancels the function that runs under the lease and waits until it has
// returned. It does nothing if h is nil.
func (h *holding) end() {
	if h != nil {
		h.stop()
		<-h.done
	}
}

// perform performs an action of the candidate and reports the result to it. The
// timeout is shorter than the default lease duration, so that Hold notices an
// expiry in time.
func (l *Lease) perform(ctx context.Context, a core.LeaseAction) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	var stored core.Object
	var err error
	switch v := a.(type) {
	case core.Wait:
		return
	case core.Read:
		stored, err = l.client.Get(ctx, l.name)
	case core.Write:
		var value []byte
		if value, err = json.Marshal(v.Lease); err == nil {
			stored, err = l.client.Put(ctx, l.name, value, v.IfVersion)
		}
	}
	if errors.Is(err, core.ErrNotFound) {
		l.candidate.Observe(core.Lease{}, 0, time.Now())
		return
	}
	var lease core.Lease
	if err != nil && !errors.Is(err, core.ErrConflict) || json.Unmarshal(stored.Value, &lease) != nil {
		l.candidate.CallFailed()
		return
	}
	l.candidate.Observe(lease, stored.Version, time.Now())
}
