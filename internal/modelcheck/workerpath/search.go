package workerpath

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// Scenario is a starting point: what was submitted, and the schedule that leads there.
type Scenario struct {
	Name   string
	Jobs   []jobSpec
	Prefix []Step
	// Tenants are those with a limit; nil: the jobs are nobody's.
	Tenants []clusterstate.Tenant
	// LaterQueue is created during the schedule, and may be removed; empty: all exist from the start.
	LaterQueue string
}

// Finding is a broken invariant, and the schedule that breaks it.
type Finding struct {
	Reason   string
	Schedule []Step // behind the scenario's prefix
}

// String has one step a line.
func (f *Finding) String() string {
	lines := []string{f.Reason}
	for _, step := range f.Schedule {
		lines = append(lines, "  "+string(step))
	}
	return strings.Join(lines, "\n")
}

// play runs a schedule from the scenario's starting point.
func (s *Scenario) play(schedule []Step) *World {
	w := newWorld(s)
	for _, step := range slices.Concat(s.Prefix, schedule) {
		if w.observer.violation != "" {
			break
		}
		w.Execute(step)
	}
	return w
}

// Explore follows every schedule to a depth, and each distinct world once. It returns the
// number of worlds, and what breaks an invariant; nil: nothing.
func (s *Scenario) Explore(depth int) (worlds int, found *Finding) {
	seen := map[uint64]bool{s.play(nil).fingerprint(): true}
	level := [][]Step{nil}
	for d := 1; d <= depth; d++ {
		var next [][]Step
		for _, schedule := range level {
			for _, step := range s.play(schedule).enabled() {
				longer := append(slices.Clone(schedule), step)
				w := s.play(longer)
				if w.observer.violation != "" {
					return len(seen), &Finding{w.observer.violation, s.shrink(longer)}
				}
				if print := w.fingerprint(); !seen[print] {
					seen[print] = true
					next = append(next, longer)
				}
			}
		}
		level = next
	}
	return len(seen), nil
}

// Walk follows a random schedule of so many draws, of which a part are calm, and then lets
// everything settle. It returns how many runs began, and what breaks an invariant.
func (s *Scenario) Walk(seed uint64, draws int) (starts int, found *Finding) {
	rng := rand.New(rand.NewPCG(seed, 0x3a1b))
	w := s.play(nil)
	var schedule []Step
	take := func(step Step) bool {
		schedule = append(schedule, step)
		w.Execute(step)
		return w.observer.violation == ""
	}
	for range draws {
		if !take(w.drawStep(rng)) {
			return w.observer.starts, &Finding{w.observer.violation, s.shrink(schedule)}
		}
	}
	if !take(settle) {
		return w.observer.starts, &Finding{w.observer.violation, s.shrink(schedule)}
	}
	if reason := w.unsettled(); reason != "" {
		return w.observer.starts, &Finding{reason, s.shrink(schedule)}
	}
	return w.observer.starts, nil
}

// settle has the controller give all leads and leases to one node, and lasts long enough for
// what is lost to be noticed, leases to end, and all work to be done.
const settle = Step("settle")

const settleTime = 60 * eventloop.Second

// drawStep draws a step: mostly what is in flight arrives, and rarely something breaks.
func (w *World) drawStep(rng *rand.Rand) Step {
	steps := w.enabled()
	if rng.IntN(8) == 0 {
		return Step(fmt.Sprintf("calm %dms", 100*(1+rng.IntN(8))))
	}
	if rng.IntN(150) == 0 {
		names := w.observer.jobNames()
		return Step("cancel " + names[rng.IntN(len(names))])
	}
	total := 0
	for _, step := range steps {
		total += w.weight(step)
	}
	at := rng.IntN(total)
	for _, step := range steps {
		if at -= w.weight(step); at < 0 {
			return step
		}
	}
	panic("workerpath: no step was drawn")
}

// stepWeights are how often steps are drawn in relation to each other.
var stepWeights = map[string]int{"deliver": 200, "commit": 200, "lose": 10, "repeat": 6, "time": 40, "pass": 60, "elect": 6, "move": 8, "crash": 2, "restart": 4, "create": 20, "remove": 4}

// recentItems are the newest in flight. What isn't among them arrives late, and seldom.
const (
	recentItems     = 8
	lateItemDivisor = 50
)

func (w *World) weight(step Step) int {
	words := strings.Fields(string(step))
	weight := stepWeights[words[0]]
	if words[0] != "deliver" {
		return weight
	}
	if number, _ := strconv.Atoi(words[1]); number <= w.lastItem-recentItems {
		return weight / lateItemDivisor
	}
	return weight
}

// unsettled says what hasn't come to its end though everything was delivered for long.
func (w *World) unsettled() string {
	for _, q := range w.queues {
		if live := q.machine.LiveJobs(); live > 0 {
			return fmt.Sprintf("%d jobs of queue %s haven't ended", live, q.name)
		}
	}
	for _, m := range w.machines {
		if running, listed := m.worker.RunningCount(), m.worker.UnacknowledgedCount(); running+listed > 0 {
			return fmt.Sprintf("%s still runs %d tasks and lists %d ends", m.name, running, listed)
		}
	}
	return ""
}

// shrink leaves steps out as long as some invariant is still broken.
func (s *Scenario) shrink(schedule []Step) []Step {
	breaks := func(trial []Step) bool {
		w := s.play(trial)
		return w.observer.violation != "" || len(trial) > 0 && trial[len(trial)-1] == settle && w.unsettled() != ""
	}
	for size := max(len(schedule)/2, 1); size >= 1; size /= 2 {
		for k := 0; k+size <= len(schedule); {
			if trial := slices.Delete(slices.Clone(schedule), k, k+size); breaks(trial) {
				schedule = trial
			} else {
				k += size
			}
		}
	}
	return schedule
}
