package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/google/subcommands"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/sim"
)

// simulateCommand implements the subcommand simulate, which runs scenarios, fault schedules
// and whole days in the simulator, and checks their histories. The seed determines a run.
type simulateCommand struct {
	scenario, job, history string
	size                   string // name of the fleet's size
	faults                 string // schedule to run
	seed                   uint64
	random, overlap, seeds int // numbers of runs
	excess                 int // number of runs
	day                    int // hours
	noShrink, mayExceed    bool
	share                  float64 // of the load, for a day
}

func (*simulateCommand) Name() string { return "simulate" }
func (*simulateCommand) Synopsis() string {
	return "run scenarios, schedules of faults or whole days in the simulator, and check their histories"
}
func (*simulateCommand) Usage() string {
	return `sparnotch-bench simulate -scenario "leader killed" [-size small] [-seed 1] [-job quick-20] [-history FILE]
sparnotch-bench simulate -faults kill/leader:3s@5s,cut/w2:6s@7s [-size bank] [-seed 1]
sparnotch-bench simulate -random 100 [-size bank] [-seed 1]
sparnotch-bench simulate -overlap 100 [-size bank-called] [-seed 1]
sparnotch-bench simulate -excess 100 [-size bank-called] [-seed 1]
sparnotch-bench simulate -day 24 [-share 0.25] [-size bank] [-seed 1]
  Without any of these flags it lists the scenarios. The same seed gives the same history.
  -scenario runs one scenario; with -seeds it runs once with each of that many seeds.
  -faults runs a schedule of faults, each KIND/TARGET:DURATION@TIME. It rejects a
  schedule that exceeds the tolerated faults, unless -may-exceed is set. In that case,
  requests may go unserved while too many storage nodes are away, and the recovery may
  take longer.
  -random draws that many schedules, each from a seed of its own. It shrinks each that
  breaks a rule to the shortest schedule that still does, and prints the command that
  runs this schedule.
  -overlap draws schedules with any three kinds of faults at once, twice, and a last
  fault right after an acknowledgement.
  -excess draws schedules that exceed the tolerated faults.
  -day runs that many hours with changes of the configuration, long jobs, a rolling
  restart of all machines and one last fault, at a share of the load, and prints the
  size of the state over time.
  Exit codes: 0 no rule broken, 1 a rule broken, 2 invalid flags.
`
}

func (c *simulateCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.scenario, "scenario", "", "name of the scenario to run; empty: list the scenarios")
	set.StringVar(&c.job, "job", "", "print the events of the job with this name, and the faults")
	set.StringVar(&c.history, "history", "", "write the whole history to this file")
	set.StringVar(&c.faults, "faults", "", "schedule of faults to run, which may be "+strings.Join(sim.FaultNames(), ", "))
	set.IntVar(&c.day, "day", 0, "hours of the day to run, 4 or more")
	set.Float64Var(&c.share, "share", 0.25, "with -day: share of the load")
	set.IntVar(&c.random, "random", 0, "number of schedules to draw and run")
	set.BoolVar(&c.mayExceed, "may-exceed", false, "with -faults: allow more storage nodes to be away than the fleet tolerates, if at most one disk is lost")
	set.IntVar(&c.excess, "excess", 0, "number of schedules to draw and run in which more storage nodes are away than the fleet tolerates")
	set.IntVar(&c.overlap, "overlap", 0, "number of schedules to draw and run with three faults at once")
	set.IntVar(&c.seeds, "seeds", 1, "with -scenario: number of seeds to run it with")
	set.StringVar(&c.size, "size", "small", "size of the fleet: small, bank or skema, or one of these followed by -called")
	set.BoolVar(&c.noShrink, "noshrink", false, "with -random: print the schedules as drawn, without shrinking them")
	set.Uint64Var(&c.seed, "seed", 1, "seed of the first run")
}

