package scheduler

import (
	"cmp"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// Actions of an order to a worker.
const (
	actionStart = "start"
	actionHold  = "hold" // reserve the task's resources until its gang starts
	actionStop  = "stop"
)

// drainStartGrace is the time for which a committed gang start is still ordered on a worker
// after the worker has reported that it drains.
const drainStartGrace = 500 * eventloop.Millisecond

// reconcile returns the orders that lead from the tasks a worker reports to the tasks
// that are checked out to it.
func (s *Scheduler) reconcile(now eventloop.Micros, w *worker) []*schema.TaskOrder {
	return append(s.ordersForTasks(now, w), s.stopOrphans(now, w)...)
}

// ordersForTasks returns the orders for the tasks that are checked out to a worker.
func (s *Scheduler) ordersForTasks(now eventloop.Micros, w *worker) []*schema.TaskOrder {
	open := s.tasksToOrder(now, w)
	if len(open) == 0 {
		return nil
	}
	var orders []*schema.TaskOrder
	free := s.reportedFree(w)
	unknownUsage := s.runsUnknownUsage(w)
	for _, t := range open {
		q := s.queues[t.key.queue]
		status := w.running[attemptKey{t.key, t.attempt}]
		switch {
		case t.isStopping() || t.isReturned() || w.isDraining && !t.staysWhileDraining(now, w, status):
			orders = append(orders, newOrder(actionStop, q, t))
		case !s.mayActFor(now, q):
		case status == nil && s.poolOf(q) != w.pool:
			// The configuration has moved the queue to another pool since the checkout.
			orders = append(orders, newOrder(actionStop, q, t))
		case status == nil:
			// The worker's own report of free capacity is authoritative, not this scheduler's estimate.
			if need := resourcesOf(t.spec); free.covers(need) && !unknownUsage && (!w.hasBarrier || s.canStartGang(t)) {
				free.sub(need)
				orders = append(orders, newOrder(firstAction(w, t), q, t))
			}
		case status.State == runStateHeld && t.isGangStarted:
			orders = append(orders, newOrder(actionStart, q, t))
		}
	}
	return orders
}

// tasksToOrder returns the tasks checked out to a worker that may need an order, sorted by key. Most
// tasks just run and need none.
func (s *Scheduler) tasksToOrder(now eventloop.Micros, w *worker) []*task {
	var open []*task
	for _, t := range w.tasks {
		if t.incarnation != w.incarnation || w.hasEnded(t) || w.isDead || t.isEndAcknowledged {
			continue
		}
		status := w.running[attemptKey{t.key, t.attempt}]
		if justRuns := status != nil && status.State != runStateHeld; justRuns && !t.isStopping() && !t.isReturned() && !w.isDraining {
			continue
		}
		open = append(open, t)
	}
	slices.SortFunc(open, func(a, b *task) int { return compareTaskKeys(a.key, b.key) })
	return open
}

// firstAction returns the action of a task's first order. A member of a gang is held until
// all members have capacity, unless the worker has a barrier and so starts them together itself.
func firstAction(w *worker, t *task) string {
	if t.spec.Gang && !t.isGangStarted && !w.hasBarrier {
		return actionHold
	}
	return actionStart
}

// reportedFree returns the free resources of a worker by its own report alone.
func (s *Scheduler) reportedFree(w *worker) resources {
	free := w.total()
	for key, status := range w.running {
		free.sub(s.usageOf(w, key, status))
	}
	for _, status := range w.unknownRuns {
		free.sub(reportedUsage(status))
	}
	return free
}

// staysWhileDraining reports whether a task stays on a draining worker. A running task
// may finish. A held member of a gang whose start is committed is still started for
// drainStartGrace after the worker began to drain, since other members may have begun.
func (t *task) staysWhileDraining(now eventloop.Micros, w *worker, status *schema.TaskStatus) bool {
	if status == nil {
		return false
	}
	return status.State != runStateHeld || t.isGangStarted && now-w.drainingSince < drainStartGrace
}

// stopOrphans returns orders to stop the runs on a worker that aren't checked out to it,
// if this node leads their queue, and the runs that belong to no queue.
func (s *Scheduler) stopOrphans(now eventloop.Micros, w *worker) []*schema.TaskOrder {
	var orders []*schema.TaskOrder
	for key, status := range w.running {
		q := s.queues[key.queue]
		if q == nil || !s.mayActFor(now, q) {
			continue
		}
		if t := q.tasks[key.taskKey]; t != nil && t.attempt <= key.attempt && t.state != queue.Ready && t.worker == w.id {
			continue
		}
		orders = append(orders, &schema.TaskOrder{
			Action: actionStop, Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: status.Attempt, Term: q.term,
			Name: status.Name, Round: status.Round, StepInRound: status.StepInRound,
		})
	}
	for _, status := range s.orphanedStatuses(now, w, w.unknownRuns) {
		orders = append(orders, &schema.TaskOrder{Action: actionStop, Name: status.Name, Round: status.Round, StepInRound: status.StepInRound, Task: status.Task, Attempt: status.Attempt})
	}
	slices.SortFunc(orders, compareOrders)
	return orders
}

// compareOrders compares orders by their place in a response.
func compareOrders(a, b *schema.TaskOrder) int {
	return cmp.Or(
		compareTaskKeys(taskKey{a.Queue, a.Job, a.Step, a.Task}, taskKey{b.Queue, b.Job, b.Step, b.Task}),
		cmp.Compare(a.Name, b.Name), cmp.Compare(a.Round, b.Round), cmp.Compare(a.StepInRound, b.StepInRound), cmp.Compare(a.Attempt, b.Attempt),
	)
}

// newOrder returns an order with all that a worker needs to run the task.
func newOrder(action string, q *queueView, t *task) *schema.TaskOrder {
	checkpoint := ""
	if t.spec.Checkpoints {
		checkpoint = t.initialCheckpoint
	}
	return &schema.TaskOrder{
		Action: action, Queue: q.name, Job: t.key.job, Step: t.key.step, Task: t.key.task, Attempt: t.attempt,
		Name: t.jobName, Round: t.round, StepInRound: t.stepInRound, StepName: t.spec.Name, Text: t.text, Checkpoint: checkpoint,
		CoresMilli: t.spec.CoresMilli, MemoryMb: t.spec.MemoryMb, Accelerators: t.spec.Accelerators,
		Handover: t.sequence, Term: q.term, Tenant: t.tenant,
	}
}
