// Command sparnotch-bench tests and measures the product: it runs fake workers, clients
// and operators against a fleet, a whole fleet on one machine with faults, hollow
// deployments for scalability, and the simulator. It is never deployed.
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
