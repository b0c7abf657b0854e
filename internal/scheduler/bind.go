package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// The bind stage reserves a placement at once. The placement takes effect when the queue's Raft
// group has committed its checkout.

// reservationTimeout is how long a reservation waits for its checkout to be committed.
const reservationTimeout = 3 * eventloop.Second

// reserve assigns a ready task to a worker until its checkout is committed or given up.
func (s *Scheduler) reserve(q *queueView, t *task, worker string, now eventloop.Micros) {
	q.removeReady(t)
	t.reservedWorker, t.reservedAt = worker, now
	q.reserved[t.key] = t
	q.countOnWorker(t, worker, 1)
	if w := s.workers[worker]; w != nil {
		w.reserved[t.key], w.isUsageStale = t, true
	}
}

// unreserve undoes a reservation. It doesn't return the task to the ready index; a caller for which
// the task stays ready does that.
func (s *Scheduler) unreserve(q *queueView, t *task) {
	delete(q.reserved, t.key)
	q.countOnWorker(t, t.reservedWorker, -1)
	if w := s.workers[t.reservedWorker]; w != nil {
		delete(w.reserved, t.key)
		w.isUsageStale = true
	}
	t.reservedWorker, t.isBoosted = "", false
}

// expireReservations releases the reservations whose checkout wasn't committed in time, so that
// their tasks can be placed again.
func (s *Scheduler) expireReservations(now eventloop.Micros, q *queueView) {
	for _, t := range q.reserved {
		if now-t.reservedAt > reservationTimeout {
			s.unreserve(q, t)
			q.addReady(t)
			q.keepOpenCheckout(t)
		}
	}
}

// releaseDropped releases the reservations of a checkout that wasn't added to the log, so that
// their tasks can be placed again.
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

// keepOpenCheckout records that the checkout of a ready task was given up but may still be
// committed in this term.
func (q *queueView) keepOpenCheckout(t *task) {
	t.hasOpenCheckout = true
	q.openCheckouts[t.key] = t
}

// newPlacement returns the placement of a task on a worker for a Checkout command.
func newPlacement(t *task, w *worker) *schema.Placement {
	return &schema.Placement{Key: t.key.toSchema(), Worker: w.id, Incarnation: w.incarnation}
}

// proposeCheckout proposes a Checkout command for the placements, if there are any.
func (q *queueView) proposeCheckout(placements []*schema.Placement, effects eventloop.Effects) {
	if len(placements) > 0 {
		q.propose(&schema.QueueCommand{Body: &schema.QueueCommand_Checkout{Checkout: &schema.Checkout{Placements: placements}}}, effects)
	}
}

// propose asks this node's replica to propose a command to the queue's Raft group. The replica
// does so only if it still leads the group in the term of this view.
func (q *queueView) propose(command *schema.QueueCommand, effects eventloop.Effects) {
	effects.Notify("replica", replica.Propose{Group: q.raftGroup, Term: q.term, Command: command})
}
