package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"

	"github.com/google/subcommands"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/sim"
)

// outageCommand measures how long callers go unserved after each kind of loss
// on the control side.
type outageCommand struct {
	size, loss string
	seed       uint64
	seeds      int
}

func (*outageCommand) Name() string { return "outage" }
func (*outageCommand) Synopsis() string {
	return "measure the time without a served replace and hand-in after losses"
}
func (*outageCommand) Usage() string {
	return `sparnotch-bench outage [-size bank-called] [-loss "leader killed"] [-seeds 20] [-seed 1]
  Plays each kind of loss of the control side, or the one named, with so many
  seeds in the simulator, and prints the longest time without an acknowledged
  replace and without an acknowledged hand-in: middle and worst of the seeds.
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
	isKnown := false
	fmt.Printf("%-28s %18s %18s   %s, %d seeds from %d\n", "", "replace p50 worst", "hand-in p50 worst", size.Name, c.seeds, c.seed)
	for _, loss := range sim.ControlLosses {
		if c.loss != "" && loss.Name != c.loss {
			continue
		}
		isKnown = true
		c.measure(loss, size)
	}
	if !isKnown {
		fmt.Fprintf(os.Stderr, "feign: loss: there is none called %q\n", c.loss)
		return 2
	}
	return 0
}

func (c *outageCommand) measure(loss sim.ControlLoss, size sim.FleetSpec) {
	outages := make([]sim.Outage, c.seeds)
	var playing sync.WaitGroup
	gate := make(chan bool, runtime.GOMAXPROCS(0))
	for k := range outages {
		playing.Add(1)
		gate <- true
		go func() {
			defer func() { <-gate; playing.Done() }()
			outages[k] = sim.MeasureOutage(loss, size, c.seed+uint64(k))
		}()
	}
	playing.Wait()
	var replaces, handIns []eventloop.Micros
	for _, each := range outages {
		replaces, handIns = append(replaces, each.Replace), append(handIns, each.Submit)
	}
	fmt.Printf("%-28s %9.2f s %6.2f s %8.2f s %6.2f s\n", loss.Name,
		seconds(sim.Quantile(replaces, 0.5)), seconds(sim.Quantile(replaces, 1)), seconds(sim.Quantile(handIns, 0.5)), seconds(sim.Quantile(handIns, 1)))
}

func seconds(span eventloop.Micros) float64 { return float64(span) / 1e6 }
