package queue

// This file implements the return of tasks that aren't done, and counts their failures.

import (
	"slices"

	"sparnotch/internal/schema"
)

// returnTask makes a checked-out task wait for another checkout. It stops the job if the task
// exceeds its allowed failures or the allowed number of other returns.
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
	shared := j.sharedTask(s, t)
	// A report without a checkpoint keeps the previous checkpoint.
	if step.Checkpoints && c.Checkpoint != "" && len(c.Checkpoint) <= maxCheckpointBytes {
		shared.checkpoint = c.Checkpoint
	}
	if c.Cause == schema.ReturnCause_RETURN_CAUSE_WORKER_LOST && !step.RunUntilCancelled && shared.failedAttempt != c.Attempt {
		task.lostAttempts = append(task.lostAttempts, task.attempt)
	}
	// A failure counts even if the task was being stopped together with its gang. Other
	// returns don't count for members that are stopped because another member ended.
	// Nothing counts in a job that is stopping, nor for steps that run until their job is
	// cancelled, because the tasks of those start again however they end.
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

// countLateFailure counts the failure of an attempt that was returned as lost: the worker was
// partitioned and reports the failure late. The failure counts once, whatever the state of
// the task is by then.
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

// countFailure counts a failed attempt of a task or of its gang. It stops the job if the
// count exceeds the allowed failures, unless the task has been done since. For a gang, at
// most one failure counts in each attempt, however many members fail.
func (m *Machine) countFailure(j *job, s, t int, attempt uint32) {
	step, shared := j.step(s), j.sharedTask(s, t)
	members, isFinished := j.tasks[s][t:t+1], j.tasks[s][t].state == schema.TaskState_TASK_DONE
	if step.Gang {
		members, isFinished = j.tasks[s], j.unfinishedTasks[s] == 0
	}
	if shared.failedAttempt == attempt {
		return
	}
	for k := range members {
		members[k].removeLostAttempt(attempt)
	}
	shared.failedAttempt = max(shared.failedAttempt, attempt)
	shared.failures++
	j.failures[s]++
	if shared.failures > step.AllowedFailures && !isFinished {
		m.stopJob(j, schema.JobState_JOB_FAILED, "step "+step.Name+": a task used up its allowed failures")
	}
}

// removeLostAttempt removes an attempt from the lost attempts of a task, if it is one of them.
func (t *task) removeLostAttempt(attempt uint32) {
	if index := slices.Index(t.lostAttempts, attempt); index >= 0 {
		t.lostAttempts = slices.Delete(t.lostAttempts, index, index+1)
	}
}

// stopGang stops the checked-out members of a gang. The members are ready again when all of
// them have stopped. Members that were done run again with the others.
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

// makeWaiting makes a checked-out task wait for another checkout. It also ends a stopping job
// whose last checked-out task this was.
func (m *Machine) makeWaiting(j *job, s, t int) {
	j.tasks[s][t].reset()
	j.decrementCheckedOut(s)
	m.emitEvent(j, s, t)
	if j.state == schema.JobState_JOB_STOPPING {
		m.endIfIdle(j)
		return
	}
	if j.step(s).Gang && j.checkedOutTasks[s] == 0 {
		m.emitStepEvents(j, s)
	}
}
