package checker

import (
	"math"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// checkTask checks the rules that concern the runs of one task.
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

// checkRunsOnce: a task runs only once at a time.
func (a *analysis) checkRunsOnce(id taskID, run *taskRun, earlier []*taskRun) {
	if run.isResumed && run.end == run.start {
		return
	}
	for _, other := range earlier {
		if other.isRunningAt(run.start) {
			a.report(ruleRunsOnce, run.start, "%s runs on %s while it runs on %s since %d", id.describe(), run.worker, other.worker, other.start)
		}
	}
}

// checkAllowedFailures: a task that failed as often as its step allows isn't run again. A
// failure counts from the answer to its report on: what a partitioned worker couldn't
// report, nobody can count.
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
		a.report(ruleFailures, run.start, "%s runs again after %d failures, %d were allowed", id.describe(), failures, allowed)
	}
}

// checkNoStartAfterCancel: no task starts long after its job's cancel was confirmed.
func (a *analysis) checkNoStartAfterCancel(job *jobRecord, id taskID, run *taskRun) {
	if job.cancelledAt > 0 && run.start > job.cancelledAt+a.bounds.Cancel && !run.isResumed && !run.isLate {
		a.report(ruleCancel, run.start, "%s starts %d us after its job was cancelled", id.describe(), run.start-job.cancelledAt)
	}
}

// checkRunningIsCancelled: what runs when the cancel is confirmed is told to stop, and
// stops. Near a fault that may take a recovery longer.
func (a *analysis) checkRunningIsCancelled(job *jobRecord, id taskID, run *taskRun) {
	wasRunning := run.start <= job.cancelledAt && run.isRunningAt(job.cancelledAt)
	if job.cancelledAt == 0 || !wasRunning || run.isLate || run.isResumed {
		return
	}
	until := job.cancelledAt + a.bounds.Cancel + a.bounds.Stop
	if a.isRecovering(run.worker, job.cancelledAt, until) {
		until = a.recoveryDeadline(until)
	}
	if run.end > until || run.end == 0 && until < a.closedAt {
		a.report(ruleCancel, run.start, "%s runs on %d us after its job was cancelled", id.describe(), max(run.end, until)-job.cancelledAt)
	}
}

// checkStopIsObeyed: a task that is told to stop stops.
func (a *analysis) checkStopIsObeyed(id taskID, run *taskRun) {
	if run.stopOrderedAt > 0 && run.isRunningAt(run.stopOrderedAt+a.bounds.Stop) {
		a.report(ruleCancel, run.stopOrderedAt, "%s runs on after it was told to stop", id.describe())
	}
}

// checkStartTimes: the tasks of a round start no earlier than the round's time, which is
// given by a delay from the submission or by the wall clock.
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
	if due > job.firstSubmittedAt && job.spec.StartUnixUs == 0 && run.start < due-a.bounds.EarlyStart {
		a.report(ruleOrder, run.start, "%s starts round %d %d us early", job.key, round, due-run.start)
	}
}

func (a *analysis) checkStartWallTime(job *jobRecord, run *taskRun, round int) {
	due := job.spec.StartUnixUs + int64(round)*job.spec.PeriodUs
	wall, known := a.wallAt(run.start)
	if job.spec.StartUnixUs > 0 && known && wall < due-int64(a.bounds.EarlyStart) {
		a.report(ruleOrder, run.start, "%s starts round %d %d us before its wall time", job.key, round, due-wall)
	}
}

// checkDependencies: a step starts when all tasks that it depends on are done in its round.
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
						a.report(ruleOrder, run.start, "%s step %d starts before task %d of step %q is done", job.key, id.step, t, dependency)
					}
				}
			}
		}
	}
}