func (c *simulateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	size, err := findSize(c.size)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	if err := c.checkFlags(); err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	switch {
	case c.day > 0:
		return c.playDay(size)
	case c.random > 0:
		return c.playRandom(size, c.random, sim.RandomSchedule, sim.Schedule.Scenario)
	case c.overlap > 0:
		return c.playRandom(size, c.overlap, sim.OverlappingSchedule, sim.Schedule.Scenario)
	case c.excess > 0:
		c.mayExceed = true
		return c.playRandom(size, c.excess, sim.ExcessiveSchedule, sim.Schedule.ExcessScenario)
	case c.faults != "":
		return c.playFaults(size)
	case c.scenario == "":
		for _, s := range allScenarios(size) {
			fmt.Println(s.Name)
		}
		return 0
	}
	return c.playScenario(size)
}

// checkFlags returns an error for the first invalid combination or value of the flags. It
// doesn't check the size.
func (c *simulateCommand) checkFlags() error {
	if c.random < 0 || c.random > 0 && c.faults+c.scenario != "" || c.faults != "" && c.scenario != "" {
		return errors.New("scenario, faults and random: only one of them may be set, and random must not be negative")
	}
	if c.day != 0 && (c.day < 4 || c.day > 48 || c.share <= 0 || c.share > 4) {
		return errors.New("day and share: day must lie between 4 and 48 hours, and share must be above 0 and at most 4")
	}
	return nil
}

// allScenarios returns the scenarios that can be run by name on a fleet of a size.
func allScenarios(size sim.FleetSpec) []sim.Scenario {
	return slices.Concat(sim.ScenariosFor(size), sim.GangScenarios)
}

// playFaults runs the schedule of the flag -faults.
func (c *simulateCommand) playFaults(size sim.FleetSpec) subcommands.ExitStatus {
	parse, scenarioOf := sim.ParseSchedule, sim.Schedule.Scenario
	if c.mayExceed {
		parse, scenarioOf = sim.ParseExcessiveSchedule, sim.Schedule.ExcessScenario
	}
	schedule, err := parse(c.faults, size)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
		return 2
	}
	return c.play(scenarioOf(schedule), size)
}

// playScenario runs the scenario of the flag -scenario with one seed or several.
func (c *simulateCommand) playScenario(size sim.FleetSpec) subcommands.ExitStatus {
	scenarios := allScenarios(size)
	at := slices.IndexFunc(scenarios, func(s sim.Scenario) bool { return s.Name == c.scenario })
	if at < 0 {
		fmt.Fprintf(os.Stderr, "sparnotch-bench: scenario: there is no scenario called %q\n", c.scenario)
		return 2
	}
	if c.seeds > 1 {
		return c.playSeeds(scenarios[at], size)
	}
	return c.play(scenarios[at], size)
}

// findSize returns the description of the fleet with a name. The error for an unknown name
// lists the known ones.
func findSize(name string) (sim.FleetSpec, error) {
	var names []string
	for _, size := range sim.FleetSpecs() {
		if size.Name == name {
			return size, nil
		}
		names = append(names, size.Name)
	}
	return sim.FleetSpec{}, fmt.Errorf("size: %q is not one of %s", name, strings.Join(names, ", "))
}

// play runs one scenario with the seed of the flags, and prints or writes the events that the
// flags ask for.
func (c *simulateCommand) play(s sim.Scenario, size sim.FleetSpec) subcommands.ExitStatus {
	f, violations, problems := sim.RunScenario(s, size, c.seed)
	if c.history != "" {
		if err := os.WriteFile(c.history, f.EncodeHistory(), 0o600); err != nil {
			fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
			return 2
		}
	}
	for _, e := range f.History {
		if c.job != "" && (e.Name == c.job || e.Kind == checker.Fault) {
			e.Spec = nil
			line, err := json.Marshal(e)
			if err != nil {
				continue
			}
			fmt.Println(string(line))
		}
	}
	return c.verdict(f, violations, problems)
}

// verdict prints the violations of rules and the problems that the final checks of a scenario
// found. It returns the exit code. Other programs parse the printed lines.
func (c *simulateCommand) verdict(f *sim.Fleet, violations []checker.Violation, problems []string) subcommands.ExitStatus {
	printViolations(violations)
	for _, problem := range problems {
		fmt.Println("WRONG", problem)
	}
	fmt.Printf("check: %d events, %d rules broken\n", len(f.History), len(violations))
	if len(violations)+len(problems) > 0 {
		return 1
	}
	return 0
}

