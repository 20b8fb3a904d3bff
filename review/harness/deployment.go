//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"bramleydeal/platform/standin"
)

// program is the program that the deploy file builds. Its roles are started with the
// arguments of the deploy file.
const program = "target/bramleydeal"

// record is the file of a case in which everything that was sent, answered and run is written.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func openRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// printf writes one line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small deployment on loopback addresses: the stand-in of the platform's
// store, and processes of the project.
type deployment struct {
	record  *record
	dir     string
	store   *standin.Store
	address netip.AddrPort
	// network is the second byte of the loopback addresses of this run, base the first value of
	// the third.
	network, base byte

	mu        sync.Mutex
	processes []*process
}

// newDeployment starts the store.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, store: standin.NewStore()}
	// The port of the store reserves the addresses of a run.
	var l net.Listener
	for range 20 {
		d.network, d.base = byte(1+rand.IntN(254)), byte(8*rand.IntN(31))
		if l, err = net.Listen("tcp", d.ip(0, 1).String()+":8223"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	d.address = netip.MustParseAddrPort(l.Addr().String())
	go func() { _ = http.Serve(l, d.store) }()
	return d, nil
}

// ip returns a loopback address of the deployment.
func (d *deployment) ip(group, machine byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, d.base + group, machine})
}

// settings is the content of a settings file as platform/settings.template renders it from the
// settings of a small deployment.
func (d *deployment) settings(name, zone string, ip netip.Addr, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "failure-domain": zone, "listen": "", "ready-listen": "",
		"peer-listen": ip.String() + ":7340", "debug-listen": ip.String() + ":9464", "platform": d.address.String(), "peers": []string{},
		"direct": map[string]any{
			"drain-time": "2000ms", "grace": "8s", "retry-ratio": 0.2, "retry-slack": 88, "retry-window": "10s",
			"regions": map[string]string{"za": "r", "zb": "r", "zc": "r"}, "admission": "in-time", "fencing": true,
		},
		"log-format": "json", "plain-outside-loopback": true,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// process is one process of the project, which the platform starts, stops and kills.
type process struct {
	d    *deployment
	name string
	role string
	file string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// add writes the settings file of a process and starts it.
func (d *deployment) add(name, role string, settings map[string]any) (*process, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	p := &process{d: d, name: name, role: role, file: file}
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	return p, p.start()
}

// start starts the process as the deploy file says.
func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYDEAL_SETTINGS=" + p.file}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd, p.done = cmd, make(chan struct{})
	done := p.done
	p.mu.Unlock()
	p.d.record.printf("platform starts %s (%s)", p.name, p.role)
	go func() {
		err := cmd.Wait()
		p.d.record.printf("%s has ended: %v", p.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process and returns a channel that is closed once it has ended.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.d.record.printf("platform sends %s to %s", s, p.name)
	// An error means that the process has ended.
	_ = p.cmd.Process.Signal(s)
	return p.done
}

// close kills all processes that the deployment has started.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		p.mu.Unlock()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// awaitReady waits until the platform's check of an entry is answered with 200.
func awaitReady(ctx context.Context, ready netip.AddrPort) error {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + ready.String() + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the entry does not become ready")
}
