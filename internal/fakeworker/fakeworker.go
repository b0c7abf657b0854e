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
	announceSpan = 500 * eventloop.Millisecond
	hurrySpan    = 20 * eventloop.Millisecond // between two announces at least
	doneKept     = 120 * eventloop.Second
)

type key struct {
	queue      string
	job        uint64
	step, task uint32
	attempt    uint32
}

type run struct {
	key           key
	name          string
	cores, memory int64
	isHeld        bool
	began         eventloop.Micros
	until         eventloop.Micros
	outcome       string
	isStill       bool
}

type past struct {
	at      eventloop.Micros
	outcome string
}

// Habits are how a worker may misbehave.
type Habits struct {
	FailShare float64 // of its tasks that it fails
	Slowness  float64 // factor on run times; 0 is 1
	StillRate float64 // share of tasks that stand still
}

// Worker is one stand-in.
type Worker struct {
	Name        string
	Incarnation uint64
	Habits      Habits
	rack        string
	cores       int64
	memory      int64
	rng         *rand.Rand
	tell        func(checker.Event)
	seq         uint64
	taken       uint64 // seq of the newest answer taken
	ward        uint64
	lease       eventloop.Micros
	isLeaving   bool
	runs        map[key]*run
	ended       map[key]*schema.TaskStatus // not noted yet
	carried     map[key]uint64             // failures not known to be reported, and the first announce with them
	over        map[key]past               // attempts that must not start again
	lastSent    eventloop.Micros
	isHurried   bool
	toldHeard   eventloop.Micros
}

// New makes a worker and tells that it is up.
func New(now eventloop.Micros, name, rack string, cores, memory int64, incarnation uint64, rng *rand.Rand, tell func(checker.Event)) *Worker {
	w := &Worker{
		Name: name, Incarnation: incarnation, rack: rack, cores: cores, memory: memory, rng: rng, tell: tell,
		runs: map[key]*run{}, ended: map[key]*schema.TaskStatus{}, over: map[key]past{}, carried: map[key]uint64{}, isHurried: true, lastSent: -announceSpan,
	}
	tell(checker.Event{At: now, Kind: checker.Up, Who: name, Cores: cores, Memory: memory, Rack: rack, Incarnation: incarnation})
	return w
}

// Leave makes the worker say that it leaves.
func (w *Worker) Leave(now eventloop.Micros) {
	if !w.isLeaving {
		w.isLeaving, w.isHurried = true, true
		w.tell(checker.Event{At: now, Kind: checker.Leave, Who: w.Name})
	}
}

// Idle tells whether nothing runs and nothing is left to report.
func (w *Worker) Idle() bool { return len(w.runs)+len(w.ended) == 0 }

// Crash tells that all that ran has ended with the worker.
func (w *Worker) Crash(now eventloop.Micros) {
	w.tell(checker.Event{At: now, Kind: checker.Gone, Who: w.Name, Incarnation: w.Incarnation})
}

func (w *Worker) event(now eventloop.Micros, kind string, r *run, state string) {
	w.tell(checker.Event{
		At: now, Kind: kind, Who: w.Name, Queue: r.key.queue, Name: r.name, Job: r.key.job, Step: r.key.step, Task: r.key.task,
		Attempt: r.key.attempt, State: state, Cores: r.cores, Memory: r.memory, Incarnation: w.Incarnation,
	})
}

func (w *Worker) sorted() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return less(list[a].key, list[b].key) })
	return list
}

func less(a, b key) bool {
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
	isOver := now >= w.lease
	for _, r := range w.sorted() {
		switch {
		case isOver && !r.isHeld:
			// Nobody answers: others may be given this work soon. What is only
			// held doesn't run, and whoever wards us next may still start it.
			w.end(now, r, "stopped")
		case !r.isHeld && !r.isStill && now >= r.until:
			w.end(now, r, r.outcome)
		}
	}
	for k, p := range w.over {
		if now-p.at > doneKept && w.ended[k] == nil {
			delete(w.over, k)
		}
	}
}

// Next is when something is due: an announce, an end, the lease's.
func (w *Worker) Next() eventloop.Micros {
	next := w.due()
	for _, r := range w.runs {
		if !r.isHeld && !r.isStill && r.until < next {
			next = r.until
		}
	}
	return next
}

func (w *Worker) due() eventloop.Micros {
	if w.isHurried {
		return w.lastSent + hurrySpan
	}
	return w.lastSent + announceSpan
}

// Due tells whether an announce is due.
func (w *Worker) Due(now eventloop.Micros) bool { return now >= w.due() }

func (w *Worker) end(now eventloop.Micros, r *run, outcome string) {
	delete(w.runs, r.key)
	if !r.isHeld {
		w.event(now, checker.End, r, outcome)
	} else {
		w.event(now, checker.LetGo, r, outcome)
	}
	w.over[r.key] = past{now, outcome}
	if outcome == "failed" {
		w.carried[r.key] = 0
	}
	w.report(r.key, outcome)
}

func (w *Worker) report(k key, outcome string) {
	w.ended[k] = &schema.TaskStatus{Queue: k.queue, Job: k.job, Step: k.step, Task: k.task, Attempt: k.attempt, State: outcome}
	w.isHurried = true
}

