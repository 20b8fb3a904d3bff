package upstream

import (
	"time"

	"bramleydeal/internal/world/service"
)

// Advice is what an upstream says in a response about the requests that it takes. It
// holds until a response to a later request says something else.
type Advice struct {
	// Limited is set if the upstream limits the requests that it takes, to Limit
	// requests per second from all processes together.
	Limited bool
	Limit   float64
	// Malformed holds a limit that cannot be read, empty if there is none. The advice
	// before it stays in effect.
	Malformed string
}

// AdviceChange says how a response changed what is known of an upstream.
type AdviceChange int

// The changes of what is known of an upstream's advice.
const (
	AdviceUnchanged AdviceChange = iota
	LimitNamed
	LimitChanged
	LimitLifted
	LimitMalformed
)

// liftedNewsTime is the time for which peers are told that a limit was lifted.
const liftedNewsTime = time.Minute

// advice is the latest advice of one incarnation of an upstream.
type advice struct {
	Advice
	// at is the time as of which the limit was last named or lifted, zero if it never
	// was.
	at time.Time
}

// record records the advice in a response to a request sent at sent. A response that
// names no limit lifts one only if its request was sent after the limit was last named:
// responses on several connections overtake each other.
func (a *advice) record(next Advice, sent, now time.Time) AdviceChange {
	before := a.Advice
	switch {
	case next.Malformed != "":
		return LimitMalformed
	case next.Limited:
		a.Advice, a.at = next, now
	case before.Limited && sent.After(a.at):
		a.Advice, a.at = Advice{}, sent
	}
	return a.changeFrom(before)
}

// changeFrom returns the change from the advice before to that of a.
func (a *advice) changeFrom(before Advice) AdviceChange {
	switch {
	case a.Limited && !before.Limited:
		return LimitNamed
	case before.Limited && !a.Limited:
		return LimitLifted
	case a.Limit != before.Limit:
		return LimitChanged
	}
	return AdviceUnchanged
}

// RecordAdvice records the advice in a response of an upstream to a request sent at
// sent. It reports how that changed what is known. The advice of an incarnation that is
// not in the pool is ignored.
func (p *Pool) RecordAdvice(of service.Incarnation, next Advice, sent, now time.Time) AdviceChange {
	m := p.incarnation(of)
	if m == nil {
		return AdviceUnchanged
	}
	change := m.advice.record(next, sent, now)
	if change == LimitNamed || change == LimitChanged {
		p.updateShare(m)
	}
	return change
}

// News is what a process tells its peers of an upstream's limit.
type News struct {
	Of     service.Incarnation
	Advice Advice
	// At is the time as of which the upstream said so.
	At time.Time
}

// News returns what is known at now of the upstreams that limit their requests, and of
// those that did so lately.
func (p *Pool) News(now time.Time) []News {
	var out []News
	for _, m := range p.members {
		if a := m.advice; !a.at.IsZero() && (a.Limited || now.Sub(a.at) < liftedNewsTime) {
			out = append(out, News{m.Incarnation(), a.Advice, a.at})
		}
	}
	return out
}

// RecordNews records what a peer knows of an upstream, unless this process knows
// something later. It reports how that changed what is known.
func (p *Pool) RecordNews(n News) AdviceChange {
	m := p.incarnation(n.Of)
	if m == nil || !n.At.After(m.advice.at) {
		return AdviceUnchanged
	}
	before := m.advice.Advice
	m.advice = advice{n.Advice, n.At}
	change := m.advice.changeFrom(before)
	if change == LimitNamed || change == LimitChanged {
		p.updateShare(m)
	}
	return change
}

// AgeAdvice makes all that is known of upstreams' limits older by d.
func (p *Pool) AgeAdvice(d time.Duration) {
	for _, m := range p.members {
		if !m.advice.at.IsZero() {
			m.advice.at = m.advice.at.Add(-d)
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
