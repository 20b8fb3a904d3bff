package rank

import (
	"flag"
	"os"
	"testing"
)

// TestMain raises the number of random histories that rapid checks from its default of
// 100 to 600. The flag -rapid.checks still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Lookup("rapid.checks").Value.Set("600"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
