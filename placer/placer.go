// Package placer owns which worker runs which task. It holds a copy of what
// the lanes led here have ready and out, and of what its workers say of
// themselves; the answer to a worker's announce is the difference.
package placer

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"github.com/google/btree"

	"sparnotch/charter"
	"sparnotch/keep"
	"sparnotch/lane"
	"sparnotch/loop"
	"sparnotch/schema"
)

// Pace is the tick of the table.
const Pace = 20 * loop.Milli

const (
	silentSpan   = loop.Second       // no order to a worker not heard for this long
	actSpan      = 250 * loop.Milli  // how old a keeper's word may be for an order to leave
	wardSpan     = 1250 * loop.Milli // how long a former ward may still have answered: the keeper's freshSpan and actSpan
	holdSpan     = 400 * loop.Milli  // how long an announce is held back at most
	endSpan      = 300 * loop.Milli  // a report that isn't settled is passed on again
	reserveSpan  = 3 * loop.Second   // a checkout that was never heard of is given up
	launchSpan   = 500 * loop.Milli  // a decision to begin a group that isn't heard of is proposed again
	pollSpan     = 50 * loop.Milli   // an announce that is to be answered sooner may be gone by the decision
	wholeSpan    = loop.Second       // how long a failure in a group waits for the others to begin
	leaveSpan    = 500 * loop.Milli  // a decided start may still reach a worker that has just said it leaves
	groupSpan    = 3 * loop.Second   // a group that isn't held by then is let go
	preemptAfter = 300 * loop.Milli  // how long urgent work waits before it displaces
	maxPicks     = 64                // of one checkout, groups apart
	maxMisses    = 8                 // steps that find no room, of one lane and pass
)

type taskKey struct {
	lane string
	job  uint64
	step uint32
	task uint32
}

type attemptKey struct {
	taskKey
	attempt uint32
}

type task struct {
	key         taskKey
	standing    lane.Standing
	attempt     uint32
	worker      string
	incarnation uint64
	hand        uint64
	name        string
	spec        *schema.Step
	text        string
	reserved    string // worker of a checkout on its way
	reservedAt  loop.Micros
	since       loop.Micros // ready or out since
	evict       string      // outcome to report once the worker has stopped it
	why         string      // of the placement
	lostAt      loop.Micros
	isLaunched  bool        // its group is decided to begin
	launchAt    loop.Micros // when that was proposed
	heldAt      loop.Micros // when the whole group was first seen held
}

type view struct {
	lane, group string
	term, hand  uint64
	urgency     int64
	running     int64
	tasks       map[taskKey]*task
	ready       *btree.BTreeG[*task]
	reserved    map[taskKey]*task // ready, with a checkout on its way
	gangs       map[taskKey]*task // first members of groups that are out and not decided to begin
	out         int
}

type ended struct {
	note    *schema.TaskNote
	at      loop.Micros // when it was first heard
	sentAt  loop.Micros
	isNoted bool
}

type poll struct {
	front string
	id    uint64
	seq   uint64
	until loop.Micros
}

type worker struct {
	id          string
	generation  uint64
	since       loop.Micros
	isKnown     bool // has announced itself to this ward's generation
	incarnation uint64
	seq         uint64
	heard       loop.Micros
	answered    loop.Micros
	cores       int64
	memory      int64
	rack        string
	isLeaving   bool
	leftAt      loop.Micros // when that was first heard
	running     map[attemptKey]*schema.TaskNote
	ended       map[attemptKey]*ended
	tasks       map[taskKey]*task
	poll        *poll
	isDirty     bool    // there may be something to tell it
	good, bad   float64 // decayed counts of ended tasks
	asideUntil  loop.Micros
}

// Table is the placer's table.
type Table struct {
	id        string
	state     *schema.CharterState
	values    *charter.Values
	views     map[string]*view
	workers   map[string]*worker
	fresh     keep.Fresh
	freshAt   loop.Micros
	isDirty   bool
	preemptAt loop.Micros
	counts    Counts
}

// Counts says what the placer has done.
type Counts struct {
	Starts, Stops, Holds, Preempted, LostTasks, Gaps uint64
}

// New makes the table of the placer with this process id.
func New(id string) *Table {
	return &Table{id: id, state: &schema.CharterState{}, values: charter.Read(nil), views: map[string]*view{}, workers: map[string]*worker{}}
}

// Why asks for the reason of a task's placement.
type Why struct {
	Errand uint64
}

