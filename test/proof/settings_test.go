package proof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// propagationLimit is the maximum time that is required for a change to take effect in
// every process. propagationTarget is a stricter target of this project, which the tests
// apply while every process can reach the platform.
const (
	propagationLimit  = 12 * time.Second
	propagationTarget = 2 * time.Second
)

// revisions returns the settings revision in effect in each process that responds.
func (d *deployment) revisions() map[string]uint64 {
	revisions := map[string]uint64{}
	for name, p := range d.processes {
		var s processState
		if p.debugAddress.IsValid() && d.readState(name, &s) {
			revisions[name] = s.Revision
		}
	}
	return revisions
}

// revisionMonitor checks every 50 ms that no process has returned to an earlier revision.
type revisionMonitor struct {
	highest map[string]uint64
	// failed is the latest failure, nil for none.
	failed atomic.Pointer[string]
	stop   chan struct{}
	done   sync.WaitGroup
}

// monitorRevisions starts a monitor of all processes.
func (d *deployment) monitorRevisions() *revisionMonitor {
	m := &revisionMonitor{highest: map[string]uint64{}, stop: make(chan struct{})}
	m.done.Go(func() {
		for !isClosed(m.stop) {
			for name, r := range d.revisions() {
				if r < m.highest[name] && r != 0 {
					text := fmt.Sprintf("%s returned from revision %d to %d", name, m.highest[name], r)
					m.failed.Store(&text)
				}
				m.highest[name] = max(m.highest[name], r)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	return m
}

// check stops the monitor and fails the test if a process returned to an earlier
// revision.
func (m *revisionMonitor) check(t *testing.T) {
	t.Helper()
	close(m.stop)
	m.done.Wait()
	if text := m.failed.Load(); text != nil {
		t.Error(*text)
	}
}

// waitInEffect waits until a revision is in effect in every process that responds, and
// returns how long that took.
func (d *deployment) waitInEffect(revision uint64) time.Duration {
	d.t.Helper()
	start := time.Now()
	eventually(d.t, propagationLimit, fmt.Sprintf("revision %d is in effect in every process", revision), func() bool {
		for _, r := range d.revisions() {
			if r < revision {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

// setWeight changes the weight of the client account "planners" and returns the revision
// of the change.
func (d *deployment) setWeight(w float64) uint64 {
	d.setLevel("client-account/planners", map[string]any{"weight": w})
	return d.putLevel("client-account/planners")
}

// TestChangesTakeEffectEverywhereWithinSeconds checks the propagation time of single
// changes and of a burst, and that no process returns to earlier settings.
func TestChangesTakeEffectEverywhereWithinSeconds(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 6, engines: 4, services: 2}, nil)
	m := d.monitorRevisions()
	slowest := time.Duration(0)
	for n := range 10 {
		slowest = max(slowest, d.waitInEffect(d.setWeight(float64(n+1))))
	}
	// A burst of as many changes as operators usually make in a day. The last one must
	// take effect.
	var last uint64
	for n := range 200 {
		last = d.setWeight(1 + float64(n)/100)
	}
	burst := d.waitInEffect(last)
	t.Logf("slowest of 10 changes %v, burst of 200 %v", slowest, burst)
	is.True(slowest < propagationTarget)
	is.True(burst < propagationTarget)
	m.check(t)
}

// TestChangesReachFailureDomainWithoutPlatform checks that changes reach processes that
// have lost their connection to the platform, through the processes of other failure
// domains.
func TestChangesReachFailureDomainWithoutPlatform(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 6, engines: 3, services: 0}, nil)
	m := d.monitorRevisions()
	for name, p := range d.processes {
		if p.instance.FailureDomain == "viseu" {
			d.dropTraffic(name + "-platform")
		}
	}
	took := d.waitInEffect(d.setWeight(3))
	t.Logf("in effect in the failure domain without the platform after %v", took)
	is.True(took < propagationLimit)
	m.check(t)
}

// TestSettingsSurviveRestartsDuringPlatformOutage restarts every process during a
// platform outage. A restarted process must get the latest settings from its peers.
func TestSettingsSurviveRestartsDuringPlatformOutage(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 3, engines: 0, services: 2}, nil)
	revision := d.setWeight(7)
	d.waitInEffect(revision)
	d.setKnobs(d.platformAddress, map[string]any{"outage": true})
	// A process that cannot list the instances on the platform finds its peers through
	// its settings file.
	for _, name := range []string{"e1", "e2", "e3", "s1", "s2"} {
		d.addPeers(name)
	}
	for _, name := range []string{"e1", "s1", "e2", "s2", "e3"} {
		d.kill(name)
		role := "agent"
		if d.processes[name].instance.Role == fleet.EntryRole {
			role = "entry"
		}
		d.restart(name, role)
		eventually(t, 5*time.Second, name+" has the latest settings", func() bool {
			var s processState
			return d.readState(name, &s) && s.Revision >= revision
		})
	}
	r := d.call(t.Context(), "e1", http.MethodGet, "/services/stock/x", "", nil)
	is.True(r.succeeded()) // requests are served after the restarts
}

// TestOldRevisionsFromPlatformAreRefused restarts the platform, which thereby loses its
// objects and returns lower revisions than before. No process may return to an earlier
// revision; the refusal must be visible in the debug state.
func TestOldRevisionsFromPlatformAreRefused(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 2, engines: 0, services: 1}, nil)
	m := d.monitorRevisions()
	d.setKnobs(d.platformAddress, map[string]any{"stale": true}) // the next line clears this fault again
	d.setKnobs(d.platformAddress, map[string]any{})
	revision := d.setWeight(5)
	d.waitInEffect(revision)
	// The restarted platform has lost all objects and counts its revisions from 1 again.
	d.kill("platform")
	d.start("platform", nil, "standin", "platform", "-listen", d.platformAddress.String())
	d.waitHTTP(d.platformAddress, "/standin/counts")
	d.put(fleet.SettingsPrefix+"fleet", map[string]any{"retries": 1})
	eventually(t, propagationLimit, "e1 has refused an old revision", func() bool {
		var s processState
		return d.readState("e1", &s) && s.Replication.OldRevisions > 0
	})
	for name, r := range d.revisions() {
		if r < revision {
			t.Errorf("%s returned to revision %d", name, r)
		}
	}
	r := d.call(t.Context(), "e1", http.MethodGet, "/services/stock/x", "", nil)
	is.True(r.succeeded())
	m.check(t)
}

// runCommand runs the command-line tool and returns its output and exit code.
func (d *deployment) runCommand(args ...string) (string, int) {
	command := exec.Command(filepath.Join(programFolder, "bramleydeal"), args...)
	command.Env = append(command.Environ(), "BRAMLEYDEAL_PLATFORM="+d.platformAddress.String())
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

// TestConcurrentOperatorsLoseNoChange has several operators change the same list at once.
// A change that is based on an old version must be refused, so that no change overwrites
// another one.
func TestConcurrentOperatorsLoseNoChange(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 2, engines: 0, services: 1}, nil)
	random := rand.New(rand.NewPCG(*seed, 2))
	const operators, changes = 4, 5
	var mu sync.Mutex
	var group sync.WaitGroup
	done, conflicts := map[string]bool{}, 0
	for n := range operators {
		pause := time.Duration(random.IntN(5)) * time.Millisecond
		group.Go(func() {
			for i := range changes {
				time.Sleep(pause)
				// Each change adds a new name to the list that the operator has read.
				for name := fmt.Sprintf("%d-%d", n, i); ; {
					version, list := d.mayUse()
					list = append(list, name)
					text, _ := json.Marshal(list)
					output, code := d.runCommand("settings", "set", "-if-version", fmt.Sprint(version), "client-account/planners", "may-use", string(text))
					mu.Lock()
					if code == 0 {
						done[name] = true
						mu.Unlock()
						break
					}
					conflicts++
					mu.Unlock()
					if code != 3 || !strings.Contains(output, "changed by another operator") {
						t.Errorf("exit %d: %s", code, output)
						return
					}
				}
			}
		})
	}
	group.Wait()
	_, list := d.mayUse()
	t.Logf("%d changes, %d conflicts", len(done), conflicts)
	is.Equal(len(done), operators*changes)
	is.Equal(len(list), operators*changes+1) // the names of all changes and the initial element
}

