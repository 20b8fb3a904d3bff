package direct

import (
	"flag"
	"os"
	"testing"
)

// TestMain raises the number of cases per rapid check from 100 to 600, unless the
// -rapid.checks flag sets another one.
func TestMain(m *testing.M) {
	if err := flag.Lookup("rapid.checks").Value.Set("600"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