func (t *Table) Step(now loop.Micros, mail loop.Mail, out loop.Out) {
	switch body := mail.Body.(type) {
	case loop.Tick:
		t.tick(now, out)
	case *schema.CharterTell:
		t.charter(now, body, out)
	case keep.Fresh:
		t.fresh, t.freshAt = body, now
	case keep.Shifts:
		t.shifts(now, body, out)
	case keep.Lost:
		t.lose(body.Lane)
	case *schema.Poll:
		t.heard(now, mail.From, body, out)
	case *schema.EndReply:
		t.noted(body)
	case Why:
		out.Answer(body.Errand, t.placements(now))
	}
	if t.isDirty {
		t.isDirty = false
		t.pass(now, out)
		t.launch(now, out)
	}
	t.answerAll(now, out)
}

func (t *Table) plan(key string) int64 { return t.values.Fleet(key) }

// --- the charter: whom we ward ---

func (t *Table) charter(now loop.Micros, m *schema.CharterTell, out loop.Out) {
	if m.State == nil {
		return
	}
	t.state, t.values = m.State, charter.Read(m.State.Plan)
	mine := map[string]*schema.Ward{}
	for _, ward := range t.state.Wards {
		if ward.Placer == t.id {
			mine[ward.Worker] = ward
		}
	}
	for _, id := range t.workerIds() {
		w := t.workers[id]
		if ward := mine[id]; ward == nil || ward.Generation != w.generation {
			t.dismiss(w, out)
			delete(t.workers, id)
		}
	}
	for id, ward := range mine {
		if t.workers[id] != nil {
			continue
		}
		w := &worker{
			id: id, generation: ward.Generation, since: now, running: map[attemptKey]*schema.TaskNote{},
			ended: map[attemptKey]*ended{}, tasks: map[taskKey]*task{},
		}
		t.workers[id] = w
		for _, v := range t.views {
			for key, each := range v.tasks {
				if each.worker == id {
					w.tasks[key] = each
				}
			}
		}
	}
	t.isDirty = true
}

func (t *Table) dismiss(w *worker, out loop.Out) {
	if w.poll != nil {
		out.Send(w.poll.front, &schema.PollReply{Id: w.poll.id, Placer: t.id})
		w.poll = nil
	}
}

func (t *Table) workerIds() []string {
	return slices.Sorted(maps.Keys(t.workers))
}

// --- the lanes: what is ready and out ---

func before(a, b *task) bool { return lessKey(a.key, b.key) }

func (t *Table) shifts(now loop.Micros, m keep.Shifts, out loop.Out) {
	v := t.views[m.Lane]
	if m.IsWhole {
		old := v
		v = &view{lane: m.Lane, group: m.Group, term: m.Term, tasks: map[taskKey]*task{}, reserved: map[taskKey]*task{}, gangs: map[taskKey]*task{}, ready: btree.NewG(16, before)}
		t.lose(m.Lane)
		t.views[m.Lane] = v
		v.urgency, v.running = m.Urgency, m.Running
		for _, shift := range m.List {
			t.shift(now, v, shift)
		}
		t.inherit(old, v)
		v.hand = m.Hand
	} else {
		if v == nil || v.term != m.Term {
			return
		}
		for _, shift := range m.List {
			if shift.Hand <= v.hand {
				continue
			}
			if shift.Hand != v.hand+1 {
				// A hand-over is missing: ask for the whole list.
				t.counts.Gaps++
				out.Tell("keep", keep.Query{Group: m.Group})
				break
			}
			v.hand = shift.Hand
			t.shift(now, v, shift)
		}
	}
	t.isDirty = true
}

// inherit keeps what only this table knew of tasks that are still the same.
func (t *Table) inherit(old, v *view) {
	if old == nil || old.group != v.group {
		return
	}
	for key, each := range v.tasks {
		if was := old.tasks[key]; was != nil && was.attempt == each.attempt {
			each.since, each.evict, each.why = was.since, was.evict, was.why
			if each.standing == lane.Ready && was.reserved != "" {
				v.reserve(each, was.reserved, was.reservedAt)
			}
		}
	}
}

