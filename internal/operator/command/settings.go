package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"bramleydeal/internal/operator/store"
	"bramleydeal/internal/settings/tree"
	"github.com/google/subcommands"
	"github.com/samber/oops"
)

// settingsCommands is the command settings, which consists of subcommands.
type settingsCommands struct{}

func settingsCommand() subcommands.Command { return settingsCommands{} }

// Name implements subcommands.Command.
func (settingsCommands) Name() string { return "settings" }

// Synopsis implements subcommands.Command.
func (settingsCommands) Synopsis() string { return "read and change the settings tree" }

// Usage implements subcommands.Command.
func (settingsCommands) Usage() string {
	return "settings check|apply|get|set|unset|explain|history|watch ...\n\nExample:\n  bramleydeal settings set service/stock queue-wait 1s\n  bramleydeal settings help set\n"
}

// SetFlags implements subcommands.Command.
func (settingsCommands) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (settingsCommands) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "bramleydeal settings")
	commander.Register(commander.HelpCommand(), "")
	for _, c := range []*command{checkCommand(), applyCommand(), getCommand(), setCommand(), unsetCommand(), explainCommand(), historyCommand(), watchCommand()} {
		commander.Register(c, "")
	}
	return commander.Execute(ctx, args...)
}

// readFile reads and parses a deployment file. Its errors have the code
// invalid-settings.
func readFile(path string) (tree.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return tree.File{}, oops.Code(store.CodeInvalid).Wrap(err)
	}
	f, err := tree.ParseFile(text)
	if err != nil {
		return tree.File{}, oops.Code(store.CodeInvalid).Wrapf(err, "%s", path)
	}
	return f, nil
}

func checkCommand() *command {
	return &command{
		name: "check", synopsis: "check a deployment file without writing anything",
		usage: "check FILE\n\nExample:\n  bramleydeal settings check examples/tendas-ribeira.json",
		run: func(_ context.Context, args []string) error {
			if err := requireArgs(args, 1, "settings check FILE"); err != nil {
				return err
			}
			f, err := readFile(args[0])
			if err == nil {
				fmt.Printf("%s: %d levels and %d instances, no errors\n", args[0], len(f.Levels), len(f.Instances))
			}
			return err
		},
	}
}

// objectAPIFunc runs a command on the object API.
type objectAPIFunc func(ctx context.Context, c *commonOptions, client *store.Client, args []string) error

// preparedFunc runs a command on a prepared platform.
type preparedFunc func(ctx context.Context, c *commonOptions, args []string) error

// newObjectAPICommand returns a command that reads or changes the settings tree.
func newObjectAPICommand(name, synopsis, usage string, run objectAPIFunc) *command {
	return newPlatformCommand(nil, name, synopsis, usage, run)
}

// newPlatformCommand returns a command that calls run on the object API or, with
// -prepared, prepared on a prepared platform. If prepared is nil, the command does
// not support -prepared.
func newPlatformCommand(prepared preparedFunc, name, synopsis, usage string, run objectAPIFunc) *command {
	c := &commonOptions{out: os.Stdout}
	return &command{
		name: name, synopsis: synopsis, usage: usage, flags: c.setFlags,
		run: func(ctx context.Context, args []string) error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if c.prepared && prepared != nil {
				return prepared(ctx, c, args)
			}
			client, err := c.settingsClient()
			if err != nil {
				return err
			}
			return run(ctx, c, client, args)
		},
	}
}

func applyCommand() *command {
	return newObjectAPICommand("apply", "write all levels and instances of a deployment file",
		"apply [-platform ADDRESS] FILE\n\nLevels that are not in the file are not changed.\n\nExample:\n  bramleydeal settings apply examples/tendas-ribeira.json",
		func(ctx context.Context, c *commonOptions, client *store.Client, args []string) error {
			if err := requireArgs(args, 1, "settings apply FILE"); err != nil {
				return err
			}
			f, err := readFile(args[0])
			if err != nil {
				return err
			}
			changed, err := client.Apply(ctx, f)
			if err != nil {
				return err
			}
			return c.print(changed, func(w io.Writer) {
				fmt.Fprintf(w, "%d levels changed: %s\n", len(changed), strings.Join(changed, ", "))
			})
		})
}

func getCommand() *command {
	return newPlatformCommand(preparedGet, "get", "print a level, or one setting of it",
		"get PATH [SETTING]\n\nExample:\n  bramleydeal settings get service/stock",
		func(ctx context.Context, c *commonOptions, client *store.Client, args []string) error {
			if len(args) != 1 && len(args) != 2 {
				return requireArgs(args, 1, "settings get PATH [SETTING]")
			}
			v, err := client.Read(ctx, args[0])
			if err != nil {
				return err
			}
			if v.Version == 0 {
				return oops.Code(store.CodeNotFound).Errorf("%s does not exist", args[0])
			}
			if len(args) == 2 {
				return printSetting(c, v, args[1])
			}
			return c.print(map[string]any{"path": args[0], "version": v.Version, "settings": v.Level.Settings}, func(w io.Writer) {
				fmt.Fprintf(w, "%s at version %d\n", args[0], v.Version)
				for _, name := range sortedKeys(v.Level.Settings) {
					fmt.Fprintf(w, "  %s = %s\n", name, v.Level.Settings[name])
				}
			})
		})
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// printSetting prints the value that a level sets for a setting, or returns a
// not-found error.
func printSetting(c *commonOptions, v store.VersionedLevel, name string) error {
	value, ok := v.Level.Settings[name]
	if !ok {
		return oops.Code(store.CodeNotFound).Errorf("%s does not set %s; settings explain shows what it inherits", v.Level.Path(), name)
	}
	return c.print(value, func(w io.Writer) { fmt.Fprintln(w, string(value)) })
}

// rawValue returns a command-line argument as JSON. An argument that is not valid
// JSON is taken as a string.
func rawValue(s string) json.RawMessage {
	if json.Valid([]byte(s)) {
		return json.RawMessage(s)
	}
	quoted, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings always marshal
	}
	return quoted
}

