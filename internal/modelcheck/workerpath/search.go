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

// Scenario is a starting point of schedules: the jobs that are submitted, and the steps that
// lead to it.
type Scenario struct {
	Name   string
	Jobs   []jobSpec
	Prefix []Step
	// Tenants are the tenants that have a limit.
	Tenants []clusterstate.Tenant
	// LaterQueue is a queue that is created during the schedule, and may be removed again. If it
	// is empty, all queues exist from the start.
	LaterQueue string
}

// Finding is a broken invariant, and the schedule that breaks it.
type Finding struct {
	Reason   string
	Schedule []Step // the steps after the scenario's prefix
}

// String returns the reason and the steps, one in a line.
func (f *Finding) String() string {
	lines := []string{f.Reason}
	for _, step := range f.Schedule {
		lines = append(lines, "  "+string(step))
	}
	return strings.Join(lines, "\n")
}

// play executes a schedule from the scenario's starting point, up to the first broken
// invariant, and returns the resulting world.
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

// Explore follows every schedule to a depth, in steps after the prefix, and expands each
// distinct world once. It returns the number of distinct worlds, and the first broken
// invariant; nil if there is none.
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
				if fingerprint := w.fingerprint(); !seen[fingerprint] {
					seen[fingerprint] = true
					next = append(next, longer)
				}
			}
		}
		level = next
	}
	return len(seen), nil
}

// Walk follows a schedule of randomly drawn steps, and then executes the step settle, after
// which all work must have ended. It returns how many runs began, and the first broken
// invariant or unfinished work; nil if there is neither.
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

// settle is the step in which one node becomes leader of all queues and gets all worker leases,
// and in which enough time passes to notice lost messages, to let leases expire, and to finish
// all work.
const settle = Step("settle")

const settleDuration = 60 * eventloop.Second

// drawStep draws a step: in most cases a message arrives or a proposal is committed, and rarely
// something fails.
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
	remaining := rng.IntN(total)
	for _, step := range steps {
		if remaining -= w.weight(step); remaining < 0 {
			return step
		}
	}
	panic("workerpath: no step was drawn")
}

// stepWeights are the relative frequencies with which steps are drawn, by the first word of the
// step.
var stepWeights = map[string]int{"deliver": 200, "commit": 200, "lose": 10, "repeat": 6, "time": 40, "pass": 60, "elect": 6, "move": 8, "crash": 2, "restart": 4, "create": 20, "remove": 4}

// The items in flight are numbered in order. An item that isn't among the last recentItems
// numbers is late, and its weight is divided by lateItemDivisor.
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
	if number, _ := strconv.Atoi(words[1]); number <= w.lastItemNumber-recentItems {
		return weight / lateItemDivisor
	}
	return weight
}

// unsettled returns a description of work that hasn't ended, though all messages were delivered
// for a long time; "" if there is none.
func (w *World) unsettled() string {
	for _, q := range w.queues {
		if live := q.stateMachine.LiveJobs(); live > 0 {
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

// shrink removes steps from a schedule, ever shorter runs of them, as long as the remaining
// steps still break some invariant or leave work unfinished.
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