func (t *Table) shift(now loop.Micros, v *view, s *lane.Shift) {
	key := taskKey{v.lane, s.Key.Job, s.Key.Step, s.Key.Task}
	old := v.tasks[key]
	t.remove(v, key)
	if s.State == lane.Gone {
		return
	}
	each := &task{
		key: key, standing: s.State, attempt: s.Attempt, worker: s.Worker, incarnation: s.Incarnation,
		hand: s.Hand, name: s.Name, spec: s.Spec, text: s.Text, since: now, isLaunched: s.IsLaunched,
	}
	if old != nil {
		each.why = old.why
		if old.attempt == each.attempt {
			each.evict, each.since = old.evict, old.since
		}
	}
	v.tasks[key] = each
	if s.State == lane.Ready {
		each.worker = ""
		v.ready.ReplaceOrInsert(each)
		return
	}
	v.out++
	if each.spec.Together && key.task == 0 && each.standing == lane.Out && !each.isLaunched {
		v.gangs[key] = each
	}
	if w := t.workers[each.worker]; w != nil {
		w.tasks[key] = each
		w.isDirty = true
		if each.spec.Together {
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
	if old.standing == lane.Ready {
		v.ready.Delete(old)
		delete(v.reserved, key)
		return
	}
	v.out--
	delete(v.gangs, key)
	if w := t.workers[old.worker]; w != nil {
		delete(w.tasks, key)
	}
}

func (t *Table) lose(name string) {
	if v := t.views[name]; v != nil {
		for key := range v.tasks {
			t.remove(v, key)
		}
		delete(t.views, name)
	}
}

// isSure tells whether the charter's word, by which this node is a ward, is
// fresh.
func (t *Table) isSure(now loop.Micros) bool { return now-t.freshAt < actSpan && t.fresh.Charter }

// mayAct tells whether orders for a lane may leave: its keeper has just heard
// its quorum, and the charter's word is fresh.
func (t *Table) mayAct(now loop.Micros, v *view) bool {
	return t.isSure(now) && t.fresh.Groups[v.group] == v.term
}

// --- the workers ---

func noteKey(note *schema.TaskNote) attemptKey {
	return attemptKey{taskKey{note.Lane, note.Job, note.Step, note.Task}, note.Attempt}
}

func (t *Table) heard(now loop.Micros, front string, m *schema.Poll, out loop.Out) {
	w := t.workers[m.Worker]
	a := m.Announce
	// Who isn't sure of being the ward gives no licence.
	if w == nil || a == nil || !t.isSure(now) || a.Ward > w.generation {
		out.Send(front, &schema.PollReply{Id: m.Id, Placer: t.id})
		return
	}
	if a.Incarnation < w.incarnation || a.Incarnation == w.incarnation && a.Seq <= w.seq {
		out.Send(front, &schema.PollReply{Id: m.Id, Placer: t.id})
		return
	}
	if a.Incarnation > w.incarnation {
		w.ended = map[attemptKey]*ended{}
		w.good, w.bad, w.asideUntil = 0, 0, 0
	}
	isFirst := !w.isKnown || a.Incarnation != w.incarnation
	w.incarnation, w.seq, w.heard, w.isKnown = a.Incarnation, a.Seq, now, true
	w.cores, w.memory, w.rack = a.CoresMilli, a.MemoryMb, a.Rack
	if a.Leaving && (!w.isLeaving || isFirst) {
		w.leftAt = now
	}
	w.isLeaving = a.Leaving
	w.running = map[attemptKey]*schema.TaskNote{}
	for _, note := range a.Running {
		w.running[noteKey(note)] = note
	}
	t.reports(now, w, a.Ended, out)
	t.forsaken(now, w, out)
	// The older announce is overtaken; its answer would say less.
	if w.poll != nil {
		t.answer(now, w, out)
	}
	wait := loop.Micros(min(max(a.WaitUs, 0), int64(holdSpan)))
	w.poll, w.isDirty = &poll{front: front, id: m.Id, seq: a.Seq, until: now + wait}, true
	for _, each := range w.tasks {
		if each.spec.Together {
			t.touchGroup(each)
		}
	}
	if isFirst {
		// The worker must learn of its ward at once, and we have its inventory.
		t.answer(now, w, out)
	}
	t.isDirty = true
}

// reports passes ended tasks on to their lanes' leaders until they are noted.
func (t *Table) reports(now loop.Micros, w *worker, notes []*schema.TaskNote, out loop.Out) {
	fresh := map[attemptKey]*ended{}
	for _, note := range notes {
		key := noteKey(note)
		e := w.ended[key]
		if e == nil {
			e = &ended{note: note, at: now, sentAt: -endSpan}
			switch note.State {
			case "done":
				w.good = w.good*0.98 + 1
				w.bad *= 0.98
			case "failed":
				w.bad = w.bad*0.98 + 1
				w.good *= 0.98
			}
		}
		fresh[key] = e
	}
	w.ended = fresh
	t.passReports(now, w, out)
}

func (t *Table) passReports(now loop.Micros, w *worker, out loop.Out) {
	for _, key := range endedKeys(w) {
		e := w.ended[key]
		if e.isNoted || now-e.sentAt < endSpan {
			continue
		}
		outcome := e.note.State
		if v := t.views[key.lane]; v != nil && t.mayAct(now, v) {
			each := v.tasks[key.taskKey]
			// It isn't out under that attempt any more, so nothing is left to
			// report, but that it failed. That is sure only when nothing is on
			// its way to us.
			isPast := each == nil || each.attempt > key.attempt
			if isPast && outcome != "failed" {
				e.isNoted = true
				continue
			}
			// Who fails at once would have the others stopped before the last of
			// them has begun, whose order was lost on the way.
			if !isPast && outcome == "failed" && now-e.at < wholeSpan && t.isBeginning(each) {
				continue
			}
			if !isPast && each.attempt == key.attempt && each.evict != "" && outcome == "stopped" {
				outcome = each.evict
			}
		}
		e.sentAt = now
		out.Tell("keep", keep.Ended{End: &schema.End{
			Lane: key.lane, Key: &schema.TaskKey{Job: key.job, Step: key.step, Task: key.task},
			Attempt: key.attempt, Outcome: outcome, Worker: w.id,
		}})
	}
}

func endedKeys(w *worker) []attemptKey {
	keys := make([]attemptKey, 0, len(w.ended))
	for key := range w.ended {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return lessKey(keys[a].taskKey, keys[b].taskKey) })
	return keys
}

func lessKey(a, b taskKey) bool { return compareKeys(a, b) < 0 }

func compareKeys(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.lane, b.lane), cmp.Compare(a.job, b.job), cmp.Compare(a.step, b.step), cmp.Compare(a.task, b.task))
}

