package scheduler

import (
	"cmp"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// Outcomes of an attempt at a task, as reported to the task's queue.
const (
	outcomeDone    = "done"
	outcomeFailed  = "failed"
	outcomeStopped = "stopped"
	outcomeLost    = "lost"
)

// States that a worker reports for a run that hasn't ended.
const (
	runStateHeld    = "held" // the task's resources are reserved until its gang starts
	runStateRunning = "running"
)

// taskKey identifies a task, across all its attempts. Steps are numbered across the rounds of a job.
type taskKey struct {
	queue string
	job   uint64
	step  uint32
	task  uint32
}

// stepKey identifies a step in one round of a job.
type stepKey struct {
	queue string
	job   uint64
	step  uint32
}

func (k taskKey) stepKey() stepKey { return stepKey{k.queue, k.job, k.step} }

func (k taskKey) toSchema() *schema.TaskKey {
	return &schema.TaskKey{Job: k.job, Step: k.step, Task: k.task}
}

func compareTaskKeys(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.job, b.job), cmp.Compare(a.step, b.step), cmp.Compare(a.task, b.task))
}

// attemptKey identifies one attempt at a task.
type attemptKey struct {
	taskKey
	attempt uint32
}

func (k attemptKey) compare(other attemptKey) int {
	return cmp.Or(compareTaskKeys(k.taskKey, other.taskKey), cmp.Compare(k.attempt, other.attempt))
}

func attemptKeyOf(status *schema.TaskStatus) attemptKey {
	return attemptKey{taskKey{status.Queue, status.Job, status.Step, status.Task}, status.Attempt}
}

// task is the scheduler's view of a task that is ready, checked out or stopping. It lasts for
// one state of the task: each event replaces it, and what remains valid is copied.
type task struct {
	key                taskKey
	state              queue.Status
	attempt            uint32
	worker             string // worker to which the task is checked out; empty while the task is ready
	incarnation        uint64 // incarnation of that worker
	sequence           uint64 // sequence number of the event that led to this state
	jobName            string
	tenant             string // owner of the job; empty: none
	round, stepInRound uint32
	spec               *schema.Step
	text               string           // text of the job, which the worker gets
	stateSince         eventloop.Micros // when the task became ready, or was checked out
	failures           uint32           // failures that the queue has counted so far
	isLost             bool             // an attempt at the task, or at its gang, was lost with its worker
	isBoosted          bool             // the current or last checkout counts against the pool's boosted share
	initialCheckpoint  string           // checkpoint from which the next start resumes
	roundDueAt         eventloop.Micros // when the round of its job was due to begin
	criticalPath

	reservedWorker  string // worker to which a checkout has been proposed but not committed
	reservedAt      eventloop.Micros
	hasOpenCheckout bool // the task is in queueView.openCheckouts
	placementReason placementReason

	evictOutcome      string           // outcome to report once the worker has stopped the task; empty: not evicted
	returnedAt        eventloop.Micros // when the attempt was last reported as lost; 0: never
	isEndAcknowledged bool             // the queue has acknowledged the end, but the event hasn't arrived yet

	isGangStarted       bool             // the queue has committed the start of the gang
	gangStartProposedAt eventloop.Micros // when the gang's start was last proposed; 0: never
	gangHeldAt          eventloop.Micros // when the whole gang was first seen held; 0: never

	attemptProgress
}

// attemptProgress holds the observations of one attempt.
type attemptProgress struct {
	orderedAt        eventloop.Micros // when its start order was last sent
	startedAt        eventloop.Micros // when it began to run, by the first status that showed it; 0: not yet
	progressedAt     eventloop.Micros // when its percentage last changed
	percent          int64
	checkpointedAt   eventloop.Micros // when its checkpoint last changed
	lastCheckpoint   string
	lastSample       progressSample
	creditedFraction float64          // fraction of the run that was already counted as a success of its worker
	stuckStops       uint32           // number of times that the task was stopped because it was stuck
	stopRequestedAt  eventloop.Micros // when the task was first seen to be stopping
	isStopOverdue    bool             // the stop takes too long, so preemption doesn't count on its resources
}

// isStopping reports whether the task must be stopped on its worker.
func (t *task) isStopping() bool { return t.state == queue.Stopping || t.evictOutcome != "" }

// isReturned reports whether the attempt was reported as lost to its queue. The queue may commit
// the loss at any time and the task may then start elsewhere, so this attempt must not start any
// more, even if its worker is responsive again.
func (t *task) isReturned() bool { return t.returnedAt > 0 }

// isActive reports whether the task is checked out and isn't being stopped.
func (t *task) isActive() bool { return t.state == queue.CheckedOut && t.evictOutcome == "" }

// latestCheckpoint returns the newest known checkpoint, or "" if the step saves none.
func (t *task) latestCheckpoint() string {
	if !t.spec.Checkpoints {
		return ""
	}
	return cmp.Or(t.lastCheckpoint, t.initialCheckpoint)
}

// observeRun records the start, progress and checkpoint that a heartbeat reports for a run.
func (w *worker) observeRun(now eventloop.Micros, status *schema.TaskStatus) {
	t := w.taskForAttempt(attemptKeyOf(status))
	if t == nil || status.State == runStateHeld {
		return
	}
	if t.startedAt == 0 {
		t.startedAt = now - eventloop.Micros(status.RunUs)
		if status.RunUs == 0 && t.orderedAt > 0 {
			t.startedAt = t.orderedAt
		}
		t.progressedAt, t.percent = now, status.Percent
	}
	if status.Percent != t.percent {
		t.progressedAt, t.percent = now, status.Percent
	}
	if status.Checkpoint != "" && status.Checkpoint != t.lastCheckpoint {
		t.lastCheckpoint, t.checkpointedAt = status.Checkpoint, now
	}
}
