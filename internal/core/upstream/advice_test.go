package upstream

import (
	"slices"
	"testing"
	"time"

	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// TestLimitIsLiftedOnlyByLaterRequest guards against a response that was sent before the
// upstream named its limit and arrives after it.
func TestLimitIsLiftedOnlyByLaterRequest(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	p := NewPool(1, "e0", "z1", poolConfig)
	u := service.Upstream{ID: "u1", StartedAt: start}
	p.Configure([]service.Upstream{u}, poolConfig, start)
	record := func(a Advice, sent, now time.Duration, want ...AdviceChange) {
		t.Helper()
		is.Helper()
		is.Equal(p.RecordAdvice(u.Incarnation(), a, start.Add(sent), start.Add(now)), want)
	}
	limit := func(perSecond float64) Advice { return Advice{Limited: true, Limit: perSecond} }
	record(Advice{}, 0, time.Second)
	record(limit(2), time.Second, 2*time.Second, LimitNamed)
	record(limit(2), time.Second, 3*time.Second)
	record(limit(1.5), time.Second, 4*time.Second, LimitChanged)
	record(Advice{}, 3*time.Second, 5*time.Second) // sent before the limit was named last
	record(Advice{Malformed: "x"}, 5*time.Second, 6*time.Second, LimitMalformed)
	is.Equal(*p.State(start.Add(6 * time.Second))[0].Limit, 1.5)
	record(Advice{}, 5*time.Second, 6*time.Second, LimitLifted)
	is.Equal(p.State(start.Add(6 * time.Second))[0].Limit, nil)
}

// TestAdviceOfFormerIncarnationIsIgnored guards against a late response of an upstream
// whose successor has the same ID.
func TestAdviceOfFormerIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	p := NewPool(1, "e0", "z1", poolConfig)
	former := service.Upstream{ID: "u1", StartedAt: start}
	p.Configure([]service.Upstream{former}, poolConfig, start)
	successor := former
	successor.StartedAt = start.Add(time.Second)
	p.Configure([]service.Upstream{successor}, poolConfig, start)
	said := Advice{Limited: true, Limit: 1, Leaving: true, RetryAfter: time.Minute}
	is.Equal(len(p.RecordAdvice(former.Incarnation(), said, start, start)), 0)
	is.Equal(len(p.RecordNews(News{Of: former.Incarnation(), Leaving: true}, start)), 0)
	is.Equal(p.State(start)[0].Limit, nil)
	is.Equal(chooseID(p, PoolQuery{}, start), "u1")
}

// TestLeavingUpstreamGetsNoNewRequests guards against requests to an upstream that says in
// its responses that it is leaving while the list still says otherwise, by whichever
// process was told, and also after the list has lapsed.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	upstreams := ungroupedUpstreams(2)
	told, other := newTestPool(upstreams), newTestPool(upstreams)
	of := upstreams[0].Incarnation()
	is.Equal(told.RecordAdvice(of, Advice{Leaving: true}, testNow, testNow), []AdviceChange{LeavingNamed})
	is.Equal(len(told.RecordAdvice(of, Advice{}, testNow.Add(time.Second), testNow.Add(time.Second))), 0) // it stays so
	for _, n := range told.News(testNow) {
		is.Equal(other.RecordNews(n, testNow), []AdviceChange{LeavingNamed})
	}
	for _, p := range []*Pool{told, other} {
		for range 20 {
			is.Equal(chooseID(p, PoolQuery{}, testNow), "u1")
		}
		is.Equal(chooseID(p, PoolQuery{Exclude: []string{"u1"}}, testNow), "")
		_, held := p.HeldUntil(PoolQuery{Exclude: []string{"u1"}}, testNow)
		is.True(!held) // it does not come back
		p.Configure(nil, poolConfig, testNow)
		p.Configure(upstreams[:1], poolConfig, testNow.Add(time.Minute))
		is.Equal(chooseID(p, PoolQuery{}, testNow.Add(time.Minute)), "")
		successor := upstreams[0]
		successor.StartedAt = testNow
		p.Configure([]service.Upstream{successor}, poolConfig, testNow.Add(time.Minute))
		is.Equal(chooseID(p, PoolQuery{}, testNow.Add(time.Minute)), "u0")
	}
}

// TestSuspendedUpstreamGetsNoRequests guards against requests to an upstream that has
// refused one with a time to come back, and against taking that for a failure.
func TestSuspendedUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	p := newTestPool(ungroupedUpstreams(2))
	refuse := func(id string, after time.Duration) {
		is.Helper()
		is.Equal(chooseID(p, PoolQuery{Exclude: without(id)}, testNow), id)
		is.Equal(p.RecordAdvice(service.Incarnation{ID: id}, Advice{RetryAfter: after}, testNow, testNow), []AdviceChange{SuspensionNamed})
		p.RecordOutcome(id, Rejected, 0, testNow)
	}
	refuse("u0", 2*time.Second)
	for range 20 {
		is.Equal(chooseID(p, PoolQuery{}, testNow.Add(1900*time.Millisecond)), "u1")
	}
	is.Equal(len(p.RecordAdvice(service.Incarnation{ID: "u0"}, Advice{RetryAfter: time.Second}, testNow, testNow)), 0) // it does not end sooner
	refuse("u1", 3*time.Second)
	is.Equal(chooseID(p, PoolQuery{}, testNow.Add(1900*time.Millisecond)), "")
	until, held := p.HeldUntil(PoolQuery{}, testNow)
	is.True(held)
	is.Equal(until, testNow.Add(2*time.Second))
	is.Equal(p.Outage(testNow.Add(time.Second)), time.Duration(0))
	is.Equal(chooseID(p, PoolQuery{}, testNow.Add(2*time.Second)), "u0")
	is.True(!p.State(testNow)[0].Ejected)
}

// without returns the IDs of two upstreams but one.
func without(id string) []string {
	return slices.DeleteFunc([]string{"u0", "u1"}, func(o string) bool { return o == id })
}
