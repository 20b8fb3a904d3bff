package store

import "time"

// Lease is the value of a lease object.
type Lease struct {
	Holder string `json:"holder"`
	// Term is the fencing token of the lease. It increases with each change of
	// holder and never decreases.
	Term     uint64        `json:"term"`
	Duration time.Duration `json:"duration-nanoseconds"`
}

// leaseView is the last known state of a lease object.
type leaseView struct {
	Lease Lease
	// Version is the object's version, 0 if the object does not exist.
	Version uint64
	// SeenAt is when the call that first returned Version ended.
	SeenAt time.Time
}

// LeaseCandidate decides when a process tries to acquire or renew a lease. All times are
// read from the process's own monotonic clock: a candidate takes over the lease of another
// holder only if the lease object has not changed for the duration of the lease, so clocks
// of different processes are never compared.
type LeaseCandidate struct {
	Name string
	// Duration is the duration of the leases that the candidate writes.
	Duration time.Duration

	view leaseView
	// viewValid is false until the object was read, and after a failed call until it
	// is read again.
	viewValid bool
	// heldUntil is when the candidate's own lease expires, zero if another process holds it.
	heldUntil    time.Time
	lastWriteAt  time.Time
	lastActionAt time.Time
}

// LeaseAction is what the caller of Tick must do: Read, Write or Wait.
type LeaseAction interface{ leaseAction() }

// Read means that the lease object must be read.
type Read struct{}

// Write means that the lease object must be replaced by Lease if its version is IfVersion,
// where 0 means that it does not exist.
type Write struct {
	Lease     Lease
	IfVersion uint64
}

// Wait means that there is nothing to do before the next tick.
type Wait struct{}

func (Read) leaseAction()  {}
func (Write) leaseAction() {}
func (Wait) leaseAction()  {}

// renewalsPerDuration is the number of reads or writes of the lease object per duration of
// the lease.
const renewalsPerDuration = 3

// Tick returns the action that is due at now.
func (c *LeaseCandidate) Tick(now time.Time) LeaseAction {
	if !c.lastActionAt.IsZero() && now.Sub(c.lastActionAt) < c.Duration/renewalsPerDuration {
		return Wait{}
	}
	c.lastActionAt = now
	if !c.viewValid {
		return Read{}
	}
	if c.view.Lease.Holder == c.Name && c.view.Version != 0 {
		c.lastWriteAt = now
		return Write{Lease: c.nextLease(c.view.Lease.Term), IfVersion: c.view.Version}
	}
	if c.view.Version == 0 || now.Sub(c.view.SeenAt) > c.view.Lease.Duration {
		c.lastWriteAt = now
		return Write{Lease: c.nextLease(c.view.Lease.Term + 1), IfVersion: c.view.Version}
	}
	return Read{}
}

// nextLease returns the lease that the candidate writes under the given term.
func (c *LeaseCandidate) nextLease(term uint64) Lease {
	return Lease{Holder: c.Name, Term: term, Duration: c.Duration}
}

// Observe records the state of the lease object returned by a call that ended at ended. A
// holder counts the duration of its lease from the start of its write, all other candidates
// from the end of the call that first returned the version. The lease therefore expires for
// its holder before another candidate can take it over. Reading its own lease
// again does not extend it.
func (c *LeaseCandidate) Observe(l Lease, version uint64, ended time.Time) {
	if version != 0 && version <= c.view.Version {
		c.viewValid = c.viewValid || version == c.view.Version
		return
	}
	c.viewValid = true
	c.view = leaseView{Lease: l, Version: version, SeenAt: ended}
	c.heldUntil = time.Time{}
	if l.Holder == c.Name && version != 0 {
		c.heldUntil = c.lastWriteAt.Add(l.Duration)
	}
}

// CallFailed records that a call failed without a response. A write may have taken effect
// nevertheless, so the object is read before the next write.
func (c *LeaseCandidate) CallFailed() { c.viewValid = false }

// Term returns the fencing token of the lease and whether the candidate holds the lease at
// now. The lease expires by the holder's own clock, counted from the start of its last
// successful write.
func (c *LeaseCandidate) Term(now time.Time) (uint64, bool) {
	if now.Before(c.heldUntil) {
		return c.view.Lease.Term, true
	}
	return 0, false
}
