package upstream

import (
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// twoDomains returns a pool with four upstreams in each of two failure domains.
func twoDomains() *Pool {
	members := plain(8)
	for i := range members {
		members[i].FailureDomain = []fleet.FailureDomain{"north", "south"}[i/4]
	}
	return newTestPool(members)
}

// Pattern: a failure domain is cut off, and requests wait for a connection at one
// of its upstreams after the other.
func TestAFailureDomainThatIsCutOffIsTriedOnceASecond(t *testing.T) {
	is := is.New(t)
	p := twoDomains()
	others := PoolQuery{Exclude: []string{"u4", "u5", "u6", "u7"}}
	now := testNow
	for range cutOffAfter {
		u := choose(p, others, now)
		is.True(u != "")
		now = now.Add(400 * time.Millisecond)
		p.RecordOutcome(u, ConnectTimeout, 0, now)
	}
	is.Equal(choose(p, others, now), "") // though one of them was never tried
	is.True(choose(p, PoolQuery{}, now) != "")

	now = now.Add(reachProbeInterval)
	probe := choose(p, others, now)
	is.True(probe != "")
	is.Equal(choose(p, others, now), "") // one request at a time
	p.RecordOutcome(probe, ConnectTimeout, 0, now.Add(400*time.Millisecond))
	is.Equal(choose(p, others, now.Add(400*time.Millisecond)), "")

	now = now.Add(3 * reachProbeInterval)
	probe = choose(p, others, now)
	p.RecordOutcome(probe, Answered, 100*time.Millisecond, now)
	is.True(choose(p, others, now) != "") // it is back
	is.True(choose(p, others, now) != "")
}

func TestAFailureDomainIsNotCutOffWhileAnythingComesBack(t *testing.T) {
	for name, outcome := range map[string]Outcome{
		"an answer": Answered, "a refused connection": Unreachable, "a refusal": Rejected, "a stalled group": GroupStalled,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := twoDomains()
			for range cutOffAfter - 1 {
				p.RecordOutcome("u0", ConnectTimeout, 0, testNow)
			}
			p.RecordOutcome("u1", outcome, time.Millisecond, testNow)
			p.RecordOutcome("u2", ConnectTimeout, 0, testNow)
			is.True(choose(p, PoolQuery{Exclude: []string{"u4", "u5", "u6", "u7"}}, testNow) != "")
		})
	}
}
