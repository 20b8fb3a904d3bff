//go:build review

// Command harness-3 plays the cases of the third review that are scripts. It starts the programs
// of the deploy file as separate processes on loopback addresses. It exits with 1 if the case's
// rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

var cases = map[string]func(r *record, trouble bool) (broken bool){
	"11": staleCollection,
	"12": standstill,
	"13": lateSwitch,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: harness-3 CASE FOLDER")
	}
	var err error
	if scratch, err = os.MkdirTemp("", "review-3-"); err != nil {
		cannotRun("temporary folder: %v", err)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		cannotRun("interrupted")
	}()
	r := newRecord(filepath.Join(os.Args[2], "record.txt"))
	broken := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(scratch)
	}
	if broken {
		r.line("result: the rule was broken")
		os.Exit(1)
	}
	r.line("result: the rule held")
}
