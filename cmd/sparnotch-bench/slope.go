package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sys/unix"

	"sparnotch/internal/capacity"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/sim"
)

// sweeps are the sizes that can be swept, each with how it is set.
var sweeps = map[string]func(s *hollowConfig, value float64){
	"workers": func(s *hollowConfig, value float64) { s.Workers = int(value) },
	"queues":  func(s *hollowConfig, value float64) { s.Queues = int(value) },
	"starts":  func(s *hollowConfig, value float64) { s.StartsPerSecond = value },
	// Running tasks at one rate of starts: they only last longer.
	"running":     func(s *hollowConfig, value float64) { s.RunUs = int64(value / s.StartsPerSecond * 1e6) },
	"width":       func(s *hollowConfig, value float64) { s.Width, s.Gang = int(value), true },
	"changes":     func(s *hollowConfig, value float64) { s.ChangesPerMinute = value },
	"rows":        func(s *hollowConfig, value float64) { s.Rows = int(value) },
	"zones":       func(s *hollowConfig, value float64) { s.Zones = int(value) },
	"fronts":      func(s *hollowConfig, value float64) { s.Gateways = int(value) },
	"controllers": func(s *hollowConfig, value float64) { s.Controllers = int(value) },
	// One way, in milliseconds; only the simulator's regions lie apart.
	"far": func(s *hollowConfig, value float64) { s.RegionDelayUs = int64(value * 1000) },
}

