package proof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"bramleydeal/internal/process/config"
	"bramleydeal/internal/standin/ranks"
	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// rankCount is the number of ranks in the test groups.
const rankCount = 4

// deployDriftingGroup starts a fleet with an expert-parallel group whose leader replaces
// the expert map again and again: the expert loads change fast, and the settings make the
// leader plan often, with fetches that cost nothing and are practically unlimited.
func deployDriftingGroup(t *testing.T, honourFencing bool) *deployment {
	t.Helper()
	return deployGroup(t, rankCount, honourFencing, map[string]any{
		"placement-interval": "200ms", "move-weight": 0.0, "moves-per-hour": 100000000,
	})
}

// deployGroup starts a fleet with one expert-parallel group of n ranks, which run every
// step together and with the same expert map. The entry that holds the group's lease
// leads the group: it changes the map in two phases, first a promise of every rank to hold
// before some step, then a grant to each rank to use the new map from that step on.
// honourFencing makes the engines refuse plans that are based on an outdated version.
// settings are added to those of the group.
func deployGroup(t testing.TB, n int, honourFencing bool, settings map[string]any) *deployment {
	t.Helper()
	d := deploy(t, fleetSize{entries: 3, engines: 0, services: 1}, map[string]map[string]any{
		"fleet": {"lease-duration": "1500ms"},
	})
	var addresses []string
	var names []string
	for n := range n {
		names = append(names, fmt.Sprintf("r%d", n+1))
		addresses = append(addresses, freeAddress(t).String())
	}
	p := d.start("ranks", nil, "standin", "ranks", "-listen", strings.Join(addresses, ","), "-drift", "300ms", fmt.Sprintf("-honour-fencing=%v", honourFencing))
	p.address = netip.MustParseAddrPort(addresses[0])
	d.waitHTTP(p.address, "/standin/counts")
	for n, name := range names {
		c := d.newConfig(name, domains[n%len(domains)], fleet.AgentRole)
		c.Upstream = config.Upstream{Kind: config.Engine, Address: netip.MustParseAddrPort(addresses[n]), Target: "steps", Rank: n}
		d.launch(name, c, "agent")
	}
	d.setLevel("group/steps", map[string]any{"model": "steps-1", "upstreams": names, "expert-parallel": true, "experts": 16, "layers": 2})
	d.setLevel("group/steps", settings)
	d.putLevel("group/steps")
	d.waitReady()
	return d
}

// stepStats returns the stand-in's counts of the steps, by the maps used in them.
func (d *deployment) stepStats() ranks.Stats {
	d.t.Helper()
	var r ranks.Stats
	d.getJSON("http://"+d.processes["ranks"].address.String()+"/standin/record", &r)
	return r
}

// leader returns an entry whose debug state says that it leads the group, empty for none.
func (d *deployment) leader() string {
	for _, name := range []string{"e1", "e2", "e3"} {
		var s struct {
			LeaderTasks []struct {
				Leading []struct {
					Phase string `json:"phase"`
				} `json:"leading"`
			} `json:"duties"`
		}
		if d.readState(name, &s) && len(s.LeaderTasks) > 0 && len(s.LeaderTasks[0].Leading) > 0 {
			return name
		}
	}
	return ""
}

// waitSteps waits until the group has run count further steps. It fails the test if that
// takes longer than limit.
func (d *deployment) waitSteps(count uint64, limit time.Duration) {
	d.t.Helper()
	from := d.stepStats().Steps
	eventually(d.t, limit, fmt.Sprintf("%d more steps", count), func() bool { return d.stepStats().Steps >= from+count })
}

// TestAllRanksUseOneMapInEveryStep guards against steps in which two ranks use different
// maps, or one uses a map that it has not staged. Maps change constantly while leaders and
// agents of the ranks fail in turn.
func TestAllRanksUseOneMapInEveryStep(t *testing.T) {
	for _, honourFencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines honour fencing %v", honourFencing), func(t *testing.T) {
			t.Parallel()
			testOneMapPerStep(t, honourFencing)
		})
	}
}

