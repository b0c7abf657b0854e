package checker

import "sparnotch/internal/eventloop"

// quickFailure is how soon a member may fail by itself so that the orders of its peers
// can't have arrived before.
const quickFailure = 100 * eventloop.Millisecond

// checkGangStarts: of a gang on polling workers, each member that starts sees all its
// peers start.
func (a *analysis) checkGangStarts(job *jobRecord) {
	for k := range job.stepCount() {
		step := job.step(uint32(k))
		if !step.Gang || step.Tasks < 2 {
			continue
		}
		for jobID := range job.jobIDs {
			for t := uint32(0); t < step.Tasks; t++ {
				id := taskID{job.key, jobID, uint32(k), t}
				for _, run := range job.runs[id] {
					if run.start+a.bounds.GangStart <= a.closedAt && !run.isResumed {
						a.checkPeersStart(job, id, run, step.Tasks)
					}
				}
			}
		}
	}
}

// checkPeersStart checks the start of one member against those of its peers.
func (a *analysis) checkPeersStart(job *jobRecord, id taskID, run *taskRun, tasks uint32) {
	for t := uint32(0); t < tasks; t++ {
		peer := id.member(t)
		if job.hasRunNear(peer, run.start, a.bounds.GangStart) {
			continue
		}
		if !a.isUnavoidable(job, run, job.reservations[peer]) {
			a.report(ruleGangs, run.start, "%s step %d: task %d starts and task %d doesn't", job.key, id.step, id.task, t)
		} else if until := a.recoveryDeadline(run.start); run.end > until || run.end == 0 && until < a.closedAt {
			a.report(ruleGangs, run.start, "%s step %d: task %d runs on though task %d never started", job.key, id.step, id.task, t)
		}
	}
}

// isUnavoidable reports whether no scheduler could have kept the gang complete: the worker
// that held the peer's reservation was lost when that couldn't be known yet, the job was
// being cancelled, or the member that did start failed by itself at once.
func (a *analysis) isUnavoidable(job *jobRecord, run *taskRun, reservations []Event) bool {
	if job.cancelRequestedAt > 0 && job.cancelRequestedAt < run.start+a.bounds.GangStart {
		return true
	}
	if run.outcome == outcomeFailed && run.end < run.start+quickFailure {
		return true
	}
	for k := len(reservations) - 1; k >= 0; k-- {
		if reservations[k].At > run.start {
			continue
		}
		// The last one before the start counts.
		return anyWithin(a.workerFaults[reservations[k].Actor], run.start-a.bounds.LossDetection, run.start+a.bounds.LossDetection-1)
	}
	return false
}

// hasRunNear reports whether a run of the task started less than a distance away.
func (r *jobRecord) hasRunNear(id taskID, at, distance eventloop.Micros) bool {
	for _, run := range r.runs[id] {
		if run.start > at-distance && run.start < at+distance {
			return true
		}
	}
	return false
}
