package queue

// Checkout, launch and settle.

import (
	"sparnotch/internal/schema"
)

func (m *Machine) checkout(c *schema.Checkout) {
	type selection struct {
		j    *job
		s, t int
		pick *schema.Placement
	}
	type gang struct {
		j *job
		s int
	}
	var selected []selection
	isAvailable := map[*task]bool{}
	available := map[gang]int{}
	for _, pick := range c.Placements {
		j, s, t := m.findTask(pick.Key)
		if j == nil {
			continue
		}
		selected = append(selected, selection{j, s, t, pick})
		if task := &j.tasks[s][t]; j.status(s, t) == Ready && !isAvailable[task] {
			isAvailable[task] = true
			available[gang{j, s}]++
		}
	}
	attempts := map[gang]uint32{} // members of one start share their number
	for _, chosen := range selected {
		task, g := &chosen.j.tasks[chosen.s][chosen.t], gang{chosen.j, chosen.s}
		// A group that must run together goes out whole in one command or
		// not at all.
		isGang := chosen.j.step(chosen.s).Gang
		isComplete := !isGang || available[g] == len(chosen.j.tasks[chosen.s])
		if isAvailable[task] && isComplete {
			delete(isAvailable, task)
			if isGang && attempts[g] == 0 {
				for t := range chosen.j.tasks[chosen.s] {
					attempts[g] = max(attempts[g], chosen.j.tasks[chosen.s][t].attempt+1)
				}
			}
			task.state, task.attempt = schema.TaskState_TASK_CHECKED_OUT, max(task.attempt+1, attempts[g])
			task.worker, task.incarnation, task.checkoutSequence = chosen.pick.Worker, chosen.pick.Incarnation, 0
			chosen.j.checkedOutTasks[chosen.s]++
			chosen.j.checkedOut++
			chosen.j.startedTasks++
		}
		m.emitEvent(chosen.j, chosen.s, chosen.t)
	}
}

// startGang decides that a group begins: whoever orders its workers from now on,
// also a successor that never saw them held, has every member begin. It takes
// hold of the whole group as it was checked out, or of nothing.
func (m *Machine) startGang(c *schema.StartGang) {
	j, s, _ := m.findTask(&schema.TaskKey{Job: c.Job, Step: c.Step})
	if j == nil || !j.step(s).Gang || len(c.Attempts) != len(j.tasks[s]) {
		return
	}
	for t := range j.tasks[s] {
		if j.status(s, t) != CheckedOut || j.tasks[s][t].attempt != c.Attempts[t] {
			return
		}
	}
	for t := range j.tasks[s] {
		j.tasks[s][t].isGangStarted = true
	}
	m.emitStepEvents(j, s)
}

func (m *Machine) settle(c *schema.Settle) {
	j, s, t := m.findTask(c.Key)
	if j == nil {
		return
	}
	task, step := &j.tasks[s][t], j.step(s)
	if c.WholeGang && step.Gang {
		// Nothing of the group has been checked out anew while one member is
		// out, so this end is the end of that start, also where a member was
		// taken for lost or told to stop meanwhile.
		if j.checkedOutTasks[s] > 0 && task.attempt == c.Attempt {
			m.settleGang(j, s)
		}
		return
	}
	// A report on another attempt than the one that is out changes nothing.
	if task.state != schema.TaskState_TASK_CHECKED_OUT || task.attempt != c.Attempt {
		return
	}
	if step.RunUntilCancelled {
		j.accountingTask(s, t).progress = ""
		if step.Gang && j.state == schema.JobState_JOB_RUNNING && !task.isGangStopping {
			m.stopGang(j, s)
		}
	}
	if step.RunUntilCancelled || task.isGangStopping {
		m.makeWaiting(j, s, t)
		return
	}
	task.state = schema.TaskState_TASK_DONE
	m.countCheckedIn(j, s)
	j.unfinishedTasks[s]--
	if !step.Gang || j.unfinishedTasks[s] == 0 {
		j.accountingTask(s, t).progress = ""
	}
	m.emitEvent(j, s, t)
	m.advanceJob(j, s)
}

// settleGang: one member's end stands for all. Its members have ended
// together, and their later reports find them done.
func (m *Machine) settleGang(j *job, s int) {
	isLasting := j.step(s).RunUntilCancelled
	for t := range j.tasks[s] {
		task := &j.tasks[s][t]
		if task.state == schema.TaskState_TASK_CHECKED_OUT {
			m.countCheckedIn(j, s)
		}
		task.state, task.isGangStopping, task.progress = schema.TaskState_TASK_DONE, false, ""
		if isLasting {
			task.reset()
		}
	}
	if !isLasting {
		j.unfinishedTasks[s] = 0
	}
	m.emitStepEvents(j, s)
	m.advanceJob(j, s)
}

// advanceJob follows the end of tasks of a step: what waited for the whole step
// opens, and a job with nothing unfinished ends.
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
	part := s % j.stepsPerRound()
	for _, other := range j.dependents[part] {
		if next := s - part + other; j.unfinishedTasks[next] > 0 && j.isStepOpen(next) {
			m.emitStepEvents(j, next)
		}
	}
	if j.unfinishedSteps == 0 {
		m.endJob(j, schema.JobState_JOB_COMPLETE)
	}
}

// countCheckedIn notes that a task is out no more.
func (m *Machine) countCheckedIn(j *job, s int) {
	j.checkedOutTasks[s]--
	j.checkedOut--
}
