// Package proof tests the guarantees of the system on real processes of the built
// programs, which run on loopback addresses. The tests cause the failures under which
// the guarantees must hold: killed and stalled processes, lost network traffic,
// outages of the platform, faulty upstreams and overload.
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

// seed is the seed of the random choices in all tests. A failing test prints it.
var seed = flag.Uint64("seed", 1, "seed of the random choices in the tests")

// programFolder is the folder that contains the built programs.
var programFolder string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

// run builds the programs into a temporary folder, runs the tests and returns the exit
// code of the test process.
func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(folder)
	programFolder = folder
	for _, name := range []string{"bramleydeal", "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, name), "bramleydeal/cmd/"+name)
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Printf("build %s: %v\n%s", name, err, output)
			return 1
		}
	}
	return m.Run()
}

// eventually waits until condition returns true. It fails the test if that takes
// longer than limit. what describes the condition.
func eventually(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
