package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io/fs"
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

// sweeps contains the dimensions that can be swept, each with a function that sets its value
// in a configuration.
var sweeps = map[string]func(s *hollowConfig, value float64){
	"workers": func(s *hollowConfig, value float64) { s.Workers = int(value) },
	"queues":  func(s *hollowConfig, value float64) { s.Queues = int(value) },
	"starts":  func(s *hollowConfig, value float64) { s.StartsPerSecond = value },
	// The number of running tasks is set by the run time of a task, at the same rate of
	// task starts.
	"running":     func(s *hollowConfig, value float64) { s.RunUs = int64(value / s.StartsPerSecond * 1e6) },
	"width":       func(s *hollowConfig, value float64) { s.Width, s.Gang = int(value), true },
	"changes":     func(s *hollowConfig, value float64) { s.ChangesPerMinute = value },
	"rows":        func(s *hollowConfig, value float64) { s.Rows = int(value) },
	"zones":       func(s *hollowConfig, value float64) { s.Zones = int(value) },
	"fronts":      func(s *hollowConfig, value float64) { s.Gateways = int(value) },
	"controllers": func(s *hollowConfig, value float64) { s.Controllers = int(value) },
	// The one-way delay between the simulator's regions, in milliseconds.
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

// sweepCommand implements the subcommand slope, which measures a hollow deployment at several
// values of one dimension.
type sweepCommand struct {
	config            hollowConfig
	dimension, levels string // dimension, and its values separated by commas
	out               string // folder for the results
	repeats           int
	warm, span        time.Duration // how long each deployment runs before the measurement, and during it
	killLeader        bool
	simulated         bool
	lose              string // kind of loss at the end of each simulated run; empty: none
}

func (*sweepCommand) Name() string { return "slope" }
func (*sweepCommand) Synopsis() string {
	return "measure a hollow deployment at several values of one dimension, and fit a curve to each metric of each role"
}
func (*sweepCommand) Usage() string {
	return `sparnotch-bench slope -size workers -over 12,24,48,96 [-repeats 3] [-out FOLDER] [flags of the subcommand hollow]
  Runs a hollow deployment at each value, repeatedly. A repeat runs all values once
  before the next repeat begins, so that other load on the machine doesn't affect one
  value alone. Appends to FOLDER/SIZE.csv, draws FOLDER/SIZE.png, and prints the
  fitted curves. Sizes: ` + strings.Join(sweepNames(), ", ") + `.
  Exit codes: 0 measured, 1 a run failed, 2 invalid flags (the message names the
  field).
`
}

func (c *sweepCommand) SetFlags(set *flag.FlagSet) {
	c.config.register(set)
	set.StringVar(&c.dimension, "size", "", "dimension to sweep")
	set.StringVar(&c.levels, "over", "", "values of the dimension, separated by commas")
	set.StringVar(&c.out, "out", ".", "folder for the CSV and the plot")
	set.IntVar(&c.repeats, "repeats", 3, "runs at each value; 0: only fit and draw the measurements in the file")
	set.DurationVar(&c.warm, "warm", 5*time.Second, "how long each deployment runs before it is measured")
	set.DurationVar(&c.span, "span", 10*time.Second, "how long each deployment is measured")
	set.BoolVar(&c.simulated, "virtual", false, "run in the simulator: messages, bytes and recovery in virtual time, for deployments that one machine can't run")
	set.IntVar(&c.config.Regions, "regions", 1, "with -virtual: number of regions, to which the zones are assigned in turn")
	set.Int64Var(&c.config.RegionDelayUs, "far_us", 6000, "with -virtual: one-way delay between regions, in microseconds")
	set.StringVar(&c.lose, "lose", "", "with -virtual: what is lost at the end of each run: "+strings.Join(losses, ", "))
	set.BoolVar(&c.killLeader, "kill", false, "kill the leader at the end of each run and measure the recovery")
}

// values returns the swept values. It returns an error that names the first invalid flag, and
// checks the configuration at each value.
func (c *sweepCommand) values() ([]float64, error) {
	set, found := sweeps[c.dimension]
	if !found {
		return nil, fmt.Errorf("size: %q is not one of %s", c.dimension, strings.Join(sweepNames(), ", "))
	}
	if c.repeats < 0 || c.repeats > 100 {
		return nil, errors.New("repeats: must lie between 0 and 100")
	}
	if c.span <= 0 || c.warm < 0 {
		return nil, errors.New("span and warm: span must be above 0, and warm must not be negative")
	}
	if !c.simulated && (c.lose != "" || c.config.Regions != 1 || c.dimension == "far") {
		return nil, errors.New("lose, regions and the size far: are allowed only with -virtual")
	}
	if c.simulated && c.killLeader {
		return nil, errors.New("kill: is not allowed with -virtual, which has the flag lose instead")
	}
	if c.lose != "" && !slices.Contains(losses, c.lose) {
		return nil, fmt.Errorf("lose: %q is not one of %s", c.lose, strings.Join(losses, ", "))
	}
	var list []float64
	for _, text := range strings.Split(c.levels, ",") {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fmt.Errorf("over: %q is not a number", text)
		}
		config := c.config
		set(&config, value)
		if err := config.check(); err != nil {
			return nil, fmt.Errorf("over: at %s: %w", text, err)
		}
		list = append(list, value)
	}
	return list, nil
}

