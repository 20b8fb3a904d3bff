package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// limits are what a process may take.
type limits struct {
	// megabytes is its memory in units of 1,000,000 bytes.
	megabytes int
	// descriptors is the number of its file descriptors. reservedDescriptors of them are for
	// files.
	descriptors int
}

// reservedDescriptors are the descriptors of a machine that are reserved for files.
const reservedDescriptors = 200

// lowered are the limits of the processes under test. The smallest instances of the deployments have
// 136 MB and 2,048 descriptors.
var lowered = limits{megabytes: 96, descriptors: 1200}

// process is a program under test.
type process struct {
	t       *testing.T
	limits  limits
	command *exec.Cmd
	done    chan struct{}
	log     bytes.Buffer
	// mostDescriptors is the largest number of open descriptors that was seen.
	mostDescriptors atomic.Int64
	watch           sync.WaitGroup
}

// start starts a program of this repository under limits. It is killed when the test ends.
func start(t *testing.T, l limits, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, limits: l, done: make(chan struct{})}
	// The shell sets the limit of descriptors before the program reads it.
	shell := []string{"-c", `ulimit -n "$1" && shift && exec "$@"`, "sh", strconv.Itoa(l.descriptors), filepath.Join(programFolder, program)}
	p.command = exec.Command("/bin/sh", append(shell, args...)...)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		// The error is that of the kill at the end; live reports an earlier end.
		_ = p.command.Wait()
	}()
	p.watch.Go(p.watchDescriptors)
	t.Cleanup(func() {
		// The error says that the process has ended.
		_ = p.command.Process.Kill()
		<-p.done
		p.watch.Wait()
		if t.Failed() {
			text := p.log.String()
			t.Logf("the end of the log of %s %s:\n%s", program, strings.Join(args, " "), text[max(0, len(text)-4000):])
		}
	})
	return p
}

// watchDescriptors records the open descriptors until the process has ended.
func (p *process) watchDescriptors() {
	folder := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	for {
		select {
		case <-p.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		// An error means that the process has ended.
		if open, err := os.ReadDir(folder); err == nil {
			p.mostDescriptors.Store(max(p.mostDescriptors.Load(), int64(len(open))))
		}
	}
}

// check fails the test unless the process lives and has kept to its limits.
func (p *process) check() {
	p.t.Helper()
	select {
	case <-p.done:
		p.t.Fatalf("the process has ended: %v", p.command.ProcessState)
	default:
	}
	peak, descriptors := p.peakMemory(), int(p.mostDescriptors.Load())
	p.t.Logf("peak resident memory %d of %d MB, descriptors %d of %d", peak/1e6, p.limits.megabytes, descriptors, p.limits.descriptors-reservedDescriptors)
	if peak > p.limits.megabytes*1e6 {
		p.t.Errorf("the process has taken %d MB, its machine has %d", peak/1e6, p.limits.megabytes)
	}
	if most := p.limits.descriptors - reservedDescriptors; descriptors > most {
		p.t.Errorf("the process has had %d descriptors open, it may have %d", descriptors, most)
	}
}

// peakMemory returns the peak resident memory of the process in bytes.
func (p *process) peakMemory() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kibibytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				p.t.Fatal(err)
			}
			return kibibytes << 10
		}
	}
	p.t.Fatal("the process has no peak resident memory")
	return 0
}

// writeSettings writes the settings file of a process and returns its path.
func writeSettings(t *testing.T, settings map[string]any) string {
	t.Helper()
	text, err := json.Marshal(settings)
	path := filepath.Join(t.TempDir(), "settings.json")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// addressesIssued is the number of addresses that freeAddress has returned.
var addressesIssued atomic.Uint32

// freeAddress returns a loopback address that no other call returns. Ports that the kernel chooses
// for connections cannot occupy it, since its IP is not 127.0.0.1.
func freeAddress() netip.AddrPort {
	const port, hosts = 7000, 250
	n := addressesIssued.Add(1)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%hosts), byte(100 + n/hosts), byte(1 + n%hosts)}), port)
}

// eventually waits until condition returns true. It fails the test if the process ends first or that
// takes very long.
func (p *process) eventually(what string, condition func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.done:
			p.t.Fatalf("the process has ended: %v", p.command.ProcessState)
		default:
		}
		if time.Now().After(deadline) {
			p.t.Fatalf("not so within a minute: %s", what)
		}
	}
}
