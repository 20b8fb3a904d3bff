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

const groupRanks = 4

// deployGroup starts a fleet with one expert-parallel group whose loads drift
// quickly, so that maps change all the time.
func deployGroup(t *testing.T, honourFencing bool) *deployment {
	t.Helper()
	return deployRanks(t, groupRanks, honourFencing, map[string]any{
		"placement-interval": "200ms", "move-weight": 0.0, "moves-per-hour": 100000000,
	})
}

// deployRanks starts a fleet with one group of n ranks.
func deployRanks(t testing.TB, n int, honourFencing bool, settings map[string]any) *deployment {
	t.Helper()
	d := deploy(t, size{entries: 3, engines: 0, services: 1}, map[string]map[string]any{
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
		c := d.config(name, domains[n%len(domains)], fleet.AgentRole)
		c.Upstream = config.Upstream{Kind: config.Engine, Address: netip.MustParseAddrPort(addresses[n]), Target: "steps", Rank: n}
		d.launch(name, c, "agent")
	}
	d.level("group/steps", map[string]any{"model": "steps-1", "upstreams": names, "expert-parallel": true, "experts": 16, "layers": 2})
	d.level("group/steps", settings)
	d.putLevel("group/steps")
	d.waitReady()
	return d
}

func (d *deployment) record() ranks.Stats {
	d.t.Helper()
	var r ranks.Stats
	d.getJSON("http://"+d.processes["ranks"].address.String()+"/standin/record", &r)
	return r
}

// leader returns the entry that leads the group, if any says that it does.
func (d *deployment) leader() string {
	for _, name := range []string{"e1", "e2", "e3"} {
		var s struct {
			Duties []struct {
				Leading []struct {
					Phase string `json:"phase"`
				} `json:"leading"`
			} `json:"duties"`
		}
		if d.dump(name, &s) && len(s.Duties) > 0 && len(s.Duties[0].Leading) > 0 {
			return name
		}
	}
	return ""
}

// waitSteps waits until the group has made that many more steps.
func (d *deployment) waitSteps(more uint64, limit time.Duration) {
	d.t.Helper()
	from := d.record().Steps
	eventually(d.t, limit, fmt.Sprintf("%d more steps", more), func() bool { return d.record().Steps >= from+more })
}

// TestAllRanksUseOneMapInEveryStep changes maps all the time while the group's
// leader and its ranks' agents fail in turn.
func TestAllRanksUseOneMapInEveryStep(t *testing.T) {
	for _, honour := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines honour fencing %v", honour), func(t *testing.T) {
			t.Parallel()
			runGroup(t, honour)
		})
	}
}

func runGroup(t *testing.T, honour bool) {
	is := is.New(t)
	d := deployGroup(t, honour)
	d.waitSteps(200, 10*time.Second)
	eventually(t, 10*time.Second, "the map changes", func() bool { return len(d.record().StepsByMap) > 3 })
	status, code := d.command("status")
	is.Equal(code, 0)
	is.True(strings.Contains(status, "GROUP") && strings.Contains(status, "group-steps")) // its leader and its lease
	quiet := d.record()
	t.Logf("undisturbed: %d steps on %d maps, longest wait %d ms", quiet.Steps, len(quiet.StepsByMap), quiet.LongestWaitMilliseconds)
	is.Equal(quiet.MixedMapSteps, 0)

	random := rand.New(rand.NewPCG(*seed, 3))
	for round := range 3 {
		leader := d.leader()
		t.Logf("round %d: leader %s is killed", round, leader)
		if leader != "" {
			d.kill(leader)
			d.waitSteps(100, 10*time.Second)
			d.restart(leader, "entry")
		}
		eventually(t, 15*time.Second, "another leader", func() bool { return d.leader() != "" })
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		// A leader that sleeps through its lease and wakes up beside the next one.
		leader = d.leader()
		if leader != "" {
			d.signal(leader, syscall.SIGSTOP)
			time.Sleep(2500 * time.Millisecond)
			d.signal(leader, syscall.SIGCONT)
		}
		d.waitSteps(100, 10*time.Second)
		// A rank loses its memory, another one's agent dies, a third is cut off.
		forget := fmt.Sprintf("r%d", random.IntN(groupRanks)+1)
		d.forgetRank(forget)
		d.waitSteps(50, 15*time.Second)
		d.kill("r2")
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		d.restart("r2", "agent")
		d.cut("r3")
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		d.heal("r3")
		d.waitSteps(100, 20*time.Second)
	}
	end := d.record()
	t.Logf("%d steps on %d maps, mixed %d, unstaged %d, longest wait %d ms", end.Steps, len(end.StepsByMap), end.MixedMapSteps, end.UnstagedMapSteps, end.LongestWaitMilliseconds)
	is.Equal(end.MixedMapSteps, 0)
	is.Equal(end.UnstagedMapSteps, 0)
	is.True(len(end.StepsByMap) > len(quiet.StepsByMap))
}

