package queue

// A live job: its rounds, steps and tasks.

import (
	"slices"

	"sparnotch/internal/schema"
)

// job is a live job. The steps of all its rounds stand one after another: step s is step
// s%stepsPerRound of round s/stepsPerRound. The tasks of a round are made when it opens.
type job struct {
	id           uint64 // in the order of admission
	name         string
	digest       []byte // of what was submitted
	index        uint64 // of the log entry with the payload
	startUs      int64  // of the first round, in queue time
	state        schema.JobState
	finalState   schema.JobState // of a stopping job: its state once nothing runs
	reason       string          // why it stopped
	spec         *schema.Job
	tenant       string // whose it is, fixed when it was admitted; empty: nobody's
	isDehydrated bool   // from a dehydrated snapshot: spec lacks the text

	tasks           [][]task // by step
	unfinishedTasks []int    // by step
	checkedOutTasks []int    // by step
	failures        []uint32 // by step, counted ones
	openedRounds    int
	unfinishedSteps int
	checkedOut      int    // tasks of all steps
	startedTasks    uint64 // checkouts so far

	// Of the steps of a round, by step in round.
	dependencies   [][]int
	dependents     [][]int
	remainingPaths [][]PathStep // the longest path from the step on, itself first
	criticalPath   []PathStep   // the longest of them
}

// task is one task. The members of a gang have their failures, failedAttempt and
// checkpoint in common: they stand at the first member, see job.account.
type task struct {
	state            schema.TaskState
	attempt          uint32
	failures         uint32
	failedAttempt    uint32 // the latest attempt that was counted as failed
	requeues         uint32 // returns that weren't failures
	worker           string // that it is checked out for
	incarnation      uint64 // of the worker
	checkoutSequence uint64 // of the event that reported the checkout
	isGangStopping   bool   // checked out, and to be stopped because a member of its gang ended
	isGangStarted    bool
	lostAttempts     []uint32 // returned as lost: a late report may still show that they failed
	checkpoint       string   // the latest one, for the next start
}

func (j *job) stepsPerRound() int { return len(j.spec.GetSteps()) }

func (j *job) rounds() int { return max(1, int(j.spec.GetRounds())) }

// firstStep is the index of a round's first step.
func (j *job) firstStep(round int) int { return round * j.stepsPerRound() }

func (j *job) step(s int) *schema.Step { return j.spec.Steps[s%j.stepsPerRound()] }

// nextRoundUs is when the next round that isn't open is due, in µs of queue time.
func (j *job) nextRoundUs() int64 {
	return j.startUs + int64(j.openedRounds)*max(0, j.spec.GetPeriodUs())
}

// roundAgeUs is how long ago a round was due.
func (j *job) roundAgeUs(round int, now int64) int64 {
	return now - j.startUs - int64(round)*max(0, j.spec.GetPeriodUs())
}

// expandSteps sets up the steps of all rounds; no round is open yet.
func (j *job) expandSteps() {
	j.linkSteps()
	steps := j.rounds() * j.stepsPerRound()
	j.tasks, j.unfinishedTasks, j.checkedOutTasks, j.failures = make([][]task, steps), make([]int, steps), make([]int, steps), make([]uint32, steps)
	for s := range j.unfinishedTasks {
		j.unfinishedTasks[s] = int(j.step(s).Tasks)
		if j.unfinishedTasks[s] > 0 {
			j.unfinishedSteps++
		}
	}
}

// linkSteps works out the dependencies between the steps of a round, and its paths.
func (j *job) linkSteps() {
	perRound := j.stepsPerRound()
	stepByName := map[string]int{}
	for index, step := range j.spec.GetSteps() {
		stepByName[step.Name] = index
	}
	j.dependencies, j.dependents = make([][]int, perRound), make([][]int, perRound)
	for index, step := range j.spec.GetSteps() {
		for _, name := range step.Dependencies {
			if dependency, found := stepByName[name]; found {
				j.dependencies[index] = append(j.dependencies[index], dependency)
				j.dependents[dependency] = append(j.dependents[dependency], index)
			}
		}
	}
	j.remainingPaths = make([][]PathStep, perRound)
	for index := range j.spec.GetSteps() {
		if path := j.longestPath(index, perRound); pathEstimateUs(path) > pathEstimateUs(j.criticalPath) {
			j.criticalPath = path
		}
	}
}

// longestPath is the longest path from a step on through maxDepth steps at most, which
// ends the search where the dependencies have a cycle.
func (j *job) longestPath(index, maxDepth int) []PathStep {
	if j.remainingPaths[index] != nil || maxDepth == 0 {
		return j.remainingPaths[index]
	}
	var longest []PathStep
	for _, next := range j.dependents[index] {
		if path := j.longestPath(next, maxDepth-1); pathEstimateUs(path) > pathEstimateUs(longest) {
			longest = path
		}
	}
	step := j.spec.Steps[index]
	j.remainingPaths[index] = append([]PathStep{{step.EstimatedRunUs, step.CoresMilli * int64(step.Tasks), int64(step.Tasks)}}, longest...)
	return j.remainingPaths[index]
}

func pathEstimateUs(path []PathStep) (sum int64) {
	for _, step := range path {
		sum += step.EstimateUs
	}
	return sum
}

// openRound makes the tasks of the next round.
func (j *job) openRound() {
	for index, step := range j.spec.GetSteps() {
		j.tasks[j.firstStep(j.openedRounds)+index] = make([]task, step.Tasks)
	}
	j.openedRounds++
}

// isStepOpen reports whether a step's round is open and its dependencies are done.
func (j *job) isStepOpen(s int) bool {
	index := s % j.stepsPerRound()
	first := s - index
	if first >= j.firstStep(j.openedRounds) {
		return false
	}
	for _, dependency := range j.dependencies[index] {
		if j.unfinishedTasks[first+dependency] > 0 {
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
		return Inactive // members of a gang are ready again when all have stopped
	}
	return Ready
}

// sharedTask returns the task that holds the shared failure count and checkpoint: the task
// itself, or the first member of its gang.
func (j *job) sharedTask(s, t int) *task {
	if j.step(s).Gang {
		return &j.tasks[s][0]
	}
	return &j.tasks[s][t]
}

// hasLostAttempt reports whether an attempt of a task, or of any member of its gang, was
// lost with its worker.
func (j *job) hasLostAttempt(s, t int) bool {
	if !j.step(s).Gang {
		return len(j.tasks[s][t].lostAttempts) > 0
	}
	return slices.ContainsFunc(j.tasks[s], func(member task) bool { return len(member.lostAttempts) > 0 })
}

// uncountCheckout counts a task of a step as no longer checked out.
func (j *job) uncountCheckout(s int) {
	j.checkedOutTasks[s]--
	j.checkedOut--
}

// hasRun reports whether an attempt is known to have run: it ended, or was lost.
func (t *task) hasRun() bool {
	return t.state == schema.TaskState_TASK_DONE || t.failures > 0 || len(t.lostAttempts) > 0
}

// reset makes a task wait for its next checkout.
func (t *task) reset() {
	t.state, t.worker, t.incarnation, t.checkoutSequence = schema.TaskState_TASK_WAITING, "", 0, 0
	t.isGangStopping, t.isGangStarted = false, false
}
