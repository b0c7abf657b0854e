package queue

// This file defines a live job with its rounds, steps and tasks.

import (
	"slices"

	"sparnotch/internal/schema"
)

// job is a live job. The steps of all its rounds are numbered consecutively: step s of the job
// is step s%stepsPerRound of round s/stepsPerRound. The tasks of a round are created when
// the round opens.
type job struct {
	id           uint64 // number of the job in the order of admission
	name         string
	digest       []byte // digest of the submitted job, see schema.Enqueue
	payloadIndex uint64 // index of the log entry that holds the payload
	startUs      int64  // queue time at which the first round is due, µs
	state        schema.JobState
	finalState   schema.JobState // state in which a stopping job will end
	reason       string          // why the job was cancelled or failed, for callers
	spec         *schema.Job
	tenant       string // tenant of the job, fixed at its admission; empty if it has none
	isDehydrated bool   // whether the job comes from a dehydrated snapshot, so that spec lacks the text

	// Indexed by step, over all rounds.
	tasks           [][]task // nil for a step whose round isn't open
	unfinishedTasks []int    // number of tasks that aren't done
	checkedOutTasks []int    // number of tasks that are checked out
	failures        []uint32 // number of counted failures

	openedRounds    int
	unfinishedSteps int    // steps with unfinished tasks
	checkedOutCount int    // checked-out tasks of all steps
	startedTasks    uint64 // checkouts of all tasks so far

	// Indexed by the position of a step within its round.
	dependencies   [][]int      // positions of the steps that must be done first
	dependents     [][]int      // positions of the steps that depend on the step
	remainingPaths [][]PathStep // longest path from the step to the end of the round, starting with the step

	criticalPath []PathStep // longest path through a round
}

// task is one task of a job. The members of a gang share their failures, failedAttempt and
// checkpoint, which are stored in the first member (see job.sharedTask).
type task struct {
	state            schema.TaskState
	attempt          uint32   // number of the latest attempt; 0 before the first checkout
	failures         uint32   // counted failures
	failedAttempt    uint32   // latest attempt that was counted as failed
	requeues         uint32   // counted returns that weren't failures
	worker           string   // worker that the task is checked out for
	incarnation      uint64   // incarnation of the worker
	checkoutSequence uint64   // sequence number of the event that reported the checkout
	isGangStopping   bool     // the checked-out task is to be stopped because a member of its gang ended
	isGangStarted    bool     // the task's gang has been started, see startGang
	lostAttempts     []uint32 // attempts that were returned as lost; a late report may still show that one failed
	checkpoint       string   // latest checkpoint, from which the next start resumes
}

// stepsPerRound returns the number of steps in each round.
func (j *job) stepsPerRound() int { return len(j.spec.GetSteps()) }

// rounds returns the number of rounds, which is at least one.
func (j *job) rounds() int { return max(1, int(j.spec.GetRounds())) }

// firstStep returns the index of a round's first step.
func (j *job) firstStep(round int) int { return round * j.stepsPerRound() }

// step returns the spec of step s.
func (j *job) step(s int) *schema.Step { return j.spec.Steps[s%j.stepsPerRound()] }

// nextRoundUs returns the queue time in µs at which the first round that isn't open is due.
func (j *job) nextRoundUs() int64 {
	return j.startUs + int64(j.openedRounds)*max(0, j.spec.GetPeriodUs())
}

// roundAgeUs returns the time in µs from when a round was due until the queue time now.
func (j *job) roundAgeUs(round int, now int64) int64 {
	return now - j.startUs - int64(round)*max(0, j.spec.GetPeriodUs())
}

// expandSteps initializes the steps of all rounds. It opens no round.
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

