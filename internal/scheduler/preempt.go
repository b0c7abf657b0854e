package scheduler

import (
	"cmp"
	"math"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

const (
	mostAwaits      = 64                    // tasks of one step that room is kept for at once
	acceleratorCost = 8000                  // milli cores that an accelerator counts as
	lossTimes       = 2                     // so many times its own work may be thrown away for a task
	lastingCost     = 30 * eventloop.Second // work that stopping a lasting task counts as at least
)

// unit is what can be displaced: a task, or a group as a whole.
type unit struct {
	members []*task
	urgency int64
	chance  chance
	cost    float64 // core-microseconds of work that are lost
	isTaken bool
}

// await keeps room for tasks that find none now: room that is being freed, else
// room of less urgent work that is displaced for them, else, for what is wide,
// whole workers until they are free. It tells for how many of them.
func (t *Table) await(now eventloop.Micros, v *view, b *band, x *wish, left int, list, all []*room, p *passage) (got int) {
	first, _ := b.ready.Min()
	mayDisplace := x.chance != lost && t.mayDisplace(now, v, p) && now-first.since >= preemptAfter
	count := min(b.ready.Len(), left, mostAwaits)
	if x.spec.Gang {
		count = b.ready.Len()
	}
	if hasComing(list) || mayDisplace {
		j := &journal{table: t, now: now, passage: p}
		for got < count && j.place(v, x, list, all, mayDisplace) {
			got++
			if !x.spec.Gang {
				j.commit()
			}
		}
		switch {
		case !x.spec.Gang:
		case got == count:
			j.commit()
		default:
			j.undo()
			got = 0
		}
		if mayDisplace && got < count {
			p.isFutile = true
		}
	}
	pool := t.values.Text("queue", v.queue, "pool")
	if got == 0 && !p.claims[pool] && now-first.since >= claimAfter && isWide(x, list) {
		count := 1
		if x.spec.Gang {
			count = b.ready.Len()
		}
		p.claims[pool] = t.claim(x, count, list)
	}
	return got
}

func hasComing(list []*room) bool {
	return slices.ContainsFunc(list, func(r *room) bool { return r.later != r.free })
}

func (t *Table) mayDisplace(now eventloop.Micros, v *view, p *passage) bool {
	return t.plan("preempt") != 0 && p.least < v.urgency && now-t.futileAt >= Pace
}

// mayAwait tells whether room may come about for what finds none.
func (t *Table) mayAwait(now eventloop.Micros, v *view, list []*room, p *passage) bool {
	return hasComing(list) || t.mayDisplace(now, v, p)
}

// journal is a trial: what it takes and displaces stands once it is committed.
type journal struct {
	table   *Table
	now     eventloop.Micros
	passage *passage
	undos   []func()
	units   []*unit
}

func (j *journal) commit() {
	for _, u := range j.units {
		for _, member := range u.members {
			j.table.evict(member, "stopped")
			j.table.counts.Preempted++
		}
	}
	j.undos, j.units = nil, nil
}

func (j *journal) undo() {
	for _, undo := range slices.Backward(j.undos) {
		undo()
	}
	j.undos, j.units = nil, nil
}

// place keeps room for one task.
func (j *journal) place(v *view, x *wish, list, all []*room, mayDisplace bool) bool {
	t := j.table
	var best *room
	var units []*unit
	cost := 0.0
	for _, r := range list {
		if !r.isOpen(x) || !t.suits(r, x) || !t.hasLeave(r, x) {
			continue
		}
		if r.later.has(x.need) {
			best, units = r, nil
			break
		}
		if !mayDisplace {
			continue
		}
		if found, sum := t.displace(j.now, r, v.urgency, x, j.passage); found != nil && sum <= x.worthwhile && (best == nil || sum < cost) {
			best, units, cost = r, found, sum
		}
	}
	if best == nil {
		return false
	}
	for _, u := range units {
		u.isTaken = true
		j.units = append(j.units, u)
		j.undos = append(j.undos, func() { u.isTaken = false })
		for _, member := range u.members {
			if at := slices.IndexFunc(all, func(r *room) bool { return r.w.id == member.worker }); at >= 0 {
				r, size := all[at], sizeOf(member.spec)
				r.later.add(size)
				j.undos = append(j.undos, func() { r.later.sub(size) })
			}
		}
	}
	best.later.sub(x.need)
	x.workers[best.w.id]++
	x.racks[best.w.rack]++
	j.undos = append(j.undos, func() {
		best.later.add(x.need)
		x.workers[best.w.id]--
		x.racks[best.w.rack]--
	})
	return true
}

// displace finds what of less urgency must go from a worker for a task to fit,
// with the least work lost; nil if even all of it isn't enough.
func (t *Table) displace(now eventloop.Micros, r *room, urgency int64, x *wish, p *passage) (units []*unit, cost float64) {
	if !r.hasUnits {
		r.hasUnits, r.units = true, t.unitsOf(now, r.w, p)
	}
	trial, need := r.later, x.need
	for _, u := range r.units {
		if trial.has(need) {
			break
		}
		if u.isTaken || u.urgency >= urgency || u.chance < x.chance || u.members[0].evict != "" {
			continue
		}
		trial.add(u.on(r.w.id))
		units = append(units, u)
	}
	if !trial.has(need) {
		return nil, 0
	}
	// What has become needless by those after it stays, the dearest first.
	for k := len(units) - 1; k >= 0; k-- {
		less := trial
		if less.sub(units[k].on(r.w.id)); less.has(need) {
			trial = less
			units = slices.Delete(units, k, k+1)
		}
	}
	for _, u := range units {
		cost += u.cost
	}
	return units, cost
}

// on is the room a unit takes on one worker.
func (u *unit) on(worker string) (size amount) {
	for _, member := range u.members {
		if member.worker == worker {
			size.add(sizeOf(member.spec))
		}
	}
	return size
}

// unitsOf lists what may be displaced on a worker, the least loss first.
func (t *Table) unitsOf(now eventloop.Micros, w *worker, p *passage) []*unit {
	var units []*unit
	seen := map[stepKey]bool{}
	for _, each := range t.tasksOf(w) {
		if !t.isDisplaceable(each) {
			continue
		}
		u := &unit{members: []*task{each}, urgency: t.views[each.key.queue].urgency}
		if each.spec.Gang {
			if seen[each.key.ofStep()] {
				continue
			}
			seen[each.key.ofStep()] = true
			if known := p.groups[each.key.ofStep()]; known != nil {
				units = append(units, known)
				continue
			}
			p.groups[each.key.ofStep()] = u
			if u.members = t.members(each); !allOf(u.members, t.isDisplaceable) {
				u.isTaken = true
				continue
			}
		}
		u.chance = t.chanceOf(now, t.views[each.key.queue], each)
		for _, member := range u.members {
			u.cost += loss(now, member)
		}
		// What ends about as soon as it would stop frees its room all the same.
		if t.remaining(now, w, each) < eventloop.Micros(t.bounds.GetStopUs())/2 && each.beganAt > 0 {
			continue
		}
		units = append(units, u)
	}
	slices.SortStableFunc(units, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.urgency, b.urgency), -cmp.Compare(a.members[0].since, b.members[0].since))
	})
	return units
}

