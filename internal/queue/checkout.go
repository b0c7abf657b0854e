package queue

// This file implements the checkout of tasks for workers and the start of gangs.

import (
	"sparnotch/internal/schema"
)

// checkout checks out tasks for workers and leaves tasks that aren't ready unchanged. It
// emits an event for every task that the command names and that exists, so the scheduler
// learns which of them were checked out.
func (m *Machine) checkout(c *schema.Checkout) {
	var chosen []chosenTask
	readyTasks := map[*task]bool{}   // chosen tasks that are ready and not yet checked out
	readyCounts := map[stepKey]int{} // number of ready chosen tasks in each step; a task that is named twice counts once
	for _, placement := range c.Placements {
		j, s, t := m.findTask(placement.Key)
		if j == nil {
			continue
		}
		chosen = append(chosen, chosenTask{j, s, t, placement})
		if task := &j.tasks[s][t]; j.status(s, t) == Ready && !readyTasks[task] {
			readyTasks[task] = true
			readyCounts[stepKey{j, s}]++
		}
	}
	gangAttempts := map[stepKey]uint32{}
	for _, choice := range chosen {
		j, s, t := choice.job, choice.step, choice.task
		task, step := &j.tasks[s][t], stepKey{j, s}
		// One command checks out either all members of a gang or none of them.
		isGang := j.step(s).Gang
		isComplete := !isGang || readyCounts[step] == len(j.tasks[s])
		if readyTasks[task] && isComplete {
			delete(readyTasks, task)
			if isGang && gangAttempts[step] == 0 {
				gangAttempts[step] = nextGangAttempt(j.tasks[s])
			}
			j.checkOutTask(s, t, gangAttempts[step], choice.placement)
		}
		m.emitEvent(j, s, t)
	}
}

// chosenTask is a task that a checkout command names, with the worker to check it out for.
type chosenTask struct {
	job        *job
	step, task int
	placement  *schema.Placement
}

// stepKey identifies one step of one job.
type stepKey struct {
	job  *job
	step int
}

// nextGangAttempt returns the number of a gang's next attempt, which all members share. It
// is higher than the latest attempt of any member.
func nextGangAttempt(members []task) uint32 {
	attempt := uint32(0)
	for t := range members {
		attempt = max(attempt, members[t].attempt+1)
	}
	return attempt
}

// checkOutTask checks out one task for the worker of placement. gangAttempt is the attempt
// number of the task's gang, or 0 if the task isn't a member of a gang.
func (j *job) checkOutTask(s, t int, gangAttempt uint32, placement *schema.Placement) {
	task := &j.tasks[s][t]
	task.state, task.attempt = schema.TaskState_TASK_CHECKED_OUT, max(task.attempt+1, gangAttempt)
	task.worker, task.incarnation, task.checkoutSequence = placement.Worker, placement.Incarnation, 0
	j.checkedOutTasks[s]++
	j.checkedOutCount++
	j.startedTasks++
}

// startGang records the decision to start a gang. From then on, every scheduler of the queue
// starts all members, even a scheduler that has never seen their reservations. The command
// takes effect only if every member is checked out with the attempt that the command lists.
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