// linkSteps computes the dependencies between the steps of a round and the longest paths
// through it.
func (j *job) linkSteps() {
	perRound := j.stepsPerRound()
	stepByName := map[string]int{}
	for stepInRound, step := range j.spec.GetSteps() {
		stepByName[step.Name] = stepInRound
	}
	j.dependencies, j.dependents = make([][]int, perRound), make([][]int, perRound)
	for stepInRound, step := range j.spec.GetSteps() {
		for _, name := range step.Dependencies {
			if dependency, found := stepByName[name]; found {
				j.dependencies[stepInRound] = append(j.dependencies[stepInRound], dependency)
				j.dependents[dependency] = append(j.dependents[dependency], stepInRound)
			}
		}
	}
	j.remainingPaths = make([][]PathStep, perRound)
	for stepInRound := range j.spec.GetSteps() {
		if path := j.longestPath(stepInRound, perRound); pathEstimateUs(path) > pathEstimateUs(j.criticalPath) {
			j.criticalPath = path
		}
	}
}

// longestPath returns the longest path that starts with a step and follows its dependents,
// measured by the estimated run times. The search goes at most maxDepth steps deep, so it ends
// even if the dependencies have a cycle.
func (j *job) longestPath(stepInRound, maxDepth int) []PathStep {
	if j.remainingPaths[stepInRound] != nil || maxDepth == 0 {
		return j.remainingPaths[stepInRound]
	}
	var longest []PathStep
	for _, next := range j.dependents[stepInRound] {
		if path := j.longestPath(next, maxDepth-1); pathEstimateUs(path) > pathEstimateUs(longest) {
			longest = path
		}
	}
	step := j.spec.Steps[stepInRound]
	j.remainingPaths[stepInRound] = append([]PathStep{{step.EstimatedRunUs, step.CoresMilli * int64(step.Tasks), int64(step.Tasks)}}, longest...)
	return j.remainingPaths[stepInRound]
}

// pathEstimateUs returns the sum of the estimated run times of a path's steps in µs.
func pathEstimateUs(path []PathStep) (sum int64) {
	for _, step := range path {
		sum += step.EstimateUs
	}
	return sum
}

// openRound creates the tasks of the next round.
func (j *job) openRound() {
	for stepInRound, step := range j.spec.GetSteps() {
		j.tasks[j.firstStep(j.openedRounds)+stepInRound] = make([]task, step.Tasks)
	}
	j.openedRounds++
}

// isStepOpen reports whether the round of a step is open and all dependencies of the step are
// done.
func (j *job) isStepOpen(s int) bool {
	stepInRound := s % j.stepsPerRound()
	first := s - stepInRound
	if first >= j.firstStep(j.openedRounds) {
		return false
	}
	for _, dependency := range j.dependencies[stepInRound] {
		if j.unfinishedTasks[first+dependency] > 0 {
			return false
		}
	}
	return true
}

// status returns the status of a task as the scheduler sees it.
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
		return Inactive // the members of a gang become ready again only when all have stopped
	}
	return Ready
}

// sharedTask returns the task that holds the failures, the latest failed attempt and the
// checkpoint of a task: the first member of its gang, or the task itself if it has no gang.
func (j *job) sharedTask(s, t int) *task {
	if j.step(s).Gang {
		return &j.tasks[s][0]
	}
	return &j.tasks[s][t]
}

// hasLostAttempt reports whether an attempt of a task, or of any member of its gang, was lost
// with its worker and hasn't been counted as failed since.
func (j *job) hasLostAttempt(s, t int) bool {
	if !j.step(s).Gang {
		return len(j.tasks[s][t].lostAttempts) > 0
	}
	return slices.ContainsFunc(j.tasks[s], func(member task) bool { return len(member.lostAttempts) > 0 })
}

// decrementCheckedOut decrements the counts of checked-out tasks of a step and of its job.
func (j *job) decrementCheckedOut(s int) {
	j.checkedOutTasks[s]--
	j.checkedOutCount--
}

// hasRun reports whether an attempt of the task is known to have run, because it was done,
// failed or was lost with its worker.
func (t *task) hasRun() bool {
	return t.state == schema.TaskState_TASK_DONE || t.failures > 0 || len(t.lostAttempts) > 0
}

// reset puts a task back into the waiting state, without a worker.
func (t *task) reset() {
	t.state, t.worker, t.incarnation, t.checkoutSequence = schema.TaskState_TASK_WAITING, "", 0, 0
	t.isGangStopping, t.isGangStarted = false, false
}
