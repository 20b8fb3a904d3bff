//go:build review

// Command harness plays the scripted cases of the review: it starts the programs of the
// project as separate processes beside stand-ins of the platform, the workers and the
// clients, and checks a rule on what these have seen.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// maxDuration bounds a run.
const maxDuration = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(context.Context, *record, bool) (bool, error){"drain": drainCase, "maps": mapsCase, "reuse": reuseCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE DIR")
		return cannotRun
	}
	r, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	ok, err := cases[os.Args[1]](ctx, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return cannotRun
	case ok:
		r.printf("the rule held")
		fmt.Println("the rule held")
		return held
	}
	r.printf("the rule was broken")
	fmt.Println("the rule was broken")
	return broken
}
