package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sparnotch/internal/capacity"
)

// capacityCommand prints an estimate of the number of nodes that a deployment needs, with their
// memory, CPU and network use.
type capacityCommand struct {
	demand       capacity.Demand
	measurements string
}

func (*capacityCommand) Name() string     { return "capacity" }
func (*capacityCommand) Synopsis() string { return "estimate the nodes that a deployment needs" }
func (*capacityCommand) Usage() string {
	return `sparnotchctl capacity -workers 1200 -queues 20 -starts 850
  Estimates nodes, memory and shares of a core from the measurements described in
  docs/CAPACITY.md. REACH is the degree of extrapolation: up to 1, the deployment is
  within the measured range. OVER names the resource that one node of the role does
  not have enough of.
  Exit codes: 0 done, 2 invalid flags (the error names the field).
`
}

func (c *capacityCommand) SetFlags(set *flag.FlagSet) {
	set.IntVar(&c.demand.Workers, "workers", 0, "number of machines that run tasks")
	set.IntVar(&c.demand.Queues, "queues", 0, "number of queues")
	set.Float64Var(&c.demand.StartsPerSecond, "starts", 0, "task starts per second at the peak")
	set.Float64Var(&c.demand.Cores, "share", 1, "number of cores of a storage or gateway node")
	set.Float64Var(&c.demand.MemoryMB, "memory_mb", 256, "memory of a storage or gateway node in MB")
	set.Float64Var(&c.demand.Utilization, "busy", 0.5, "planned utilization of a node's cores and memory; the rest is headroom for peaks and failures")
	set.StringVar(&c.measurements, "slopes", "", "CSV file written by sparnotch-bench slope (default: the built-in measurements)")
}

func (c *capacityCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if set.NArg() > 0 {
		printError("unexpected argument %q: this command takes only flags", set.Arg(0))
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
	for _, estimate := range estimates {
		over := estimate.Bottleneck
		if over == "" {
			over = "-"
		}
		fmt.Printf("%-6s %8d %10.0f %9.0f %9.1f %6.1f  %s\n", estimate.Role, estimate.Nodes, estimate.CPUMilli, estimate.MemoryMB, estimate.BytesPerSecond/1000, estimate.Extrapolation, over)
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
