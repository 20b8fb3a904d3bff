package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/simulation/ranks"
	"github.com/samber/oops"
)

// experimentCommand returns the subcommand that compares replanner configurations
// in a simulation of a group.
func experimentCommand() *subcommand {
	o := ranks.Options{
		Shape:       group.Shape{Ranks: 32, Experts: 128, Layers: 12, Slots: 5},
		ExpertShare: 0.85,
		Replanner:   group.ReplannerConfig{MaxFetchesPerLayer: 2, LongStepShare: 0.75},
	}
	var seeds int
	var fetchTimes, savings string
	return &subcommand{
		name: "experiment", synopsis: "compare rules for changing expert maps in a simulation of a group",
		flags: func(f *flag.FlagSet) {
			f.IntVar(&o.Shape.Ranks, "ranks", o.Shape.Ranks, "ranks of the group")
			f.IntVar(&o.Shape.Experts, "experts", o.Shape.Experts, "experts of a layer")
			f.IntVar(&o.Shape.Layers, "layers", o.Shape.Layers, "layers")
			f.IntVar(&o.Shape.Slots, "slots", o.Shape.Slots, "experts of a layer that a rank has memory for")
			f.IntVar(&o.Replanner.MaxFetchesPerLayer, "spare", o.Replanner.MaxFetchesPerLayer, "experts of a layer that a rank may fetch for one change")
			f.DurationVar(&o.Replanner.FetchTime, "fetch-time", 36*time.Millisecond, "time to fetch one expert")
			f.DurationVar(&o.StepTime, "step-time", 50*time.Millisecond, "time of a step without skew")
			f.DurationVar(&o.MaxGap, "largest-gap", 120*time.Millisecond, "longest step that is on time")
			f.IntVar(&o.RequestsPerRank, "requests", 6, "requests that a rank runs at once")
			f.IntVar(&o.MeanSteps, "events", 23, "mean number of steps of a request")
			f.IntVar(&o.Topics, "topics", 9, "number of topics of the requests")
			f.Float64Var(&o.Concentration, "concentration", 0.82, "exponent of the distribution of a topic's experts; a higher one prefers few experts more")
			f.Float64Var(&o.CommonShare, "common", 0.25, "share of the expert choices that is the same for all topics")
			f.Float64Var(&o.ShiftShare, "shift-share", 0.7, "share of new requests about the current topic, which changes at each shift")
			f.DurationVar(&o.ShiftInterval, "shift-every", 4200*time.Millisecond, "time between two shifts")
			f.DurationVar(&o.ObserveInterval, "observe", 160*time.Millisecond, "time between two readings of the ranks' counts")
			f.DurationVar(&o.MinPlanInterval, "plan-gap", 150*time.Millisecond, "minimum time between two changes")
			f.Uint64Var(&o.StepsAhead, "ahead", 3, "steps from a proposal to the change")
			f.DurationVar(&o.Duration, "length", 40*time.Second, "simulated time of a run")
			f.IntVar(&seeds, "seeds", 8, "runs of each variant")
			f.StringVar(&fetchTimes, "most", "100ms,200ms,450ms", "variants of the maximum fetch time of one change")
			f.StringVar(&savings, "least", "0.02,0.05,0.1,1e9", "variants of the minimum saving; a huge one never changes the map")
		},
		run: func(context.Context) error { return compare(o, seeds, fetchTimes, savings) },
	}
}

// compare runs the simulation for each combination of the maximum fetch times and the
// minimum savings, which are lists separated by commas, and prints the means over the
// seeds.
func compare(o ranks.Options, seeds int, fetchTimeList, savingList string) error {
	maxFetchTimes, err := parseList(fetchTimeList, time.ParseDuration)
	if err != nil {
		return err
	}
	minSavings, err := parseList(savingList, parseFloat)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "COPYING\tSAVING\tLATE\tLONG STEPS\tSKEW\tBOUND\tCHANGES\tCOPIES")
	for _, o.Replanner.MaxFetchTime = range maxFetchTimes {
		for _, o.Replanner.MinSaving = range minSavings {
			var sum ranks.Report
			for n := range seeds {
				o.Seed = uint64(n)
				r := ranks.Run(o)
				sum.LateShare += r.LateShare
				sum.LongStepShare += r.LongStepShare
				sum.Skew += r.Skew
				sum.BoundSkew += r.BoundSkew
				sum.Changes += r.Changes
				sum.Fetches += r.Fetches
			}
			n := float64(seeds)
			fmt.Fprintf(t, "%v\t%g\t%.3f\t%.3f\t%.2f\t%.2f\t%.1f\t%.0f\n", o.Replanner.MaxFetchTime, o.Replanner.MinSaving,
				sum.LateShare/n, sum.LongStepShare/n, sum.Skew/n, sum.BoundSkew/n, float64(sum.Changes)/n, float64(sum.Fetches)/n)
		}
	}
	return t.Flush()
}

// parseList parses a list of values separated by commas.
func parseList[T any](text string, parse func(string) (T, error)) ([]T, error) {
	var out []T
	for _, word := range strings.Split(text, ",") {
		v, err := parse(strings.TrimSpace(word))
		if err != nil {
			return nil, oops.Wrapf(err, "parse the list %q", text)
		}
		out = append(out, v)
	}
	return out, nil
}

func parseFloat(s string) (float64, error) { return strconv.ParseFloat(s, 64) }