// testOneMapPerStep runs a group through several rounds of faults and checks the counts of
// its steps.
func testOneMapPerStep(t *testing.T, honourFencing bool) {
	is := is.New(t)
	d := deployDriftingGroup(t, honourFencing)
	d.waitSteps(200, 10*time.Second)
	eventually(t, 10*time.Second, "the map changes", func() bool { return len(d.stepStats().StepsByMap) > 3 })
	status, code := d.runCommand("status")
	is.Equal(code, 0)
	is.True(strings.Contains(status, "GROUP") && strings.Contains(status, "group-steps")) // the table of groups and the lease of this group
	baseline := d.stepStats()
	t.Logf("before the faults: %d steps on %d maps, longest wait %d ms", baseline.Steps, len(baseline.StepsByMap), baseline.LongestWaitMilliseconds)
	is.Equal(baseline.MixedMapSteps, 0)

	random := rand.New(rand.NewPCG(*seed, 3))
	for round := range 3 {
		leader := d.leader()
		t.Logf("round %d: leader %s is killed", round, leader)
		if leader != "" {
			d.kill(leader)
			d.waitSteps(100, 10*time.Second)
			d.restart(leader, "entry")
		}
		eventually(t, 15*time.Second, "an entry leads the group", func() bool { return d.leader() != "" })
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		// Stalls the leader for longer than its lease, so that it resumes while another
		// entry leads.
		leader = d.leader()
		if leader != "" {
			d.signal(leader, syscall.SIGSTOP)
			time.Sleep(2500 * time.Millisecond)
			d.signal(leader, syscall.SIGCONT)
		}
		d.waitSteps(100, 10*time.Second)
		// One rank loses its state, the agent of another one is killed, and the agent of a
		// third one is unreachable.
		lostRank := fmt.Sprintf("r%d", random.IntN(rankCount)+1)
		d.resetRank(lostRank)
		d.waitSteps(50, 15*time.Second)
		d.kill("r2")
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		d.restart("r2", "agent")
		d.dropTraffic("r3")
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		d.heal("r3")
		d.waitSteps(100, 20*time.Second)
	}
	end := d.stepStats()
	t.Logf("%d steps on %d maps, mixed %d, unstaged %d, longest wait %d ms", end.Steps, len(end.StepsByMap), end.MixedMapSteps, end.UnstagedMapSteps, end.LongestWaitMilliseconds)
	is.Equal(end.MixedMapSteps, 0)
	is.Equal(end.UnstagedMapSteps, 0)
	is.True(len(end.StepsByMap) > len(baseline.StepsByMap))
}

// resetRank makes the engine of a rank lose its state.
func (d *deployment) resetRank(name string) {
	d.t.Helper()
	var c struct {
		Upstream struct {
			Address string `json:"address"`
		} `json:"upstream"`
	}
	d.readSettings(name, &c)
	response, err := http.Post("http://"+c.Upstream.Address+"/standin/forget", "", nil)
	if err != nil {
		d.t.Fatal(err)
	}
	response.Body.Close()
}

// TestNoStepWaitsForThePlatform makes the platform unavailable for four lease durations.
// The group must go on stepping, and change its maps again after the outage.
func TestNoStepWaitsForThePlatform(t *testing.T) {
	is := is.New(t)
	d := deployDriftingGroup(t, true)
	eventually(t, 10*time.Second, "the map changes", func() bool { return len(d.stepStats().StepsByMap) > 2 })
	d.setKnobs(d.platformAddress, map[string]any{"outage": true})
	before := d.stepStats()
	time.Sleep(6 * time.Second) // four lease durations
	after := d.stepStats()
	t.Logf("%d steps during the outage, longest wait %d ms, %d waits over 100 ms", after.Steps-before.Steps, after.LongestWaitMilliseconds, after.WaitsOver100Milliseconds-before.WaitsOver100Milliseconds)
	is.True(after.Steps-before.Steps > 800) // at 5 ms a step, about 1,200 steps fit
	is.Equal(after.MixedMapSteps, 0)
	d.setKnobs(d.platformAddress, map[string]any{})
	maps := len(d.stepStats().StepsByMap)
	eventually(t, 15*time.Second, "the map changes again", func() bool { return len(d.stepStats().StepsByMap) > maps })
}

// rankState is the part of the debug state of a rank's agent that the tests read.
type rankState struct {
	Rank struct {
		Completed int    `json:"changes-completed"`
		Step      uint64 `json:"step"`
		Rank      struct {
			Hold uint64 `json:"hold"`
		} `json:"rank"`
	} `json:"rank"`
}

// TestRanksCompleteAChangeWithoutLeaderAndPlatform kills all entries between the promises
// and the grants of a map change, during a platform outage. The ranks are held by their
// promises, so without the leader no step can run until the ranks' agents complete the
// change among themselves.
func TestRanksCompleteAChangeWithoutLeaderAndPlatform(t *testing.T) {
	is := is.New(t)
	d := deployDriftingGroup(t, true)
	eventually(t, 15*time.Second, "the map changes", func() bool { return len(d.stepStats().StepsByMap) > 2 })
	// The promise of one rank reaches the leader late, so the other ranks stay held.
	d.delayResponses("r1", 700*time.Millisecond)
	eventually(t, 20*time.Second, "rank r2 is held", func() bool {
		var s rankState
		return d.readState("r2", &s) && s.Rank.Rank.Hold != 0
	})
	d.setKnobs(d.platformAddress, map[string]any{"outage": true})
	for _, name := range []string{"e1", "e2", "e3"} {
		d.kill(name)
	}
	d.removeDelay("r1")
	d.waitSteps(300, 10*time.Second)
	completed := 0
	for n := range rankCount {
		var s rankState
		is.True(d.readState(fmt.Sprintf("r%d", n+1), &s))
		completed += s.Rank.Completed
	}
	end := d.stepStats()
	t.Logf("%d steps on %d maps, %d changes completed by ranks, longest wait %d ms", end.Steps, len(end.StepsByMap), completed, end.LongestWaitMilliseconds)
	is.True(completed > 0)
	is.Equal(end.MixedMapSteps, 0)
}
