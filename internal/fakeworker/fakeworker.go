// Package fakeworker is the stand-in worker as a step machine: it guards its room,
// honours its lease, turns away old wards, and tells what it does. Real
// stand-ins and simulated ones run the same.
package fakeworker

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	heartbeatInterval    = 500 * eventloop.Millisecond
	minHeartbeatInterval = 20 * eventloop.Millisecond // between two announces at least
	endedRetention       = 120 * eventloop.Second
)

type runKey struct {
	queue      string
	job        uint64
	step, task uint32
	attempt    uint32
}

type run struct {
	key           runKey
	name          string
	cores, memory int64
	isReserved    bool
	startedAt     eventloop.Micros
	endsAt        eventloop.Micros
	outcome       string
	isStalled     bool
}

type endedRun struct {
	endedAt eventloop.Micros
	outcome string
}

// Behaviour are how a worker may misbehave.
type Behaviour struct {
	FailureRate float64 // of its tasks that it fails
	Slowdown    float64 // factor on run times; 0 is 1
	StallRate   float64 // share of tasks that stand still
}

// ID is one stand-in.
type Worker struct {
	Name               string
	Incarnation        uint64
	Behaviour          Behaviour
	rack               string
	cores              int64
	memory             int64
	rng                *rand.Rand
	emit               func(checker.Event)
	heartbeatSequence  uint64
	lastReplySequence  uint64 // seq of the newest answer taken
	fencingToken       uint64
	leaseExpiresAt     eventloop.Micros
	isDraining         bool
	runs               map[runKey]*run
	unacknowledged     map[runKey]*schema.TaskStatus // not noted yet
	unreportedFailures map[runKey]uint64             // failures not known to be reported, and the first announce with them
	endedRuns          map[runKey]endedRun           // attempts that must not start again
	lastHeartbeatAt    eventloop.Micros
	heartbeatSoon      bool
	lastContactEvent   eventloop.Micros
}

// New makes a worker and tells that it is up.
func New(now eventloop.Micros, name, rack string, cores, memory int64, incarnation uint64, rng *rand.Rand, tell func(checker.Event)) *Worker {
	w := &Worker{
		Name: name, Incarnation: incarnation, rack: rack, cores: cores, memory: memory, rng: rng, emit: tell,
		runs: map[runKey]*run{}, unacknowledged: map[runKey]*schema.TaskStatus{}, endedRuns: map[runKey]endedRun{}, unreportedFailures: map[runKey]uint64{}, heartbeatSoon: true, lastHeartbeatAt: -heartbeatInterval,
	}
	tell(checker.Event{At: now, Kind: checker.WorkerUp, Actor: name, Cores: cores, Memory: memory, Rack: rack, Incarnation: incarnation})
	return w
}

// Drain makes the worker say that it leaves.
func (w *Worker) Drain(now eventloop.Micros) {
	if !w.isDraining {
		w.isDraining, w.heartbeatSoon = true, true
		w.emit(checker.Event{At: now, Kind: checker.WorkerDraining, Actor: w.Name})
	}
}

// IsIdle tells whether nothing runs and nothing is left to report.
func (w *Worker) IsIdle() bool { return len(w.runs)+len(w.unacknowledged) == 0 }

// Crash tells that all that ran has ended with the worker.
func (w *Worker) Crash(now eventloop.Micros) {
	w.emit(checker.Event{At: now, Kind: checker.WorkerGone, Actor: w.Name, Incarnation: w.Incarnation})
}

func (w *Worker) emitRunEvent(now eventloop.Micros, kind string, r *run, state string) {
	w.emit(checker.Event{
		At: now, Kind: kind, Actor: w.Name, Queue: r.key.queue, Name: r.name, Job: r.key.job, Step: r.key.step, Task: r.key.task,
		Attempt: r.key.attempt, State: state, Cores: r.cores, Memory: r.memory, Incarnation: w.Incarnation,
	})
}

func (w *Worker) sortedRuns() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return lessKey(list[a].key, list[b].key) })
	return list
}

func lessKey(a, b runKey) bool {
	if a.queue != b.queue {
		return a.queue < b.queue
	}
	if a.job != b.job {
		return a.job < b.job
	}
	if a.step != b.step {
		return a.step < b.step
	}
	if a.task != b.task {
		return a.task < b.task
	}
	return a.attempt < b.attempt
}

