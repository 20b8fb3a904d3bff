package store

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	core "bramleydeal/internal/core/store"
	"bramleydeal/internal/store/object"
)

// LeasePrefix is the prefix of the leases' object names.
const LeasePrefix = "lease/"

// Times of a lease's driver.
const (
	leaseTick    = 100 * time.Millisecond
	leaseTimeout = 2 * time.Second
)

// Lease drives one candidate for a lease.
type Lease struct {
	client    *object.Client
	name      string
	candidate *core.LeaseCandidate
}

// NewLease returns a candidate for the named lease. holder must name one run of
// a process, since a holder renews what it finds under its name.
func NewLease(c *object.Client, name, holder string, duration time.Duration) *Lease {
	return &Lease{client: c, name: LeasePrefix + name, candidate: &core.LeaseCandidate{Name: holder, Duration: duration}}
}

// Hold takes and renews the lease until ctx ends. held is called with a context
// that ends when the lease is no longer held by the holder's own clock, and with
// the fencing number; it must return when that context ends.
func (l *Lease) Hold(ctx context.Context, held func(ctx context.Context, term uint64)) {
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	var now *tenure
	defer func() { now.end() }()
	for {
		term, ok := l.candidate.Term(time.Now())
		if now != nil && (!ok || term != now.term) {
			now.end()
			now = nil
		}
		if ok && now == nil {
			now = begin(ctx, term, held)
		}
		select {
		case <-ticker.C:
			l.act(ctx, l.candidate.Tick(time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

// tenure is one time of holding a lease.
type tenure struct {
	term uint64
	stop context.CancelFunc
	done chan struct{}
}

func begin(ctx context.Context, term uint64, held func(ctx context.Context, term uint64)) *tenure {
	ctx, stop := context.WithCancel(ctx)
	t := &tenure{term: term, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		held(ctx, term)
	}()
	return t
}

// end stops what is done under the lease and waits until it has stopped.
func (t *tenure) end() {
	if t != nil {
		t.stop()
		<-t.done
	}
}

// act carries out one action. Its timeout is shorter than a lease, so that the
// loop above sees a lapse in time.
func (l *Lease) act(ctx context.Context, a core.LeaseAction) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	var held core.Object
	var err error
	switch v := a.(type) {
	case core.Wait:
		return
	case core.Read:
		held, err = l.client.Get(ctx, l.name)
	case core.Write:
		var value []byte
		if value, err = json.Marshal(v.Lease); err == nil {
			held, err = l.client.Put(ctx, l.name, value, v.IfVersion)
		}
	}
	if errors.Is(err, core.ErrNotFound) {
		l.candidate.Observe(core.Lease{}, 0, time.Now())
		return
	}
	var lease core.Lease
	if err != nil && !errors.Is(err, core.ErrConflict) || json.Unmarshal(held.Value, &lease) != nil {
		l.candidate.CallFailed()
		return
	}
	l.candidate.Observe(lease, held.Version, time.Now())
}
