package command

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	agentdirect "bramleydeal/internal/agent/direct"
	agent "bramleydeal/internal/agent/server"
	"bramleydeal/internal/entry/direct"
	entry "bramleydeal/internal/entry/server"
	"bramleydeal/internal/operator/local"
	"bramleydeal/internal/process/config"
	"bramleydeal/internal/process/log"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/platform"
	"github.com/google/subcommands"
	"github.com/samber/oops"
)

// process is an entry, an agent or a local deployment. Run drains it when stop ends
// and ends it at once when ctx ends.
type process interface {
	Run(ctx, stop context.Context) error
}

// serve starts a process with start and runs it until it ends. The first SIGTERM or
// SIGINT starts its drain, and a SIGINT during the drain ends it at once. A SIGTERM during
// the drain does nothing: service managers and overlapping restarts may send it more than
// once.
func serve(ctx context.Context, start func(ctx context.Context) (process, error)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop, drain := context.WithCancel(ctx)
	defer drain()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	// SIGHUP makes an entry on a prepared platform reload its settings file. It must
	// not terminate the processes that do not reload theirs.
	signal.Ignore(syscall.SIGHUP)
	go func() {
		<-signals
		drain()
		for s := range signals {
			if s == syscall.SIGINT {
				cancel()
				return
			}
		}
	}()
	running, err := start(ctx)
	if err != nil {
		return err
	}
	return running.Run(ctx, stop)
}

// processCommands returns the commands that run processes, and version.
func processCommands() []subcommands.Command {
	return []subcommands.Command{entryCommand(), agentCommand(), localCommand(), versionCommand()}
}

// settingsVariable is the environment variable with the default of -settings.
const settingsVariable = "BRAMLEYDEAL_SETTINGS"

// addSettingsFlag defines the flag -settings.
func addSettingsFlag(f *flag.FlagSet, path *string) {
	f.StringVar(path, "settings", os.Getenv(settingsVariable), "the process's settings file, JSON with comments; $"+settingsVariable+" sets it too")
}

func entryCommand() *command {
	var path string
	return &command{
		name: "entry", synopsis: "run an entry",
		usage: "entry -settings FILE\n\nServes callers. SIGTERM or ctrl-C drains, ctrl-C during the drain ends the process at once.\n\nExample:\n  bramleydeal entry -settings entry.json",
		flags: func(f *flag.FlagSet) { addSettingsFlag(f, &path) },
		run: func(ctx context.Context, _ []string) error {
			c, err := config.Read(path, fleet.EntryRole)
			if err != nil {
				return err
			}
			limitHeap(c)
			return serve(ctx, func(ctx context.Context) (process, error) {
				if c.Direct != nil {
					return newDirectEntry(ctx, path, c)
				}
				return entry.New(ctx, c, rand.Uint64(), log.New(os.Stderr, c.LogFormat, c.Name))
			})
		},
	}
}

// Parts of a process's memory up to which it lets garbage pile up. The rest is for what the runtime
// does not count: the program's pages and the kernel's buffers.
const (
	heapMemoryShare      = 0.85
	uncountedBytes       = 24e6
	leastHeapMemoryShare = 0.5
)

// limitHeap makes the runtime collect garbage before a process takes more than its memory.
func limitHeap(c config.Process) {
	memory := float64(c.MemoryBytes())
	debug.SetMemoryLimit(int64(max(leastHeapMemoryShare*memory, min(heapMemoryShare*memory, memory-uncountedBytes))))
}

// newDirectEntry returns an entry on a prepared platform. The entry reloads its
// settings file when the file changes.
func newDirectEntry(ctx context.Context, path string, c config.Process) (process, error) {
	logger := log.New(log.NewNonBlockingWriter(os.Stdout), c.LogFormat, c.Name)
	e, err := direct.New(c, entryDependencies(c), rand.Uint64(), logger)
	if err != nil {
		return nil, err
	}
	go config.Follow(ctx, path, fleet.EntryRole, logger.Component("settings"), e.Reload)
	return e, nil
}

// agentDependencies returns the parts of an agent that are specific to the prepared
// platform.
func agentDependencies(c config.Process) agentdirect.Dependencies {
	s := platform.NewStore(c.Platform)
	return agentdirect.Dependencies{Lister: s, Leases: s, Decoder: platform.Decoder{}, EngineAt: platform.NewOrderEngine}
}

// entryDependencies returns the parts of an entry that are specific to the prepared
// platform.
func entryDependencies(c config.Process) direct.Dependencies {
	return direct.Dependencies{Store: platform.NewStore(c.Platform), Decoder: platform.Decoder{}, HeaderCodec: platform.HeaderCodec{}}
}

func agentCommand() *command {
	var path string
	return &command{
		name: "agent", synopsis: "run the agent beside an upstream",
		usage: "agent -settings FILE\n\nAll requests to the upstream pass through its agent. SIGTERM or ctrl-C drains, ctrl-C during the drain ends the process at once.\n\nExample:\n  bramleydeal agent -settings agent.json",
		flags: func(f *flag.FlagSet) { addSettingsFlag(f, &path) },
		run: func(ctx context.Context, _ []string) error {
			c, err := config.Read(path, fleet.AgentRole)
			if err != nil {
				return err
			}
			limitHeap(c)
			return serve(ctx, func(ctx context.Context) (process, error) {
				if c.Direct != nil {
					return agentdirect.New(c, agentDependencies(c), log.New(log.NewNonBlockingWriter(os.Stdout), c.LogFormat, c.Name))
				}
				return agent.New(ctx, c, rand.Uint64(), log.New(os.Stderr, c.LogFormat, c.Name))
			})
		},
	}
}

func localCommand() *command {
	var listen string
	return &command{
		name: "local", synopsis: "run entries, agents and stand-ins for their upstreams in one process",
		usage: "local [-listen ADDRESS]\n\nEntries, agents and in-memory stand-ins on loopback, to try the system out.\n\nExample:\n  bramleydeal local -listen 127.0.0.1:8080",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&listen, "listen", "127.0.0.1:8080", "loopback address for callers")
		},
		run: func(ctx context.Context, _ []string) error {
			a, err := netip.ParseAddrPort(listen)
			if err != nil || !a.Addr().IsLoopback() {
				return oops.Code(codeUsage).Errorf("-listen: give a loopback address and port, such as 127.0.0.1:8080")
			}
			limitHeap(config.Process{})
			return serve(ctx, func(ctx context.Context) (process, error) {
				return local.New(ctx, a, os.Stderr)
			})
		},
	}
}

func versionCommand() *command {
	return &command{
		name: "version", synopsis: "print the version",
		usage: "version\n\nExample:\n  bramleydeal version",
		run: func(context.Context, []string) error {
			fmt.Println("bramleydeal", version())
			return nil
		},
	}
}

// version returns the VCS revision that the program was built from, or else the
// version of its module.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
