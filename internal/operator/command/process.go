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

	beside "bramleydeal/internal/agent/direct"
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

// process is a long-running part of the system.
type process interface {
	Run(ctx, stop context.Context) error
}

// serve runs a process until the first signal begins its drain; a second one
// ends it at once.
func serve(ctx context.Context, p func(ctx context.Context) (process, error)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop, drain := context.WithCancel(ctx)
	defer drain()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	// Only some processes take changed settings; the signal must end none.
	signal.Ignore(syscall.SIGHUP)
	go func() {
		<-signals
		drain()
		<-signals
		cancel()
	}()
	running, err := p(ctx)
	if err != nil {
		return err
	}
	return running.Run(ctx, stop)
}

func processCommands() []subcommands.Command {
	return []subcommands.Command{entryCommand(), agentCommand(), localCommand(), versionCommand()}
}

// environmentSettings names the settings file of a process that is started without
// arguments.
const environmentSettings = "BRAMLEYDEAL_SETTINGS"

// settingsFile adds the -settings flag.
func settingsFile(f *flag.FlagSet, path *string) {
	f.StringVar(path, "settings", os.Getenv(environmentSettings), "the process's settings file, JSON with comments; $"+environmentSettings+" sets it too")
}

func entryCommand() *command {
	var path string
	return &command{
		name: "entry", synopsis: "run an entry",
		usage: "entry -settings FILE\n\nServes callers. The first SIGTERM drains, a second one ends at once.\n\nExample:\n  bramleydeal entry -settings entry.json",
		flags: func(f *flag.FlagSet) { settingsFile(f, &path) },
		run: func(ctx context.Context, _ []string) error {
			c, err := config.Read(path, fleet.EntryRole)
			if err != nil {
				return err
			}
			return serve(ctx, func(ctx context.Context) (process, error) {
				if c.Direct != nil {
					return directEntry(ctx, path, c)
				}
				return entry.New(ctx, c, rand.Uint64(), log.New(os.Stderr, c.LogFormat, c.Name))
			})
		},
	}
}

// directEntry puts an entry together that takes changes of its settings file.
func directEntry(ctx context.Context, path string, c config.Process) (process, error) {
	logger := log.New(log.NewNonBlockingWriter(os.Stdout), c.LogFormat, c.Name)
	e, err := direct.New(c, entryDeployment(c), rand.Uint64(), logger)
	if err != nil {
		return nil, err
	}
	go config.Follow(ctx, path, fleet.EntryRole, logger.Component("settings"), e.Reload)
	return e, nil
}

// agentDeployment returns what an agent meets on the operators' platform.
func agentDeployment(c config.Process) beside.Dependencies {
	s := platform.NewStore(c.Platform)
	return beside.Dependencies{Lister: s, Leases: s, Decoder: platform.Decoder{}, EngineAt: platform.NewOrderEngine}
}

// entryDeployment returns what an entry meets on the operators' platform.
func entryDeployment(c config.Process) direct.Dependencies {
	return direct.Dependencies{Store: platform.NewStore(c.Platform), Decoder: platform.Decoder{}, HeaderCodec: platform.HeaderCodec{}}
}

func agentCommand() *command {
	var path string
	return &command{
		name: "agent", synopsis: "run the agent beside an upstream",
		usage: "agent -settings FILE\n\nThe only door into its upstream. The first SIGTERM drains, a second one ends at once.\n\nExample:\n  bramleydeal agent -settings agent.json",
		flags: func(f *flag.FlagSet) { settingsFile(f, &path) },
		run: func(ctx context.Context, _ []string) error {
			c, err := config.Read(path, fleet.AgentRole)
			if err != nil {
				return err
			}
			return serve(ctx, func(ctx context.Context) (process, error) {
				if c.Direct != nil {
					return beside.New(c, agentDeployment(c), log.New(log.NewNonBlockingWriter(os.Stdout), c.LogFormat, c.Name))
				}
				return agent.New(ctx, c, rand.Uint64(), log.New(os.Stderr, c.LogFormat, c.Name))
			})
		},
	}
}

func localCommand() *command {
	var listen string
	return &command{
		name: "local", synopsis: "run the whole path in one process, with stand-ins behind it",
		usage: "local [-listen ADDRESS]\n\nEntries, agents and in-memory stand-ins on loopback, to try the system out.\n\nExample:\n  bramleydeal local -listen 127.0.0.1:8080",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&listen, "listen", "127.0.0.1:8080", "loopback address for callers")
		},
		run: func(ctx context.Context, _ []string) error {
			a, err := netip.ParseAddrPort(listen)
			if err != nil || !a.Addr().IsLoopback() {
				return oops.Code(codeUsage).Errorf("-listen: give a loopback address and port, such as 127.0.0.1:8080")
			}
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

// version returns the revision that the program was built from.
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
