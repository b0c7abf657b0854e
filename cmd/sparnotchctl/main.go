// Command sparnotchctl is the command line of the operators. Its commands call the HTTP
// interface of running nodes (docs/interface.md), read the data directory of a stopped
// process, or estimate the capacity that a deployment needs.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path"

	"github.com/google/subcommands"
)

// groups lists all commands, in groups under the headings that the help text shows.
var groups = []struct {
	name     string
	commands []subcommands.Command
}{
	{"the configuration", []subcommands.Command{
		&configGetCommand{}, &configCheckCommand{}, &configApplyCommand{}, &configPatchCommand{}, &configDiffCommand{}, &configHistoryCommand{}, &configKeysCommand{},
	}},
	{"jobs", []subcommands.Command{&submitCommand{}, &jobCommand{verb: "job"}, &jobCommand{verb: "cancel"}, &listJobsCommand{}}},
	{"nodes", []subcommands.Command{
		&showCommand{name: "state", path: "/v1/belief", synopsis: "print the state of the cluster and of its replicas as one node knows it"},
		&showCommand{name: "placements", path: "/v1/placements", synopsis: "print where a scheduler has placed tasks, and why"},
		&showCommand{name: "counters", path: "/v1/counts", synopsis: "print the event counters of one process"},
		&showCommand{name: "ready", path: "/readyz", synopsis: "check whether a node can serve"},
		&tenantsCommand{},
		&compareCommand{},
	}},
	{"the data directory of a stopped process", []subcommands.Command{&verifyCommand{}, &replayCommand{}}},
	{"capacity", []subcommands.Command{&capacityCommand{}}},
}

// aliases maps a command's name to an earlier name, under which it can still be called.
var aliases = map[string]string{
	"config-get":     "plan-get",
	"config-check":   "plan-check",
	"config-apply":   "plan-put",
	"config-diff":    "plan-diff",
	"config-history": "plan-history",
	"config-keys":    "plan-form",
	"submit":         "hand-in",
	"state":          "belief",
	"counters":       "counts",
	"verify":         "check",
	"capacity":       "size",
}

// newCommander returns a commander with all commands and their aliases registered.
func newCommander(flags *flag.FlagSet, name string) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	explainGroup := commander.ExplainGroup
	commander.ExplainGroup = func(out io.Writer, group *subcommands.CommandGroup) {
		if group.Name() == "" {
			explainGroup(out, group)
			return
		}
		explainWithAliases(out, group.Name())
	}
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, group := range groups {
		for _, command := range group.commands {
			commander.Register(command, group.name)
			if alias, found := aliases[command.Name()]; found {
				commander.Register(subcommands.Alias(alias, command), group.name)
			}
		}
	}
	return commander
}

// explainWithAliases prints the commands of a group. It shows each alias next to the name of
// its command, not as a command of its own.
func explainWithAliases(out io.Writer, name string) {
	fmt.Fprintf(out, "Subcommands for %s:\n", name)
	for _, group := range groups {
		if group.name != name {
			continue
		}
		for _, command := range group.commands {
			synopsis := command.Synopsis()
			if alias, found := aliases[command.Name()]; found {
				synopsis += " (alias: " + alias + ")"
			}
			fmt.Fprintf(out, "\t%-15s  %s\n", command.Name(), synopsis)
		}
	}
	fmt.Fprintln(out)
}

func main() {
	commander := newCommander(flag.CommandLine, path.Base(os.Args[0]))
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
