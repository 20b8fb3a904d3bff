package command

import (
	"context"
	"fmt"
	"io"

	"bramleydeal/internal/operator/store"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/world/fleet"
	"github.com/google/subcommands"
	"github.com/samber/oops"
)

// evacuationCommands returns the commands that empty a failure domain and use it again.
func evacuationCommands() []subcommands.Command {
	return []subcommands.Command{
		newEvacuationCommand("evacuate", "send no new requests to a failure domain",
			"evacuate DOMAIN\n\nRequests that run there end undisturbed.\n\nExample:\n  bramleydeal evacuate viseu", true),
		newEvacuationCommand("restore", "send requests to an evacuated failure domain again",
			"restore DOMAIN\n\nExample:\n  bramleydeal restore viseu", false),
	}
}

// newEvacuationCommand returns a command that sets whether a failure domain is evacuated.
func newEvacuationCommand(name, synopsis, usage string, evacuated bool) *command {
	return newObjectAPICommand(name, synopsis, usage,
		func(ctx context.Context, c *commonOptions, client *store.Client, args []string) error {
			if err := requireArgs(args, 1, name+" DOMAIN"); err != nil {
				return err
			}
			current, err := client.Snapshot(ctx)
			if err != nil {
				return err
			}
			agents := 0
			for _, i := range current.Instances {
				if i.Role == fleet.AgentRole && string(i.FailureDomain) == args[0] {
					agents++
				}
			}
			if agents == 0 {
				return oops.Code(store.CodeNotFound).Errorf("no agent is in the failure domain %s; bramleydeal status shows where they are", args[0])
			}
			path := string(reference.FailureDomain) + "/" + args[0]
			version, err := client.Change(ctx, path, 0, name, func(l tree.Level) error {
				if !evacuated {
					delete(l.Settings, reference.EvacuatedName)
					return nil
				}
				return l.Set(reference.EvacuatedName, rawValue("true"))
			})
			if version == 0 {
				return err
			}
			printErr := c.print(map[string]any{"path": path, "version": version, "evacuated": evacuated, "agents": agents}, func(w io.Writer) {
				fmt.Fprintf(w, "%s is at version %d; %d agents\n", path, version, agents)
			})
			if err != nil {
				return err
			}
			return printErr
		})
}
