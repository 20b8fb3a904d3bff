package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"bramleydeal/internal/operator/trace"
	"bramleydeal/internal/process/config"
	"bramleydeal/internal/world/fleet"
	"github.com/google/subcommands"
	"github.com/samber/oops"
)

// logCommands returns the commands on logs and settings files.
func logCommands() []subcommands.Command {
	return []subcommands.Command{traceCommand(), checkFileCommand()}
}

func traceCommand() *command {
	return &command{
		name: "trace", synopsis: "print the trace of one request from logs",
		usage: "trace ID [FILE...]\n\nReads logs in JSON from the files, or from standard input, and prints what the processes decided about a request, in order of time.\n\n" +
			"Example:\n  bramleydeal trace 9c41d07be2a35f68 entry-1.log entry-2.log",
		run: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return oops.Code(codeUsage).Errorf("usage: trace ID [FILE...]")
			}
			logs := []io.Reader{os.Stdin}
			if len(args) > 1 {
				logs = nil
			}
			for _, path := range args[1:] {
				f, err := os.Open(path)
				if err != nil {
					return oops.Code(codeUsage).Wrapf(err, "cannot open a log file; give files that can be read")
				}
				defer f.Close()
				logs = append(logs, f)
			}
			lines, err := trace.Read(logs, args[0])
			if err != nil {
				return err
			}
			return trace.Print(os.Stdout, args[0], lines)
		},
	}
}

func checkFileCommand() *command {
	return &command{
		name: "check", synopsis: "check a process's settings file",
		usage: "check entry|agent FILE\n\nPrints the first error in a settings file, or that it is valid.\n\nExample:\n  bramleydeal check entry entry.json",
		run: func(_ context.Context, args []string) error {
			if err := requireArgs(args, 2, "check entry|agent FILE"); err != nil {
				return err
			}
			role := fleet.Role(args[0])
			if role != fleet.EntryRole && role != fleet.AgentRole {
				return oops.Code(codeUsage).Errorf("%q is not a role; write entry or agent", args[0])
			}
			c, err := config.Read(args[1], role)
			if err != nil {
				return err
			}
			fmt.Printf("%s is a valid settings file of %s %s\n", args[1], role, c.Name)
			return nil
		},
	}
}
