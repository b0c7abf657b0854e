// Package scheduler owns which worker runs which task. It holds a copy of what
// the queues led here have ready and out, and of what its workers say of
// themselves; the answer to a worker's announce is the difference.
package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/google/btree"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

// Pace is the tick of the table.
const Pace = 20 * eventloop.Milli

const (
	silentSpan   = eventloop.Second       // no order to a worker not heard for this long
	actSpan      = timing.ActSpan         // how old a leader's word may be for an order to leave
	holdSpan     = 400 * eventloop.Milli  // how long an announce is held back at most
	endSpan      = 300 * eventloop.Milli  // a report that isn't settled is passed on again
	reserveSpan  = 3 * eventloop.Second   // a checkout that was never heard of is given up
	launchSpan   = 500 * eventloop.Milli  // a decision to begin a group that isn't heard of is proposed again
	pollSpan     = 50 * eventloop.Milli   // an announce that is to be answered sooner may be gone by the decision
	wholeSpan    = eventloop.Second       // how long a failure in a group waits for the others to begin
	leaveSpan    = 500 * eventloop.Milli  // a decided start may still reach a worker that has just said it leaves
	groupSpan    = 3 * eventloop.Second   // a group that isn't held by then is let go
	gatherSpan   = 2 * eventloop.Second   // a member that hasn't begun by then lets the others go, unless the bounds say more
	preemptAfter = 500 * eventloop.Milli  // how long urgent work waits before it displaces
	claimAfter   = 1500 * eventloop.Milli // how long wide work waits before workers are kept free for it
	asideAfter   = 2500 * eventloop.Milli // how long work that nobody else could run waits before it goes to workers that are set aside
	outAfter     = 12 * eventloop.Second  // the same for other work
	stopSpan     = 3 * eventloop.Second   // a stop that takes longer is waited for no more, unless the bounds say more
	departLead   = 500 * eventloop.Milli  // how long before its worker goes a task is stopped to keep its progress
	overSpan     = 60 * eventloop.Second  // how long a worker stays known as dead after the last word of it
	maxPicks     = 64                     // of one checkout, groups apart
	maxMisses    = 32                     // steps that find no room, of one queue and pass
	wholePass    = eventloop.Second / 2   // between two passes that look at every step
	passRest     = 10 * eventloop.Milli   // after a pass that has left much waiting
)

type taskKey struct {
	queue string
	job   uint64
	step  uint32
	task  uint32
}

// stepKey is a step of a job, of one of its rounds.
type stepKey struct {
	queue string
	job   uint64
	step  uint32
}

func (k taskKey) ofStep() stepKey { return stepKey{k.queue, k.job, k.step} }

type attemptKey struct {
	taskKey
	attempt uint32
}

type task struct {
	key         taskKey
	standing    queue.Standing
	attempt     uint32
	worker      string
	incarnation uint64
	hand        uint64
	name        string
	spec        *schema.Step
	text        string
	reserved    string // worker of a checkout on its way
	reservedAt  eventloop.Micros
	since       eventloop.Micros // ready or out since
	evict       string           // outcome to report once the worker has stopped it
	why         string           // of the placement
	lostAt      eventloop.Micros
	isLaunched  bool             // its group is decided to begin
	launchAt    eventloop.Micros // when that was proposed
	heldAt      eventloop.Micros // when the whole group was first seen held
	isOver      bool             // its end has been noted, by more than we have heard of the queue
	round, part uint32
	saved       string // progress its next start carries
	failures    uint32 // counted so far
	dueAt       eventloop.Micros
	course
	trail
}

// trail is what was seen of one attempt.
type trail struct {
	beganAt eventloop.Micros // first seen running
	movedAt eventloop.Micros // its progress was last seen to change
	savedAt eventloop.Micros // its kept progress was last seen to change
	percent int64
	seen    string           // kept progress last seen
	strikes uint32           // times it was stopped for standing still
	orderAt eventloop.Micros // its start order left last
	mark    mark
	stopAt  eventloop.Micros // it was first seen wanting to be stopped
	isLate  bool             // its stop takes too long to wait for the room
}

