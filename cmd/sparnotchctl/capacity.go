package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sparnotch/internal/capacity"
)

// capacityCommand estimates the nodes that a deployment needs.
type capacityCommand struct {
	demand       capacity.Demand
	measurements string
}

func (*capacityCommand) Name() string     { return "capacity" }
func (*capacityCommand) Synopsis() string { return "estimate the nodes that a deployment needs" }
func (*capacityCommand) Usage() string {
	return `sparnotchctl capacity -workers 1200 -queues 20 -starts 850
  Estimates nodes, memory and shares of a core from measurements, those of
  docs/CAPACITY.md. REACH is the extrapolation: up to 1 the deployment lies within
  what was measured. OVER names what one node of the role lacks.
  Exit codes: 0 done, 2 bad flags (the field is named).
`
}

func (c *capacityCommand) SetFlags(set *flag.FlagSet) {
	set.IntVar(&c.demand.Workers, "workers", 0, "machines that run tasks")
	set.IntVar(&c.demand.Queues, "queues", 0, "queues")
	set.Float64Var(&c.demand.StartsPerSecond, "starts", 0, "task starts a second at the peak")
	set.Float64Var(&c.demand.Cores, "share", 1, "cores of a storage or gateway node")
	set.Float64Var(&c.demand.MemoryMB, "memory_mb", 256, "its memory")
	set.Float64Var(&c.demand.Utilization, "busy", 0.5, "planned utilization of a node; the rest is headroom for peaks and failures")
	set.StringVar(&c.measurements, "slopes", "", "CSV file of sparnotch-bench slope (default: the product's own)")
}

func (c *capacityCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if set.NArg() > 0 {
		printError("%s: is not a flag", set.Arg(0))
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
		fmt.Printf("%-6s %8d %10.0f %9.0f %9.1f %6.1f  %s\n", n.Role, n.Nodes, n.CPUMilli, n.MemoryMB, n.BytesPerSecond/1000, n.Extrapolation, over)
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
