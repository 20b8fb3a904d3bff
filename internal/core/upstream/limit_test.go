package upstream

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// Bounds of the requests to an upstream that names a limit, from the operators' rules: in
// any limitWindow, limitFactor times what the limit allows and limitSlack more, counting
// the processes that got the limit toldBefore ago or earlier.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldBefore  = 500 * time.Millisecond
)

// limitedFleet is a number of processes and of upstreams that name limits, in virtual
// time.
type limitedFleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	entries []fleet.Instance
	pools   []*Pool
	// limits holds the limit that each upstream names, 0 for none.
	limits map[string]float64
	// told is the time at which a process was first told that an upstream is limited.
	told map[[2]string]time.Time
	// counted holds the times of the requests that count towards the limit, all those
	// of all requests, by upstream.
	counted, all map[string][]time.Time
	// due holds the responses on their way.
	due []response
	// returning holds the times at which callers that were refused once come back.
	returning []time.Time
	refused   int
}

// response is the response of an upstream on its way to a process.
type response struct {
	at, sent time.Time
	pool     int
	upstream service.Upstream
	advice   Advice
}

const (
	limitTick    = 10 * time.Millisecond
	limitLatency = 100 * time.Millisecond
	returnDelay  = 500 * time.Millisecond
	// newsInterval is how often a process and a peer tell each other their news.
	newsInterval = 900 * time.Millisecond
)

// newLimitedFleet returns a fleet of n processes and the given number of upstreams in
// three failure domains.
func newLimitedFleet(t *testing.T, n, upstreams int, seed uint64) *limitedFleet {
	f := &limitedFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: testNow, limits: map[string]float64{},
		told: map[[2]string]time.Time{}, counted: map[string][]time.Time{}, all: map[string][]time.Time{},
	}
	domain := func(i int) fleet.FailureDomain { return fleet.FailureDomain(fmt.Sprint("d", i%3)) }
	for i := range n {
		f.entries = append(f.entries, fleet.Instance{Name: fmt.Sprint("e", i), Role: fleet.EntryRole, FailureDomain: domain(i)})
	}
	members := ungroupedUpstreams(upstreams)
	for i := range members {
		members[i].FailureDomain = domain(i)
	}
	config := poolConfig
	config.Entries = f.entries
	for i := range n {
		p := NewPool(seed+uint64(i), f.entries[i].Name, domain(i), config)
		p.Configure(members, config, f.now)
		f.pools = append(f.pools, p)
	}
	return f
}

// run lets d pass, during which perSecond requests arrive at random processes.
func (f *limitedFleet) run(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(limitTick) {
		f.deliver()
		for waiting := perSecond * limitTick.Seconds(); f.random.Float64() < waiting; waiting-- {
			f.request(f.random.IntN(len(f.pools)), true)
		}
		for len(f.returning) > 0 && !f.returning[0].After(f.now) {
			f.returning = f.returning[1:]
			f.request(f.random.IntN(len(f.pools)), false)
		}
		for i := range f.pools {
			if f.random.Float64() < float64(limitTick)/float64(newsInterval) {
				f.exchangeNews(i, f.random.IntN(len(f.pools)))
			}
		}
	}
}

// request sends a request by process i. If it is refused and returns, its caller comes
// back once.
func (f *limitedFleet) request(i int, returns bool) {
	u, ok := f.pools[i].Choose(PoolQuery{}, f.now)
	switch {
	case !ok && returns:
		f.returning = append(f.returning, f.now.Add(returnDelay))
		return
	case !ok:
		f.refused++
		return
	}
	key := [2]string{f.entries[i].Name, u.ID}
	if told, ok := f.told[key]; ok && f.now.Sub(told) >= toldBefore {
		f.counted[u.ID] = append(f.counted[u.ID], f.now)
	}
	f.all[u.ID] = append(f.all[u.ID], f.now)
	limit := f.limits[u.ID]
	f.due = append(f.due, response{f.now.Add(limitLatency), f.now, i, u, Advice{Limited: limit > 0, Limit: limit}})
}

func (f *limitedFleet) deliver() {
	for len(f.due) > 0 && !f.due[0].at.After(f.now) {
		r := f.due[0]
		f.due = f.due[1:]
		f.pools[r.pool].RecordAdvice(r.upstream.Incarnation(), r.advice, r.sent, f.now)
		f.pools[r.pool].RecordOutcome(r.upstream.ID, Answered, limitLatency, f.now)
		key := [2]string{f.entries[r.pool].Name, r.upstream.ID}
		if _, ok := f.told[key]; r.advice.Limited && !ok {
			f.told[key] = f.now
		}
	}
}

func (f *limitedFleet) exchangeNews(i, j int) {
	for _, pair := range [][2]int{{i, j}, {j, i}} {
		for _, n := range f.pools[pair[0]].News(f.now) {
			f.pools[pair[1]].RecordNews(n, f.now)
		}
	}
}

// setLimit makes an upstream name a limit, or none for 0. What processes were told before
// counts no more.
func (f *limitedFleet) setLimit(id string, limit float64) {
	f.limits[id] = limit
	clear(f.told)
}

// check fails the test if an upstream got more counted requests since from than a limit
// allows in any window.
func (f *limitedFleet) check(id string, limit float64, from time.Time) {
	f.t.Helper()
	times := f.counted[id]
	for i, begin := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(begin) < limitWindow {
				n++
			}
		}
		if most := limitFactor*limit*limitWindow.Seconds() + limitSlack; !begin.Before(from) && float64(n) > most {
			f.t.Fatalf("%s got %d requests within %v from %v on at a limit of %v a second, at most %v allowed", id, n, limitWindow, begin.Sub(testNow), limit, most)
		}
	}
}

