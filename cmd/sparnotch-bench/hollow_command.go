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

// hollowCommand implements the subcommand hollow, which measures a hollow deployment. With
// the flag -part it runs one of the processes of such a deployment.
type hollowCommand struct {
	config           hollowConfig
	plan             measurePlan
	part, configJSON string // role of this process, and the hollowConfig as JSON
	first, count     int    // index of the first node of this process, and its number of nodes
}

func (*hollowCommand) Name() string { return "hollow" }
func (*hollowCommand) Synopsis() string {
	return "run hundreds of hollow nodes against real storage nodes, and measure what each role costs"
}
func (*hollowCommand) Usage() string {
	return `sparnotch-bench hollow [-workers 100] [-queues 4] [-starts 20] [-changes 6] [-kill] ...
  Runs three storage nodes, some gateway nodes, agent nodes that share a few
  processes of the operating system, and clients, with the product's own components
  and transport over loopback addresses. Workers execute nothing: a task lasts run_us
  and then succeeds. Prints the resources that one process of each role uses, and the
  rates and latencies that clients observe.
  Exit codes: 0 measured, 1 the deployment didn't start, 2 invalid flags (the message
  names the field).
`
}

func (c *hollowCommand) SetFlags(set *flag.FlagSet) {
	c.config.register(set)
	set.DurationVar(&c.plan.warm, "warm", 5*time.Second, "how long the deployment runs before it is measured")
	set.DurationVar(&c.plan.span, "span", 15*time.Second, "how long the deployment is measured")
	set.BoolVar(&c.plan.killLeader, "kill", false, "kill the leader at the end and measure the recovery")
	set.StringVar(&c.part, "part", "", "internal: the role of this process")
	set.StringVar(&c.configJSON, "setup", "", "internal: the deployment, as JSON")
	set.IntVar(&c.first, "first", 0, "internal: the index of the first node of this process")
	set.IntVar(&c.count, "count", 0, "internal: the number of nodes of this process")
}

func (c *hollowCommand) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.part != "" {
		if err := c.runPart(ctx); err != nil {
			fmt.Fprintf(os.Stderr, "sparnotch-bench: the %s process failed: %v\n", c.part, err)
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

// runPart runs one process of a hollow deployment.
func (c *hollowCommand) runPart(ctx context.Context) error {
	config := &hollowConfig{}
	if err := json.Unmarshal([]byte(c.configJSON), config); err != nil {
		return err
	}
	return runHollowProcess(ctx, config, c.part, c.first, c.count)
}

// check returns an error that names the first invalid flag.
func (c *hollowCommand) check(set *flag.FlagSet) error {
	c.config.Regions = 1
	if err := c.config.check(); err != nil {
		return err
	}
	if c.plan.span <= 0 || c.plan.warm < 0 {
		return errors.New("span and warm: span must be above 0, and warm must not be negative")
	}
	if set.NArg() > 0 {
		return fmt.Errorf("%s: this argument is not a flag", set.Arg(0))
	}
	return nil
}
