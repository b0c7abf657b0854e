package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
)

// hollowCommand measures a hollow deployment. With a part given it is one of the
// deployment's processes.
type hollowCommand struct {
	config       hollowConfig
	plan         measurePlan
	part, text   string
	first, count int
}

func (*hollowCommand) Name() string { return "hollow" }
func (*hollowCommand) Synopsis() string {
	return "run hundreds of hollow nodes against real storage nodes, and measure what each role costs"
}
func (*hollowCommand) Usage() string {
	return `sparnotch-bench hollow [-workers 100] [-queues 4] [-starts 20] [-changes 6] [-kill] ...
  Runs three storage nodes, some gateway nodes, agent nodes that share a few
  processes of the operating system, and clients, with the product's own components
  and transport over loopback addresses. Workers run nothing: a task lasts run_us
  and is done. Prints what one process of each role costs, and what clients saw.
  Exit codes: 0 measured, 1 it didn't come up, 2 bad flags (the field is named).
`
}

func (c *hollowCommand) SetFlags(set *flag.FlagSet) {
	c.config.register(set)
	set.DurationVar(&c.plan.warm, "warm", 5*time.Second, "let it run so long first")
	set.DurationVar(&c.plan.span, "span", 15*time.Second, "how long it is measured")
	set.BoolVar(&c.plan.killLeader, "kill", false, "kill the leader at the end, and measure the recovery")
	set.StringVar(&c.part, "part", "", "internal: role of this process")
	set.StringVar(&c.text, "setup", "", "internal: the deployment, as JSON")
	set.IntVar(&c.first, "first", 0, "internal: first node of this process")
	set.IntVar(&c.count, "count", 0, "internal: nodes of this process")
}

func (c *hollowCommand) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.part != "" {
		if err := c.runPart(ctx); err != nil {
			fmt.Fprintf(os.Stderr, "sparnotch-bench: part %s: %v\n", c.part, err)
			return 1
		}
		return 0
	}
	if err := c.check(set); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	list, err := runHollow(ctx, c.config, c.plan)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 1
	}
	for _, m := range list {
		fmt.Printf("%-7s %-14s %12.4g\n", m.role, m.metric, m.amount)
	}
	return 0
}

func (c *hollowCommand) runPart(ctx context.Context) error {
	config := &hollowConfig{}
	if err := json.Unmarshal([]byte(c.text), config); err != nil {
		return err
	}
	return runHollowProcess(ctx, config, c.part, c.first, c.count)
}

// check names the first flag that is out of range.
func (c *hollowCommand) check(set *flag.FlagSet) error {
	c.config.Regions = 1
	if err := c.config.check(); err != nil {
		return err
	}
	if c.plan.span <= 0 || c.plan.warm < 0 {
		return errors.New("span and warm: must be above 0")
	}
	if set.NArg() > 0 {
		return fmt.Errorf("%s: is not a flag", set.Arg(0))
	}
	return nil
}
