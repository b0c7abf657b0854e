// Package fakeworker has fake workers for tests, simulations and benchmarks. They run
// nothing: a task's text says how long it takes.
//
// Worker polls a scheduler itself, under a worker lease. CalledWorker takes calls
// from an agent (internal/agent). Both are driven by their caller, which passes the
// time to each method, so a run can be deterministic; neither is safe for concurrent
// use. Both guard their capacity, honour their lease, reject stale fencing tokens,
// and report to a hook what they do, for the checker.
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
	minHeartbeatInterval = 20 * eventloop.Millisecond  // between two heartbeats that report changes
	unansweredDelay      = 100 * eventloop.Millisecond // after a heartbeat that wasn't answered
	maxAnswerWait        = 400 * eventloop.Millisecond // how long the scheduler may hold its answer back
	contactEventInterval = eventloop.Second
	endedRetention       = 120 * eventloop.Second
)

// The actions of an order.
const (
	actionStop = "stop"
	actionHold = "hold"
)

// runKey names one attempt at a task.
type runKey struct {
	queue      string
	job        uint64
	step, task uint32
	attempt    uint32
}

// run is an attempt that runs or is reserved here.
type run struct {
	key           runKey
	name          string
	cores, memory int64
	isReserved    bool // capacity is reserved, and nothing runs yet
	startedAt     eventloop.Micros
	endsAt        eventloop.Micros
	outcome       string // how it will end
	isStalled     bool   // it makes no progress and never ends by itself
}

// endedRun is an attempt that must not start again.
type endedRun struct {
	endedAt eventloop.Micros
	outcome string
}

// Behaviour is how a worker misbehaves.
type Behaviour struct {
	FailureRate float64 // share of its tasks that fail
	Slowdown    float64 // factor on run times; 0 is 1
	StallRate   float64 // share of tasks that stall
}

// PollingWorker is a fake of a worker that polls its scheduler. Behaviour may be changed
// between calls.
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
	lastReplySequence   uint64 // of the heartbeat with the newest answer taken
	fencingToken        uint64
	leaseExpiresAt      eventloop.Micros
	isDraining          bool
	runs                map[runKey]*run
	unacknowledged      map[runKey]*schema.TaskStatus // by the scheduler
	unconfirmedFailures map[runKey]uint64             // by the first heartbeat that reports each; 0: none yet
	endedRuns           map[runKey]endedRun
	lastHeartbeatAt     eventloop.Micros
	heartbeatSoon       bool
	lastContactEvent    eventloop.Micros
}

// NewPollingWorker makes a worker with so many thousandths of a core and MB of memory. Its events
// go to emit; the first, at once, says that it is up.
func NewPollingWorker(now eventloop.Micros, name, rack string, cores, memory int64, incarnation uint64, rng *rand.Rand, emit func(checker.Event)) *PollingWorker {
	w := &PollingWorker{
		Name: name, Incarnation: incarnation, rack: rack, cores: cores, memory: memory, rng: rng, emit: emit,
		runs: map[runKey]*run{}, unacknowledged: map[runKey]*schema.TaskStatus{}, endedRuns: map[runKey]endedRun{}, unconfirmedFailures: map[runKey]uint64{},
		heartbeatSoon: true, lastHeartbeatAt: -heartbeatInterval,
	}
	emit(checker.Event{At: now, Kind: checker.WorkerUp, Actor: name, Cores: cores, Memory: memory, Rack: rack, Incarnation: incarnation})
	return w
}

// Drain makes the worker report that it is draining: it starts nothing more.
func (w *PollingWorker) Drain(now eventloop.Micros) {
	if !w.isDraining {
		w.isDraining, w.heartbeatSoon = true, true
		w.emit(checker.Event{At: now, Kind: checker.WorkerDraining, Actor: w.Name})
	}
}

// IsIdle reports whether nothing runs and nothing is left to report.
func (w *PollingWorker) IsIdle() bool { return len(w.runs)+len(w.unacknowledged) == 0 }

// Crash emits the event that the worker is gone, with all its runs.
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

