package upstream

import "time"

// reach is what a process knows of its ways to one failure domain. Where the domain
// is cut off, each request would wait for a connection at one upstream after the
// other.
type reach struct {
	// silent counts the connections in a row that were not made in time, while
	// nothing came back from any upstream of the domain.
	silent int
	// closedUntil is when the next request may try a domain that is cut off.
	closedUntil time.Time
}

const (
	// cutOffAfter is how many connections in a row must stay silent. A single
	// instance without power accounts for one or two before it is ejected.
	cutOffAfter = 3
	// reachProbeInterval is the time between two requests that try a domain that
	// is cut off: each may wait for a whole connection timeout.
	reachProbeInterval = time.Second
)

func (p *Pool) reachOf(m *member) *reach {
	r := p.reach[m.FailureDomain]
	if r == nil {
		r = &reach{}
		p.reach[m.FailureDomain] = r
	}
	return r
}

// cut tells whether the domain is cut off and not to be tried at now.
func (r *reach) cut(now time.Time) bool {
	return r.silent >= cutOffAfter && now.Before(r.closedUntil)
}

// begin notes that a domain that is cut off is being tried.
func (r *reach) begin(now time.Time) {
	if r.silent >= cutOffAfter {
		r.closedUntil = now.Add(reachProbeInterval)
	}
}

// ended takes in how a request to the domain ended. What was under way when the
// domain was cut off ends silently as well.
func (r *reach) ended(o Outcome, now time.Time) {
	switch o {
	case ConnectTimeout:
		r.silent++
		r.begin(now)
	case CallerLeft:
		// It tells nothing.
	default:
		r.silent = 0
	}
}
