// Command sparnotch-bench plays what surrounds the daemons: callers, workers, operators,
// and a whole fleet of processes on one machine. It is never deployed.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&fleetCommand{}, "")
	subcommands.Register(&workerCommand{}, "")
	subcommands.Register(&clientsCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&simulateCommand{}, "")
	subcommands.Register(&outageCommand{}, "")
	subcommands.Register(&hollowCommand{}, "")
	subcommands.Register(&sweepCommand{}, "")
	subcommands.Register(&costCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
