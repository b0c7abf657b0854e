// Package fakeworker provides fake workers for tests, simulations and benchmarks. They
// execute nothing: the text of a task specifies how long it runs.
//
// A PollingWorker polls a scheduler itself and holds a worker lease. A CalledWorker
// receives calls from an agent (internal/agent). The caller passes the current time to
// each method of both, so that a run can be deterministic. Neither is safe for concurrent
// use. Both can reject tasks that exceed their capacity, stop their runs when their lease
// or run deadline expires, reject stale fencing tokens, and report their events to a hook,
// from which the checker's history is recorded.
package fakeworker

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	heartbeatInterval    = 500 * eventloop.Millisecond
	minHeartbeatInterval = 20 * eventloop.Millisecond  // minimum time between two heartbeats that report changes
	unansweredDelay      = 100 * eventloop.Millisecond // time from an unanswered heartbeat to the next one
	maxAnswerWait        = 400 * eventloop.Millisecond // maximum time for which the scheduler may delay its answer
	contactEventInterval = eventloop.Second            // minimum time between two WorkerAnswered events
	endedRetention       = 120 * eventloop.Second      // how long ended attempts are remembered
)

// Actions of an order. All others are starts.
const (
	actionStop = "stop"
	actionHold = "hold"
)

// runKey identifies an attempt of a task.
type runKey struct {
	queue      string
	job        uint64
	step, task uint32
	attempt    uint32
}

// run is an attempt that is running on the worker, or for which capacity is reserved.
type run struct {
	key           runKey
	name          string
	cores, memory int64
	isReserved    bool // capacity is reserved, and the task isn't running yet
	startedAt     eventloop.Micros
	endsAt        eventloop.Micros
	outcome       string // outcome with which it will end
	isStalled     bool   // it makes no progress and never ends by itself
}

// endedRun is an attempt that has ended or was rejected, and must not start again.
type endedRun struct {
	endedAt eventloop.Micros
	outcome string
}

// Behaviour configures how often tasks fail or stall on a worker, and how slowly they run.
type Behaviour struct {
	FailureRate float64 // share of tasks that fail
	Slowdown    float64 // factor by which run times are multiplied; 0 means 1
	StallRate   float64 // share of tasks that stall, which means that they make no progress and never end
}

// PollingWorker is a fake worker that polls its scheduler. Behaviour may be changed between
// calls.
type PollingWorker struct {
	Name                string
	Incarnation         uint64
	Behaviour           Behaviour
	rack                string
	cores               int64
	memory              int64
	rng                 *rand.Rand
	emit                func(checker.Event)
	heartbeatSequence   uint64
	lastReplySequence   uint64 // sequence number of the newest heartbeat whose answer was applied
	fencingToken        uint64
	leaseExpiresAt      eventloop.Micros
	isDraining          bool
	runs                map[runKey]*run
	unacknowledged      map[runKey]*schema.TaskStatus // ends that the scheduler hasn't acknowledged
	unconfirmedFailures map[runKey]uint64             // sequence number of the first heartbeat that reports the failure; 0: none yet
	endedRuns           map[runKey]endedRun
	lastHeartbeatAt     eventloop.Micros
	isHeartbeatUrgent   bool // the next heartbeat is due after minHeartbeatInterval
	lastContactEventAt  eventloop.Micros
}

// NewPollingWorker returns a worker. The unit of cores is a thousandth of a core, that of memory
// is MB. The worker passes its events to emit, beginning with WorkerUp before the function
// returns.
func NewPollingWorker(now eventloop.Micros, name, rack string, cores, memory int64, incarnation uint64, rng *rand.Rand, emit func(checker.Event)) *PollingWorker {
	w := &PollingWorker{
		Name: name, Incarnation: incarnation, rack: rack, cores: cores, memory: memory, rng: rng, emit: emit,
		runs: map[runKey]*run{}, unacknowledged: map[runKey]*schema.TaskStatus{}, endedRuns: map[runKey]endedRun{}, unconfirmedFailures: map[runKey]uint64{},
		isHeartbeatUrgent: true, lastHeartbeatAt: -heartbeatInterval,
	}
	emit(checker.Event{At: now, Kind: checker.WorkerUp, Actor: name, Cores: cores, Memory: memory, Rack: rack, Incarnation: incarnation})
	return w
}

