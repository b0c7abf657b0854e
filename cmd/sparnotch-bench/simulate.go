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

// simulateCommand runs scenarios, fault schedules and days of the simulator, and checks
// their histories. A run is deterministic by its seed.
type simulateCommand struct {
	scenario, job, history string
	size                   string
	faults                 string
	seed                   uint64
	random, overlap, seeds int
	excess                 int
	day                    int
	noShrink, mayExceed    bool
	share                  float64
}

func (*simulateCommand) Name() string { return "simulate" }
func (*simulateCommand) Synopsis() string {
	return "run one of the simulator's scenarios, and check its history"
}
func (*simulateCommand) Usage() string {
	return `sparnotch-bench simulate -scenario "leader killed" [-size small] [-seed 1] [-job quick-20] [-history FILE]
sparnotch-bench simulate -faults kill/leader:3s@5s,cut/w2:6s@7s [-size bank] [-seed 1]
sparnotch-bench simulate -random 100 [-size bank] [-seed 1]
sparnotch-bench simulate -overlap 100 [-size bank-called] [-seed 1]
sparnotch-bench simulate -excess 100 [-size bank-called] [-seed 1]
sparnotch-bench simulate -day 24 [-share 0.25] [-size bank] [-seed 1]
  Without -scenario it lists them. The same seed gives the same history.
  -faults runs a schedule, each fault KIND/TARGET:DURATION@TIME. -random draws so
  many schedules from as many seeds, and shrinks each that breaks a rule to the
  shortest that still does, printed as the command that runs it.
  -overlap draws any three kinds at once, twice, and a last fault right after an
  acknowledgement. -seeds runs a scenario with so many seeds. A schedule that
  exceeds the tolerated faults is a bad flag, unless -may-exceed is given: then service
  may rest while too many storage nodes are away, and a recovery longer. -excess draws
  such schedules. -day runs so many hours with
  configuration changes, long jobs, a rolling restart of all machines and one last
  fault, at a share of the load, and prints the size of the state over time.
  Exit codes: 0 no rule broken, 1 a rule broken, 2 bad flags.
`
}

func (c *simulateCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.scenario, "scenario", "", "which; empty: list them")
	set.StringVar(&c.job, "job", "", "print the events of this job, and the faults")
	set.StringVar(&c.history, "history", "", "write the whole history to this file")
	set.StringVar(&c.faults, "faults", "", "schedule to run; faults are "+strings.Join(sim.FaultNames(), ", "))
	set.IntVar(&c.day, "day", 0, "run a day of so many hours, 4 at least")
	set.Float64Var(&c.share, "share", 0.25, "with -day: share of the load")
	set.IntVar(&c.random, "random", 0, "draw and run so many schedules")
	set.BoolVar(&c.mayExceed, "may-exceed", false, "with -faults: more storage nodes may be away than may be lost, if no more than one disk is lost")
	set.IntVar(&c.excess, "excess", 0, "draw and run so many schedules in which more storage nodes are away than may be lost")
	set.IntVar(&c.overlap, "overlap", 0, "draw and run so many schedules of three faults at once")
	set.IntVar(&c.seeds, "seeds", 1, "with -scenario: run it with so many seeds")
	set.StringVar(&c.size, "size", "small", "of the fleet: small, bank or skema, or these with -called")
	set.BoolVar(&c.noShrink, "noshrink", false, "with -random: print schedules as they were drawn")
	set.Uint64Var(&c.seed, "seed", 1, "the seed")
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

// checkFlags returns the first thing that is wrong with the flags, the size aside.
func (c *simulateCommand) checkFlags() error {
	if c.random < 0 || c.random > 0 && c.faults+c.scenario != "" || c.faults != "" && c.scenario != "" {
		return errors.New("scenario, faults and random: give one of them; random must not be negative")
	}
	if c.day != 0 && (c.day < 4 || c.day > 48 || c.share <= 0 || c.share > 4) {
		return errors.New("day and share: 4 to 48 hours, a share above 0 and up to 4")
	}
	return nil
}

