package scheduler

import (
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

const (
	// reportRetryInterval is after how long an end that wasn't acknowledged is
	// reported to its queue again.
	reportRetryInterval = 300 * eventloop.Millisecond
	// gangFailureGrace is how long the failure of a gang's member is kept back for
	// the other members to begin.
	gangFailureGrace = eventloop.Second
)

// endReport is an end that a worker lists until it is acknowledged.
type endReport struct {
	status         *schema.TaskStatus
	receivedAt     eventloop.Micros // first
	sentAt         eventloop.Micros // last
	sentOutcome    string           // to the queue, last
	isAcknowledged bool             // the queue has committed it
}

// recordEndReports takes in the ends that a heartbeat lists.
func (s *Scheduler) recordEndReports(now eventloop.Micros, w *worker, statuses []*schema.TaskStatus, effects eventloop.Effects) {
	listed := map[attemptKey]*endReport{}
	for _, status := range statuses {
		key := attemptKeyOf(status)
		report := w.ended[key]
		// An agent that has declared an attempt over may learn later how it ended.
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
			effects.Notify("replica", replica.TaskEnded{Report: end})
		}
	}
}

// newEndReport is what to report of an end to its queue; nil: nothing, or not yet.
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

// fillEndReport adds to an end what the queue's view of the task says, nil if it has
// none. It reports false where the end isn't to be reported, or not yet.
func (s *Scheduler) fillEndReport(now eventloop.Micros, end *schema.TaskEndReport, t *task, report *endReport) bool {
	// Where the task isn't out under that attempt any more, nothing is left to
	// report but a failure, which counts. The view may be relied on only because
	// this node may act for the queue.
	superseded := t == nil || t.attempt > end.Attempt
	if superseded && end.Outcome != outcomeFailed {
		report.isAcknowledged = true
		return false
	}
	// A member that fails at once would have the others stopped before the last of
	// them has begun, whose start order was lost on the way.
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
	// A run that ends before it has saved a new checkpoint leaves the one before.
	if end.Checkpoint == "" && t.attempt == end.Attempt {
		end.Checkpoint = t.latestCheckpoint()
	}
	if !t.spec.Checkpoints {
		end.Checkpoint = ""
	}
	return true
}

func (w *worker) sortedEndKeys() []attemptKey {
	keys := make([]attemptKey, 0, len(w.ended))
	for key := range w.ended {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a].compare(keys[b]) < 0 })
	return keys
}

// handleEndAck notes that a queue has committed an end.
func (s *Scheduler) handleEndAck(m *schema.TaskEndAck) {
	if m.Key == nil {
		return
	}
	key := attemptKey{taskKey{m.Queue, m.Key.Job, m.Key.Step, m.Key.Task}, m.Attempt}
	if w := s.workers[m.Worker]; w != nil {
		// What a worker has reported before of the same attempt isn't its end any more.
		if report := w.ended[key]; report != nil && (m.Outcome == "" || m.Outcome == report.sentOutcome) {
			report.isAcknowledged, w.needsResponse = true, true
		}
	}
	// The event that says so may not be here yet: until then the attempt must not
	// be ordered again.
	if q := s.queues[m.Queue]; q != nil {
		if t := q.tasks[key.taskKey]; t != nil && t.attempt == m.Attempt && t.worker == m.Worker {
			t.isEndAcknowledged = true
		}
	}
}

// hasAcknowledgedEnds reports whether there are settled ends to acknowledge to the
// worker.
func (s *Scheduler) hasAcknowledgedEnds(now eventloop.Micros, w *worker) bool {
	for _, report := range w.ended {
		if report.isAcknowledged {
			return true
		}
	}
	return len(s.orphanedStatuses(now, w.unknownEnds)) > 0
}
