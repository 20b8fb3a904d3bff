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

// inForceWithin is the time in which the brief wants a change everywhere, and
// aimWithin what we aim for.
const (
	inForceWithin = 12 * time.Second
	aimWithin     = 2 * time.Second
)

// revisions returns the revision in force at each process that answers.
func (d *deployment) revisions() map[string]uint64 {
	out := map[string]uint64{}
	for name, p := range d.processes {
		var s entryState
		if p.debug.IsValid() && d.dump(name, &s) {
			out[name] = s.Revision
		}
	}
	return out
}

// monitor watches that no process's revision ever falls.
type monitor struct {
	highest map[string]uint64
	failed  atomic.Pointer[string]
	stop    chan struct{}
	done    sync.WaitGroup
}

func (d *deployment) monitorRevisions() *monitor {
	m := &monitor{highest: map[string]uint64{}, stop: make(chan struct{})}
	m.done.Go(func() {
		for !closed(m.stop) {
			for name, r := range d.revisions() {
				if r < m.highest[name] && r != 0 {
					text := fmt.Sprintf("%s went from revision %d back to %d", name, m.highest[name], r)
					m.failed.Store(&text)
				}
				m.highest[name] = max(m.highest[name], r)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	return m
}

func (m *monitor) check(t *testing.T) {
	t.Helper()
	close(m.stop)
	m.done.Wait()
	if text := m.failed.Load(); text != nil {
		t.Error(*text)
	}
}

// waitInForce waits until a revision is in force everywhere and returns how
// long it took.
func (d *deployment) waitInForce(revision uint64) time.Duration {
	d.t.Helper()
	begun := time.Now()
	eventually(d.t, inForceWithin, fmt.Sprintf("revision %d in force everywhere", revision), func() bool {
		for _, r := range d.revisions() {
			if r < revision {
				return false
			}
		}
		return true
	})
	return time.Since(begun)
}

func (d *deployment) setWeight(w float64) uint64 {
	d.level("client-account/planners", map[string]any{"weight": w})
	return d.putLevel("client-account/planners")
}

func TestChangesAreInForceEverywhereWithinSeconds(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 6, engines: 4, services: 2}, nil)
	m := d.monitorRevisions()
	slowest := time.Duration(0)
	for n := range 10 {
		slowest = max(slowest, d.waitInForce(d.setWeight(float64(n+1))))
	}
	// A burst: a day's changes in a moment, the last one counts.
	var last uint64
	for n := range 200 {
		last = d.setWeight(1 + float64(n)/100)
	}
	burst := d.waitInForce(last)
	t.Logf("slowest of 10 changes %v, burst of 200 %v", slowest, burst)
	is.True(slowest < aimWithin)
	is.True(burst < aimWithin)
	m.check(t)
}

func TestChangesReachADomainThatIsCutFromThePlatform(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 6, engines: 3, services: 0}, nil)
	m := d.monitorRevisions()
	for name, p := range d.processes {
		if p.instance.FailureDomain == "viseu" {
			d.cut(name + "-platform")
		}
	}
	took := d.waitInForce(d.setWeight(3))
	t.Logf("in force in the cut domain after %v", took)
	is.True(took < inForceWithin)
	m.check(t)
}

func TestSettingsOutliveEveryProcessDuringAnOutage(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 3, engines: 0, services: 2}, nil)
	revision := d.setWeight(7)
	d.waitInForce(revision)
	d.knobs(d.platform, map[string]any{"outage": true})
	// Each process knows where the others are from its settings file.
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
		eventually(t, 5*time.Second, name+" has the settings again", func() bool {
			var s entryState
			return d.dump(name, &s) && s.Revision >= revision
		})
	}
	r := d.call(t.Context(), "e1", http.MethodGet, "/services/stock/x", "", nil)
	is.True(r.whole()) // and the path serves
}

func TestAnOldPlatformIsRefusedAndReported(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 2, engines: 0, services: 1}, nil)
	m := d.monitorRevisions()
	d.knobs(d.platform, map[string]any{"stale": true}) // from here on, reads show the past
	d.knobs(d.platform, map[string]any{})
	revision := d.setWeight(5)
	d.waitInForce(revision)
	// A restarted platform that lost the latest changes.
	d.kill("platform")
	d.start("platform", nil, "standin", "platform", "-listen", d.platform.String())
	d.waitHTTP(d.platform, "/standin/counts")
	d.put(fleet.SettingsPrefix+"fleet", map[string]any{"retries": 1})
	eventually(t, inForceWithin, "the old revision is refused", func() bool {
		var s entryState
		return d.dump("e1", &s) && s.Spread.OldRevisions > 0
	})
	for name, r := range d.revisions() {
		if r < revision {
			t.Errorf("%s went back to %d", name, r)
		}
	}
	r := d.call(t.Context(), "e1", http.MethodGet, "/services/stock/x", "", nil)
	is.True(r.whole())
	m.check(t)
}

