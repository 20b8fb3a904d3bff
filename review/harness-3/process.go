//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// hosts is the number of loopback hosts that were given out.
var hosts int

// newHost returns a loopback host of its own for a process, so that outgoing connections of others
// take none of its ports.
func newHost() string {
	hosts++
	return fmt.Sprintf("127.77.%d.%d", hosts/200, hosts%200+1)
}

// freeAddress returns an address of a loopback host whose port is free.
func freeAddress(host string) string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve serves a handler on a free loopback port and returns its address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// process is a program of the deploy file.
type process struct {
	name, zone, peer, debug string
	command                 *exec.Cmd
	settings, log           string
	exited                  chan struct{}
}

var (
	programFolder = "target"
	scratch       string
	// startedMu guards started and stopping.
	startedMu sync.Mutex
	started   []*process
	stopping  bool
)

// agentSettings returns the settings that platform/settings.template gives for an agent.
func agentSettings(p *process, storeAddress string, direct, upstream map[string]any) map[string]any {
	return map[string]any{
		"name": p.name, "failure-domain": p.zone, "peer-listen": p.peer, "debug-listen": p.debug, "platform": storeAddress, "peers": []string{},
		"upstream": upstream, "direct": direct, "memory-megabytes": 152, "descriptors": 2048, "log-format": "json", "plain-outside-loopback": true,
	}
}

// start starts a program with the command of the deploy file.
func (p *process) start(role string, settings map[string]any) {
	text, err := json.Marshal(settings)
	if err != nil {
		cannotRun("settings: %v", err)
	}
	p.settings, p.log = filepath.Join(scratch, p.name+".json"), filepath.Join(scratch, p.name+".log")
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	defer out.Close()
	p.command = exec.Command(filepath.Join(programFolder, "bramleydeal"), role)
	p.command.Env = append(os.Environ(), "BRAMLEYDEAL_SETTINGS="+p.settings)
	p.command.Stdout, p.command.Stderr = out, out
	p.exited = make(chan struct{})
	if err := p.startUnlessStopping(); err != nil {
		cannotRun("start %s: %v", p.name, err)
	}
}

// startUnlessStopping starts the command, unless all processes are being ended.
func (p *process) startUnlessStopping() error {
	startedMu.Lock()
	defer startedMu.Unlock()
	if stopping {
		return nil
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(p.command, p.exited)
	started = append(started, p)
	return nil
}

// signal sends a signal to the process that was started.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// stopAll ends all processes that were started, by their process IDs.
func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	stopping = true
	for _, p := range started {
		select {
		case <-p.exited:
		default:
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
	}
}

// directSettings is the member direct of the settings with the bounds of the sheet of int-bramley.
func directSettings() map[string]any {
	return map[string]any{
		"drain-time": "2000ms", "grace": "8s", "retry-ratio": 0.2, "retry-slack": 88, "retry-window": "10s",
		"regions": map[string]string{"isb-a": "pk-north"}, "admission": "in-time", "fencing": false,
	}
}

// record is the record of a run.
type record struct {
	mu   sync.Mutex
	file *os.File
	at   time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: f, at: time.Now()}
}

// line writes a line with the seconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.at).Seconds(), fmt.Sprintf(format, args...))
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	stopAll()
	_ = os.RemoveAll(scratch)
	os.Exit(2)
}
