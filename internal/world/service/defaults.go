package service

import "time"

// DefaultTimeout bounds a request whose route and caller name no time.
const DefaultTimeout = time.Minute

// DefaultLimits are in force where the configuration names none. Callers keep a
// connection that they do not use for less than Idle, so that none is closed on
// which a request is under way.
var DefaultLimits = Limits{HeaderBytes: 64 << 10, BodyBytes: 4 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}

// Effective returns the limits with the default for each that is not set.
func (l Limits) Effective() Limits {
	return Limits{
		HeaderBytes: orDefault(l.HeaderBytes, DefaultLimits.HeaderBytes), BodyBytes: orDefault(l.BodyBytes, DefaultLimits.BodyBytes),
		HeaderTimeout: orDefault(l.HeaderTimeout, DefaultLimits.HeaderTimeout), IdleTimeout: orDefault(l.IdleTimeout, DefaultLimits.IdleTimeout),
	}
}

// EffectiveTimeout returns the route's timeout, or the default where it has none.
func (r *Route) EffectiveTimeout() time.Duration { return orDefault(r.Timeout, DefaultTimeout) }

func orDefault[T int64 | time.Duration](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}
