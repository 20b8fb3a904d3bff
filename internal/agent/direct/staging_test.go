package direct

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// stagingLeadership returns the leadership of a group of n ranks that stages a map. The
// map relieves the rank hot, which holds the experts that hotSample selects most, in place
// of the map with which a group starts. cancelled is set when the staging is cancelled.
func stagingLeadership(t *testing.T, n, hot int, random *rand.Rand, cancelled *bool) *leadership {
	t.Helper()
	e := service.Experts{Sets: 2, Count: 2 * n, Slots: 3, MaxFetchesPerSet: 4}
	g := newLeadership(newGroupAgent(0, n, 1).candidate, 1, &e, n)
	base := group.Uniform(g.shape)
	g.planner.AddSample(hotSample(g.shape, hot, random))
	g.planner.Observe(1, time.Now())
	next, changed := g.planner.Plan(base, 0)
	if !changed {
		t.Fatal("no change is planned")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startStaging(t.Context(), base, next.Map, 1, group.Ballot{Term: 1, Proposer: "0"})
	cancel := g.cancelStaging
	g.cancelStaging = func() {
		*cancelled = true
		cancel()
	}
	return g
}

// hotSample returns the counts of the few requests that run at once: half of the
// selections fall on the experts of the rank hot in the map with which a group starts.
func hotSample(s group.Shape, hot int, random *rand.Rand) group.Sample {
	const selections = 60
	owner := group.Uniform(s)
	out := group.Sample{Counts: make([]uint8, s.Layers*s.Experts), Unit: 1}
	for l := range s.Layers {
		for range selections {
			e := random.IntN(s.Experts)
			if random.Float64() < 0.5 {
				e = owner.Layers[l][hot*s.Slots+random.IntN(2)]
			}
			if e != group.EmptySlot {
				out.Counts[l*s.Experts+e]++
			}
		}
	}
	return out
}

// onlySample returns the counts of requests that select the experts of one rank only.
func onlySample(s group.Shape, rank int) group.Sample {
	owner := group.Uniform(s)
	out := group.Sample{Counts: make([]uint8, s.Layers*s.Experts), Unit: 1}
	for l := range s.Layers {
		for slot := range 2 {
			out.Counts[l*s.Experts+owner.Layers[l][rank*s.Slots+slot]] = 30
		}
	}
	return out
}

// unrelievedRank returns a rank whose experts are served no better by next than by base.
func unrelievedRank(t *testing.T, base, next group.Map, s group.Shape) int {
	t.Helper()
	for r := range s.Ranks {
		loads := make(group.Loads, s.Layers)
		counts := onlySample(s, r).Counts
		for l := range loads {
			for _, n := range counts[l*s.Experts : (l+1)*s.Experts] {
				loads[l] = append(loads[l], float64(n))
			}
		}
		if group.Skew(next, loads, s) >= group.Skew(base, loads, s) {
			return r
		}
	}
	t.Fatal("the map relieves every rank")
	return 0
}

// observe adds a sample and lets the leader observe it.
func (g *leadership) observe(t *testing.T, s group.Sample) {
	leader := group.NewLeader(g.candidate.roster.Ranks(), group.Ballot{Term: 1, Proposer: "0"}, 0, group.LeaderConfig{})
	g.mu.Lock()
	g.planner.AddSample(s)
	g.observedAt = time.Time{}
	g.mu.Unlock()
	g.handleEvent(t.Context(), leader)
}

// TestStagingSurvivesCountsOfFewRequests guards against a leader that drops the map being
// staged at each observation, since the counts of a tenth of a second differ from the ones
// before although the demand is the same: no map is ever staged where that takes longer
// than an observation. A map that the demand makes useless must still be dropped.
func TestStagingSurvivesCountsOfFewRequests(t *testing.T) {
	for _, n := range []int{4, 12, 16, 17, 96} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(uint64(n), 1))
			cancelled := false
			g := stagingLeadership(t, n, 0, random, &cancelled)
			for range 8 {
				g.observe(t, hotSample(g.shape, 0, random))
			}
			is.True(!cancelled)
			g.observe(t, onlySample(g.shape, unrelievedRank(t, g.stagingBase, g.stagingMap, g.shape)))
			is.True(cancelled)
		})
	}
}
