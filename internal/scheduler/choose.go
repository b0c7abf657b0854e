package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// placementReason records why a task's worker was chosen.
type placementReason struct {
	score       float64
	worker      string
	free        resources // on the worker, once the task is placed
	rack        string
	tasksOnRack int // the step's tasks there, this one included
}

func (r placementReason) String() string {
	if r.worker == "" {
		return ""
	}
	return fmt.Sprintf("score %.2f on %s: %d milli cores and %d MB left, rack %s has %d of this step",
		r.score, r.worker, r.free.cores, r.free.memory, r.rack, r.tasksOnRack)
}

// chooseWorkers filters and scores the candidates for tasks of one step. It returns a candidate
// for every task, with the resources allocated there, or nil if not all of the tasks fit.
func (s *Scheduler) chooseWorkers(tasks []*task, candidates []*candidate, req *placementRequest) []*candidate {
	if !req.spec.Gang {
		return s.chooseGreedily(tasks, candidates, req)
	}
	// Members start together either by waiting at a barrier or by being held first, so either
	// all workers of a gang have a barrier or none has.
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

// chooseInOneRack chooses workers within the first rack that takes all tasks, as chooseGreedily
// does. It tries the rack of the step's data first, then the others by free capacity. It returns
// nil if no rack takes all tasks.
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

// chooseGreedily chooses the best candidate for one task after the other. If one of them fits
// nowhere, it undoes all allocations and returns nil.
func (s *Scheduler) chooseGreedily(tasks []*task, candidates []*candidate, req *placementRequest) []*candidate {
	chosen := make([]*candidate, 0, len(tasks))
	undos := make([]func(), 0, len(tasks))
	for _, t := range tasks {
		req.namesakeWorkers = s.workersOfNamesakes(t)
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
