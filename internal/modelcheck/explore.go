package modelcheck

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// Plan is what to explore: from where, how far, and how much at most.
type Plan struct {
	Name   string
	Limits Limits
	Start  string // a schedule that leads to where it begins
	Depth  int    // steps from there
	States int    // at most
	Kinds  string // letters of the steps that are taken; empty: all
}

// Result says what was explored.
type Result struct {
	States, Steps int
	Depth         int // to which every schedule was followed
	Spent         time.Duration
	Finding       *Finding
}

// String tells it in a line.
func (r *Result) String() string {
	return fmt.Sprintf("%d states, %d steps, whole to depth %d, %v", r.States, r.Steps, r.Depth, r.Spent.Round(time.Millisecond))
}

// Finding is what doesn't hold, and the schedule that shows it.
type Finding struct {
	Broken   string
	Limits   Limits
	Seed     uint64
	Schedule []Step
}

type trail struct {
	step  Step
	under *trail
}

func (t *trail) steps(start []Step) []Step {
	var list []Step
	for ; t != nil; t = t.under {
		list = append(list, t.step)
	}
	slices.Reverse(list)
	return append(slices.Clone(start), list...)
}

type branch struct {
	world *World
	trail *trail
}

// Explore follows every schedule to a depth, breadth first, each world once.
func Explore(plan Plan) *Result {
	began := time.Now()
	result := &Result{}
	start := ParseSchedule(plan.Start)
	first := NewWorld(plan.Limits, 0)
	for _, step := range start {
		first.Take(step)
	}
	if first.Broken() != "" {
		result.Finding = &Finding{first.Broken(), plan.Limits, 0, start}
		return result
	}
	seen := map[uint64]bool{first.Fingerprint(): true}
	level := []branch{{first, nil}}
	for depth := 1; depth <= plan.Depth && len(level) > 0; depth++ {
		next, steps, found := advance(level, seen, depth < plan.Depth, &plan)
		result.Steps += steps
		result.States = len(seen)
		if found != nil {
			result.Finding = &Finding{found.world.Broken(), plan.Limits, 0, found.trail.steps(start)}
			break
		}
		if len(seen) >= plan.States {
			break
		}
		result.Depth = depth
		level = next
	}
	result.Spent = time.Since(began)
	return result
}

// advance makes every step from every world of a level.
func advance(level []branch, seen map[uint64]bool, isKept bool, plan *Plan) (next []branch, steps int, found *branch) {
	var mu sync.Mutex
	var all sync.WaitGroup
	at := 0
	grab := func(size int) []branch {
		mu.Lock()
		defer mu.Unlock()
		if found != nil || len(seen) >= plan.States {
			return nil
		}
		chunk := level[at:min(len(level), at+size)]
		at += len(chunk)
		return chunk
	}
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for chunk := grab(16); len(chunk) > 0; chunk = grab(16) {
				for k := range chunk {
					made, prints := children(chunk[k], plan.Kinds)
					chunk[k].world = nil
					mu.Lock()
					steps += len(made)
					for j, child := range made {
						if child.world.Broken() != "" && found == nil {
							found = &made[j]
						}
						if seen[prints[j]] {
							continue
						}
						seen[prints[j]] = true
						if isKept {
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

func children(from branch, kinds string) (made []branch, prints []uint64) {
	for _, step := range from.world.Moves() {
		if kinds != "" && !strings.ContainsRune(kinds, rune(step[0])) {
			continue
		}
		world := from.world.Clone()
		if !world.Take(step) {
			continue
		}
		made = append(made, branch{world, &trail{step, from.trail}})
		prints = append(prints, world.Fingerprint())
	}
	return made, prints
}

// Moves are the steps that a scheduler may take, except to lose a message: one
// that never arrives has been lost.
func (w *World) Moves() []Step {
	var moves []Step
	add := func(form string, args ...any) { moves = append(moves, Step(fmt.Sprintf(form, args...))) }
	isListed := map[uint32]bool{}
	for _, p := range w.parcels {
		if isListed[p.key] {
			continue
		}
		isListed[p.key] = true
		add("d%x", p.key)
		if w.twice < w.limits.Twice {
			add("u%x", p.key)
		}
	}
	for k, m := range w.machines {
		if m.writing != nil {
			add("s%d", k)
		}
		if w.crashes < w.limits.Crashes {
			add("c%d", k)
			if m.writing != nil {
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
		if m.applied > m.memory.Snapshot.Index {
			add("f%d", k)
		}
		if m.group.IsLeader() {
			moves = append(moves, w.leaderMoves(k, m)...)
		}
	}
	for k, each := range w.operators {
		if each.current >= 0 {
			add("g%d", k)
		}
	}
	return moves
}

func (w *World) leaderMoves(k int, m *machine) []Step {
	var moves []Step
	add := func(form string, args ...any) { moves = append(moves, Step(fmt.Sprintf(form, args...))) }
	add("b%d", k)
	for j, each := range w.operators {
		if w.puts < w.limits.Puts && (each.current < 0 || !w.operations[each.current].isRead) {
			add("p%d%d", j, k)
		}
		if each.current < 0 {
			add("r%d%d", j, k)
		}
	}
	members := m.group.MemberSet()
	for _, other := range w.machines {
		if other.id != m.id && slices.Contains(members.Voters, other.id) {
			add("h%d%s", k, other.id)
		}
	}
	if !w.limits.IsChanging {
		return moves
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
	return moves
}
