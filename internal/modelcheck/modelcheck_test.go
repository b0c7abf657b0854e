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
	replayWorld    = flag.String("world", "walk3", "with -schedule: the world it is played in")
	replaySchedule = flag.String("schedule", "", "a schedule to play again")
	firstSeed      = flag.Uint64("seed", 1, "the first seed of the walks; with -schedule: its own")
	walkCount      = flag.Int("walks", 25, "random walks in each world")
	walkLength     = flag.Int("length", 4000, "steps of a walk")
	extraDepth     = flag.Int("deeper", 0, "so many steps more than in CI are followed from each start")
	maxStates      = flag.Int("states", 2_000_000, "states that are kept at most from each start")
)

// replayCommand is the command that plays a finding.
func replayCommand(found *Violation) string {
	return fmt.Sprintf("go test ./internal/modelcheck -run TestPlay -world %s -seed %d -schedule %q", found.Limits.Name, found.Seed, FormatSchedule(found.Schedule))
}

func reportViolation(t *testing.T, found *Violation) {
	t.Helper()
	short := Shrink(found, checkHistory)
	t.Fatalf("%s\n%d steps, of %d before shrinking; again by:\n%s", short.Reason, len(short.Schedule), len(found.Schedule), replayCommand(short))
}

// TestReplay plays a schedule again, one step a line.
func TestReplay(t *testing.T) {
	if *replaySchedule == "" {
		t.Skip("only with -schedule")
	}
	limits, err := preset(*replayWorld)
	if err != nil {
		t.Fatal(err)
	}
	w := NewWorld(limits, *firstSeed)
	for k, step := range ParseSchedule(*replaySchedule) {
		told := w.describe(step)
		isDone := w.Execute(step)
		t.Logf("%3d %-10s %v %s\n      %s", k, step, isDone, told, w.summary())
		if w.Violation() != "" {
			break
		}
	}
	if broken := checkHistory(w); broken != "" {
		t.Error(broken)
	}
}

// explorations are what is followed whole: all that can happen to a few steps' depth,
// and further with only some kinds of steps. They begin with a group without a
// past, one at rest, one that two think they lead, and one whose members change.
var explorations = []struct {
	world string
	Exploration
}{
	{"whole", Exploration{Name: "founding", Depth: 6}},
	{"whole", Exploration{Name: "at rest", Depth: 4, Prefix: atRest}},
	{"whole", Exploration{Name: "an old leader", Depth: 4, Prefix: oldLeader}},
	{"whole", Exploration{Name: "records of an earlier term", Depth: 4, Prefix: earlierTerm}},
	{"whole", Exploration{Name: "founding, votes and writes", Depth: 8, StepKinds: "dtsck"}},
	{"synced", Exploration{Name: "at rest, elections and replaces", Depth: 7, Prefix: atRest, StepKinds: "dtp"}},
	{"synced", Exploration{Name: "an old leader, reads", Depth: 7, Prefix: oldLeader, StepKinds: "dbpr"}},
	{"synced", Exploration{Name: "records of an earlier term, elections", Depth: 7, Prefix: earlierTerm, StepKinds: "dtb"}},
	{"members", Exploration{Name: "a learner", Depth: 3, Prefix: learner}},
	{"members", Exploration{Name: "a change under way", Depth: 3, Prefix: changing}},
	{"members", Exploration{Name: "an old leader's change", Depth: 3, Prefix: oldChange}},
	{"members", Exploration{Name: "a change under way, elections", Depth: 6, Prefix: changing, StepKinds: "dtvol"}},
	{"members", Exploration{Name: "an old leader's change, elections", Depth: 6, Prefix: oldChange, StepKinds: "dto"}},
}

const (
	atRest      = "t0 q p00 q"
	oldLeader   = "t0 q p00 q r10 q p00 g0 t1 t2 q12 p11"
	earlierTerm = "t0 q p00 t1 t2 q12 p11 t0 t2 q02"
	learner     = "t0 q p00 q l0d0 q"
	changing    = "t0 q p00 q l0d0 q b0 q p00 q v0d0"
	oldChange   = "t0 q l0d0 q p00 q v0d0 t1 t2 q12"
)

// TestStarts: each start's steps have something to do, and lead where they say.
func TestStarts(t *testing.T) {
	for _, each := range explorations {
		limits, err := preset(each.world)
		if err != nil {
			t.Fatal(err)
		}
		w := NewWorld(limits, 0)
		for k, step := range ParseSchedule(each.Prefix) {
			if !w.Execute(step) {
				t.Errorf("%s: step %d, %s, has nothing to do", each.Name, k, step)
			}
		}
		leaders := 0
		for _, m := range w.machines {
			if m.group != nil && m.group.IsLeader() {
				leaders++
			}
		}
		wanted := map[string]int{"": 0, oldLeader: 2, earlierTerm: 2, oldChange: 2}
		if number, isTold := wanted[each.Prefix]; !isTold && leaders != 1 || isTold && leaders != number {
			t.Errorf("%s: begins with %d leaders: %s", each.Name, leaders, w.summary())
		}
	}
}

func TestEverySchedule(t *testing.T) {
	for _, each := range explorations {
		explore(t, each.world, each.Exploration)
	}
}

func explore(t *testing.T, world string, plan Exploration) {
	t.Helper()
	limits, err := preset(world)
	if err != nil {
		t.Fatal(err)
	}
	plan.Limits = limits
	plan.Depth += *extraDepth
	plan.MaxStates = *maxStates
	result := Explore(plan)
	t.Logf("%-8s %-38s %v", world, plan.Name, result)
	if result.Violation != nil {
		reportViolation(t, result.Violation)
	}
}

func TestWalks(t *testing.T) {
	for _, world := range []string{"walk3", "walk4", "walk5", "walk6", "walk7", "large", "timed"} {
		limits, err := preset(world)
		if err != nil {
			t.Fatal(err)
		}
		runWalks(t, limits)
	}
}

func runWalks(t *testing.T, limits Limits) {
	t.Helper()
	began := time.Now()
	var mu sync.Mutex
	var all sync.WaitGroup
	var found *Violation
	next, walked, steps, led, told, changes := *firstSeed, 0, 0, 0, 0, 0
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				isOver := found != nil || seed >= *firstSeed+uint64(*walkCount)
				mu.Unlock()
				if isOver {
					return
				}
				w := NewWorld(limits, seed)
				taken := Walk(w, seed, *walkLength)
				broken := checkHistory(w)
				mu.Lock()
				walked++
				steps += len(taken)
				led += len(w.leaders)
				changes += w.changes
				for k := range w.operations {
					if w.operations[k].returnedAt > 0 {
						told++
					}
				}
				if broken != "" && found == nil {
					found = &Violation{broken, limits, seed, taken}
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	t.Logf("%s: %d walks, %d steps, %d leaders, %d answers, %d changes of members, %d histories unjudged, %v", limits.Name, walked, steps, led, told, changes, undecidedHistories.Swap(0), time.Since(began).Round(time.Millisecond))
	if found != nil {
		reportViolation(t, found)
	}
}
