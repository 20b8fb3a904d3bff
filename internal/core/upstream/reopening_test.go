package upstream

import (
	"slices"
	"testing"
	"time"

	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// waitUntil returns a wait of a caller that arrives at testNow, for the given time.
func waitUntil(d time.Duration, priority, routePriority int) Wait {
	return Wait{Urgency: service.Urgency{Account: priority, Route: routePriority}, ArrivedAt: testNow, Until: testNow.Add(d)}
}

// TestWaitingCallersLeaveMostUrgentFirst guards against the release of all waiting callers at
// once, in another order than that of their urgency, or after their wait.
func TestWaitingCallersLeaveMostUrgentFirst(t *testing.T) {
	is := is.New(t)
	q := NewReopeningQueue(0)
	open := testNow.Add(time.Second)
	var o Outages
	add := func(c Wait) *Waiter { return q.Add(c, Stalled, &o, testNow) }
	least := add(waitUntil(2*time.Second, 2, 0))
	hasty := add(waitUntil(time.Second+100*time.Millisecond, 9, 9))
	second := add(waitUntil(2*time.Second, 1, 0))
	first := add(waitUntil(2*time.Second, 0, 3))
	for _, w := range []*Waiter{least, hasty, second, first} {
		is.Equal(q.Poll(w, Stalled, open), StillWaiting)
	}
	var released []*Waiter
	var after []time.Duration
	for at := time.Duration(0); at < releaseTime; at += 10 * time.Millisecond {
		for _, w := range slices.Clone(q.waiting) {
			if q.Poll(w, Available, open.Add(at)) == Released {
				released, after = append(released, w), append(after, at)
			}
		}
	}
	is.Equal(released, []*Waiter{first, hasty, second, least})
	is.Equal(after, []time.Duration{0, 100 * time.Millisecond, releaseTime / 4, releaseTime / 2})
	is.Equal(q.Len(), 0)
}

// TestWhoMayWait guards against callers that wait without an outage, or in vain although it is
// known that the outage outlasts them.
func TestWhoMayWait(t *testing.T) {
	is := is.New(t)
	q := NewReopeningQueue(0)
	o, now := outagesOf(ListedBroken, 6*time.Second, 7*time.Second, 8*time.Second)
	o.Record(Stalled, ListedBroken, now)
	wait := func(at time.Time) Wait {
		return Wait{ArrivedAt: at, Until: at.Add(1600 * time.Millisecond), EndsBy: at.Add(8 * time.Second)}
	}
	is.True(q.Add(wait(now), Available, o, now) == nil)
	is.True(q.Add(wait(now), Stalled, o, now) == nil) // no such outage ended within two seconds
	later := now.Add(5 * time.Second)
	is.True(q.Add(wait(later), Stalled, o, later) != nil)
	q.Limit(later, later)
	is.True(q.Add(wait(later), Stalled, o, later) == nil) // this process stops
}

// TestPlacesOfWaitingCallersAreLimited guards against an unlimited number of waiting callers, and
// against urgent ones that are refused while others wait.
func TestPlacesOfWaitingCallersAreLimited(t *testing.T) {
	is := is.New(t)
	q := NewReopeningQueue(0)
	var o Outages
	add := func(n, priority int) *Waiter {
		c := waitUntil(time.Second, priority, 5)
		c.ArrivedAt = testNow.Add(time.Duration(n) * time.Millisecond)
		return q.Add(c, Stalled, &o, testNow)
	}
	var last *Waiter
	for n := range maxWaiting {
		last = add(n, 5)
	}
	is.True(add(maxWaiting, 5) == nil)
	is.True(add(maxWaiting, 0) != nil)
	is.Equal(q.Len(), maxWaiting)
	is.Equal(q.Poll(last, Stalled, testNow), Displaced)
}

// TestWaitEnds checks how a wait ends while the group is down: by its time, by the limit of a
// process that stops, and by a probe.
func TestWaitEnds(t *testing.T) {
	is := is.New(t)
	q := NewReopeningQueue(0)
	var o Outages
	w := q.Add(waitUntil(time.Second, 0, 0), Stalled, &o, testNow)
	is.Equal(q.Poll(w, ProbeDue, testNow), StillWaiting) // it must not probe
	is.Equal(q.Poll(w, Stalled, testNow.Add(time.Second)), Expired)
	prober := waitUntil(2*time.Second, 0, 0)
	prober.MayProbe = true
	w = q.Add(prober, Stalled, &o, testNow)
	is.Equal(q.Poll(w, ProbeDue, testNow.Add(900*time.Millisecond)), StillWaiting)
	is.Equal(q.Poll(w, Stalled, testNow.Add(time.Second)), StillWaiting)
	is.Equal(q.Poll(w, ProbeDue, testNow.Add(time.Second)), Probing)
	is.Equal(q.Len(), 0)
	prober.EndsBy = testNow.Add(8 * time.Second)
	w = q.Add(prober, Stalled, &o, testNow)
	prober.EndsBy = testNow.Add(7 * time.Second)
	short := q.Add(prober, Stalled, &o, testNow)
	q.Limit(testNow.Add(500*time.Millisecond), testNow.Add(7*time.Second))
	is.Equal(q.Poll(w, Stalled, testNow.Add(499*time.Millisecond)), StillWaiting)
	is.Equal(q.Poll(w, Stalled, testNow.Add(500*time.Millisecond)), Expired)
	is.Equal(q.Poll(short, Stalled, testNow.Add(1999*time.Millisecond)), StillWaiting) // it ends in time
	is.Equal(q.Poll(short, Stalled, testNow.Add(2*time.Second)), Expired)
}