// forsaken returns what an earlier incarnation of the worker had: by its own
// word nothing of that runs.
func (t *Table) forsaken(now loop.Micros, w *worker, out loop.Out) {
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
	sort.Slice(list, func(a, b int) bool { return lessKey(list[a].key, list[b].key) })
	return list
}

func (t *Table) giveBack(now loop.Micros, each *task, outcome string, out loop.Out) {
	if now-each.lostAt < endSpan && each.lostAt > 0 {
		return
	}
	each.lostAt = now
	t.counts.LostTasks++
	out.Tell("keep", keep.Ended{End: &schema.End{
		Lane: each.key.lane, Key: &schema.TaskKey{Job: each.key.job, Step: each.key.step, Task: each.key.task},
		Attempt: each.attempt, Outcome: outcome, Worker: each.worker,
	}})
}

func (t *Table) noted(m *schema.EndReply) {
	if w := t.workers[m.Worker]; w != nil && m.Key != nil {
		if e := w.ended[attemptKey{taskKey{m.Lane, m.Key.Job, m.Key.Step, m.Key.Task}, m.Attempt}]; e != nil {
			e.isNoted, w.isDirty = true, true
		}
	}
}

// --- time ---

func (t *Table) tick(now loop.Micros, out loop.Out) {
	licence := loop.Micros(t.plan("licence_ms")+t.plan("margin_ms")) * loop.Milli
	for _, id := range t.workerIds() {
		w := t.workers[id]
		w.isDirty = true
		t.passReports(now, w, out)
		// Whoever warded it before us may have answered it a little longer
		// than we know.
		last := max(w.answered, w.since+wardSpan)
		if now-w.heard > silentSpan && now-last > licence {
			for _, each := range t.tasksOf(w) {
				t.giveBack(now, each, "lost", out)
			}
		}
		t.limits(now, w)
	}
	for _, v := range t.views {
		for key, each := range v.reserved {
			if now-each.reservedAt > reserveSpan {
				each.reserved = ""
				delete(v.reserved, key)
				v.ready.ReplaceOrInsert(each)
			}
		}
	}
	t.isDirty = true
}

// reserve takes a ready task for a worker while its checkout is on its way.
func (v *view) reserve(each *task, worker string, now loop.Micros) {
	each.reserved, each.reservedAt = worker, now
	v.ready.Delete(each)
	v.reserved[each.key] = each
}

