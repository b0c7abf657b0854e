package checker

// The rules on tasks that run together.

import (
	"sparnotch/internal/eventloop"
)

// checkGangs: 10, whoever begins sees all the others begin.
func (a *analysis) checkGangs(job *jobRecord, name string, closedAt eventloop.Micros) {
	for k := range job.stepCount() {
		step := job.step(uint32(k))
		if !step.Gang || step.Tasks < 2 || job.isCalled {
			continue
		}
		for id := range job.jobIDs {
			for t := uint32(0); t < step.Tasks; t++ {
				for _, run := range job.runs[taskID{job.key, id, uint32(k), t}] {
					if run.start+a.bounds.GangStart > closedAt || run.isResumed {
						continue
					}
					for other := uint32(0); other < step.Tasks; other++ {
						id := taskID{job.key, id, uint32(k), other}
						if job.hasRunNear(id, run.start, a.bounds.GangStart) {
							continue
						}
						if !a.isUnavoidable(job, run, job.reservations[id]) {
							a.report(10, run.start, "%s step %d: task %d begins and task %d doesn't", name, k, t, other)
						} else if until := run.start + a.bounds.Recovery; run.end > until || run.end == 0 && until < closedAt {
							a.report(10, run.start, "%s step %d: task %d runs on though task %d never began", name, k, t, other)
						}
					}
				}
			}
		}
	}
}

// isUnavoidable tells whether no scheduler could have kept the group whole:
// the worker that held the other member was lost in the moment between the
// last word of it and its start, the job was being cancelled, or the member
// that did begin had failed by itself before the other's order could arrive.
func (a *analysis) isUnavoidable(job *jobRecord, run *taskRun, holds []Event) bool {
	if job.cancelRequestedAt > 0 && job.cancelRequestedAt < run.start+a.bounds.GangStart {
		return true
	}
	if run.outcome == "failed" && run.end < run.start+100*eventloop.Millisecond {
		return true
	}
	for k := len(holds) - 1; k >= 0; k-- {
		if holds[k].At > run.start {
			continue
		}
		for _, at := range a.workerFaults[holds[k].Actor] {
			if at > run.start-a.bounds.LossDetection && at < run.start+a.bounds.LossDetection {
				return true
			}
		}
		return false
	}
	return false
}

func (r *jobRecord) hasRunNear(id taskID, at, span eventloop.Micros) bool {
	for _, run := range r.runs[id] {
		if run.start > at-span && run.start < at+span {
			return true
		}
	}
	return false
}
