package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// placementReason is why a task's worker was chosen.
type placementReason struct {
	score       float64
	worker      string
	free        resources // on the worker, beside the task
	rack        string
	tasksOnRack int // of the step
}

func (r placementReason) String() string {
	if r.worker == "" {
		return ""
	}
	return fmt.Sprintf("score %.2f on %s: %d milli cores and %d MB left, rack %s has %d of this step",
		r.score, r.worker, r.free.cores, r.free.memory, r.rack, r.tasksOnRack)
}

// chooseWorkers filters and scores the candidates for tasks of one step. It returns
// a candidate for every task, whose resources it has taken, or nil.
func (s *Scheduler) chooseWorkers(tasks []*task, candidates []*candidate, req *placementRequest) []*candidate {
	if !req.spec.Gang {
		return s.chooseGreedily(tasks, candidates, req)
	}
	// The members of a gang either all wait at a barrier or are all held.
	for _, hasBarrier := range []bool{true, false} {
		var alike []*candidate
		for _, c := range candidates {
			if c.worker.hasBarrier == hasBarrier {
				alike = append(alike, c)
			}
		}
		if len(alike) == 0 {
			continue
		}
		if req.spec.OneRack {
			if chosen := s.chooseInOneRack(tasks, alike, req); chosen != nil {
				return chosen
			}
		}
		if chosen := s.chooseGreedily(tasks, alike, req); chosen != nil {
			return chosen
		}
	}
	return nil
}

// chooseInOneRack is chooseGreedily within one rack: that of the step's data, else the
// one with most free capacity, that takes all tasks.
func (s *Scheduler) chooseInOneRack(tasks []*task, candidates []*candidate, req *placementRequest) []*candidate {
	byRack := map[string][]*candidate{}
	weights := map[string]int64{}
	for _, c := range candidates {
		if !req.isEligible(c) {
			continue
		}
		rack := c.worker.rack
		byRack[rack] = append(byRack[rack], c)
		weights[rack] += min(c.free.fitCount(req.need), int64(len(tasks)))
		if rack == req.spec.DataRack {
			weights[rack] += 1 << 32
		}
	}
	racks := slices.SortedFunc(maps.Keys(byRack), func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	for _, rack := range racks {
		if chosen := s.chooseGreedily(tasks, byRack[rack], req); chosen != nil {
			return chosen
		}
	}
	return nil
}

// chooseGreedily chooses the best candidate for each task in turn; nil: one fits nowhere.
func (s *Scheduler) chooseGreedily(tasks []*task, candidates []*candidate, req *placementRequest) []*candidate {
	chosen := make([]*candidate, 0, len(tasks))
	undos := make([]func(), 0, len(tasks))
	for _, t := range tasks {
		c, score := s.bestCandidate(candidates, req)
		if c == nil {
			for _, undo := range undos {
				undo()
			}
			return nil
		}
		undos = append(undos, req.allocate(c))
		t.placementReason = placementReason{score, c.worker.id, c.free, c.worker.rack, req.tasksPerRack[c.worker.rack]}
		chosen = append(chosen, c)
	}
	return chosen
}
