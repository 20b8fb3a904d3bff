package upstream

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

var poolConfig = PoolConfig{EjectionTime: time.Second, EjectionFailures: 3, EjectionErrorRate: 0.4, SlowFactor: 3}

// ungroupedUpstreams returns n upstreams without a group, each in a different failure
// domain.
func ungroupedUpstreams(n int) []service.Upstream {
	var out []service.Upstream
	for i := range n {
		out = append(out, service.Upstream{
			ID: fmt.Sprint("u", i), Service: "stock", Slots: 6, FailureDomain: fleet.FailureDomain(fmt.Sprint("d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 8000),
		})
	}
	return out
}

// groupedUpstreams returns the upstreams of two groups with the given number of ranks
// each.
func groupedUpstreams(ranks int) []service.Upstream {
	out := ungroupedUpstreams(2 * ranks)
	for i := range out {
		out[i].Membership = &service.Membership{Group: fmt.Sprint("g", i/ranks), Epoch: 1, Rank: i % ranks, Size: ranks}
	}
	return out
}

// newTestPool returns a pool in failure domain d0.
func newTestPool(upstreams []service.Upstream) *Pool {
	p := NewPool(1, "e0", "d0", poolConfig)
	p.Configure(upstreams, poolConfig, testNow)
	return p
}

var testNow = time.Unix(1000, 0)

// chooseID returns the ID of the chosen upstream, or "" if there is none.
func chooseID(p *Pool, q PoolQuery, now time.Time) string {
	u, ok := p.Choose(q, now)
	if !ok {
		return ""
	}
	return u.ID
}

func TestPoolBalancesRequestsAndPrefersOwnDomain(t *testing.T) {
	is := is.New(t)
	p := newTestPool(ungroupedUpstreams(3))
	is.Equal(chooseID(p, PoolQuery{}, testNow), "u0")
	seen := map[string]int{"u0": 1}
	for range 8 {
		seen[chooseID(p, PoolQuery{}, testNow)]++
	}
	is.Equal(seen, map[string]int{"u0": 3, "u1": 3, "u2": 3})
}

func TestPoolBalancesGroupsBeforeRanks(t *testing.T) {
	is := is.New(t)
	p := newTestPool(groupedUpstreams(4))
	perGroup := map[string]int{}
	perRank := map[string]int{}
	for range 16 {
		u, ok := p.Choose(PoolQuery{}, testNow)
		is.True(ok)
		perGroup[u.Membership.Group]++
		perRank[u.ID]++
	}
	is.Equal(perGroup, map[string]int{"g0": 8, "g1": 8})
	for _, n := range perRank {
		is.Equal(n, 2)
	}
}

func TestPoolSkipsLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	upstreams := ungroupedUpstreams(2)
	upstreams[0].Leaving = true
	p := newTestPool(upstreams)
	for range 5 {
		is.Equal(chooseID(p, PoolQuery{}, testNow), "u1")
	}
	is.Equal(chooseID(p, PoolQuery{Exclude: []string{"u1"}}, testNow), "")
}

func TestPoolUsesLapsedUpstreamsAsLastResort(t *testing.T) {
	is := is.New(t)
	upstreams := ungroupedUpstreams(2)
	upstreams[0].Lapsed = true
	p := newTestPool(upstreams)
	is.Equal(chooseID(p, PoolQuery{}, testNow), "u1")
	is.Equal(chooseID(p, PoolQuery{Exclude: []string{"u1"}}, testNow), "u0")
}

func TestPoolEjectsAfterConsecutiveFailuresAndProbesOnce(t *testing.T) {
	is := is.New(t)
	p := newTestPool(ungroupedUpstreams(3))
	for range poolConfig.EjectionFailures {
		p.RecordOutcome("u0", UpstreamError, 0, testNow)
	}
	is.True(chooseID(p, PoolQuery{Exclude: []string{"u1"}}, testNow) == "u2") // u0 is ejected
	later := testNow.Add(2 * poolConfig.EjectionTime)
	is.Equal(chooseID(p, PoolQuery{Exclude: []string{"u1", "u2"}}, later), "u0")
	is.True(chooseID(p, PoolQuery{Exclude: []string{"u1"}}, later) == "u2") // one probe at a time
	p.RecordOutcome("u0", Answered, time.Millisecond, later)
	is.Equal(chooseID(p, PoolQuery{Exclude: []string{"u1", "u2"}}, later), "u0")
}

func TestPoolEjectsOnErrorRate(t *testing.T) {
	is := is.New(t)
	p := newTestPool(ungroupedUpstreams(3))
	for i := range 12 {
		outcome := Answered
		if i%2 == 0 {
			outcome = UpstreamError // half of the requests, never consecutively
		}
		p.RecordOutcome("u1", outcome, 50*time.Millisecond, testNow)
	}
	for range 6 {
		is.True(chooseID(p, PoolQuery{}, testNow) != "u1")
	}
}

func TestPoolEjectsAtMostHalfForFailures(t *testing.T) {
	is := is.New(t)
	p := newTestPool(ungroupedUpstreams(3))
	for _, id := range []string{"u0", "u1", "u2"} {
		for range poolConfig.EjectionFailures {
			p.RecordOutcome(id, UpstreamError, 0, testNow)
		}
	}
	ejected := 0
	for _, s := range p.State(testNow) {
		if s.Ejected {
			ejected++
		}
	}
	is.Equal(ejected, 1)
}

func TestPoolProbesStalledGroupOncePerInterval(t *testing.T) {
	is := is.New(t)
	p := newTestPool(groupedUpstreams(2))
	p.RecordOutcome("u2", Answered, time.Millisecond, testNow)
	p.RecordOutcome("u0", GroupStalled, 0, testNow)
	for range 4 {
		u, ok := p.Choose(PoolQuery{}, testNow)
		is.True(ok)
		is.Equal(u.Membership.Group, "g1")
	}
	is.Equal(p.Outage(testNow), time.Duration(0))
	p.RecordOutcome("u2", GroupStalled, 0, testNow)
	is.Equal(chooseID(p, PoolQuery{}, testNow), "")
	probeAt := testNow.Add(groupProbeInterval)
	first, ok := p.Choose(PoolQuery{}, probeAt)
	is.True(ok)
	second, ok := p.Choose(PoolQuery{}, probeAt)
	is.True(ok)
	is.True(first.Membership.Group != second.Membership.Group) // one probe per group
	is.Equal(chooseID(p, PoolQuery{}, probeAt), "")
	is.Equal(p.Outage(probeAt), groupProbeInterval)
	p.RecordOutcome(first.ID, Answered, time.Millisecond, probeAt)
	is.True(chooseID(p, PoolQuery{}, probeAt) != "")
}

func TestPoolResetsGroupHealthWhenGroupReforms(t *testing.T) {
	is := is.New(t)
	upstreams := groupedUpstreams(2)[:2]
	p := newTestPool(upstreams)
	p.RecordOutcome("u0", GroupStalled, 0, testNow)
	is.Equal(chooseID(p, PoolQuery{}, testNow), "")
	for i := range upstreams {
		m := *upstreams[i].Membership
		m.Epoch++
		upstreams[i].Membership = &m
	}
	p.Configure(upstreams, poolConfig, testNow)
	is.True(chooseID(p, PoolQuery{}, testNow) != "")
}

// withGroupState returns copies of the upstreams with the given epoch and state of their
// group.
func withGroupState(upstreams []service.Upstream, epoch uint64, broken bool) []service.Upstream {
	out := slices.Clone(upstreams)
	for i := range out {
		m := *out[i].Membership
		m.Epoch, m.Broken = epoch, broken
		out[i].Membership = &m
	}
	return out
}

func TestPoolProbesBrokenGroupLessOften(t *testing.T) {
	is := is.New(t)
	upstreams := groupedUpstreams(2)[:2]
	p := newTestPool(upstreams)
	marked := withGroupState(upstreams[:1], 1, true) // only one rank marks the group as broken
	p.Configure(append(marked, upstreams[1]), poolConfig, testNow)
	is.Equal(chooseID(p, PoolQuery{}, testNow.Add(brokenGroupProbeInterval-1)), "")
	now := testNow.Add(brokenGroupProbeInterval)
	probe := chooseID(p, PoolQuery{}, now)
	is.True(probe != "") // the list may be outdated
	p.RecordOutcome(probe, GroupStalled, 0, now)
	is.Equal(chooseID(p, PoolQuery{}, now.Add(brokenGroupProbeInterval-1)), "")
	p.Configure(withGroupState(upstreams, 2, false), poolConfig, now)
	is.True(chooseID(p, PoolQuery{}, now) != "")
}

// TestPoolTrustsResponseOverList guards against an outdated list that keeps a group
// ejected although it responds again.
func TestPoolTrustsResponseOverList(t *testing.T) {
	is := is.New(t)
	upstreams := groupedUpstreams(2)[:2]
	p := newTestPool(upstreams)
	p.Configure(withGroupState(upstreams, 1, true), poolConfig, testNow)
	now := testNow.Add(brokenGroupProbeInterval)
	p.RecordOutcome(chooseID(p, PoolQuery{}, now), Answered, time.Millisecond, now)
	is.True(chooseID(p, PoolQuery{}, now) != "")
	p.Configure(withGroupState(upstreams, 1, true), poolConfig, now) // the same list again
	is.True(chooseID(p, PoolQuery{}, now) != "")
}

func TestPoolOutage(t *testing.T) {
	is := is.New(t)
	upstreams := groupedUpstreams(2)[:2]
	p := newTestPool(upstreams)
	is.Equal(p.Outage(testNow.Add(time.Hour)), time.Duration(0)) // idle since the first configuration
	for range minOutageFailures {
		p.RecordOutcome("u0", Unreachable, 0, testNow)
	}
	is.Equal(p.Outage(testNow.Add(time.Second)), time.Second)
	p.RecordOutcome("u1", Answered, 0, testNow.Add(2*time.Second))
	is.Equal(p.Outage(testNow.Add(3*time.Second)), time.Duration(0))
	p.RecordOutcome("u1", GroupStalled, 0, testNow.Add(3*time.Second))
	is.Equal(p.Outage(testNow.Add(3*time.Second)), time.Second) // no upstream is left; counted from the last success
	empty := NewPool(1, "e0", "d0", poolConfig)
	is.Equal(empty.Outage(testNow), time.Duration(0))
	empty.Configure(withGroupState(upstreams, 1, true), poolConfig, testNow)
	is.Equal(empty.Outage(testNow.Add(brokenGroupProbeInterval/2)), brokenGroupProbeInterval/2)
}

func TestPoolResetsHealthForNewIncarnation(t *testing.T) {
	is := is.New(t)
	upstreams := ungroupedUpstreams(2)
	p := newTestPool(upstreams)
	p.RecordOutcome("u0", Unreachable, 0, testNow)
	is.Equal(chooseID(p, PoolQuery{}, testNow), "u1")
	upstreams[0].StartedAt = testNow
	p.Configure(upstreams, poolConfig, testNow)
	is.Equal(chooseID(p, PoolQuery{}, testNow), "u0")
}

func TestPoolEjectsSlowUpstream(t *testing.T) {
	is := is.New(t)
	p := newTestPool(ungroupedUpstreams(3))
	for range 30 {
		p.RecordOutcome("u0", Answered, 60*time.Millisecond, testNow)
		p.RecordOutcome("u1", Answered, 60*time.Millisecond, testNow)
		p.RecordOutcome("u2", Answered, 300*time.Millisecond, testNow)
	}
	for range 6 {
		is.True(chooseID(p, PoolQuery{}, testNow) != "u2")
	}
}

func TestPoolBoundsOutstandingRequestsPerUpstream(t *testing.T) {
	is := is.New(t)
	config := poolConfig
	config.MaxOutstanding = 2
	p := NewPool(1, "e0", "d0", config)
	p.Configure(ungroupedUpstreams(1), config, testNow)
	is.Equal(chooseID(p, PoolQuery{}, testNow), "u0")
	is.Equal(chooseID(p, PoolQuery{}, testNow), "u0")
	is.Equal(chooseID(p, PoolQuery{}, testNow), "")
	p.RecordOutcome("u0", CallerLeft, 0, testNow)
	is.Equal(chooseID(p, PoolQuery{}, testNow), "u0")
}

func TestPoolAvoidsGroupThatFailedRequest(t *testing.T) {
	is := is.New(t)
	p := newTestPool(groupedUpstreams(2))
	for range 3 {
		u, ok := p.Choose(PoolQuery{Exclude: []string{"u0"}, FailedGroups: []string{"g0"}}, testNow)
		is.True(ok)
		is.Equal(u.Membership.Group, "g1")
	}
	single := newTestPool(groupedUpstreams(2)[:2])
	is.Equal(chooseID(single, PoolQuery{Exclude: []string{"u0"}, FailedGroups: []string{"g0"}}, testNow), "u1")
}
