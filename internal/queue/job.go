package queue

// A job's shape: its steps, rounds and tasks.

import (
	"sparnotch/internal/schema"
)

type job struct {
	id      uint64
	name    string
	digest  []byte
	index   uint64 // of the record that holds the payload
	startUs int64
	state   schema.JobState
	verdict schema.JobState // what a stopping job ends as
	why     string
	spec    *schema.Job
	isDry   bool // restored from a checkpoint, the text is gone
	// Its steps are expanded: step e is part e%parts of round e/parts. A
	// round's tasks are made when it opens.
	tasks      [][]task
	left       []int    // unfinished tasks of each step
	out        []int    // tasks of each step that are out
	failures   []uint32 // counted failures of each step
	opened     int      // rounds that have been due so far
	unfinished int      // steps with unfinished tasks
	outs       int      // tasks that are out
	started    uint64   // tasks checked out so far
	after      [][]int  // of each part: the parts it waits for
	before     [][]int  // of each part: the parts that wait for it
	ahead      [][]Leg  // of each part: the longest way from it on
	span       []Leg    // the longest of these
}

type task struct {
	state       schema.TaskState
	attempt     uint32
	failures    uint32 // a group's stand at its first member
	failedAt    uint32 // the latest attempt counted as failed, kept like failures
	circles     uint32
	worker      string
	incarnation uint64
	hand        uint64
	isBreaking  bool     // out, and to be stopped because its group broke
	isLaunched  bool     // its group has been decided to begin
	lost        []uint32 // attempts taken back unheard: they may yet turn out to have failed
	saved       string   // progress that the next start carries; a group's stands at its first member
}

func (j *job) parts() int { return len(j.spec.GetSteps()) }

func (j *job) rounds() int { return max(1, int(j.spec.GetRounds())) }

func (j *job) first(round int) int { return round * j.parts() }

func (j *job) step(s int) *schema.Step { return j.spec.Steps[s%j.parts()] }

// dueUs is when the next round that hasn't opened is due, in queue time.
func (j *job) dueUs() int64 {
	return j.startUs + int64(j.opened)*max(0, j.spec.GetPeriodUs())
}

// expand counts out the steps of all rounds; none is open yet.
func (j *job) expand() {
	parts := j.parts()
	number := map[string]int{}
	for part, step := range j.spec.GetSteps() {
		number[step.Name] = part
	}
	j.after, j.before = make([][]int, parts), make([][]int, parts)
	for part, step := range j.spec.GetSteps() {
		for _, name := range step.Dependencies {
			if other, isKnown := number[name]; isKnown {
				j.after[part] = append(j.after[part], other)
				j.before[other] = append(j.before[other], part)
			}
		}
	}
	j.ahead = make([][]Leg, parts)
	for part := range j.spec.GetSteps() {
		if way := j.way(part, parts); sumOf(way) > sumOf(j.span) {
			j.span = way
		}
	}
	steps := j.rounds() * parts
	j.tasks, j.left, j.out, j.failures = make([][]task, steps), make([]int, steps), make([]int, steps), make([]uint32, steps)
	for s := range j.left {
		j.left[s] = int(j.step(s).Tasks)
		if j.left[s] > 0 {
			j.unfinished++
		}
	}
}

// way is the longest way from a part on, through at most so
// many parts.
func (j *job) way(part, most int) []Leg {
	if j.ahead[part] != nil || most == 0 {
		return j.ahead[part]
	}
	var longest []Leg
	for _, next := range j.before[part] {
		if way := j.way(next, most-1); sumOf(way) > sumOf(longest) {
			longest = way
		}
	}
	step := j.spec.Steps[part]
	j.ahead[part] = append([]Leg{{step.EstimatedRunUs, step.CoresMilli * int64(step.Tasks)}}, longest...)
	return j.ahead[part]
}

func sumOf(list []Leg) (sum int64) {
	for _, each := range list {
		sum += each.EstimateUs
	}
	return sum
}

// ageUs is how long ago a round was due.
func (j *job) ageUs(round int, now int64) int64 {
	return now - j.startUs - int64(round)*max(0, j.spec.GetPeriodUs())
}

// makeRound makes the tasks of the next round.
func (j *job) makeRound() {
	for part, step := range j.spec.GetSteps() {
		j.tasks[j.first(j.opened)+part] = make([]task, step.Tasks)
	}
	j.opened++
}

func (j *job) isOpen(s int) bool {
	part := s % j.parts()
	first := s - part
	if first >= j.first(j.opened) {
		return false
	}
	for _, other := range j.after[part] {
		if j.left[first+other] > 0 {
			return false
		}
	}
	return true
}

func (j *job) standing(s, t int) Standing {
	each := &j.tasks[s][t]
	switch {
	case each.state == schema.TaskState_TASK_CHECKED_OUT:
		if each.isBreaking || j.state == schema.JobState_JOB_STOPPING {
			return Stopping
		}
		return Out
	case each.state == schema.TaskState_TASK_DONE || j.state != schema.JobState_JOB_RUNNING || !j.isOpen(s):
		return Gone
	case j.step(s).Gang && j.out[s] > 0:
		return Gone // a broken group is whole again only when none of it runs
	}
	return Ready
}

// account is the task that failures and progress are kept at: a group has one
// account for all its members.
func (j *job) account(s, t int) *task {
	if j.step(s).Gang {
		return &j.tasks[s][0]
	}
	return &j.tasks[s][t]
}

func (each *task) clear() {
	each.state, each.worker, each.incarnation, each.hand = schema.TaskState_TASK_WAITING, "", 0, 0
	each.isBreaking, each.isLaunched = false, false
}
