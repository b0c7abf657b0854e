package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"sparnotch/internal/capacity"
)

// costCommand compares real sweeps with simulated ones.
type costCommand struct{ real, simulated string }

func (*costCommand) Name() string { return "cost" }
func (*costCommand) Synopsis() string {
	return "estimate what a message, a byte and a sync cost, from real and simulated sweeps"
}
func (*costCommand) Usage() string {
	return `sparnotch-bench cost -real workers.csv,queues.csv -simulated workers.csv,queues.csv
  Each simulated sweep must have run at the values of the real one. What a real
  process spent beyond its components' steps is attributed to messages, bytes and
  syncs. Exit codes: 0 done, 2 bad flags or files.
`
}

func (c *costCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.real, "real", "", "files of sparnotch-bench slope, joined by commas")
	set.StringVar(&c.simulated, "simulated", "", "files of sparnotch-bench slope -virtual, joined by commas")
}

func readAll(files string) ([]capacity.Measurement, error) {
	var all []capacity.Measurement
	for _, path := range strings.Split(files, ",") {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		list, err := capacity.ReadCSV(file)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, list...)
	}
	return all, nil
}

func (c *costCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	real, err := readAll(c.real)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: real:", err)
		return 2
	}
	simulated, err := readAll(c.simulated)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: simulated:", err)
		return 2
	}
	cost, err := capacity.EstimateCost(real, simulated)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	fmt.Printf("microseconds: %.0f a second, %.1f a message, %.4f a byte, %.0f a sync; ±%.0f a second, %d readings\n",
		cost.Baseline, cost.Message, cost.Byte, cost.Sync, cost.StandardError, cost.Samples)
	return 0
}
