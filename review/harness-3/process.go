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
	name, zone                   string
	listen, ready, peer, debug   string
	command                      *exec.Cmd
	settings, log                string
	exited                       chan struct{}
	mu                           sync.Mutex
	directWatches, cachedWatches int
}

var (
	programFolder = "target"
	scratch       string
	started       []*process
)

// settingsOf returns the settings that platform/settings.template gives for a process.
func settingsOf(p *process, storeAddress string, peers []string, direct map[string]any, upstream map[string]any) map[string]any {
	out := map[string]any{
		"name": p.name, "failure-domain": p.zone, "listen": p.listen, "ready-listen": p.ready, "peer-listen": p.peer, "debug-listen": p.debug,
		"platform": storeAddress, "peers": peers, "direct": direct, "memory-megabytes": 284, "descriptors": 4100, "log-format": "json", "plain-outside-loopback": true,
	}
	if upstream != nil {
		out["upstream"] = upstream
	}
	return out
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
	if err := p.command.Start(); err != nil {
		cannotRun("start %s: %v", p.name, err)
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(p.command, p.exited)
	started = append(started, p)
}

// signal sends a signal to the process that was started.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// stopAll ends all processes that were started, by their process IDs.
func stopAll() {
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

// awaitReady waits until the process is ready.
func (p *process) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + p.ready + "/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun("%s is not ready", p.name)
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
	os.Exit(2)
}
