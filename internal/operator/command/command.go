// Package command owns the command line: what operators type, how it is
// answered, and the table of exit codes. What the commands do is elsewhere.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"bramleydeal/internal/operator/store"
	"bramleydeal/internal/store/object"
	"github.com/google/subcommands"
	"github.com/samber/oops"
)

// Exit codes, as docs/operators.md lists them.
const (
	ExitSuccess     subcommands.ExitStatus = 0
	ExitFailure     subcommands.ExitStatus = 1
	ExitUsage       subcommands.ExitStatus = 2
	ExitConflict    subcommands.ExitStatus = 3
	ExitNotFound    subcommands.ExitStatus = 4
	ExitUnreachable subcommands.ExitStatus = 5
	ExitInvalid     subcommands.ExitStatus = 6
)

// codeUsage marks errors in how a command was called.
const codeUsage = "usage"

// callTimeout bounds one command's calls, but for those that follow changes.
const callTimeout = 15 * time.Second

// exitOf returns the exit code of an error.
func exitOf(err error) subcommands.ExitStatus {
	if err == nil {
		return ExitSuccess
	}
	var o oops.OopsError
	if !errors.As(err, &o) {
		return ExitFailure
	}
	switch o.Code() {
	case codeUsage:
		return ExitUsage
	case store.CodeConflict:
		return ExitConflict
	case store.CodeNotFound:
		return ExitNotFound
	case store.CodePlatform, "platform-call", "unreachable", "store-unreachable", "store-call":
		return ExitUnreachable
	case store.CodeInvalid:
		return ExitInvalid
	}
	return ExitFailure
}

// command is one subcommand.
type command struct {
	name, synopsis, usage string
	flags                 func(*flag.FlagSet)
	run                   func(ctx context.Context, args []string) error
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage + "\n\nFlags:\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f.Args())
	if err != nil {
		fmt.Fprintf(os.Stderr, "bramleydeal %s: %v\n", c.name, err)
	}
	return exitOf(err)
}

// want reports an error unless there are n arguments.
func want(args []string, n int, form string) error {
	if len(args) != n {
		return oops.Code(codeUsage).Errorf("usage: %s", form)
	}
	return nil
}

// console is what all commands have in common: where the platform is and how
// answers are printed.
type console struct {
	platform string
	// prepared tells that platform is the store of the prepared platform.
	prepared bool
	output   string
	out      io.Writer
}

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// environmentPlatform names the platform for all commands of a shell.
const environmentPlatform = "BRAMLEYDEAL_PLATFORM"

func (c *console) setFlags(f *flag.FlagSet) {
	fallback := os.Getenv(environmentPlatform)
	if fallback == "" {
		fallback = "127.0.0.1:7000"
	}
	f.StringVar(&c.platform, "platform", fallback, "address of the platform's object API; $"+environmentPlatform+" sets it too")
	f.BoolVar(&c.prepared, "prepared", os.Getenv(environmentPrepared) != "", "-platform is the store of the prepared platform; $"+environmentPrepared+" sets it too")
	f.StringVar(&c.output, "output", outputText, "text or json")
}

// client returns a client of the platform named by the flags.
func (c *console) client() (*object.Client, error) {
	a, err := netip.ParseAddrPort(c.platform)
	if err != nil {
		return nil, oops.Code(codeUsage).Wrapf(err, "-platform: give an IP number and port, such as 127.0.0.1:7000")
	}
	return object.NewClient(a), nil
}

func (c *console) operator() (*store.Operator, error) {
	if c.prepared {
		return nil, oops.Code(codeUsage).Errorf("-prepared: works with status, settings get and settings explain; the platform's own operators change its configuration")
	}
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	return store.New(client, time.Now), nil
}

// print answers with v as JSON, or by text.
func (c *console) print(v any, text func(io.Writer)) error {
	switch c.output {
	case outputJSON:
		e := json.NewEncoder(c.out)
		e.SetIndent("", "  ")
		return oops.Wrap(e.Encode(v))
	case outputText:
		text(c.out)
		return nil
	}
	return oops.Code(codeUsage).Errorf("-output: write text or json")
}

// Register adds all commands of bramleydeal.
func Register(commander *subcommands.Commander) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	for _, c := range processCommands() {
		commander.Register(c, "processes")
	}
	commander.Register(settingsCommand(), "operators")
	for _, c := range objectCommands() {
		commander.Register(c, "operators")
	}
	for _, c := range logCommands() {
		commander.Register(c, "operators")
	}
	for _, c := range fleetCommands() {
		commander.Register(c, "operators")
	}
}
