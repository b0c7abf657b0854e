package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

const (
	// maxSoakProcesses limits the number of nodes' processes in one run.
	maxSoakProcesses = 200
	// maxPrintedViolations limits the number of violations that are printed for one run. The
	// folder of the run has all of them.
	maxPrintedViolations = 10
)

// soakCommand implements the subcommand soak, which runs randomly drawn fleets. Overlapping
// series of signals and restarts, and changes of the configuration, disturb each fleet. The
// command checks the history of each run.
type soakCommand struct {
	seed        uint64 // of the first run
	runs        int
	processes   int           // maximum number of nodes' processes in a run
	span        time.Duration // of the load of a run
	slack       float64       // factor on the time limits of the rules
	withTenants bool
	bin         string // folder of the program sparnotch
	folder      string // for the data and logs of the runs
	net         string // first three numbers of the loopback addresses
}

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "run randomly drawn fleets of processes under signals, restarts and configuration changes, and check their histories"
}
func (*soakCommand) Usage() string {
	return `sparnotch-bench soak [-seed 1] [-runs 50] [-processes 40] [-span 15s] [-slack 1]
  Each run draws a fleet, its clients, tenants and configurations from its seed, and
  overlapping series of signals (SIGTERM, SIGKILL, SIGSTOP, SIGHUP, SIGUSR1) and
  restarts. Clients keep the connections to their gateway node until its process has
  exited. One run in eight has as many processes as -processes allows (at most 200).
  The seed determines the actions and their times. Which actions overlap also depends
  on the speed of the machine. The folder of a run that broke a rule is kept, with
  schedule.txt, history.jsonl, violations.txt and the log of each node.
  Exit codes: 0 no rule broken, 1 a rule broken or a fleet didn't start, 2 invalid flags.
`
}

func (c *soakCommand) SetFlags(set *flag.FlagSet) {
	set.Uint64Var(&c.seed, "seed", 1, "seed of the first run; each further run has the next number")
	set.IntVar(&c.runs, "runs", 1, "number of runs, one after another")
	set.IntVar(&c.processes, "processes", 40, "maximum number of nodes' processes in a run")
	set.DurationVar(&c.span, "span", 15*time.Second, "how long clients submit jobs, in each run")
	set.Float64Var(&c.slack, "slack", 1, "factor by which the time limits of the rules are multiplied, for a machine with other load")
	set.BoolVar(&c.withTenants, "tenants", true, "whether configurations have tenants with keys and limits")
	set.StringVar(&c.bin, "bin", "", "folder of the program sparnotch (default: the folder of sparnotch-bench)")
	set.StringVar(&c.folder, "folder", "", "folder for the runs' data and logs (default: a new temporary one)")
	set.StringVar(&c.net, "net", "127.0.8", "first three numbers of the loopback addresses to use")
}

func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.check(); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	// A signal ends the context, so that an interrupted run still stops its processes.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := 0
	for k := range c.runs {
		if ctx.Err() != nil {
			return 1
		}
		if !c.runSeed(ctx, c.seed+uint64(k), slackenBounds(checker.DefaultTolerances, c.slack)) {
			failed++
		}
	}
	fmt.Printf("soak: %d runs, %d failed\n", c.runs, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// check returns an error that names the first invalid flag. It also sets the default folders
// where the flags set none, and creates the folder for data.
func (c *soakCommand) check() error {
	switch {
	case c.processes <= storageNodeCount || c.processes > maxSoakProcesses:
		return fmt.Errorf("processes: must lie between %d and %d", storageNodeCount+1, maxSoakProcesses)
	case c.runs < 1 || c.span <= 0 || c.slack < 1:
		return fmt.Errorf("runs, span and slack: runs must be at least 1, span above 0, and slack at least 1")
	case !strings.HasPrefix(c.net, "127.") || strings.Count(c.net, ".") != 2:
		return fmt.Errorf("net: %q is not the first three numbers of a loopback address", c.net)
	}
	var err error
	c.bin, c.folder, err = defaultFolders(c.bin, c.folder)
	return err
}

// slackenBounds returns bounds with longer time limits: it multiplies the times within which
// something must happen by a factor.
func slackenBounds(bounds checker.Tolerances, slack float64) checker.Tolerances {
	for _, bound := range []*eventloop.Micros{
		&bounds.Drain, &bounds.Cancel, &bounds.Stop, &bounds.Propagation, &bounds.Recovery, &bounds.GangStart, &bounds.GatewayReady,
	} {
		*bound = eventloop.Micros(float64(*bound) * slack)
	}
	return bounds
}

// runSeed performs the run of a seed and prints the result. It reports whether no rule was
// broken; in this case it removes the folder of the run.
func (c *soakCommand) runSeed(ctx context.Context, seed uint64, bounds checker.Tolerances) bool {
	folder := filepath.Join(c.folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return false
	}
	plan := drawSoakPlan(seed, c.span, c.processes, c.withTenants)
	f := newFleet(&plan.deployment, c.bin, folder, c.net)
	schedule, err := openSchedule(f)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return false
	}
	defer schedule.Close()
	runner := newSoakRunner(seed, c.span, bounds, plan, f)
	violations := runner.run(ctx)
	result := "passed"
	if len(violations) > 0 {
		result = "FAILED"
	}
	fmt.Printf("soak seed %d %s, %d violations; %s\n", seed, result, len(violations), runner.summary())
	for _, violation := range violations[:min(len(violations), maxPrintedViolations)] {
		fmt.Printf("BROKEN seed %d: %s\n", seed, violation)
	}
	_ = os.WriteFile(filepath.Join(folder, "violations.txt"), []byte(strings.Join(violations, "\n")), 0o600)
	if len(violations) == 0 {
		_ = os.RemoveAll(folder)
		return true
	}
	fmt.Printf("  to repeat the run: sparnotch-bench soak -seed %d -processes %d -span %s -slack %g -tenants=%v; its folder: %s\n", seed, c.processes, c.span, c.slack, c.withTenants, folder)
	return false
}
