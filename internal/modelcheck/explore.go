package modelcheck

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// Exploration is what to explore: from where, how far, and how much at most.
type Exploration struct {
	Name      string
	Limits    Limits
	Prefix    string // a schedule that leads to where it begins
	Depth     int    // steps from there
	MaxStates int    // at most
	StepKinds string // letters of the steps that are taken; empty: all
}

// Result says what was explored.
type Result struct {
	States, Steps int
	Depth         int // to which every schedule was followed
	Elapsed       time.Duration
	Violation     *Violation
}

// String tells it in a line.
func (r *Result) String() string {
	return fmt.Sprintf("%d states, %d steps, whole to depth %d, %v", r.States, r.Steps, r.Depth, r.Elapsed.Round(time.Millisecond))
}

// Violation is what doesn't hold, and the schedule that shows it.
type Violation struct {
	Reason   string
	Limits   Limits
	Seed     uint64
	Schedule []Step
}

type path struct {
	step   Step
	parent *path
}

func (t *path) schedule(start []Step) []Step {
	var list []Step
	for ; t != nil; t = t.parent {
		list = append(list, t.step)
	}
	slices.Reverse(list)
	return append(slices.Clone(start), list...)
}

type searchNode struct {
	world *World
	path  *path
}

// Explore follows every schedule to a depth, breadth first, each world once.
func Explore(exploration Exploration) *Result {
	began := time.Now()
	result := &Result{}
	start := ParseSchedule(exploration.Prefix)
	first := NewWorld(exploration.Limits, 0)
	for _, step := range start {
		first.Execute(step)
	}
	if first.Violation() != "" {
		result.Violation = &Violation{first.Violation(), exploration.Limits, 0, start}
		return result
	}
	seen := map[uint64]bool{first.Fingerprint(): true}
	level := []searchNode{{first, nil}}
	for depth := 1; depth <= exploration.Depth && len(level) > 0; depth++ {
		next, steps, found := expandLevel(level, seen, depth < exploration.Depth, &exploration)
		result.Steps += steps
		result.States = len(seen)
		if found != nil {
			result.Violation = &Violation{found.world.Violation(), exploration.Limits, 0, found.path.schedule(start)}
			break
		}
		if len(seen) >= exploration.MaxStates {
			break
		}
		result.Depth = depth
		level = next
	}
	result.Elapsed = time.Since(began)
	return result
}

// expandLevel makes every step from every world of a level.
func expandLevel(level []searchNode, seen map[uint64]bool, keepNext bool, exploration *Exploration) (next []searchNode, steps int, found *searchNode) {
	var mu sync.Mutex
	var all sync.WaitGroup
	at := 0
	takeChunk := func(size int) []searchNode {
		mu.Lock()
		defer mu.Unlock()
		if found != nil || len(seen) >= exploration.MaxStates {
			return nil
		}
		chunk := level[at:min(len(level), at+size)]
		at += len(chunk)
		return chunk
	}
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for chunk := takeChunk(16); len(chunk) > 0; chunk = takeChunk(16) {
				for k := range chunk {
					successorNodes, fingerprints := successors(chunk[k], exploration.StepKinds)
					chunk[k].world = nil
					mu.Lock()
					steps += len(successorNodes)
					for j, child := range successorNodes {
						if child.world.Violation() != "" && found == nil {
							found = &successorNodes[j]
						}
						if seen[fingerprints[j]] {
							continue
						}
						seen[fingerprints[j]] = true
						if keepNext {
							next = append(next, child)
						}
					}
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	return next, steps, found
}

func successors(from searchNode, kinds string) (nodes []searchNode, fingerprints []uint64) {
	for _, step := range from.world.EnabledSteps() {
		if kinds != "" && !strings.ContainsRune(kinds, rune(step[0])) {
			continue
		}
		world := from.world.Clone()
		if !world.Execute(step) {
			continue
		}
		nodes = append(nodes, searchNode{world, &path{step, from.path}})
		fingerprints = append(fingerprints, world.Fingerprint())
	}
	return nodes, fingerprints
}

// EnabledSteps are the steps that a scheduler may take, except to lose a message: one
// that never arrives has been lost.
func (w *World) EnabledSteps() []Step {
	var steps []Step
	add := func(form string, args ...any) { steps = append(steps, Step(fmt.Sprintf(form, args...))) }
	isListed := map[uint32]bool{}
	for _, p := range w.inFlight {
		if isListed[p.key] {
			continue
		}
		isListed[p.key] = true
		add("d%x", p.key)
		if w.duplicates < w.limits.Duplicates {
			add("u%x", p.key)
		}
	}
	for k, m := range w.machines {
		if m.currentWrite != nil {
			add("s%d", k)
		}
		if w.crashes < w.limits.Crashes {
			add("c%d", k)
			if m.currentWrite != nil {
				add("k%d", k)
			}
		}
		if w.wipes < w.limits.Wipes {
			add("w%d", k)
		}
		if m.group == nil {
			continue
		}
		add("t%d", k)
		if m.applied > m.log.Snapshot.Index {
			add("f%d", k)
		}
		if m.group.IsLeader() {
			steps = append(steps, w.leaderSteps(k, m)...)
		}
	}
	for k, each := range w.operators {
		if each.operation >= 0 {
			add("g%d", k)
		}
	}
	return steps
}

func (w *World) leaderSteps(k int, m *machine) []Step {
	var steps []Step
	add := func(form string, args ...any) { steps = append(steps, Step(fmt.Sprintf(form, args...))) }
	add("b%d", k)
	for j, each := range w.operators {
		if w.proposals < w.limits.Proposals && (each.operation < 0 || !w.operations[each.operation].isRead) {
			add("p%d%d", j, k)
		}
		if each.operation < 0 {
			add("r%d%d", j, k)
		}
	}
	members := m.group.MemberSet()
	for _, other := range w.machines {
		if other.id != m.id && slices.Contains(members.Voters, other.id) {
			add("h%d%s", k, other.id)
		}
	}
	if !w.limits.MembershipChanges {
		return steps
	}
	for _, id := range members.Learners {
		add("v%d%s", k, id)
		add("o%d%s", k, id)
	}
	for _, id := range members.Voters {
		if len(members.Voters) > 1 {
			add("o%d%s", k, id)
		}
	}
	for _, other := range w.machines {
		if !slices.Contains(members.Voters, other.id) && !slices.Contains(members.Learners, other.id) {
			add("l%d%s", k, other.id)
		}
	}
	return steps
}
