package upstream

import (
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// newTwoDomainPool returns a pool with four upstreams in each of two failure domains.
func newTwoDomainPool() *Pool {
	members := ungroupedUpstreams(8)
	for i := range members {
		members[i].FailureDomain = []fleet.FailureDomain{"north", "south"}[i/4]
	}
	return newTestPool(members)
}

// TestPoolProbesUnreachableDomainOncePerInterval guards against requests that wait for
// a connection timeout at one upstream after the other of an unreachable failure domain.
func TestPoolProbesUnreachableDomainOncePerInterval(t *testing.T) {
	is := is.New(t)
	p := newTwoDomainPool()
	north := PoolQuery{Exclude: []string{"u4", "u5", "u6", "u7"}}
	now := testNow
	for range maxConnectTimeouts {
		u := chooseID(p, north, now)
		is.True(u != "")
		now = now.Add(400 * time.Millisecond)
		p.RecordOutcome(u, ConnectTimeout, 0, now)
	}
	is.Equal(chooseID(p, north, now), "") // though one of its upstreams was never tried
	is.True(chooseID(p, PoolQuery{}, now) != "")

	now = now.Add(domainProbeInterval)
	probe := chooseID(p, north, now)
	is.True(probe != "")
	is.Equal(chooseID(p, north, now), "") // one probe per interval
	p.RecordOutcome(probe, ConnectTimeout, 0, now.Add(400*time.Millisecond))
	is.Equal(chooseID(p, north, now.Add(400*time.Millisecond)), "")

	now = now.Add(3 * domainProbeInterval)
	probe = chooseID(p, north, now)
	p.RecordOutcome(probe, Answered, 100*time.Millisecond, now)
	is.True(chooseID(p, north, now) != "") // the domain is reachable again
	is.True(chooseID(p, north, now) != "")
}

func TestDomainStaysReachableWhileAnyUpstreamResponds(t *testing.T) {
	for name, outcome := range map[string]PoolOutcome{
		"response": Answered, "refused connection": Unreachable, "rejection": Rejected, "stalled group": GroupStalled,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTwoDomainPool()
			for range maxConnectTimeouts - 1 {
				p.RecordOutcome("u0", ConnectTimeout, 0, testNow)
			}
			p.RecordOutcome("u1", outcome, time.Millisecond, testNow)
			p.RecordOutcome("u2", ConnectTimeout, 0, testNow)
			is.True(chooseID(p, PoolQuery{Exclude: []string{"u4", "u5", "u6", "u7"}}, testNow) != "")
		})
	}
}
