package queue

// Return, stop, cancel, and the end of a job.

import (
	"slices"

	"sparnotch/internal/schema"
)

func (m *Machine) returnTask(c *schema.Return) {
	j, s, t := m.findTask(c.Key)
	if j == nil {
		return
	}
	task := &j.tasks[s][t]
	step := j.step(s)
	isRunning := j.state == schema.JobState_JOB_RUNNING
	if task.state != schema.TaskState_TASK_CHECKED_OUT || task.attempt != c.Attempt {
		// A worker that had been cut off tells late that it had failed. That
		// counts, once, whatever has become of the task meanwhile.
		if k := slices.Index(task.lostAttempts, c.Attempt); k >= 0 && c.Cause == schema.ReturnCause_RETURN_CAUSE_FAILED && isRunning {
			if m.countFailure(j, s, t, c.Attempt); j.state == schema.JobState_JOB_STOPPING {
				m.endIfIdle(j)
			}
		}
		return
	}
	account := j.accountingTask(s, t)
	// The latest text that was told is the best one known; no word of progress
	// doesn't undo what was kept before.
	if step.Checkpoints && c.Checkpoint != "" && len(c.Checkpoint) <= maxProgressBytes {
		account.progress = c.Checkpoint
	}
	if c.Cause == schema.ReturnCause_RETURN_CAUSE_WORKER_LOST && !step.RunUntilCancelled && account.failedAttempt != c.Attempt {
		task.lostAttempts = append(task.lostAttempts, task.attempt)
	}
	// Failing counts whatever was asked of the task meanwhile; being stopped
	// counts only for whom the stop was meant. What lasts begins again however
	// it ended, so nothing of it counts.
	switch {
	case step.RunUntilCancelled || !isRunning:
	case c.Cause == schema.ReturnCause_RETURN_CAUSE_FAILED:
		m.countFailure(j, s, t, c.Attempt)
	case !task.isGangStopping:
		task.returns++
		if task.returns > m.settings.MaxRequeues {
			m.stopJob(j, schema.JobState_JOB_FAILED, "step "+step.Name+": a task was taken back too often")
		}
	}
	if step.Gang && j.state == schema.JobState_JOB_RUNNING && !task.isGangStopping {
		m.stopGang(j, s)
	}
	m.makeWaiting(j, s, t)
}

// countFailure counts a failure; one too many ends the job, whatever came of the task
// since. A task that has been done stays done. However many members of a group
// fail in one attempt, the group has failed once.
func (m *Machine) countFailure(j *job, s, t int, attempt uint32) {
	step, account := j.step(s), j.accountingTask(s, t)
	members, isFinished := j.tasks[s][t:t+1], j.tasks[s][t].state == schema.TaskState_TASK_DONE
	if step.Gang {
		members, isFinished = j.tasks[s], j.unfinishedTasks[s] == 0
	}
	if account.failedAttempt == attempt {
		return
	}
	for k := range members {
		if index := slices.Index(members[k].lostAttempts, attempt); index >= 0 {
			members[k].lostAttempts = slices.Delete(members[k].lostAttempts, index, index+1)
		}
	}
	account.failedAttempt = max(account.failedAttempt, attempt)
	account.failures++
	j.failures[s]++
	if account.failures > step.AllowedFailures && !isFinished {
		m.stopJob(j, schema.JobState_JOB_FAILED, "step "+step.Name+": a task used up its allowed failures")
	}
}

// stopGang stops the other members: none is retried until all have stopped.
func (m *Machine) stopGang(j *job, s int) {
	for t := range j.tasks[s] {
		task := &j.tasks[s][t]
		switch task.state {
		case schema.TaskState_TASK_CHECKED_OUT:
			task.isGangStopping = true
			m.emitEvent(j, s, t)
		case schema.TaskState_TASK_DONE:
			// Members run together or not at all, so those that were done run
			// again with the rest.
			task.state, task.isGangStarted = schema.TaskState_TASK_WAITING, false
			j.unfinishedTasks[s]++
		}
	}
}

func (m *Machine) makeWaiting(j *job, s, t int) {
	j.tasks[s][t].reset()
	m.countCheckedIn(j, s)
	m.emitEvent(j, s, t)
	if j.state == schema.JobState_JOB_STOPPING {
		m.endIfIdle(j)
		return
	}
	if j.step(s).Gang && j.checkedOutTasks[s] == 0 {
		m.emitStepEvents(j, s)
	}
}

// stopJob ends a job as soon as none of its tasks runs.
func (m *Machine) stopJob(j *job, verdict schema.JobState, why string) {
	if j.openedRounds < j.rounds() {
		m.byStart.Delete(j)
	}
	j.state, j.finalState, j.reason = schema.JobState_JOB_STOPPING, verdict, why
	for s := range j.tasks {
		if !j.isStepOpen(s) {
			continue
		}
		for t := range j.tasks[s] {
			if j.tasks[s][t].state != schema.TaskState_TASK_DONE {
				m.emitEvent(j, s, t)
			}
		}
	}
}

func (m *Machine) endIfIdle(j *job) {
	if j.checkedOut == 0 {
		m.endJob(j, j.finalState)
	}
}

func (m *Machine) cancel(name string) {
	if j := m.jobsByName[name]; j != nil {
		switch j.state {
		case schema.JobState_JOB_SCHEDULED:
			m.byStart.Delete(j)
			j.reason = "cancelled before its start"
			m.endJob(j, schema.JobState_JOB_CANCELLED)
		case schema.JobState_JOB_RUNNING:
			m.stopJob(j, schema.JobState_JOB_CANCELLED, "cancelled")
			m.endIfIdle(j)
		}
	}
	m.effects.CancelCode = 404
	if view, found := m.JobView(name); found {
		m.effects.CancelCode, m.effects.CancelView = 200, view
	}
}

func (m *Machine) endJob(j *job, state schema.JobState) {
	ended := &schema.EndedJobSnapshot{Name: j.name, Digest: j.digest, State: state, EndedUs: m.now, Reason: j.reason, Id: j.id}
	for s := range j.unfinishedTasks {
		ended.Tasks += j.step(s).Tasks
		ended.Done += j.step(s).Tasks - uint32(j.unfinishedTasks[s])
	}
	m.byIndex.Delete(j)
	delete(m.jobs, j.id)
	delete(m.jobsByName, j.name)
	m.endedByName[j.name] = ended
	m.endedInOrder = append(m.endedInOrder, ended)
}
