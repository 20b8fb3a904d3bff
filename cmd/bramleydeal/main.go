// Command bramleydeal is a load balancer for services and expert-parallel model
// groups. It contains the entry and agent processes and the operators' command line.
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
