package upstream

import (
	"fmt"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// evacuating returns poolConfig with evacuated failure domains.
func evacuating(domains ...fleet.FailureDomain) PoolConfig {
	c := poolConfig
	c.Evacuated = domainSet(domains...)
	return c
}

func domainSet(domains ...fleet.FailureDomain) map[fleet.FailureDomain]bool {
	out := map[fleet.FailureDomain]bool{}
	for _, d := range domains {
		out[d] = true
	}
	return out
}

// chosen returns how often each upstream is chosen for n requests, those that get none left
// out, with the requests that no upstream may serve under "".
func chosen(p *Pool, n int, q PoolQuery, now time.Time) map[string]int {
	out := map[string]int{}
	for range n {
		out[chooseID(p, q, now)]++
	}
	return out
}

// TestEvacuatedDomainGetsNoRequest guards against any request that goes to a failure domain
// that is being emptied: a first attempt, a retry that has no other upstream left, the probe
// of an ejected upstream, and that of a domain that was unreachable. Requests that run there
// count as outstanding until they end.
func TestEvacuatedDomainGetsNoRequest(t *testing.T) {
	is := is.New(t)
	p := newTestPool(ungroupedUpstreams(3))
	before := chosen(p, 9, PoolQuery{}, testNow)
	is.Equal(before["u0"], 3)
	p.RecordOutcome("u0", Unreachable, 0, testNow) // ejected
	p.Configure(ungroupedUpstreams(3), evacuating("d0"), testNow)
	now := testNow.Add(time.Minute) // the ejection is over
	is.Equal(chosen(p, 20, PoolQuery{}, now)["u0"], 0)
	is.Equal(chosen(p, 5, PoolQuery{Exclude: []string{"u1", "u2"}}, now), map[string]int{"": 5})
	state := p.State(now)[0]
	is.True(state.Evacuated)
	is.Equal(state.Outstanding, 2)
	for range maxConnectTimeouts {
		p.RecordOutcome("u0", ConnectTimeout, 0, now)
	}
	now = now.Add(domainProbeInterval)
	is.Equal(chosen(p, 20, PoolQuery{}, now)["u0"], 0)
	p.Configure(ungroupedUpstreams(3), poolConfig, now)
	is.True(chosen(p, 20, PoolQuery{}, now.Add(time.Minute))["u0"] > 0)
}

// TestGroupWithEvacuatedRanksTakesRequestsAtOthers guards against a group that gets no
// requests because some of its ranks are in an evacuated domain, and against a probe of the
// stalled group that is sent to one of these ranks.
func TestGroupWithEvacuatedRanksTakesRequestsAtOthers(t *testing.T) {
	is := is.New(t)
	upstreams := groupedUpstreams(4) // g0 has u0 to u3
	p := newTestPool(upstreams)
	p.Configure(upstreams, evacuating("d0", "d1"), testNow)
	got := chosen(p, 24, PoolQuery{}, testNow)
	is.Equal(got["u0"]+got["u1"], 0)
	is.Equal(got["u2"]+got["u3"], 12) // half of the requests, as before
	p.RecordOutcome("u2", GroupStalled, 0, testNow)
	for i := range 10 {
		now := testNow.Add(time.Duration(i+1) * groupProbeInterval)
		got := chosen(p, 10, PoolQuery{Exclude: []string{"u4", "u5", "u6", "u7"}}, now)
		is.Equal(got["u0"]+got["u1"], 0)
		p.RecordOutcome("u2", GroupStalled, 0, now)
	}
}

// TestServiceWithAllDomainsEvacuatedIsUnavailable guards against requests that are held for
// upstreams that get none, and against a time to come back that ends before the evacuation
// can: the outage grows as long as it lasts. An upstream that asked for fewer requests must
// not name the time.
func TestServiceWithAllDomainsEvacuatedIsUnavailable(t *testing.T) {
	is := is.New(t)
	upstreams := groupedUpstreams(2)
	p := newTestPool(upstreams)
	is.Equal(chooseID(p, PoolQuery{}, testNow), "u0")
	p.RecordOutcome("u0", Answered, time.Millisecond, testNow)
	p.RecordAdvice(upstreams[1].Incarnation(), Advice{RetryAfter: 10 * time.Second}, testNow, testNow)
	p.Configure(upstreams, evacuating("d0", "d1", "d2", "d3"), testNow)
	now := testNow.Add(7 * time.Second)
	is.Equal(chooseID(p, PoolQuery{}, now), "")
	is.Equal(p.Outage(now), 7*time.Second)
	_, held := p.HeldUntil(PoolQuery{}, now)
	is.True(!held)
	is.True(!p.Alternative("g0", now))
	p.Configure(upstreams, evacuating("d0", "d1"), now)
	is.Equal(p.Outage(now), time.Duration(0))
	is.True(p.Alternative("g0", now))
}

// TestEvacuatedUpstreamsAreNoReserve guards against ejecting most of the upstreams that are
// left because those of evacuated domains, which cannot take over, are counted as sound.
func TestEvacuatedUpstreamsAreNoReserve(t *testing.T) {
	is := is.New(t)
	p := newTestPool(ungroupedUpstreams(8))
	p.Configure(ungroupedUpstreams(8), evacuating("d0", "d1", "d2", "d3"), testNow)
	for i := range 4 {
		for range poolConfig.EjectionFailures {
			p.RecordOutcome(fmt.Sprint("u", 4+i), UpstreamError, 0, testNow)
		}
	}
	ejected := 0
	for _, m := range p.State(testNow) {
		if m.Ejected {
			ejected++
		}
	}
	is.Equal(ejected, 2) // half of those left
}

// TestEvacuationsOutliveOlderCopyOfStore guards against requests to a failure domain whose
// evacuation a store has lost that came back from an older copy, and against one that never
// ends because it was removed only from what was lost.
func TestEvacuationsOutliveOlderCopyOfStore(t *testing.T) {
	const hold = 5 * time.Second
	is := is.New(t)
	e := NewEvacuations(hold)
	inForce := func(after time.Duration) map[fleet.FailureDomain]bool {
		domains, _ := e.InForce(testNow.Add(after))
		return domains
	}
	e.UpdateList(domainSet("d0", "d1"), 1, testNow)
	is.Equal(len(e.UpdateList(domainSet("d0", "d1", "d2"), 1, testNow)), 0)
	e.UpdateList(domainSet("d0", "d1"), 1, testNow)
	is.Equal(inForce(0), domainSet("d0", "d1")) // the end of an evacuation counts at once
	is.Equal(e.UpdateList(domainSet("d2"), 2, testNow), []fleet.FailureDomain{"d0", "d1"})
	is.Equal(inForce(0), domainSet("d0", "d1", "d2"))
	e.UpdateList(domainSet("d2", "d0"), 2, testNow.Add(time.Second)) // written again
	is.Equal(inForce(hold-1), domainSet("d0", "d1", "d2"))
	_, next := e.InForce(testNow)
	is.Equal(next, testNow.Add(hold))
	is.Equal(inForce(hold), domainSet("d0", "d2"))
	e.UpdateList(domainSet(), 2, testNow.Add(hold))
	is.Equal(inForce(hold), domainSet())
}
