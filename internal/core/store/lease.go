package store

import "time"

// Lease is the value of a lease object. Term is the fencing number: it rises
// with each change of holder and never falls.
type Lease struct {
	Holder   string        `json:"holder"`
	Term     uint64        `json:"term"`
	Duration time.Duration `json:"duration-nanoseconds"`
}

// leaseView is what one process knows of a lease object.
type leaseView struct {
	Lease Lease
	// Version is the object's version, 0 when the object does not exist.
	Version uint64
	// SeenAt is when the call that returned Version ended.
	SeenAt time.Time
}

// Candidate decides when a process tries to take or renew a lease. Time is
// the process's own monotonic clock: the lease is taken from another holder
// only after the object has not changed for the lease's whole duration, so no
// two clocks are ever compared.
type LeaseCandidate struct {
	Name     string
	Duration time.Duration

	view         leaseView
	viewValid    bool
	heldUntil    time.Time
	lastWriteAt  time.Time
	lastActionAt time.Time
}

// LeaseAction is what a Candidate asks its driver to do.
type LeaseAction interface{ leaseAction() }

// Read asks for the lease object to be read.
type Read struct{}

// Write asks for a conditional update of the lease object.
type Write struct {
	Lease     Lease
	IfVersion uint64
}

// Wait asks for nothing before the next tick.
type Wait struct{}

func (Read) leaseAction()  {}
func (Write) leaseAction() {}
func (Wait) leaseAction()  {}

// renewFraction is the part of the duration after which a holder renews.
const renewalsPerDuration = 3

// Tick returns the action due at now.
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

func (c *LeaseCandidate) nextLease(term uint64) Lease {
	return Lease{Holder: c.Name, Term: term, Duration: c.Duration}
}

// Observed records the state of the object that a call returned, which ended at
// ended. A holder counts its time from the start of its write, everybody else
// from the end of the call that showed the version first, so that the two never
// overlap. Seeing the own lease again renews nothing.
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

// Failed records that a call gave no answer. A write may have taken effect all
// the same, so the object is read before it is written again.
func (c *LeaseCandidate) CallFailed() { c.viewValid = false }

// Term returns the fencing number while the lease is held at now. Holding ends
// by the holder's own clock, counted from before the call that took it.
func (c *LeaseCandidate) Term(now time.Time) (uint64, bool) {
	if now.Before(c.heldUntil) {
		return c.view.Lease.Term, true
	}
	return 0, false
}
