package checker

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// checkCalledJob checks the additional rules for a job on called workers. Such workers name
// a task by its job's name, list each end until it is acknowledged, and let the members of a
// gang wait for each other.
func (a *analysis) checkCalledJob(job *jobRecord) {
	for _, id := range job.tasks() {
		step := job.step(id.step)
		if step == nil || id.task >= step.Tasks {
			a.report(ruleRequested, job.runs[id][0].start, "%s runs, but the job has no such task", id.describe())
			continue
		}
		for _, run := range job.runs[id] {
			a.checkStartContent(job, id, step, run)
			if step.Gang {
				a.checkGangCheckpoint(job, id, run)
			}
			if !step.RunUntilCancelled {
				a.checkNoStartAfterEnd(job, id, step, run)
			}
			a.checkNoLoneMember(job, id, run)
		}
	}
	a.checkTerminalStatusHasCause(job)
}

// checkStartContent checks that a task starts with the text that was submitted, and either
// without a checkpoint or from one that the task or its gang left.
func (a *analysis) checkStartContent(job *jobRecord, id taskID, step *schema.Step, run *taskRun) {
	if run.text != job.spec.Text {
		a.report(ruleRequested, run.start, "%s starts with the text %q instead of the submitted one", id.describe(), run.text)
	}
	if run.checkpoint != "" && !job.hasCheckpoint(id, step, run.checkpoint, run.start) {
		a.report(ruleRequested, run.start, "%s starts from the checkpoint %q, which neither it nor its gang left", id.describe(), run.checkpoint)
	}
}

// hasCheckpoint reports whether a run of the task, or of its gang if that ends as a whole,
// had left this checkpoint by the given time.
func (r *jobRecord) hasCheckpoint(id taskID, step *schema.Step, checkpoint string, at eventloop.Micros) bool {
	for _, member := range r.endingWith(id, step) {
		for _, e := range r.checkpoints[member] {
			if e.Checkpoint == checkpoint && e.At <= at {
				return true
			}
		}
	}
	return false
}

// endingWith returns the tasks whose ends count as ends of this task: the task itself, or
// all members of its gang if that ends as a whole.
func (r *jobRecord) endingWith(id taskID, step *schema.Step) []taskID {
	if !r.endsAsGang(step) {
		return []taskID{id}
	}
	var members []taskID
	for t := uint32(0); t < step.Tasks; t++ {
		members = append(members, id.member(t))
	}
	return members
}

// checkGangCheckpoint checks that all members of a gang start the same attempt from the same
// checkpoint.
func (a *analysis) checkGangCheckpoint(job *jobRecord, id taskID, run *taskRun) {
	for t := uint32(0); t < id.task; t++ {
		for _, peer := range job.runs[id.member(t)] {
			if peer.attempt == run.attempt && peer.checkpoint != run.checkpoint {
				a.report(ruleRequested, run.start, "%s step %d: tasks %d and %d start from different checkpoints in attempt %d", job.key, id.step, t, id.task, run.attempt)
			}
		}
	}
}

// checkNoStartAfterEnd checks that a task doesn't start again after it completed, nor after
// its last allowed failure. An end counts only if it was acknowledged, before the start or
// after it. All failures in one attempt of a gang count as one.
func (a *analysis) checkNoStartAfterEnd(job *jobRecord, id taskID, step *schema.Step, run *taskRun) {
	failedAttempts := map[uint32]bool{}
	for _, member := range job.endingWith(id, step) {
		for _, other := range job.runs[member] {
			// Skip the same attempt: the ends of its members are acknowledged one by one.
			if other.acknowledgedAt == 0 || other.end > run.start || other.attempt == run.attempt {
				continue
			}
			switch other.outcome {
			case outcomeDone:
				a.report(ruleRunsOnce, run.start, "%s starts after task %d completed at %d (acknowledged at %d)", id.describe(), member.task, other.end, other.acknowledgedAt)
			case outcomeFailed:
				failedAttempts[other.attempt] = true
			}
		}
	}
	if len(failedAttempts) > int(step.AllowedFailures) {
		a.report(ruleFailures, run.start, "%s starts after %d failures, but only %d are allowed", id.describe(), len(failedAttempts), step.AllowedFailures)
	}
}

// checkNoLoneMember checks that no member of a gang ends because another member never
// started, unless the job was being cancelled or a fault occurred during the run or shortly
// before it.
func (a *analysis) checkNoLoneMember(job *jobRecord, id taskID, run *taskRun) {
	wasCancelled := job.cancelRequestedAt > 0 && job.cancelRequestedAt <= run.end
	if run.outcome == outcomeAlone && !wasCancelled && !a.isDisturbed(run.start, run.end) {
		a.report(ruleGangs, run.end, "%s ends on %s because another member of its gang never started, and no fault occurred during the run or shortly before it", id.describe(), run.worker)
	}
}

// checkTerminalStatusHasCause checks that a job is reported as cancelled only after a client
// asked to cancel it, and as failed only after a task failed more often than allowed.
func (a *analysis) checkTerminalStatusHasCause(job *jobRecord) {
	for _, status := range job.statuses {
		switch {
		case status.Code >= 300:
		case status.State == stateCancelled && (job.cancelRequestedAt == 0 || job.cancelRequestedAt > status.At):
			a.report(ruleJobsKept, status.At, "%s is reported as cancelled, but no client asked to cancel it", job.key)
			return
		case status.State == stateFailed && !job.hasExhaustedFailures(status.At):
			a.report(ruleJobsKept, status.At, "%s is reported as failed, but no task failed more often than allowed", job.key)
			return
		}
	}
}

// hasExhaustedFailures reports whether any task or gang of the job had failed more often
// than its step allows by the given time.
func (r *jobRecord) hasExhaustedFailures(at eventloop.Micros) bool {
	failedAttempts := map[taskID]map[uint32]bool{}
	for _, id := range r.tasks() {
		step := r.step(id.step)
		if step == nil {
			continue
		}
		key := id
		if r.endsAsGang(step) {
			key = id.member(0)
		}
		if failedAttempts[key] == nil {
			failedAttempts[key] = map[uint32]bool{}
		}
		for _, run := range r.runs[id] {
			if run.outcome == outcomeFailed && run.end <= at {
				failedAttempts[key][run.attempt] = true
			}
		}
		if len(failedAttempts[key]) > int(step.AllowedFailures) {
			return true
		}
	}
	return false
}
