package config

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// directSettings is the settings file of an entry on the prepared platform.
const directSettings = `// settings
{
  "name": "e1", "failure-domain": "d1", "listen": "127.0.0.1:1", "peer-listen": "127.0.0.1:2", "platform": "127.0.0.1:3",
  "direct": { "drain-time": "2000ms", "grace": "8s", "retry-ratio": 0.2, "retry-slack": 92, "retry-window": "10s", "fencing": true }
}`

func TestDirectSettings(t *testing.T) {
	tests := map[string]struct {
		from, to string
		// want is a substring of the error, empty if there is none.
		want string
	}{
		"valid":                    {"", "", ""},
		"no store":                 {`"platform": "127.0.0.1:3",`, "", "platform"},
		"no drain time":            {`"drain-time": "2000ms",`, "", "drain-time"},
		"a time without a unit":    {`"8s"`, `"8"`, "1500ms"},
		"a negative ratio":         {"0.2", "-1", "retry-ratio"},
		"a number of another type": {"92", `"many"`, "retry-slack"},
		"an unknown member":        {`"fencing"`, `"fences"`, "fences"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := Parse([]byte(strings.Replace(directSettings, test.from, test.to, 1)), fleet.EntryRole)
			if test.want == "" {
				is.NoErr(err)
				is.Equal(time.Duration(p.Direct.DrainTime), 2*time.Second)
				is.True(p.Direct.Fencing)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

// TestFollowAppliesValidSettings guards against applying an unchanged or invalid file,
// and against ignoring the changes that follow an invalid one.
func TestFollowAppliesValidSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "entry.json")
	write := func(from, to string) {
		is.NoErr(os.WriteFile(path, []byte(strings.Replace(directSettings, from, to, 1)), 0o600))
	}
	write("", "")
	ctx, stop := context.WithCancel(t.Context())
	applied := make(chan Process, 10)
	changed := make(chan os.Signal)
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow(ctx, path, fleet.EntryRole, logr.Discard(), changed, time.Hour, func(p Process) { applied <- p })
	}()
	changed <- syscall.SIGHUP // the file is unchanged, so apply is not called
	write("0.2", "0.4")
	changed <- syscall.SIGHUP
	is.Equal((<-applied).Direct.RetryRatio, 0.4)
	write("0.2", "much")
	changed <- syscall.SIGHUP
	write("0.2", "0.1")
	changed <- syscall.SIGHUP
	is.Equal((<-applied).Direct.RetryRatio, 0.1)
	stop()
	<-done
	is.Equal(len(applied), 0)
}
