package scheduler

import (
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	// ejectedFallbackDelay is how long work waits before it may go to ejected workers
	// and workers on probation where no other could run it, or much is free.
	ejectedFallbackDelay = 2500 * eventloop.Millisecond
	// ejectedLastResortDelay is the same for any work.
	ejectedLastResortDelay = 12 * eventloop.Second
)

// placementRequest is a step that a pass looks for workers for.
type placementRequest struct {
	step           stepKey
	spec           *schema.Step
	need           resources // of one task
	tasksPerWorker map[string]int
	tasksPerRack   map[string]int
	preferredRack  string // of a step that keeps to one rack
	feasibility    deadlineFeasibility
	maxLoss        float64 // core-microseconds of work that may be lost to preemption for one task
	isRecent       bool    // it hasn't waited long
	isShort        bool    // its tasks are expected to end soon, see Scheduler.isShort
	mayUseEjected  bool    // it has waited long enough for ejected workers and those on probation
}

func (s *Scheduler) newRequest(now eventloop.Micros, q *queueView, step *stepQueue, feasibility deadlineFeasibility, candidates []*candidate) *placementRequest {
	first := step.first()
	waited := now - first.stateSince
	req := &placementRequest{
		step: step.key, spec: step.spec, need: resourcesOf(step.spec),
		tasksPerWorker: map[string]int{}, tasksPerRack: map[string]int{},
		feasibility: feasibility, maxLoss: s.maxLostWork(q, first),
		isRecent: waited <= ejectedFallbackDelay, isShort: s.isShort(q, first),
	}
	req.mayUseEjected = !req.isRecent && (isUnderutilized(candidates) || !req.hasHealthyWorker(candidates)) || waited > ejectedLastResortDelay
	for id, count := range q.tasksPerWorker[step.key] {
		req.tasksPerWorker[id] = count
		if w := s.workers[id]; w != nil {
			req.tasksPerRack[w.rack] += count
		}
	}
	if step.spec.OneRack {
		req.preferredRack = req.choosePreferredRack(candidates)
	}
	return req
}

// hasHealthyWorker reports whether a worker that isn't on probation could run the
// step's tasks once it has free capacity.
func (req *placementRequest) hasHealthyWorker(candidates []*candidate) bool {
	return slices.ContainsFunc(candidates, func(c *candidate) bool {
		return !c.worker.isOnProbation && c.worker.total().covers(req.need) && req.hasLabels(c)
	})
}

// choosePreferredRack is the rack with most of the step's tasks; among equals the
// one with most free capacity for it.
func (req *placementRequest) choosePreferredRack(candidates []*candidate) string {
	weights := map[string]int64{}
	for rack, count := range req.tasksPerRack {
		weights[rack] += int64(count) << 32
	}
	for _, c := range candidates {
		if req.isEligible(c) {
			weights[c.worker.rack] += min(c.free.multipleOf(req.need), int64(req.spec.Tasks))
		}
	}
	best := ""
	for rack, weight := range weights {
		if best == "" || weight > weights[best] || weight == weights[best] && rack < best {
			best = rack
		}
	}
	return best
}

// isWide reports whether the step's tasks can be starved by narrower ones: it is a
// gang, or no worker could run several of them at a time.
func (req *placementRequest) isWide(candidates []*candidate) bool {
	return req.spec.Gang || !slices.ContainsFunc(candidates, func(c *candidate) bool {
		return c.worker.total().multipleOf(req.need) >= wideFraction
	})
}

// allocate takes a candidate's resources for one task and returns what undoes that.
func (req *placementRequest) allocate(c *candidate) (undo func()) {
	c.allocate(req.need)
	req.count(c, 1)
	return func() {
		c.release(req.need)
		req.count(c, -1)
	}
}

func (req *placementRequest) count(c *candidate, by int) {
	req.tasksPerWorker[c.worker.id] += by
	req.tasksPerRack[c.worker.rack] += by
}