// finding is a random schedule that breaks a rule, together with the violation.
type finding struct {
	schedule  sim.Schedule
	violation checker.Violation
}

// playRandom draws and runs count schedules, each from a seed of its own. For each schedule that
// breaks a rule it prints the command that runs it again, shrunk unless the flag -noshrink is set.
func (c *simulateCommand) playRandom(size sim.FleetSpec, count int, draw func(seed uint64, size sim.FleetSpec) sim.Schedule, scenarioOf func(sim.Schedule) sim.Scenario) subcommands.ExitStatus {
	schedules, faultCount := make([]sim.Schedule, count), 0
	for k := range schedules {
		schedules[k] = draw(c.seed+uint64(k), size)
		faultCount += len(schedules[k])
	}
	findings := make([]*finding, count)
	inParallel(count, func(k int) {
		seed, schedule := c.seed+uint64(k), schedules[k]
		_, violations, _ := sim.RunScenario(scenarioOf(schedule), size, seed)
		if len(violations) == 0 {
			return
		}
		if !c.noShrink {
			schedule = schedule.Shrink(size, seed, violations[0].Rule, scenarioOf)
		}
		findings[k] = &finding{schedule, violations[0]}
	})
	broken, mode := 0, ""
	if c.mayExceed {
		mode = "-may-exceed "
	}
	for k, found := range findings {
		if found != nil {
			broken++
			fmt.Printf("BROKEN %v\n  sparnotch-bench simulate -size %s -seed %d %s-faults %s\n", found.violation, size.Name, c.seed+uint64(k), mode, found.schedule)
		}
	}
	fmt.Printf("check: %d schedules with %d faults, %d of them break a rule\n", count, faultCount, broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// playDay runs a day and prints samples of the size of the state.
func (c *simulateCommand) playDay(size sim.FleetSpec) subcommands.ExitStatus {
	f, samples, violations, problems := sim.Day(size, c.seed, c.day, sim.Hour, c.share)
	for k, s := range samples {
		if k%4 == 0 || k == len(samples)-1 {
			fmt.Printf("%5.2f h: %d log entries, %d live and %d retained jobs, %d sessions, %d bytes on a disk\n",
				float64(s.At-f.LoadStart)/3600e6, s.LogEntries, s.LiveJobs, s.RetainedJobs, s.Sessions, s.Bytes)
		}
	}
	return c.verdict(f, violations, problems)
}

// playSeeds runs a scenario with several seeds, and prints the command that repeats each run
// with a broken rule or another problem.
func (c *simulateCommand) playSeeds(s sim.Scenario, size sim.FleetSpec) subcommands.ExitStatus {
	problemsBySeed := make([][]string, c.seeds)
	restartDelays := make([]eventloop.Micros, c.seeds)
	inParallel(c.seeds, func(k int) {
		f, violations, problems := sim.RunScenario(s, size, c.seed+uint64(k))
		restartDelays[k] = f.RestartDelay
		for _, violation := range violations {
			problems = append(problems, violation.String())
		}
		problemsBySeed[k] = problems
	})
	broken := 0
	for k, list := range problemsBySeed {
		if len(list) > 0 {
			broken++
			fmt.Printf("BROKEN %s\n  sparnotch-bench simulate -size %s -scenario %q -seed %d\n", list[0], size.Name, s.Name, c.seed+uint64(k))
		}
	}
	if longest := slices.Max(restartDelays); longest > 0 {
		fmt.Printf("the tasks of a lost worker had all started again after at most %.2f s\n", seconds(longest))
	}
	fmt.Printf("check: %d seeds, %d of them break a rule\n", c.seeds, broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// inParallel calls a function with each number from 0 to count-1. It runs as many calls at once
// as there are processors, and waits for all.
func inParallel(count int, call func(k int)) {
	var running sync.WaitGroup
	slots := make(chan bool, runtime.GOMAXPROCS(0))
	for k := range count {
		running.Add(1)
		slots <- true
		go func() {
			defer func() { <-slots; running.Done() }()
			call(k)
		}()
	}
	running.Wait()
}
