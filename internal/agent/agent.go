package agent

import (
	"cmp"
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// TickInterval is the tick of the table.
const TickInterval = 20 * eventloop.Millisecond

const (
	registrationInterval  = 500 * eventloop.Millisecond // between two words to the cluster state of a worker it doesn't know
	pollTimeout           = 700 * eventloop.Millisecond // an announce not answered by then is sent anew
	unansweredTimeout     = 3 * pollTimeout             // and after so long we say that we hear nothing
	pollWait              = 400 * eventloop.Millisecond // how long an answer may be held back
	rejectedPollDelay     = 100 * eventloop.Millisecond // an announce turned away is sent again after this
	minPollInterval       = 10 * eventloop.Millisecond  // between two announces of changes at least
	idlePollDelay         = 50 * eventloop.Millisecond  // rest after an early answer that said nothing new
	pauseThreshold        = eventloop.Second            // after a longer pause the worker is looked at first
	minBackoff            = 100 * eventloop.Millisecond // first rest after a failed look or stop
	maxBackoff            = 400 * eventloop.Millisecond // and the longest
	startTimeout          = 900 * eventloop.Millisecond // a start is tried for so long
	startRetryDelay       = 50 * eventloop.Millisecond  // between two tries of it, at least
	minLeaseForStart      = 50 * eventloop.Millisecond  // no start when the lease ends sooner
	predecessorCallPeriod = 10 * eventloop.Second       // calls of this process's forerunner may still be carried out
	callTimeout           = 3 * eventloop.Second        // a call whose reply never came was silent
	inspectWait           = eventloop.Second            // how long a look waits while something runs
	lossyInspectWait      = 80 * eventloop.Millisecond  // and where calls have been lost of late, for a lost one is missed so late
	callLossPeriod        = 5 * eventloop.Second        // how long that is borne in mind
	maxReplyTimeout       = 400 * eventloop.Millisecond // how long an answer is waited for at most
	minReplyTimeout       = 40 * eventloop.Millisecond  // and at least
	replyTimeoutFactor    = 4                           // times the slowest of late
	idleInspectWait       = 2 * eventloop.Second        // and while nothing does
	fencedDelay           = 300 * eventloop.Millisecond // a worker that has seen a higher fence is left alone for so long
	departedReportPeriod  = 10 * eventloop.Second       // the ends of a worker that has departed are told for so long
	defaultStopTimeout    = 2 * eventloop.Second
	defaultLeaseDuration  = 4 * eventloop.Second // a lease, until one is heard of
	maxHoldDuration       = 3 * eventloop.Second // a worker holds its work for so long at a time: a deaf one's is given out again then
	holdMargin            = 20 * eventloop.Millisecond
	maxEndsPerReply       = 500                   // ends in one look
	maxFormerIncarnations = 16                    // former lives remembered
	abandonedRetention    = 60 * eventloop.Second // attempts given up are remembered for so long at least
	maxAbandoned          = 4096                  // and all of them up to so many
	rejectionsBeforeJump  = 8                     // announces turned away in a row before their number leaps
	sequenceJump          = 1 << 32
)

// attemptKey names one start of a task.
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

// runState is what is known of a run.
type runState int

const (
	starting   runState = iota + 1 // ordered; no answer yet
	running                        // by the worker's own word
	stopping                       // a stop is to be answered
	unresolved                     // it can't begin any more: a look tells whether it ever did
)

type run struct {
	key           attemptKey
	state         runState
	text          string
	checkpoint    string // as a start carries it, then as the worker tells
	percent       int64
	cores         int64
	memory        int64
	startedAt     eventloop.Micros // when we first heard of it
	fencingToken  uint64           // of the newest try to start it
	firstCallAt   eventloop.Micros // first try to start it
	openCall      uint64           // that is open
	callAttempts  int
	retryAt       eventloop.Micros
	lastCall      uint64 // number of the last call, or reply, about it
	stoppedAt     eventloop.Micros
	usesCapacity  bool // takes room, as far as we know
	isConfirmed   bool // the worker has told that it runs
	mayStillStart bool // a start may yet be carried out
	isStopped     bool // a stop was answered
}

// endedAttempt is one that the scheduler hasn't noted.
type endedAttempt struct {
	number         uint64 // 0: the worker never listed it
	status         *schema.TaskStatus
	isAcknowledged bool
}

// pendingCall is a call whose reply is awaited.
type pendingCall struct {
	action       Action
	key          attemptKey
	sentAt       eventloop.Micros
	fencingToken uint64
	wait         eventloop.Micros
	holdUntil    eventloop.Micros
}

type pendingPoll struct {
	sequence        uint64
	sentAt          eventloop.Micros
	scheduler       string
	replacedWorkers []string
}

// formerIncarnation is a life that is over: surely by its own word or that of another life
// in its place, else because another worker's beat came.
type formerIncarnation struct {
	worker        string
	lastHeartbeat uint64 // of its last beat
	isConfirmed   bool
}

// workerState is what is known of the worker that lives now.
type workerState struct {
	id              string
	heartbeat       Heartbeat
	lastHeard       eventloop.Micros
	isDraining      bool
	drainReportedAt eventloop.Micros // when the last word of the departure was heard
	isReplaced      bool             // another life answers where it was
	hasReplied      bool             // a call
	departedAt      eventloop.Micros
	sampledClock    eventloop.Micros // of the worker, at least, as of clockSampledAt
	clockSampledAt  eventloop.Micros

	scheduler          string
	fencingToken       uint64 // newest generation of the ward
	inspectedToken     uint64 // the inventory is from a look with this one; 0: one is due
	inspectAfterCall   uint64 // and from one later than this
	fencedUntil        eventloop.Micros
	registeredAt       eventloop.Micros
	leaseExpiresAt     eventloop.Micros // ends, by our clock
	leaseDuration      eventloop.Micros // that a lease lasts
	confirmedHoldUntil eventloop.Micros // what runs is held so long, as far as the worker has answered
	maxHoldUntil       eventloop.Micros // by then, whatever we have sent, its hold is over
	isHoldExpired      bool             // it was deaf until then, so nothing runs there
	slowestReply       eventloop.Micros // answer of late
	missedInspections  int              // looks in a row that nothing answered
	lastCallLostAt     eventloop.Micros // when a call was last found lost

	runs                map[attemptKey]*run
	unacknowledged      map[attemptKey]*endedAttempt // not noted
	listedEnds          map[uint64]*endedAttempt     // above acknowledgedThrough
	acknowledgedThrough uint64
	highestEnd          uint64                          // end listed
	abandoned           map[attemptKey]eventloop.Micros // attempts that we told to be over; the worker may not know them

	pendingCalls        map[uint64]*pendingCall
	longInspection      uint64 // the long look that is open
	shortInspection     uint64 // the short one
	newestInspection    uint64 // look whose list was taken
	nextLongInspection  eventloop.Micros
	backoff             eventloop.Micros
	nextShortInspection eventloop.Micros
	needsInspection     bool // a glance is wanted

	pendingPoll     *pendingPoll
	nextPollAt      eventloop.Micros
	lastPollAt      eventloop.Micros
	unansweredSince eventloop.Micros // first announce that its scheduler hasn't answered; 0: none
	hasChanges      bool
	rejections      int
}

// Agent is the agent's table.
type Agent struct {
	bounds          *schema.Bounds
	clusterState    *schema.ClusterState
	leader          string // of the cluster state
	worker          *workerState
	former          []formerIncarnation // newest last
	replacedWorkers []string            // those of them that no scheduler has heard of yet
	pollSequence    uint64              // of announces; above those of this process's forerunners
	callSequence    uint64              // of calls and of their replies, in the order they were seen
	startedAt       eventloop.Micros
	lastStepAt      eventloop.Micros
}

// New makes the table. Bounds are what the deployment promises; first is a
// number above that of any announce a forerunner of this process sent, such as
// the wall clock in microseconds.
func New(bounds *schema.Bounds, first uint64) *Agent {
	if bounds == nil {
		bounds = &schema.Bounds{}
	}
	return &Agent{bounds: bounds, clusterState: &schema.ClusterState{}, pollSequence: first}
}

// Step implements eventloop.Table.
func (a *Agent) Step(now eventloop.Micros, message eventloop.Message, effects eventloop.Effects) {
	if a.startedAt == 0 {
		a.startedAt = now
	}
	if a.lastStepAt > 0 && now-a.lastStepAt > pauseThreshold && a.worker != nil {
		// Much may have ended meanwhile, and others may have our orders' work. It was
		// we who were deaf.
		a.requireInspection(a.worker)
		a.worker.missedInspections, a.worker.unansweredSince = 0, 0
	}
	a.lastStepAt = now
	switch body := message.Body.(type) {
	case eventloop.Tick:
		a.expireCalls(now)
	case Heartbeat:
		a.handleHeartbeat(now, body)
	case Departed:
		a.handleDeparture(now, body)
	case Reply:
		a.handleReply(now, body)
	case *schema.ClusterStateResponse:
		a.handleClusterState(now, body)
	case *schema.WorkerPollResponse:
		a.handlePollResponse(now, message.From, body)
	}
	a.runDueActions(now, effects)
}

// action does what is due. The order matters: nothing is announced before the
// worker was looked at under the current fence.
func (a *Agent) runDueActions(now eventloop.Micros, effects eventloop.Effects) {
	w := a.worker
	if w == nil || w.isReplaced {
		return
	}
	a.register(now, w, effects)
	if w.departedAt == 0 {
		a.expireHold(now, w)
		a.inspectWorker(now, w, effects)
		a.sendDueOrders(now, w, effects)
	}
	a.sendPoll(now, w, effects)
}

func (a *Agent) handleHeartbeat(now eventloop.Micros, m Heartbeat) {
	w := a.worker
	if k := a.formerIndex(m.Worker); k >= 0 {
		// A late word of the dead can push the living aside in a young agent.
		// Whoever has never answered a call gives way to the one that goes on.
		former := a.former[k]
		if former.isConfirmed || m.Number <= former.lastHeartbeat || w == nil || w.hasReplied || w.departedAt > 0 {
			return
		}
		a.former = slices.Delete(a.former, k, k+1)
		a.replacedWorkers = slices.DeleteFunc(a.replacedWorkers, func(worker string) bool { return worker == m.Worker })
	}
	if w != nil && w.id != m.Worker {
		// One worker stands on a machine: whoever was here before is dead, and
		// all that ran there with it.
		a.recordFormer(w.id, w.heartbeat.Number, false)
		a.replacedWorkers = append(a.replacedWorkers, w.id)
		if len(a.replacedWorkers) > maxFormerIncarnations {
			a.replacedWorkers = a.replacedWorkers[1:]
		}
		w = nil
	}
	if w == nil {
		w = &workerState{
			id: m.Worker, runs: map[attemptKey]*run{}, unacknowledged: map[attemptKey]*endedAttempt{}, listedEnds: map[uint64]*endedAttempt{},
			pendingCalls: map[uint64]*pendingCall{}, leaseDuration: defaultLeaseDuration, backoff: minBackoff, maxHoldUntil: a.startedAt + defaultLeaseDuration, abandoned: map[attemptKey]eventloop.Micros{},
		}
		a.worker = w
		a.adoptLease(w)
	} else if m.Number <= w.heartbeat.Number {
		return
	}
	changed := w.heartbeat.Cores != m.Cores || w.heartbeat.Memory != m.Memory || w.heartbeat.Accelerators != m.Accelerators ||
		w.heartbeat.Pool != m.Pool || w.heartbeat.Rack != m.Rack || !slices.Equal(w.heartbeat.Labels, m.Labels)
	w.heartbeat, w.lastHeard = m, now
	a.sampleClock(now, w, m.Clock)
	if m.IsDraining {
		changed = changed || !w.isDraining
		w.isDraining, w.drainReportedAt = true, now
	}
	w.hasChanges = w.hasChanges || changed
}

func (a *Agent) formerIndex(worker string) int {
	return slices.IndexFunc(a.former, func(f formerIncarnation) bool { return f.worker == worker })
}

func (a *Agent) recordFormer(worker string, number uint64, confirmed bool) {
	if k := a.formerIndex(worker); k >= 0 {
		a.former[k].isConfirmed = a.former[k].isConfirmed || confirmed
		return
	}
	a.former = append(a.former, formerIncarnation{worker, number, confirmed})
	if len(a.former) > maxFormerIncarnations {
		a.former = a.former[1:]
	}
}

// handleDeparture takes the word of a worker that has ended in order: nothing runs
// there any more, so its tasks can be given back at once.
func (a *Agent) handleDeparture(now eventloop.Micros, m Departed) {
	a.recordFormer(m.Worker, 0, true)
	w := a.worker
	if w == nil || w.id != m.Worker || w.departedAt > 0 {
		return
	}
	w.isDraining, w.departedAt, w.hasChanges = true, now, true
	for _, key := range sortedKeys(w.runs) {
		a.markStopped(w, w.runs[key])
	}
}

// markReplaced: another life answered where this one was. Its successor's beat
// tells who.
func (a *Agent) markReplaced(w *workerState) {
	w.isReplaced = true
	a.recordFormer(w.id, w.heartbeat.Number, true)
}

// sampleClock keeps what the worker's clock shows at least. It showed that much when
// it answered, so it shows no less when the answer is here; and it may run 2%
// slow, which counts against old samples.
func (a *Agent) sampleClock(now eventloop.Micros, w *workerState, clock eventloop.Micros) {
	if clock > 0 && clock >= w.minClockAt(now) {
		w.sampledClock, w.clockSampledAt = clock, now
	}
}

func (w *workerState) minClockAt(now eventloop.Micros) eventloop.Micros {
	if w.clockSampledAt == 0 {
		return 0
	}
	return w.sampledClock + (now-w.clockSampledAt)*49/50
}

// holdDeadline is what a call holds the worker's work to, on the worker's clock: never
// later than our lease, but for what that clock may run slow from here on. 0:
// there is none to tell.
func (a *Agent) holdDeadline(now eventloop.Micros, w *workerState) eventloop.Micros {
	// Of a worker that seems deaf nobody knows whether it is held any longer, so
	// that the end of its hold doesn't move away.
	if w.clockSampledAt == 0 || now >= w.leaseExpiresAt || w.missedInspections > 0 {
		return 0
	}
	return w.minClockAt(now) + a.maxHoldDeadline(now, w) - now
}

func (a *Agent) handleClusterState(now eventloop.Micros, m *schema.ClusterStateResponse) {
	if leader := m.Leaders[clusterstate.Group]; leader != "" {
		a.leader = leader
	}
	if m.State == nil || m.State.Version <= a.clusterState.Version {
		return
	}
	a.clusterState = m.State
	if a.worker != nil {
		a.adoptLease(a.worker)
	}
}

// adoptLease takes over what the cluster state says of the worker's ward.
func (a *Agent) adoptLease(w *workerState) {
	lease := clusterstate.FindWorkerLease(a.clusterState, w.id)
	if lease == nil || lease.FencingToken < w.fencingToken {
		return
	}
	w.raiseToken(lease.FencingToken)
	if lease.Scheduler != w.scheduler {
		w.scheduler, w.pendingPoll, w.hasChanges, w.unansweredSince = lease.Scheduler, nil, true, 0
	}
}

// raiseToken notes a newer ward: the worker is looked at with its fence first, after
// which no older ward's order can be carried out any more.
func (w *workerState) raiseToken(token uint64) {
	if token > w.fencingToken {
		w.fencingToken, w.fencedUntil, w.pendingPoll, w.hasChanges, w.nextShortInspection = token, 0, nil, true, 0
	}
}

// expireHold gives up what a deaf worker held: no call of ours held it any longer, and
// starts that are still on their way come too late, all of them ended by its own
// clock. One that runs slow has been allowed for.
func (a *Agent) expireHold(now eventloop.Micros, w *workerState) {
	if w.inspectedToken == w.fencingToken || w.missedInspections < 2 || now <= w.maxHoldUntil || len(w.runs) == 0 {
		return
	}
	for _, key := range sortedKeys(w.runs) {
		a.markEnded(w, w.runs[key], "lapsed")
	}
	w.isHoldExpired = true
}

// requireInspection has the worker looked at before anything else is said of it.
func (a *Agent) requireInspection(w *workerState) {
	w.inspectedToken, w.inspectAfterCall, w.pendingPoll = 0, a.callSequence, nil
}

func (a *Agent) register(now eventloop.Micros, w *workerState, effects eventloop.Effects) {
	if a.clusterState.Version == 0 || a.leader == "" || w.registeredAt > 0 && now-w.registeredAt < registrationInterval || clusterstate.FindWorkerLease(a.clusterState, w.id) != nil {
		return
	}
	w.registeredAt = now
	command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: w.id}}}
	effects.Send(a.leader, &schema.Request{Kind: "clusterstate", Group: clusterstate.Group, Body: replica.EncodeClusterStateCommand(command)})
}
