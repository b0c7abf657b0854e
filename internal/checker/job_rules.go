package checker

import "sparnotch/internal/eventloop"

// checkAcceptedJobEnds checks that an accepted job is reported as ended before the end of the
// history.
func (a *analysis) checkAcceptedJobEnds(job *jobRecord) {
	if job.isAccepted && !job.isTerminal {
		a.report(ruleJobsKept, a.closedAt, "%s was accepted at %d and had not ended at the end of the history", job.key, job.acceptedAt)
	}
}

// checkAcceptedJobIsKnown checks that no status or cancel request that was sent after the job
// was accepted is answered 404 until the job's retention time is over.
func (a *analysis) checkAcceptedJobIsKnown(job *jobRecord) {
	// The retention time starts at the end of the last task, which may be long before a client
	// learns of it.
	forgettableAt := job.lastEnd() + a.tolerances.Retention
	for _, status := range job.statuses {
		isRetained := !job.isTerminal || status.At < forgettableAt
		if status.Code == 404 && status.Kind != SubmitReply && job.isAccepted && status.sentAt() > job.acceptedAt && isRetained {
			a.report(ruleJobsKept, status.At, "%s was accepted at %d, but %s answers that it doesn't exist", job.key, job.acceptedAt, status.Gateway)
			return
		}
	}
}

// stateRanks orders the states that a job passes through before it ends.
var stateRanks = map[string]int{"timed": 1, "running": 2, "stopping": 3}

// checkStateNeverOlder checks that no answer reports an older state of the job than one that
// any node had reported before the request was sent. This applies without a quorum as well.
// checkTerminalStatusStays checks the same for ended jobs.
func (a *analysis) checkStateNeverOlder(job *jobRecord) {
	for k, shown := range job.statuses {
		rank := stateRanks[shown.State]
		if shown.Code >= 300 || rank == 0 {
			continue
		}
		for _, earlier := range job.statuses[:k] {
			if earlier.Code < 300 && earlier.At < shown.sentAt() && stateRanks[earlier.State] > rank {
				a.report(ruleStatus, shown.At, "%s was reported as %s at %d, but is reported as %s by %s afterwards", job.key, earlier.State, earlier.At, shown.State, shown.Gateway)
				return
			}
		}
	}
}

// checkCreatedOnce checks that a name is created only once within the retention time. A second
// creation proves that the first job was forgotten.
func (a *analysis) checkCreatedOnce(job *jobRecord) {
	if job.created > 1 && a.closedAt < job.lastEnd()+a.tolerances.Retention {
		a.report(ruleJobsKept, a.closedAt, "%s was created %d times", job.key, job.created)
	}
}

// checkOneJobPerName checks that a job runs as one job, however often it is submitted.
func (a *analysis) checkOneJobPerName(job *jobRecord) {
	if len(job.jobIDs) > 1 {
		a.report(ruleRunsOnce, job.acceptedAt, "%s ran as %d jobs", job.key, len(job.jobIDs))
	}
}

// checkRunWasRequested checks that no job runs that no client submitted, or whose submissions
// were all refused.
func (a *analysis) checkRunWasRequested(job *jobRecord) {
	ids := job.tasks()
	if len(ids) == 0 {
		return
	}
	first := job.runs[ids[0]][0].start
	if job.submissions == 0 && job.isCalled {
		a.report(ruleRequested, first, "%s runs although no client submitted it", job.key)
	}
	if job.submissions > 0 && job.rejections == job.submissions {
		a.report(ruleRequested, first, "%s ran although every submission was rejected", job.key)
	}
}

// checkTerminalStatus checks that the reported end of a job is correct, whichever kind of
// request the answer belongs to.
func (a *analysis) checkTerminalStatus(job *jobRecord) {
	if a.checkTerminalStatusStays(job) {
		a.checkCompleteIsTrue(job)
	}
}

// checkTerminalStatusStays checks that a job that was reported as ended never changes its
// state again. It returns false if it has reported a violation.
func (a *analysis) checkTerminalStatusStays(job *jobRecord) bool {
	for _, status := range job.statuses {
		if status.Code >= 300 || !isTerminal(status.State) {
			continue
		}
		for _, later := range job.statuses {
			if later.Code < 300 && later.State != "" && later.sentAt() > status.At && later.State != status.State {
				a.report(ruleStatus, later.At, "%s was reported as %s at %d, but is reported as %s afterwards", job.key, status.State, status.At, later.State)
				return false
			}
		}
		return true
	}
	return true
}

// checkCompleteIsTrue checks that a job is reported as complete only when every task has
// completed and none is running.
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

// checkCompleteTask checks one task of a job that is reported as complete.
func (a *analysis) checkCompleteTask(job *jobRecord, shownAt eventloop.Micros, number, task uint32) {
	endsAsGang := job.endsAsGang(job.step(number))
	isDone := false
	for jobID := range job.jobIDs {
		id := taskID{job.key, jobID, number, task}
		isDone = isDone || job.isDoneBy(id, shownAt)
		for _, run := range job.runs[id] {
			if !run.isResumed && !endsAsGang && run.isRunningAt(shownAt) {
				a.report(ruleStatus, shownAt, "%s is reported as complete, but step %d task %d is running", job.key, number, task)
			}
		}
	}
	if !isDone {
		a.report(ruleStatus, shownAt, "%s is reported as complete, but step %d task %d hasn't completed", job.key, number, task)
	}
}
