package scheduler

import "slices"

// The filter stage finds the candidates that can run one more task of a step.

// fits reports whether a task of the step can run on the candidate now, unless the worker has another
// task of the same name.
func (req *placementRequest) fits(c *candidate) bool {
	// Capacity that a preemption frees is reserved, in freeAfterStops, for the task that caused the
	// preemption.
	return c.free.covers(req.need) && c.freeAfterStops.covers(req.need) && req.mayRunStepOn(c)
}

// mayRunOn reports whether a task of the step may run on the candidate, apart from its resources.
func (req *placementRequest) mayRunOn(c *candidate) bool {
	return req.mayRunStepOn(c) && !slices.Contains(req.namesakeWorkers, c.worker.id)
}

// mayRunStepOn reports whether tasks of the step may run on the candidate, apart from its resources
// and from tasks of other steps with the same name.
func (req *placementRequest) mayRunStepOn(c *candidate) bool {
	return req.isWithinProbation(c) && req.isEligible(c) && req.isBelowWorkerLimit(c)
}

// workersOfNamesakes returns the workers that have, or are to get, a task with the same name as t
// from another queue, and that know tasks by name. They would take both for one task.
func (s *Scheduler) workersOfNamesakes(t *task) []string {
	namesakes := s.tasksByName[t.name()]
	if len(namesakes) < 2 {
		return nil
	}
	var workers []string
	for _, other := range namesakes {
		for _, id := range []string{other.worker, other.reservedWorker} {
			if w := s.workers[id]; other != t && w != nil && w.usesTaskNames {
				workers = append(workers, id)
			}
		}
	}
	return workers
}

// isWithinProbation reports whether the candidate's probation, if it is on one, allows one more
// task. A step that has waited long may exceed the limit of a probation, except during an ejection.
func (req *placementRequest) isWithinProbation(c *candidate) bool {
	return c.remainingProbationTasks > 0 || req.mayUseEjected && !c.isEjected
}

// isEligible reports whether the candidate is healthy enough for the step, isn't kept free for
// another step, and has the step's labels.
func (req *placementRequest) isEligible(c *candidate) bool {
	if c.isClaimed || c.isEjected && !req.mayUseEjected || c.worker.isOnProbation && !req.isShort && !req.mayUseEjected {
		return false
	}
	return req.hasLabels(c)
}

// couldRunOnAny reports whether any candidate could run a task of the step if it ran nothing else.
func (req *placementRequest) couldRunOnAny(candidates []*candidate) bool {
	return slices.ContainsFunc(candidates, func(c *candidate) bool {
		return c.worker.total().covers(req.need) && req.hasLabels(c)
	})
}

func (req *placementRequest) hasLabels(c *candidate) bool {
	for _, label := range req.spec.Labels {
		if !slices.Contains(c.worker.labels, label) {
			return false
		}
	}
	return true
}

// isBelowWorkerLimit reports whether the step's limit of tasks per worker allows one more on the
// candidate. Runs that the worker still lists but that are no longer checked out count as well.
func (req *placementRequest) isBelowWorkerLimit(c *candidate) bool {
	if req.spec.MaxPerWorker == 0 {
		return true
	}
	count := req.tasksPerWorker[c.worker.id]
	for key := range c.worker.running {
		if key.stepKey() == req.step && c.worker.taskForAttempt(key) == nil {
			count++
		}
	}
	return count < int(req.spec.MaxPerWorker)
}
