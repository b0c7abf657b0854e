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
	playWorld    = flag.String("world", "walk3", "with -schedule: the world it is played in")
	playSchedule = flag.String("schedule", "", "a schedule to play again")
	seedFlag     = flag.Uint64("seed", 1, "the first seed of the walks; with -schedule: its own")
	walkCount    = flag.Int("walks", 25, "random walks in each world")
	walkLength   = flag.Int("length", 4000, "steps of a walk")
	deeper       = flag.Int("deeper", 0, "so many steps more than in CI are followed from each start")
	mostStates   = flag.Int("states", 2_000_000, "states that are kept at most from each start")
)

// again is the command that plays a finding.
func again(found *Finding) string {
	return fmt.Sprintf("go test ./internal/modelcheck -run TestPlay -world %s -seed %d -schedule %q", found.Limits.Name, found.Seed, Line(found.Schedule))
}

func report(t *testing.T, found *Finding) {
	t.Helper()
	short := Shrink(found, judge)
	t.Fatalf("%s\n%d steps, of %d before shrinking; again by:\n%s", short.Broken, len(short.Schedule), len(found.Schedule), again(short))
}

// TestPlay plays a schedule again, one step a line.
func TestPlay(t *testing.T) {
	if *playSchedule == "" {
		t.Skip("only with -schedule")
	}
	limits, err := preset(*playWorld)
	if err != nil {
		t.Fatal(err)
	}
	w := NewWorld(limits, *seedFlag)
	for k, step := range ParseSchedule(*playSchedule) {
		told := w.describe(step)
		isDone := w.Take(step)
		t.Logf("%3d %-10s %v %s\n      %s", k, step, isDone, told, w.stand())
		if w.Broken() != "" {
			break
		}
	}
	if broken := judge(w); broken != "" {
		t.Error(broken)
	}
}

// plans are what is followed whole: all that can happen to a few steps' depth,
// and further with only some kinds of steps. They begin with a group without a
// past, one at rest, one that two think they lead, and one whose members change.
var plans = []struct {
	world string
	Plan
}{
	{"whole", Plan{Name: "founding", Depth: 6}},
	{"whole", Plan{Name: "at rest", Depth: 4, Start: atRest}},
	{"whole", Plan{Name: "an old leader", Depth: 4, Start: oldLeader}},
	{"whole", Plan{Name: "records of an earlier term", Depth: 4, Start: earlierTerm}},
	{"whole", Plan{Name: "founding, votes and writes", Depth: 8, Kinds: "dtsck"}},
	{"synced", Plan{Name: "at rest, elections and replaces", Depth: 7, Start: atRest, Kinds: "dtp"}},
	{"synced", Plan{Name: "an old leader, reads", Depth: 7, Start: oldLeader, Kinds: "dbpr"}},
	{"synced", Plan{Name: "records of an earlier term, elections", Depth: 7, Start: earlierTerm, Kinds: "dtb"}},
	{"members", Plan{Name: "a learner", Depth: 3, Start: learner}},
	{"members", Plan{Name: "a change under way", Depth: 3, Start: changing}},
	{"members", Plan{Name: "an old leader's change", Depth: 3, Start: oldChange}},
	{"members", Plan{Name: "a change under way, elections", Depth: 6, Start: changing, Kinds: "dtvol"}},
	{"members", Plan{Name: "an old leader's change, elections", Depth: 6, Start: oldChange, Kinds: "dto"}},
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
	for _, each := range plans {
		limits, err := preset(each.world)
		if err != nil {
			t.Fatal(err)
		}
		w := NewWorld(limits, 0)
		for k, step := range ParseSchedule(each.Start) {
			if !w.Take(step) {
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
		if number, isTold := wanted[each.Start]; !isTold && leaders != 1 || isTold && leaders != number {
			t.Errorf("%s: begins with %d leaders: %s", each.Name, leaders, w.stand())
		}
	}
}

func TestEverySchedule(t *testing.T) {
	for _, each := range plans {
		explore(t, each.world, each.Plan)
	}
}

func explore(t *testing.T, world string, plan Plan) {
	t.Helper()
	limits, err := preset(world)
	if err != nil {
		t.Fatal(err)
	}
	plan.Limits = limits
	plan.Depth += *deeper
	plan.States = *mostStates
	result := Explore(plan)
	t.Logf("%-8s %-38s %v", world, plan.Name, result)
	if result.Finding != nil {
		report(t, result.Finding)
	}
}

func TestWalks(t *testing.T) {
	for _, world := range []string{"walk3", "walk4", "walk5", "walk6", "walk7", "large", "timed"} {
		limits, err := preset(world)
		if err != nil {
			t.Fatal(err)
		}
		walks(t, limits)
	}
}

func walks(t *testing.T, limits Limits) {
	t.Helper()
	began := time.Now()
	var mu sync.Mutex
	var all sync.WaitGroup
	var found *Finding
	next, walked, steps, led, told, changes := *seedFlag, 0, 0, 0, 0, 0
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				isOver := found != nil || seed >= *seedFlag+uint64(*walkCount)
				mu.Unlock()
				if isOver {
					return
				}
				w := NewWorld(limits, seed)
				taken := Walk(w, seed, *walkLength)
				broken := judge(w)
				mu.Lock()
				walked++
				steps += len(taken)
				led += len(w.leaders)
				changes += w.changes
				for k := range w.operations {
					if w.operations[k].answered > 0 {
						told++
					}
				}
				if broken != "" && found == nil {
					found = &Finding{broken, limits, seed, taken}
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	t.Logf("%s: %d walks, %d steps, %d leaders, %d answers, %d changes of members, %d histories unjudged, %v", limits.Name, walked, steps, led, told, changes, unjudged.Swap(0), time.Since(began).Round(time.Millisecond))
	if found != nil {
		report(t, found)
	}
}
