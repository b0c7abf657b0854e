package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/google/subcommands"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/sim"
)

// simulateCommand plays one of the simulator's scenarios again, to look into
// what a seed has found.
type simulateCommand struct {
	scenario, job, history string
	size                   string
	faults                 string
	seed                   uint64
	random, overlap, seeds int
	day                    int
	noShrink               bool
	share                  float64
}

func (*simulateCommand) Name() string { return "simulate" }
func (*simulateCommand) Synopsis() string {
	return "play one of the simulator's scenarios, and judge it"
}
func (*simulateCommand) Usage() string {
	return `sparnotch-bench simulate -scenario "leader killed" [-size small] [-seed 1] [-job quick-20] [-history FILE]
sparnotch-bench simulate -faults kill/leader:3s@5s,cut/w2:6s@7s [-size bank] [-seed 1]
sparnotch-bench simulate -random 100 [-size bank] [-seed 1]
sparnotch-bench simulate -overlap 100 [-size bank-called] [-seed 1]
sparnotch-bench simulate -day 24 [-share 0.25] [-size bank] [-seed 1]
  Without -scenario it lists them. The same seed gives the same history.
  -faults plays a schedule, each fault WHAT/WHOM:SPAN@TIME. -random draws so
  many schedules from as many seeds, and shrinks each that breaks a rule to the
  shortest that still does, printed as the command that plays it.
  -overlap draws any three kinds at once, twice, and a fault that closes the day
  right after an acknowledgement. -seeds plays a scenario with so many seeds.
  A schedule that nothing could survive is a bad flag. -day plays so many hours
  with tables, jobs that last, every machine rolled and one last fault, at a
  share of the load, and tells what the fleet holds as they go by.
  Exit codes: 0 no rule broken, 1 a rule broken, 2 bad flags.
`
}

func (c *simulateCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.scenario, "scenario", "", "which; empty: list them")
	set.StringVar(&c.job, "job", "", "print what befell this job, and the faults")
	set.StringVar(&c.history, "history", "", "write the whole history to this file")
	set.StringVar(&c.faults, "faults", "", "schedule to play; faults are "+strings.Join(sim.FaultNames(), ", "))
	set.IntVar(&c.day, "day", 0, "play a day of so many hours, 4 at least")
	set.Float64Var(&c.share, "share", 0.25, "with -day: share of the load")
	set.IntVar(&c.random, "random", 0, "draw and play so many schedules")
	set.IntVar(&c.overlap, "overlap", 0, "draw and play so many schedules of three faults at once")
	set.IntVar(&c.seeds, "seeds", 1, "with -scenario: play it with so many seeds")
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
	if c.random < 0 || c.random > 0 && c.faults+c.scenario != "" || c.faults != "" && c.scenario != "" {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: scenario, faults and random: give one of them; random must not be negative")
		return 2
	}
	if c.day != 0 && (c.day < 4 || c.day > 48 || c.share <= 0 || c.share > 4) {
		fmt.Fprintln(os.Stderr, "sparnotch-bench: day and share: 4 to 48 hours, a share above 0 and up to 4")
		return 2
	}
	if c.day > 0 {
		return c.playDay(size)
	}
	if c.random > 0 {
		return c.playRandom(size, c.random, sim.RandomSchedule)
	}
	if c.overlap > 0 {
		return c.playRandom(size, c.overlap, sim.OverlappingSchedule)
	}
	if c.faults != "" {
		schedule, err := sim.ParseSchedule(c.faults, size)
		if err != nil {
			fmt.Fprintln(os.Stderr, "sparnotch-bench:", err)
			return 2
		}
		return c.play(schedule.Scenario(), size)
	}
	for _, s := range append(sim.ScenariosFor(size), sim.LossScenarios...) {
		if c.scenario == "" {
			fmt.Println(s.Name)
		} else if s.Name == c.scenario {
			if c.seeds > 1 {
				return c.playSeeds(s, size)
			}
			return c.play(s, size)
		}
	}
	if c.scenario == "" {
		return 0
	}
	fmt.Fprintf(os.Stderr, "sparnotch-bench: scenario: there is none called %q\n", c.scenario)
	return 2
}

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

func (c *simulateCommand) play(s sim.Scenario, size sim.FleetSpec) subcommands.ExitStatus {
	f, breaches, wrong := sim.RunScenario(s, size, c.seed)
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
	return c.verdict(f, breaches, wrong)
}