func (d *deployment) forgetRank(name string) {
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

// TestNoStepWaitsForThePlatform takes the platform away for several leases.
func TestNoStepWaitsForThePlatform(t *testing.T) {
	is := is.New(t)
	d := deployGroup(t, true)
	eventually(t, 10*time.Second, "the map changes", func() bool { return len(d.record().StepsByMap) > 2 })
	d.knobs(d.platform, map[string]any{"outage": true})
	before := d.record()
	time.Sleep(6 * time.Second) // four leases
	after := d.record()
	t.Logf("%d steps during the outage, longest wait %d ms, %d waits over 100 ms", after.Steps-before.Steps, after.LongestWaitMilliseconds, after.WaitsOver100Milliseconds-before.WaitsOver100Milliseconds)
	is.True(after.Steps-before.Steps > 800) // of about 1,200 at 5 ms each
	is.Equal(after.MixedMapSteps, 0)
	d.knobs(d.platform, map[string]any{})
	maps := len(d.record().StepsByMap)
	eventually(t, 15*time.Second, "the map changes again", func() bool { return len(d.record().StepsByMap) > maps })
}

// rankState is what the tests read of a rank's dump.
type rankState struct {
	Rank struct {
		Completed int    `json:"changes-completed"`
		Step      uint64 `json:"step"`
		Rank      struct {
			Hold uint64 `json:"hold"`
		} `json:"rank"`
	} `json:"rank"`
}

// TestRanksCompleteAChangeWithoutLeaderAndPlatform loses all entries between
// the promises and the grants of a change, while the platform is away: the
// ranks' agents complete it among themselves.
func TestRanksCompleteAChangeWithoutLeaderAndPlatform(t *testing.T) {
	is := is.New(t)
	d := deployGroup(t, true)
	eventually(t, 15*time.Second, "the map changes", func() bool { return len(d.record().StepsByMap) > 2 })
	// The leader hears the promise of one rank late, so the others stay held.
	d.delayAnswers("r1", 700*time.Millisecond)
	eventually(t, 20*time.Second, "a rank is held", func() bool {
		var s rankState
		return d.dump("r2", &s) && s.Rank.Rank.Hold != 0
	})
	d.knobs(d.platform, map[string]any{"outage": true})
	for _, name := range []string{"e1", "e2", "e3"} {
		d.kill(name)
	}
	d.endDelay("r1")
	d.waitSteps(300, 10*time.Second)
	completed := 0
	for n := range groupRanks {
		var s rankState
		is.True(d.dump(fmt.Sprintf("r%d", n+1), &s))
		completed += s.Rank.Completed
	}
	end := d.record()
	t.Logf("%d steps on %d maps, %d changes completed by ranks, longest wait %d ms", end.Steps, len(end.StepsByMap), completed, end.LongestWaitMilliseconds)
	is.True(completed > 0)
	is.Equal(end.MixedMapSteps, 0)
}
