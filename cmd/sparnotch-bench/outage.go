package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/sim"
)

// outageCommand implements the subcommand outage, which measures how long operators and
// clients aren't served after each kind of loss of control nodes.
type outageCommand struct {
	size, loss string
	seed       uint64
	seeds      int
}

func (*outageCommand) Name() string { return "outage" }
func (*outageCommand) Synopsis() string {
	return "measure the time without an acknowledged configuration and submission after losses of nodes"
}
func (*outageCommand) Usage() string {
	return `sparnotch-bench outage [-size bank-called] [-loss "leader killed"] [-seeds 20] [-seed 1]
  Simulates each kind of loss of control nodes, or only the kind that -loss names,
  with each of the seeds. Prints the longest time without an acknowledged replacement
  of the configuration, and without an acknowledged submission: the median and the
  maximum over the seeds.
  Exit codes: 0 measured, 2 invalid flags.
`
}

func (c *outageCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.size, "size", "bank-called", "size of the fleet, which must have called workers")
	set.StringVar(&c.loss, "loss", "", "kind of loss to simulate; empty: all")
	set.IntVar(&c.seeds, "seeds", 20, "number of seeds")
	set.Uint64Var(&c.seed, "seed", 1, "the first seed")
}

func (c *outageCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	size, err := findSize(c.size)
	if err == nil && size.Bounds == nil {
		err = fmt.Errorf("size: a fleet of the size %q has no called workers", c.size)
	}
	if err == nil && c.seeds < 1 {
		err = fmt.Errorf("seeds: %d is not allowed; it must be 1 or more", c.seeds)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	known := false
	fmt.Printf("%-28s %18s %18s   %s, %d seeds from %d\n", "", "replace p50 worst", "submit p50 worst", size.Name, c.seeds, c.seed)
	for _, loss := range sim.ControlLosses {
		if c.loss != "" && loss.Name != c.loss {
			continue
		}
		known = true
		c.measure(loss, size)
	}
	if !known {
		fmt.Fprintf(os.Stderr, "sparnotch-bench: loss: there is no kind of loss called %q\n", c.loss)
		return 2
	}
	return 0
}

// measure simulates one kind of loss with all seeds and prints the durations of the outages.
func (c *outageCommand) measure(loss sim.ControlLoss, size sim.FleetSpec) {
	outages := make([]sim.Outage, c.seeds)
	inParallel(c.seeds, func(k int) { outages[k] = sim.MeasureOutage(loss, size, c.seed+uint64(k)) })
	var replaces, submissions []eventloop.Micros
	for _, outage := range outages {
		replaces, submissions = append(replaces, outage.LongestReplaceGap), append(submissions, outage.LongestSubmitGap)
	}
	fmt.Printf("%-28s %9.2f s %6.2f s %8.2f s %6.2f s\n", loss.Name,
		seconds(sim.Quantile(replaces, 0.5)), seconds(sim.Quantile(replaces, 1)), seconds(sim.Quantile(submissions, 0.5)), seconds(sim.Quantile(submissions, 1)))
}

// seconds converts a duration to seconds.
func seconds(span eventloop.Micros) float64 { return float64(span) / 1e6 }
