package modelcheck

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"
)

var (
	replayWorld    = flag.String("world", "walk3", "with -schedule: the preset of the world to replay it in")
	replaySchedule = flag.String("schedule", "", "a schedule to replay")
	firstSeed      = flag.Uint64("seed", 1, "the first seed of the walks; with -schedule: the seed of its world")
	walkCount      = flag.Int("walks", 25, "number of random walks in each world")
	walkLength     = flag.Int("length", 4000, "number of steps drawn in a walk")
	extraDepth     = flag.Int("deeper", 0, "explore this many steps deeper than CI does")
	maxStates      = flag.Int("states", 2_000_000, "end an exploration at this number of distinct states")
)

// replayCommand returns the command line that replays a violation.
func replayCommand(found *Violation) string {
	return fmt.Sprintf("go test ./internal/modelcheck -v -run TestReplay -world %s -seed %d -schedule %q",
		found.Limits.Name, found.Seed, FormatSchedule(found.Schedule))
}

// reportViolation shrinks a violation and fails the test with the command that replays it.
func reportViolation(t *testing.T, found *Violation) {
	t.Helper()
	short := Shrink(found, checkHistory)
	t.Fatalf("%s\n%d steps, of %d before shrinking; replay with:\n%s", short.Reason, len(short.Schedule), len(found.Schedule), replayCommand(short))
}

// TestReplay replays the schedule given by the -schedule flag, and logs each step.
func TestReplay(t *testing.T) {
	if *replaySchedule == "" {
		t.Skip("this test runs only with -schedule")
	}
	limits, err := preset(*replayWorld)
	if err != nil {
		t.Fatal(err)
	}
	w := NewWorld(limits, *firstSeed)
	for k, step := range ParseSchedule(*replaySchedule) {
		description := w.describe(step)
		isDone := w.Execute(step)
		t.Logf("%3d %-10s %v %s\n      %s", k, step, isDone, description, w.summary())
		if w.Violation() != "" {
			break
		}
	}
	if violation := checkHistory(w); violation != "" {
		t.Error(violation)
	}
}

// explorations follow schedules of all kinds of steps to a small depth, and schedules of a few
// kinds to a larger depth. They start with a new group, an idle group, a group with a deposed
// leader that doesn't know of its successor, or a group whose membership is changing.
var explorations = []struct {
	world string
	Exploration
}{
	{"whole", Exploration{Name: "bootstrap", Depth: 6}},
	{"whole", Exploration{Name: "idle", Depth: 4, Prefix: idleGroup}},
	{"whole", Exploration{Name: "a deposed leader", Depth: 4, Prefix: deposedLeader}},
	{"whole", Exploration{Name: "entries of an earlier term", Depth: 4, Prefix: earlierTermEntries}},
	{"whole", Exploration{Name: "bootstrap, votes and writes", Depth: 8, StepKinds: "dtsck"}},
	{"synced", Exploration{Name: "idle, elections and replaces", Depth: 7, Prefix: idleGroup, StepKinds: "dtp"}},
	{"synced", Exploration{Name: "a deposed leader, reads", Depth: 7, Prefix: deposedLeader, StepKinds: "dbpr"}},
	{"synced", Exploration{Name: "entries of an earlier term, elections", Depth: 7, Prefix: earlierTermEntries, StepKinds: "dtb"}},
	{"members", Exploration{Name: "a learner", Depth: 3, Prefix: learner}},
	{"members", Exploration{Name: "a change in progress", Depth: 3, Prefix: changeInProgress}},
	{"members", Exploration{Name: "a deposed leader's change", Depth: 3, Prefix: deposedLeaderChange}},
	{"members", Exploration{Name: "a change in progress, elections", Depth: 6, Prefix: changeInProgress, StepKinds: "dtvol"}},
	{"members", Exploration{Name: "a deposed leader's change, elections", Depth: 6, Prefix: deposedLeaderChange, StepKinds: "dto"}},
}

