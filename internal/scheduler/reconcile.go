package scheduler

import (
	"cmp"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// Acts of an order to a worker.
const (
	actStart = "start"
	actHold  = "hold" // reserve the task's resources until its gang starts
	actStop  = "stop"
)

// drainStartGrace is how long a committed gang start still reaches a worker that
// has announced that it drains.
const drainStartGrace = 500 * eventloop.Millisecond

// reconcile lists the orders that lead from what a worker says it has to what the
// queues want on it.
func (s *Scheduler) reconcile(now eventloop.Micros, w *worker) []*schema.TaskOrder {
	var orders []*schema.TaskOrder
	left := s.reportedFree(w)
	unknownUsage := s.runsUnknownUsage(w)
	for _, t := range w.sortedTasks() {
		if t.incarnation != w.incarnation || w.hasEnded(t) || w.isDead || t.isEndAcknowledged {
			continue
		}
		q := s.queues[t.key.queue]
		note := w.running[attemptKey{t.key, t.attempt}]
		switch {
		case t.isStopping() || w.isDraining && !t.staysWhileDraining(now, w, note):
			orders = append(orders, newOrder(actStop, q, t))
		case !s.mayActFor(now, q):
		case note == nil:
			// The configuration may have moved the queue to another pool since.
			if s.poolOf(q) != w.pool {
				orders = append(orders, newOrder(actStop, q, t))
				continue
			}
			// What the worker reports free decides, whatever was reckoned here.
			if need := resourcesOf(t.spec); left.covers(need) && !unknownUsage && (!w.hasBarrier || s.canStartGang(t)) {
				left.sub(need)
				act := actStart
				if t.spec.Gang && !t.isGangStarted && !w.hasBarrier {
					act = actHold
				}
				orders = append(orders, newOrder(act, q, t))
			}
		case note.State == runHeld && t.isGangStarted:
			orders = append(orders, newOrder(actStart, q, t))
		}
	}
	return append(orders, s.stopOrphans(now, w)...)
}

// reportedFree is what is free on a worker by its own report alone.
func (s *Scheduler) reportedFree(w *worker) resources {
	free := w.total()
	for key, note := range w.running {
		free.sub(s.usageOf(w, key, note))
	}
	for _, note := range w.unknownRuns {
		free.sub(reportedUsage(note))
	}
	return free
}

// staysWhileDraining reports whether a task stays on a worker that drains. What
// runs may run out. A member of a gang whose start is committed is started if the
// worker announced its draining only just now, since other members may have begun.
func (t *task) staysWhileDraining(now eventloop.Micros, w *worker, note *schema.TaskStatus) bool {
	if note == nil {
		return false
	}
	return note.State != runHeld || t.isGangStarted && now-w.drainingSince < drainStartGrace
}

// stopOrphans orders the end of what runs on a worker though its queue, which is
// led here, doesn't have it checked out there, and of what belongs to no queue.
func (s *Scheduler) stopOrphans(now eventloop.Micros, w *worker) []*schema.TaskOrder {
	var orders []*schema.TaskOrder
	for key, note := range w.running {
		q := s.queues[key.queue]
		if q == nil || !s.mayActFor(now, q) {
			continue
		}
		if t := q.tasks[key.taskKey]; t != nil && t.attempt <= key.attempt && t.state != queue.Ready && t.worker == w.id {
			continue
		}
		orders = append(orders, &schema.TaskOrder{
			Action: actStop, Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: note.Attempt, Term: q.term,
			Name: note.Name, Round: note.Round, StepInRound: note.StepInRound,
		})
	}
	for _, note := range s.orphanedNotes(now, w.unknownRuns) {
		orders = append(orders, &schema.TaskOrder{Action: actStop, Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Task: note.Task, Attempt: note.Attempt})
	}
	sort.Slice(orders, func(a, b int) bool { return orderLess(orders[a], orders[b]) })
	return orders
}

func orderLess(a, b *schema.TaskOrder) bool {
	return cmp.Or(
		compareTaskKeys(taskKey{a.Queue, a.Job, a.Step, a.Task}, taskKey{b.Queue, b.Job, b.Step, b.Task}),
		cmp.Compare(a.Name, b.Name), cmp.Compare(a.Round, b.Round), cmp.Compare(a.StepInRound, b.StepInRound), cmp.Compare(a.Attempt, b.Attempt),
	) < 0
}

func newOrder(act string, q *queueView, t *task) *schema.TaskOrder {
	saved := ""
	if t.spec.Checkpoints {
		saved = t.initialCheckpoint
	}
	return &schema.TaskOrder{
		Action: act, Queue: q.name, Job: t.key.job, Step: t.key.step, Task: t.key.task, Attempt: t.attempt,
		Name: t.jobName, Round: t.round, StepInRound: t.part, StepName: t.spec.Name, Text: t.text, Checkpoint: saved,
		CoresMilli: t.spec.CoresMilli, MemoryMb: t.spec.MemoryMb, Accelerators: t.spec.Accelerators,
		Handover: t.sequence, Term: q.term,
	}
}
