package agent

import (
	"cmp"
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// attemptKey identifies one attempt at a task.
type attemptKey struct {
	task    TaskName
	attempt uint32
}

func compareAttempts(a, b attemptKey) int {
	return cmp.Or(
		cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Round, b.task.Round), cmp.Compare(a.task.StepInRound, b.task.StepInRound),
		cmp.Compare(a.task.Task, b.task.Task), cmp.Compare(a.attempt, b.attempt),
	)
}

func sortedKeys[V any](set map[attemptKey]V) []attemptKey {
	return slices.SortedFunc(maps.Keys(set), compareAttempts)
}

// runState is the state of a run as far as the agent knows.
type runState int

const (
	starting   runState = iota + 1 // the start was ordered, but the worker hasn't confirmed it
	running                        // the worker has confirmed the start
	stopping                       // the worker hasn't confirmed the stop
	unresolved                     // the attempt can't start any more; an inspection shows whether it ever did
)

// run is an attempt that should run, or may be running, on the worker.
type run struct {
	key             attemptKey
	state           runState
	text            string
	checkpoint      string // from the order at first, later from the worker's reports
	percent         int64  // share of the work that is done
	cores           int64  // thousandths of a core
	memory          int64  // MB
	accelerators    int64
	tenant          string           // tenant of the job; empty: none, or not known since this process started
	firstSeenAt     eventloop.Micros // when the agent first learned of the run
	fencingToken    uint64           // fencing token of the newest start call; 0: no start call was sent
	firstCallAt     eventloop.Micros // when the first start call was sent
	openCall        uint64           // number of the pending start or stop call; 0: none is pending
	callAttempts    int              // start or stop calls that were sent in this state
	retryAt         eventloop.Micros
	lastCall        uint64 // callSequence of the last call or reply for this run
	stoppedAt       eventloop.Micros
	usesCapacity    bool // the run is reported to the scheduler as running
	isConfirmed     bool // the worker has confirmed that the task is running
	mayStillStart   bool // a start call timed out, and the worker may still carry it out
	isStopConfirmed bool // the worker has confirmed the stop
}

// endedAttempt is an ended attempt that is reported to the scheduler until it is
// acknowledged.
type endedAttempt struct {
	number         uint64 // EndedTask.Number; 0: the worker never listed this end
	status         *schema.TaskStatus
	isAcknowledged bool
}