// limits marks tasks that have run too long, stood still, or wait in a group
// that doesn't come together.
func (t *Table) limits(now loop.Micros, w *worker) {
	for key, note := range w.running {
		each := w.tasks[key.taskKey]
		if each == nil || each.attempt != key.attempt || each.evict != "" {
			continue
		}
		age := int64(now - w.heard)
		stated := func(own int64, usual string) int64 {
			if own > 0 {
				return own
			}
			return t.values.Of("lane", key.lane, usual) * int64(loop.Milli)
		}
		if limit := stated(each.spec.TimeLimitUs, "limit_ms"); limit > 0 && note.State == "running" && note.RunUs+age > limit {
			each.evict = "failed"
		}
		if limit := stated(each.spec.StillUs, "still_ms"); limit > 0 && note.State == "running" && note.StillUs+age > limit {
			each.evict = "failed"
		}
	}
	for _, each := range w.tasks {
		isWaiting := each.spec.Together && each.standing == lane.Out && !each.isLaunched && each.evict == ""
		// Once its start has been proposed, only the log knows what becomes of it.
		if isWaiting && now-each.since > groupSpan && (each.launchAt == 0 || now-each.launchAt > groupSpan) {
			each.evict = "stopped"
		}
	}
}

// --- groups that must run together ---

func (t *Table) members(each *task) []*task {
	v := t.views[each.key.lane]
	var list []*task
	for k := uint32(0); k < each.spec.Tasks; k++ {
		if member := v.tasks[taskKey{each.key.lane, each.key.job, each.key.step, k}]; member != nil {
			list = append(list, member)
		}
	}
	return list
}

func (t *Table) noteOf(each *task) *schema.TaskNote {
	w := t.workers[each.worker]
	if w == nil {
		return nil
	}
	return w.running[attemptKey{each.key, each.attempt}]
}

// launch proposes that a group begins whose members are all held. The decision
// is a record of the lane before any start leaves, so that a successor carries
// it out instead of breaking it; and it waits for a moment until every worker
// has an announce open, so that all starts leave in one step.
func (t *Table) launch(now loop.Micros, out loop.Out) {
	for _, name := range slices.Sorted(maps.Keys(t.views)) {
		v := t.views[name]
		if len(v.gangs) == 0 || !t.mayAct(now, v) {
			continue
		}
		for _, key := range slices.SortedFunc(maps.Keys(v.gangs), compareKeys) {
			first := v.gangs[key]
			members := t.members(first)
			if len(members) != int(first.spec.Tasks) || !t.isHeld(members) {
				first.heldAt = 0
				continue
			}
			if first.heldAt == 0 {
				first.heldAt = now
			}
			if first.launchAt > 0 && now-first.launchAt < launchSpan || !t.isOpen(now, members) && now-first.heldAt < launchSpan {
				continue
			}
			command := &schema.Launch{Job: first.key.job, Step: first.key.step}
			for _, member := range members {
				member.launchAt = now
				command.Attempts = append(command.Attempts, member.attempt)
			}
			out.Tell("keep", keep.Propose{Group: v.group, Term: v.term, Command: &schema.LaneCommand{
				Body: &schema.LaneCommand_Launch{Launch: command},
			}})
		}
	}
}

// isHeld tells whether every member is held by a worker that stays.
func (t *Table) isHeld(members []*task) bool {
	for _, member := range members {
		w := t.workers[member.worker]
		if member.standing != lane.Out || member.evict != "" || w == nil || w.isLeaving {
			return false
		}
		if t.noteOf(member) == nil {
			return false
		}
	}
	return true
}

// isBeginning tells whether a group that was decided on has members that are
// still only held.
func (t *Table) isBeginning(each *task) bool {
	if !each.isLaunched {
		return false
	}
	for _, member := range t.members(each) {
		if note := t.noteOf(member); note != nil && note.State == "held" && member.evict == "" {
			return true
		}
	}
	return false
}

// isOpen tells whether every member's worker can be answered at once.
func (t *Table) isOpen(now loop.Micros, members []*task) bool {
	for _, member := range members {
		w := t.workers[member.worker]
		if w.poll == nil || w.poll.until < now+pollSpan {
			return false
		}
	}
	return true
}

// --- answers ---

func (t *Table) answerAll(now loop.Micros, out loop.Out) {
	for _, id := range t.workerIds() {
		w := t.workers[id]
		if w.poll == nil || !w.isDirty && now < w.poll.until {
			continue
		}
		w.isDirty = false
		if now >= w.poll.until || len(t.orders(now, w)) > 0 || t.hasNoted(w) {
			t.answer(now, w, out)
		}
	}
}

