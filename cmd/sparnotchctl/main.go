// Command sparnotchctl is the operators' command line.
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
	for _, each := range []subcommands.Command{&configGetCommand{}, &configCheckCommand{}, &configApplyCommand{}, &configDiffCommand{}, &configHistoryCommand{}, &configKeysCommand{}} {
		subcommands.Register(each, "the plan")
	}
	for _, each := range []subcommands.Command{&submitCommand{}, &jobCommand{verb: "job"}, &jobCommand{verb: "cancel"}, &listJobsCommand{}} {
		subcommands.Register(each, "jobs")
	}
	for _, each := range []subcommands.Command{&showCommand{endpoint: "belief"}, &showCommand{endpoint: "placements"}, &showCommand{endpoint: "counts"}, &showCommand{endpoint: "ready"}, &compareCommand{}} {
		subcommands.Register(each, "nodes")
	}
	for _, each := range []subcommands.Command{&verifyCommand{}, &replayCommand{}} {
		subcommands.Register(each, "a stopped process's data folder")
	}
	subcommands.Register(&capacityCommand{}, "sizes")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
