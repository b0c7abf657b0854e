package checker

// The rules on jobs and tasks.

import (
	"fmt"
	"sort"

	"sparnotch/internal/eventloop"
)

func (a *analysis) checkJob(job *jobRecord, closedAt eventloop.Micros) {
	name := job.key.queue + "/" + job.key.name
	// 1: accepted, so it ends; and until well after its end it is known.
	if job.isAccepted && !job.isTerminal {
		a.report(1, closedAt, "%s was accepted at %d and had not ended at the close", name, job.acceptedAt)
	}
	// The end counts from when the last of it was seen to end, which may be
	// before anybody asked.
	endAt := job.lastEnd()
	for _, status := range job.statuses {
		isKept := !job.isTerminal || status.At < endAt+a.bounds.Retention
		if status.Code == 404 && status.Kind != SubmitReply && job.isAccepted && status.sentAt() > job.acceptedAt && isKept {
			a.report(1, status.At, "%s was accepted at %d and is unknown to %s", name, job.acceptedAt, status.Gateway)
			break
		}
	}
	// A job that is made a second time was forgotten in between.
	if job.created > 1 && closedAt < endAt+a.bounds.Retention {
		a.report(1, closedAt, "%s was made %d times", name, job.created)
	}
	// 2: one name, one job; one task, one stint at a time.
	if len(job.jobIDs) > 1 {
		a.report(2, job.acceptedAt, "%s ran as %d jobs", name, len(job.jobIDs))
	}
	ids := make([]taskID, 0, len(job.runs))
	for id := range job.runs {
		ids = append(ids, id)
	}
	sortTaskIDs(ids)
	for _, id := range ids {
		a.checkTask(job, id, job.runs[id], closedAt)
	}
	// 3: nothing runs that nobody asked for, or that was only ever turned away.
	if len(ids) > 0 && job.submissions == 0 && job.isCalled {
		a.report(3, job.runs[ids[0]][0].start, "%s runs though nobody handed it in", name)
	}
	if len(ids) > 0 && job.submissions > 0 && job.rejections == job.submissions {
		a.report(3, job.runs[ids[0]][0].start, "%s ran though every hand-in was turned away", name)
	}
	if job.spec == nil {
		return
	}
	a.checkOrder(job, name, ids)
	a.checkCompletion(job, name)
	a.checkGangs(job, name, closedAt)
	if job.isCalled {
		a.checkCalledJob(job, name, ids)
	}
}

// lastEnd is when the job's last task ended, as far as it was seen; without any,
// when somebody was first told that it is over.
func (r *jobRecord) lastEnd() eventloop.Micros {
	last := eventloop.Micros(0)
	for _, list := range r.runs {
		for _, run := range list {
			if run.end > last && run.end <= r.terminalAt {
				last = run.end
			}
		}
	}
	if last == 0 {
		return r.terminalAt
	}
	return last
}

// isRecovering tells whether a fault, or trouble of the worker, lies so near that
// what is asked of the system may take a whole recovery.
func (a *analysis) isRecovering(worker string, from, to eventloop.Micros) bool {
	for _, list := range [][]eventloop.Micros{a.faults, a.workerFaults[worker]} {
		for _, at := range list {
			if at > from-a.bounds.Recovery && at < to {
				return true
			}
		}
	}
	return false
}

func (a *analysis) checkTask(job *jobRecord, id taskID, runs []*taskRun, closedAt eventloop.Micros) {
	what := fmt.Sprintf("%s/%s step %d task %d", id.queue, id.name, id.step, id.task)
	sort.SliceStable(runs, func(x, y int) bool { return runs[x].start < runs[y].start })
	failures := uint32(0)
	allowed := ^uint32(0)
	if step := job.step(id.step); step != nil && !step.RunUntilCancelled {
		allowed = step.AllowedFailures
	}
	for k, run := range runs {
		for _, other := range runs[:k] {
			if run.end == run.start && run.isResumed {
				continue
			}
			if other.end == 0 || other.end > run.start {
				a.report(2, run.start, "%s runs on %s while it runs on %s since %d", what, run.worker, other.worker, other.start)
			}
		}
		// 5: `failures` are those known before this stint began. What a worker
		// that is cut off hasn't been able to tell, nobody can count; from the
		// answer to its word on it counts.
		failures = 0
		for _, other := range runs[:k] {
			if job.isCalled {
				break
			}
			if other.outcome == "failed" && other.failureReportedAt > 0 && other.failureReportedAt <= run.start {
				failures++
			}
		}
		if failures > allowed && !run.isResumed {
			a.report(5, run.start, "%s runs again after %d failures, %d were allowed", what, failures, allowed)
		}
		// 8: nothing starts long after a cancel, nor runs on when told to stop.
		if job.cancelledAt > 0 && run.start > job.cancelledAt+a.bounds.Cancel && !run.isResumed && !run.isLate {
			a.report(8, run.start, "%s starts %d us after its job was cancelled", what, run.start-job.cancelledAt)
		}
		// What runs when the cancel is confirmed is told so, in the same span.
		if job.cancelledAt > 0 && !run.isLate && run.start <= job.cancelledAt && (run.end == 0 || run.end > job.cancelledAt) && !run.isResumed {
			until := job.cancelledAt + a.bounds.Cancel + a.bounds.Stop
			if a.isRecovering(run.worker, job.cancelledAt, until) {
				until += a.bounds.Recovery
			}
			if run.end > until || run.end == 0 && until < closedAt {
				a.report(8, run.start, "%s runs on %d us after its job was cancelled", what, max(run.end, until)-job.cancelledAt)
			}
		}
		if run.stopOrderedAt > 0 && (run.end == 0 || run.end > run.stopOrderedAt+a.bounds.Stop) {
			a.report(8, run.stopOrderedAt, "%s runs on after it was told to stop", what)
		}
	}
}

