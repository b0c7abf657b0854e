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

// costCommand implements the subcommand cost, which estimates the cost of messages, bytes
// and syncs by comparing real sweeps with simulated ones.
type costCommand struct{ real, simulated string } // file names, separated by commas

func (*costCommand) Name() string { return "cost" }
func (*costCommand) Synopsis() string {
	return "estimate the processor time of a message, a byte and a sync from real and simulated sweeps"
}
func (*costCommand) Usage() string {
	return `sparnotch-bench cost -real workers.csv,queues.csv -simulated workers.csv,queues.csv
  Each simulated sweep must have run at the same values as the real one. The processor
  time of a real process beyond its components' steps is attributed to messages, bytes
  and syncs. Exit codes: 0 estimated, 2 invalid flags or files.
`
}

func (c *costCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.real, "real", "", "CSV files written by sparnotch-bench slope, separated by commas")
	set.StringVar(&c.simulated, "simulated", "", "CSV files written by sparnotch-bench slope -virtual, separated by commas")
}

// readAll reads the measurements of several files, whose names are separated by commas.
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
		fmt.Fprintln(os.Stderr, "sparnotch-bench: the files of the flag real could not be read:", err)
		return 2
	}
	simulated, err := readAll(c.simulated)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: the files of the flag simulated could not be read:", err)
		return 2
	}
	cost, err := capacity.EstimateCost(real, simulated)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	fmt.Printf("microseconds: %.0f per second, %.1f per message, %.4f per byte, %.0f per sync; standard error %.0f per second, %d samples\n",
		cost.Baseline, cost.Message, cost.Byte, cost.Sync, cost.StandardError, cost.Samples)
	return 0
}
