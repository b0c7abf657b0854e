package queue

// Return, stop, cancel, and the end of a job.

import (
	"slices"

	"sparnotch/internal/schema"
)

func (m *Machine) giveBack(c *schema.Return) {
	j, s, t := m.find(c.Key)
	if j == nil {
		return
	}
	each := &j.tasks[s][t]
	step := j.step(s)
	isRunning := j.state == schema.JobState_JOB_RUNNING
	if each.state != schema.TaskState_TASK_CHECKED_OUT || each.attempt != c.Attempt {
		// A worker that had been cut off tells late that it had failed. That
		// counts, once, whatever has become of the task meanwhile.
		if k := slices.Index(each.lost, c.Attempt); k >= 0 && c.Cause == schema.ReturnCause_RETURN_CAUSE_FAILED && isRunning {
			if m.failed(j, s, t, c.Attempt); j.state == schema.JobState_JOB_STOPPING {
				m.endIfStill(j)
			}
		}
		return
	}
	account := j.account(s, t)
	// The latest text that was told is the best one known; no word of progress
	// doesn't undo what was kept before.
	if step.Checkpoints && c.Checkpoint != "" && len(c.Checkpoint) <= maxSaved {
		account.saved = c.Checkpoint
	}
	if c.Cause == schema.ReturnCause_RETURN_CAUSE_WORKER_LOST && !step.RunUntilCancelled && account.failedAt != c.Attempt {
		each.lost = append(each.lost, each.attempt)
	}
	// Failing counts whatever was asked of the task meanwhile; being stopped
	// counts only for whom the stop was meant. What lasts begins again however
	// it ended, so nothing of it counts.
	switch {
	case step.RunUntilCancelled || !isRunning:
	case c.Cause == schema.ReturnCause_RETURN_CAUSE_FAILED:
		m.failed(j, s, t, c.Attempt)
	case !each.isBreaking:
		each.circles++
		if each.circles > m.adopt.MaxRequeues {
			m.stop(j, schema.JobState_JOB_FAILED, "step "+step.Name+": a task was taken back too often")
		}
	}
	if step.Gang && j.state == schema.JobState_JOB_RUNNING && !each.isBreaking {
		m.breakGroup(j, s)
	}
	m.takeBack(j, s, t)
}

// failed counts a failure; one too many ends the job, whatever came of the task
// since. A task that has been done stays done. However many members of a group
// fail in one attempt, the group has failed once.
func (m *Machine) failed(j *job, s, t int, attempt uint32) {
	step, account := j.step(s), j.account(s, t)
	members, isDone := j.tasks[s][t:t+1], j.tasks[s][t].state == schema.TaskState_TASK_DONE
	if step.Gang {
		members, isDone = j.tasks[s], j.left[s] == 0
	}
	if account.failedAt == attempt {
		return
	}
	for k := range members {
		if at := slices.Index(members[k].lost, attempt); at >= 0 {
			members[k].lost = slices.Delete(members[k].lost, at, at+1)
		}
	}
	account.failedAt = max(account.failedAt, attempt)
	account.failures++
	j.failures[s]++
	if account.failures > step.AllowedFailures && !isDone {
		m.stop(j, schema.JobState_JOB_FAILED, "step "+step.Name+": a task used up its allowed failures")
	}
}

// breakGroup stops the other members: none is retried until all have stopped.
func (m *Machine) breakGroup(j *job, s int) {
	for t := range j.tasks[s] {
		each := &j.tasks[s][t]
		switch each.state {
		case schema.TaskState_TASK_CHECKED_OUT:
			each.isBreaking = true
			m.shift(j, s, t)
		case schema.TaskState_TASK_DONE:
			// Members run together or not at all, so those that were done run
			// again with the rest.
			each.state, each.isLaunched = schema.TaskState_TASK_WAITING, false
			j.left[s]++
		}
	}
}

func (m *Machine) takeBack(j *job, s, t int) {
	j.tasks[s][t].clear()
	m.recall(j, s)
	m.shift(j, s, t)
	if j.state == schema.JobState_JOB_STOPPING {
		m.endIfStill(j)
		return
	}
	if j.step(s).Gang && j.out[s] == 0 {
		m.shiftStep(j, s)
	}
}

// stop ends a job as soon as none of its tasks runs.
func (m *Machine) stop(j *job, verdict schema.JobState, why string) {
	if j.opened < j.rounds() {
		m.byStart.Delete(j)
	}
	j.state, j.verdict, j.why = schema.JobState_JOB_STOPPING, verdict, why
	for s := range j.tasks {
		if !j.isOpen(s) {
			continue
		}
		for t := range j.tasks[s] {
			if j.tasks[s][t].state != schema.TaskState_TASK_DONE {
				m.shift(j, s, t)
			}
		}
	}
}

func (m *Machine) endIfStill(j *job) {
	if j.outs == 0 {
		m.end(j, j.verdict)
	}
}

func (m *Machine) cancel(name string) {
	if j := m.names[name]; j != nil {
		switch j.state {
		case schema.JobState_JOB_SCHEDULED:
			m.byStart.Delete(j)
			j.why = "cancelled before its start"
			m.end(j, schema.JobState_JOB_CANCELLED)
		case schema.JobState_JOB_RUNNING:
			m.stop(j, schema.JobState_JOB_CANCELLED, "cancelled")
			m.endIfStill(j)
		}
	}
	m.effects.Code = 404
	if view, known := m.View(name); known {
		m.effects.Code, m.effects.View = 200, view
	}
}

func (m *Machine) end(j *job, state schema.JobState) {
	ended := &schema.EndedJobSnapshot{Name: j.name, Digest: j.digest, State: state, EndedUs: m.now, Reason: j.why, Id: j.id}
	for s := range j.left {
		ended.Tasks += j.step(s).Tasks
		ended.Done += j.step(s).Tasks - uint32(j.left[s])
	}
	m.byIndex.Delete(j)
	delete(m.jobs, j.id)
	delete(m.names, j.name)
	m.ended[j.name] = ended
	m.fading = append(m.fading, ended)
}
