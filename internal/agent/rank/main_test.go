package rank

import (
	"flag"
	"os"
	"testing"
)

// TestMain searches more histories than rapid's own default, unless told how many.
func TestMain(m *testing.M) {
	if err := flag.Lookup("rapid.checks").Value.Set("600"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
