// Command standin runs the stand-ins that replace the platform, the model engines and
// the plain services in tests. It also has a load generator and an experiment that
// compares replanner configurations in a simulation.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"bramleydeal/internal/standin/engine"
	"bramleydeal/internal/standin/load"
	"bramleydeal/internal/standin/ranks"
	"bramleydeal/internal/standin/serve"
	"bramleydeal/internal/standin/service"
	"bramleydeal/internal/standin/store"
	"github.com/google/subcommands"
)

// subcommand is a subcommand of standin. It implements subcommands.Command.
type subcommand struct {
	name, synopsis string
	flags          func(*flag.FlagSet)
	run            func(context.Context) error
}

// Name implements subcommands.Command.
func (s *subcommand) Name() string { return s.name }

// Synopsis implements subcommands.Command.
func (s *subcommand) Synopsis() string { return s.synopsis }

// Usage implements subcommands.Command.
func (s *subcommand) Usage() string { return s.name + " [flags]\n\n" + s.synopsis + "\n\nFlags:\n" }

// SetFlags implements subcommands.Command.
func (s *subcommand) SetFlags(f *flag.FlagSet) { s.flags(f) }

// Execute implements subcommands.Command.
func (s *subcommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := s.run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "standin %s: %v\n", s.name, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// listenFlag defines the flag -listen, an IP address and port with a default.
func listenFlag(f *flag.FlagSet, a *netip.AddrPort, defaultAddress string) {
	*a = netip.MustParseAddrPort(defaultAddress)
	f.TextVar(a, "listen", *a, "loopback address to serve at")
}

// platformCommand returns the subcommand that runs the stand-in for the platform.
func platformCommand() *subcommand {
	var a netip.AddrPort
	return &subcommand{
		name: "platform", synopsis: "the platform's object API in memory; PUT /standin/knobs turns faults on",
		flags: func(f *flag.FlagSet) { listenFlag(f, &a, "127.0.0.1:7000") },
		run:   func(ctx context.Context) error { return serve.HTTP(ctx, a, store.New().Handler()) },
	}
}

// engineCommand returns the subcommand that runs a stand-in for a model engine.
func engineCommand() *subcommand {
	var a netip.AddrPort
	o := engine.DefaultOptions
	return &subcommand{
		name: "engine", synopsis: "a model engine with continuous batching; PUT /standin/knobs turns faults on",
		flags: func(f *flag.FlagSet) {
			listenFlag(f, &a, "127.0.0.1:7300")
			f.DurationVar(&o.StepTime, "step", o.StepTime, "time of one step")
			f.IntVar(&o.BatchSize, "batch", o.BatchSize, "requests in one step")
			f.IntVar(&o.TokensPerStep, "tokens-per-step", o.TokensPerStep, "tokens of each request in one step")
			f.IntVar(&o.PrefillSteps, "prefill-steps", o.PrefillSteps, "steps that an uncached prompt costs")
			f.BoolVar(&o.Resume, "resume", o.Resume, "continue from the tokens that another engine generated")
		},
		run: func(ctx context.Context) error {
			e := engine.New(o)
			go e.Run(ctx)
			return serve.HTTP(ctx, a, e.Handler())
		},
	}
}

// serviceCommand returns the subcommand that runs a stand-in for a plain service.
func serviceCommand() *subcommand {
	var a netip.AddrPort
	return &subcommand{
		name: "service", synopsis: "a plain service that counts executions by key; PUT /standin/knobs turns faults on",
		flags: func(f *flag.FlagSet) { listenFlag(f, &a, "127.0.0.1:7400") },
		run:   func(ctx context.Context) error { return serve.HTTP(ctx, a, service.New().Handler()) },
	}
}

// ranksCommand returns the subcommand that runs stand-ins for the ranks of a group.
func ranksCommand() *subcommand {
	var listen string
	var step time.Duration
	var honourFencing bool
	var drift time.Duration
	return &subcommand{
		name: "ranks", synopsis: "the ranks of a group in lock-step, each at its own address, with drifting expert loads",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&listen, "listen", "127.0.0.1:7500,127.0.0.1:7501", "loopback addresses of the ranks, separated by commas")
			f.DurationVar(&step, "step", 5*time.Millisecond, "time of one step")
			f.BoolVar(&honourFencing, "honour-fencing", true, "reject a plan based on another version than the current one")
			f.DurationVar(&drift, "drift", 5*time.Second, "time after which each expert takes over the popularity of the next one")
		},
		run: func(ctx context.Context) error {
			addresses := strings.Split(listen, ",")
			// Each layer has the same popularities, shifted by 7 experts from layer to layer.
			popularity := func(layer, expert int, s uint64) float64 {
				shift := int(time.Duration(s) * step / drift)
				return 1000 / float64(1+(expert+7*layer+shift)%16)
			}
			g := ranks.New(len(addresses), step, honourFencing, popularity)
			go g.Run(ctx)
			errs := make(chan error, len(addresses))
			for i, text := range addresses {
				a, err := netip.ParseAddrPort(text)
				if err != nil {
					return err
				}
				go func() { errs <- serve.HTTP(ctx, a, g.Handler(i)) }()
			}
			return <-errs
		},
	}
}

// loadCommand returns the subcommand that generates load.
func loadCommand() *subcommand {
	var o load.Options
	var targets, keys string
	return &subcommand{
		name: "load", synopsis: "send seeded requests, check every response and print percentiles as JSON",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&targets, "targets", "http://127.0.0.1:8080", "base addresses, separated by commas; loopback only")
			f.StringVar(&keys, "keys", "demo-key", "bearer keys, separated by commas")
			f.StringVar(&o.Model, "model", "quotes-1", "model to ask for")
			f.IntVar(&o.Concurrency, "concurrency", 16, "callers in the closed loop")
			f.Float64Var(&o.Rate, "rate", 0, "requests a second in an open loop, 0 for the closed one")
			f.DurationVar(&o.Duration, "duration", 5*time.Second, "time during which requests are started")
			f.IntVar(&o.Tokens, "tokens", 24, "tokens of each response")
			f.BoolVar(&o.Stream, "stream", true, "ask for streams")
			f.IntVar(&o.Prompts, "prompts", 32, "number of different prompts")
			f.Uint64Var(&o.Seed, "seed", 1, "seed of the requests")
		},
		run: func(ctx context.Context) error {
			o.Targets = strings.Split(targets, ",")
			if keys != "" {
				o.Keys = strings.Split(keys, ",")
			}
			e := json.NewEncoder(os.Stdout)
			e.SetIndent("", "  ")
			return e.Encode(load.Run(ctx, o))
		},
	}
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, c := range []*subcommand{platformCommand(), engineCommand(), serviceCommand(), ranksCommand(), loadCommand(), experimentCommand()} {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
