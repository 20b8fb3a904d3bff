package command

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"bramleydeal/internal/operator/store"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/tree"
	"github.com/google/subcommands"
	"github.com/samber/oops"
)

// objectCommands returns the commands on services, model groups and client accounts.
func objectCommands() []subcommands.Command {
	return []subcommands.Command{createCommand(), listCommand(), deleteCommand()}
}

// creatableKinds are the kinds of levels that operators create, list and delete.
var creatableKinds = []reference.LevelKind{reference.Service, reference.Group, reference.ClientAccount}

// parseKind parses a kind of level in the singular or the plural, such as "service"
// or "services".
func parseKind(s string) (reference.LevelKind, error) {
	for _, k := range creatableKinds {
		if s == string(k) || s == string(k)+"s" {
			return k, nil
		}
	}
	return "", oops.Code(codeUsage).Errorf("unknown kind %q: write service, group or client-account", s)
}

func createCommand() *command {
	var upstreams, model string
	c := newObjectAPICommand("create", "create a service, model group or client account",
		"create service|group|client-account NAME [flags before the kind]\n\nThe key of a new client account is printed once and not stored.\n\nExamples:\n  bramleydeal create -upstreams coimbra-s1,leiria-s1 service stock\n  bramleydeal create -model quotes-1 -upstreams coimbra-w1 group quotes\n  bramleydeal create client-account planners",
		func(ctx context.Context, c *commonOptions, client *store.Client, args []string) error {
			if err := requireArgs(args, 2, "create service|group|client-account NAME"); err != nil {
				return err
			}
			kind, err := parseKind(args[0])
			if err != nil {
				return err
			}
			l, err := tree.ParseLevel(string(kind)+"/"+args[1], []byte("{}"))
			if err != nil {
				return err
			}
			key, err := initLevel(l, upstreams, model)
			if err != nil {
				return err
			}
			version, err := client.Create(ctx, l)
			if version == 0 {
				return err
			}
			printErr := c.print(map[string]any{"path": l.Path(), "version": version, "key": key}, func(w io.Writer) {
				fmt.Fprintf(w, "%s is at version %d\n", l.Path(), version)
				if key != "" {
					fmt.Fprintf(w, "bearer key, shown this once: %s\n", key)
				}
			})
			if err != nil {
				return err
			}
			return printErr
		})
	setCommonFlags := c.flags
	c.flags = func(f *flag.FlagSet) {
		setCommonFlags(f)
		f.StringVar(&upstreams, "upstreams", "", "instances that serve it, separated by commas")
		f.StringVar(&model, "model", "", "for a group, the name under which callers ask for the model")
	}
	return c
}

// keyBytes is the length of a new bearer key in bytes before encoding.
const keyBytes = 32

// initLevel sets the settings of a new level. For a client account it generates a
// bearer key, of which the level gets the hash only, and returns the key. The model
// of a group defaults to the group's name.
func initLevel(l tree.Level, upstreams, model string) (key string, err error) {
	if l.Kind == reference.ClientAccount {
		secret := make([]byte, keyBytes)
		// Read of crypto/rand never returns an error.
		_, _ = rand.Read(secret)
		key = "bd-" + hex.EncodeToString(secret)
		sum := sha256.Sum256([]byte(key))
		return key, setString(l, reference.KeyHash.Name(), hex.EncodeToString(sum[:]))
	}
	if upstreams != "" {
		names, err := json.Marshal(strings.Split(upstreams, ","))
		if err != nil {
			return "", oops.Wrap(err)
		}
		if err := l.Set(reference.Upstreams.Name(), names); err != nil {
			return "", err
		}
	}
	if l.Kind == reference.Group && model == "" {
		model = l.Name
	}
	if model != "" {
		return "", setString(l, reference.Model.Name(), model)
	}
	return "", nil
}

// setString sets a setting of the level to a string.
func setString(l tree.Level, name, value string) error {
	quoted, err := json.Marshal(value)
	if err != nil {
		return oops.Wrap(err)
	}
	return l.Set(name, quoted)
}

func listCommand() *command {
	return newObjectAPICommand("list", "list services, model groups or client accounts",
		"list services|groups|client-accounts\n\nExample:\n  bramleydeal list services",
		func(ctx context.Context, c *commonOptions, client *store.Client, args []string) error {
			if err := requireArgs(args, 1, "list services|groups|client-accounts"); err != nil {
				return err
			}
			kind, err := parseKind(args[0])
			if err != nil {
				return err
			}
			current, err := client.Snapshot(ctx)
			if err != nil {
				return err
			}
			names := current.Tree.Names(kind)
			return c.print(names, func(w io.Writer) {
				for _, name := range names {
					fmt.Fprintln(w, name)
				}
			})
		})
}

func deleteCommand() *command {
	return newObjectAPICommand("delete", "delete a service, model group or client account",
		"delete service|group|client-account NAME\n\nExample:\n  bramleydeal delete service stock",
		func(ctx context.Context, _ *commonOptions, client *store.Client, args []string) error {
			if err := requireArgs(args, 2, "delete service|group|client-account NAME"); err != nil {
				return err
			}
			kind, err := parseKind(args[0])
			if err != nil {
				return err
			}
			if err := client.Delete(ctx, string(kind)+"/"+args[1]); err != nil {
				return err
			}
			fmt.Fprintf(os.Stdout, "%s/%s deleted\n", kind, args[1])
			return nil
		})
}