func (c *sweepCommand) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fail := func(code subcommands.ExitStatus, args ...any) subcommands.ExitStatus {
		fmt.Fprintln(os.Stderr, append([]any{"sparnotch-bench:"}, args...)...)
		return code
	}
	values, err := c.values()
	if err == nil && set.NArg() > 0 {
		err = fmt.Errorf("%s: this argument is not a flag", set.Arg(0))
	}
	if err != nil {
		return fail(2, err)
	}
	if err := os.MkdirAll(c.out, 0o755); err != nil {
		return fail(2, "out:", err)
	}
	path := filepath.Join(c.out, c.dimension+".csv")
	measurements, err := readIfExists(path)
	if err != nil {
		return fail(2, "out:", path, err)
	}
	measurements, complete, err := c.sweep(ctx, path, values, measurements)
	if err != nil {
		return fail(1, err)
	}
	for _, fit := range capacity.FitAll(measurements) {
		fmt.Printf("%-7s %-14s %s\n", fit.Role, fit.Metric, fit.String())
	}
	if err := capacity.Plot(filepath.Join(c.out, c.dimension+".png"), c.dimension, measurements, c.plottedMetrics()); err != nil {
		return fail(1, err)
	}
	if !complete {
		return 1
	}
	return 0
}

// sweep measures a deployment at each value in each repeat. It returns the given measurements
// together with the new ones, and writes all to the file after each run. The numbers of
// repeats continue those in the file. It also reports whether all runs succeeded. A failed
// run is a result too, so sweep prints its error and continues.
func (c *sweepCommand) sweep(ctx context.Context, path string, values []float64, measurements []capacity.Measurement) ([]capacity.Measurement, bool, error) {
	lastRepeat, complete := 0, true
	for _, m := range measurements {
		lastRepeat = max(lastRepeat, m.Repeat)
	}
	for repeat := lastRepeat + 1; repeat <= lastRepeat+c.repeats; repeat++ {
		for _, value := range values {
			config := c.config
			sweeps[c.dimension](&config, value)
			list, err := c.run(ctx, config, repeat)
			if err != nil {
				fmt.Printf("%s %g, run %d: %v\n", c.dimension, value, repeat, err)
				complete = false
				continue
			}
			fmt.Printf("%s %g, run %d", c.dimension, value, repeat)
			if !c.simulated {
				fmt.Printf(": %.0f thousandths of a core in all", find(list, roleWhole, "cpu_milli"))
			}
			fmt.Println()
			measurements = append(measurements, toMeasurements(c.dimension, value, repeat, list)...)
			if err := writeMeasurements(path, measurements); err != nil {
				return nil, false, err
			}
		}
	}
	return measurements, complete, nil
}

// find returns the value of a metric of a role, or 0 when it wasn't measured.
func find(list []measurement, role, metric string) float64 {
	for _, m := range list {
		if m.role == role && m.metric == metric {
			return m.amount
		}
	}
	return 0
}

// losses contains the kinds of losses that a simulated run can have at its end.
var losses = []string{"node", "worker", "rack", "zone", "region", "link"}

// run measures one deployment, on this machine or in the simulator.
func (c *sweepCommand) run(ctx context.Context, config hollowConfig, repeat int) ([]measurement, error) {
	if !c.simulated {
		return runHollow(ctx, config, measurePlan{c.warm, c.span, c.killLeader})
	}
	// The run stays on one thread and measures its processor time, so that the work of
	// other goroutines isn't counted.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	profiler := &cpuProfiler{}
	if config.Profile != "" {
		profiler.path = filepath.Join(config.Profile, fmt.Sprintf("%s%d.pprof", c.dimension, repeat))
	}
	if err := profiler.start(); err != nil {
		return nil, err
	}
	defer profiler.stop()
	var list []measurement
	for _, m := range sim.RunHollow(sim.HollowSetup{
		Workers: config.Workers, Gateways: config.Gateways, Queues: config.Queues, StartsPerSecond: config.StartsPerSecond, RunUs: config.RunUs, TasksPerJob: config.Width,
		IsGang: config.Gang, ChangesPerMinute: config.ChangesPerMinute, ConfigurationRows: config.Rows, Zones: config.Zones, Regions: config.Regions,
		RegionDelay: eventloop.Micros(config.RegionDelayUs), WorkersPerRack: config.PerRack, Controllers: config.Controllers, Seed: uint64(repeat),
		WarmUp: eventloop.Micros(c.warm.Microseconds()), Duration: eventloop.Micros(c.span.Microseconds()), LossScope: c.lose, CPUClock: threadCPU,
	}) {
		list = append(list, measurement{m.Role, m.Metric, m.Value})
	}
	return list, ctx.Err()
}

// threadCPU returns the processor time of the calling thread, in nanoseconds.
func threadCPU() int64 {
	var spent unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spent) != nil {
		return 0
	}
	return spent.Nano()
}

// plottedMetrics returns the metrics that the plot shows.
func (c *sweepCommand) plottedMetrics() []string {
	if c.simulated {
		return []string{"cpu_tables_milli", "sent_s", "bytes_out_s", "bytes_in_s"}
	}
	return []string{"cpu_milli", "rss_mb", "sent_s", "bytes_out_s"}
}

// readIfExists reads measurements from a file. It returns none if the file doesn't exist.
func readIfExists(path string) ([]capacity.Measurement, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return capacity.ReadCSV(file)
}

func writeMeasurements(path string, measurements []capacity.Measurement) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := capacity.WriteCSV(file, measurements); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
