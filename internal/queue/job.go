package queue

// A job's shape: its steps, rounds and tasks.

import (
	"sparnotch/internal/schema"
)

type job struct {
	id           uint64
	name         string
	digest       []byte
	index        uint64 // of the record that holds the payload
	startUs      int64
	state        schema.JobState
	finalState   schema.JobState // what a stopping job ends as
	reason       string
	spec         *schema.Job
	isDehydrated bool // restored from a checkpoint, the text is gone
	// Its steps are expanded: step e is part e%parts of round e/parts. A
	// round's tasks are made when it opens.
	tasks           [][]task
	unfinishedTasks []int        // unfinished tasks of each step
	checkedOutTasks []int        // tasks of each step that are out
	failures        []uint32     // counted failures of each step
	openedRounds    int          // rounds that have been due so far
	unfinishedSteps int          // steps with unfinished tasks
	checkedOut      int          // tasks that are out
	startedTasks    uint64       // tasks checked out so far
	dependencies    [][]int      // of each part: the parts it waits for
	dependents      [][]int      // of each part: the parts that wait for it
	remainingPaths  [][]PathStep // of each part: the longest way from it on
	criticalPath    []PathStep   // the longest of these
}

type task struct {
	state            schema.TaskState
	attempt          uint32
	failures         uint32 // a group's stand at its first member
	failedAttempt    uint32 // the latest attempt counted as failed, kept like failures
	returns          uint32
	worker           string
	incarnation      uint64
	checkoutSequence uint64
	isGangStopping   bool     // out, and to be stopped because its group broke
	isGangStarted    bool     // its group has been decided to begin
	lostAttempts     []uint32 // attempts taken back unheard: they may yet turn out to have failed
	progress         string   // progress that the next start carries; a group's stands at its first member
}

func (j *job) stepsPerRound() int { return len(j.spec.GetSteps()) }

func (j *job) rounds() int { return max(1, int(j.spec.GetRounds())) }

func (j *job) firstStep(round int) int { return round * j.stepsPerRound() }

func (j *job) step(s int) *schema.Step { return j.spec.Steps[s%j.stepsPerRound()] }

// nextRoundUs is when the next round that hasn't opened is due, in queue time.
func (j *job) nextRoundUs() int64 {
	return j.startUs + int64(j.openedRounds)*max(0, j.spec.GetPeriodUs())
}

// expandSteps counts out the steps of all rounds; none is open yet.
func (j *job) expandSteps() {
	perRound := j.stepsPerRound()
	stepByName := map[string]int{}
	for part, step := range j.spec.GetSteps() {
		stepByName[step.Name] = part
	}
	j.dependencies, j.dependents = make([][]int, perRound), make([][]int, perRound)
	for part, step := range j.spec.GetSteps() {
		for _, name := range step.Dependencies {
			if other, found := stepByName[name]; found {
				j.dependencies[part] = append(j.dependencies[part], other)
				j.dependents[other] = append(j.dependents[other], part)
			}
		}
	}
	j.remainingPaths = make([][]PathStep, perRound)
	for part := range j.spec.GetSteps() {
		if path := j.longestPath(part, perRound); pathEstimateUs(path) > pathEstimateUs(j.criticalPath) {
			j.criticalPath = path
		}
	}
	steps := j.rounds() * perRound
	j.tasks, j.unfinishedTasks, j.checkedOutTasks, j.failures = make([][]task, steps), make([]int, steps), make([]int, steps), make([]uint32, steps)
	for s := range j.unfinishedTasks {
		j.unfinishedTasks[s] = int(j.step(s).Tasks)
		if j.unfinishedTasks[s] > 0 {
			j.unfinishedSteps++
		}
	}
}

// longestPath is the longest way from a part on, through at most so
// many parts.
func (j *job) longestPath(part, maxDepth int) []PathStep {
	if j.remainingPaths[part] != nil || maxDepth == 0 {
		return j.remainingPaths[part]
	}
	var longest []PathStep
	for _, next := range j.dependents[part] {
		if path := j.longestPath(next, maxDepth-1); pathEstimateUs(path) > pathEstimateUs(longest) {
			longest = path
		}
	}
	step := j.spec.Steps[part]
	j.remainingPaths[part] = append([]PathStep{{step.EstimatedRunUs, step.CoresMilli * int64(step.Tasks)}}, longest...)
	return j.remainingPaths[part]
}

func pathEstimateUs(path []PathStep) (sum int64) {
	for _, step := range path {
		sum += step.EstimateUs
	}
	return sum
}

// roundAgeUs is how long ago a round was due.
func (j *job) roundAgeUs(round int, now int64) int64 {
	return now - j.startUs - int64(round)*max(0, j.spec.GetPeriodUs())
}

// openRound makes the tasks of the next round.
func (j *job) openRound() {
	for part, step := range j.spec.GetSteps() {
		j.tasks[j.firstStep(j.openedRounds)+part] = make([]task, step.Tasks)
	}
	j.openedRounds++
}

func (j *job) isStepOpen(s int) bool {
	part := s % j.stepsPerRound()
	first := s - part
	if first >= j.firstStep(j.openedRounds) {
		return false
	}
	for _, other := range j.dependencies[part] {
		if j.unfinishedTasks[first+other] > 0 {
			return false
		}
	}
	return true
}

func (j *job) status(s, t int) Status {
	task := &j.tasks[s][t]
	switch {
	case task.state == schema.TaskState_TASK_CHECKED_OUT:
		if task.isGangStopping || j.state == schema.JobState_JOB_STOPPING {
			return Stopping
		}
		return CheckedOut
	case task.state == schema.TaskState_TASK_DONE || j.state != schema.JobState_JOB_RUNNING || !j.isStepOpen(s):
		return Inactive
	case j.step(s).Gang && j.checkedOutTasks[s] > 0:
		return Inactive // a broken group is whole again only when none of it runs
	}
	return Ready
}

// accountingTask is the task that failures and progress are kept at: a group has one
// account for all its members.
func (j *job) accountingTask(s, t int) *task {
	if j.step(s).Gang {
		return &j.tasks[s][0]
	}
	return &j.tasks[s][t]
}

func (t *task) reset() {
	t.state, t.worker, t.incarnation, t.checkoutSequence = schema.TaskState_TASK_WAITING, "", 0, 0
	t.isGangStopping, t.isGangStarted = false, false
}
