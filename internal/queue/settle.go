package queue

// Settling tasks that are done, and what follows for their job.

import (
	"sparnotch/internal/schema"
)

func (m *Machine) settle(c *schema.Settle) {
	j, s, t := m.findTask(c.Key)
	if j == nil {
		return
	}
	task, step := &j.tasks[s][t], j.step(s)
	if c.WholeGang && step.Gang {
		// While a member is checked out no member has begun another attempt. So this
		// report ends the attempt of the whole gang, even where a member was returned as
		// lost or is stopping.
		if j.checkedOutTasks[s] > 0 && task.attempt == c.Attempt {
			m.settleGang(j, s)
		}
		return
	}
	// A report on another attempt than the one that is checked out changes nothing.
	if task.state != schema.TaskState_TASK_CHECKED_OUT || task.attempt != c.Attempt {
		return
	}
	if step.RunUntilCancelled {
		j.sharedTask(s, t).checkpoint = ""
		if step.Gang && j.state == schema.JobState_JOB_RUNNING && !task.isGangStopping {
			m.stopGang(j, s)
		}
	}
	if step.RunUntilCancelled || task.isGangStopping {
		m.makeWaiting(j, s, t)
		return
	}
	task.state = schema.TaskState_TASK_DONE
	j.uncountCheckout(s)
	j.unfinishedTasks[s]--
	if !step.Gang || j.unfinishedTasks[s] == 0 {
		j.sharedTask(s, t).checkpoint = ""
	}
	m.emitEvent(j, s, t)
	m.advanceJob(j, s)
}

// settleGang settles all members of a gang: they end together. Their later reports find
// them done.
func (m *Machine) settleGang(j *job, s int) {
	runsUntilCancelled := j.step(s).RunUntilCancelled
	for t := range j.tasks[s] {
		task := &j.tasks[s][t]
		if task.state == schema.TaskState_TASK_CHECKED_OUT {
			j.uncountCheckout(s)
		}
		task.state, task.isGangStopping, task.checkpoint = schema.TaskState_TASK_DONE, false, ""
		if runsUntilCancelled {
			task.reset()
		}
	}
	if !runsUntilCancelled {
		j.unfinishedTasks[s] = 0
	}
	m.emitStepEvents(j, s)
	m.advanceJob(j, s)
}

// advanceJob does what follows from the end of a step's tasks: steps whose dependencies
// are done open, and a job without unfinished steps is complete.
func (m *Machine) advanceJob(j *job, s int) {
	if j.unfinishedTasks[s] == 0 {
		j.unfinishedSteps--
	}
	if j.state == schema.JobState_JOB_STOPPING {
		m.endIfIdle(j)
		return
	}
	if j.unfinishedTasks[s] > 0 {
		return
	}
	index := s % j.stepsPerRound()
	for _, dependent := range j.dependents[index] {
		if next := s - index + dependent; j.unfinishedTasks[next] > 0 && j.isStepOpen(next) {
			m.emitStepEvents(j, next)
		}
	}
	if j.unfinishedSteps == 0 {
		m.endJob(j, schema.JobState_JOB_COMPLETE)
	}
}
