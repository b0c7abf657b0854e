package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sparnotch/internal/capacity"
)

// sizeCommand says what machines a deployment needs.
type sizeCommand struct {
	wanted capacity.Demand
	slopes string
}

func (*sizeCommand) Name() string     { return "size" }
func (*sizeCommand) Synopsis() string { return "say what machines a deployment needs" }
func (*sizeCommand) Usage() string {
	return `sparnotchctl size -workers 1200 -queues 20 -starts 850
  Works machines, memory and shares of a core out from measured slopes, those of
  docs/CAPACITY.md. REACH says how far beyond what was measured the sum goes: up
  to 1 it lies within. OVER names what one machine of the role can't give.
  Exit codes: 0 worked out, 2 bad flags (the field is named).
`
}

func (c *sizeCommand) SetFlags(set *flag.FlagSet) {
	set.IntVar(&c.wanted.Workers, "workers", 0, "machines that run tasks")
	set.IntVar(&c.wanted.Queues, "queues", 0, "queues")
	set.Float64Var(&c.wanted.StartsPerSecond, "starts", 0, "task starts a second at the peak")
	set.Float64Var(&c.wanted.Cores, "share", 1, "cores of a machine with a store or a front")
	set.Float64Var(&c.wanted.MemoryMB, "memory_mb", 256, "its memory")
	set.Float64Var(&c.wanted.Utilization, "busy", 0.5, "how much of a machine is planned with; the rest is for peaks and losses")
	set.StringVar(&c.slopes, "slopes", "", "CSV file of sparnotch-bench slope (default: the product's own)")
}

func (c *sizeCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if set.NArg() > 0 {
		complain("%s: is no flag", set.Arg(0))
		return exitUsage
	}
	readings, err := c.read()
	if err != nil {
		complain("slopes: %v", err)
		return exitUsage
	}
	needs, err := capacity.EstimateNodes(readings, c.wanted)
	if err != nil {
		complain("%v", err)
		return exitUsage
	}
	fmt.Printf("%-6s %8s %10s %9s %9s %6s  %s\n", "ROLE", "MACHINES", "CORE_MILLI", "MEMORY_MB", "KB_S", "REACH", "OVER")
	for _, n := range needs {
		over := n.Bottleneck
		if over == "" {
			over = "-"
		}
		fmt.Printf("%-6s %8d %10.0f %9.0f %9.1f %6.1f  %s\n", n.Role, n.Machines, n.CPUMilli, n.MemoryMB, n.BytesPerSecond/1000, n.Extrapolation, over)
	}
	return subcommands.ExitSuccess
}

func (c *sizeCommand) read() ([]capacity.Measurement, error) {
	if c.slopes == "" {
		return capacity.DefaultMeasurements()
	}
	file, err := os.Open(c.slopes)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return capacity.ReadCSV(file)
}
