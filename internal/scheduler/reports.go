package scheduler

import (
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	// reportRetryInterval is the time after which an end that wasn't acknowledged is
	// reported to its queue again.
	reportRetryInterval = 300 * eventloop.Millisecond
	// gangFailureGrace is the time for which the failure of a gang's member is held
	// back so that the other members can begin.
	gangFailureGrace = eventloop.Second
)

// endReport is the end of an attempt, which a worker lists until the end is acknowledged.
type endReport struct {
	status         *schema.TaskStatus
	receivedAt     eventloop.Micros // when the worker first listed it
	sentAt         eventloop.Micros // when it was last reported to the queue
	sentOutcome    string           // outcome that was last reported to the queue
	isAcknowledged bool             // the queue has committed the end, or doesn't need it
}

// recordEndReports records the ends that a heartbeat lists and forwards them to their queues.
func (s *Scheduler) recordEndReports(now eventloop.Micros, w *worker, statuses []*schema.TaskStatus, effects eventloop.Effects) {
	if len(statuses)+len(w.ended) == 0 {
		return
	}
	listed := map[attemptKey]*endReport{}
	for _, status := range statuses {
		key := attemptKeyOf(status)
		report := w.ended[key]
		// An agent that has reported an attempt as lapsed may learn later how it ended.
		if report == nil || report.status.State != status.State {
			report = &endReport{status: status, receivedAt: now, sentAt: -reportRetryInterval}
			s.recordEnd(now, w, key, status)
		}
		listed[key] = report
	}
	w.ended = listed
	s.forwardEndReports(now, w, effects)
}

// forwardEndReports reports ends to the leaders of their queues until they are
// acknowledged.
func (s *Scheduler) forwardEndReports(now eventloop.Micros, w *worker, effects eventloop.Effects) {
	for _, key := range w.sortedEndKeys() {
		report := w.ended[key]
		if report.isAcknowledged || now-report.sentAt < reportRetryInterval {
			continue
		}
		if end := s.newEndReport(now, w, key, report); end != nil {
			report.sentAt, report.sentOutcome = now, end.Outcome
			s.endReports = append(s.endReports, end)
		}
	}
}

// newEndReport returns the report of an end for its queue, or nil if the end must not be
// reported, or not yet.
func (s *Scheduler) newEndReport(now eventloop.Micros, w *worker, key attemptKey, report *endReport) *schema.TaskEndReport {
	end := &schema.TaskEndReport{
		Queue: key.queue, Key: key.toSchema(), Attempt: key.attempt, Worker: w.id,
		Outcome: report.status.State, Checkpoint: report.status.Checkpoint, WholeGang: report.status.State == outcomeDone && w.hasBarrier,
	}
	if q := s.queues[key.queue]; q != nil && s.mayActFor(now, q) && !s.fillEndReport(now, end, q.tasks[key.taskKey], report) {
		return nil
	}
	if end.Outcome == outcomeDone {
		end.Checkpoint = ""
	}
	return end
}

// fillEndReport completes the report of an end from the queue's view of the task; t is nil
// if the view doesn't have the task. It returns false if the end must not be reported, or
// not yet.
func (s *Scheduler) fillEndReport(now eventloop.Micros, end *schema.TaskEndReport, t *task, report *endReport) bool {
	// Once the task isn't checked out with this attempt any more, only a failure still
	// matters, because failures are counted. The view can be relied on because this node
	// may act for the queue.
	superseded := t == nil || t.attempt > end.Attempt
	if superseded && end.Outcome != outcomeFailed {
		report.isAcknowledged = true
		return false
	}
	// The failure of a member stops the other members of its gang. If it were reported at
	// once, it could stop a member that hasn't begun yet because its start order was lost.
	if !superseded && end.Outcome == outcomeFailed && now-report.receivedAt < gangFailureGrace && s.isGangStarting(t) {
		return false
	}
	if t == nil {
		return true
	}
	if !superseded && t.attempt == end.Attempt && t.evictOutcome != "" && end.Outcome == outcomeStopped {
		end.Outcome = t.evictOutcome
	}
	end.WholeGang = end.WholeGang && t.spec.Gang
	// A run that ends before it saves a new checkpoint keeps the previous one.
	if end.Checkpoint == "" && t.attempt == end.Attempt {
		end.Checkpoint = t.latestCheckpoint()
	}
	if !t.spec.Checkpoints {
		end.Checkpoint = ""
	}
	return true
}

// sortedEndKeys returns the attempts that have ended on the worker, sorted by key.
func (w *worker) sortedEndKeys() []attemptKey {
	if len(w.ended) == 0 {
		return nil
	}
	keys := make([]attemptKey, 0, len(w.ended))
	for key := range w.ended {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a].compare(keys[b]) < 0 })
	return keys
}

// handleEndAck records that a queue has committed an end.
func (s *Scheduler) handleEndAck(m *schema.TaskEndAck) {
	if m.Key == nil {
		return
	}
	key := attemptKey{taskKey{m.Queue, m.Key.Job, m.Key.Step, m.Key.Task}, m.Attempt}
	if w := s.workers[m.Worker]; w != nil {
		// An acknowledgement of an earlier outcome of the same attempt doesn't count for the present one.
		if report := w.ended[key]; report != nil && (m.Outcome == "" || m.Outcome == report.sentOutcome) {
			report.isAcknowledged = true
			// In a large fleet the next order, or the next check of the worker, is soon enough.
			if w.poll == nil || w.poll.relay == "" {
				s.requestResponse(w)
			}
		}
	}
	// The event of the end may arrive later. Until then the attempt must not be ordered
	// again.
	if q := s.queues[m.Queue]; q != nil {
		if t := q.tasks[key.taskKey]; t != nil && t.attempt == m.Attempt && t.worker == m.Worker {
			t.isEndAcknowledged = true
		}
	}
}

// hasAcknowledgedEnds reports whether there are committed or orphaned ends to acknowledge
// to the worker.
func (s *Scheduler) hasAcknowledgedEnds(now eventloop.Micros, w *worker) bool {
	for _, report := range w.ended {
		if report.isAcknowledged {
			return true
		}
	}
	return len(s.orphanedStatuses(now, w, w.unknownEnds)) > 0
}