func sweepNames() []string {
	var names []string
	for name := range sweeps {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

type sweepCommand struct {
	config     hollowConfig
	size, over string
	out        string
	repeats    int
	warm, span time.Duration
	killLeader bool
	simulated  bool
	lose       string
}

func (*sweepCommand) Name() string { return "slope" }
func (*sweepCommand) Synopsis() string {
	return "sweep one size of a hollow deployment, and fit what each role costs"
}
func (*sweepCommand) Usage() string {
	return `sparnotch-bench slope -size workers -over 12,24,48,96 [-repeats 3] [-out FOLDER] [any of hollow's sizes]
  Runs a hollow deployment at each value, as often as repeats says, in turns (all
  values, then all again, so that a busy minute of the machine doesn't strike one
  value alone). Appends to FOLDER/SIZE.csv, draws FOLDER/SIZE.png, and prints the
  fits. Sizes: ` + strings.Join(sweepNames(), ", ") + `.
  Exit codes: 0 measured, 1 a run didn't come up, 2 bad flags (the field is named).
`
}

func (c *sweepCommand) SetFlags(set *flag.FlagSet) {
	c.config.register(set)
	set.StringVar(&c.size, "size", "", "what is swept")
	set.StringVar(&c.over, "over", "", "its values, joined by commas")
	set.StringVar(&c.out, "out", ".", "folder for the CSV and the plot")
	set.IntVar(&c.repeats, "repeats", 3, "runs at each value; 0: only fit and draw what the file holds")
	set.DurationVar(&c.warm, "warm", 5*time.Second, "let each run so long first")
	set.DurationVar(&c.span, "span", 10*time.Second, "how long each is measured")
	set.BoolVar(&c.simulated, "virtual", false, "in the simulator: messages, bytes and recovery in virtual time, past what a machine carries")
	set.IntVar(&c.config.Regions, "regions", 1, "with -virtual: regions, in which the zones stand in turn")
	set.Int64Var(&c.config.RegionDelayUs, "far_us", 6000, "with -virtual: one way between regions")
	set.StringVar(&c.lose, "lose", "", "with -virtual: what is lost at the end: "+strings.Join(losses, ", "))
	set.BoolVar(&c.killLeader, "kill", false, "kill the leader at the end of each, and measure the recovery")
}

// values reads the swept values, and checks the setup at each.
func (c *sweepCommand) values() ([]float64, error) {
	set, isKnown := sweeps[c.size]
	if !isKnown {
		return nil, fmt.Errorf("size: %q is none of %s", c.size, strings.Join(sweepNames(), ", "))
	}
	if c.repeats < 0 || c.repeats > 100 {
		return nil, fmt.Errorf("repeats: must lie between 0 and 100")
	}
	if c.span <= 0 || c.warm < 0 {
		return nil, fmt.Errorf("span and warm: must be above 0")
	}
	if !c.simulated && (c.lose != "" || c.config.Regions != 1 || c.size == "far") {
		return nil, fmt.Errorf("lose, regions and the size far: only with -virtual")
	}
	if c.simulated && c.killLeader {
		return nil, fmt.Errorf("kill: with -virtual it is called lose")
	}
	if c.lose != "" && !slices.Contains(losses, c.lose) {
		return nil, fmt.Errorf("lose: %q is none of %s", c.lose, strings.Join(losses, ", "))
	}
	var list []float64
	for _, word := range strings.Split(c.over, ",") {
		value, err := strconv.ParseFloat(word, 64)
		if err != nil {
			return nil, fmt.Errorf("over: %q is no number", word)
		}
		setup := c.config
		set(&setup, value)
		if err := setup.check(); err != nil {
			return nil, fmt.Errorf("over: at %s: %w", word, err)
		}
		list = append(list, value)
	}
	return list, nil
}

func (c *sweepCommand) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	values, err := c.values()
	if err == nil && set.NArg() > 0 {
		err = fmt.Errorf("%s: is no flag", set.Arg(0))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	path := filepath.Join(c.out, c.size+".csv")
	var readings []capacity.Measurement
	if file, err := os.Open(path); err == nil {
		readings, err = capacity.ReadCSV(file)
		file.Close()
		if err != nil {
			fmt.Fprintln(os.Stderr, "sparnotch-bench: out:", path, err)
			return 2
		}
	}
	if err := os.MkdirAll(c.out, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: out:", err)
		return 2
	}
	// Runs are numbered on, so that another call adds to the file.
	done := 0
	for _, r := range readings {
		done = max(done, r.Repeat)
	}
	isWhole := true
	for repeat := done + 1; repeat <= done+c.repeats; repeat++ {
		for _, value := range values {
			setup := c.config
			sweeps[c.size](&setup, value)
			list, err := c.run(ctx, setup, repeat)
			if err != nil {
				// A size that can't be carried is a finding too: the rest goes on.
				fmt.Printf("%s %g, run %d: %v\n", c.size, value, repeat, err)
				isWhole = false
				continue
			}
			cpu := 0.0
			for _, each := range list {
				if each.role == "whole" && each.what == "cpu_milli" {
					cpu = each.amount
				}
			}
			fmt.Printf("%s %g, run %d", c.size, value, repeat)
			if !c.simulated {
				fmt.Printf(": %.0f thousandths of a core in all", cpu)
			}
			fmt.Println()
			readings = append(readings, toMeasurements(c.size, value, repeat, list)...)
			if err := writeReadings(path, readings); err != nil {
				fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
				return 1
			}
		}
	}
	for _, fit := range capacity.FitAll(readings) {
		fmt.Printf("%-7s %-14s %s\n", fit.Role, fit.Metric, fit.String())
	}
	if err := capacity.Plot(filepath.Join(c.out, c.size+".png"), c.size, readings, c.plottedMetrics()); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 1
	}
	if !isWhole {
		return 1
	}
	return 0
}

var losses = []string{"node", "worker", "rack", "zone", "region", "link"}

// run is one run at one value.
func (c *sweepCommand) run(ctx context.Context, setup hollowConfig, repeat int) ([]measurement, error) {
	if !c.simulated {
		return runHollow(ctx, setup, measurePlan{c.warm, c.span, c.killLeader})
	}
	// The thread's own clock counts nothing that others do meanwhile.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	profile := &cpuProfiler{}
	if setup.Profile != "" {
		profile.path = filepath.Join(setup.Profile, fmt.Sprintf("%s%d.pprof", c.size, repeat))
	}
	if err := profile.start(); err != nil {
		return nil, err
	}
	defer profile.stop()
	var list []measurement
	for _, each := range sim.RunHollow(sim.HollowSetup{
		Workers: setup.Workers, Gateways: setup.Gateways, Queues: setup.Queues, StartsPerSecond: setup.StartsPerSecond, RunUs: setup.RunUs, TasksPerJob: setup.Width,
		IsGang: setup.Gang, ChangesPerMinute: setup.ChangesPerMinute, ConfigurationRows: setup.Rows, Zones: setup.Zones, Regions: setup.Regions,
		RegionDelay: eventloop.Micros(setup.RegionDelayUs), WorkersPerRack: setup.PerRack, Controllers: setup.Controllers, Seed: uint64(repeat),
		WarmUp: eventloop.Micros(c.warm.Microseconds()), Duration: eventloop.Micros(c.span.Microseconds()), LossScope: c.lose, CPUClock: threadCPU,
	}) {
		list = append(list, measurement{each.Role, each.Metric, each.Value})
	}
	return list, ctx.Err()
}

// threadCPU is the processor time of the calling thread, in nanoseconds.
func threadCPU() int64 {
	var spent unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spent) != nil {
		return 0
	}
	return spent.Nano()
}

// plottedMetrics are the quantities of the plot.
func (c *sweepCommand) plottedMetrics() []string {
	if c.simulated {
		return []string{"cpu_tables_milli", "sent_s", "bytes_out_s", "bytes_in_s"}
	}
	return []string{"cpu_milli", "rss_mb", "sent_s", "bytes_out_s"}
}

func writeReadings(path string, readings []capacity.Measurement) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := capacity.WriteCSV(file, readings); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// costCommand sets real sweeps beside simulated ones.
type costCommand struct{ real, simulated string }

func (*costCommand) Name() string { return "cost" }
func (*costCommand) Synopsis() string {
	return "say what a message, a byte and a sync cost, from real and simulated sweeps"
}
func (*costCommand) Usage() string {
	return `sparnotch-bench cost -real workers.csv,queues.csv -simulated workers.csv,queues.csv
  Each simulated sweep must have run at the values of the real one. What a real
  process spent beyond its tables' steps is laid on what it carried and kept.
  Exit codes: 0 worked out, 2 bad flags or files.
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
