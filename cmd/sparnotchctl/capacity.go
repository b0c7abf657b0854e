package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sparnotch/internal/capacity"
)

// capacityCommand says what machines a deployment needs.
type capacityCommand struct {
	demand       capacity.Demand
	measurements string
}

func (*capacityCommand) Name() string     { return "size" }
func (*capacityCommand) Synopsis() string { return "say what machines a deployment needs" }
func (*capacityCommand) Usage() string {
	return `sparnotchctl size -workers 1200 -queues 20 -starts 850
  Works machines, memory and shares of a core out from measured slopes, those of
  docs/CAPACITY.md. REACH says how far beyond what was measured the sum goes: up
  to 1 it lies within. OVER names what one machine of the role can't give.
  Exit codes: 0 worked out, 2 bad flags (the field is named).
`
}

func (c *capacityCommand) SetFlags(set *flag.FlagSet) {
	set.IntVar(&c.demand.Workers, "workers", 0, "machines that run tasks")
	set.IntVar(&c.demand.Queues, "queues", 0, "queues")
	set.Float64Var(&c.demand.StartsPerSecond, "starts", 0, "task starts a second at the peak")
	set.Float64Var(&c.demand.Cores, "share", 1, "cores of a machine with a store or a front")
	set.Float64Var(&c.demand.MemoryMB, "memory_mb", 256, "its memory")
	set.Float64Var(&c.demand.Utilization, "busy", 0.5, "how much of a machine is planned with; the rest is for peaks and losses")
	set.StringVar(&c.measurements, "slopes", "", "CSV file of sparnotch-bench slope (default: the product's own)")
}

func (c *capacityCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if set.NArg() > 0 {
		printError("%s: is no flag", set.Arg(0))
		return exitUsage
	}
	measurements, err := c.readMeasurements()
	if err != nil {
		printError("slopes: %v", err)
		return exitUsage
	}
	estimates, err := capacity.EstimateNodes(measurements, c.demand)
	if err != nil {
		printError("%v", err)
		return exitUsage
	}
	fmt.Printf("%-6s %8s %10s %9s %9s %6s  %s\n", "ROLE", "MACHINES", "CORE_MILLI", "MEMORY_MB", "KB_S", "REACH", "OVER")
	for _, n := range estimates {
		over := n.Bottleneck
		if over == "" {
			over = "-"
		}
		fmt.Printf("%-6s %8d %10.0f %9.0f %9.1f %6.1f  %s\n", n.Role, n.Machines, n.CPUMilli, n.MemoryMB, n.BytesPerSecond/1000, n.Extrapolation, over)
	}
	return subcommands.ExitSuccess
}

func (c *capacityCommand) readMeasurements() ([]capacity.Measurement, error) {
	if c.measurements == "" {
		return capacity.DefaultMeasurements()
	}
	file, err := os.Open(c.measurements)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return capacity.ReadCSV(file)
}