// keptProgress is the newest progress known, for steps that keep any.
func (t *task) keptProgress() string {
	if !t.spec.Saves {
		return ""
	}
	return cmp.Or(t.seen, t.saved)
}

// band is the ready tasks of one step.
type band struct {
	key   stepKey
	spec  *schema.Step
	ready *btree.BTreeG[*task]
}

// shape is all that decides whether steps fit anywhere: where one doesn't,
// those of the same shape behind it needn't be tried.
type shape struct {
	need     amount
	labels   string
	together uint32  // members of a group
	own      stepKey // of a step whose other tasks matter
}

func shapeOf(key stepKey, spec *schema.Step) shape {
	form := shape{need: sizeOf(spec)}
	if len(spec.Labels) > 0 {
		form.labels = strings.Join(spec.Labels, " ")
	}
	if spec.Together {
		form.together = spec.Tasks
	}
	if spec.PerWorker > 0 {
		form.own = key
	}
	return form
}

// row is the ready steps of one shape, in order.
type row struct {
	form  shape
	bands *btree.BTreeG[*band]
}

func beforeBand(a, b *band) bool {
	return cmp.Or(cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.step, b.key.step)) < 0
}

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
	note    *schema.TaskNote
	at      eventloop.Micros // when it was first heard
	sentAt  eventloop.Micros
	isNoted bool
}

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
	running     map[attemptKey]*schema.TaskNote
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
	strange      []*schema.TaskNote         // runs that no task is known for
	unknown      []*schema.TaskNote         // ends that no task is known for

	reserved map[taskKey]*task // checkouts on their way
	isStale  bool              // the sums below are to be made anew
	used     amount            // by all that is there or on its way
	coming   amount            // of that, what is being stopped
	fixed    amount            // of that, what never ends by itself
	count    int
	isBlurry bool // it runs something of unknown size
}

// Table is the scheduler's table.
type Table struct {
	id        string
	state     *schema.ClusterState
	values    *clusterstate.Values
	views     map[string]*view
	workers   map[string]*worker
	fresh     replica.Fresh
	freshAt   eventloop.Micros
	isDirty   bool
	isStirred bool             // a group may have come to be held
	list      []*room          // of the latest pass, used again
	futileAt  eventloop.Micros // nothing was found to displace
	wholeAt   eventloop.Micros // the latest pass over every step
	passAt    eventloop.Micros // no pass before
	counts    Counts
	bounds    *schema.Bounds
	placed    map[string]map[taskKey]*task // by worker, whoever wards it
	names     map[nameKey][]*task
	over      map[string]eventloop.Micros // dead workers, and when that was last told
	paces     map[paceKey]*pace
	cores     int64     // milli cores of all workers that may be given work
	ordered   []*worker // by name; nil: to be made anew
}

// Counts says what the scheduler has done.
type Counts struct {
	Starts, Stops, Holds, Preempted, LostTasks, Gaps uint64
}

// New makes the table of the scheduler with this process id.
func New(id string) *Table {
	return &Table{
		id: id, state: &schema.ClusterState{}, values: clusterstate.Read(nil), views: map[string]*view{}, workers: map[string]*worker{},
		placed: map[string]map[taskKey]*task{}, names: map[nameKey][]*task{}, over: map[string]eventloop.Micros{}, paces: map[paceKey]*pace{},
	}
}

// Bind sets what the deployment promises and asks; nil or zero: the defaults.
func (t *Table) Bind(bounds *schema.Bounds) *Table {
	t.bounds = bounds
	return t
}

// Why asks for the reason of a task's placement.
type Why struct {
	Request uint64
}

