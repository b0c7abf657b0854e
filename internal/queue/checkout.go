package queue

// Checkout, launch and settle.

import (
	"sparnotch/internal/schema"
)

func (m *Machine) checkout(c *schema.Checkout) {
	type place struct {
		j    *job
		s, t int
		pick *schema.Placement
	}
	type group struct {
		j *job
		s int
	}
	var places []place
	chosen := map[*task]bool{}
	whole := map[group]int{}
	for _, pick := range c.Placements {
		j, s, t := m.find(pick.Key)
		if j == nil {
			continue
		}
		places = append(places, place{j, s, t, pick})
		if each := &j.tasks[s][t]; j.standing(s, t) == Ready && !chosen[each] {
			chosen[each] = true
			whole[group{j, s}]++
		}
	}
	attempts := map[group]uint32{} // members of one start share their number
	for _, p := range places {
		each, g := &p.j.tasks[p.s][p.t], group{p.j, p.s}
		// A group that must run together goes out whole in one command or
		// not at all.
		isGroup := p.j.step(p.s).Gang
		isWhole := !isGroup || whole[g] == len(p.j.tasks[p.s])
		if chosen[each] && isWhole {
			delete(chosen, each)
			if isGroup && attempts[g] == 0 {
				for t := range p.j.tasks[p.s] {
					attempts[g] = max(attempts[g], p.j.tasks[p.s][t].attempt+1)
				}
			}
			each.state, each.attempt = schema.TaskState_TASK_CHECKED_OUT, max(each.attempt+1, attempts[g])
			each.worker, each.incarnation, each.hand = p.pick.Worker, p.pick.Incarnation, 0
			p.j.out[p.s]++
			p.j.outs++
			p.j.started++
		}
		m.shift(p.j, p.s, p.t)
	}
}

// launch decides that a group begins: whoever orders its workers from now on,
// also a successor that never saw them held, has every member begin. It takes
// hold of the whole group as it was checked out, or of nothing.
func (m *Machine) launch(c *schema.StartGang) {
	j, s, _ := m.find(&schema.TaskKey{Job: c.Job, Step: c.Step})
	if j == nil || !j.step(s).Gang || len(c.Attempts) != len(j.tasks[s]) {
		return
	}
	for t := range j.tasks[s] {
		if j.standing(s, t) != Out || j.tasks[s][t].attempt != c.Attempts[t] {
			return
		}
	}
	for t := range j.tasks[s] {
		j.tasks[s][t].isLaunched = true
	}
	m.shiftStep(j, s)
}

func (m *Machine) settle(c *schema.Settle) {
	j, s, t := m.find(c.Key)
	if j == nil {
		return
	}
	each, step := &j.tasks[s][t], j.step(s)
	if c.WholeGang && step.Gang {
		// Nothing of the group has been checked out anew while one member is
		// out, so this end is the end of that start, also where a member was
		// taken for lost or told to stop meanwhile.
		if j.out[s] > 0 && each.attempt == c.Attempt {
			m.settleGroup(j, s)
		}
		return
	}
	// A report on another attempt than the one that is out changes nothing.
	if each.state != schema.TaskState_TASK_CHECKED_OUT || each.attempt != c.Attempt {
		return
	}
	if step.RunUntilCancelled {
		j.account(s, t).saved = ""
		if step.Gang && j.state == schema.JobState_JOB_RUNNING && !each.isBreaking {
			m.breakGroup(j, s)
		}
	}
	if step.RunUntilCancelled || each.isBreaking {
		m.takeBack(j, s, t)
		return
	}
	each.state = schema.TaskState_TASK_DONE
	m.recall(j, s)
	j.left[s]--
	if !step.Gang || j.left[s] == 0 {
		j.account(s, t).saved = ""
	}
	m.shift(j, s, t)
	m.stepOn(j, s)
}

// settleGroup: one member's end stands for all. Its members have ended
// together, and their later reports find them done.
func (m *Machine) settleGroup(j *job, s int) {
	isLasting := j.step(s).RunUntilCancelled
	for t := range j.tasks[s] {
		each := &j.tasks[s][t]
		if each.state == schema.TaskState_TASK_CHECKED_OUT {
			m.recall(j, s)
		}
		each.state, each.isBreaking, each.saved = schema.TaskState_TASK_DONE, false, ""
		if isLasting {
			each.clear()
		}
	}
	if !isLasting {
		j.left[s] = 0
	}
	m.shiftStep(j, s)
	m.stepOn(j, s)
}

// stepOn follows the end of tasks of a step: what waited for the whole step
// opens, and a job with nothing unfinished ends.
func (m *Machine) stepOn(j *job, s int) {
	if j.left[s] == 0 {
		j.unfinished--
	}
	if j.state == schema.JobState_JOB_STOPPING {
		m.endIfStill(j)
		return
	}
	if j.left[s] > 0 {
		return
	}
	part := s % j.parts()
	for _, other := range j.before[part] {
		if next := s - part + other; j.left[next] > 0 && j.isOpen(next) {
			m.shiftStep(j, next)
		}
	}
	if j.unfinished == 0 {
		m.end(j, schema.JobState_JOB_COMPLETE)
	}
}

// recall notes that a task is out no more.
func (m *Machine) recall(j *job, s int) {
	j.out[s]--
	j.outs--
}
