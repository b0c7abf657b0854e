package checker

import "sparnotch/internal/eventloop"

// checkAcceptedJobEnds: a job that was accepted is shown as ended before the close.
func (a *analysis) checkAcceptedJobEnds(job *jobRecord) {
	if job.isAccepted && !job.isTerminal {
		a.report(ruleJobsKept, a.closedAt, "%s was accepted at %d and had not ended at the close", job.key, job.acceptedAt)
	}
}

// checkAcceptedJobIsKnown: no status or cancel request that was sent after the acceptance
// is answered 404, until the retention is over.
func (a *analysis) checkAcceptedJobIsKnown(job *jobRecord) {
	// The retention counts from the last task's end, which may be before anybody asked.
	forgettableAt := job.lastEnd() + a.bounds.Retention
	for _, status := range job.statuses {
		isRetained := !job.isTerminal || status.At < forgettableAt
		if status.Code == 404 && status.Kind != SubmitReply && job.isAccepted && status.sentAt() > job.acceptedAt && isRetained {
			a.report(ruleJobsKept, status.At, "%s was accepted at %d and is unknown to %s", job.key, job.acceptedAt, status.Gateway)
			return
		}
	}
}

// stateRanks order the states that a job passes through before it has ended.
var stateRanks = map[string]int{"timed": 1, "running": 2, "stopping": 3}

// checkStateNeverOlder: a job is never shown in an older state than one that was shown
// before the request was sent, by whichever node, also while no quorum is there.
// checkTerminalStatusStays has that for ended ones.
func (a *analysis) checkStateNeverOlder(job *jobRecord) {
	for k, shown := range job.statuses {
		rank := stateRanks[shown.State]
		if shown.Code >= 300 || rank == 0 {
			continue
		}
		for _, earlier := range job.statuses[:k] {
			if earlier.Code < 300 && earlier.At < shown.sentAt() && stateRanks[earlier.State] > rank {
				a.report(ruleStatus, shown.At, "%s was shown %s at %d and is shown %s by %s", job.key, earlier.State, earlier.At, shown.State, shown.Gateway)
				return
			}
		}
	}
}

// checkCreatedOnce: within the retention a name is created once; a second creation shows
// that the first one was forgotten.
func (a *analysis) checkCreatedOnce(job *jobRecord) {
	if job.created > 1 && a.closedAt < job.lastEnd()+a.bounds.Retention {
		a.report(ruleJobsKept, a.closedAt, "%s was created %d times", job.key, job.created)
	}
}

// checkOneJobPerName: however often a job is submitted, it runs as one job.
func (a *analysis) checkOneJobPerName(job *jobRecord) {
	if len(job.jobIDs) > 1 {
		a.report(ruleRunsOnce, job.acceptedAt, "%s ran as %d jobs", job.key, len(job.jobIDs))
	}
}

// checkRunWasRequested: nothing runs that nobody submitted, or whose every submission was
// refused.
func (a *analysis) checkRunWasRequested(job *jobRecord) {
	ids := job.tasks()
	if len(ids) == 0 {
		return
	}
	first := job.runs[ids[0]][0].start
	if job.submissions == 0 && job.isCalled {
		a.report(ruleRequested, first, "%s runs though nobody submitted it", job.key)
	}
	if job.submissions > 0 && job.rejections == job.submissions {
		a.report(ruleRequested, first, "%s ran though every submission was rejected", job.key)
	}
}

// checkTerminalStatus: a job's shown state is true, by whatever answer it is shown.
func (a *analysis) checkTerminalStatus(job *jobRecord) {
	if a.checkTerminalStatusStays(job) {
		a.checkCompleteIsTrue(job)
	}
}

// checkTerminalStatusStays: a job that was shown as ended stays as it ended. It reports
// whether that holds.
func (a *analysis) checkTerminalStatusStays(job *jobRecord) bool {
	for _, status := range job.statuses {
		if status.Code >= 300 || !isTerminal(status.State) {
			continue
		}
		for _, later := range job.statuses {
			if later.Code < 300 && later.State != "" && later.sentAt() > status.At && later.State != status.State {
				a.report(ruleStatus, later.At, "%s was shown %s at %d and is shown %s", job.key, status.State, status.At, later.State)
				return false
			}
		}
		return true
	}
	return true
}

// checkCompleteIsTrue: a job is shown complete only when every task is done and none runs.
func (a *analysis) checkCompleteIsTrue(job *jobRecord) {
	for _, status := range job.statuses {
		if status.Code >= 300 || status.State != stateComplete {
			continue
		}
		for k := range job.stepCount() {
			for t := uint32(0); t < job.step(uint32(k)).Tasks; t++ {
				a.checkCompleteTask(job, status.At, uint32(k), t)
			}
		}
		return
	}
}

// checkCompleteTask checks one task of a job that is shown complete.
func (a *analysis) checkCompleteTask(job *jobRecord, shownAt eventloop.Micros, number, task uint32) {
	endsAsGang := job.endsAsGang(job.step(number))
	isDone := false
	for jobID := range job.jobIDs {
		id := taskID{job.key, jobID, number, task}
		isDone = isDone || job.isDoneBy(id, shownAt)
		for _, run := range job.runs[id] {
			if !run.isResumed && !endsAsGang && run.isRunningAt(shownAt) {
				a.report(ruleStatus, shownAt, "%s is shown complete, step %d task %d runs", job.key, number, task)
			}
		}
	}
	if !isDone {
		a.report(ruleStatus, shownAt, "%s is shown complete, step %d task %d isn't done", job.key, number, task)
	}
}
