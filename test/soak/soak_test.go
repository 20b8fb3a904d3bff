// Package soak runs the soak test, a randomized test of the system under faults, with the
// seeds of seeds.jsonc: a short run for CI and the seeds that have failed before.
package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"bramleydeal/internal/process/config"
	"bramleydeal/internal/soak/run"
	"bramleydeal/internal/soak/schedule"
	"github.com/matryer/is"
	"github.com/tailscale/hujson"
)

// seed is one run in seeds.jsonc. Seed determines the faults, Length is the duration of the
// faults, and Cause says why the run is kept.
type seed struct {
	Seed      uint64          `json:"seed"`
	Entries   int             `json:"entries"`
	Upstreams int             `json:"upstreams"`
	Length    config.Duration `json:"length"`
	// Extended is true if the extended faults are injected too.
	Extended bool `json:"extended"`
	// Load is true if evacuations, cold returns and overload are injected too.
	Load bool `json:"load"`
	// Prompts is true if upstreams end on a part of prompts too.
	Prompts bool `json:"prompts"`
	// Requests adds the requests that are sent again and again and end upstreams.
	Requests bool `json:"requests"`
	// Evacuations is true if failure domains are evacuated too.
	Evacuations bool `json:"evacuations"`
	// Long is true if some callers send requests that take long.
	Long bool `json:"long"`
	// Only lists the kinds of faults that are injected, all if it is empty.
	Only  []schedule.Fault `json:"only"`
	Cause string           `json:"cause"`
}

// readSeeds returns the runs in seeds.jsonc.
func readSeeds(t *testing.T) []seed {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile("seeds.jsonc")
	is.NoErr(err)
	text, err = hujson.Standardize(text)
	is.NoErr(err)
	var seeds []seed
	is.NoErr(json.Unmarshal(text, &seeds))
	return seeds
}

// TestGuaranteesHoldUnderFaults runs each seed and fails on every violation of a guarantee
// that the run records.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "bramleydeal")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "bramleydeal/cmd/bramleydeal").CombinedOutput(); err != nil {
		t.Fatalf("build bramleydeal: %v\n%s", err, out)
	}
	for _, s := range readSeeds(t) {
		t.Run(fmt.Sprint(s.Seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.True(s.Cause != "") // every seed must say why it is kept
			options := []run.Option{run.WithSize(s.Entries, s.Upstreams), run.WithFaultDuration(time.Duration(s.Length))}
			if s.Extended {
				options = append(options, run.WithExtendedFaults())
			}
			if s.Load {
				options = append(options, run.WithLoad())
			}
			if s.Prompts {
				options = append(options, run.WithDeadlyPart())
			}
			if s.Requests {
				options = append(options, run.WithDeadlyRequests())
			}
			if s.Evacuations {
				options = append(options, run.WithEvacuations())
			}
			if s.Long {
				options = append(options, run.WithLongRequests())
			}
			if len(s.Only) > 0 {
				options = append(options, run.WithFaults(s.Only...))
			}
			report, err := run.New(s.Seed, program, t.TempDir(), options...).Run(t.Context())
			is.NoErr(err)
			for _, v := range report.Violations {
				t.Error(v)
			}
			t.Logf("%d faults, requests %v", len(report.Steps), report.Counts)
		})
	}
}
