package queue

// Checkout of tasks for workers, and the start of gangs.

import (
	"sparnotch/internal/schema"
)

// checkout checks out tasks for workers. Tasks that aren't ready stay as they are. Each
// task of the command gets an event, so the scheduler learns which were checked out.
func (m *Machine) checkout(c *schema.Checkout) {
	var chosen []chosenTask
	available := map[*task]bool{}      // chosen tasks that are ready, each once
	availableOf := map[stepOfJob]int{} // how many of them each step has
	for _, pick := range c.Placements {
		j, s, t := m.findTask(pick.Key)
		if j == nil {
			continue
		}
		chosen = append(chosen, chosenTask{j, s, t, pick})
		if task := &j.tasks[s][t]; j.status(s, t) == Ready && !available[task] {
			available[task] = true
			availableOf[stepOfJob{j, s}]++
		}
	}
	gangAttempts := map[stepOfJob]uint32{}
	for _, choice := range chosen {
		j, s, t := choice.job, choice.s, choice.t
		task, step := &j.tasks[s][t], stepOfJob{j, s}
		// A gang is checked out as a whole by one command, or not at all.
		isGang := j.step(s).Gang
		isComplete := !isGang || availableOf[step] == len(j.tasks[s])
		if available[task] && isComplete {
			delete(available, task)
			if isGang && gangAttempts[step] == 0 {
				gangAttempts[step] = nextGangAttempt(j.tasks[s])
			}
			j.checkOutTask(s, t, gangAttempts[step], choice.placement)
		}
		m.emitEvent(j, s, t)
	}
}

// chosenTask is a task that a command checks out.
type chosenTask struct {
	job       *job
	s, t      int
	placement *schema.Placement
}

type stepOfJob struct {
	job *job
	s   int
}

// nextGangAttempt is the number of a gang's next attempt: all members have the same.
func nextGangAttempt(members []task) uint32 {
	attempt := uint32(0)
	for t := range members {
		attempt = max(attempt, members[t].attempt+1)
	}
	return attempt
}

// checkOutTask checks out one task. gangAttempt is its gang's attempt; 0: it is no member of
// a gang.
func (j *job) checkOutTask(s, t int, gangAttempt uint32, pick *schema.Placement) {
	task := &j.tasks[s][t]
	task.state, task.attempt = schema.TaskState_TASK_CHECKED_OUT, max(task.attempt+1, gangAttempt)
	task.worker, task.incarnation, task.checkoutSequence = pick.Worker, pick.Incarnation, 0
	j.checkedOutTasks[s]++
	j.checkedOut++
	j.startedTasks++
}

// startGang decides that a gang starts: from then on every scheduler of the queue has all
// members start, even one that has never seen their reservations. It concerns the whole
// gang as it was checked out, or nothing.
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
