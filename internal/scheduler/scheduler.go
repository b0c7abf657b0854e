// Package scheduler owns which worker runs which task. It holds a copy of what
// the queues led here have ready and out, and of what its workers say of
// themselves; the answer to a worker's announce is the difference.
package scheduler

import (
	"cmp"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/timing"
)

// Pace is the tick of the table.
const Pace = 20 * eventloop.Millisecond

const (
	silentSpan   = eventloop.Second             // no order to a worker not heard for this long
	actSpan      = timing.MaxLeaderStatusAge    // how old a leader's word may be for an order to leave
	holdSpan     = 400 * eventloop.Millisecond  // how long an announce is held back at most
	endSpan      = 300 * eventloop.Millisecond  // a report that isn't settled is passed on again
	reserveSpan  = 3 * eventloop.Second         // a checkout that was never heard of is given up
	launchSpan   = 500 * eventloop.Millisecond  // a decision to begin a group that isn't heard of is proposed again
	pollSpan     = 50 * eventloop.Millisecond   // an announce that is to be answered sooner may be gone by the decision
	wholeSpan    = eventloop.Second             // how long a failure in a group waits for the others to begin
	leaveSpan    = 500 * eventloop.Millisecond  // a decided start may still reach a worker that has just said it leaves
	groupSpan    = 3 * eventloop.Second         // a group that isn't held by then is let go
	gatherSpan   = 2 * eventloop.Second         // a member that hasn't begun by then lets the others go, unless the bounds say more
	preemptAfter = 500 * eventloop.Millisecond  // how long urgent work waits before it displaces
	claimAfter   = 1500 * eventloop.Millisecond // how long wide work waits before workers are kept free for it
	asideAfter   = 2500 * eventloop.Millisecond // how long work that nobody else could run waits before it goes to workers that are set aside
	outAfter     = 12 * eventloop.Second        // the same for other work
	stopSpan     = 3 * eventloop.Second         // a stop that takes longer is waited for no more, unless the bounds say more
	departLead   = 500 * eventloop.Millisecond  // how long before its worker goes a task is stopped to keep its progress
	overSpan     = 60 * eventloop.Second        // how long a worker stays known as dead after the last word of it
	maxPicks     = 64                           // of one checkout, groups apart
	maxMisses    = 32                           // steps that find no room, of one queue and pass
	wholePass    = eventloop.Second / 2         // between two passes that look at every step
	passRest     = 10 * eventloop.Millisecond   // after a pass that has left much waiting
)

// Table is the scheduler's table.
type Table struct {
	id        string
	state     *schema.ClusterState
	values    *clusterstate.Values
	views     map[string]*view
	workers   map[string]*worker
	fresh     replica.LeadershipStatus
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
		id: id, state: &schema.ClusterState{}, values: clusterstate.ParseValues(nil), views: map[string]*view{}, workers: map[string]*worker{},
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
func (t *Table) Step(now eventloop.Micros, mail eventloop.Message, out eventloop.Effects) {
	switch body := mail.Body.(type) {
	case eventloop.Tick:
		t.tick(now, out)
	case *schema.ClusterStateResponse:
		t.clusterState(now, body, out)
	case replica.LeadershipStatus:
		// A process that was frozen finds word from before in its mail.
		t.fresh, t.freshAt = body, cmp.Or(body.At, now)
	case replica.TaskEvents:
		t.shifts(now, body, out)
	case replica.LeadershipLost:
		t.lose(body.Queue)
	case *schema.WorkerPollRequest:
		t.heard(now, mail.From, body, out)
	case *schema.TaskEndAck:
		t.noted(body)
	case Why:
		out.Respond(body.Request, t.placements(now))
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

func (t *Table) plan(key string) int64 { return t.values.Fleet(key) }

func (t *Table) clusterState(now eventloop.Micros, m *schema.ClusterStateResponse, out eventloop.Effects) {
	if m.State == nil {
		return
	}
	t.state, t.values = m.State, clusterstate.ParseValues(m.State.Configuration)
	mine := map[string]*schema.WorkerLease{}
	for _, ward := range t.state.WorkerLeases {
		if ward.Scheduler == t.id {
			mine[ward.Worker] = ward
		}
	}
	for _, w := range t.inOrder() {
		id := w.id
		if ward := mine[id]; ward == nil || ward.FencingToken != w.generation {
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
			id: id, generation: ward.FencingToken, since: now, running: map[attemptKey]*schema.TaskStatus{},
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

func (t *Table) tick(now eventloop.Micros, out eventloop.Effects) {
	lease := eventloop.Micros(t.plan("lease_ms")+t.plan("margin_ms")) * eventloop.Millisecond
	for _, w := range t.inOrder() {
		w.isDirty = true
		t.passReports(now, w, out)
		// Whoever warded it before us may have answered it a little longer
		// than we know.
		last := max(w.answered, w.since+timing.FromBounds(t.bounds).FormerLeaseTimeout)
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
			return t.values.Number("queue", key.queue, usual) * int64(eventloop.Millisecond)
		}
		if limit := stated(each.spec.TimeLimitUs, "limit_ms"); limit > 0 && note.State == "running" && note.RunUs+age > limit {
			t.evict(each, "failed")
		}
		if limit := stated(each.spec.StallTimeoutUs, "still_ms"); limit > 0 && note.State == "running" && note.IdleUs+age > limit {
			t.evict(each, "failed")
		}
		if each.evict != "" || each.standing != queue.CheckedOut {
			continue
		}
		if t.isStuck(now, w, each, note) {
			each.strikes++
			if each.spec.Gang {
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
		if w.isLeaving && w.departAt > 0 && each.spec.Checkpoints && now+departLead >= w.departAt && now+t.remaining(now, w, each) > w.departAt {
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
		if each.spec.Gang && w.gathers {
			t.gather(now, each)
			continue
		}
		isWaiting := each.spec.Gang && each.standing == queue.CheckedOut && !each.isLaunched && each.evict == ""
		// Once its start has been proposed, only the log knows what becomes of it.
		if isWaiting && now-each.since > groupSpan && (each.launchAt == 0 || now-each.launchAt > groupSpan) {
			t.evict(each, "stopped")
		}
	}
}