func allOf(list []*task, is func(*task) bool) bool {
	return !slices.ContainsFunc(list, func(each *task) bool { return !is(each) })
}

func (t *Table) isDisplaceable(each *task) bool {
	if each.standing != queue.CheckedOut || each.evict != "" {
		return false
	}
	w := t.workers[each.worker]
	return w == nil || w.ended[attemptKey{each.key, each.attempt}] == nil
}

// loss is the work that is lost when a task is stopped now: since its progress
// was last kept, else since it began.
func loss(now eventloop.Micros, each *task) float64 {
	cores := cost(each.spec)
	if each.spec.RunUntilCancelled {
		return cores * float64(lastingCost)
	}
	if each.beganAt == 0 {
		return 0
	}
	from := each.beganAt
	if each.spec.Checkpoints {
		from = max(from, each.savedAt)
	}
	return cores * float64(now-from)
}

// worthwhile is how much work may be thrown away to begin a task at once: more
// than about its own isn't gained by it.
func (t *Table) worthwhile(v *view, each *task) float64 {
	span := t.usual(v.queue, each.ahead[:min(1, len(each.ahead))], 0)
	if span == 0 || each.spec.RunUntilCancelled {
		return math.Inf(1)
	}
	return lossTimes * cost(each.spec) * float64(span)
}

// cost is what a step's tasks take, in cores.
func cost(spec *schema.Step) float64 {
	return float64(spec.CoresMilli+acceleratorCost*spec.Accelerators) / 1000
}