func (c *simulateCommand) verdict(f *sim.Fleet, breaches []checker.Violation, wrong []string) subcommands.ExitStatus {
	printViolations(breaches)
	for _, each := range wrong {
		fmt.Println("WRONG", each)
	}
	fmt.Printf("check: %d events, %d rules broken\n", len(f.History), len(breaches))
	if len(breaches)+len(wrong) > 0 {
		return 1
	}
	return 0
}

// playRandom plays random schedules, each on a processor of its own.
func (c *simulateCommand) playRandom(size sim.FleetSpec, count int, pick func(seed uint64, size sim.FleetSpec) sim.Schedule) subcommands.ExitStatus {
	type find struct {
		seed     uint64
		schedule sim.Schedule
		breach   checker.Violation
	}
	var mu sync.Mutex
	var finds []find
	var playing sync.WaitGroup
	gate := make(chan bool, runtime.GOMAXPROCS(0))
	faultCount := 0
	for k := 0; k < count; k++ {
		seed := c.seed + uint64(k)
		schedule := pick(seed, size)
		faultCount += len(schedule)
		playing.Add(1)
		gate <- true
		go func() {
			defer func() { <-gate; playing.Done() }()
			_, breaches, _ := sim.RunScenario(schedule.Scenario(), size, seed)
			if len(breaches) == 0 {
				return
			}
			if !c.noShrink {
				schedule = schedule.Shrink(size, seed, breaches[0].Rule)
			}
			mu.Lock()
			defer mu.Unlock()
			finds = append(finds, find{seed, schedule, breaches[0]})
		}()
	}
	playing.Wait()
	sort.Slice(finds, func(a, b int) bool { return finds[a].seed < finds[b].seed })
	for _, each := range finds {
		fmt.Printf("BROKEN %v\n  sparnotch-bench simulate -size %s -seed %d -faults %s\n", each.breach, size.Name, each.seed, each.schedule)
	}
	fmt.Printf("check: %d schedules with %d faults, %d of them break a rule\n", count, faultCount, len(finds))
	if len(finds) > 0 {
		return 1
	}
	return 0
}

func (c *simulateCommand) playDay(size sim.FleetSpec) subcommands.ExitStatus {
	f, samples, breaches, wrong := sim.Day(size, c.seed, c.day, sim.Hour, c.share)
	for k, s := range samples {
		if k%4 == 0 || k == len(samples)-1 {
			fmt.Printf("%5.2f h: %d records, %d live and %d kept jobs, %d sessions, %d bytes on a disk\n",
				float64(s.At-f.LoadStart)/3600e6, s.LogEntries, s.LiveJobs, s.RetainedJobs, s.Sessions, s.Bytes)
		}
	}
	return c.verdict(f, breaches, wrong)
}

// playSeeds plays a scenario with several seeds and tells which of them break
// something.
func (c *simulateCommand) playSeeds(s sim.Scenario, size sim.FleetSpec) subcommands.ExitStatus {
	found := make([][]string, c.seeds)
	again := make([]eventloop.Micros, c.seeds)
	var playing sync.WaitGroup
	gate := make(chan bool, runtime.GOMAXPROCS(0))
	for k := range found {
		playing.Add(1)
		gate <- true
		go func() {
			defer func() { <-gate; playing.Done() }()
			f, breaches, wrong := sim.RunScenario(s, size, c.seed+uint64(k))
			again[k] = f.RestartDelay
			for _, each := range breaches {
				wrong = append(wrong, each.String())
			}
			found[k] = wrong
		}()
	}
	playing.Wait()
	broken := 0
	for k, list := range found {
		if len(list) > 0 {
			broken++
			fmt.Printf("BROKEN %s\n  sparnotch-bench simulate -size %s -scenario %q -seed %d\n", list[0], size.Name, s.Name, c.seed+uint64(k))
		}
	}
	if longest := slices.Max(again); longest > 0 {
		fmt.Printf("a lost worker's tasks are all begun again after %.2f s at the latest\n", seconds(longest))
	}
	fmt.Printf("check: %d seeds, %d of them break a rule\n", c.seeds, broken)
	if broken > 0 {
		return 1
	}
	return 0
}
