// Package program runs the entries of a soak run as real processes and sends signals to
// them. It signals no process that it did not start.
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

	"bramleydeal/internal/process/config"
	"github.com/samber/oops"
)

// Settings are the settings that differ between the entries of a run.
type Settings struct {
	Name          string
	FailureDomain string
	// ListenAddress, ReadyAddress and PeerAddress are the addresses at which the entry
	// listens for callers, readiness probes and other entries. StoreAddress is the
	// address at which it reaches the store.
	ListenAddress, ReadyAddress, PeerAddress, StoreAddress netip.AddrPort
	// PeerSeeds are peer addresses of entries through which the entry finds its peers.
	PeerSeeds  []netip.AddrPort
	RetrySlack float64
	// Load is true for an entry that limits the requests to cold upstreams and decides which
	// requests it admits under overload.
	Load bool
	// Evacuations is set if the entry follows evacuations.
	Evacuations bool
}

// Limits that are set for all entries of a run and that the checks apply.
const (
	// DrainTime is the time within which a draining upstream must stop receiving new
	// requests.
	DrainTime = 2 * time.Second
	// GracePeriod is the time from the signal to shut down until the process is killed.
	GracePeriod = 8 * time.Second
	// RetryRatio is the number of retries per request that all entries together may
	// send within RetryWindow.
	RetryRatio  = 0.2
	RetryWindow = 10 * time.Second
	// ColdTime is the time for which upstreams are cold after their start, ColdRate the
	// requests per second that they take then. ColdFactor times ColdRate plus ColdSlack
	// may reach one in any second.
	ColdTime              = 3 * time.Second
	ColdRate              = 6.0
	ColdFactor, ColdSlack = 1.5, 5.0
	// EvacuationTime is the time within which an evacuated failure domain must stop
	// receiving requests.
	EvacuationTime = 5 * time.Second
)

// marshal returns the content of the settings file.
func (s Settings) marshal() ([]byte, error) {
	direct := map[string]any{
		"drain-time": DrainTime.String(), "grace": GracePeriod.String(), "retry-ratio": RetryRatio,
		"retry-slack": s.RetrySlack, "retry-window": RetryWindow.String(), "fencing": true,
	}
	if s.Load {
		direct["cold-factor"], direct["cold-slack"], direct["admission"] = ColdFactor, ColdSlack, config.AdmitInTime
	}
	if s.Evacuations {
		direct["evacuation-time"] = EvacuationTime.String()
	}
	return json.MarshalIndent(map[string]any{
		"name": s.Name, "failure-domain": s.FailureDomain, "listen": s.ListenAddress, "ready-listen": s.ReadyAddress,
		"peer-listen": s.PeerAddress, "platform": s.StoreAddress, "peers": s.PeerSeeds, "log-format": "json",
		"direct": direct,
	}, "", "  ")
}

// Entry is one entry of a run. It is run by one process at a time, and by several over
// the run. It is safe for concurrent use.
type Entry struct {
	Settings   Settings
	executable string
	folder     string

	mu          sync.Mutex
	command     *exec.Cmd
	done        chan struct{}
	incarnation int
	// restarting is set from BeginRestart to EndRestart. ending is the incarnation that the
	// restart replaces.
	restarting bool
	ending     int
}

// New returns an entry whose process is not started. program is the path of the
// executable; the settings and the log of the entry are files in folder.
func New(program, folder string, s Settings) *Entry {
	return &Entry{Settings: s, executable: program, folder: folder}
}

// path returns the path of the entry's file with an extension.
func (e *Entry) path(ext string) string { return filepath.Join(e.folder, e.Settings.Name+ext) }

// Start writes the settings file and starts a process, whose output is appended to the
// entry's log file.
func (e *Entry) Start() error {
	if err := e.WriteSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(e.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return oops.Wrap(err)
	}
	defer log.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.command = exec.Command(e.executable, "entry", "-settings", e.path(".json"))
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return oops.Wrapf(err, "start %s", e.Settings.Name)
	}
	e.incarnation++
	e.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		defer close(done)
		// The process state holds the reason for the exit.
		_ = c.Wait()
	}(e.command, e.done)
	return nil
}

// WriteSettings writes the settings file.
func (e *Entry) WriteSettings() error {
	text, err := e.Settings.marshal()
	if err != nil {
		return oops.Wrap(err)
	}
	// The file is replaced by a rename, so that a process that reads it at the same time
	// sees either the old or the new content.
	if err := os.WriteFile(e.path(".new"), text, 0o644); err != nil {
		return oops.Wrap(err)
	}
	return oops.Wrap(os.Rename(e.path(".new"), e.path(".json")))
}

// Incarnation returns the number of processes that have been started for the entry.
func (e *Entry) Incarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Running reports whether the entry's process has not exited.
func (e *Entry) Running() bool {
	select {
	case <-e.exited():
		return false
	default:
		return true
	}
}

// exited returns a channel that is closed when the latest process has exited.
func (e *Entry) exited() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.done
}

// Ready reports whether the entry answers a readiness probe with status 200.
func (e *Entry) Ready(c *http.Client) bool {
	response, err := c.Get("http://" + e.Settings.ReadyAddress.String() + "/ready")
	if err != nil {
		return false
	}
	// The body is not read.
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the entry's process. It does nothing if that has exited.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.command.Process.Signal(s)
}

// AwaitExit waits until the entry's process has exited, and kills it after a time-out.
// It reports whether it has killed the process.
func (e *Entry) AwaitExit(timeout time.Duration) bool {
	done := e.exited()
	select {
	case <-done:
		return false
	case <-time.After(timeout):
		e.Signal(syscall.SIGKILL)
		<-done
		return true
	}
}

// BeginRestart marks the entry as restarting. It returns false if the entry is marked
// already.
func (e *Entry) BeginRestart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarting {
		return false
	}
	e.restarting, e.ending = true, e.incarnation
	return true
}

// StopAgain asks the process that a restart is about to replace once more to shut down. It does
// nothing if no restart is in progress or the next process runs already.
func (e *Entry) StopAgain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarting && e.ending == e.incarnation {
		// An error means that the process has exited.
		_ = e.command.Process.Signal(syscall.SIGTERM)
	}
}

// EndRestart removes the mark that BeginRestart set.
func (e *Entry) EndRestart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restarting = false
}
