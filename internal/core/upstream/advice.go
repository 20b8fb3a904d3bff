package upstream

import (
	"time"

	"bramleydeal/internal/world/service"
)

// Advice is what an upstream says in a response about the requests that it takes.
type Advice struct {
	// Limited is set if the upstream limits the requests that it takes, to Limit
	// requests per second from all processes together. It holds until a response to a
	// later request says something else.
	Limited bool
	Limit   float64
	// Malformed holds a limit that cannot be read, empty if there is none. The limit
	// before it stays in effect.
	Malformed string
	// Leaving is set if the upstream is draining. It holds for the incarnation.
	Leaving bool
	// RetryAfter is the time for which the upstream wants no request of this process, 0
	// if it said nothing of it.
	RetryAfter time.Duration
	// ColdFor is how much longer the upstream is cold, 0 if it did not say that it is.
	ColdFor time.Duration
}

// AdviceChange says how a response changed what is known of an upstream.
type AdviceChange int

// The changes of what is known of an upstream's advice.
const (
	LimitNamed AdviceChange = iota
	LimitChanged
	LimitLifted
	LimitMalformed
	LeavingNamed
	SuspensionNamed
	// Ended means that the upstream has ended without notice.
	Ended
	// Reopened means that the upstream's group, which was stalled, runs requests again.
	Reopened
)

// liftedNewsTime is the time for which peers are told that a limit was lifted.
const liftedNewsTime = time.Minute

// advice is what one incarnation of an upstream said of the requests that it takes.
type advice struct {
	limited bool
	limit   float64
	// limitAt is the time as of which the limit was last named or lifted, zero if it
	// never was.
	limitAt time.Time
	leaving bool
	// suspendedUntil is the time until which this process must send no request.
	suspendedUntil time.Time
}

// record records the advice in a response to a request sent at sent, and returns what
// changed. A response that names no limit lifts one only if its request was sent after the
// limit was last named: responses on several connections overtake each other.
func (a *advice) record(next Advice, sent, now time.Time) []AdviceChange {
	var changes []AdviceChange
	switch {
	case next.Malformed != "":
		changes = append(changes, LimitMalformed)
	case next.Limited:
		changes = a.setLimit(true, next.Limit, now)
	case a.limited && sent.After(a.limitAt):
		changes = a.setLimit(false, 0, sent)
	}
	if next.Leaving && !a.leaving {
		a.leaving = true
		changes = append(changes, LeavingNamed)
	}
	if until := now.Add(next.RetryAfter); next.RetryAfter > 0 && until.After(a.suspendedUntil) {
		a.suspendedUntil = until
		changes = append(changes, SuspensionNamed)
	}
	return changes
}

// setLimit sets the limit as of a time and returns what changed.
func (a *advice) setLimit(limited bool, limit float64, at time.Time) []AdviceChange {
	before := *a
	a.limited, a.limit, a.limitAt = limited, limit, at
	switch {
	case limited && !before.limited:
		return []AdviceChange{LimitNamed}
	case before.limited && !limited:
		return []AdviceChange{LimitLifted}
	case limit != before.limit:
		return []AdviceChange{LimitChanged}
	}
	return nil
}

// RecordAdvice records the advice in a response of an upstream to a request sent at
// sent. It returns how that changed what is known. The advice of an incarnation that is
// not in the pool is ignored.
func (p *Pool) RecordAdvice(of service.Incarnation, next Advice, sent, now time.Time) []AdviceChange {
	m := p.incarnation(of)
	if m == nil {
		return nil
	}
	p.setCold(m, next.ColdFor, ColdAnswered, now)
	changes := m.advice.record(next, sent, now)
	if len(changes) > 0 {
		p.updateShare(m)
	}
	return changes
}

// heldUntil returns the time before which m must get no request of this process because
// of what it said, zero or a past time if it may get one.
func (m *member) heldUntil() time.Time {
	until := m.limitedUntil()
	for _, other := range []time.Time{m.advice.suspendedUntil, m.cold.heldUntil(m.sentAt)} {
		if other.After(until) {
			until = other
		}
	}
	return until
}

// HeldUntil returns the time at which the first upstream that is only kept from getting a
// request by what it said may get one: from this process, or from another one if this
// process has no share in its limit. It returns false if there is no such upstream.
func (p *Pool) HeldUntil(q PoolQuery, now time.Time) (time.Time, bool) {
	var first time.Time
	for _, m := range p.members {
		until := m.heldUntil()
		if !until.After(now) || p.eligibility(m, q, now) > lapsed || m.cold.away.After(now) {
			continue
		}
		if m.advice.limited && !m.share.sender {
			until = now.Add(limitInterval(1, m.advice.limit))
		}
		until = m.cold.nextShare(until, now)
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}

// News is what a process tells its peers of an upstream.
type News struct {
	Of      service.Incarnation
	Leaving bool
	// Limited, Limit and LimitAt tell of the upstream's limit and as of when it said so.
	// LimitAt is zero if it never named one.
	Limited bool
	Limit   float64
	LimitAt time.Time
	// EndedAt is when the incarnation ended without notice, zero if it is not known to have.
	EndedAt time.Time
}

// News returns what is known at now of the upstreams that are leaving, that limit their
// requests or did so lately, or that have ended.
func (p *Pool) News(now time.Time) []News {
	var out []News
	for _, m := range p.members {
		a := m.advice
		if a.leaving || a.limited || !a.limitAt.IsZero() && now.Sub(a.limitAt) < liftedNewsTime || !m.endedAt.IsZero() {
			out = append(out, News{m.Incarnation(), a.leaving, a.limited, a.limit, a.limitAt, m.endedAt})
		}
	}
	return out
}

// RecordNews records what a peer knows of an upstream, except for what this process knows
// as of a later time. It returns how that changed what is known at now.
func (p *Pool) RecordNews(n News, now time.Time) []AdviceChange {
	m := p.incarnation(n.Of)
	if m == nil {
		return nil
	}
	var changes []AdviceChange
	if n.LimitAt.After(m.advice.limitAt) {
		changes = m.advice.setLimit(n.Limited, n.Limit, n.LimitAt)
	}
	if n.Leaving && !m.advice.leaving {
		m.advice.leaving = true
		changes = append(changes, LeavingNamed)
	}
	if len(changes) > 0 {
		p.updateShare(m)
	}
	if !n.EndedAt.IsZero() && p.recordEnd(m, n.EndedAt, now) {
		changes = append(changes, Ended)
	}
	if !n.Limited && m.group.reopen(n.LimitAt) {
		p.trackOutage(now)
		changes = append(changes, Reopened)
	}
	return changes
}

// AgeAdvice makes all that is known of upstreams' limits, ends and loads older by d.
func (p *Pool) AgeAdvice(d time.Duration) {
	p.agePlacement(d)
	for _, m := range p.members {
		if !m.endedAt.IsZero() {
			m.endedAt = m.endedAt.Add(-d)
		}
		if !m.advice.limitAt.IsZero() {
			m.advice.limitAt = m.advice.limitAt.Add(-d)
		}
	}
}

// incarnation returns the member that is the given incarnation of an upstream, or nil.
func (p *Pool) incarnation(of service.Incarnation) *member {
	if m := p.byID[of.ID]; m != nil && m.Incarnation().Equal(of) {
		return m
	}
	return nil
}
