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

// advice is the latest advice of one incarnation of an upstream.
type advice struct {
	Advice
	// namedAt is when a response last named the limit.
	namedAt time.Time
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
		a.Advice, a.namedAt = next, now
	case before.Limited && sent.After(a.namedAt):
		a.Advice = Advice{}
	}
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
	m := p.byID[of.ID]
	if m == nil || m.Incarnation() != of {
		return AdviceUnchanged
	}
	return m.advice.record(next, sent, now)
}
