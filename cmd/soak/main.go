// Command soak runs the bramleydeal program on this host under random faults and
// checks the system's guarantees. Each run has a seed that determines its faults.
// docs/SOAK.md explains the output.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramleydeal/internal/soak/run"
	"bramleydeal/internal/soak/schedule"
	"github.com/samber/oops"
)

// flags are the command-line flags.
type flags struct {
	seed               uint64
	seeds, parallel    int
	entries, upstreams int
	length             time.Duration
	program, logs      string
	only               string
	extended, load     bool
	prompts, requests  bool
	evacuations, long  bool
}

func main() {
	var f flags
	flag.Uint64Var(&f.seed, "seed", 0, "the first seed, 0 for one drawn now")
	flag.IntVar(&f.seeds, "seeds", 1, "number of seeds")
	flag.IntVar(&f.parallel, "parallel", 1, "seeds that run at once")
	flag.IntVar(&f.entries, "entries", run.DefaultEntries, "entries of a run")
	flag.IntVar(&f.upstreams, "upstreams", run.DefaultUpstreams, "upstreams of a run")
	flag.DurationVar(&f.length, "length", run.DefaultFaultDuration, "time with faults of a run")
	flag.StringVar(&f.program, "program", "", "path of bramleydeal; built when not given")
	flag.StringVar(&f.logs, "logs", "", "folder for settings and logs, a temporary one when not given")
	flag.StringVar(&f.only, "only", "", "kinds of faults to keep, separated by commas; all when not given")
	flag.BoolVar(&f.extended, "extended", true, "inject the extended faults too; false repeats a seed from before there were any")
	flag.BoolVar(&f.load, "load", true, "inject evacuations, cold returns and overload too; false repeats a seed from before there were any")
	flag.BoolVar(&f.prompts, "prompts", true, "have upstreams end on a part of prompts; false repeats a seed from before they did")
	flag.BoolVar(&f.requests, "requests", true, "have upstreams end on requests that are sent again and again; false repeats a seed from before they did")
	flag.BoolVar(&f.evacuations, "evacuations", false, "evacuate failure domains too; give -prompts=false -requests=false with it")
	flag.BoolVar(&f.long, "long", true, "have some callers send requests that take long; false repeats a seed from before they did")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	// After the first signal, restore the default, so that a second one terminates
	// the program at once.
	context.AfterFunc(ctx, stop)
	violated, err := f.runSeeds(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	if err != nil || violated > 0 {
		os.Exit(1)
	}
}

// runSeeds runs all seeds and returns the number of those that violated a guarantee. It
// draws a seed, creates a folder for logs and builds bramleydeal if they are not given.
func (f *flags) runSeeds(ctx context.Context) (violated int, err error) {
	if f.seed == 0 {
		f.seed = rand.Uint64N(1 << 32)
	}
	if f.logs == "" {
		if f.logs, err = os.MkdirTemp("", "bramleydeal-soak-"); err != nil {
			return 0, oops.Wrap(err)
		}
	}
	if f.program == "" {
		f.program = filepath.Join(f.logs, "bramleydeal")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", f.program, "./cmd/bramleydeal").CombinedOutput(); err != nil {
			return 0, oops.Wrapf(err, "build bramleydeal (run soak in the repository's root, or give -program): %s", out)
		}
	}
	fmt.Printf("%d seeds from %d, %d entries, %d upstreams, logs in %s\n", f.seeds, f.seed, f.entries, f.upstreams, f.logs)
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, max(f.parallel, 1))
	for n := range f.seeds {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			report, seedErr := f.runSeed(ctx, f.seed+uint64(n))
			mu.Lock()
			defer mu.Unlock()
			if seedErr != nil {
				err = seedErr
				return
			}
			printReport(report)
			if len(report.Violations) > 0 {
				violated++
			}
		})
	}
	running.Wait()
	fmt.Printf("%d of %d seeds broke a promise\n", violated, f.seeds)
	return violated, err
}

// runSeed runs one seed and writes its schedule of faults to its folder of logs.
func (f *flags) runSeed(ctx context.Context, seed uint64) (*run.Report, error) {
	folder := filepath.Join(f.logs, fmt.Sprint(seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, oops.Wrap(err)
	}
	options := []run.Option{run.WithSize(f.entries, f.upstreams), run.WithFaultDuration(f.length)}
	if f.only != "" {
		var only []schedule.Fault
		for _, name := range strings.Split(f.only, ",") {
			only = append(only, schedule.Fault(name))
		}
		options = append(options, run.WithFaults(only...))
	}
	if f.extended {
		options = append(options, run.WithExtendedFaults())
	}
	if f.load {
		options = append(options, run.WithLoad())
	}
	if f.prompts {
		options = append(options, run.WithDeadlyPart())
	}
	if f.requests {
		options = append(options, run.WithDeadlyRequests())
	}
	if f.long {
		options = append(options, run.WithLongRequests())
	}
	if f.evacuations {
		options = append(options, run.WithEvacuations())
	}
	report, err := run.New(seed, f.program, folder, options...).Run(ctx)
	if err != nil {
		return nil, oops.Wrapf(err, "seed %d", seed)
	}
	return report, oops.Wrap(os.WriteFile(filepath.Join(folder, "schedule.txt"), []byte(schedule.Format(report.Steps)), 0o644))
}

// maxPrintedViolations is the number of violations of a seed that are printed; of the
// others, only the number is.
const maxPrintedViolations = 10

// printReport prints the result of a seed.
func printReport(r *run.Report) {
	fmt.Printf("seed %d: %d faults, requests %v, %d violations\n", r.Seed, len(r.Steps), r.Counts, len(r.Violations))
	for i, v := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Printf("  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Printf("  %v\n", v)
	}
}