// Step implements eventloop.Table.
func (t *Table) Step(now eventloop.Micros, mail eventloop.Mail, out eventloop.Out) {
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		t.tick(now, out)
	case *schema.ClusterStateTell:
		t.clusterState(now, body, out)
	case replica.Fresh:
		// A process that was frozen finds word from before in its mail.
		t.fresh, t.freshAt = body, cmp.Or(body.At, now)
	case replica.Shifts:
		t.shifts(now, body, out)
	case replica.Lost:
		t.lose(body.Queue)
	case *schema.Poll:
		t.heard(now, mail.From, body, out)
	case *schema.EndReply:
		t.noted(body)
	case Why:
		out.Answer(body.Request, t.placements(now))
	}
	if t.isDirty && now >= t.passAt {
		t.isDirty = false
		t.pass(now, out)
		// What stands in a row loses nothing by a moment more, and a pass over a
		// long row costs far more than the mail that asks for it.
		if t.hasBacklog() {
			t.passAt = now + passRest
		}
	}
	if t.isStirred {
		t.isStirred = false
		t.launch(now, out)
	}
	t.answerAll(now, out)
}

// hasBacklog tells whether more waits for room than one checkout takes.
func (t *Table) hasBacklog() bool {
	waits := 0
	for _, v := range t.views {
		waits += v.waits
	}
	return waits > maxPicks
}

func (t *Table) plan(key string) int64 { return t.values.Fleet(key) }

// --- the cluster state: whom we ward ---

func (t *Table) clusterState(now eventloop.Micros, m *schema.ClusterStateTell, out eventloop.Out) {
	if m.State == nil {
		return
	}
	t.state, t.values = m.State, clusterstate.Read(m.State.Plan)
	mine := map[string]*schema.Ward{}
	for _, ward := range t.state.Wards {
		if ward.Scheduler == t.id {
			mine[ward.Worker] = ward
		}
	}
	for _, w := range t.inOrder() {
		id := w.id
		if ward := mine[id]; ward == nil || ward.Generation != w.generation {
			t.dismiss(w, out)
			delete(t.workers, id)
			t.ordered = nil
			if len(w.tasks) == 0 {
				delete(t.placed, id)
			}
		}
	}
	for id, ward := range mine {
		if t.workers[id] != nil {
			continue
		}
		w := &worker{
			id: id, generation: ward.Generation, since: now, running: map[attemptKey]*schema.TaskNote{},
			ended: map[attemptKey]*ended{}, tasks: t.placedOn(id), resolved: map[nameAttempt]attemptKey{},
			reserved: map[taskKey]*task{}, isStale: true,
		}
		t.workers[id], t.ordered = w, nil
		for _, v := range t.views {
			for key, each := range v.reserved {
				if each.reserved == id {
					w.reserved[key] = each
				}
			}
		}
		_, w.isOver = t.over[id]
	}
	for _, v := range t.views {
		v.aim = t.aimOf(v.queue)
	}
	t.isDirty = true
}

// placedOn is the tasks out on a worker.
func (t *Table) placedOn(id string) map[taskKey]*task {
	if t.placed[id] == nil {
		t.placed[id] = map[taskKey]*task{}
	}
	return t.placed[id]
}

