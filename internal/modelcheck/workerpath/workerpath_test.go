package workerpath

import (
	"flag"
	"sync"
	"sync/atomic"
	"testing"

	"sparnotch/internal/eventloop"
)

var (
	walks  = flag.Int("walks", 80, "number of random schedules of each scenario")
	draws  = flag.Int("draws", 300, "number of steps drawn for a random schedule")
	seed   = flag.Uint64("seed", 1, "seed of the first random schedule")
	deeper = flag.Int("deeper", 0, "explore this many steps deeper than CI does")
)

// jobs are more than the two workers can run at the same time. Most of them need so much that
// a worker can't run two such tasks at once.
var jobs = []jobSpec{
	{name: "short", cores: 600, work: 300 * eventloop.Millisecond, allowedFailures: 1},
	{name: "failing", cores: 600, work: 300 * eventloop.Millisecond, failures: 1, allowedFailures: 2},
	{name: "hopeless", cores: 500, work: 200 * eventloop.Millisecond, failures: 10, allowedFailures: 1},
	{name: "long", cores: 700, accelerators: 1, work: 5 * eventloop.Second, allowedFailures: 1},
	{name: "accelerated", cores: 100, accelerators: 1, work: 700 * eventloop.Millisecond, allowedFailures: 1},
	{name: "small", cores: 200, accelerators: 1, work: 400 * eventloop.Millisecond, allowedFailures: 1},
	{name: "gang", members: 2, cores: 300, work: 600 * eventloop.Millisecond, allowedFailures: 1},
	{name: "failing-gang", members: 2, cores: 200, work: 500 * eventloop.Millisecond, failures: 1, allowedFailures: 1},
}

var scenarios = []Scenario{
	{Name: "workers just known", Jobs: jobs[:2], Prefix: []Step{"calm 200ms"}},
	{Name: "tasks run", Jobs: jobs[:4], Prefix: []Step{"calm 1s"}},
	{Name: "a leader was deposed and doesn't know it", Jobs: jobs[:4], Prefix: []Step{"calm 1s", "elect l"}},
	{Name: "the leases have moved and nobody knows it", Jobs: jobs[:4], Prefix: []Step{"calm 1s", "move b"}},
	{Name: "a gang runs", Jobs: jobs[5:], Prefix: []Step{"calm 400ms"}},
	{Name: "leader and leases have moved", Jobs: jobs, Prefix: []Step{"calm 1s", "elect l", "move b", "pass 1s"}},
	{Name: "a worker has crashed", Jobs: jobs, Prefix: []Step{"calm 700ms", "crash m1"}},
}

func TestEverySchedule(t *testing.T) { exploreAll(t, scenarios, 2+*deeper) }

func TestWalks(t *testing.T) { walkAll(t, scenarios) }

func exploreAll(t *testing.T, scenarios []Scenario, depth int) {
	for k := range scenarios {
		t.Run(scenarios[k].Name, func(t *testing.T) {
			t.Parallel()
			worlds, found := scenarios[k].Explore(depth)
			t.Logf("%d worlds", worlds)
			if found != nil {
				t.Error(found)
			}
		})
	}
}

func walkAll(t *testing.T, scenarios []Scenario) {
	for k := range scenarios {
		t.Run(scenarios[k].Name, func(t *testing.T) {
			t.Parallel()
			var running sync.WaitGroup
			var starts atomic.Int64
			slots := make(chan bool, 2)
			for n := range *walks {
				running.Add(1)
				slots <- true
				go func() {
					defer func() { <-slots; running.Done() }()
					started, found := scenarios[k].Walk(*seed+uint64(n), *draws)
					starts.Add(int64(started))
					if found != nil {
						t.Errorf("seed %d: %v", *seed+uint64(n), found)
					}
				}()
			}
			running.Wait()
			t.Logf("%d walks, %d runs began", *walks, starts.Load())
			if starts.Load() < int64(*walks) {
				t.Error("fewer runs began than there were walks")
			}
		})
	}
}

// TestCalm checks that without failures of the environment every job ends in the expected state,
// and that each attempt has exactly one run.
func TestCalm(t *testing.T) {
	s := Scenario{Name: "calm", Jobs: jobs}
	w := s.play([]Step{settle})
	if w.observer.violation != "" || w.unsettled() != "" {
		t.Fatal(w.observer.violation, w.unsettled())
	}
	// Runs of four jobs that succeed at once, of one that succeeds at its second attempt, of one
	// that fails twice, of a gang of two, and of a gang of two that fails once.
	const wanted = 4 + 2 + 2 + 2 + 4
	if w.observer.starts != wanted {
		t.Errorf("%d runs began", w.observer.starts)
	}
	for name, state := range map[string]string{"short": "complete", "failing": "complete", "hopeless": "failed", "long": "complete"} {
		if view, _ := w.jobView(name); view.GetState() != state {
			t.Errorf("%s is %v", name, view.GetState())
		}
	}
}