func (t *Table) hasNoted(w *worker) bool {
	for _, e := range w.ended {
		if e.isNoted {
			return true
		}
	}
	return false
}

func (t *Table) answer(now loop.Micros, w *worker, out loop.Out) {
	p := w.poll
	w.poll = nil
	if !t.isSure(now) || now-w.heard > silentSpan {
		out.Send(p.front, &schema.PollReply{Id: p.id, Placer: t.id})
		return
	}
	orders := &schema.Orders{Ward: w.generation, LicenceUs: t.plan("licence_ms") * 1000, Placer: t.id, Orders: t.orders(now, w)}
	for _, key := range endedKeys(w) {
		if w.ended[key].isNoted {
			orders.Noted = append(orders.Noted, &schema.TaskNote{Lane: key.lane, Job: key.job, Step: key.step, Task: key.task, Attempt: key.attempt})
		}
	}
	for _, order := range orders.Orders {
		switch order.Act {
		case "start":
			t.counts.Starts++
		case "hold":
			t.counts.Holds++
		default:
			t.counts.Stops++
		}
	}
	w.answered = now
	out.Send(p.front, &schema.PollReply{Id: p.id, Code: 200, Orders: orders, Placer: t.id})
}

// orders is the difference between what the lanes want on a worker and what
// it says it has.
func (t *Table) orders(now loop.Micros, w *worker) []*schema.Order {
	var list []*schema.Order
	cores, memory := w.cores, w.memory
	for _, note := range w.running {
		cores -= note.CoresMilli
		memory -= note.MemoryMb
	}
	for _, each := range t.tasksOf(w) {
		key := attemptKey{each.key, each.attempt}
		if each.incarnation != w.incarnation || w.ended[key] != nil {
			continue
		}
		v := t.views[each.key.lane]
		note := w.running[key]
		switch {
		case each.standing == lane.Stopping || each.evict != "" || w.isLeaving && !t.isBound(now, w, each, note):
			list = append(list, t.order("stop", v, each))
		case !t.mayAct(now, v):
		case note == nil:
			// The worker's own room is the last word, whatever we counted.
			if cores >= each.spec.CoresMilli && memory >= each.spec.MemoryMb {
				cores, memory = cores-each.spec.CoresMilli, memory-each.spec.MemoryMb
				act := "start"
				if each.spec.Together && !each.isLaunched {
					act = "hold"
				}
				list = append(list, t.order(act, v, each))
			}
		case note.State == "held" && each.isLaunched:
			list = append(list, t.order("start", v, each))
		}
	}
	return append(list, t.strays(now, w)...)
}

// isBound tells whether a task stays with a worker that leaves: what runs may
// run out, and a member of a group that has been decided to begin is started if
// the worker has only just said so, since others may have begun already.
func (t *Table) isBound(now loop.Micros, w *worker, each *task, note *schema.TaskNote) bool {
	if note == nil {
		return false
	}
	return note.State != "held" || each.isLaunched && now-w.leftAt < leaveSpan
}

func lessOrder(x, y *schema.Order) bool {
	return lessKey(taskKey{x.Lane, x.Job, x.Step, x.Task}, taskKey{y.Lane, y.Job, y.Step, y.Task})
}

// strays are tasks that run on the worker though their lane, which is led
// here, doesn't have them out there.
func (t *Table) strays(now loop.Micros, w *worker) []*schema.Order {
	var list []*schema.Order
	for key, note := range w.running {
		v := t.views[key.lane]
		if v == nil || !t.mayAct(now, v) {
			continue
		}
		if each := v.tasks[key.taskKey]; each != nil && each.attempt <= key.attempt && each.standing != lane.Ready && each.worker == w.id {
			continue
		}
		list = append(list, &schema.Order{Act: "stop", Lane: key.lane, Job: key.job, Step: key.step, Task: key.task, Attempt: note.Attempt, Term: v.term})
	}
	sort.Slice(list, func(a, b int) bool { return lessOrder(list[a], list[b]) })
	return list
}

func (t *Table) order(act string, v *view, each *task) *schema.Order {
	return &schema.Order{
		Act: act, Lane: v.lane, Name: each.name, Job: each.key.job, Step: each.key.step, Task: each.key.task, Attempt: each.attempt,
		Hand: each.hand, Term: v.term, StepName: each.spec.Name, Text: each.text,
		CoresMilli: each.spec.CoresMilli, MemoryMb: each.spec.MemoryMb,
	}
}
