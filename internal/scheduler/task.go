package scheduler

import (
	"cmp"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// Outcomes of a task's attempt, as reported to its queue.
const (
	outcomeDone    = "done"
	outcomeFailed  = "failed"
	outcomeStopped = "stopped"
	outcomeLost    = "lost"
)

// States of a run that hasn't ended, in a worker's task statuses.
const (
	runStateHeld    = "held" // its resources are reserved, it waits for the gang's start
	runStateRunning = "running"
)

// taskKey is a task, whatever its attempt; step counts over the rounds of the job.
type taskKey struct {
	queue string
	job   uint64
	step  uint32
	task  uint32
}

// stepKey is a step of one round of a job.
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

// attemptKey is one attempt at a task.
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

// task is the scheduler's view of a task that is ready, checked out or stopping.
type task struct {
	key                taskKey
	state              queue.Status
	attempt            uint32
	worker             string // it is checked out to; empty while ready
	incarnation        uint64 // of that worker
	sequence           uint64 // of the event that checked it out
	jobName            string
	tenant             string // whose job it is; empty: nobody's
	round, stepInRound uint32
	spec               *schema.Step
	text               string           // the job's, for the worker
	stateSince         eventloop.Micros // in its state
	failures           uint32           // counted so far
	isLost             bool             // an attempt of it, or of its gang, was lost with its worker
	isBoosted          bool             // its checkout is, or was, paid from the pool's boosted share
	initialCheckpoint  string           // that its next start begins from
	roundDueAt         eventloop.Micros // when its job's round was due to begin
	criticalPath

	reservedWorker  string // while its checkout is on the way
	reservedAt      eventloop.Micros
	hasOpenCheckout bool // see queueView.openCheckouts
	placementReason placementReason

	evictOutcome      string           // to report once its worker has stopped it; empty: it may stay
	returnedAt        eventloop.Micros // its loss was last reported
	isEndAcknowledged bool             // by the queue, ahead of the event that says so

	isGangStarted       bool             // the start of its gang is committed
	gangStartProposedAt eventloop.Micros // that was last proposed
	gangHeldAt          eventloop.Micros // the whole gang was first seen held

	attemptProgress
}

// attemptProgress is what was observed of one attempt.
type attemptProgress struct {
	orderedAt        eventloop.Micros // its start order last left
	startedAt        eventloop.Micros // it was first seen running; 0: not yet
	progressedAt     eventloop.Micros // its percentage last changed
	percent          int64
	checkpointedAt   eventloop.Micros // its checkpoint last changed
	lastCheckpoint   string
	lastSample       progressSample
	creditedFraction float64          // of its run, that has counted as successful for its worker
	stuckStops       uint32           // how often the task was stopped for being stuck
	stopRequestedAt  eventloop.Micros // it was first seen wanting to be stopped
	isStopOverdue    bool             // preemption no longer waits for its resources
}

// isStopping reports whether the task is to be stopped on its worker.
func (t *task) isStopping() bool { return t.state == queue.Stopping || t.evictOutcome != "" }

// isReturned reports whether the attempt was reported as lost to its queue. That may be
// committed at any time, and the task be started elsewhere, so it mustn't start any more,
// though its worker be back.
func (t *task) isReturned() bool { return t.returnedAt > 0 }

// isActive reports whether the task is checked out and may stay so.
func (t *task) isActive() bool { return t.state == queue.CheckedOut && t.evictOutcome == "" }

// latestCheckpoint is the newest checkpoint known, for steps that save any.
func (t *task) latestCheckpoint() string {
	if !t.spec.Checkpoints {
		return ""
	}
	return cmp.Or(t.lastCheckpoint, t.initialCheckpoint)
}

// observeRun notes what a heartbeat shows of a run of the worker.
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