// newChangeCommand returns a command that applies change to a level. The command takes
// argCount arguments, which syntax describes and of which the first is the level's path.
func newChangeCommand(name, synopsis, usage, syntax string, argCount int, change func(l tree.Level, args []string) error) *command {
	var ifVersion uint64
	c := newObjectAPICommand(name, synopsis, usage,
		func(ctx context.Context, c *commonOptions, client *store.Client, args []string) error {
			if err := requireArgs(args, argCount, syntax); err != nil {
				return err
			}
			description := strings.Join(append([]string{name}, args[1:]...), " ")
			version, err := client.Change(ctx, args[0], ifVersion, description, func(l tree.Level) error { return change(l, args) })
			if version == 0 {
				return err
			}
			printErr := c.print(map[string]any{"path": args[0], "version": version}, func(w io.Writer) {
				fmt.Fprintf(w, "%s is at version %d\n", args[0], version)
			})
			if err != nil {
				return err
			}
			return printErr
		})
	setCommonFlags := c.flags
	c.flags = func(f *flag.FlagSet) {
		setCommonFlags(f)
		f.Uint64Var(&ifVersion, "if-version", 0, "fail with a conflict unless the level is at this version")
	}
	return c
}

func setCommand() *command {
	return newChangeCommand("set", "set one setting of a level",
		"set [-if-version N] PATH SETTING VALUE\n\nIf another operator changes the level at the same time, the command fails with a conflict that shows the other change.\n\nExample:\n  bramleydeal settings set client-account/planners weight 2",
		"settings set PATH SETTING VALUE", 3,
		func(l tree.Level, args []string) error { return l.Set(args[1], rawValue(args[2])) })
}

func unsetCommand() *command {
	return newChangeCommand("unset", "let a level inherit a setting again",
		"unset [-if-version N] PATH SETTING\n\nExample:\n  bramleydeal settings unset service/stock queue-wait",
		"settings unset PATH SETTING", 2,
		func(l tree.Level, args []string) error {
			if _, ok := l.Settings[args[1]]; !ok {
				return oops.Code(store.CodeNotFound).Errorf("%s does not set %s", args[0], args[1])
			}
			delete(l.Settings, args[1])
			return nil
		})
}

func explainCommand() *command {
	return newPlatformCommand(preparedExplain, "explain", "print each effective value and the level it comes from",
		"explain PATH...\n\nSeveral paths are levels that apply together.\n\nExample:\n  bramleydeal settings explain failure-domain/viseu service/stock client-account/planners",
		func(ctx context.Context, c *commonOptions, client *store.Client, args []string) error {
			scope, err := scopeOf(args)
			if err != nil {
				return err
			}
			current, err := client.Snapshot(ctx)
			if err != nil {
				return err
			}
			for _, path := range args {
				if _, ok := current.Tree.Level(path); !ok {
					return oops.Code(store.CodeNotFound).Errorf("%s does not exist; bramleydeal list shows the existing ones", path)
				}
			}
			explained := current.Tree.Explain(scope)
			return c.print(explained, func(w io.Writer) {
				t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
				for _, e := range explained {
					fmt.Fprintf(t, "%s\t%s\t%s\n", e.Setting, e.Value, e.From)
				}
				// There is nowhere to report that standard output failed.
				_ = t.Flush()
			})
		})
}

// scopeOf returns the scope that combines the levels at the given paths. It returns
// a usage error if there are none.
func scopeOf(paths []string) (tree.Scope, error) {
	var scope tree.Scope
	if len(paths) == 0 {
		return scope, oops.Code(codeUsage).Errorf("usage: settings explain PATH...")
	}
	for _, path := range paths {
		s, err := tree.ScopeOf(path)
		if err != nil {
			return scope, err
		}
		scope.FailureDomain += s.FailureDomain
		scope.Service += s.Service
		scope.Group += s.Group
		scope.ClientAccount += s.ClientAccount
	}
	return scope, nil
}

func historyCommand() *command {
	return newObjectAPICommand("history", "print the changes of a level",
		"history PATH\n\nExample:\n  bramleydeal settings history service/stock",
		func(ctx context.Context, c *commonOptions, client *store.Client, args []string) error {
			if err := requireArgs(args, 1, "settings history PATH"); err != nil {
				return err
			}
			records, err := client.History(ctx, args[0])
			if err != nil {
				return err
			}
			return c.print(records, func(w io.Writer) {
				for _, r := range records {
					fmt.Fprintln(w, r)
				}
			})
		})
}

// watchWait is how long each request of settings watch waits for a change.
const watchWait = 30 * time.Second

func watchCommand() *command {
	c := &commonOptions{out: os.Stdout}
	return &command{
		name: "watch", synopsis: "print changes of the settings tree as they occur",
		usage: "watch\n\nExample:\n  bramleydeal settings watch", flags: c.setFlags,
		run: func(ctx context.Context, _ []string) error {
			client, err := c.settingsClient()
			if err != nil {
				return err
			}
			return client.Watch(ctx, watchWait, func(path string, version uint64, value []byte) {
				fmt.Fprintf(c.out, "%s  version %d  %s\n", path, version, value)
			})
		},
	}
}