// Drain makes the worker report that it is draining. It accepts no further starts, except of
// tasks for which capacity is already reserved.
func (w *PollingWorker) Drain(now eventloop.Micros) {
	if !w.isDraining {
		w.isDraining, w.isHeartbeatUrgent = true, true
		w.emit(checker.Event{At: now, Kind: checker.WorkerDraining, Actor: w.Name})
	}
}

// IsIdle reports whether the worker has no runs or reservations, and the scheduler has
// acknowledged all ends.
func (w *PollingWorker) IsIdle() bool { return len(w.runs)+len(w.unacknowledged) == 0 }

// Crash emits the event that the worker is gone, which ends all its runs.
func (w *PollingWorker) Crash(now eventloop.Micros) {
	w.emit(checker.Event{At: now, Kind: checker.WorkerGone, Actor: w.Name, Incarnation: w.Incarnation})
}

func (w *PollingWorker) emitRunEvent(now eventloop.Micros, kind string, r *run, state string) {
	w.emit(checker.Event{
		At: now, Kind: kind, Actor: w.Name, Queue: r.key.queue, Name: r.name, Job: r.key.job, Step: r.key.step, Task: r.key.task,
		Attempt: r.key.attempt, State: state, Cores: r.cores, Memory: r.memory, Incarnation: w.Incarnation,
	})
}

func (w *PollingWorker) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int { return compareKeys(a.key, b.key) })
}

func compareKeys(a, b runKey) int {
	return cmp.Or(
		cmp.Compare(a.queue, b.queue), cmp.Compare(a.job, b.job), cmp.Compare(a.step, b.step),
		cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt),
	)
}

// Tick ends the runs whose run time is over, and all runs once the lease has expired.
func (w *PollingWorker) Tick(now eventloop.Micros) {
	leaseExpired := now >= w.leaseExpiresAt
	for _, r := range w.sortedRuns() {
		switch {
		case leaseExpired && !r.isReserved:
			// The scheduler may now assign these tasks to other workers. A reservation
			// is kept: it doesn't run, and the scheduler that holds the worker's next
			// lease may still start it.
			w.endRun(now, r, "stopped")
		case !r.isReserved && !r.isStalled && now >= r.endsAt:
			w.endRun(now, r, r.outcome)
		}
	}
	for k, p := range w.endedRuns {
		if now-p.endedAt > endedRetention && w.unacknowledged[k] == nil {
			delete(w.endedRuns, k)
		}
	}
}

// NextEventAt returns when the next heartbeat or the next end of a run is due.
func (w *PollingWorker) NextEventAt() eventloop.Micros {
	next := w.nextHeartbeatAt()
	for _, r := range w.runs {
		if !r.isReserved && !r.isStalled && r.endsAt < next {
			next = r.endsAt
		}
	}
	return next
}

func (w *PollingWorker) nextHeartbeatAt() eventloop.Micros {
	if w.isHeartbeatUrgent {
		return w.lastHeartbeatAt + minHeartbeatInterval
	}
	return w.lastHeartbeatAt + heartbeatInterval
}

// IsHeartbeatDue reports whether a heartbeat is due at the given time.
func (w *PollingWorker) IsHeartbeatDue(now eventloop.Micros) bool { return now >= w.nextHeartbeatAt() }

func (w *PollingWorker) endRun(now eventloop.Micros, r *run, outcome string) {
	delete(w.runs, r.key)
	if !r.isReserved {
		w.emitRunEvent(now, checker.TaskEnd, r, outcome)
	} else {
		w.emitRunEvent(now, checker.OrderDropped, r, outcome)
	}
	w.endedRuns[r.key] = endedRun{now, outcome}
	if outcome == "failed" {
		w.unconfirmedFailures[r.key] = 0
	}
	w.reportEnd(r.key, outcome)
}

