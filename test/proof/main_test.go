// Package proof holds the tests that run the built programs as real processes
// and bring about the failures that the promises are made for.
package proof

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seed decides the random choices of the tests; a failing run prints it.
var seed = flag.Uint64("seed", 1, "seed of the tests' random choices")

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(folder)
	programs = folder
	for _, name := range []string{"bramleydeal", "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, name), "bramleydeal/cmd/"+name)
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Printf("build %s: %v\n%s", name, err, output)
			return 1
		}
	}
	return m.Run()
}

// eventually waits until a condition holds, and fails the test if it does not
// within the limit.
func eventually(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
