package upstream

import "time"

// reachability tracks whether a process can connect to one failure domain. While a
// domain is unreachable, for example because of a network partition, its upstreams get
// only a probe request per interval: otherwise each request would wait for a connection
// timeout at one upstream after the other.
type reachability struct {
	// connectTimeouts is the number of consecutive connection timeouts without any
	// response from an upstream of the domain.
	connectTimeouts int
	// nextProbeAt is when the next request may probe an unreachable domain.
	nextProbeAt time.Time
}

const (
	// maxConnectTimeouts is the number of consecutive connection timeouts from which
	// on a domain counts as unreachable. A single instance that lost power causes
	// one or two before it is ejected.
	maxConnectTimeouts = 3
	// domainProbeInterval is the time between two probes of an unreachable domain.
	// Each of them may wait for a full connection timeout.
	domainProbeInterval = time.Second
)

// reachabilityOf returns the reachability of m's failure domain.
func (p *Pool) reachabilityOf(m *member) *reachability {
	r := p.reachability[m.FailureDomain]
	if r == nil {
		r = &reachability{}
		p.reachability[m.FailureDomain] = r
	}
	return r
}

// blocked reports whether the domain is unreachable and not due for a probe at now.
func (r *reachability) blocked(now time.Time) bool {
	return r.connectTimeouts >= maxConnectTimeouts && now.Before(r.nextProbeAt)
}

// recordStart records that a request is sent to the domain. If the domain is
// unreachable, the request is a probe.
func (r *reachability) recordStart(now time.Time) {
	if r.connectTimeouts >= maxConnectTimeouts {
		r.nextProbeAt = now.Add(domainProbeInterval)
	}
}

// recordOutcome records how a request to the domain ended. Each timeout in an unreachable
// domain defers the next probe, also that of a request sent before it became unreachable.
func (r *reachability) recordOutcome(o PoolOutcome, now time.Time) {
	switch o {
	case ConnectTimeout:
		r.connectTimeouts++
		r.recordStart(now)
	case CallerLeft:
		// The outcome says nothing about the domain.
	default:
		r.connectTimeouts = 0
	}
}
