package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sparnotch/internal/checker"
)

// checkCommand implements the subcommand judge, which checks a recorded history against
// the checker's rules.
type checkCommand struct{}

func (*checkCommand) Name() string { return "judge" }
func (*checkCommand) Synopsis() string {
	return "check the recorded history of a run against the rules"
}
func (*checkCommand) Usage() string {
	return "sparnotch-bench judge HISTORY.jsonl\n  Exit codes: 0 no rule broken, 1 a rule broken, 2 the history is unreadable.\n"
}
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if set.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: judge takes exactly one argument, the file of the history")
		return 2
	}
	events, err := readHistory(set.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	violations := checker.Check(events, checker.DefaultTolerances)
	printViolations(violations)
	fmt.Printf("check: %d events, %d rules broken\n", len(events), len(violations))
	if len(violations) > 0 {
		return 1
	}
	return 0
}
