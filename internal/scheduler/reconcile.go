package scheduler

// The answer to an announcement: orders, as the difference between wanted and actual.

import (
	"cmp"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// minStopTimeout is how long a stop may take before nobody waits for its room any
// more.
func (s *Scheduler) stopTimeout() eventloop.Micros {
	return max(2*eventloop.Micros(s.bounds.GetStopUs()), minStopTimeout)
}

func (s *Scheduler) respondToPolls(now eventloop.Micros, effects eventloop.Effects) {
	for _, w := range s.sortedWorkers() {
		if w.poll == nil || !w.needsResponse && now < w.poll.deadline {
			continue
		}
		w.needsResponse = false
		if orders := s.reconcile(now, w); now >= w.poll.deadline || len(orders) > 0 || s.hasAcknowledgedEnds(now, w) {
			s.respondWith(now, w, orders, effects)
		}
	}
}

func (s *Scheduler) respond(now eventloop.Micros, w *worker, effects eventloop.Effects) {
	s.respondWith(now, w, s.reconcile(now, w), effects)
}

func (s *Scheduler) respondWith(now eventloop.Micros, w *worker, orders []*schema.TaskOrder, effects eventloop.Effects) {
	p := w.poll
	w.poll = nil
	if !s.isClusterStateCurrent(now) || now-w.lastHeard > unresponsiveTimeout {
		effects.Send(p.gateway, &schema.WorkerPollResponse{Id: p.id, Scheduler: s.id})
		return
	}
	reply := &schema.WorkerOrders{FencingToken: w.fencingToken, LeaseUs: s.fleetSetting("lease_ms") * 1000, Scheduler: s.id, Orders: orders}
	for _, key := range sortedEndKeys(w) {
		if report := w.ended[key]; report.isAcknowledged {
			reply.Acknowledged = append(reply.Acknowledged, &schema.TaskStatus{
				Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: key.attempt,
				Name: report.note.Name, Round: report.note.Round, StepInRound: report.note.StepInRound,
			})
		}
	}
	reply.Acknowledged = append(reply.Acknowledged, s.orphanedNotes(now, w.unknownEnds)...)
	for _, order := range reply.Orders {
		switch order.Action {
		case "start":
			s.counts.Starts++
			if t := w.tasks[taskKey{order.Queue, order.Job, order.Step, order.Task}]; t != nil {
				t.orderedAt = now
			}
		case "hold":
			s.counts.Holds++
		default:
			s.counts.Stops++
		}
	}
	w.lastResponse = now
	effects.Send(p.gateway, &schema.WorkerPollResponse{Id: p.id, Code: 200, Orders: reply, Scheduler: s.id})
}

// reconcile is the difference between what the queues want on a worker and what
// it says it has.
func (s *Scheduler) reconcile(now eventloop.Micros, w *worker) []*schema.TaskOrder {
	var orders []*schema.TaskOrder
	left := w.total()
	for key, note := range w.running {
		left.sub(s.usageOf(w, key, note))
	}
	for _, note := range w.unknownRuns {
		left.sub(resources{cores: note.CoresMilli, memory: note.MemoryMb})
	}
	unknownUsage := s.runsUnknownUsage(w)
	for _, t := range s.sortedTasks(w) {
		key := attemptKey{t.key, t.attempt}
		if t.incarnation != w.incarnation || w.ended[key] != nil || w.isDead || t.isEndAcknowledged {
			continue
		}
		q := s.queues[t.key.queue]
		note := w.running[key]
		switch {
		case t.state == queue.Stopping || t.evictOutcome != "" || w.isDraining && !s.staysWhileDraining(now, w, t, note):
			orders = append(orders, s.newOrder("stop", q, t))
		case !s.mayActFor(now, q):
		case note == nil:
			// The plan may have given the queue to other workers since.
			if s.config.Text("queue", q.name, "pool") != w.pool {
				orders = append(orders, s.newOrder("stop", q, t))
				continue
			}
			// The worker's own room is the last word, whatever we counted.
			if need := resourcesOf(t.spec); left.covers(need) && !unknownUsage && (!w.hasBarrier || s.canStartGang(t)) {
				left.sub(need)
				act := "start"
				if t.spec.Gang && !t.isGangStarted && !w.hasBarrier {
					act = "hold"
				}
				orders = append(orders, s.newOrder(act, q, t))
			}
		case note.State == "held" && t.isGangStarted:
			orders = append(orders, s.newOrder("start", q, t))
		}
	}
	return append(orders, s.stopOrphans(now, w)...)
}

// staysWhileDraining tells whether a task stays with a worker that leaves: what runs may
// run out, and a member of a group that has been decided to begin is started if
// the worker has only just said so, since others may have begun already.
func (s *Scheduler) staysWhileDraining(now eventloop.Micros, w *worker, t *task, note *schema.TaskStatus) bool {
	if note == nil {
		return false
	}
	return note.State != "held" || t.isGangStarted && now-w.drainingSince < drainStartGrace
}

func orderLess(x, y *schema.TaskOrder) bool {
	return cmp.Or(
		compareTaskKeys(taskKey{x.Queue, x.Job, x.Step, x.Task}, taskKey{y.Queue, y.Job, y.Step, y.Task}),
		cmp.Compare(x.Name, y.Name), cmp.Compare(x.Round, y.Round), cmp.Compare(x.StepInRound, y.StepInRound), cmp.Compare(x.Attempt, y.Attempt),
	) < 0
}

// stopOrphans are tasks that run on the worker though their queue, which is led
// here, doesn't have them out there.
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
		orders = append(orders, &schema.TaskOrder{Action: "stop", Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: note.Attempt, Term: q.term, Name: note.Name, Round: note.Round, StepInRound: note.StepInRound})
	}
	for _, note := range s.orphanedNotes(now, w.unknownRuns) {
		orders = append(orders, &schema.TaskOrder{Action: "stop", Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Task: note.Task, Attempt: note.Attempt})
	}
	sort.Slice(orders, func(a, b int) bool { return orderLess(orders[a], orders[b]) })
	return orders
}

func (s *Scheduler) newOrder(act string, q *queueView, t *task) *schema.TaskOrder {
	saved := ""
	if t.spec.Checkpoints {
		saved = t.initialCheckpoint
	}
	return &schema.TaskOrder{
		Round: t.round, StepInRound: t.part, Checkpoint: saved, Accelerators: t.spec.Accelerators,
		Action: act, Queue: q.name, Name: t.jobName, Job: t.key.job, Step: t.key.step, Task: t.key.task, Attempt: t.attempt,
		Handover: t.sequence, Term: q.term, StepName: t.spec.Name, Text: t.text,
		CoresMilli: t.spec.CoresMilli, MemoryMb: t.spec.MemoryMb,
	}
}
