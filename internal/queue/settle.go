package queue

// This file implements settle, which marks tasks as done and advances their job.

import (
	"sparnotch/internal/schema"
)

// settle marks a checked-out task, or all members of its gang, as done. A task of a step that
// runs until its job is cancelled waits for another checkout instead, and so does a single
// member of a gang that is being stopped.
func (m *Machine) settle(c *schema.Settle) {
	j, s, t := m.findTask(c.Key)
	if j == nil {
		return
	}
	task, step := &j.tasks[s][t], j.step(s)
	if c.WholeGang && step.Gang {
		// While any member is checked out, no member has begun another attempt. The report
		// therefore ends the attempt of the whole gang, even if some members were returned
		// as lost or are stopping.
		if j.checkedOutTasks[s] > 0 && task.attempt == c.Attempt {
			m.settleGang(j, s)
		}
		return
	}
	// Ignore a report about any attempt other than the one that is checked out.
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
	j.decrementCheckedOut(s)
	j.unfinishedTasks[s]--
	if !step.Gang || j.unfinishedTasks[s] == 0 {
		j.sharedTask(s, t).checkpoint = ""
	}
	m.emitEvent(j, s, t)
	m.advanceJob(j, s)
}

// settleGang settles all members of a gang at once, because they end together. Reports that
// arrive later for single members have no effect.
func (m *Machine) settleGang(j *job, s int) {
	runsUntilCancelled := j.step(s).RunUntilCancelled
	for t := range j.tasks[s] {
		task := &j.tasks[s][t]
		if task.state == schema.TaskState_TASK_CHECKED_OUT {
			j.decrementCheckedOut(s)
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

// advanceJob updates a job after tasks of step s have been settled. It ends a stopping job
// that has no checked-out tasks left. If step s is done, it emits the events of the steps
// whose dependencies are now done, and completes the job if no unfinished steps are left.
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
	stepInRound := s % j.stepsPerRound()
	for _, dependent := range j.dependents[stepInRound] {
		if next := s - stepInRound + dependent; j.unfinishedTasks[next] > 0 && j.isStepOpen(next) {
			m.emitStepEvents(j, next)
		}
	}
	if j.unfinishedSteps == 0 {
		m.endJob(j, schema.JobState_JOB_COMPLETE)
	}
}