// TestProcessesTogetherKeepToNamedLimit guards against an upstream that names a limit for
// all processes together and gets a multiple of it, since each of them keeps to it by
// itself, since all of them have saved up requests while it was idle, or since one of
// them holds a limit that was named before (incident 1).
func TestProcessesTogetherKeepToNamedLimit(t *testing.T) {
	for _, n := range []int{1, 2, 7, 8, 30, 149} {
		for _, limit := range []float64{0.3, 1, 1.3, 5, 40} {
			t.Run(fmt.Sprintf("%d processes, limit %v", n, limit), func(t *testing.T) {
				t.Parallel()
				f := newLimitedFleet(t, n, 6, uint64(n))
				f.setLimit("u0", limit)
				f.setLimit("u1", limit)
				f.run(10*time.Second, 100)
				f.run(20*time.Second, 0) // idle
				f.run(5*time.Second, 400)
				f.check("u0", limit, testNow)
				f.check("u1", limit, testNow)
				lowered := f.now
				f.setLimit("u0", limit/2)
				f.run(10*time.Second, 100)
				f.check("u0", limit, lowered)
			})
		}
	}
}

// TestLimitedUpstreamsAreUsed guards against processes that leave most of what limited
// upstreams take unused, and against refusals where all of them limit their requests but
// have room.
func TestLimitedUpstreamsAreUsed(t *testing.T) {
	for _, n := range []int{2, 8, 30, 149} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newLimitedFleet(t, n, 4, uint64(n))
			for i := range 4 {
				f.setLimit(fmt.Sprint("u", i), 5)
			}
			f.run(30*time.Second, 60)
			for i := range 4 {
				id := fmt.Sprint("u", i)
				f.check(id, 5, testNow)
				used := 0
				for _, at := range f.all[id] {
					if at.Sub(testNow) > 10*time.Second {
						used++
					}
				}
				t.Logf("%s: %v requests a second, %d of 1800 refused", id, float64(used)/20, f.refused)
				is.True(used >= 20*5/2) // at least half of the limit
			}
		})
	}
}

// TestLiftedLimitSpreads guards against processes without a share in a limit that never
// learn that it was lifted, since they send the upstream nothing.
func TestLiftedLimitSpreads(t *testing.T) {
	for _, n := range []int{7, 149} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newLimitedFleet(t, n, 4, 1)
			f.setLimit("u0", 1)
			f.run(15*time.Second, 100)
			f.setLimit("u0", 0)
			f.run(15*time.Second, 100)
			for _, p := range f.pools {
				is.Equal(p.State(f.now)[0].Limit, nil)
			}
		})
	}
}

// TestLimitIsProbedWithoutNews guards against an upstream that is never used again after
// all processes with a share in its limit are gone.
func TestLimitIsProbedWithoutNews(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 12, 1, 1)
	share := newLimitShare(1, "u0", "d0", "e0", f.entries, 0)
	for i := range f.pools {
		if s := newLimitShare(1, "u0", "d0", f.entries[i].Name, f.entries, 0.5); !s.sender {
			share = s
		}
	}
	is.True(!share.sender)
	is.True(share.notBefore(testNow, testNow).Sub(testNow) > minNewsTimeout)
	is.True(share.notBefore(testNow, testNow).Sub(testNow) < time.Minute)
	// Two processes in three requests a second are far from the limit of the rule.
	is.True(float64(len(f.entries))/share.interval.Seconds() <= 0.5)
}

// TestAdviceSurvivesLapseOfList guards against processes that forget a limit when the
// list of upstreams lapses and returns, as it does while its store is unavailable.
func TestAdviceSurvivesLapseOfList(t *testing.T) {
	is := is.New(t)
	p := newTestPool(ungroupedUpstreams(1))
	is.Equal(p.RecordAdvice(service.Incarnation{ID: "u0"}, Advice{Limited: true, Limit: 2}, testNow, testNow), []AdviceChange{LimitNamed})
	p.Configure(nil, poolConfig, testNow)
	p.Configure(ungroupedUpstreams(1), poolConfig, testNow.Add(time.Minute))
	is.Equal(*p.State(testNow)[0].Limit, 2.0)
	p.Configure(nil, poolConfig, testNow.Add(time.Minute))
	p.Configure(nil, poolConfig, testNow.Add(time.Minute+formerTime))
	p.Configure(ungroupedUpstreams(1), poolConfig, testNow.Add(time.Hour))
	is.Equal(p.State(testNow)[0].Limit, nil)
}

// TestLimitedServiceIsNoOutage guards against refusals that tell callers to come back
// after an outage of the service, when its upstreams only limit their requests.
func TestLimitedServiceIsNoOutage(t *testing.T) {
	is := is.New(t)
	p := newTestPool(ungroupedUpstreams(1))
	is.Equal(chooseID(p, PoolQuery{}, testNow), "u0")
	p.RecordAdvice(service.Incarnation{ID: "u0"}, Advice{Limited: true, Limit: 4}, testNow, testNow)
	p.RecordOutcome("u0", Answered, time.Millisecond, testNow)
	is.Equal(chooseID(p, PoolQuery{}, testNow), "")
	is.Equal(p.Outage(testNow), time.Duration(0))
	until, held := p.HeldUntil(PoolQuery{}, testNow)
	is.True(held)
	is.Equal(until.Sub(testNow), 3*time.Second) // its share among 12 processes, as long as it knows none
	is.Equal(chooseID(p, PoolQuery{}, until), "u0")
	_, held = p.HeldUntil(PoolQuery{Exclude: []string{"u0"}}, testNow)
	is.True(!held)
}