func (w *PollingWorker) reportEnd(k runKey, outcome string) {
	w.unacknowledged[k] = &schema.TaskStatus{Queue: k.queue, Job: k.job, Step: k.step, Task: k.task, Attempt: k.attempt, State: outcome}
	w.isHeartbeatUrgent = true
}

// NewHeartbeat returns the next heartbeat, which contains the capacity, the running tasks, the
// reservations, and the ends that the scheduler hasn't acknowledged.
func (w *PollingWorker) NewHeartbeat(now eventloop.Micros) *schema.WorkerHeartbeat {
	w.heartbeatSequence++
	w.lastHeartbeatAt, w.isHeartbeatUrgent = now, false
	heartbeat := &schema.WorkerHeartbeat{
		Incarnation: w.Incarnation, Seq: w.heartbeatSequence, CoresMilli: w.cores, MemoryMb: w.memory, Rack: w.rack, Draining: w.isDraining,
		FencingToken: w.fencingToken, MaxWaitUs: int64(maxAnswerWait),
	}
	for _, r := range w.sortedRuns() {
		status := &schema.TaskStatus{
			Queue: r.key.queue, Job: r.key.job, Step: r.key.step, Task: r.key.task, Attempt: r.key.attempt,
			State: "running", RunUs: int64(now - r.startedAt), CoresMilli: r.cores, MemoryMb: r.memory,
		}
		if r.isReserved {
			status.State, status.RunUs = "held", 0
		}
		if r.isStalled {
			status.IdleUs = status.RunUs
		}
		heartbeat.Running = append(heartbeat.Running, status)
	}
	for _, k := range sortedKeys(w.unacknowledged) {
		heartbeat.Ended = append(heartbeat.Ended, w.unacknowledged[k])
		if sequence, unreported := w.unconfirmedFailures[k]; unreported && sequence == 0 {
			w.unconfirmedFailures[k] = w.heartbeatSequence
		}
	}
	return heartbeat
}

func sortedKeys[V any](set map[runKey]V) []runKey {
	return slices.SortedFunc(maps.Keys(set), compareKeys)
}

// HandleUnanswered handles a heartbeat that got no answer: the next one is due soon, and the
// caller should send it to another gateway node.
func (w *PollingWorker) HandleUnanswered(now eventloop.Micros) {
	if w.lastHeartbeatAt+unansweredDelay < now {
		w.isHeartbeatUrgent = true
	} else {
		w.lastHeartbeatAt = now - heartbeatInterval + unansweredDelay
	}
}

// HandleOrders applies the answer to the heartbeat with this sequence number. The duration of
// the lease counts from sentAt, when the heartbeat was sent.
func (w *PollingWorker) HandleOrders(now, sentAt eventloop.Micros, sequence uint64, orders *schema.WorkerOrders) {
	// An older answer may contain outdated orders. A lower fencing token belongs to an
	// earlier lease, which another scheduler has replaced.
	if sequence <= w.lastReplySequence || orders.FencingToken < w.fencingToken {
		return
	}
	w.lastReplySequence, w.fencingToken = sequence, orders.FencingToken
	if w.lastContactEventAt == 0 || now >= w.lastContactEventAt+contactEventInterval {
		w.lastContactEventAt = now
		w.emit(checker.Event{At: now, Kind: checker.WorkerAnswered, Actor: w.Name, Incarnation: w.Incarnation})
	}
	w.leaseExpiresAt = max(w.leaseExpiresAt, sentAt+eventloop.Micros(orders.LeaseUs))
	for _, k := range sortedKeys(w.unconfirmedFailures) {
		if first := w.unconfirmedFailures[k]; first > 0 && first <= sequence {
			delete(w.unconfirmedFailures, k)
			w.emitRunEvent(now, checker.FailureReported, &run{key: k}, "failed")
		}
	}
	for _, status := range orders.Acknowledged {
		delete(w.unacknowledged, runKey{status.Queue, status.Job, status.Step, status.Task, status.Attempt})
	}
	for _, order := range orders.Orders {
		w.applyOrder(now, order)
	}
	if len(orders.Orders) > 0 || len(orders.Acknowledged) > 0 {
		w.isHeartbeatUrgent = true
	}
}