// checkOrder: 4, steps after their dependencies, timed jobs after their time.
func (a *analysis) checkOrder(job *jobRecord, name string, ids []taskID) {
	index := map[string]int{}
	for k, step := range job.spec.Steps {
		index[step.Name] = k
	}
	for _, id := range ids {
		step := job.step(id.step)
		if step == nil {
			continue
		}
		round := int(id.step) / len(job.spec.Steps)
		for _, run := range job.runs[id] {
			due := job.firstSubmittedAt + eventloop.Micros(job.spec.DelayUs+int64(round)*job.spec.PeriodUs)
			if due > job.firstSubmittedAt && job.spec.StartUnixUs == 0 && run.start < due-a.bounds.EarlyStart {
				a.report(4, run.start, "%s starts round %d %d us early", name, round, due-run.start)
			}
			moment := job.spec.StartUnixUs + int64(round)*job.spec.PeriodUs
			if wall, known := a.wallAt(run.start); job.spec.StartUnixUs > 0 && known && wall < moment-int64(a.bounds.EarlyStart) {
				a.report(4, run.start, "%s starts round %d %d us before its moment", name, round, moment-wall)
			}
			for _, dependency := range step.Dependencies {
				d := index[dependency]
				for t := uint32(0); t < job.spec.Steps[d].Tasks; t++ {
					if !job.isDoneBy(taskID{job.key, id.job, uint32(round*len(job.spec.Steps) + d), t}, run.start) {
						a.report(4, run.start, "%s step %d starts before task %d of step %q is done", name, id.step, t, dependency)
					}
				}
			}
		}
	}
}

// wallAt is what a right clock showed at a moment.
func (a *analysis) wallAt(at eventloop.Micros) (int64, bool) {
	if len(a.clockReadings) == 0 {
		return 0, false
	}
	return a.clockReadings[0].WallTime + int64(at-a.clockReadings[0].At), true
}

func (r *jobRecord) isDoneBy(id taskID, at eventloop.Micros) bool {
	if step := r.step(id.step); step != nil && r.endsAsGang(step) {
		for t := uint32(0); t < step.Tasks; t++ {
			id.task = t
			if r.isTaskDoneBy(id, at) {
				return true
			}
		}
		return false
	}
	return r.isTaskDoneBy(id, at)
}

func (r *jobRecord) isTaskDoneBy(id taskID, at eventloop.Micros) bool {
	for _, run := range r.runs[id] {
		if run.outcome == "done" && run.end <= at {
			return true
		}
	}
	return false
}

// checkCompletion: 9, shown complete only when every task is done and none runs,
// by whatever answer shows it; and what is over stays as it ended.
func (a *analysis) checkCompletion(job *jobRecord, name string) {
	for _, status := range job.statuses {
		if status.Code >= 300 || !isTerminal(status.State) {
			continue
		}
		for _, later := range job.statuses {
			if later.Code < 300 && later.State != "" && later.sentAt() > status.At && later.State != status.State {
				a.report(9, later.At, "%s was shown %s at %d and is shown %s", name, status.State, status.At, later.State)
				return
			}
		}
		break
	}
	for _, status := range job.statuses {
		if status.Code >= 300 || status.State != "complete" {
			continue
		}
		for k := range job.stepCount() {
			step := job.step(uint32(k))
			for t := uint32(0); t < step.Tasks; t++ {
				isDone := false
				for id := range job.jobIDs {
					task := taskID{job.key, id, uint32(k), t}
					isDone = isDone || job.isDoneBy(task, status.At)
					for _, run := range job.runs[task] {
						if !run.isResumed && !job.endsAsGang(step) && (run.end == 0 || run.end > status.At) {
							a.report(9, status.At, "%s is shown complete, step %d task %d runs", name, k, t)
						}
					}
				}
				if !isDone {
					a.report(9, status.At, "%s is shown complete, step %d task %d isn't done", name, k, t)
				}
			}
		}
		return
	}
}