const (
	idleGroup           = "t0 q p00 q"
	deposedLeader       = "t0 q p00 q r10 q p00 g0 t1 t2 q12 p11"
	earlierTermEntries  = "t0 q p00 t1 t2 q12 p11 t0 t2 q02"
	learner             = "t0 q p00 q l0d0 q"
	changeInProgress    = "t0 q p00 q l0d0 q b0 q p00 q v0d0"
	deposedLeaderChange = "t0 q l0d0 q p00 q v0d0 t1 t2 q12"
)

// TestStarts checks the prefixes of the explorations: every step must have an effect, and the
// group must have as many leaders at the end as the name of the prefix implies.
func TestStarts(t *testing.T) {
	for _, exploration := range explorations {
		limits, err := preset(exploration.world)
		if err != nil {
			t.Fatal(err)
		}
		w := NewWorld(limits, 0)
		for k, step := range ParseSchedule(exploration.Prefix) {
			if !w.Execute(step) {
				t.Errorf("%s: step %d, %s, has no effect", exploration.Name, k, step)
			}
		}
		leaders := 0
		for _, m := range w.machines {
			if m.group != nil && m.group.IsLeader() {
				leaders++
			}
		}
		expected := map[string]int{"": 0, deposedLeader: 2, earlierTermEntries: 2, deposedLeaderChange: 2}
		if number, found := expected[exploration.Prefix]; !found && leaders != 1 || found && leaders != number {
			t.Errorf("%s: starts with %d leaders: %s", exploration.Name, leaders, w.summary())
		}
	}
}

// TestEverySchedule runs all explorations.
func TestEverySchedule(t *testing.T) {
	for _, exploration := range explorations {
		explore(t, exploration.world, exploration.Exploration)
	}
}

func explore(t *testing.T, world string, exploration Exploration) {
	t.Helper()
	limits, err := preset(world)
	if err != nil {
		t.Fatal(err)
	}
	exploration.Limits = limits
	exploration.Depth += *extraDepth
	exploration.MaxStates = *maxStates
	result := Explore(exploration)
	t.Logf("%-8s %-38s %v", world, exploration.Name, result)
	if result.Violation != nil {
		reportViolation(t, result.Violation)
	}
}

// TestWalks checks random schedules in larger worlds.
func TestWalks(t *testing.T) {
	for _, world := range []string{"walk3", "walk4", "walk5", "walk6", "walk7", "large", "timed"} {
		limits, err := preset(world)
		if err != nil {
			t.Fatal(err)
		}
		runWalks(t, limits)
	}
}

// walkCounts holds totals over several walks, which are logged to show how much was covered.
type walkCounts struct{ walks, steps, leaders, answers, changes int }

func (c *walkCounts) add(w *World, taken []Step) {
	c.walks++
	c.steps += len(taken)
	c.leaders += len(w.leaders)
	c.changes += w.membershipChanges
	for k := range w.operations {
		if w.operations[k].returnedAt > 0 {
			c.answers++
		}
	}
}

// runWalks runs the walks of one world in several goroutines, until one of them finds a
// violation.
func runWalks(t *testing.T, limits Limits) {
	t.Helper()
	startedAt := time.Now()
	var mu sync.Mutex
	var workers sync.WaitGroup
	var found *Violation
	var counts walkCounts
	next, end := *firstSeed, *firstSeed+uint64(*walkCount)
	takeSeed := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		seed := next
		next++
		return seed, found == nil && seed < end
	}
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed, ok := takeSeed(); ok; seed, ok = takeSeed() {
				w := NewWorld(limits, seed)
				taken := Walk(w, seed, *walkLength)
				violation := checkHistory(w)
				mu.Lock()
				counts.add(w, taken)
				if violation != "" && found == nil {
					found = &Violation{violation, limits, seed, taken}
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	t.Logf("%s: %d walks, %d steps, %d leaders, %d completed operations, %d membership changes, %d histories undecided, %v",
		limits.Name,
		counts.walks, counts.steps, counts.leaders, counts.answers, counts.changes, undecidedHistories.Swap(0), time.Since(startedAt).Round(time.Millisecond))
	if found != nil {
		reportViolation(t, found)
	}
}
