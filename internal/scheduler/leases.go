package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/timing"
)

// Two leases bound what this scheduler may do. The cluster state gives it the
// worker lease, by which it alone orders a worker; its fencing token rises with each
// new holder. The scheduler in turn grants the worker a lease to run its tasks, with
// each response; a worker that hears nothing stops them when that lease ends.

// maxLeadershipAge is the age up to which a leadership status allows orders to leave.
const maxLeadershipAge = timing.MaxLeaderStatusAge

// isClusterStateCurrent reports whether the replicas have lately confirmed that
// this node's copy of the cluster state, which holds its worker leases, is current.
func (s *Scheduler) isClusterStateCurrent(now eventloop.Micros) bool {
	return now-s.leadershipConfirmedAt < maxLeadershipAge && s.leadership.IsClusterStateFresh
}

// mayActFor reports whether orders for a queue may leave: its leader has lately
// heard from a quorum in the term of this view, and the cluster state is current.
func (s *Scheduler) mayActFor(now eventloop.Micros, q *queueView) bool {
	return s.isClusterStateCurrent(now) && s.leadership.Terms[q.raftGroup] == q.term
}

// leadsAllQueues reports whether this node may act for every queue of the cluster state,
// also those that the configuration no longer has: their jobs go on.
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

// returnTasksOfUnresponsive returns the tasks of a worker whose lease to run them
// has ended, so that it has stopped them by its own clock.
func (s *Scheduler) returnTasksOfUnresponsiveWorker(now eventloop.Micros, w *worker, effects eventloop.Effects) {
	leaseDuration := eventloop.Micros(s.fleetSetting("lease_ms")+s.fleetSetting("margin_ms")) * eventloop.Millisecond
	// The former holder of the worker lease may have granted something a little
	// longer than this scheduler knows.
	lastGrantAt := max(w.runLeaseGrantedAt, w.leaseSince+timing.FromBounds(s.bounds).FormerLeaseTimeout)
	// While the cluster state isn't current the worker lease may have a new holder,
	// to which the worker responds.
	if now-w.lastHeard > unresponsiveTimeout && now-lastGrantAt > leaseDuration && s.isClusterStateCurrent(now) {
		w.forgetRuns()
		for _, t := range w.sortedTasks() {
			s.returnTask(now, t, effects)
		}
	}
}
