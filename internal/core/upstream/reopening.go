package upstream

import (
	"cmp"
	"slices"
	"time"

	"bramleydeal/internal/world/service"
)

// ReopeningQueue holds callers that wait for the groups of a service to run requests again.
type ReopeningQueue struct {
	waiting []*Waiter // most urgent first
	// sendBy and endBy limit the waits at a process that stops, zero if it stays.
	sendBy, endBy time.Time
	// released is set once the waiting callers have their turns.
	released bool
	// phase, in [0, 1), spreads the first turns of several processes.
	phase float64
}

// Limits of a ReopeningQueue.
const (
	// maxWaiting is the number of callers that may wait for one service.
	maxWaiting = 128
	// releaseTime is the time over which waiting callers are released, so that they do not
	// fill the queues of the upstreams at once. One whose wait ends before its turn is
	// released then.
	releaseTime = 800 * time.Millisecond
)

// Wait describes a caller that would wait.
type Wait struct {
	Urgency service.Urgency
	// ArrivedAt is when the request arrived, Until the time until which it may wait.
	ArrivedAt, Until time.Time
	// EndsBy is the time by which the request has ended.
	EndsBy time.Time
	// MayProbe allows its use as a probe: it can be sent again if it is declined.
	MayProbe bool
}

// Waiter is a caller that waits.
type Waiter struct {
	Wait
	turnAt    time.Time
	displaced bool
}

// Turn is what a waiting caller does next.
type Turn int

// The turns of a waiting caller.
const (
	// StillWaiting means that the caller waits on.
	StillWaiting Turn = iota
	// Released means that a group runs requests again and the caller's is sent.
	Released
	// Probing means that the request is sent as the probe of a group.
	Probing
	// Expired means that the caller has waited for as long as it may.
	Expired
	// Displaced means that more urgent callers took the places.
	Displaced
	// NotWaiting means that the caller was not taken into the queue.
	NotWaiting
	turns
)

var turnNames = [turns]string{"caller-left", "released", "probed", "expired", "displaced", "not-waiting"}

// String returns the name of the turn in logs and metrics. A wait that ends with StillWaiting
// is one whose caller has left.
func (t Turn) String() string { return turnNames[t] }

// NewReopeningQueue returns an empty queue. phase, in [0, 1), differs between processes.
func NewReopeningQueue(phase float64) *ReopeningQueue { return &ReopeningQueue{phase: phase} }

// Add adds a caller at now and returns it. It returns nil if the caller must not wait: there
// is no outage, all places are taken by callers at least as urgent, or the outage is known
// to last longer than the caller may wait.
func (q *ReopeningQueue) Add(c Wait, a Availability, o *Outages, now time.Time) *Waiter {
	until := q.until(c)
	if a == Available || !until.After(now) {
		return nil
	}
	if least, _, known := o.Remaining(now); known && now.Add(least).After(until) {
		return nil
	}
	w := &Waiter{Wait: c}
	at, _ := slices.BinarySearchFunc(q.waiting, w, compareWaiters)
	q.waiting = slices.Insert(q.waiting, at, w)
	if len(q.waiting) > maxWaiting {
		last := q.waiting[maxWaiting]
		q.Remove(last)
		if last == w {
			return nil
		}
		last.displaced = true
	}
	return w
}

func compareWaiters(a, b *Waiter) int {
	return cmp.Or(a.Urgency.Compare(b.Urgency), a.ArrivedAt.Compare(b.ArrivedAt))
}

// Remove removes a caller. It does nothing if it was removed before.
func (q *ReopeningQueue) Remove(w *Waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Waiter) bool { return o == w })
}

// Limit makes no caller wait longer than until sendBy whose request may last beyond endBy.
func (q *ReopeningQueue) Limit(sendBy, endBy time.Time) { q.sendBy, q.endBy = sendBy, endBy }

// Len returns the number of waiting callers.
func (q *ReopeningQueue) Len() int { return len(q.waiting) }

// until returns the time until which a caller may wait.
func (q *ReopeningQueue) until(c Wait) time.Time {
	if !q.endBy.IsZero() && c.EndsBy.After(q.endBy) && q.sendBy.Before(c.Until) {
		return q.sendBy
	}
	return c.Until
}

// Poll returns the turn of a waiting caller at now, and removes the caller unless it waits on.
func (q *ReopeningQueue) Poll(w *Waiter, a Availability, now time.Time) Turn {
	t := q.turn(w, a, now)
	if t != StillWaiting {
		q.Remove(w)
	}
	return t
}

func (q *ReopeningQueue) turn(w *Waiter, a Availability, now time.Time) Turn {
	if w.displaced {
		return Displaced
	}
	expired := !now.Before(q.until(w.Wait))
	if a == Available {
		q.release(now)
		if expired || !now.Before(w.turnAt) {
			return Released
		}
		return StillWaiting
	}
	q.released = false
	switch {
	case expired:
		return Expired
	case a == ProbeDue && q.prober(now) == w:
		return Probing
	}
	return StillWaiting
}

// release gives each waiting caller its turn, unless that was done before.
func (q *ReopeningQueue) release(now time.Time) {
	if q.released {
		return
	}
	q.released = true
	gap := releaseTime / time.Duration(max(len(q.waiting), 1))
	for n, w := range q.waiting {
		w.turnAt = now.Add(time.Duration((float64(n) + q.phase) * float64(gap)))
	}
}

// prober returns the caller whose request may be the next probe: the most urgent of those that
// may and that have waited for half of their time. Requests that need not wait are probes too,
// and a declined probe uses an attempt. It returns nil if there is none.
func (q *ReopeningQueue) prober(now time.Time) *Waiter {
	for _, w := range q.waiting {
		if w.MayProbe && now.Sub(w.ArrivedAt) >= w.Until.Sub(w.ArrivedAt)/2 {
			return w
		}
	}
	return nil
}