// applyOrder carries out an order to start, stop or reserve an attempt.
func (w *PollingWorker) applyOrder(now eventloop.Micros, order *schema.TaskOrder) {
	k := runKey{order.Queue, order.Job, order.Step, order.Task, order.Attempt}
	r := w.runs[k]
	ordered := &run{key: k, name: order.Name, cores: order.CoresMilli, memory: order.MemoryMb}
	w.emitRunEvent(now, checker.Order, ordered, order.Action)
	if ended, over := w.endedRuns[k]; over {
		// The scheduler doesn't know of the end yet, so report it again.
		w.emitRunEvent(now, checker.OrderDropped, ordered, ended.outcome)
		w.reportEnd(k, ended.outcome)
		return
	}
	switch order.Action {
	case actionStop:
		if r == nil {
			// The attempt never started here. Reporting it as ended prevents a later start.
			w.rejectRun(now, ordered)
			return
		}
		w.endRun(now, r, "stopped")
	case actionHold:
		w.reserve(now, r, ordered)
	default:
		w.orderStart(now, r, ordered, order.Text)
	}
}

// rejectRun reports an attempt that hasn't started as stopped.
func (w *PollingWorker) rejectRun(now eventloop.Micros, ordered *run) {
	ordered.isReserved = true
	w.endRun(now, ordered, "stopped")
}

// reserve reserves capacity for an attempt, or rejects the attempt if the free capacity is
// insufficient.
func (w *PollingWorker) reserve(now eventloop.Micros, r, ordered *run) {
	switch {
	case r != nil:
	case w.hasCapacity(ordered):
		ordered.isReserved = true
		w.runs[ordered.key] = ordered
	default:
		w.rejectRun(now, ordered)
	}
}

// orderStart starts an attempt unless it is already running. If no capacity is reserved for it,
// it may be rejected.
func (w *PollingWorker) orderStart(now eventloop.Micros, r, ordered *run, text string) {
	if r != nil && !r.isReserved {
		return
	}
	if r == nil {
		if w.isDraining || now >= w.leaseExpiresAt || w.hasOtherAttempt(ordered.key) || !w.hasCapacity(ordered) {
			w.rejectRun(now, ordered)
			return
		}
		r = ordered
		w.runs[r.key] = r
	}
	w.startRun(now, r, text)
}

// hasOtherAttempt reports whether any attempt of the same task is running or reserved.
func (w *PollingWorker) hasOtherAttempt(k runKey) bool {
	for other := range w.runs {
		if other.queue == k.queue && other.job == k.job && other.step == k.step && other.task == k.task {
			return true
		}
	}
	return false
}

// hasCapacity reports whether the free capacity is sufficient for the attempt.
func (w *PollingWorker) hasCapacity(ordered *run) bool {
	cores, memory := w.cores-ordered.cores, w.memory-ordered.memory
	for _, r := range w.runs {
		cores -= r.cores
		memory -= r.memory
	}
	return cores >= 0 && memory >= 0
}

// startRun starts a run. The text of the task specifies its run time in µs ("run_us=30000")
// and its probability of failure ("fail=0.1").
func (w *PollingWorker) startRun(now eventloop.Micros, r *run, text string) {
	r.isReserved, r.startedAt, r.outcome = false, now, "done"
	duration := eventloop.Micros(textParameter(text, "run_us", defaultRunUs))
	if w.Behaviour.Slowdown > 0 {
		duration = eventloop.Micros(float64(duration) * w.Behaviour.Slowdown)
	}
	r.endsAt = now + duration
	share := max(w.Behaviour.FailureRate, textParameter(text, "fail", 0))
	if share > 0 && w.rng.Float64() < share {
		r.outcome = "failed"
	}
	r.isStalled = w.Behaviour.StallRate > 0 && w.rng.Float64() < w.Behaviour.StallRate
	w.emitRunEvent(now, checker.TaskStart, r, "")
}