// allScenarios lists the scenarios that can be run by name.
func allScenarios(size sim.FleetSpec) []sim.Scenario {
	return slices.Concat(sim.ScenariosFor(size), sim.GangScenarios)
}

// playFaults runs the schedule that the flags give.
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

// playScenario runs the scenario that the flags name, with one seed or with many.
func (c *simulateCommand) playScenario(size sim.FleetSpec) subcommands.ExitStatus {
	scenarios := allScenarios(size)
	at := slices.IndexFunc(scenarios, func(s sim.Scenario) bool { return s.Name == c.scenario })
	if at < 0 {
		fmt.Fprintf(os.Stderr, "sparnotch-bench: scenario: there is none called %q\n", c.scenario)
		return 2
	}
	if c.seeds > 1 {
		return c.playSeeds(scenarios[at], size)
	}
	return c.play(scenarios[at], size)
}

// findSize returns the fleet of a name. The error lists the names.
func findSize(name string) (sim.FleetSpec, error) {
	var names []string
	for _, size := range sim.FleetSpecs() {
		if size.Name == name {
			return size, nil
		}
		names = append(names, size.Name)
	}
	return sim.FleetSpec{}, fmt.Errorf("size: %q is none of %s", name, strings.Join(names, ", "))
}

// play runs one scenario.
func (c *simulateCommand) play(s sim.Scenario, size sim.FleetSpec) subcommands.ExitStatus {
	f, violations, wrong := sim.RunScenario(s, size, c.seed)
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
	return c.verdict(f, violations, wrong)
}

// verdict prints the violations, and what else was wrong at the end; other programs read
// these lines.
func (c *simulateCommand) verdict(f *sim.Fleet, violations []checker.Violation, wrong []string) subcommands.ExitStatus {
	printViolations(violations)
	for _, fault := range wrong {
		fmt.Println("WRONG", fault)
	}
	fmt.Printf("check: %d events, %d rules broken\n", len(f.History), len(violations))
	if len(violations)+len(wrong) > 0 {
		return 1
	}
	return 0
}

// finding is a random schedule that breaks a rule.
type finding struct {
	schedule  sim.Schedule
	violation checker.Violation
}

// playRandom runs random schedules of as many seeds.
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

// playDay runs a day, and prints samples of the state's size.
func (c *simulateCommand) playDay(size sim.FleetSpec) subcommands.ExitStatus {
	f, samples, violations, wrong := sim.Day(size, c.seed, c.day, sim.Hour, c.share)
	for k, s := range samples {
		if k%4 == 0 || k == len(samples)-1 {
			fmt.Printf("%5.2f h: %d log entries, %d live and %d retained jobs, %d sessions, %d bytes on a disk\n",
				float64(s.At-f.LoadStart)/3600e6, s.LogEntries, s.LiveJobs, s.RetainedJobs, s.Sessions, s.Bytes)
		}
	}
	return c.verdict(f, violations, wrong)
}

// playSeeds runs a scenario with several seeds, and prints those that break something.
func (c *simulateCommand) playSeeds(s sim.Scenario, size sim.FleetSpec) subcommands.ExitStatus {
	found := make([][]string, c.seeds)
	restartDelays := make([]eventloop.Micros, c.seeds)
	inParallel(c.seeds, func(k int) {
		f, violations, wrong := sim.RunScenario(s, size, c.seed+uint64(k))
		restartDelays[k] = f.RestartDelay
		for _, violation := range violations {
			wrong = append(wrong, violation.String())
		}
		found[k] = wrong
	})
	broken := 0
	for k, list := range found {
		if len(list) > 0 {
			broken++
			fmt.Printf("BROKEN %s\n  sparnotch-bench simulate -size %s -scenario %q -seed %d\n", list[0], size.Name, s.Name, c.seed+uint64(k))
		}
	}
	if longest := slices.Max(restartDelays); longest > 0 {
		fmt.Printf("a lost worker's tasks have all started again after %.2f s at the latest\n", seconds(longest))
	}
	fmt.Printf("check: %d seeds, %d of them break a rule\n", c.seeds, broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// inParallel calls a function for 0 to count-1, as many at once as there are processors.
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
