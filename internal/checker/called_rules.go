package checker

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// checkCalledJob checks what holds of a job on called workers beyond the other rules: such
// workers name tasks by their job, list each end until it is acknowledged, and have the
// members of a gang wait for each other.
func (a *analysis) checkCalledJob(job *jobRecord) {
	for _, id := range job.tasks() {
		step := job.step(id.step)
		if step == nil || id.task >= step.Tasks {
			a.report(ruleRequested, job.runs[id][0].start, "%s runs, which the job doesn't have", id.describe())
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

// checkStartContent: a task starts with the text that was submitted, and from a checkpoint
// of its own.
func (a *analysis) checkStartContent(job *jobRecord, id taskID, step *schema.Step, run *taskRun) {
	if run.text != job.spec.Text {
		a.report(ruleRequested, run.start, "%s starts with the text %q", id.describe(), run.text)
	}
	if run.checkpoint != "" && !job.hasCheckpoint(id, step, run.checkpoint, run.start) {
		a.report(ruleRequested, run.start, "%s starts from %q, which isn't its checkpoint", id.describe(), run.checkpoint)
	}
}

// hasCheckpoint reports whether a checkpoint was left by a run of the task, or of its gang.
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

// endingWith lists the tasks whose ends count for a task: itself, or all of its gang.
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

// checkGangCheckpoint: all members of a gang start an attempt from the same checkpoint.
func (a *analysis) checkGangCheckpoint(job *jobRecord, id taskID, run *taskRun) {
	for t := uint32(0); t < id.task; t++ {
		for _, peer := range job.runs[id.member(t)] {
			if peer.attempt == run.attempt && peer.checkpoint != run.checkpoint {
				a.report(ruleRequested, run.start, "%s step %d: tasks %d and %d start from different checkpoints in attempt %d", job.key, id.step, t, id.task, run.attempt)
			}
		}
	}
}

// checkNoStartAfterEnd: a task doesn't start again after it was done, nor after its last
// allowed failure. An end counts if it was acknowledged, even if only later; the members
// of a gang fail together, once an attempt.
func (a *analysis) checkNoStartAfterEnd(job *jobRecord, id taskID, step *schema.Step, run *taskRun) {
	failedAttempts := map[uint32]bool{}
	for _, member := range job.endingWith(id, step) {
		for _, other := range job.runs[member] {
			// The members of one attempt are acknowledged one by one.
			if other.acknowledgedAt == 0 || other.end > run.start || other.attempt == run.attempt {
				continue
			}
			switch other.outcome {
			case outcomeDone:
				a.report(ruleRunsOnce, run.start, "%s starts after task %d was done at %d, acknowledged at %d", id.describe(), member.task, other.end, other.acknowledgedAt)
			case outcomeFailed:
				failedAttempts[other.attempt] = true
			}
		}
	}
	if len(failedAttempts) > int(step.AllowedFailures) {
		a.report(ruleFailures, run.start, "%s starts after %d failures, %d were allowed", id.describe(), len(failedAttempts), step.AllowedFailures)
	}
}

// checkNoLoneMember: away from faults and cancels no member of a gang ends because its
// peers never started.
func (a *analysis) checkNoLoneMember(job *jobRecord, id taskID, run *taskRun) {
	wasCancelled := job.cancelRequestedAt > 0 && job.cancelRequestedAt <= run.end
	if run.outcome == outcomeAlone && !wasCancelled && !a.isDisturbed(run.start, run.end) {
		a.report(ruleGangs, run.end, "%s ends alone on %s, and no fault is near", id.describe(), run.worker)
	}
}

// checkTerminalStatusHasCause: a job is shown cancelled only after somebody asked for that,
// and failed only after a task failed more often than allowed.
func (a *analysis) checkTerminalStatusHasCause(job *jobRecord) {
	for _, status := range job.statuses {
		switch {
		case status.Code >= 300:
		case status.State == stateCancelled && (job.cancelRequestedAt == 0 || job.cancelRequestedAt > status.At):
			a.report(ruleJobsKept, status.At, "%s is shown cancelled, and nobody asked for that", job.key)
			return
		case status.State == stateFailed && !job.hasExhaustedFailures(status.At):
			a.report(ruleJobsKept, status.At, "%s is shown failed, and no task failed more often than allowed", job.key)
			return
		}
	}
}

// hasExhaustedFailures reports whether by a moment any task, or gang, had failed more
// often than its step allows.
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
