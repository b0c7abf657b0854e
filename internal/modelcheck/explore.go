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
	Depth     int    // in steps from there
	MaxStates int
	StepKinds string // letters of the steps to take; "": all
}

// Result says how much was explored.
type Result struct {
	States, Steps int
	Depth         int // to which every schedule was followed
	Elapsed       time.Duration
	Violation     *Violation // nil: none found
}

// String is the result in one line.
func (r *Result) String() string {
	return fmt.Sprintf("%d states, %d steps, whole to depth %d, %v", r.States, r.Steps, r.Depth, r.Elapsed.Round(time.Millisecond))
}

// Violation is a broken invariant, and the schedule that breaks it.
type Violation struct {
	Reason   string
	Limits   Limits
	Seed     uint64
	Schedule []Step
}

// path is the way to a node of the search, shared by its successors.
type path struct {
	step   Step
	parent *path
}

// schedule lists the steps of the path behind those of the prefix.
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

// Explore follows every schedule to a depth, breadth first, and each distinct world once.
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

// chunkSize is how many nodes a worker of the search takes at a time.
const chunkSize = 16

// levelSearch expands the nodes of one depth by several workers.
type levelSearch struct {
	exploration *Exploration
	keepNext    bool // false at the last depth, whose successors aren't expanded

	mu    sync.Mutex
	level []searchNode // not taken yet
	seen  map[uint64]bool
	next  []searchNode
	steps int
	found *searchNode // the first that breaks an invariant
}

// expandLevel takes every step from every node of a level. It adds to seen, and returns the
// nodes that weren't there.
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
			chunk[k].world = nil // the search of a level needs much memory
			s.add(nodes, fingerprints)
		}
	}
}

// takeChunk returns nodes to expand; none when the search is over.
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

// successors takes every enabled step of some kinds, "" for all, from a node.
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
