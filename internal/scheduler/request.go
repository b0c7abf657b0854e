package scheduler

import (
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	// ejectedFallbackDelay is how long a step waits before it may use ejected workers and workers
	// on probation, if no other worker could run it or much of the pool is free.
	ejectedFallbackDelay = 2500 * eventloop.Millisecond
	// ejectedLastResortDelay is how long a step waits before it may use them in any case.
	ejectedLastResortDelay = 12 * eventloop.Second
)

// placementRequest describes a step for whose tasks a pass looks for workers.
type placementRequest struct {
	step            stepKey
	spec            *schema.Step
	need            resources      // resources that one task needs
	tasksPerWorker  map[string]int // the step's tasks, by worker id
	tasksPerRack    map[string]int // the step's tasks, by rack
	namesakeWorkers []string       // see workersOfNamesakes, for the task that is being placed
	scores          candidateScores
	preferredRack   string // rack for the tasks of a step that keeps to one rack
	feasibility     deadlineFeasibility
	maxLoss         float64 // core-microseconds of work that a preemption for one task may lose
	isRecent        bool    // the step has waited for at most ejectedFallbackDelay
	isShort         bool    // the step's tasks are expected to end soon, see Scheduler.isShort
	mayUseEjected   bool    // the step has waited long enough to use ejected workers and those on probation
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

// choosePreferredRack returns the rack with the most tasks of the step. If several racks have the
// same number of tasks, it returns the rack with the most free capacity for the step.
func (req *placementRequest) choosePreferredRack(candidates []*candidate) string {
	weights := map[string]int64{}
	for rack, count := range req.tasksPerRack {
		weights[rack] += int64(count) << 32
	}
	for _, c := range candidates {
		if req.isEligible(c) {
			weights[c.worker.rack] += min(c.free.fitCount(req.need), int64(req.spec.Tasks))
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

// isWide reports whether narrower steps can starve this one: it is a gang, or no worker could run
// wideFraction of its tasks at a time.
func (req *placementRequest) isWide(candidates []*candidate) bool {
	return req.spec.Gang || !slices.ContainsFunc(candidates, func(c *candidate) bool {
		return c.worker.total().fitCount(req.need) >= wideFraction
	})
}

// allocate allocates a candidate's resources to one task and returns a function that undoes it.
func (req *placementRequest) allocate(c *candidate) (undo func()) {
	c.allocate(req.need)
	req.addTaskCount(c, 1)
	return func() {
		c.release(req.need)
		req.addTaskCount(c, -1)
	}
}

// addTaskCount adds to the number of the step's tasks on a candidate and in its rack.
func (req *placementRequest) addTaskCount(c *candidate, by int) {
	req.tasksPerWorker[c.worker.id] += by
	req.tasksPerRack[c.worker.rack] += by
	if !slices.Contains(req.scores.staleRacks, c.worker.rack) {
		req.scores.staleRacks = append(req.scores.staleRacks, c.worker.rack)
	}
}