// workerState holds what the agent knows about the worker's current incarnation.
type workerState struct {
	id              string
	heartbeat       Heartbeat        // latest heartbeat
	lastHeard       eventloop.Micros // when the latest heartbeat came
	isDraining      bool
	drainReportedAt eventloop.Micros // when the latest heartbeat with DrainRemaining came
	isReplaced      bool             // another incarnation has replied at the worker's address
	hasReplied      bool             // the worker has replied to a call
	departedAt      eventloop.Micros
	sampledClock    eventloop.Micros // lower bound of the worker's clock at clockSampledAt
	clockSampledAt  eventloop.Micros

	// The worker lease determines which scheduler may give orders. Under it, the run
	// lease limits how long the worker may run tasks.
	scheduler          string           // ID of the process that holds the worker lease
	fencingToken       uint64           // newest fencing token of the worker lease
	inspectedToken     uint64           // fencing token of the inspection on which reports are based; 0: an inspection is due
	inspectAfterCall   uint64           // an inspection counts only if its call number is higher than this
	callsBlockedUntil  eventloop.Micros // no calls are sent until then, because the worker has seen a higher token
	registeredAt       eventloop.Micros // when the last request to register the worker was sent
	runLeaseExpiresAt  eventloop.Micros // by the agent's clock
	runLeaseDuration   eventloop.Micros
	confirmedHoldUntil eventloop.Micros // end of the hold that the worker has confirmed, by the agent's clock
	maxHoldUntil       eventloop.Micros // latest time, by the agent's clock, at which any hold that was ever sent ends
	hasLapsed          bool             // the worker was unresponsive until its hold ended, so it runs nothing
	slowestReply       eventloop.Micros // decaying maximum of the reply times
	missedInspections  int              // consecutive inspections without a successful reply
	lastCallLostAt     eventloop.Micros // when a call last timed out

	runs                map[attemptKey]*run
	unacknowledged      map[attemptKey]*endedAttempt    // ends that the scheduler hasn't acknowledged
	listedEnds          map[uint64]*endedAttempt        // by EndedTask.Number, for numbers above acknowledgedThrough
	acknowledgedThrough uint64                          // see Call.AcknowledgedThrough
	highestEnd          uint64                          // highest number ever in listedEnds
	declaredEnded       map[attemptKey]eventloop.Micros // attempts that the agent declared ended without a report by the worker, and when

	pendingCalls        map[uint64]*pendingCall
	longInspection      uint64 // call number of the open inspection that waits for a task to end; 0: none is open
	shortInspection     uint64 // call number of the open inspection that is answered at once; 0: none is open
	newestInspection    uint64 // call number of the newest inspection whose list of running tasks was applied
	nextLongInspection  eventloop.Micros
	inspectionPause     eventloop.Micros // pause after an inspection that showed new ends
	pausedUntil         eventloop.Micros // end of the current inspectionPause
	lastEndAt           eventloop.Micros // when an inspection last showed new ends
	lastAnsweredAt      eventloop.Micros // when the worker last answered an inspection
	deliveredThrough    uint64           // highest AcknowledgedThrough of the inspections that were answered
	backoff             eventloop.Micros // delay before the next inspection when it isn't sent at once
	nextShortInspection eventloop.Micros
	needsInspection     bool

	pendingPoll          *pendingPoll
	nextPollAt           eventloop.Micros
	lastPollAt           eventloop.Micros
	unansweredSince      eventloop.Micros // when the first poll was sent that the scheduler hasn't answered; 0: none
	unansweredRouteSince eventloop.Micros // when the agent last went on to another way to the scheduler
	hasChanges           bool             // something to report has changed since the last poll
	rejections           int              // consecutive rejected polls
}

// newWorkerState returns the state of an incarnation about which nothing is known yet.
// Calls that an earlier run of this process sent may extend the worker's hold until
// defaultRunLeaseDuration after startedAt.
func newWorkerState(id string, startedAt eventloop.Micros) *workerState {
	return &workerState{
		id:               id,
		runLeaseDuration: defaultRunLeaseDuration,
		maxHoldUntil:     startedAt + defaultRunLeaseDuration,
		backoff:          minBackoff,
		runs:             map[attemptKey]*run{},
		unacknowledged:   map[attemptKey]*endedAttempt{},
		listedEnds:       map[uint64]*endedAttempt{},
		declaredEnded:    map[attemptKey]eventloop.Micros{},
		pendingCalls:     map[uint64]*pendingCall{},
	}
}

// hasStartedRuns reports whether tasks may be running on the worker. Runs whose start
// isn't confirmed don't count, because their start calls renew the hold themselves.
func (w *workerState) hasStartedRuns() bool {
	for _, r := range w.runs {
		if r.state != starting {
			return true
		}
	}
	return false
}

// taskStatus returns the status of an attempt as it is reported to the scheduler.
func (w *workerState) taskStatus(key attemptKey, state, checkpoint string) *schema.TaskStatus {
	status := &schema.TaskStatus{
		Name: key.task.Job, Round: key.task.Round, StepInRound: key.task.StepInRound, Task: key.task.Task, Attempt: key.attempt,
		State: state, Checkpoint: checkpoint,
	}
	if r := w.runs[key]; r != nil {
		status.CoresMilli, status.MemoryMb, status.Accelerators, status.Percent = r.cores, r.memory, r.accelerators, r.percent
		status.Tenant = r.tenant
	}
	return status
}
