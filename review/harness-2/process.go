//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is a process of the project.
type program struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

// start starts the program with a role and the text of its settings file.
func (r *run) start(role, name, settings string) (*program, error) {
	path := filepath.Join(r.folder, name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(r.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	if logs := os.Getenv("LOGS"); logs != "" {
		if out, err = os.Create(filepath.Join(logs, name+".log")); err != nil {
			return nil, err
		}
	}
	p := &program{name: name, command: exec.Command(r.binary, role), exited: make(chan struct{})}
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYDEAL_SETTINGS=" + path}
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		// The way in which a process ends is not judged here.
		_ = p.command.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	return p, nil
}

func (p *program) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// end ends the process, and waits until it has ended.
func (p *program) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(2 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// serveAt serves a handler at an address until the returned function is called.
func serveAt(address string, h http.Handler) (stop func(), err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return func() { _ = s.Close() }, nil
}

// freePort returns a port that is free at all the given hosts.
func freePort(hosts ...string) (int, error) {
	for range 100 {
		l, err := net.Listen("tcp", net.JoinHostPort(hosts[0], "0"))
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, h := range hosts[1:] {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, port))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at all of %v", hosts)
}
