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
	for _, each := range []subcommands.Command{&planGet{}, &planCheck{}, &planPut{}, &planDiff{}, &planHistory{}, &planForm{}} {
		subcommands.Register(each, "the plan")
	}
	for _, each := range []subcommands.Command{&jobHandIn{}, &jobCall{what: "job"}, &jobCall{what: "cancel"}, &jobList{}} {
		subcommands.Register(each, "jobs")
	}
	for _, each := range []subcommands.Command{&show{what: "belief"}, &show{what: "placements"}, &show{what: "counts"}, &show{what: "ready"}, &compare{}} {
		subcommands.Register(each, "nodes")
	}
	for _, each := range []subcommands.Command{&folderCheck{}, &replayCommand{}} {
		subcommands.Register(each, "a stopped process's data folder")
	}
	subcommands.Register(&sizeCommand{}, "sizes")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
