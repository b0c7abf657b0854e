// Command sparnotch-bench tests and measures the product. It runs fake workers, clients
// and operators against a fleet, whole fleets with faults on one machine, hollow
// deployments for measurements of scalability, and the simulator. It is never deployed.
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
	subcommands.Register(&soakCommand{}, "")
	subcommands.Register(&workerCommand{}, "")
	subcommands.Register(&clientsCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&simulateCommand{}, "")
	subcommands.Register(&outageCommand{}, "")
	subcommands.Register(&hollowCommand{}, "")
	subcommands.Register(&sweepCommand{}, "")
	subcommands.Register(&costCommand{}, "")
	subcommands.Register(&ablateCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
