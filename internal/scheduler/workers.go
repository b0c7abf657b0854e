package scheduler

// Workers: the lease by which they are ordered, what they announce, and when they are lost.

import (
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

type poll struct {
	front string
	id    uint64
	seq   uint64
	until eventloop.Micros
}

type worker struct {
	id          string
	generation  uint64
	since       eventloop.Micros
	isKnown     bool // has announced itself to this ward's generation
	incarnation uint64
	seq         uint64
	heard       eventloop.Micros
	answered    eventloop.Micros
	cores       int64
	memory      int64
	rack        string
	isLeaving   bool
	leftAt      eventloop.Micros // when that was first heard
	running     map[attemptKey]*schema.TaskStatus
	ended       map[attemptKey]*ended
	tasks       map[taskKey]*task
	poll        *poll
	isDirty     bool    // there may be something to tell it
	good, bad   float64 // decayed counts of ended tasks
	quality

	accelerators int64
	labels       []string
	pool         string
	gathers      bool
	isNamed      bool
	isOver       bool             // dead, by its successor's agent's word
	departAt     eventloop.Micros // while it leaves; 0: not told
	coldUntil    eventloop.Micros
	resolved     map[nameAttempt]attemptKey // what its named notes stand for
	strange      []*schema.TaskStatus       // runs that no task is known for
	unknown      []*schema.TaskStatus       // ends that no task is known for

	reserved map[taskKey]*task // checkouts on their way
	isStale  bool              // the sums below are to be made anew
	used     amount            // by all that is there or on its way
	coming   amount            // of that, what is being stopped
	fixed    amount            // of that, what never ends by itself
	count    int
	isBlurry bool // it runs something of unknown size
}

// placedOn is the tasks out on a worker.
func (t *Table) placedOn(id string) map[taskKey]*task {
	if t.placed[id] == nil {
		t.placed[id] = map[taskKey]*task{}
	}
	return t.placed[id]
}

func (t *Table) dismiss(w *worker, out eventloop.Effects) {
	if w.poll != nil {
		out.Send(w.poll.front, &schema.WorkerPollResponse{Id: w.poll.id, Scheduler: t.id})
		w.poll = nil
	}
}

func (t *Table) lose(name string) {
	if v := t.views[name]; v != nil {
		for key := range v.tasks {
			t.remove(v, key)
		}
		delete(t.views, name)
		t.isDirty = true
	}
}

// isSure tells whether the cluster state's word, by which this node is a ward, is
// fresh.
func (t *Table) isSure(now eventloop.Micros) bool {
	return now-t.freshAt < actSpan && t.fresh.IsClusterStateFresh
}

// mayAct tells whether orders for a queue may leave: its leader has just heard
// its quorum, and the cluster state's word is fresh.
func (t *Table) mayAct(now eventloop.Micros, v *view) bool {
	return t.isSure(now) && t.fresh.Terms[v.group] == v.term
}

func (t *Table) heard(now eventloop.Micros, front string, m *schema.WorkerPollRequest, out eventloop.Effects) {
	w := t.workers[m.Worker]
	a := m.Heartbeat
	// Who isn't sure of being the ward gives no lease.
	if w == nil || a == nil || w.isOver || !t.isSure(now) || a.FencingToken > w.generation {
		out.Send(front, &schema.WorkerPollResponse{Id: m.Id, Scheduler: t.id})
		return
	}
	if a.Incarnation < w.incarnation || a.Incarnation == w.incarnation && a.Seq <= w.seq {
		out.Send(front, &schema.WorkerPollResponse{Id: m.Id, Scheduler: t.id})
		return
	}
	if a.Unanswered && w.isKnown && a.Incarnation == w.incarnation {
		// We hear it, but it doesn't hear us: what was ordered there may never begin, so
		// it counts as silent. This answer grants nothing, and tells whether it hears again.
		out.Send(front, &schema.WorkerPollResponse{Id: m.Id, Scheduler: t.id})
		return
	}
	if a.Incarnation > w.incarnation {
		w.ended = map[attemptKey]*ended{}
		w.good, w.bad, w.quality = 0, 0, quality{}
		w.resolved = map[nameAttempt]attemptKey{}
	}
	type state struct {
		used, whole         amount
		isLeaving, isBlurry bool
	}
	stateOf := func() state { return state{w.used, w.whole(), w.isLeaving, w.isBlurry} }
	t.count(w)
	was := stateOf()
	isFirst := !w.isKnown || a.Incarnation != w.incarnation
	wasSilent := now-w.heard > silentSpan
	w.incarnation, w.seq, w.heard, w.isKnown = a.Incarnation, a.Seq, now, true
	w.cores, w.memory, w.rack = a.CoresMilli, a.MemoryMb, a.Rack
	if a.Draining && (!w.isLeaving || isFirst) {
		w.leftAt = now
	}
	w.isLeaving = a.Draining
	w.accelerators, w.labels, w.pool, w.gathers, w.isNamed = a.Accelerators, a.Labels, a.Pool, a.GangBarrier, a.TasksByName
	w.departAt, w.isStale = 0, true
	if a.WarmUpUs > 0 {
		w.coldUntil = now + eventloop.Micros(a.WarmUpUs)
	} else {
		w.coldUntil = min(w.coldUntil, now)
	}
	if a.Draining && a.DepartsInUs > 0 {
		w.departAt = now + eventloop.Micros(a.DepartsInUs)
	}
	running, over := t.resolve(w, a)
	w.running = map[attemptKey]*schema.TaskStatus{}
	for _, note := range running {
		w.running[noteKey(note)] = note
		t.look(now, w, note)
	}
	t.gauge(now, w)
	t.reports(now, w, over, out)
	t.forsaken(now, w, out)
	t.buried(now, a.ReplacedWorkers, m.Worker, out)
	// The older announce is overtaken; its answer would say less, and an agent,
	// which has one open at a time, doesn't take it.
	if w.poll != nil && !a.TasksByName {
		t.answer(now, w, out)
	}
	wait := eventloop.Micros(min(max(a.MaxWaitUs, 0), int64(holdSpan)))
	w.poll, w.isDirty = &poll{front: front, id: m.Id, seq: a.Seq, until: now + wait}, true
	for _, each := range w.tasks {
		if each.spec.Gang {
			if w.gathers {
				t.gather(now, each)
			}
			t.touchGroup(each)
		}
	}
	if isFirst {
		// The worker must learn of its ward at once, and we have its inventory.
		t.answer(now, w, out)
	}
	// Most announces bring no room.
	t.count(w)
	t.isDirty = t.isDirty || isFirst || wasSilent || was != stateOf()
	t.isStirred = true
}

// forsaken returns what an earlier incarnation of the worker had: by its own
// word nothing of that runs.
func (t *Table) forsaken(now eventloop.Micros, w *worker, out eventloop.Effects) {
	for _, each := range t.tasksOf(w) {
		if each.incarnation < w.incarnation {
			t.giveBack(now, each, "lost", out)
		}
	}
}

func (t *Table) tasksOf(w *worker) []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, each := range w.tasks {
		list = append(list, each)
	}
	slices.SortFunc(list, func(a, b *task) int { return compareKeys(a.key, b.key) })
	return list
}

func (t *Table) giveBack(now eventloop.Micros, each *task, outcome string, out eventloop.Effects) {
	if now-each.lostAt < endSpan && each.lostAt > 0 {
		return
	}
	each.lostAt = now
	t.counts.LostTasks++
	out.Notify("replica", replica.TaskEnded{End: &schema.TaskEndReport{
		Queue: each.key.queue, Key: &schema.TaskKey{Job: each.key.job, Step: each.key.step, Task: each.key.task},
		Attempt: each.attempt, Outcome: outcome, Worker: each.worker, Checkpoint: each.keptProgress(),
	}})
}
