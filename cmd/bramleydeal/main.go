// Command bramleydeal is a load balancer for expert-parallel model groups: its
// processes and its operators' command line.
package main

import (
	"context"
	"flag"
	"os"

	"bramleydeal/internal/operator/command"
	"github.com/google/subcommands"
)

func main() {
	command.Register(subcommands.DefaultCommander)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
