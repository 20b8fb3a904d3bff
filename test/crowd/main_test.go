// Package crowd tests that clients who do not behave end no process and take none beyond its
// memory and descriptors. The tests start the built programs on loopback addresses, one crowd at
// a time. They check that the process lives, its peak resident memory, its open descriptors, and
// that an ordinary request is answered while the crowd is still connected. They must run apart
// from other load.
package crowd

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programFolder is the folder that contains the built programs.
var programFolder string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

// run builds the programs into a temporary folder, runs the tests and returns the exit code of
// the test process.
func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "crowd")
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