func (t *Table) dismiss(w *worker, out eventloop.Out) {
	if w.poll != nil {
		out.Send(w.poll.front, &schema.PollReply{Id: w.poll.id, Scheduler: t.id})
		w.poll = nil
	}
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

// --- the queues: what is ready and out ---

func before(a, b *task) bool { return lessKey(a.key, b.key) }

func (t *Table) shifts(now eventloop.Micros, m replica.Shifts, out eventloop.Out) {
	v := t.views[m.Queue]
	if m.IsWhole {
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
		for _, shift := range m.List {
			t.shift(now, v, shift)
		}
		t.inherit(was, v)
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
				out.Tell("replica", replica.Query{Group: m.Group})
				break
			}
			v.hand = shift.Hand
			t.shift(now, v, shift)
		}
	}
	// What is out now took its room when it was picked.
	if m.IsWhole || slices.ContainsFunc(m.List, func(s *queue.Shift) bool { return s.State == queue.Ready }) {
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

func (t *Table) shift(now eventloop.Micros, v *view, s *queue.Shift) {
	key := taskKey{v.queue, s.Key.Job, s.Key.Step, s.Key.Task}
	old := v.tasks[key]
	t.remove(v, key)
	if s.State == queue.Gone {
		return
	}
	each := &task{
		key: key, standing: s.State, attempt: s.Attempt, worker: s.Worker, incarnation: s.Incarnation,
		hand: s.Hand, name: s.Name, spec: s.Spec, text: s.Text, since: now, isLaunched: s.IsLaunched,
		round: s.Round, part: s.Part, saved: s.Saved, failures: s.Failures,
		dueAt: now - eventloop.Micros(s.AgeUs), course: course{s.Span, s.Ahead},
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
	if s.State == queue.Ready {
		each.worker = ""
		v.addReady(each)
		return
	}
	v.out++
	v.use.add(sizeOf(each.spec))
	v.place(each, each.worker, 1)
	t.placedOn(each.worker)[key] = each
	if each.spec.Together && key.task == 0 && each.standing == queue.Out && !each.isLaunched {
		v.gangs[key] = each
	}
	if w := t.workers[each.worker]; w != nil {
		w.isDirty, w.isStale = true, true
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
	return now-t.freshAt < actSpan && t.fresh.ClusterState
}

// mayAct tells whether orders for a queue may leave: its leader has just heard
// its quorum, and the cluster state's word is fresh.
func (t *Table) mayAct(now eventloop.Micros, v *view) bool {
	return t.isSure(now) && t.fresh.Groups[v.group] == v.term
}

// --- the workers ---

func noteKey(note *schema.TaskNote) attemptKey {
	return attemptKey{taskKey{note.Queue, note.Job, note.Step, note.Task}, note.Attempt}
}

func (t *Table) heard(now eventloop.Micros, front string, m *schema.Poll, out eventloop.Out) {
	w := t.workers[m.Worker]
	a := m.Announce
	// Who isn't sure of being the ward gives no lease.
	if w == nil || a == nil || w.isOver || !t.isSure(now) || a.Ward > w.generation {
		out.Send(front, &schema.PollReply{Id: m.Id, Scheduler: t.id})
		return
	}
	if a.Incarnation < w.incarnation || a.Incarnation == w.incarnation && a.Seq <= w.seq {
		out.Send(front, &schema.PollReply{Id: m.Id, Scheduler: t.id})
		return
	}
	if a.Unanswered && w.isKnown && a.Incarnation == w.incarnation {
		// We hear it, but it doesn't hear us: what was ordered there may never begin, so
		// it counts as silent. This answer grants nothing, and tells whether it hears again.
		out.Send(front, &schema.PollReply{Id: m.Id, Scheduler: t.id})
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
	if a.Leaving && (!w.isLeaving || isFirst) {
		w.leftAt = now
	}
	w.isLeaving = a.Leaving
	w.accelerators, w.labels, w.pool, w.gathers, w.isNamed = a.Accelerators, a.Labels, a.Pool, a.Gathers, a.Named
	w.departAt, w.isStale = 0, true
	if a.ColdUs > 0 {
		w.coldUntil = now + eventloop.Micros(a.ColdUs)
	} else {
		w.coldUntil = min(w.coldUntil, now)
	}
	if a.Leaving && a.DepartureUs > 0 {
		w.departAt = now + eventloop.Micros(a.DepartureUs)
	}
	running, over := t.resolve(w, a)
	w.running = map[attemptKey]*schema.TaskNote{}
	for _, note := range running {
		w.running[noteKey(note)] = note
		t.look(now, w, note)
	}
	t.gauge(now, w)
	t.reports(now, w, over, out)
	t.forsaken(now, w, out)
	t.buried(now, a.Over, m.Worker, out)
	// The older announce is overtaken; its answer would say less, and an agent,
	// which has one open at a time, doesn't take it.
	if w.poll != nil && !a.Named {
		t.answer(now, w, out)
	}
	wait := eventloop.Micros(min(max(a.WaitUs, 0), int64(holdSpan)))
	w.poll, w.isDirty = &poll{front: front, id: m.Id, seq: a.Seq, until: now + wait}, true
	for _, each := range w.tasks {
		if each.spec.Together {
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

// reports passes ended tasks on to their queues' leaders until they are noted.
func (t *Table) reports(now eventloop.Micros, w *worker, notes []*schema.TaskNote, out eventloop.Out) {
	fresh := map[attemptKey]*ended{}
	for _, note := range notes {
		key := noteKey(note)
		e := w.ended[key]
		if e == nil {
			e = &ended{note: note, at: now, sentAt: -endSpan}
			t.judge(now, w, key, note)
		}
		fresh[key] = e
	}
	w.ended = fresh
	t.passReports(now, w, out)
}

func (t *Table) passReports(now eventloop.Micros, w *worker, out eventloop.Out) {
	for _, key := range endedKeys(w) {
		e := w.ended[key]
		if e.isNoted || now-e.sentAt < endSpan {
			continue
		}
		outcome := e.note.State
		end := &schema.End{
			Queue: key.queue, Key: &schema.TaskKey{Job: key.job, Step: key.step, Task: key.task},
			Attempt: key.attempt, Worker: w.id, Saved: e.note.Saved, Whole: outcome == "done" && w.gathers,
		}
		if v := t.views[key.queue]; v != nil && t.mayAct(now, v) {
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
			if each != nil {
				end.Whole = end.Whole && each.spec.Together
				// A run that ends before it has kept anything new leaves what there was.
				if end.Saved == "" && each.attempt == key.attempt {
					end.Saved = each.keptProgress()
				}
				if !each.spec.Saves {
					end.Saved = ""
				}
			}
		}
		if outcome == "done" {
			end.Saved = ""
		}
		e.sentAt = now
		end.Outcome = outcome
		out.Tell("replica", replica.Ended{End: end})
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
	return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.job, b.job), cmp.Compare(a.step, b.step), cmp.Compare(a.task, b.task))
}

// forsaken returns what an earlier incarnation of the worker had: by its own
// word nothing of that runs.
func (t *Table) forsaken(now eventloop.Micros, w *worker, out eventloop.Out) {
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

func (t *Table) giveBack(now eventloop.Micros, each *task, outcome string, out eventloop.Out) {
	if now-each.lostAt < endSpan && each.lostAt > 0 {
		return
	}
	each.lostAt = now
	t.counts.LostTasks++
	out.Tell("replica", replica.Ended{End: &schema.End{
		Queue: each.key.queue, Key: &schema.TaskKey{Job: each.key.job, Step: each.key.step, Task: each.key.task},
		Attempt: each.attempt, Outcome: outcome, Worker: each.worker, Saved: each.keptProgress(),
	}})
}

func (t *Table) noted(m *schema.EndReply) {
	if w := t.workers[m.Worker]; w != nil && m.Key != nil {
		if e := w.ended[attemptKey{taskKey{m.Queue, m.Key.Job, m.Key.Step, m.Key.Task}, m.Attempt}]; e != nil {
			e.isNoted, w.isDirty = true, true
		}
	}
	// The queue has taken the end in, though its shift may not be here yet: this
	// attempt isn't started any more.
	if v := t.views[m.Queue]; v != nil && m.Key != nil {
		if each := v.tasks[taskKey{m.Queue, m.Key.Job, m.Key.Step, m.Key.Task}]; each != nil && each.attempt == m.Attempt && each.worker == m.Worker {
			each.isOver = true
		}
	}
}

// --- time ---

func (t *Table) tick(now eventloop.Micros, out eventloop.Out) {
	lease := eventloop.Micros(t.plan("lease_ms")+t.plan("margin_ms")) * eventloop.Milli
	for _, w := range t.inOrder() {
		w.isDirty = true
		t.passReports(now, w, out)
		// Whoever warded it before us may have answered it a little longer
		// than we know.
		last := max(w.answered, w.since+timing.Of(t.bounds).Ward)
		// Who isn't sure of being the ward may have a successor that the worker
		// answers to.
		if now-w.heard > silentSpan && now-last > lease && t.isSure(now) {
			for _, each := range t.tasksOf(w) {
				t.giveBack(now, each, "lost", out)
			}
		}
		t.limits(now, w)
		if t.isFrozen(now, w) {
			t.rescue(now, w, crawl)
		}
	}
	t.bury(now, out)
	for _, v := range t.views {
		v.peak.follow(v.use)
		for _, each := range v.reserved {
			if now-each.reservedAt > reserveSpan {
				t.unreserve(v, each)
				v.addReady(each)
			}
		}
	}
	t.isDirty, t.isStirred = true, true
}

// reserve takes a ready task for a worker while its checkout is on its way.
func (t *Table) reserve(v *view, each *task, worker string, now eventloop.Micros) {
	v.dropReady(each)
	each.reserved, each.reservedAt = worker, now
	v.reserved[each.key] = each
	v.place(each, worker, 1)
	if w := t.workers[worker]; w != nil {
		w.reserved[each.key], w.isStale = each, true
	}
}

func (t *Table) unreserve(v *view, each *task) {
	delete(v.reserved, each.key)
	v.place(each, each.reserved, -1)
	if w := t.workers[each.reserved]; w != nil {
		delete(w.reserved, each.key)
		w.isStale = true
	}
	each.reserved = ""
}

// evict has a task stopped; the outcome is what its end will be told as.
func (t *Table) evict(each *task, outcome string) {
	each.evict = outcome
	if w := t.workers[each.worker]; w != nil {
		w.isDirty, w.isStale = true, true
	}
}

// evictWhole has a task stopped, and its group with it.
func (t *Table) evictWhole(each *task, outcome string) {
	if !each.spec.Together {
		t.evict(each, outcome)
		return
	}
	for _, member := range t.members(each) {
		if member.standing == queue.Out && member.evict == "" {
			t.evict(member, outcome)
		}
	}
}

// limits marks tasks that have run too long, stood still, or wait in a group
// that doesn't come together.
func (t *Table) limits(now eventloop.Micros, w *worker) {
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
			return t.values.Of("queue", key.queue, usual) * int64(eventloop.Milli)
		}
		if limit := stated(each.spec.TimeLimitUs, "limit_ms"); limit > 0 && note.State == "running" && note.RunUs+age > limit {
			t.evict(each, "failed")
		}
		if limit := stated(each.spec.StillUs, "still_ms"); limit > 0 && note.State == "running" && note.StillUs+age > limit {
			t.evict(each, "failed")
		}
		if each.evict != "" || each.standing != queue.Out {
			continue
		}
		if t.isStuck(now, w, each, note) {
			each.strikes++
			if each.spec.Together {
				for _, member := range t.members(each) {
					member.strikes = max(member.strikes, each.strikes)
				}
			}
			t.evictWhole(each, "stopped")
			t.setAside(now, w, firstRest, 1)
			continue
		}
		// What can't end in time keeps its progress; what keeps none may as well
		// try.
		if w.isLeaving && w.departAt > 0 && each.spec.Saves && now+departLead >= w.departAt && now+t.remaining(now, w, each) > w.departAt {
			t.evictWhole(each, "stopped")
		}
	}
	for _, each := range w.tasks {
		if each.standing == queue.Stopping || each.evict != "" {
			if each.stopAt == 0 {
				each.stopAt = now
			}
			if !each.isLate && now-each.stopAt > t.stopSpan() {
				each.isLate, w.isStale = true, true
			}
		}
		if each.spec.Together && w.gathers {
			t.gather(now, each)
			continue
		}
		isWaiting := each.spec.Together && each.standing == queue.Out && !each.isLaunched && each.evict == ""
		// Once its start has been proposed, only the log knows what becomes of it.
		if isWaiting && now-each.since > groupSpan && (each.launchAt == 0 || now-each.launchAt > groupSpan) {
			t.evict(each, "stopped")
		}
	}
}

// stopSpan is how long a stop may take before nobody waits for its room any
// more.
func (t *Table) stopSpan() eventloop.Micros {
	return max(2*eventloop.Micros(t.bounds.GetStopUs()), stopSpan)
}

// --- groups that must run together ---

func (t *Table) members(each *task) []*task {
	v := t.views[each.key.queue]
	var list []*task
	for k := uint32(0); k < each.spec.Tasks; k++ {
		if member := v.tasks[taskKey{each.key.queue, each.key.job, each.key.step, k}]; member != nil {
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
// is a record of the queue before any start leaves, so that a successor carries
// it out instead of breaking it; and it waits for a moment until every worker
// has an announce open, so that all starts leave in one step.
func (t *Table) launch(now eventloop.Micros, out eventloop.Out) {
	// Few of many queues have a group that isn't decided on.
	var names []string
	for name, v := range t.views {
		if len(v.gangs) > 0 && t.mayAct(now, v) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		v := t.views[name]
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
			out.Tell("replica", replica.Propose{Group: v.group, Term: v.term, Command: &schema.QueueCommand{
				Body: &schema.QueueCommand_Launch{Launch: command},
			}})
		}
	}
}

// isHeld tells whether every member is held by a worker that stays.
func (t *Table) isHeld(members []*task) bool {
	for _, member := range members {
		w := t.workers[member.worker]
		if member.standing != queue.Out || member.evict != "" || w == nil || w.isLeaving || w.gathers {
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
func (t *Table) isOpen(now eventloop.Micros, members []*task) bool {
	for _, member := range members {
		w := t.workers[member.worker]
		if w.poll == nil || w.poll.until < now+pollSpan {
			return false
		}
	}
	return true
}

// --- answers ---

func (t *Table) answerAll(now eventloop.Micros, out eventloop.Out) {
	for _, w := range t.inOrder() {
		if w.poll == nil || !w.isDirty && now < w.poll.until {
			continue
		}
		w.isDirty = false
		if list := t.orders(now, w); now >= w.poll.until || len(list) > 0 || t.hasNoted(now, w) {
			t.answerWith(now, w, list, out)
		}
	}
}

func (t *Table) hasNoted(now eventloop.Micros, w *worker) bool {
	for _, e := range w.ended {
		if e.isNoted {
			return true
		}
	}
	return len(w.unknown) > 0 && len(t.forgotten(now, w.unknown)) > 0
}

func (t *Table) answer(now eventloop.Micros, w *worker, out eventloop.Out) {
	t.answerWith(now, w, t.orders(now, w), out)
}

func (t *Table) answerWith(now eventloop.Micros, w *worker, list []*schema.Order, out eventloop.Out) {
	p := w.poll
	w.poll = nil
	if !t.isSure(now) || now-w.heard > silentSpan {
		out.Send(p.front, &schema.PollReply{Id: p.id, Scheduler: t.id})
		return
	}
	orders := &schema.Orders{Ward: w.generation, LeaseUs: t.plan("lease_ms") * 1000, Scheduler: t.id, Orders: list}
	for _, key := range endedKeys(w) {
		if e := w.ended[key]; e.isNoted {
			orders.Noted = append(orders.Noted, &schema.TaskNote{
				Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: key.attempt,
				Name: e.note.Name, Round: e.note.Round, Part: e.note.Part,
			})
		}
	}
	orders.Noted = append(orders.Noted, t.forgotten(now, w.unknown)...)
	for _, order := range orders.Orders {
		switch order.Act {
		case "start":
			t.counts.Starts++
			if each := w.tasks[taskKey{order.Queue, order.Job, order.Step, order.Task}]; each != nil {
				each.orderAt = now
			}
		case "hold":
			t.counts.Holds++
		default:
			t.counts.Stops++
		}
	}
	w.answered = now
	out.Send(p.front, &schema.PollReply{Id: p.id, Code: 200, Orders: orders, Scheduler: t.id})
}

// orders is the difference between what the queues want on a worker and what
// it says it has.
func (t *Table) orders(now eventloop.Micros, w *worker) []*schema.Order {
	var list []*schema.Order
	left := w.whole()
	for key, note := range w.running {
		left.sub(t.sizeOf(w, key, note))
	}
	for _, note := range w.strange {
		left.sub(amount{cores: note.CoresMilli, memory: note.MemoryMb})
	}
	isBlurry := t.isBlurry(w)
	for _, each := range t.tasksOf(w) {
		key := attemptKey{each.key, each.attempt}
		if each.incarnation != w.incarnation || w.ended[key] != nil || w.isOver || each.isOver {
			continue
		}
		v := t.views[each.key.queue]
		note := w.running[key]
		switch {
		case each.standing == queue.Stopping || each.evict != "" || w.isLeaving && !t.isBound(now, w, each, note):
			list = append(list, t.order("stop", v, each))
		case !t.mayAct(now, v):
		case note == nil:
			// The plan may have given the queue to other workers since.
			if t.values.Text("queue", v.queue, "pool") != w.pool {
				list = append(list, t.order("stop", v, each))
				continue
			}
			// The worker's own room is the last word, whatever we counted.
			if need := sizeOf(each.spec); left.has(need) && !isBlurry && (!w.gathers || t.mayGather(each)) {
				left.sub(need)
				act := "start"
				if each.spec.Together && !each.isLaunched && !w.gathers {
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
func (t *Table) isBound(now eventloop.Micros, w *worker, each *task, note *schema.TaskNote) bool {
	if note == nil {
		return false
	}
	return note.State != "held" || each.isLaunched && now-w.leftAt < leaveSpan
}

func lessOrder(x, y *schema.Order) bool {
	return cmp.Or(
		compareKeys(taskKey{x.Queue, x.Job, x.Step, x.Task}, taskKey{y.Queue, y.Job, y.Step, y.Task}),
		cmp.Compare(x.Name, y.Name), cmp.Compare(x.Round, y.Round), cmp.Compare(x.Part, y.Part), cmp.Compare(x.Attempt, y.Attempt),
	) < 0
}

// strays are tasks that run on the worker though their queue, which is led
// here, doesn't have them out there.
func (t *Table) strays(now eventloop.Micros, w *worker) []*schema.Order {
	var list []*schema.Order
	for key, note := range w.running {
		v := t.views[key.queue]
		if v == nil || !t.mayAct(now, v) {
			continue
		}
		if each := v.tasks[key.taskKey]; each != nil && each.attempt <= key.attempt && each.standing != queue.Ready && each.worker == w.id {
			continue
		}
		list = append(list, &schema.Order{Act: "stop", Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: note.Attempt, Term: v.term, Name: note.Name, Round: note.Round, Part: note.Part})
	}
	for _, note := range t.forgotten(now, w.strange) {
		list = append(list, &schema.Order{Act: "stop", Name: note.Name, Round: note.Round, Part: note.Part, Task: note.Task, Attempt: note.Attempt})
	}
	sort.Slice(list, func(a, b int) bool { return lessOrder(list[a], list[b]) })
	return list
}

func (t *Table) order(act string, v *view, each *task) *schema.Order {
	saved := ""
	if each.spec.Saves {
		saved = each.saved
	}
	return &schema.Order{
		Round: each.round, Part: each.part, Saved: saved, Accelerators: each.spec.Accelerators,
		Act: act, Queue: v.queue, Name: each.name, Job: each.key.job, Step: each.key.step, Task: each.key.task, Attempt: each.attempt,
		Hand: each.hand, Term: v.term, StepName: each.spec.Name, Text: each.text,
		CoresMilli: each.spec.CoresMilli, MemoryMb: each.spec.MemoryMb,
	}
}
