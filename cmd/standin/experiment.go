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

// experimentCommand compares rules for changing maps in the model of a group.
func experimentSubcommand() *subcommand {
	o := ranks.Options{
		Shape:       group.Shape{Ranks: 32, Experts: 128, Layers: 12, Slots: 5},
		ExpertShare: 0.85,
		Replanner:   group.ReplannerConfig{MaxFetchesPerLayer: 2, LongStepShare: 0.75, FetchPenalty: 0.03},
	}
	var seeds int
	var fetchTimes, savings string
	return &subcommand{
		name: "experiment", synopsis: "compare rules for changing expert maps in a model of a group",
		flags: func(f *flag.FlagSet) {
			f.IntVar(&o.Shape.Ranks, "ranks", o.Shape.Ranks, "ranks of the group")
			f.IntVar(&o.Shape.Experts, "experts", o.Shape.Experts, "experts of a layer")
			f.IntVar(&o.Shape.Layers, "layers", o.Shape.Layers, "layers")
			f.IntVar(&o.Shape.Slots, "slots", o.Shape.Slots, "experts of a layer that a rank has memory for")
			f.IntVar(&o.Replanner.MaxFetchesPerLayer, "spare", o.Replanner.MaxFetchesPerLayer, "experts of a layer that one change may copy to a rank")
			f.DurationVar(&o.Replanner.FetchTime, "fetch-time", 36*time.Millisecond, "time to copy one expert")
			f.DurationVar(&o.StepTime, "step-time", 50*time.Millisecond, "time of a step without skew")
			f.DurationVar(&o.MaxGap, "largest-gap", 120*time.Millisecond, "longest step that is on time")
			f.IntVar(&o.RequestsPerRank, "requests", 6, "requests that a rank runs at once")
			f.IntVar(&o.MeanSteps, "events", 23, "mean number of steps of a request")
			f.IntVar(&o.Topics, "topics", 9, "number of contents")
			f.Float64Var(&o.Concentration, "concentration", 0.82, "how much a content prefers its experts")
			f.Float64Var(&o.CommonShare, "common", 0.25, "part of the choices that is the same for all contents")
			f.Float64Var(&o.ShiftShare, "shift-share", 0.7, "part of the requests that follow the shifts")
			f.DurationVar(&o.ShiftInterval, "shift-every", 4200*time.Millisecond, "time between two shifts")
			f.DurationVar(&o.ObserveInterval, "observe", 160*time.Millisecond, "time between two readings of the counts")
			f.DurationVar(&o.MinPlanInterval, "plan-gap", 150*time.Millisecond, "least time between two changes")
			f.Uint64Var(&o.StepsAhead, "ahead", 3, "steps from a proposal to the change")
			f.DurationVar(&o.Duration, "length", 40*time.Second, "time that a run models")
			f.IntVar(&seeds, "seeds", 8, "runs of each variant")
			f.StringVar(&fetchTimes, "most", "150ms,450ms,900ms,1500ms", "variants of the longest copying for one change")
			f.StringVar(&savings, "least", "0.2,0.35,0.6,1e9", "variants of the least saving; a huge one never changes the map")
		},
		run: func(context.Context) error { return compare(o, seeds, fetchTimes, savings) },
	}
}

// compare prints the means of all variants.
func compare(o ranks.Options, seeds int, fetchTimes, savings string) error {
	most, err := parseList(fetchTimes, time.ParseDuration)
	if err != nil {
		return err
	}
	least, err := parseList(savings, parseFloat)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "COPYING\tSAVING\tLATE\tLONG STEPS\tSKEW\tBOUND\tCHANGES\tCOPIES")
	for _, o.Replanner.MaxFetchTime = range most {
		for _, o.Replanner.MinSaving = range least {
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

// parseList reads values that are separated by commas.
func parseList[T any](text string, parse func(string) (T, error)) ([]T, error) {
	var out []T
	for _, word := range strings.Split(text, ",") {
		v, err := parse(strings.TrimSpace(word))
		if err != nil {
			return nil, oops.Wrapf(err, "read %q", text)
		}
		out = append(out, v)
	}
	return out, nil
}

func parseFloat(s string) (float64, error) { return strconv.ParseFloat(s, 64) }
