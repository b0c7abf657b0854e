package checker

import "sparnotch/internal/eventloop"

// quickFailure is the run time below which a member that fails has ended before the start
// orders of its peers can have arrived.
const quickFailure = 100 * eventloop.Millisecond

// checkGangStarts checks, for gangs on polling workers, that all other members of a gang
// start whenever one member does.
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
					if run.start+a.tolerances.GangStart <= a.closedAt && !run.isResumed {
						a.checkPeersStart(job, id, run, step.Tasks)
					}
				}
			}
		}
	}
}

// checkPeersStart checks that all members of the gang start near the start of this run. If
// they couldn't, the run must end within the recovery time.
func (a *analysis) checkPeersStart(job *jobRecord, id taskID, run *taskRun, tasks uint32) {
	for t := uint32(0); t < tasks; t++ {
		peer := id.member(t)
		if job.hasRunNear(peer, run.start, a.tolerances.GangStart) {
			continue
		}
		if !a.isUnavoidable(job, run, job.reservations[peer]) {
			a.report(ruleGangs, run.start, "%s step %d: task %d starts, but task %d of the same gang doesn't", job.key, id.step, id.task, t)
		} else if until := a.recoveryDeadline(run.start); run.end > until || run.end == 0 && until < a.closedAt {
			a.report(ruleGangs, run.start, "%s step %d: task %d keeps running although task %d of the same gang never started", job.key, id.step, id.task, t)
		}
	}
}

// isUnavoidable reports whether no scheduler could have prevented that a peer of the run
// doesn't start: the worker with the peer's reservation was lost too late for the scheduler
// to know, the job was being cancelled, or the run itself failed at once.
func (a *analysis) isUnavoidable(job *jobRecord, run *taskRun, reservations []Event) bool {
	if job.cancelRequestedAt > 0 && job.cancelRequestedAt < run.start+a.tolerances.GangStart {
		return true
	}
	if run.outcome == outcomeFailed && run.end < run.start+quickFailure {
		return true
	}
	for k := len(reservations) - 1; k >= 0; k-- {
		if reservations[k].At > run.start {
			continue
		}
		// Only the last reservation before the start counts.
		return anyWithin(a.workerFaults[reservations[k].Actor], run.start-a.tolerances.LossDetection, run.start+a.tolerances.LossDetection-1)
	}
	return false
}

// hasRunNear reports whether a run of the task started less than this distance before or
// after the given time.
func (r *jobRecord) hasRunNear(id taskID, at, distance eventloop.Micros) bool {
	for _, run := range r.runs[id] {
		if run.start > at-distance && run.start < at+distance {
			return true
		}
	}
	return false
}
