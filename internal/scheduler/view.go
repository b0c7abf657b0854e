package scheduler

// The scheduler's view of a queue: what its leader has handed over.

import (
	"maps"
	"slices"

	"github.com/google/btree"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

type view struct {
	queue, group string
	term, hand   uint64
	urgency      int64
	running      int64
	aim
	use      amount // by what is out
	peak     swing  // of that
	tasks    map[taskKey]*task
	rows     map[shape]*row
	places   map[stepKey]map[string]int // tasks by worker, out or on their way
	reserved map[taskKey]*task          // ready, with a checkout on its way
	gangs    map[taskKey]*task          // first members of groups that are out and not decided to begin
	out      int
	waits    int // ready tasks without a checkout on its way
}

type ended struct {
	note    *schema.TaskStatus
	at      eventloop.Micros // when it was first heard
	sentAt  eventloop.Micros
	isNoted bool
}

// hasBacklog tells whether more waits for room than one checkout takes.
func (t *Table) hasBacklog() bool {
	waits := 0
	for _, v := range t.views {
		waits += v.waits
	}
	return waits > maxPicks
}

// inOrder lists the workers by name; every mail goes over them.
func (t *Table) inOrder() []*worker {
	if t.ordered == nil {
		for _, id := range slices.Sorted(maps.Keys(t.workers)) {
			t.ordered = append(t.ordered, t.workers[id])
		}
	}
	return t.ordered
}

func before(a, b *task) bool { return lessKey(a.key, b.key) }

func (t *Table) shifts(now eventloop.Micros, m replica.TaskEvents, out eventloop.Effects) {
	v := t.views[m.Queue]
	if m.IsSnapshot {
		was := map[taskKey]task{}
		peak := swing{}
		if v != nil {
			peak = v.peak
		}
		if v != nil && v.group == m.Group {
			for key, each := range v.tasks {
				was[key] = *each
			}
		}
		v = &view{queue: m.Queue, group: m.Group, term: m.Term, tasks: map[taskKey]*task{}, reserved: map[taskKey]*task{}, gangs: map[taskKey]*task{}, rows: map[shape]*row{}, places: map[stepKey]map[string]int{}}
		t.lose(m.Queue)
		t.views[m.Queue] = v
		v.urgency, v.running, v.peak, v.aim = m.Urgency, m.Running, peak, t.aimOf(m.Queue)
		for _, shift := range m.Events {
			t.shift(now, v, shift)
		}
		t.inherit(was, v)
		v.hand = m.LastSequence
	} else {
		if v == nil || v.term != m.Term {
			return
		}
		for _, shift := range m.Events {
			if shift.Sequence <= v.hand {
				continue
			}
			if shift.Sequence != v.hand+1 {
				// A hand-over is missing: ask for the whole list.
				t.counts.Gaps++
				out.Notify("replica", replica.ResyncQueue{Group: m.Group})
				break
			}
			v.hand = shift.Sequence
			t.shift(now, v, shift)
		}
	}
	// What is out now took its room when it was picked.
	if m.IsSnapshot || slices.ContainsFunc(m.Events, func(s *queue.TaskEvent) bool { return s.Status == queue.Ready }) {
		t.isDirty = true
	}
	t.isStirred = true
}

// inherit keeps what only this table knew of tasks that are still the same.
func (t *Table) inherit(old map[taskKey]task, v *view) {
	for key, each := range v.tasks {
		if was, isThere := old[key]; isThere && was.attempt == each.attempt {
			if (each.standing == queue.Ready) == (was.standing == queue.Ready) {
				each.since = was.since
			}
			each.evict, each.why, each.trail = was.evict, was.why, was.trail
			if each.standing == queue.Ready && was.reserved != "" {
				t.reserve(v, each, was.reserved, was.reservedAt)
			}
		}
	}
}

func (t *Table) shift(now eventloop.Micros, v *view, s *queue.TaskEvent) {
	key := taskKey{v.queue, s.Key.Job, s.Key.Step, s.Key.Task}
	old := v.tasks[key]
	t.remove(v, key)
	if s.Status == queue.Inactive {
		return
	}
	each := &task{
		key: key, standing: s.Status, attempt: s.Attempt, worker: s.Worker, incarnation: s.Incarnation,
		hand: s.Sequence, name: s.Name, spec: s.Spec, text: s.Text, since: now, isLaunched: s.IsGangStarted,
		round: s.Round, part: s.StepInRound, saved: s.Progress, failures: s.Failures,
		dueAt: now - eventloop.Micros(s.RoundAgeUs), course: course{s.CriticalPath, s.RemainingPath},
	}
	if old != nil {
		each.why, each.strikes = old.why, old.strikes
		if old.attempt == each.attempt {
			each.evict, each.trail = old.evict, old.trail
			if (each.standing == queue.Ready) == (old.standing == queue.Ready) {
				each.since = old.since
			}
		}
	}
	v.tasks[key] = each
	name := nameKey{each.name, each.round, each.part, each.key.task}
	t.names[name] = append(t.names[name], each)
	if s.Status == queue.Ready {
		each.worker = ""
		v.addReady(each)
		return
	}
	v.out++
	v.use.add(sizeOf(each.spec))
	v.place(each, each.worker, 1)
	t.placedOn(each.worker)[key] = each
	if each.spec.Gang && key.task == 0 && each.standing == queue.CheckedOut && !each.isLaunched {
		v.gangs[key] = each
	}
	if w := t.workers[each.worker]; w != nil {
		w.isDirty, w.isStale = true, true
		if each.spec.Gang {
			t.touchGroup(each)
		}
	}
}

// touchGroup: what becomes of one member may concern all.
func (t *Table) touchGroup(each *task) {
	for _, member := range t.members(each) {
		if w := t.workers[member.worker]; w != nil {
			w.isDirty = true
		}
	}
}

func (t *Table) remove(v *view, key taskKey) {
	old := v.tasks[key]
	if old == nil {
		return
	}
	delete(v.tasks, key)
	t.forget(old)
	if old.standing == queue.Ready {
		if old.reserved != "" {
			t.unreserve(v, old)
		}
		v.dropReady(old)
		return
	}
	v.out--
	v.use.sub(sizeOf(old.spec))
	v.place(old, old.worker, -1)
	delete(v.gangs, key)
	delete(t.placed[old.worker], key)
	if w := t.workers[old.worker]; w != nil {
		w.isStale = true
	} else if len(t.placed[old.worker]) == 0 {
		delete(t.placed, old.worker)
	}
}

// forget takes a task out of the names.
func (t *Table) forget(each *task) {
	name := nameKey{each.name, each.round, each.part, each.key.task}
	list := slices.DeleteFunc(t.names[name], func(other *task) bool { return other == each })
	if len(list) == 0 {
		delete(t.names, name)
	} else {
		t.names[name] = list
	}
}

func (v *view) addReady(each *task) {
	form := shapeOf(each.key.ofStep(), each.spec)
	r := v.rows[form]
	if r == nil {
		r = &row{form, btree.NewG(16, beforeBand)}
		v.rows[form] = r
	}
	b, isThere := r.bands.Get(&band{key: each.key.ofStep()})
	if !isThere {
		b = &band{key: each.key.ofStep(), spec: each.spec, ready: btree.NewG(4, before)}
		r.bands.ReplaceOrInsert(b)
	}
	b.ready.ReplaceOrInsert(each)
	v.waits++
}

func (v *view) dropReady(each *task) {
	form := shapeOf(each.key.ofStep(), each.spec)
	r := v.rows[form]
	if r == nil {
		return
	}
	if b, isThere := r.bands.Get(&band{key: each.key.ofStep()}); isThere {
		if _, isReady := b.ready.Delete(each); isReady {
			v.waits--
		}
		if b.ready.Len() == 0 {
			r.bands.Delete(b)
		}
		if r.bands.Len() == 0 {
			delete(v.rows, form)
		}
	}
}

// place counts a task of a step on a worker.
func (v *view) place(each *task, worker string, by int) {
	key := each.key.ofStep()
	if v.places[key] == nil {
		v.places[key] = map[string]int{}
	}
	if v.places[key][worker] += by; v.places[key][worker] <= 0 {
		delete(v.places[key], worker)
	}
	if len(v.places[key]) == 0 {
		delete(v.places, key)
	}
}
