package scheduler

// The answer to an announcement: orders, as the difference between wanted and actual.

import (
	"cmp"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// stopSpan is how long a stop may take before nobody waits for its room any
// more.
func (t *Table) stopSpan() eventloop.Micros {
	return max(2*eventloop.Micros(t.bounds.GetStopUs()), stopSpan)
}

func (t *Table) answerAll(now eventloop.Micros, out eventloop.Effects) {
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

func (t *Table) answer(now eventloop.Micros, w *worker, out eventloop.Effects) {
	t.answerWith(now, w, t.orders(now, w), out)
}

func (t *Table) answerWith(now eventloop.Micros, w *worker, list []*schema.TaskOrder, out eventloop.Effects) {
	p := w.poll
	w.poll = nil
	if !t.isSure(now) || now-w.heard > silentSpan {
		out.Send(p.front, &schema.WorkerPollResponse{Id: p.id, Scheduler: t.id})
		return
	}
	orders := &schema.WorkerOrders{FencingToken: w.generation, LeaseUs: t.plan("lease_ms") * 1000, Scheduler: t.id, Orders: list}
	for _, key := range endedKeys(w) {
		if e := w.ended[key]; e.isNoted {
			orders.Acknowledged = append(orders.Acknowledged, &schema.TaskStatus{
				Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: key.attempt,
				Name: e.note.Name, Round: e.note.Round, StepInRound: e.note.StepInRound,
			})
		}
	}
	orders.Acknowledged = append(orders.Acknowledged, t.forgotten(now, w.unknown)...)
	for _, order := range orders.Orders {
		switch order.Action {
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
	out.Send(p.front, &schema.WorkerPollResponse{Id: p.id, Code: 200, Orders: orders, Scheduler: t.id})
}

// orders is the difference between what the queues want on a worker and what
// it says it has.
func (t *Table) orders(now eventloop.Micros, w *worker) []*schema.TaskOrder {
	var list []*schema.TaskOrder
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
				if each.spec.Gang && !each.isLaunched && !w.gathers {
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
func (t *Table) isBound(now eventloop.Micros, w *worker, each *task, note *schema.TaskStatus) bool {
	if note == nil {
		return false
	}
	return note.State != "held" || each.isLaunched && now-w.leftAt < leaveSpan
}

func lessOrder(x, y *schema.TaskOrder) bool {
	return cmp.Or(
		compareKeys(taskKey{x.Queue, x.Job, x.Step, x.Task}, taskKey{y.Queue, y.Job, y.Step, y.Task}),
		cmp.Compare(x.Name, y.Name), cmp.Compare(x.Round, y.Round), cmp.Compare(x.StepInRound, y.StepInRound), cmp.Compare(x.Attempt, y.Attempt),
	) < 0
}

// strays are tasks that run on the worker though their queue, which is led
// here, doesn't have them out there.
func (t *Table) strays(now eventloop.Micros, w *worker) []*schema.TaskOrder {
	var list []*schema.TaskOrder
	for key, note := range w.running {
		v := t.views[key.queue]
		if v == nil || !t.mayAct(now, v) {
			continue
		}
		if each := v.tasks[key.taskKey]; each != nil && each.attempt <= key.attempt && each.standing != queue.Ready && each.worker == w.id {
			continue
		}
		list = append(list, &schema.TaskOrder{Action: "stop", Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: note.Attempt, Term: v.term, Name: note.Name, Round: note.Round, StepInRound: note.StepInRound})
	}
	for _, note := range t.forgotten(now, w.strange) {
		list = append(list, &schema.TaskOrder{Action: "stop", Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Task: note.Task, Attempt: note.Attempt})
	}
	sort.Slice(list, func(a, b int) bool { return lessOrder(list[a], list[b]) })
	return list
}

func (t *Table) order(act string, v *view, each *task) *schema.TaskOrder {
	saved := ""
	if each.spec.Checkpoints {
		saved = each.saved
	}
	return &schema.TaskOrder{
		Round: each.round, StepInRound: each.part, Checkpoint: saved, Accelerators: each.spec.Accelerators,
		Action: act, Queue: v.queue, Name: each.name, Job: each.key.job, Step: each.key.step, Task: each.key.task, Attempt: each.attempt,
		Handover: each.hand, Term: v.term, StepName: each.spec.Name, Text: each.text,
		CoresMilli: each.spec.CoresMilli, MemoryMb: each.spec.MemoryMb,
	}
}