// Announce says what the worker has and does.
func (w *Worker) Announce(now eventloop.Micros) *schema.WorkerHeartbeat {
	w.seq++
	w.lastSent, w.isHurried = now, false
	a := &schema.WorkerHeartbeat{
		Incarnation: w.Incarnation, Seq: w.seq, CoresMilli: w.cores, MemoryMb: w.memory, Rack: w.rack, Draining: w.isLeaving,
		FencingToken: w.ward, MaxWaitUs: int64(400 * eventloop.Millisecond),
	}
	for _, r := range w.sorted() {
		note := &schema.TaskStatus{
			Queue: r.key.queue, Job: r.key.job, Step: r.key.step, Task: r.key.task, Attempt: r.key.attempt,
			State: "running", RunUs: int64(now - r.began), CoresMilli: r.cores, MemoryMb: r.memory,
		}
		if r.isHeld {
			note.State, note.RunUs = "held", 0
		}
		if r.isStill {
			note.IdleUs = note.RunUs
		}
		a.Running = append(a.Running, note)
	}
	for _, k := range sortedKeys(w.ended) {
		a.Ended = append(a.Ended, w.ended[k])
		if seq, isCarried := w.carried[k]; isCarried && seq == 0 {
			w.carried[k] = w.seq
		}
	}
	return a
}

func sortedKeys[V any](set map[key]V) []key {
	keys := make([]key, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(a, b int) bool { return less(keys[a], keys[b]) })
	return keys
}

// Unanswered says that an announce came to nothing; the next may go at once
// to another front.
func (w *Worker) Unanswered(now eventloop.Micros) {
	if w.lastSent+100*eventloop.Millisecond < now {
		w.isHurried = true
	} else {
		w.lastSent = now - announceSpan + 100*eventloop.Millisecond
	}
}

// Take carries out the answer to the announce numbered seq, sent at `sent`.
func (w *Worker) Take(now, sent eventloop.Micros, seq uint64, orders *schema.WorkerOrders) {
	// An older answer than one taken may tell to start what is long over; an
	// older ward has been succeeded.
	if seq <= w.taken || orders.FencingToken < w.ward {
		return
	}
	w.taken, w.ward = seq, orders.FencingToken
	if w.toldHeard == 0 || now >= w.toldHeard+eventloop.Second {
		w.toldHeard = now
		w.tell(checker.Event{At: now, Kind: checker.Heard, Who: w.Name, Incarnation: w.Incarnation})
	}
	w.lease = max(w.lease, sent+eventloop.Micros(orders.LeaseUs))
	for _, k := range sortedKeys(w.carried) {
		if first := w.carried[k]; first > 0 && first <= seq {
			delete(w.carried, k)
			w.event(now, checker.Reported, &run{key: k}, "failed")
		}
	}
	for _, note := range orders.Acknowledged {
		delete(w.ended, key{note.Queue, note.Job, note.Step, note.Task, note.Attempt})
	}
	for _, order := range orders.Orders {
		w.obey(now, order)
	}
	if len(orders.Orders) > 0 || len(orders.Acknowledged) > 0 {
		w.isHurried = true
	}
}

func (w *Worker) obey(now eventloop.Micros, order *schema.TaskOrder) {
	k := key{order.Queue, order.Job, order.Step, order.Task, order.Attempt}
	r := w.runs[k]
	fresh := &run{key: k, name: order.Name, cores: order.CoresMilli, memory: order.MemoryMb}
	w.event(now, checker.Order, fresh, order.Action)
	if p, isOver := w.over[k]; isOver {
		// Whoever still wants it hasn't heard how it ended.
		w.event(now, checker.LetGo, fresh, p.outcome)
		w.report(k, p.outcome)
		return
	}
	switch order.Action {
	case "stop":
		if r == nil {
			// Never begun here; saying so lets it be given to another, and it
			// can't begin here any more.
			fresh.isHeld = true
			r = fresh
		}
		w.end(now, r, "stopped")
		return
	case "hold":
		if r == nil && w.fits(fresh) {
			fresh.isHeld = true
			w.runs[k] = fresh
		} else if r == nil {
			fresh.isHeld = true
			w.end(now, fresh, "stopped")
		}
		return
	}
	if r != nil && !r.isHeld {
		return
	}
	if r == nil {
		if w.isLeaving || now >= w.lease || w.isElsewhere(k) || !w.fits(fresh) {
			fresh.isHeld = true
			w.end(now, fresh, "stopped")
			return
		}
		r = fresh
		w.runs[k] = r
	}
	w.begin(now, r, order.Text)
}

// isElsewhere tells whether another attempt of the same task is here.
func (w *Worker) isElsewhere(k key) bool {
	for other := range w.runs {
		if other.queue == k.queue && other.job == k.job && other.step == k.step && other.task == k.task {
			return true
		}
	}
	return false
}

func (w *Worker) fits(fresh *run) bool {
	cores, memory := w.cores-fresh.cores, w.memory-fresh.memory
	for _, r := range w.runs {
		cores -= r.cores
		memory -= r.memory
	}
	return cores >= 0 && memory >= 0
}

// begin runs a task: the stand-ins' texts say how long ("run_us=30000") and
// how often it fails ("fail=0.1").
func (w *Worker) begin(now eventloop.Micros, r *run, text string) {
	r.isHeld, r.began, r.outcome = false, now, "done"
	span := eventloop.Micros(number(text, "run_us", 20_000))
	if w.Habits.Slowness > 0 {
		span = eventloop.Micros(float64(span) * w.Habits.Slowness)
	}
	r.until = now + span
	share := max(w.Habits.FailShare, number(text, "fail", 0))
	if share > 0 && w.rng.Float64() < share {
		r.outcome = "failed"
	}
	r.isStill = w.Habits.StillRate > 0 && w.rng.Float64() < w.Habits.StillRate
	w.event(now, checker.Begin, r, "")
}

func number(text, name string, usual float64) float64 {
	for _, word := range strings.Fields(text) {
		if value, isIt := strings.CutPrefix(word, name+"="); isIt {
			if parsed, err := strconv.ParseFloat(value, 64); err == nil {
				return parsed
			}
		}
	}
	return usual
}
