package checker

import (
	"math"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// checkTask checks the rules that need the runs of a single task only.
func (a *analysis) checkTask(job *jobRecord, id taskID) {
	runs := job.runs[id]
	sort.SliceStable(runs, func(x, y int) bool { return runs[x].start < runs[y].start })
	for k, run := range runs {
		a.checkRunsOnce(id, run, runs[:k])
		if !job.isCalled {
			a.checkAllowedFailures(id, run, runs[:k], job.step(id.step))
		}
		a.checkNoStartAfterCancel(job, id, run)
		a.checkRunningIsCancelled(job, id, run)
		a.checkStopIsObeyed(id, run)
	}
}

// checkRunsOnce checks that no earlier run of the task is still going on when this one starts.
func (a *analysis) checkRunsOnce(id taskID, run *taskRun, earlier []*taskRun) {
	if run.isResumed && run.end == run.start {
		return
	}
	for _, other := range earlier {
		if other.isRunningAt(run.start) {
			a.report(ruleRunsOnce, run.start, "%s starts on %s while it has been running on %s since %d", id.describe(), run.worker, other.worker, other.start)
		}
	}
}

// checkAllowedFailures checks that a task doesn't run again after it failed more often than its
// step allows. A failure counts only from the time its report was answered, because the
// scheduler can't know of a failure that a partitioned worker couldn't report.
func (a *analysis) checkAllowedFailures(id taskID, run *taskRun, earlier []*taskRun, step *schema.Step) {
	if run.isResumed {
		return
	}
	allowed := uint32(math.MaxUint32)
	if step != nil && !step.RunUntilCancelled {
		allowed = step.AllowedFailures
	}
	failures := uint32(0)
	for _, other := range earlier {
		if other.outcome == outcomeFailed && other.failureReportedAt > 0 && other.failureReportedAt <= run.start {
			failures++
		}
	}
	if failures > allowed {
		a.report(ruleFailures, run.start, "%s runs again after %d failures, but only %d are allowed", id.describe(), failures, allowed)
	}
}

// checkNoStartAfterCancel checks that no task starts later than the tolerance after the cancel
// of its job was confirmed.
func (a *analysis) checkNoStartAfterCancel(job *jobRecord, id taskID, run *taskRun) {
	if job.cancelledAt > 0 && run.start > job.cancelledAt+a.tolerances.Cancel && !run.isResumed && !run.isLate {
		a.report(ruleCancel, run.start, "%s starts %d us after its job was cancelled", id.describe(), run.start-job.cancelledAt)
	}
}

// checkRunningIsCancelled checks that a run that is going on when the cancel is confirmed ends
// within the tolerance. Near a fault it may take a recovery time longer.
func (a *analysis) checkRunningIsCancelled(job *jobRecord, id taskID, run *taskRun) {
	wasRunning := run.start <= job.cancelledAt && run.isRunningAt(job.cancelledAt)
	if job.cancelledAt == 0 || !wasRunning || run.isLate || run.isResumed {
		return
	}
	until := job.cancelledAt + a.tolerances.Cancel + a.tolerances.Stop
	if a.isRecovering(run.worker, job.cancelledAt, until) {
		until = a.recoveryDeadline(until)
	}
	if run.end > until || run.end == 0 && until < a.closedAt {
		a.report(ruleCancel, run.start, "%s is still running %d us after its job was cancelled", id.describe(), max(run.end, until)-job.cancelledAt)
	}
}

// checkStopIsObeyed checks that a task ends soon after its worker is ordered to stop it.
func (a *analysis) checkStopIsObeyed(id taskID, run *taskRun) {
	if run.stopOrderedAt > 0 && run.isRunningAt(run.stopOrderedAt+a.tolerances.Stop) {
		a.report(ruleCancel, run.stopOrderedAt, "%s is still running after its worker was ordered to stop it", id.describe())
	}
}

// checkStartTimes checks that the tasks of a round start no earlier than the start time of the
// round, which the job sets as a delay after the submission or as a wall time.
func (a *analysis) checkStartTimes(job *jobRecord) {
	for _, id := range job.tasks() {
		if job.step(id.step) == nil {
			continue
		}
		round := int(id.step) / len(job.spec.Steps)
		for _, run := range job.runs[id] {
			a.checkStartDelay(job, run, round)
			a.checkStartWallTime(job, run, round)
		}
	}
}

func (a *analysis) checkStartDelay(job *jobRecord, run *taskRun, round int) {
	due := job.firstSubmittedAt + eventloop.Micros(job.spec.DelayUs+int64(round)*job.spec.PeriodUs)
	if due > job.firstSubmittedAt && job.spec.StartUnixUs == 0 && run.start < due-a.tolerances.EarlyStart {
		a.report(ruleOrder, run.start, "%s starts round %d %d us early", job.key, round, due-run.start)
	}
}

func (a *analysis) checkStartWallTime(job *jobRecord, run *taskRun, round int) {
	due := job.spec.StartUnixUs + int64(round)*job.spec.PeriodUs
	wall, known := a.wallAt(run.start)
	if job.spec.StartUnixUs > 0 && known && wall < due-int64(a.tolerances.EarlyStart) {
		a.report(ruleOrder, run.start, "%s starts round %d %d us before its start time by the wall clock", job.key, round, due-wall)
	}
}

// checkDependencies checks that no task of a step starts before all tasks of the steps that it
// depends on have completed in the same round.
func (a *analysis) checkDependencies(job *jobRecord) {
	index := job.stepIndexes()
	for _, id := range job.tasks() {
		step := job.step(id.step)
		if step == nil {
			continue
		}
		round := int(id.step) / len(job.spec.Steps)
		for _, run := range job.runs[id] {
			for _, dependency := range step.Dependencies {
				on := index[dependency]
				for t := uint32(0); t < job.spec.Steps[on].Tasks; t++ {
					if !job.isDoneBy(taskID{job.key, id.job, job.stepOfRound(round, on), t}, run.start) {
						a.report(ruleOrder, run.start, "%s step %d starts before task %d of step %q has completed", job.key, id.step, t, dependency)
					}
				}
			}
		}
	}
}
