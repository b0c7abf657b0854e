package scheduler

import "slices"

// The filter stage: which candidates can run one more task of a step.

// fits reports whether a task can run on the candidate now.
func (req *placementRequest) fits(c *candidate) bool {
	// What is freed by a preemption is reserved for the task that asked for it.
	return c.free.covers(req.need) && c.freeAfterStops.covers(req.need) && req.mayRunOn(c)
}

// mayRunOn reports whether a task may run on the candidate, resources aside.
func (req *placementRequest) mayRunOn(c *candidate) bool {
	return req.isWithinProbation(c) && req.isEligible(c) && req.isBelowWorkerLimit(c)
}

// isWithinProbation reports whether a candidate on probation gets one more task.
// What has waited long needn't wait for the end of the probation as well.
func (req *placementRequest) isWithinProbation(c *candidate) bool {
	return c.remainingProbationTasks > 0 || req.mayUseEjected && !c.isEjected
}

// isEligible reports whether the candidate is healthy enough for the step, isn't
// claimed for another, and has the labels.
func (req *placementRequest) isEligible(c *candidate) bool {
	if c.isClaimed || c.isEjected && !req.mayUseEjected || c.worker.isOnProbation && !req.isShort && !req.mayUseEjected {
		return false
	}
	return req.hasLabels(c)
}

// couldRunOnAny reports whether a candidate could run a task if it had nothing else to run.
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

// isBelowWorkerLimit reports whether the candidate may have one more of the step's
// tasks. Runs that are no longer checked out count as well.
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
