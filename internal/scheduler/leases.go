package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/timing"
)

// Two leases limit what this scheduler may do. The cluster state gives it the worker
// lease, which makes it the only scheduler that may give orders to the worker; the
// fencing token of this lease rises with each new holder. The scheduler in turn grants
// the worker a lease to run its tasks with each response. A worker that gets no
// responses stops its tasks when that lease ends.

// maxLeadershipAge is the greatest age of a leadership status on which orders may be sent.
const maxLeadershipAge = timing.MaxLeaderStatusAge

// isClusterStateCurrent reports whether the replicas have recently confirmed that
// this node's copy of the cluster state, which contains its worker leases, is current.
func (s *Scheduler) isClusterStateCurrent(now eventloop.Micros) bool {
	return now-s.leadershipConfirmedAt < maxLeadershipAge && s.leadership.IsClusterStateFresh
}

// mayActFor reports whether orders for a queue may be sent: this node's leadership of the
// queue in the term of the view was recently confirmed by a quorum, and the cluster state
// is current.
func (s *Scheduler) mayActFor(now eventloop.Micros, q *queueView) bool {
	return s.isClusterStateCurrent(now) && s.leadership.Terms[q.raftGroup] == q.term
}

// leadsAllQueues reports whether this node may act for every queue of the cluster state. That
// includes queues that the configuration no longer has, since their jobs go on.
func (s *Scheduler) leadsAllQueues(now eventloop.Micros) bool {
	if s.clusterState.Version == 0 || !s.isClusterStateCurrent(now) {
		return false
	}
	for _, placement := range s.clusterState.Queues {
		if q := s.queues[placement.Queue]; q == nil || !s.mayActFor(now, q) {
			return false
		}
	}
	return true
}

// returnTasksOfUnresponsiveWorker returns the tasks of an unresponsive worker once its lease
// to run them has ended, because the worker has then stopped them by its own clock.
func (s *Scheduler) returnTasksOfUnresponsiveWorker(now eventloop.Micros, w *worker, effects eventloop.Effects) {
	leaseDuration := eventloop.Micros(s.fleetSetting("lease_ms")+s.fleetSetting("margin_ms")) * eventloop.Millisecond
	// The former holder of the worker lease may have granted the worker a lease to run
	// tasks until FormerLeaseTimeout after this scheduler learned that it holds the lease.
	lastGrantAt := max(w.runLeaseGrantedAt, w.leaseSince+timing.FromBounds(s.bounds).FormerLeaseTimeout)
	// While the cluster state isn't current, the worker lease may have a new holder
	// that the worker polls instead of this scheduler.
	if now-w.lastHeard > unresponsiveTimeout && now-lastGrantAt > leaseDuration && s.isClusterStateCurrent(now) {
		w.forgetRuns()
		for _, t := range w.sortedTasks() {
			s.returnTask(now, t, effects)
		}
	}
}
