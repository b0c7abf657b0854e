package modelcheck

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// Exploration is a breadth-first search of all schedules from a starting point.
type Exploration struct {
	Name      string
	Limits    Limits
	Prefix    string // the schedule that leads to the starting point
	Depth     int    // maximum number of steps after the prefix
	MaxStates int    // the search ends at this number of distinct states
	StepKinds string // letters of the steps to take; "": all
}

// Result reports how much was explored, and the violation that was found.
type Result struct {
	States, Steps int
	Depth         int // the largest number of steps to which every schedule was followed
	Elapsed       time.Duration
	Violation     *Violation // nil: none found
}

// String returns the counts and the elapsed time in one line.
func (r *Result) String() string {
	return fmt.Sprintf("%d states, %d steps, complete to depth %d, %v", r.States, r.Steps, r.Depth, r.Elapsed.Round(time.Millisecond))
}

// Violation is a broken invariant, with the schedule, limits and seed that break it.
type Violation struct {
	Reason   string
	Limits   Limits
	Seed     uint64
	Schedule []Step
}

// path is the list of steps from the starting point to a node of the search, last step first.
// Successors share the path of their parent.
type path struct {
	step   Step
	parent *path
}

// schedule returns the steps of the prefix followed by those of the path.
func (p *path) schedule(prefix []Step) []Step {
	var steps []Step
	for ; p != nil; p = p.parent {
		steps = append(steps, p.step)
	}
	slices.Reverse(steps)
	return slices.Concat(prefix, steps)
}

type searchNode struct {
	world *World
	path  *path
}

// Explore follows every schedule to the exploration's depth, breadth first, and expands each
// distinct world once. It ends at the first violation, or at MaxStates.
func Explore(exploration Exploration) *Result {
	startedAt := time.Now()
	result := &Result{}
	prefix := ParseSchedule(exploration.Prefix)
	first := NewWorld(exploration.Limits, 0)
	for _, step := range prefix {
		first.Execute(step)
	}
	if first.Violation() != "" {
		result.Violation = &Violation{first.Violation(), exploration.Limits, 0, prefix}
		return result
	}
	seen := map[uint64]bool{first.Fingerprint(): true}
	level := []searchNode{{first, nil}}
	for depth := 1; depth <= exploration.Depth && len(level) > 0; depth++ {
		next, steps, found := expandLevel(level, seen, depth < exploration.Depth, &exploration)
		result.Steps += steps
		result.States = len(seen)
		if found != nil {
			result.Violation = &Violation{found.world.Violation(), exploration.Limits, 0, found.path.schedule(prefix)}
			break
		}
		if len(seen) >= exploration.MaxStates {
			break
		}
		result.Depth = depth
		level = next
	}
	result.Elapsed = time.Since(startedAt)
	return result
}

// chunkSize is how many nodes a goroutine of the search takes at a time.
const chunkSize = 16

// levelSearch expands the nodes of one depth in several goroutines.
type levelSearch struct {
	exploration *Exploration
	keepNext    bool // false at the last depth, whose successors aren't expanded any further

	mu    sync.Mutex
	level []searchNode // nodes that no goroutine has taken yet
	seen  map[uint64]bool
	next  []searchNode
	steps int
	found *searchNode // the first node that breaks an invariant; nil: none
}

// expandLevel takes every enabled step from every node of a level. It adds the fingerprints of
// the resulting worlds to seen, and returns the nodes whose worlds are new (none unless
// keepNext is true), the number of steps taken, and a node that breaks an invariant.
func expandLevel(level []searchNode, seen map[uint64]bool, keepNext bool, exploration *Exploration) (next []searchNode, steps int, found *searchNode) {
	search := &levelSearch{exploration: exploration, keepNext: keepNext, level: level, seen: seen}
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(search.expand)
	}
	workers.Wait()
	return search.next, search.steps, search.found
}

func (s *levelSearch) expand() {
	for chunk := s.takeChunk(); len(chunk) > 0; chunk = s.takeChunk() {
		for k := range chunk {
			nodes, fingerprints := successors(chunk[k], s.exploration.StepKinds)
			chunk[k].world = nil // freed early, since the worlds of a level take much memory
			s.add(nodes, fingerprints)
		}
	}
}

// takeChunk returns nodes to expand; none when the search of the level is over.
func (s *levelSearch) takeChunk() []searchNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.found != nil || len(s.seen) >= s.exploration.MaxStates {
		return nil
	}
	size := min(len(s.level), chunkSize)
	chunk := s.level[:size]
	s.level = s.level[size:]
	return chunk
}

func (s *levelSearch) add(nodes []searchNode, fingerprints []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps += len(nodes)
	for k, node := range nodes {
		if node.world.Violation() != "" && s.found == nil {
			s.found = &nodes[k]
		}
		if s.seen[fingerprints[k]] {
			continue
		}
		s.seen[fingerprints[k]] = true
		if s.keepNext {
			s.next = append(s.next, node)
		}
	}
}

// successors takes every enabled step of the given kinds from a node ("" for all kinds), and
// returns the resulting nodes with their fingerprints.
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
