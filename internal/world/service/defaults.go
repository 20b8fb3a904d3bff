package service

import "time"

// DefaultTimeout is the timeout of a request if neither the route nor the caller sets
// one.
const DefaultTimeout = time.Minute

// DefaultLimits are the limits that apply where the configuration sets none. IdleTimeout
// is longer than the time for which callers keep unused connections, so that no connection
// is closed while a request is in transit on it.
var DefaultLimits = Limits{HeaderBytes: 64 << 10, BodyBytes: 4 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}

// Effective returns the limits with defaults for those that are not set.
func (l Limits) Effective() Limits {
	return Limits{
		HeaderBytes: orDefault(l.HeaderBytes, DefaultLimits.HeaderBytes), BodyBytes: orDefault(l.BodyBytes, DefaultLimits.BodyBytes),
		HeaderTimeout: orDefault(l.HeaderTimeout, DefaultLimits.HeaderTimeout), IdleTimeout: orDefault(l.IdleTimeout, DefaultLimits.IdleTimeout),
	}
}

// EffectiveTimeout returns the route's timeout, or DefaultTimeout if it has none.
func (r *Route) EffectiveTimeout() time.Duration { return orDefault(r.Timeout, DefaultTimeout) }

// Callers abandon a stream without events after the longest of these times.
const (
	minPatience             = 2 * time.Second
	patienceLatencyMultiple = 4
	patienceGapMultiple     = 8
)

// Patience returns the time after which callers abandon a stream of the route that has no
// event, the first one included.
func (r *Route) Patience() time.Duration {
	return max(minPatience, patienceLatencyMultiple*r.LatencyTarget, patienceGapMultiple*r.MaxGap)
}

// orDefault returns v, or fallback if v is 0 or less.
func orDefault[T int64 | time.Duration](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}
