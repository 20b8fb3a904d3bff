//go:build review

// Command review-2 runs the scripted cases of the second review. It starts the programs of the
// deploy file as separate processes on loopback, with stand-ins for the platform, the workers and
// the clients, and exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// cases are the cases by name. Each returns what broke a rule, nil if nothing did.
var cases = map[string]func(*run) ([]string, error){
	"formed-anew":  formedAnew,
	"older-copy":   olderCopy,
	"long-bodies":  longBodies,
	"public-route": publicRoute,
}

// run is one run of a case.
type run struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	binary  string
	folder  string
	began   time.Time

	mu     sync.Mutex
	record *os.File
	lines  []string
}

// note writes a line to the record.
func (r *run) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, values...)
	r.lines = append(r.lines, line)
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), line)
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	const cannotRun = 2
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE PROGRAM RECORD")
		return cannotRun
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(folder)
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer record.Close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", binary: binary, folder: folder, began: time.Now(), record: record}
	broken, err := cases[os.Args[1]](r)
	if err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return cannotRun
	}
	for _, b := range broken {
		r.note("BROKEN %s", b)
	}
	fmt.Printf("trouble %v: %d breaches\n", r.trouble, len(broken))
	for _, b := range broken[:min(len(broken), 5)] {
		fmt.Println(" ", b)
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}
