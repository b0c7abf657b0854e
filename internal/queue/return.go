package queue

// Returning tasks that aren't done, and counting failures.

import (
	"slices"

	"sparnotch/internal/schema"
)

// returnTask makes a checked-out task ready again. Failures and returns beyond the
// allowed ones end the job.
func (m *Machine) returnTask(c *schema.Return) {
	j, s, t := m.findTask(c.Key)
	if j == nil {
		return
	}
	task, step := &j.tasks[s][t], j.step(s)
	if task.state != schema.TaskState_TASK_CHECKED_OUT || task.attempt != c.Attempt {
		m.countLateFailure(j, s, t, c)
		return
	}
	isRunning := j.state == schema.JobState_JOB_RUNNING
	account := j.sharedTask(s, t)
	// A report without a checkpoint leaves the one before.
	if step.Checkpoints && c.Checkpoint != "" && len(c.Checkpoint) <= maxCheckpointBytes {
		account.checkpoint = c.Checkpoint
	}
	if c.Cause == schema.ReturnCause_RETURN_CAUSE_WORKER_LOST && !step.RunUntilCancelled && account.failedAttempt != c.Attempt {
		task.lostAttempts = append(task.lostAttempts, task.attempt)
	}
	// A failure counts even if the task was being stopped. Other returns don't count for
	// members that are stopped because of another one, and nothing counts for steps that
	// run until their job is cancelled: they start again however they end.
	switch {
	case step.RunUntilCancelled || !isRunning:
	case c.Cause == schema.ReturnCause_RETURN_CAUSE_FAILED:
		m.countFailure(j, s, t, c.Attempt)
	case !task.isGangStopping:
		task.requeues++
		if task.requeues > m.settings.MaxRequeues {
			m.stopJob(j, schema.JobState_JOB_FAILED, "step "+step.Name+": a task was taken back too often")
		}
	}
	if step.Gang && j.state == schema.JobState_JOB_RUNNING && !task.isGangStopping {
		m.stopGang(j, s)
	}
	m.makeWaiting(j, s, t)
}

// countLateFailure counts the failure of an attempt that was returned as lost: its
// worker was partitioned and reports late. It counts once, whatever the task does now.
func (m *Machine) countLateFailure(j *job, s, t int, c *schema.Return) {
	hasFailed := c.Cause == schema.ReturnCause_RETURN_CAUSE_FAILED && slices.Contains(j.tasks[s][t].lostAttempts, c.Attempt)
	if !hasFailed || j.state != schema.JobState_JOB_RUNNING {
		return
	}
	m.countFailure(j, s, t, c.Attempt)
	if j.state == schema.JobState_JOB_STOPPING {
		m.endIfIdle(j)
	}
}

// countFailure counts a failed attempt. One beyond the allowed failures stops the job,
// unless the task has been done since. A gang fails once an attempt, however many of its
// members fail.
func (m *Machine) countFailure(j *job, s, t int, attempt uint32) {
	step, account := j.step(s), j.sharedTask(s, t)
	members, isFinished := j.tasks[s][t:t+1], j.tasks[s][t].state == schema.TaskState_TASK_DONE
	if step.Gang {
		members, isFinished = j.tasks[s], j.unfinishedTasks[s] == 0
	}
	if account.failedAttempt == attempt {
		return
	}
	for k := range members {
		members[k].removeLostAttempt(attempt)
	}
	account.failedAttempt = max(account.failedAttempt, attempt)
	account.failures++
	j.failures[s]++
	if account.failures > step.AllowedFailures && !isFinished {
		m.stopJob(j, schema.JobState_JOB_FAILED, "step "+step.Name+": a task used up its allowed failures")
	}
}

func (t *task) removeLostAttempt(attempt uint32) {
	if index := slices.Index(t.lostAttempts, attempt); index >= 0 {
		t.lostAttempts = slices.Delete(t.lostAttempts, index, index+1)
	}
}

// stopGang stops the members of a gang; they are ready again when all have stopped.
// Members that were done run again with the others.
func (m *Machine) stopGang(j *job, s int) {
	for t := range j.tasks[s] {
		task := &j.tasks[s][t]
		switch task.state {
		case schema.TaskState_TASK_CHECKED_OUT:
			task.isGangStopping = true
			m.emitEvent(j, s, t)
		case schema.TaskState_TASK_DONE:
			task.state, task.isGangStarted = schema.TaskState_TASK_WAITING, false
			j.unfinishedTasks[s]++
		}
	}
}

// makeWaiting makes a checked-out task wait again.
func (m *Machine) makeWaiting(j *job, s, t int) {
	j.tasks[s][t].reset()
	j.uncountCheckout(s)
	m.emitEvent(j, s, t)
	if j.state == schema.JobState_JOB_STOPPING {
		m.endIfIdle(j)
		return
	}
	if j.step(s).Gang && j.checkedOutTasks[s] == 0 {
		m.emitStepEvents(j, s)
	}
}
