package scheduler

// What workers report of runs and ends, carried to the queue's leader.

import (
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// recordEndReports passes ended tasks on to their queues' leaders until they are noted.
func (s *Scheduler) recordEndReports(now eventloop.Micros, w *worker, notes []*schema.TaskStatus, effects eventloop.Effects) {
	fresh := map[attemptKey]*endReport{}
	for _, note := range notes {
		key := attemptKeyOf(note)
		report := w.ended[key]
		if report == nil {
			report = &endReport{note: note, receivedAt: now, sentAt: -reportRetryInterval}
			s.recordEnd(now, w, key, note)
		}
		fresh[key] = report
	}
	w.ended = fresh
	s.forwardEndReports(now, w, effects)
}

func (s *Scheduler) forwardEndReports(now eventloop.Micros, w *worker, effects eventloop.Effects) {
	for _, key := range sortedEndKeys(w) {
		report := w.ended[key]
		if report.isAcknowledged || now-report.sentAt < reportRetryInterval {
			continue
		}
		outcome := report.note.State
		end := &schema.TaskEndReport{
			Queue: key.queue, Key: &schema.TaskKey{Job: key.job, Step: key.step, Task: key.task},
			Attempt: key.attempt, Worker: w.id, Checkpoint: report.note.Checkpoint, WholeGang: outcome == "done" && w.hasBarrier,
		}
		if q := s.queues[key.queue]; q != nil && s.mayActFor(now, q) {
			t := q.tasks[key.taskKey]
			// It isn't out under that attempt any more, so nothing is left to
			// report, but that it failed. That is sure only when nothing is on
			// its way to us.
			superseded := t == nil || t.attempt > key.attempt
			if superseded && outcome != "failed" {
				report.isAcknowledged = true
				continue
			}
			// Who fails at once would have the others stopped before the last of
			// them has begun, whose order was lost on the way.
			if !superseded && outcome == "failed" && now-report.receivedAt < gangFailureGrace && s.isGangStarting(t) {
				continue
			}
			if !superseded && t.attempt == key.attempt && t.evictOutcome != "" && outcome == "stopped" {
				outcome = t.evictOutcome
			}
			if t != nil {
				end.WholeGang = end.WholeGang && t.spec.Gang
				// A run that ends before it has kept anything new leaves what there was.
				if end.Checkpoint == "" && t.attempt == key.attempt {
					end.Checkpoint = t.latestCheckpoint()
				}
				if !t.spec.Checkpoints {
					end.Checkpoint = ""
				}
			}
		}
		if outcome == "done" {
			end.Checkpoint = ""
		}
		report.sentAt = now
		end.Outcome = outcome
		effects.Notify("replica", replica.TaskEnded{End: end})
	}
}

func sortedEndKeys(w *worker) []attemptKey {
	keys := make([]attemptKey, 0, len(w.ended))
	for key := range w.ended {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return taskKeyLess(keys[a].taskKey, keys[b].taskKey) })
	return keys
}

func (s *Scheduler) handleEndReply(m *schema.TaskEndAck) {
	if w := s.workers[m.Worker]; w != nil && m.Key != nil {
		if report := w.ended[attemptKey{taskKey{m.Queue, m.Key.Job, m.Key.Step, m.Key.Task}, m.Attempt}]; report != nil {
			report.isAcknowledged, w.needsResponse = true, true
		}
	}
	// The queue has taken the end in, though its shift may not be here yet: this
	// attempt isn't started any more.
	if q := s.queues[m.Queue]; q != nil && m.Key != nil {
		if t := q.tasks[taskKey{m.Queue, m.Key.Job, m.Key.Step, m.Key.Task}]; t != nil && t.attempt == m.Attempt && t.worker == m.Worker {
			t.isEndAcknowledged = true
		}
	}
}

func (s *Scheduler) runningNote(t *task) *schema.TaskStatus {
	w := s.workers[t.worker]
	if w == nil {
		return nil
	}
	return w.running[attemptKey{t.key, t.attempt}]
}

func (s *Scheduler) hasAcknowledgedEnds(now eventloop.Micros, w *worker) bool {
	for _, report := range w.ended {
		if report.isAcknowledged {
			return true
		}
	}
	return len(w.unknownEnds) > 0 && len(s.orphanedNotes(now, w.unknownEnds)) > 0
}