// Tick ends the runs whose time is over, and all of them when the lease is over.
func (w *PollingWorker) Tick(now eventloop.Micros) {
	leaseExpired := now >= w.leaseExpiresAt
	for _, r := range w.sortedRuns() {
		switch {
		case leaseExpired && !r.isReserved:
			// The scheduler may give these tasks to others now. What is only reserved
			// doesn't run, and the next lease's holder may still start it.
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

// NextEventAt is when the next heartbeat or end is due.
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
	if w.heartbeatSoon {
		return w.lastHeartbeatAt + minHeartbeatInterval
	}
	return w.lastHeartbeatAt + heartbeatInterval
}

// IsHeartbeatDue reports whether a heartbeat is due.
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
	w.heartbeatSoon = true
}

// NewHeartbeat makes the next heartbeat: the capacity, and the running and ended tasks.
func (w *PollingWorker) NewHeartbeat(now eventloop.Micros) *schema.WorkerHeartbeat {
	w.heartbeatSequence++
	w.lastHeartbeatAt, w.heartbeatSoon = now, false
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

// HandleUnanswered takes the failure of a heartbeat: the next goes soon, to another
// gateway node.
func (w *PollingWorker) HandleUnanswered(now eventloop.Micros) {
	if w.lastHeartbeatAt+unansweredDelay < now {
		w.heartbeatSoon = true
	} else {
		w.lastHeartbeatAt = now - heartbeatInterval + unansweredDelay
	}
}

// HandleOrders carries out the answer to the heartbeat of this sequence number, which
// was sent at sentAt: the lease counts from then.
func (w *PollingWorker) HandleOrders(now, sentAt eventloop.Micros, sequence uint64, orders *schema.WorkerOrders) {
	// An older answer may order what is over by now; a lower token is of a lease that
	// has been given to another.
	if sequence <= w.lastReplySequence || orders.FencingToken < w.fencingToken {
		return
	}
	w.lastReplySequence, w.fencingToken = sequence, orders.FencingToken
	if w.lastContactEvent == 0 || now >= w.lastContactEvent+contactEventInterval {
		w.lastContactEvent = now
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
		w.heartbeatSoon = true
	}
}

// applyOrder carries out one order.
func (w *PollingWorker) applyOrder(now eventloop.Micros, order *schema.TaskOrder) {
	k := runKey{order.Queue, order.Job, order.Step, order.Task, order.Attempt}
	r := w.runs[k]
	ordered := &run{key: k, name: order.Name, cores: order.CoresMilli, memory: order.MemoryMb}
	w.emitRunEvent(now, checker.Order, ordered, order.Action)
	if ended, over := w.endedRuns[k]; over {
		// The scheduler doesn't know yet how it ended.
		w.emitRunEvent(now, checker.OrderDropped, ordered, ended.outcome)
		w.reportEnd(k, ended.outcome)
		return
	}
	switch order.Action {
	case actionStop:
		if r == nil {
			// It never started here, and can't any more once it is reported as ended.
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

// rejectRun reports an attempt as stopped that hasn't started.
func (w *PollingWorker) rejectRun(now eventloop.Micros, ordered *run) {
	ordered.isReserved = true
	w.endRun(now, ordered, "stopped")
}

// reserve reserves the capacity for an attempt, if it is free.
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

// orderStart starts an attempt, reserved before or not, unless it runs already.
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

// hasOtherAttempt reports whether another attempt of the same task is here.
func (w *PollingWorker) hasOtherAttempt(k runKey) bool {
	for other := range w.runs {
		if other.queue == k.queue && other.job == k.job && other.step == k.step && other.task == k.task {
			return true
		}
	}
	return false
}

// hasCapacity reports whether the free capacity suffices for a run.
func (w *PollingWorker) hasCapacity(ordered *run) bool {
	cores, memory := w.cores-ordered.cores, w.memory-ordered.memory
	for _, r := range w.runs {
		cores -= r.cores
		memory -= r.memory
	}
	return cores >= 0 && memory >= 0
}

// startRun starts a run. The task's text says how long it takes ("run_us=30000") and
// how often it fails ("fail=0.1").
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
