// Package command implements the command line: it parses flags and arguments,
// prints results and maps errors to exit codes. Most commands work on the object
// API of the platform, which holds the settings tree. With the flag -prepared, some
// work on a prepared platform instead: one whose own operators maintain the
// configuration in their store, which bramleydeal only reads.
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

// Exit codes of all commands, documented in docs/operators.md.
const (
	ExitSuccess     subcommands.ExitStatus = 0
	ExitFailure     subcommands.ExitStatus = 1
	ExitUsage       subcommands.ExitStatus = 2
	ExitConflict    subcommands.ExitStatus = 3
	ExitNotFound    subcommands.ExitStatus = 4
	ExitUnreachable subcommands.ExitStatus = 5
	ExitInvalid     subcommands.ExitStatus = 6
)

// codeUsage is the code of errors in a command's flags or arguments.
const codeUsage = "usage"

// callTimeout is the time limit of a command that calls the platform, except for
// settings watch.
const callTimeout = 15 * time.Second

// exitStatus returns the exit code for an error.
func exitStatus(err error) subcommands.ExitStatus {
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

// command is a subcommand. It implements subcommands.Command.
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
	return exitStatus(err)
}

// requireArgs returns a usage error, with the command's syntax, unless there are n
// arguments.
func requireArgs(args []string, n int, syntax string) error {
	if len(args) != n {
		return oops.Code(codeUsage).Errorf("usage: %s", syntax)
	}
	return nil
}

// commonOptions are the options that all commands on a platform have: the platform's
// address, and the format and destination of the output.
type commonOptions struct {
	platform string
	// prepared means that platform is the address of a prepared platform's store.
	prepared bool
	format   string
	out      io.Writer
}

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// platformVariable is the environment variable with the default of -platform.
const platformVariable = "BRAMLEYDEAL_PLATFORM"

// setFlags defines the common flags.
func (c *commonOptions) setFlags(f *flag.FlagSet) {
	fallback := os.Getenv(platformVariable)
	if fallback == "" {
		fallback = "127.0.0.1:7000"
	}
	f.StringVar(&c.platform, "platform", fallback, "address of the platform's object API; $"+platformVariable+" sets it too")
	f.BoolVar(&c.prepared, "prepared", os.Getenv(preparedVariable) != "", "-platform is the store of the prepared platform; $"+preparedVariable+" sets it too")
	f.StringVar(&c.format, "output", outputText, "text or json")
}

// objectClient returns a client of the object API at the address given by the flags.
func (c *commonOptions) objectClient() (*object.Client, error) {
	a, err := netip.ParseAddrPort(c.platform)
	if err != nil {
		return nil, oops.Code(codeUsage).Wrapf(err, "-platform: give an IP number and port, such as 127.0.0.1:7000")
	}
	return object.NewClient(a), nil
}

// settingsClient returns a client that reads and changes the settings tree. It
// returns a usage error if the flags name a prepared platform.
func (c *commonOptions) settingsClient() (*store.Client, error) {
	if c.prepared {
		return nil, oops.Code(codeUsage).Errorf("-prepared: works with status, settings get and settings explain only; the platform's own operators change its configuration")
	}
	client, err := c.objectClient()
	if err != nil {
		return nil, err
	}
	return store.New(client, time.Now), nil
}

// print prints v as JSON, or calls text, depending on the output format.
func (c *commonOptions) print(v any, text func(io.Writer)) error {
	switch c.format {
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

// Register adds all commands of bramleydeal to commander.
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
	for _, c := range append(fleetCommands(), evacuationCommands()...) {
		commander.Register(c, "operators")
	}
}
