package scheduler

// What workers report of runs and ends, carried to the queue's leader.

import (
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// reports passes ended tasks on to their queues' leaders until they are noted.
func (t *Table) reports(now eventloop.Micros, w *worker, notes []*schema.TaskStatus, out eventloop.Effects) {
	fresh := map[attemptKey]*ended{}
	for _, note := range notes {
		key := noteKey(note)
		e := w.ended[key]
		if e == nil {
			e = &ended{note: note, at: now, sentAt: -endSpan}
			t.judge(now, w, key, note)
		}
		fresh[key] = e
	}
	w.ended = fresh
	t.passReports(now, w, out)
}

func (t *Table) passReports(now eventloop.Micros, w *worker, out eventloop.Effects) {
	for _, key := range endedKeys(w) {
		e := w.ended[key]
		if e.isNoted || now-e.sentAt < endSpan {
			continue
		}
		outcome := e.note.State
		end := &schema.TaskEndReport{
			Queue: key.queue, Key: &schema.TaskKey{Job: key.job, Step: key.step, Task: key.task},
			Attempt: key.attempt, Worker: w.id, Checkpoint: e.note.Checkpoint, WholeGang: outcome == "done" && w.gathers,
		}
		if v := t.views[key.queue]; v != nil && t.mayAct(now, v) {
			each := v.tasks[key.taskKey]
			// It isn't out under that attempt any more, so nothing is left to
			// report, but that it failed. That is sure only when nothing is on
			// its way to us.
			isPast := each == nil || each.attempt > key.attempt
			if isPast && outcome != "failed" {
				e.isNoted = true
				continue
			}
			// Who fails at once would have the others stopped before the last of
			// them has begun, whose order was lost on the way.
			if !isPast && outcome == "failed" && now-e.at < wholeSpan && t.isBeginning(each) {
				continue
			}
			if !isPast && each.attempt == key.attempt && each.evict != "" && outcome == "stopped" {
				outcome = each.evict
			}
			if each != nil {
				end.WholeGang = end.WholeGang && each.spec.Gang
				// A run that ends before it has kept anything new leaves what there was.
				if end.Checkpoint == "" && each.attempt == key.attempt {
					end.Checkpoint = each.keptProgress()
				}
				if !each.spec.Checkpoints {
					end.Checkpoint = ""
				}
			}
		}
		if outcome == "done" {
			end.Checkpoint = ""
		}
		e.sentAt = now
		end.Outcome = outcome
		out.Notify("replica", replica.TaskEnded{End: end})
	}
}

func endedKeys(w *worker) []attemptKey {
	keys := make([]attemptKey, 0, len(w.ended))
	for key := range w.ended {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return lessKey(keys[a].taskKey, keys[b].taskKey) })
	return keys
}

func (t *Table) noted(m *schema.TaskEndAck) {
	if w := t.workers[m.Worker]; w != nil && m.Key != nil {
		if e := w.ended[attemptKey{taskKey{m.Queue, m.Key.Job, m.Key.Step, m.Key.Task}, m.Attempt}]; e != nil {
			e.isNoted, w.isDirty = true, true
		}
	}
	// The queue has taken the end in, though its shift may not be here yet: this
	// attempt isn't started any more.
	if v := t.views[m.Queue]; v != nil && m.Key != nil {
		if each := v.tasks[taskKey{m.Queue, m.Key.Job, m.Key.Step, m.Key.Task}]; each != nil && each.attempt == m.Attempt && each.worker == m.Worker {
			each.isOver = true
		}
	}
}

func (t *Table) noteOf(each *task) *schema.TaskStatus {
	w := t.workers[each.worker]
	if w == nil {
		return nil
	}
	return w.running[attemptKey{each.key, each.attempt}]
}

func (t *Table) hasNoted(now eventloop.Micros, w *worker) bool {
	for _, e := range w.ended {
		if e.isNoted {
			return true
		}
	}
	return len(w.unknown) > 0 && len(t.forgotten(now, w.unknown)) > 0
}
