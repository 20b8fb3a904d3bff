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

var poolRules = PoolConfig{EjectionTime: time.Second, EjectionFailures: 3, EjectionErrorRate: 0.4, SlowFactor: 3}

// plain returns n upstreams of a plain service, each in a failure domain of its own.
func plain(n int) []service.Upstream {
	var out []service.Upstream
	for i := range n {
		out = append(out, service.Upstream{
			ID: fmt.Sprint("u", i), Service: "stock", Slots: 6, FailureDomain: fleet.FailureDomain(fmt.Sprint("d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 8000),
		})
	}
	return out
}

// grouped returns two groups of ranks.
func grouped(ranks int) []service.Upstream {
	out := plain(2 * ranks)
	for i := range out {
		out[i].Membership = &service.Membership{Group: fmt.Sprint("g", i/ranks), Epoch: 1, Rank: i % ranks, Size: ranks}
	}
	return out
}

func newTestPool(members []service.Upstream) *Pool {
	p := NewPool(1, "d0", poolRules)
	p.Configure(members, poolRules, testNow)
	return p
}

var testNow = time.Unix(1000, 0)

func choose(p *Pool, s PoolQuery, now time.Time) string {
	u, ok := p.Choose(s, now)
	if !ok {
		return ""
	}
	return u.ID
}

func TestPoolSpreadsRequestsEvenlyAndPrefersItsOwnDomainAmongEquals(t *testing.T) {
	is := is.New(t)
	p := newTestPool(plain(3))
	is.Equal(choose(p, PoolQuery{}, testNow), "u0")
	seen := map[string]int{"u0": 1}
	for range 8 {
		seen[choose(p, PoolQuery{}, testNow)]++
	}
	is.Equal(seen, map[string]int{"u0": 3, "u1": 3, "u2": 3})
}

func TestPoolEvensOutGroupsBeforeRanks(t *testing.T) {
	is := is.New(t)
	p := newTestPool(grouped(4))
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

func TestPoolGivesNoWorkToLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	members := plain(2)
	members[0].Leaving = true
	p := newTestPool(members)
	for range 5 {
		is.Equal(choose(p, PoolQuery{}, testNow), "u1")
	}
	is.Equal(choose(p, PoolQuery{Exclude: []string{"u1"}}, testNow), "")
}

func TestPoolUsesLapsedUpstreamsOnlyWithoutOthers(t *testing.T) {
	is := is.New(t)
	members := plain(2)
	members[0].Lapsed = true
	p := newTestPool(members)
	is.Equal(choose(p, PoolQuery{}, testNow), "u1")
	is.Equal(choose(p, PoolQuery{Exclude: []string{"u1"}}, testNow), "u0")
}

func TestPoolEjectsAfterFailuresInARowAndLetsOneProbeBack(t *testing.T) {
	is := is.New(t)
	p := newTestPool(plain(3))
	for range poolRules.EjectionFailures {
		p.RecordOutcome("u0", UpstreamError, 0, testNow)
	}
	is.True(choose(p, PoolQuery{Exclude: []string{"u1"}}, testNow) == "u2") // u0 is ejected
	later := testNow.Add(2 * poolRules.EjectionTime)
	is.Equal(choose(p, PoolQuery{Exclude: []string{"u1", "u2"}}, later), "u0")
	is.True(choose(p, PoolQuery{Exclude: []string{"u1"}}, later) == "u2") // one probe at a time
	p.RecordOutcome("u0", Answered, time.Millisecond, later)
	is.Equal(choose(p, PoolQuery{Exclude: []string{"u1", "u2"}}, later), "u0")
}

func TestPoolEjectsGreyUpstreamsThatFailOften(t *testing.T) {
	is := is.New(t)
	p := newTestPool(plain(3))
	for i := range 12 {
		outcome := Answered
		if i%2 == 0 {
			outcome = UpstreamError // half of the requests, never three in a row
		}
		p.RecordOutcome("u1", outcome, 50*time.Millisecond, testNow)
	}
	for range 6 {
		is.True(choose(p, PoolQuery{}, testNow) != "u1")
	}
}

func TestPoolDoesNotEjectMoreThanHalfForFailures(t *testing.T) {
	is := is.New(t)
	p := newTestPool(plain(3))
	for _, id := range []string{"u0", "u1", "u2"} {
		for range poolRules.EjectionFailures {
			p.RecordOutcome(id, UpstreamError, 0, testNow)
		}
	}
	out := 0
	for _, s := range p.State(testNow) {
		if s.Ejected {
			out++
		}
	}
	is.Equal(out, 1)
}

func TestPoolLeavesAStoppedGroupAloneButForOneTry(t *testing.T) {
	is := is.New(t)
	p := newTestPool(grouped(2))
	p.RecordOutcome("u2", Answered, time.Millisecond, testNow)
	p.RecordOutcome("u0", GroupStalled, 0, testNow)
	for range 4 {
		u, ok := p.Choose(PoolQuery{}, testNow)
		is.True(ok)
		is.Equal(u.Membership.Group, "g1")
	}
	is.Equal(p.Outage(testNow), time.Duration(0))
	p.RecordOutcome("u2", GroupStalled, 0, testNow)
	is.Equal(choose(p, PoolQuery{}, testNow), "")
	soon := testNow.Add(groupPause)
	first, ok := p.Choose(PoolQuery{}, soon)
	is.True(ok)
	second, ok := p.Choose(PoolQuery{}, soon)
	is.True(ok)
	is.True(first.Membership.Group != second.Membership.Group) // one each
	is.Equal(choose(p, PoolQuery{}, soon), "")
	is.Equal(p.Outage(soon), groupPause)
	p.RecordOutcome(first.ID, Answered, time.Millisecond, soon)
	is.True(choose(p, PoolQuery{}, soon) != "")
}

func TestPoolForgetsAnOutageWhenTheGroupFormsAnew(t *testing.T) {
	is := is.New(t)
	members := grouped(2)[:2]
	p := newTestPool(members)
	p.RecordOutcome("u0", GroupStalled, 0, testNow)
	is.Equal(choose(p, PoolQuery{}, testNow), "")
	for i := range members {
		formed := *members[i].Membership
		formed.Epoch++
		members[i].Membership = &formed
	}
	p.Configure(members, poolRules, testNow)
	is.True(choose(p, PoolQuery{}, testNow) != "")
}

// in returns the members with their group's epoch and state changed.
func in(members []service.Upstream, epoch uint64, broken bool) []service.Upstream {
	out := slices.Clone(members)
	for i := range out {
		s := *out[i].Membership
		s.Epoch, s.Broken = epoch, broken
		out[i].Membership = &s
	}
	return out
}

func TestPoolTriesAGroupThatIsListedAsBrokenRarely(t *testing.T) {
	is := is.New(t)
	members := grouped(2)[:2]
	p := newTestPool(members)
	one := in(members[:1], 1, true) // one rank says so, the other cannot
	p.Configure(append(one, members[1]), poolRules, testNow)
	is.Equal(choose(p, PoolQuery{}, testNow.Add(brokenPause-1)), "")
	now := testNow.Add(brokenPause)
	tried := choose(p, PoolQuery{}, now)
	is.True(tried != "") // the list may be late
	p.RecordOutcome(tried, GroupStalled, 0, now)
	is.Equal(choose(p, PoolQuery{}, now.Add(brokenPause-1)), "")
	p.Configure(in(members, 2, false), poolRules, now)
	is.True(choose(p, PoolQuery{}, now) != "")
}

func TestPoolBelievesAnAnswerMoreThanTheList(t *testing.T) {
	is := is.New(t)
	members := grouped(2)[:2]
	p := newTestPool(members)
	p.Configure(in(members, 1, true), poolRules, testNow)
	now := testNow.Add(brokenPause)
	p.RecordOutcome(choose(p, PoolQuery{}, now), Answered, time.Millisecond, now)
	is.True(choose(p, PoolQuery{}, now) != "")
	p.Configure(in(members, 1, true), poolRules, now) // nothing new
	is.True(choose(p, PoolQuery{}, now) != "")
}

func TestPoolKnowsHowLongItsServiceHasBeenAway(t *testing.T) {
	is := is.New(t)
	members := grouped(2)[:2]
	p := newTestPool(members)
	is.Equal(p.Outage(testNow.Add(time.Hour)), time.Duration(0)) // idle
	for range outageFailures {
		p.RecordOutcome("u0", Unreachable, 0, testNow)
	}
	is.Equal(p.Outage(testNow.Add(time.Second)), time.Second)
	p.RecordOutcome("u1", Answered, 0, testNow.Add(2*time.Second))
	is.Equal(p.Outage(testNow.Add(3*time.Second)), time.Duration(0))
	p.RecordOutcome("u1", GroupStalled, 0, testNow.Add(3*time.Second))
	is.Equal(p.Outage(testNow.Add(3*time.Second)), time.Second) // none is left, since the good answer
	fresh := NewPool(1, "d0", poolRules)
	is.Equal(fresh.Outage(testNow), time.Duration(0))
	fresh.Configure(in(members, 1, true), poolRules, testNow)
	is.Equal(fresh.Outage(testNow.Add(brokenPause/2)), brokenPause/2)
}

func TestPoolBeginsAfreshWithANewIncarnationUnderAnOldID(t *testing.T) {
	is := is.New(t)
	members := plain(2)
	p := newTestPool(members)
	p.RecordOutcome("u0", Unreachable, 0, testNow)
	is.Equal(choose(p, PoolQuery{}, testNow), "u1")
	members[0].StartedAt = testNow
	p.Configure(members, poolRules, testNow)
	is.Equal(choose(p, PoolQuery{}, testNow), "u0")
}

func TestPoolAvoidsSlowUpstreams(t *testing.T) {
	is := is.New(t)
	p := newTestPool(plain(3))
	for range 30 {
		p.RecordOutcome("u0", Answered, 60*time.Millisecond, testNow)
		p.RecordOutcome("u1", Answered, 60*time.Millisecond, testNow)
		p.RecordOutcome("u2", Answered, 300*time.Millisecond, testNow)
	}
	for range 6 {
		is.True(choose(p, PoolQuery{}, testNow) != "u2")
	}
}

func TestPoolBoundsItsRequestsAtOneUpstream(t *testing.T) {
	is := is.New(t)
	rules := poolRules
	rules.MaxOutstanding = 2
	p := NewPool(1, "d0", rules)
	p.Configure(plain(1), rules, testNow)
	is.Equal(choose(p, PoolQuery{}, testNow), "u0")
	is.Equal(choose(p, PoolQuery{}, testNow), "u0")
	is.Equal(choose(p, PoolQuery{}, testNow), "")
	p.RecordOutcome("u0", CallerLeft, 0, testNow)
	is.Equal(choose(p, PoolQuery{}, testNow), "u0")
}

func TestPoolPrefersAnotherGroupForARequestThatOneFailed(t *testing.T) {
	is := is.New(t)
	p := newTestPool(grouped(2))
	for range 3 {
		u, ok := p.Choose(PoolQuery{Exclude: []string{"u0"}, FailedGroups: []string{"g0"}}, testNow)
		is.True(ok)
		is.Equal(u.Membership.Group, "g1")
	}
	single := newTestPool(grouped(2)[:2])
	is.Equal(choose(single, PoolQuery{Exclude: []string{"u0"}, FailedGroups: []string{"g0"}}, testNow), "u1")
}
