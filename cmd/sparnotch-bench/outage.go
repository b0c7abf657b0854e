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

// outageCommand measures how long workers and clients aren't served after each kind of
// loss of control nodes.
type outageCommand struct {
	size, loss string
	seed       uint64
	seeds      int
}

func (*outageCommand) Name() string { return "outage" }
func (*outageCommand) Synopsis() string {
	return "measure the time without a served replace and submission after losses"
}
func (*outageCommand) Usage() string {
	return `sparnotch-bench outage [-size bank-called] [-loss "leader killed"] [-seeds 20] [-seed 1]
  Simulates each kind of loss of control nodes, or the one named, with so many
  seeds, and prints the longest time without an acknowledged replace and without
  an acknowledged submission: median and worst of the seeds.
  Exit codes: 0 measured, 2 bad flags.
`
}

func (c *outageCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.size, "size", "bank-called", "of the fleet, one with called workers")
	set.StringVar(&c.loss, "loss", "", "only this kind of loss")
	set.IntVar(&c.seeds, "seeds", 20, "how many seeds")
	set.Uint64Var(&c.seed, "seed", 1, "the first seed")
}

func (c *outageCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	size, err := findSize(c.size)
	if err == nil && size.Bounds == nil {
		err = fmt.Errorf("size: %q has no workers that are called", c.size)
	}
	if err == nil && c.seeds < 1 {
		err = fmt.Errorf("seeds: %d must be 1 at least", c.seeds)
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
		fmt.Fprintf(os.Stderr, "sparnotch-bench: loss: there is none called %q\n", c.loss)
		return 2
	}
	return 0
}

// measure prints the outages of one kind of loss.
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

func seconds(span eventloop.Micros) float64 { return float64(span) / 1e6 }
