package scheduler

import (
	"cmp"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// requestResponse makes the end of this step check whether a worker's open poll gets a response.
// It is called for each worker that may get orders or acknowledgements, and for all workers at each
// tick, because their polls have deadlines. A step looks at no other workers.
func (s *Scheduler) requestResponse(w *worker) {
	if !w.needsResponse {
		w.needsResponse = true
		s.responseRequests = append(s.responseRequests, w)
	}
}

// respondToPolls responds to the open polls for which a response was requested, if they have
// reached their deadline or if there are orders or acknowledgements to send.
func (s *Scheduler) respondToPolls(now eventloop.Micros, effects eventloop.Effects) {
	requests := s.responseRequests
	s.responseRequests = nil
	slices.SortFunc(requests, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	for _, w := range requests {
		w.needsResponse = false
		if w.poll == nil {
			continue
		}
		if orders := s.reconcile(now, w); now >= w.poll.deadline || len(orders) > 0 || s.hasAcknowledgedEnds(now, w) {
			s.respondWith(now, w, orders, effects)
		}
	}
}

// respond responds to a worker's open poll at once.
func (s *Scheduler) respond(now eventloop.Micros, w *worker, effects eventloop.Effects) {
	s.respondWith(now, w, s.reconcile(now, w), effects)
}

// respondWith answers a worker's open poll. The response grants the worker its lease to run
// tasks, carries orders, and acknowledges the committed and orphaned ends. An unresponsive
// worker gets an empty response, and so does any worker while the cluster state isn't current.
func (s *Scheduler) respondWith(now eventloop.Micros, w *worker, orders []*schema.TaskOrder, effects eventloop.Effects) {
	if !s.isClusterStateCurrent(now) || now-w.lastHeard > unresponsiveTimeout {
		s.closePoll(w, effects)
		return
	}
	for _, order := range orders {
		s.countOrder(now, w, order)
	}
	w.runLeaseGrantedAt = now
	s.sendResponse(w.poll.pollSource, &schema.WorkerPollResponse{Id: w.poll.id, Code: 200, Scheduler: s.id, Orders: &schema.WorkerOrders{
		FencingToken: w.fencingToken, LeaseUs: s.fleetSetting("lease_ms") * 1000, Scheduler: s.id, Orders: orders,
		Acknowledged:      append(w.acknowledgedEnds(), s.orphanedStatuses(now, w, w.unknownEnds)...),
		InspectionPauseUs: int64(s.inspectionPause(w)),
	}}, effects)
	w.poll = nil
}

// acknowledgedEnds returns the ends that the worker need not report any more.
func (w *worker) acknowledgedEnds() []*schema.TaskStatus {
	var statuses []*schema.TaskStatus
	for _, key := range w.sortedEndKeys() {
		if report := w.ended[key]; report.isAcknowledged {
			statuses = append(statuses, &schema.TaskStatus{
				Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: key.attempt,
				Name: report.status.Name, Round: report.status.Round, StepInRound: report.status.StepInRound, State: report.status.State,
			})
		}
	}
	return statuses
}

// countOrder counts an order by its action, and records when a start was ordered.
func (s *Scheduler) countOrder(now eventloop.Micros, w *worker, order *schema.TaskOrder) {
	switch order.Action {
	case actionStart:
		s.counts.Starts++
		if t := w.tasks[taskKey{order.Queue, order.Job, order.Step, order.Task}]; t != nil {
			t.orderedAt = now
		}
	case actionHold:
		s.counts.Holds++
	default:
		s.counts.Stops++
	}
}
