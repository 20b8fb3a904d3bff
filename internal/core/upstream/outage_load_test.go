package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// cutDomain is the load while a failure domain of a group is cut off: callers with a time
// budget who come back once, as told, and give up what has not begun after their patience.
type cutDomain struct {
	random    *rand.Rand
	now, open time.Time
	pools     []*Pool
	queues    []*ReopeningQueue
	pending   []cutRequest
	running   map[string]int // by upstream
	ends      []cutRequest
	// served and firstSecond count the requests that were sent to the group, those of the first
	// second after the outage apart.
	served, firstSecond int
	// twice holds the first arrivals of the callers that were refused twice, lateRefusals counts
	// the refusals when all entries must know that the group is open again.
	twice        []time.Time
	lateRefusals int
	declined     int
	// deepest is the greatest number of requests at one rank.
	deepest int
}

// cutRequest is one request at an entry.
type cutRequest struct {
	entry     int
	at, first time.Time
	returned  bool
	waiter    *Waiter
	upstream  service.Upstream
	sentAt    time.Time
}

// The load and the group of a cutDomain. The times are those of callers with a budget of 8 s
// that honour Retry-After up to a third of what they have left.
const (
	cutEntries    = 37
	cutPerSecond  = 250
	cutRanks      = 63
	cutSlots      = 10
	cutQueue      = 20
	cutBudget     = 8 * time.Second
	cutPatience   = 2 * time.Second
	cutWait       = 2*cutBudget/3 - 4*time.Second
	cutFirstEvent = 190 * time.Millisecond
	cutStream     = time.Second
	cutLasts      = 6600 * time.Millisecond
	cutStep       = 10 * time.Millisecond
	// cutNoticed is the time after the re-opening at which all entries must know of it: a
	// first event, and a tenth of a second for probe and news.
	cutNoticed = cutFirstEvent + 100*time.Millisecond
)

func newCutDomain(seed uint64) *cutDomain {
	c := &cutDomain{random: rand.New(rand.NewPCG(seed, 7)), now: testNow, open: testNow.Add(cutLasts), running: map[string]int{}}
	ranks := groupedUpstreams(cutRanks)[:cutRanks]
	for i := range ranks {
		ranks[i].FailureDomain, ranks[i].Slots = fleet.FailureDomain(fmt.Sprint("d", i%3)), cutSlots
		ranks[i].Membership.Broken = true
	}
	for i := range cutEntries {
		p := NewPool(seed+uint64(i), fmt.Sprint("e", i), fleet.FailureDomain(fmt.Sprint("d", i%3)), poolConfig)
		p.Configure(ranks, poolConfig, c.now)
		c.pools = append(c.pools, p)
		c.queues = append(c.queues, NewReopeningQueue(c.random.Float64()))
	}
	return c
}

// step plays the time until the next step.
func (c *cutDomain) step() {
	for range cutPerSecond {
		if c.random.Float64() < cutStep.Seconds() {
			c.pending = append(c.pending, cutRequest{entry: c.random.IntN(cutEntries), at: c.now, first: c.now})
		}
	}
	pending := c.pending
	c.pending = nil
	for _, r := range pending {
		c.arrive(r)
	}
	c.ends = slices.DeleteFunc(c.ends, func(r cutRequest) bool {
		if c.now.Sub(r.sentAt) >= cutFirstEvent && c.pools[r.entry].RecordFirstEvent(r.upstream.ID, r.sentAt, c.now) {
			c.announce(r.entry)
		}
		if c.now.Sub(r.sentAt) < cutStream {
			return false
		}
		c.running[r.upstream.ID]--
		c.pools[r.entry].RecordOutcome(r.upstream.ID, Answered, cutFirstEvent, c.now)
		return true
	})
	c.now = c.now.Add(cutStep)
}

// announce passes the news of an entry on to the others.
func (c *cutDomain) announce(from int) {
	for _, n := range c.pools[from].News(c.now) {
		for i, p := range c.pools {
			if i != from {
				p.RecordNews(n, c.now)
			}
		}
	}
}

// arrive handles a request at its entry, as a caller that arrives or as one that waits.
func (c *cutDomain) arrive(r cutRequest) {
	p, q := c.pools[r.entry], c.queues[r.entry]
	switch {
	case r.at.After(c.now):
		c.pending = append(c.pending, r)
		return
	case r.returned && r.waiter == nil:
		r.waiter = q.Add(Wait{ArrivedAt: c.now, Until: c.now.Add(cutWait), MayProbe: false}, p.Availability(c.now), p.Outages(), c.now)
	}
	if r.waiter != nil && q.Poll(r.waiter, p.Availability(c.now), c.now) == StillWaiting {
		c.pending = append(c.pending, r)
		return
	}
	u, ok := p.Choose(PoolQuery{}, c.now)
	if ok && !c.now.Before(c.open) {
		c.serve(r, u)
		return
	}
	if ok {
		p.RecordOutcome(u.ID, GroupStalled, 0, c.now)
		c.declined++
	}
	if c.now.Sub(c.open) > cutNoticed {
		c.lateRefusals++
	}
	if r.returned {
		c.twice = append(c.twice, r.first)
		return
	}
	third := cutBudget / 3
	r.at, r.returned = c.now.Add(p.Outages().ReturnAfter(0, third, c.now)), true
	r.entry = c.random.IntN(cutEntries)
	c.pending = append(c.pending, r)
}

func (c *cutDomain) serve(r cutRequest, u service.Upstream) {
	r.upstream, r.sentAt = u, c.now
	c.ends = append(c.ends, r)
	c.served++
	if c.now.Sub(c.open) < time.Second {
		c.firstSecond++
	}
	c.running[u.ID]++
	c.deepest = max(c.deepest, c.running[u.ID])
}

// TestDomainIsCutOffAndCallersReturnAsTold plays six seconds without a failure domain and the
// time that the group takes to form: callers come back once, as told, and most of them while
// the group is still down.
func TestDomainIsCutOffAndCallersReturnAsTold(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		c := newCutDomain(seed + 1)
		for c.now.Sub(c.open) < 4*time.Second {
			c.step()
		}
		// Callers whose wait lasts until the re-opening is known are served.
		reachable := c.open.Add(cutNoticed - cutBudget/3 - cutWait)
		late := 0
		for _, first := range c.twice {
			if first.After(reachable) {
				late++
			}
		}
		t.Logf("seed %d: served %d, %d in the first second; refused twice %d, %d of them in reach; probes declined %d; most at a rank %d",
			seed+1, c.served, c.firstSecond, len(c.twice), late, c.declined, c.deepest)
		is.Equal(late, 0)
		is.Equal(c.lateRefusals, 0)
		// The ranks' queues have room left.
		is.True(c.deepest <= cutSlots+cutQueue)
	}
}