// mayUse returns the version of the client account "planners" and its setting may-use,
// or the default of the setting if it is not set.
func (d *deployment) mayUse() (version uint64, list []string) {
	output, _ := d.runCommand("settings", "get", "-output", "json", "client-account/planners")
	var level struct {
		Version  uint64 `json:"version"`
		Settings struct {
			MayUse []string `json:"may-use"`
		} `json:"settings"`
	}
	if err := json.Unmarshal([]byte(output), &level); err != nil {
		d.t.Errorf("settings get returned no JSON document: %s", output)
	}
	if level.Settings.MayUse == nil {
		return level.Version, []string{"*"}
	}
	return level.Version, level.Settings.MayUse
}

// TestCommandLineOutputAndExitCodes checks the exit code of each kind of command, and a
// part of its output.
func TestCommandLineOutputAndExitCodes(t *testing.T) {
	d := deploy(t, fleetSize{entries: 1, engines: 1, services: 1}, nil)
	for _, c := range []struct {
		name     string
		args     []string
		code     int
		contains string
	}{
		{"list of services", []string{"list", "services"}, 0, "stock"},
		{"explanation of a level", []string{"settings", "explain", "service/stock"}, 0, "queue-wait"},
		{"source of a value", []string{"settings", "explain", "client-account/planners"}, 0, "client-account/planners"},
		{"nonexistent level", []string{"settings", "get", "service/none"}, 4, "does not exist"},
		{"unknown kind of level", []string{"settings", "get", "zone/x"}, 6, "begin with fleet"},
		{"unknown setting", []string{"settings", "set", "fleet", "queue-wat", "1s"}, 6, "did you mean queue-wait"},
		{"value without a unit", []string{"settings", "set", "fleet", "queue-wait", "5"}, 6, "a duration"},
		{"setting at the wrong level", []string{"settings", "set", "fleet", "key-hash", "x"}, 6, "belongs on client-account"},
		{"change of a setting", []string{"settings", "set", "service/stock", "queue-wait", "1s"}, 0, "is at version"},
		{"history of a level", []string{"settings", "history", "service/stock"}, 0, "set queue-wait 1s"},
		{"unsetting of a setting", []string{"settings", "unset", "service/stock", "queue-wait"}, 0, "is at version"},
		{"new account", []string{"create", "client-account", "portal"}, 0, "bearer key"},
		{"account that already exists", []string{"create", "client-account", "portal"}, 3, "changed by another operator"},
		{"deletion of an account", []string{"delete", "client-account", "portal"}, 0, "deleted"},
		{"status of the fleet", []string{"status"}, 0, "e1"},
		{"debug dump", []string{"dump", d.processes["s1"].debugAddress.String()}, 0, `"terms"`},
		{"debug dump of an unreachable address", []string{"dump", "127.0.0.1:1"}, 5, "does not answer"},
		{"evacuation of a failure domain", []string{"evacuate", "coimbra"}, 0, "2 agents"},
		{"end of the evacuation", []string{"restore", "coimbra"}, 0, "is at version"},
		{"evacuation of an unknown failure domain", []string{"evacuate", "coimbre"}, 4, "no agent is in"},
		{"missing argument", []string{"settings", "get"}, 2, "usage"},
		{"malformed settings file", []string{"settings", "check", "deployment_test.go"}, 6, "broken JSON"},
		{"drain of an agent", []string{"drain", d.processes["s1"].debugAddress.String()}, 0, "draining"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			output, code := d.runCommand(c.args...)
			if code != c.code || !strings.Contains(output, c.contains) {
				t.Errorf("exit %d: %s", code, output)
			}
			is.True(output != "")
		})
	}
	d.signal("e1", syscall.SIGTERM)
}
