package service

import (
	"cmp"
	"slices"
)

// Urgency is how urgent a request is. The priority of its client account counts before
// that of its route; 0 is the most urgent of each.
type Urgency struct{ Account, Route int }

// Compare returns a negative number if u is more urgent than o, a positive one if it is
// less urgent, and 0 if they are equal.
func (u Urgency) Compare(o Urgency) int {
	return cmp.Or(cmp.Compare(u.Account, o.Account), cmp.Compare(u.Route, o.Route))
}

// Urgency returns the urgency of a request to a route by a client account, which is nil if
// the request has none.
func (r *Route) Urgency(a *Account) Urgency {
	if a == nil || a.Priority == nil {
		return Urgency{Account: r.Priority, Route: r.Priority}
	}
	return Urgency{Account: *a.Priority, Route: r.Priority}
}

// urgencies returns the levels of urgency that requests may have with a configuration, the
// most urgent first.
func urgencies(c *Configuration) []Urgency {
	levels := map[Urgency]bool{}
	for i := range c.Routes {
		levels[c.Routes[i].Urgency(nil)] = true
		for j := range c.Accounts {
			levels[c.Routes[i].Urgency(&c.Accounts[j])] = true
		}
	}
	out := make([]Urgency, 0, len(levels))
	for u := range levels {
		out = append(out, u)
	}
	slices.SortFunc(out, Urgency.Compare)
	return out
}

// UrgencyRank returns the rank of a request's urgency among the levels of urgency that the
// configuration has, from 0 for the most urgent to limit-1, and whether there are several.
func (v *View) UrgencyRank(u Urgency, limit int) (rank int, several bool) {
	i, _ := slices.BinarySearchFunc(v.urgencies, u, Urgency.Compare)
	if n := len(v.urgencies); n > limit {
		return min(i*limit/n, limit-1), true
	}
	return min(i, limit-1), len(v.urgencies) > 1
}
