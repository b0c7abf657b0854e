package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sparnotch/internal/ablation"
)

// ablateCommand implements the subcommand ablate, which disables one scheduling mechanism
// in a copy of the source tree.
type ablateCommand struct{}

func (*ablateCommand) Name() string { return "ablate" }
func (*ablateCommand) Synopsis() string {
	return "disable one scheduling mechanism in a copy of the source tree"
}
func (*ablateCommand) SetFlags(*flag.FlagSet) {}
func (*ablateCommand) Usage() string {
	return "sparnotch-bench ablate list\nsparnotch-bench ablate apply NAME DIR\n  Lists the mechanisms, or disables the mechanism NAME in the copy of the source tree at DIR.\n"
}

func (*ablateCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case set.NArg() == 1 && set.Arg(0) == "list":
		for _, mechanism := range ablation.Ablations {
			fmt.Printf("%-20s %s\n", mechanism.Name, mechanism.What)
		}
		return subcommands.ExitSuccess
	case set.NArg() == 3 && set.Arg(0) == "apply":
		mechanism := ablation.Find(set.Arg(1))
		if mechanism == nil {
			fmt.Fprintf(os.Stderr, "there is no mechanism %q\n", set.Arg(1))
			return subcommands.ExitUsageError
		}
		if err := mechanism.Apply(set.Arg(2)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		return subcommands.ExitSuccess
	}
	return subcommands.ExitUsageError
}
