package admission

import "time"

// Returns tells requests that return after a refusal from new ones, by the time that their
// callers have left: callers of a route usually start with the same. It is not safe for
// concurrent use.
type Returns struct{ byRoute map[string]budget }

// budget is the longest time that a route's callers had left, and when one last had about
// that much.
type budget struct {
	longest time.Duration
	at      time.Time
}

// Parameters of the recognition of returning requests.
const (
	// returnShare is the fraction of the longest time below which a caller has used a part
	// of its time.
	returnShare = 0.95
	// budgetWindow is the time after which the longest time is forgotten.
	budgetWindow = 10 * time.Second
	// maxRoutes is the maximum number of routes for which a time is kept.
	maxRoutes = 4096
)

// Returning records the time that the caller of a request to the named route has left, 0 if
// it is not known, and reports whether the request was probably refused before.
func (r *Returns) Returning(route string, left time.Duration, now time.Time) bool {
	if left <= 0 {
		return false
	}
	if r.byRoute == nil || len(r.byRoute) > maxRoutes {
		r.byRoute = map[string]budget{}
	}
	b := r.byRoute[route]
	if now.Sub(b.at) > budgetWindow {
		b = budget{}
	}
	threshold := time.Duration(returnShare * float64(b.longest))
	if left < threshold {
		return true
	}
	r.byRoute[route] = budget{max(left, b.longest), now}
	return false
}
