package upstream

import (
	"fmt"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// coldPoolConfig returns settings for n processes that limit the requests to cold upstreams.
func coldPoolConfig(n int) PoolConfig {
	c := poolConfig
	c.Cold = coldBound
	for i := range n {
		c.Entries = append(c.Entries, fleet.Instance{Name: fmt.Sprint("e", i), Role: fleet.EntryRole, FailureDomain: "d0"})
	}
	return c
}

// newColdPool returns the pool of process e0 among n processes, whose upstreams have been
// listed for long at the returned time.
func newColdPool(upstreams []service.Upstream, n int) (*Pool, time.Time) {
	p := NewPool(1, "e0", "d0", coldPoolConfig(n))
	p.Configure(upstreams, coldPoolConfig(n), testNow)
	return p, testNow.Add(time.Minute)
}

// TestSharesLeaveRoomForTwoHalves guards against shares that exceed the bound if the processes
// are divided into two halves, and against upstreams that no process sends anything.
func TestSharesLeaveRoomForTwoHalves(t *testing.T) {
	for _, rate := range []float64{0.2, 1, 2, 10, 26, 80} {
		for _, slack := range []float64{0, 1, 5, 20} {
			for _, n := range []int{1, 2, 7, 37, 149} {
				c := ColdConfig{Time: time.Second, Rate: rate, Factor: 1.5, Slack: slack}
				count, all := c.senders(n)
				if count < 1 || count > n || all > rate {
					t.Errorf("%+v, %d processes: %d senders, %v a second", c, n, count, all)
				}
				if most := float64(count) + all; most > c.bound() && c.bound() >= 1 || c.bound() >= 4 && 2*most > c.bound() {
					t.Errorf("%+v, %d processes: %d senders send up to %v in a second, of %v", c, n, count, most, c.bound())
				}
			}
		}
	}
}

// TestColdRankGetsItsShare guards against the rank of a group that has come back cold and gets
// the requests that the others have no room for.
func TestColdRankGetsItsShare(t *testing.T) {
	is := is.New(t)
	ranks := groupedUpstreams(4)[:4]
	p, now := newColdPool(ranks, 1)
	ranks[2].ColdFor = time.Second
	p.Configure(ranks, coldPoolConfig(1), now)
	got := map[string]int{}
	for range 40 {
		got[chooseID(p, PoolQuery{}, now)]++
	}
	is.Equal(got["u2"], 1)
	is.Equal(got[""], 0)
	elsewhere, refused := p.ColdRequests()
	is.True(elsewhere > 0)
	is.Equal(refused, uint64(0))
	is.Equal(p.ColdUpstreams(now), uint64(1))
	is.Equal(p.State(now)[2].Cold.Reason, ColdRegistered)
	is.Equal(p.ColdUpstreams(now.Add(time.Second)), uint64(0))
}

// TestColdRanksTakeTheirPartOfTheLoad guards against cold ranks that stay nearly idle, since few
// processes send them requests, while the others are overloaded.
func TestColdRanksTakeTheirPartOfTheLoad(t *testing.T) {
	const n = 36
	is := is.New(t)
	f := newColdFleet(t, n, 18, 1)
	for i := range f.upstreams {
		f.upstreams[i].Membership = &service.Membership{Group: "g", Epoch: 1, Rank: i, Size: len(f.upstreams)}
	}
	f.listAll()
	for i := 0; i < len(f.upstreams); i += 3 {
		f.upstreams[i].ColdFor = f.bound.Time
		f.coldUntil[f.upstreams[i].ID] = f.now.Add(f.bound.Time)
	}
	f.listAll()
	before := f.served
	f.run(f.bound.Time, 4) // 8 a second for each rank
	f.check()
	cold := 0
	for _, arrived := range f.arrived {
		cold += len(arrived)
	}
	t.Logf("%d of %d requests reached the cold third", cold, f.served-before)
	is.True(float64(cold) > 0.2*float64(f.served-before))
}

// TestCallersComeBackAtNextShare guards against requests that wait, or whose callers are told
// of an outage, while all upstreams are cold.
func TestCallersComeBackAtNextShare(t *testing.T) {
	is := is.New(t)
	upstreams := ungroupedUpstreams(2)
	p, now := newColdPool(upstreams, 30)
	upstreams[0].StartedAt, upstreams[1].StartedAt = now, now
	p.Configure(upstreams, coldPoolConfig(30), now)
	sent := 0
	for ; sent < 100 && chooseID(p, PoolQuery{}, now) != ""; sent++ {
	}
	is.True(sent <= len(upstreams))
	is.Equal(p.Outage(now), time.Duration(0))
	until, held := p.HeldUntil(PoolQuery{}, now)
	is.True(held)
	is.True(until.Sub(now) < time.Second)
	_, refused := p.ColdRequests()
	is.Equal(refused, uint64(1))
	is.True(chooseID(p, PoolQuery{}, now.Add(coldBound.Time)) != "") // they are warm
	changes := p.TakeColdChanges(now.Add(coldBound.Time))
	is.Equal(changes[len(changes)-1].Cold, false)
}

// TestLostUpstreamIsTriedBySendersFirst guards against an upstream that all processes try at
// once after it was out of reach, and against one that some of them never try again.
func TestLostUpstreamIsTriedBySendersFirst(t *testing.T) {
	is := is.New(t)
	upstreams := ungroupedUpstreams(1)
	shares, others := 0, map[int]int{}
	const n = 60
	for i := range n {
		p := NewPool(uint64(i), fmt.Sprint("e", i), "d0", coldPoolConfig(n))
		p.Configure(upstreams, coldPoolConfig(n), testNow)
		now := testNow.Add(time.Minute)
		is.Equal(chooseID(p, PoolQuery{}, now), "u0")
		p.RecordOutcome("u0", Unreachable, 0, now)
		_, held := p.HeldUntil(PoolQuery{}, now.Add(2*time.Second))
		is.True(!held) // nobody knows when it is back
		is.True(p.Outage(now.Add(2*time.Second)) > 0)
		tried := now.Add(2 * time.Second)
		for ; chooseID(p, PoolQuery{}, tried) == ""; tried = tried.Add(100 * time.Millisecond) {
			is.True(tried.Sub(now) < time.Minute)
		}
		if tried.Sub(now) == 2*time.Second {
			shares++
		} else {
			others[int(tried.Sub(now).Seconds())]++
		}
		p.RecordOutcome("u0", Answered, time.Millisecond, tried)
		is.Equal(p.ColdUpstreams(tried), uint64(1)) // it may have started again
		is.Equal(p.ColdUpstreams(tried.Add(coldBound.Time)), uint64(0))
	}
	count, _ := coldBound.senders(n)
	is.Equal(shares, count)
	for second, tries := range others {
		t.Logf("%d processes after %d s", tries, second)
		is.True(float64(tries) <= coldBound.bound()/2)
	}
}

// TestReachedDomainMayBeCold guards against upstreams of a failure domain that get all requests
// as soon as one of them is reached again.
func TestReachedDomainMayBeCold(t *testing.T) {
	is := is.New(t)
	upstreams := ungroupedUpstreams(3)
	for i := range upstreams {
		upstreams[i].FailureDomain = "d1"
	}
	p, now := newColdPool(upstreams, 1)
	for range maxConnectTimeouts {
		p.RecordOutcome("u0", ConnectTimeout, 0, now)
	}
	is.Equal(p.ColdUpstreams(now), uint64(1))
	p.RecordOutcome("u0", Answered, time.Millisecond, now)
	is.Equal(p.ColdUpstreams(now), uint64(3))
}

// TestServicesWithoutColdTimeAreNotLimited guards against limits where the configuration has
// no cold time or the settings no bound.
func TestServicesWithoutColdTimeAreNotLimited(t *testing.T) {
	is := is.New(t)
	for _, cold := range []ColdConfig{{}, {Time: time.Second, Rate: 5}, {Rate: 5, Factor: 1.5, Slack: 5}, {Time: time.Second, Factor: 1.5, Slack: 5}} {
		c := coldPoolConfig(5)
		c.Cold = cold
		upstreams := ungroupedUpstreams(1)
		upstreams[0].ColdFor = time.Second
		p := NewPool(1, "e0", "d0", c)
		p.Configure(upstreams, c, testNow)
		for range 100 {
			is.Equal(chooseID(p, PoolQuery{}, testNow), "u0")
		}
		is.Equal(p.State(testNow)[0].Cold, nil)
	}
}