// command runs the operators' command line and returns its output and exit code.
func (d *deployment) command(args ...string) (string, int) {
	c := exec.Command(filepath.Join(programs, "bramleydeal"), args...)
	c.Env = append(c.Environ(), "BRAMLEYDEAL_PLATFORM="+d.platform.String())
	output, _ := c.CombinedOutput()
	return string(output), c.ProcessState.ExitCode()
}

func TestOperatorsWhoRaceLoseNothing(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 2, engines: 0, services: 1}, nil)
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
				// Each operator adds its own name to the list that it read.
				for name := fmt.Sprintf("%d-%d", n, i); ; {
					version, list := d.mayUse()
					list = append(list, name)
					text, _ := json.Marshal(list)
					output, code := d.command("settings", "set", "-if-version", fmt.Sprint(version), "client-account/planners", "may-use", string(text))
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
	is.Equal(len(list), operators*changes+1) // every change and the first entry
}

func (d *deployment) mayUse() (version uint64, list []string) {
	output, _ := d.command("settings", "get", "-output", "json", "client-account/planners")
	var got struct {
		Version  uint64 `json:"version"`
		Settings struct {
			MayUse []string `json:"may-use"`
		} `json:"settings"`
	}
	if err := json.Unmarshal([]byte(output), &got); err != nil {
		d.t.Errorf("settings get: %s", output)
	}
	if got.Settings.MayUse == nil {
		return got.Version, []string{"*"}
	}
	return got.Version, got.Settings.MayUse
}

func TestCommandLineAnswers(t *testing.T) {
	d := deploy(t, size{entries: 1, engines: 1, services: 1}, nil)
	for _, c := range []struct {
		name string
		args []string
		code int
		says string
	}{
		{"a list", []string{"list", "services"}, 0, "stock"},
		{"an explanation", []string{"settings", "explain", "service/stock"}, 0, "queue-wait"},
		{"where a value comes from", []string{"settings", "explain", "client-account/planners"}, 0, "client-account/planners"},
		{"a level that does not exist", []string{"settings", "get", "service/none"}, 4, "does not exist"},
		{"a level of no kind", []string{"settings", "get", "zone/x"}, 6, "begin with fleet"},
		{"an unknown setting", []string{"settings", "set", "fleet", "queue-wat", "1s"}, 6, "did you mean queue-wait"},
		{"a wrong unit", []string{"settings", "set", "fleet", "queue-wait", "5"}, 6, "a duration"},
		{"a wrong level", []string{"settings", "set", "fleet", "key-hash", "x"}, 6, "belongs on client-account"},
		{"a change", []string{"settings", "set", "service/stock", "queue-wait", "1s"}, 0, "is at version"},
		{"its history", []string{"settings", "history", "service/stock"}, 0, "set queue-wait 1s"},
		{"its undoing", []string{"settings", "unset", "service/stock", "queue-wait"}, 0, "is at version"},
		{"a new account", []string{"create", "client-account", "portal"}, 0, "bearer key"},
		{"the same account again", []string{"create", "client-account", "portal"}, 3, "changed by another operator"},
		{"its deletion", []string{"delete", "client-account", "portal"}, 0, "deleted"},
		{"the fleet", []string{"status"}, 0, "e1"},
		{"a dump", []string{"dump", d.processes["s1"].debug.String()}, 0, `"terms"`},
		{"a dump of nobody", []string{"dump", "127.0.0.1:1"}, 5, "does not answer"},
		{"a missing argument", []string{"settings", "get"}, 2, "usage"},
		{"a file with faults", []string{"settings", "check", "deployment_test.go"}, 6, "broken JSON"},
		{"a drain", []string{"drain", d.processes["s1"].debug.String()}, 0, "draining"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			output, code := d.command(c.args...)
			if code != c.code || !strings.Contains(output, c.says) {
				t.Errorf("exit %d: %s", code, output)
			}
			is.True(output != "")
		})
	}
	d.signal("e1", syscall.SIGTERM)
}
