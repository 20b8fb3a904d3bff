// Package program runs the real programs of a soak run as processes of their own
// and sends them signals. It starts and ends no others.
package program

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Settings are what differs between the entries of a run.
type Settings struct {
	Name          string
	FailureDomain string
	// Callers, Ready and Peers are where the entry listens, Store is where it
	// reaches the store.
	Callers, Ready, Peers, Store netip.AddrPort
	Seeds                        []netip.AddrPort
	RetrySlack                   float64
}

// The bounds that the programs of a run are given and the checks go by.
const (
	DrainTime   = 2 * time.Second
	Grace       = 8 * time.Second
	RetryRatio  = 0.2
	RetryWindow = 10 * time.Second
)

func (s Settings) text() ([]byte, error) {
	return json.MarshalIndent(map[string]any{
		"name": s.Name, "failure-domain": s.FailureDomain, "listen": s.Callers, "ready-listen": s.Ready,
		"peer-listen": s.Peers, "platform": s.Store, "peers": s.Seeds, "log-format": "json",
		"direct": map[string]any{
			"drain-time": DrainTime.String(), "grace": Grace.String(), "retry-ratio": RetryRatio,
			"retry-slack": s.RetrySlack, "retry-window": RetryWindow.String(), "fencing": true,
		},
	}, "", "  ")
}

// Entry is one entry and the processes that ran it.
type Entry struct {
	Settings Settings
	program  string
	folder   string

	mu       sync.Mutex
	command  *exec.Cmd
	done     chan struct{}
	lifetime int
	// restarting is set while another process is to follow.
	restarting bool
}

// New returns an entry that is not started. Its settings and logs are files in
// folder.
func New(program, folder string, s Settings) *Entry {
	return &Entry{Settings: s, program: program, folder: folder}
}

func (e *Entry) path(end string) string { return filepath.Join(e.folder, e.Settings.Name+end) }

// Start writes the settings file and starts a process. The log goes on in one file.
func (e *Entry) Start() error {
	if err := e.Write(); err != nil {
		return err
	}
	log, err := os.OpenFile(e.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return oops.Wrap(err)
	}
	defer log.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.command = exec.Command(e.program, "entry", "-settings", e.path(".json"))
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return oops.Wrapf(err, "start %s", e.Settings.Name)
	}
	e.lifetime++
	e.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		defer close(done)
		// The state tells how the process ended.
		_ = c.Wait()
	}(e.command, e.done)
	return nil
}

// Write writes the settings file.
func (e *Entry) Write() error {
	text, err := e.Settings.text()
	if err != nil {
		return oops.Wrap(err)
	}
	// A process that reads meanwhile sees the old file or the new one.
	if err := os.WriteFile(e.path(".new"), text, 0o644); err != nil {
		return oops.Wrap(err)
	}
	return oops.Wrap(os.Rename(e.path(".new"), e.path(".json")))
}

// Lifetime counts the processes that ran the entry.
func (e *Entry) Lifetime() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lifetime
}

// Runs tells whether the process has not ended.
func (e *Entry) Runs() bool {
	select {
	case <-e.ended():
		return false
	default:
		return true
	}
}

// ended returns a channel that is closed with the latest process's end.
func (e *Entry) ended() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.done
}

// Ready asks the entry whether it takes callers.
func (e *Entry) Ready(c *http.Client) bool {
	answer, err := c.Get("http://" + e.Settings.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	// Nothing is read of the answer.
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// Signal sends a signal; one to a process that has ended does nothing.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.command.Process.Signal(s)
}

// AwaitEnd waits for the process's end and kills it after a limit. It tells whether
// the kill was needed.
func (e *Entry) AwaitEnd(limit time.Duration) bool {
	done := e.ended()
	select {
	case <-done:
		return false
	case <-time.After(limit):
		e.Signal(syscall.SIGKILL)
		<-done
		return true
	}
}

// BeginRestart claims the entry for a restart; false says that one is under way.
func (e *Entry) BeginRestart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	claimed := !e.restarting
	e.restarting = true
	return claimed
}

// EndRestart ends the claim.
func (e *Entry) EndRestart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restarting = false
}