// Tick ends what has run its time, and everything when the lease is over.
func (w *Worker) Tick(now eventloop.Micros) {
	isOver := now >= w.leaseExpiresAt
	for _, r := range w.sortedRuns() {
		switch {
		case isOver && !r.isReserved:
			// Nobody answers: others may be given this work soon. What is only
			// held doesn't run, and whoever wards us next may still start it.
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

// NextEventAt is when something is due: an announce, an end, the lease's.
func (w *Worker) NextEventAt() eventloop.Micros {
	next := w.nextHeartbeatAt()
	for _, r := range w.runs {
		if !r.isReserved && !r.isStalled && r.endsAt < next {
			next = r.endsAt
		}
	}
	return next
}

func (w *Worker) nextHeartbeatAt() eventloop.Micros {
	if w.heartbeatSoon {
		return w.lastHeartbeatAt + minHeartbeatInterval
	}
	return w.lastHeartbeatAt + heartbeatInterval
}

// IsHeartbeatDue tells whether an announce is due.
func (w *Worker) IsHeartbeatDue(now eventloop.Micros) bool { return now >= w.nextHeartbeatAt() }

func (w *Worker) endRun(now eventloop.Micros, r *run, outcome string) {
	delete(w.runs, r.key)
	if !r.isReserved {
		w.emitRunEvent(now, checker.TaskEnd, r, outcome)
	} else {
		w.emitRunEvent(now, checker.OrderDropped, r, outcome)
	}
	w.endedRuns[r.key] = endedRun{now, outcome}
	if outcome == "failed" {
		w.unreportedFailures[r.key] = 0
	}
	w.reportEnd(r.key, outcome)
}

func (w *Worker) reportEnd(k runKey, outcome string) {
	w.unacknowledged[k] = &schema.TaskStatus{Queue: k.queue, Job: k.job, Step: k.step, Task: k.task, Attempt: k.attempt, State: outcome}
	w.heartbeatSoon = true
}

// NewHeartbeat says what the worker has and does.
func (w *Worker) NewHeartbeat(now eventloop.Micros) *schema.WorkerHeartbeat {
	w.heartbeatSequence++
	w.lastHeartbeatAt, w.heartbeatSoon = now, false
	heartbeat := &schema.WorkerHeartbeat{
		Incarnation: w.Incarnation, Seq: w.heartbeatSequence, CoresMilli: w.cores, MemoryMb: w.memory, Rack: w.rack, Draining: w.isDraining,
		FencingToken: w.fencingToken, MaxWaitUs: int64(400 * eventloop.Millisecond),
	}
	for _, r := range w.sortedRuns() {
		note := &schema.TaskStatus{
			Queue: r.key.queue, Job: r.key.job, Step: r.key.step, Task: r.key.task, Attempt: r.key.attempt,
			State: "running", RunUs: int64(now - r.startedAt), CoresMilli: r.cores, MemoryMb: r.memory,
		}
		if r.isReserved {
			note.State, note.RunUs = "held", 0
		}
		if r.isStalled {
			note.IdleUs = note.RunUs
		}
		heartbeat.Running = append(heartbeat.Running, note)
	}
	for _, k := range sortedKeys(w.unacknowledged) {
		heartbeat.Ended = append(heartbeat.Ended, w.unacknowledged[k])
		if seq, unreported := w.unreportedFailures[k]; unreported && seq == 0 {
			w.unreportedFailures[k] = w.heartbeatSequence
		}
	}
	return heartbeat
}

func sortedKeys[V any](set map[runKey]V) []runKey {
	keys := make([]runKey, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(a, b int) bool { return lessKey(keys[a], keys[b]) })
	return keys
}

// HandleUnanswered says that an announce came to nothing; the next may go at once
// to another front.
func (w *Worker) HandleUnanswered(now eventloop.Micros) {
	if w.lastHeartbeatAt+100*eventloop.Millisecond < now {
		w.heartbeatSoon = true
	} else {
		w.lastHeartbeatAt = now - heartbeatInterval + 100*eventloop.Millisecond
	}
}

// HandleCall carries out the answer to the announce numbered seq, sent at `sent`.
func (w *Worker) HandleOrders(now, sent eventloop.Micros, seq uint64, orders *schema.WorkerOrders) {
	// An older answer than one taken may tell to start what is long over; an
	// older ward has been succeeded.
	if seq <= w.lastReplySequence || orders.FencingToken < w.fencingToken {
		return
	}
	w.lastReplySequence, w.fencingToken = seq, orders.FencingToken
	if w.lastContactEvent == 0 || now >= w.lastContactEvent+eventloop.Second {
		w.lastContactEvent = now
		w.emit(checker.Event{At: now, Kind: checker.WorkerAnswered, Actor: w.Name, Incarnation: w.Incarnation})
	}
	w.leaseExpiresAt = max(w.leaseExpiresAt, sent+eventloop.Micros(orders.LeaseUs))
	for _, k := range sortedKeys(w.unreportedFailures) {
		if first := w.unreportedFailures[k]; first > 0 && first <= seq {
			delete(w.unreportedFailures, k)
			w.emitRunEvent(now, checker.FailureReported, &run{key: k}, "failed")
		}
	}
	for _, note := range orders.Acknowledged {
		delete(w.unacknowledged, runKey{note.Queue, note.Job, note.Step, note.Task, note.Attempt})
	}
	for _, order := range orders.Orders {
		w.applyOrder(now, order)
	}
	if len(orders.Orders) > 0 || len(orders.Acknowledged) > 0 {
		w.heartbeatSoon = true
	}
}

func (w *Worker) applyOrder(now eventloop.Micros, order *schema.TaskOrder) {
	k := runKey{order.Queue, order.Job, order.Step, order.Task, order.Attempt}
	r := w.runs[k]
	fresh := &run{key: k, name: order.Name, cores: order.CoresMilli, memory: order.MemoryMb}
	w.emitRunEvent(now, checker.Order, fresh, order.Action)
	if p, over := w.endedRuns[k]; over {
		// Whoever still wants it hasn't heard how it ended.
		w.emitRunEvent(now, checker.OrderDropped, fresh, p.outcome)
		w.reportEnd(k, p.outcome)
		return
	}
	switch order.Action {
	case "stop":
		if r == nil {
			// Never begun here; saying so lets it be given to another, and it
			// can't begin here any more.
			fresh.isReserved = true
			r = fresh
		}
		w.endRun(now, r, "stopped")
		return
	case "hold":
		if r == nil && w.hasCapacity(fresh) {
			fresh.isReserved = true
			w.runs[k] = fresh
		} else if r == nil {
			fresh.isReserved = true
			w.endRun(now, fresh, "stopped")
		}
		return
	}
	if r != nil && !r.isReserved {
		return
	}
	if r == nil {
		if w.isDraining || now >= w.leaseExpiresAt || w.hasOtherAttempt(k) || !w.hasCapacity(fresh) {
			fresh.isReserved = true
			w.endRun(now, fresh, "stopped")
			return
		}
		r = fresh
		w.runs[k] = r
	}
	w.startRun(now, r, order.Text)
}

// hasOtherAttempt tells whether another attempt of the same task is here.
func (w *Worker) hasOtherAttempt(k runKey) bool {
	for other := range w.runs {
		if other.queue == k.queue && other.job == k.job && other.step == k.step && other.task == k.task {
			return true
		}
	}
	return false
}

func (w *Worker) hasCapacity(fresh *run) bool {
	cores, memory := w.cores-fresh.cores, w.memory-fresh.memory
	for _, r := range w.runs {
		cores -= r.cores
		memory -= r.memory
	}
	return cores >= 0 && memory >= 0
}

// startRun runs a task: the stand-ins' texts say how long ("run_us=30000") and
// how often it fails ("fail=0.1").
func (w *Worker) startRun(now eventloop.Micros, r *run, text string) {
	r.isReserved, r.startedAt, r.outcome = false, now, "done"
	duration := eventloop.Micros(textParameter(text, "run_us", 20_000))
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

func textParameter(text, parameter string, fallback float64) float64 {
	for _, field := range strings.Fields(text) {
		if value, found := strings.CutPrefix(field, parameter+"="); found {
			if parsed, err := strconv.ParseFloat(value, 64); err == nil {
				return parsed
			}
		}
	}
	return fallback
}
