package agent

import (
	"cmp"
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// attemptKey names one attempt at a task.
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

// runState is what the agent knows of a run.
type runState int

const (
	starting   runState = iota + 1 // ordered; the worker hasn't confirmed the start
	running                        // the worker has confirmed it
	stopping                       // the worker hasn't confirmed the stop
	unresolved                     // it can't start any more; an inspection shows whether it ever did
)

// run is an attempt that is to run, or may be running, at the worker.
type run struct {
	key             attemptKey
	state           runState
	text            string
	checkpoint      string // as the order carries it, then as the worker reports it
	percent         int64
	cores           int64 // thousandths of a core
	memory          int64 // MB
	accelerators    int64
	tenant          string           // of the job; empty: nobody's, or not known since this process started
	firstSeenAt     eventloop.Micros // when the agent first had it
	fencingToken    uint64           // of the newest start call; 0: none was sent
	firstCallAt     eventloop.Micros // first start call
	openCall        uint64           // number of the pending call about it; 0: none
	callAttempts    int              // start or stop calls in this state
	retryAt         eventloop.Micros
	lastCall        uint64 // number of the last call, or reply, about it
	stoppedAt       eventloop.Micros
	usesCapacity    bool // is reported as running
	isConfirmed     bool // the worker has confirmed that it runs
	mayStillStart   bool // a start call timed out and may yet be carried out
	isStopConfirmed bool // the worker has confirmed the stop
}

// endedAttempt is an ended run that the scheduler hasn't acknowledged.
type endedAttempt struct {
	number         uint64 // in the worker's list of ended tasks; 0: it was never listed there
	status         *schema.TaskStatus
	isAcknowledged bool
}

// workerState is what the agent knows of the worker's current incarnation.
type workerState struct {
	id              string
	heartbeat       Heartbeat // the latest
	lastHeard       eventloop.Micros
	isDraining      bool
	drainReportedAt eventloop.Micros // when the latest heartbeat with DrainRemaining came
	isReplaced      bool             // another incarnation has replied at its address
	hasReplied      bool             // to a call
	departedAt      eventloop.Micros
	sampledClock    eventloop.Micros // the least that the worker's clock shows at clockSampledAt
	clockSampledAt  eventloop.Micros

	// The worker lease (which scheduler may give orders), and under it the run lease (until
	// when the worker may run tasks).
	scheduler          string           // holder of the worker lease
	fencingToken       uint64           // newest of the worker lease
	inspectedToken     uint64           // that of the inspection behind what is reported; 0: one is due
	inspectAfterCall   uint64           // an inspection counts only if its number is above this
	callsBlockedUntil  eventloop.Micros // no calls until then: the worker has seen a higher token
	registeredAt       eventloop.Micros
	runLeaseExpiresAt  eventloop.Micros // by the agent's clock
	runLeaseDuration   eventloop.Micros
	confirmedHoldUntil eventloop.Micros // until when the worker has confirmed that it holds its runs
	maxHoldUntil       eventloop.Micros // by then every hold that was ever sent is over
	hasLapsed          bool             // it was unresponsive until then, so nothing runs there
	slowestReply       eventloop.Micros // decaying maximum of reply times
	missedInspections  int              // in a row
	lastCallLostAt     eventloop.Micros // when a call last timed out

	runs                map[attemptKey]*run
	unacknowledged      map[attemptKey]*endedAttempt // by the scheduler
	listedEnds          map[uint64]*endedAttempt     // numbers above acknowledgedThrough
	acknowledgedThrough uint64
	highestEnd          uint64                          // number in listedEnds
	declaredEnded       map[attemptKey]eventloop.Micros // reported as ended by the agent alone, and when

	pendingCalls        map[uint64]*pendingCall
	longInspection      uint64 // number of the one that waits for an end; 0: none is open
	shortInspection     uint64 // number of the one that replies at once; 0: none is open
	newestInspection    uint64 // number of the one whose list was taken over
	nextLongInspection  eventloop.Micros
	inspectionPause     eventloop.Micros // after an inspection that has shown ends
	pausedUntil         eventloop.Micros // by that
	lastEndAt           eventloop.Micros // when an inspection has last shown ends
	lastAnsweredAt      eventloop.Micros // when an inspection was last answered
	conveyedThrough     uint64           // acknowledgedThrough of the newest inspection that was answered
	backoff             eventloop.Micros // of inspections
	nextShortInspection eventloop.Micros
	needsInspection     bool

	pendingPoll     *pendingPoll
	nextPollAt      eventloop.Micros
	lastPollAt      eventloop.Micros
	unansweredSince eventloop.Micros // first poll that the scheduler hasn't answered; 0: none
	hasChanges      bool             // since the last poll
	rejections      int              // polls in a row
}

// newWorkerState starts from nothing: what an earlier run of this process may have
// sent can hold the worker's runs for a default lease from firstSeenAt on.
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

// hasStartedRuns reports whether anything may run there besides starts that are
// still open and renew the hold themselves.
func (w *workerState) hasStartedRuns() bool {
	for _, r := range w.runs {
		if r.state != starting {
			return true
		}
	}
	return false
}

// taskStatus is the status of an attempt as the scheduler gets it.
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
