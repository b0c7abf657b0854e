package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// The bind stage: a placement is reserved here at once, and takes effect once the
// queue's Raft group has committed its checkout.

// reservationTimeout is when a checkout that was never committed is given up.
const reservationTimeout = 3 * eventloop.Second

// reserve takes a ready task for a worker while its checkout is on the way.
func (s *Scheduler) reserve(q *queueView, t *task, worker string, now eventloop.Micros) {
	q.removeReady(t)
	t.reservedWorker, t.reservedAt = worker, now
	q.reserved[t.key] = t
	q.countOnWorker(t, worker, 1)
	if w := s.workers[worker]; w != nil {
		w.reserved[t.key], w.isUsageStale = t, true
	}
}

// unreserve undoes a reservation. The task is ready, but not in the ready index.
func (s *Scheduler) unreserve(q *queueView, t *task) {
	delete(q.reserved, t.key)
	q.countOnWorker(t, t.reservedWorker, -1)
	if w := s.workers[t.reservedWorker]; w != nil {
		delete(w.reserved, t.key)
		w.isUsageStale = true
	}
	t.reservedWorker, t.isBoosted = "", false
}

// expireReservations makes those tasks available again whose checkout wasn't
// committed in time.
func (s *Scheduler) expireReservations(now eventloop.Micros, q *queueView) {
	for _, t := range q.reserved {
		if now-t.reservedAt > reservationTimeout {
			s.unreserve(q, t)
			q.addReady(t)
			q.keepOpenCheckout(t)
		}
	}
}

// releaseDropped makes the tasks of a checkout available again that wasn't added to the log.
func (s *Scheduler) releaseDropped(m replica.ProposalDropped) {
	q := s.queues[m.Queue]
	if q == nil || q.term != m.Term {
		return
	}
	for _, placement := range m.Command.GetCheckout().GetPlacements() {
		key := taskKey{q.name, placement.Key.GetJob(), placement.Key.GetStep(), placement.Key.GetTask()}
		t := q.reserved[key]
		if t == nil || t.reservedWorker != placement.Worker {
			continue
		}
		s.unreserve(q, t)
		q.addReady(t)
		s.needsPass = true
	}
}

// keepOpenCheckout notes that the checkout of a ready task was given up, but may yet be
// committed in this term.
func (q *queueView) keepOpenCheckout(t *task) {
	t.hasOpenCheckout = true
	q.openCheckouts[t.key] = t
}

// newPlacement is the placement of a task on a worker, for a checkout.
func newPlacement(t *task, w *worker) *schema.Placement {
	return &schema.Placement{Key: t.key.toSchema(), Worker: w.id, Incarnation: w.incarnation}
}

// proposeCheckout proposes a Checkout command for the placements.
func (q *queueView) proposeCheckout(placements []*schema.Placement, effects eventloop.Effects) {
	if len(placements) > 0 {
		q.propose(&schema.QueueCommand{Body: &schema.QueueCommand_Checkout{Checkout: &schema.Checkout{Placements: placements}}}, effects)
	}
}

// propose has the replica here propose a command to the queue's Raft group, if it
// still leads it in the term of this view.
func (q *queueView) propose(command *schema.QueueCommand, effects eventloop.Effects) {
	effects.Notify("replica", replica.Propose{Group: q.raftGroup, Term: q.term, Command: command})
}
