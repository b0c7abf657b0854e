package scheduler

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// nameKey is a task as an agent names it, which knows no queue.
type nameKey struct {
	name        string
	round, part uint32
	task        uint32
}

type nameAttempt struct {
	nameKey
	attempt uint32
}

func nameOf(note *schema.TaskStatus) nameAttempt {
	return nameAttempt{nameKey{note.Name, note.Round, note.StepInRound, note.Task}, note.Attempt}
}

// resolve finds the queue and key of every note of a named announce. What can't
// be found stays with the worker as strange runs and unknown ends.
func (t *Table) resolve(w *worker, a *schema.WorkerHeartbeat) (running, over []*schema.TaskStatus) {
	if !a.TasksByName {
		w.strange, w.unknown = nil, nil
		return a.Running, a.Ended
	}
	kept := make(map[nameAttempt]attemptKey, len(a.Running)+len(a.Ended))
	find := func(notes []*schema.TaskStatus) (found, lost []*schema.TaskStatus) {
		for _, note := range notes {
			key, isFound := t.find(w, note)
			if !isFound {
				lost = append(lost, note)
				continue
			}
			kept[nameOf(note)] = key
			found = append(found, &schema.TaskStatus{
				Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: key.attempt, State: note.State,
				RunUs: note.RunUs, IdleUs: note.IdleUs, CoresMilli: note.CoresMilli, MemoryMb: note.MemoryMb,
				Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Checkpoint: note.Checkpoint, Percent: note.Percent,
			})
		}
		return found, lost
	}
	running, w.strange = find(a.Running)
	over, w.unknown = find(a.Ended)
	w.resolved = kept
	return running, over
}

func (t *Table) find(w *worker, note *schema.TaskStatus) (attemptKey, bool) {
	name := nameOf(note)
	candidates := t.names[name.nameKey]
	for _, each := range candidates {
		if each.worker == w.id && each.attempt == note.Attempt {
			return attemptKey{each.key, note.Attempt}, true
		}
	}
	// What it stood for once it stands for still, also after the task is gone.
	if key, isKnown := w.resolved[name]; isKnown {
		return key, true
	}
	for _, each := range candidates {
		if each.attempt >= note.Attempt {
			return attemptKey{each.key, note.Attempt}, true
		}
	}
	return attemptKey{}, false
}

// forgotten lists those of a worker's notes that no queue can know: every queue
// of the plan is led here, and none has such a task. Before that is sure they
// are left alone.
func (t *Table) forgotten(now eventloop.Micros, notes []*schema.TaskStatus) []*schema.TaskStatus {
	if len(notes) == 0 || !t.isAllHere(now) {
		return nil
	}
	var list []*schema.TaskStatus
	for _, note := range notes {
		// A task that has come since is for the next announce.
		if len(t.names[nameOf(note).nameKey]) == 0 {
			list = append(list, &schema.TaskStatus{Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Task: note.Task, Attempt: note.Attempt})
		}
	}
	return list
}

// isAllHere tells whether every queue of the plan that stands in the cluster state is
// led here and may be acted for.
func (t *Table) isAllHere(now eventloop.Micros) bool {
	if t.state.Version == 0 || !t.isSure(now) {
		return false
	}
	for _, place := range t.state.Queues {
		if !t.values.HasQueue(place.Queue) {
			continue
		}
		if v := t.views[place.Queue]; v == nil || !t.mayAct(now, v) {
			return false
		}
	}
	return true
}

// look takes down what is seen of a running task.
func (t *Table) look(now eventloop.Micros, w *worker, note *schema.TaskStatus) {
	each := w.tasks[noteKey(note).taskKey]
	if each == nil || each.attempt != note.Attempt || note.State == "held" {
		return
	}
	if each.beganAt == 0 {
		each.beganAt = now - eventloop.Micros(note.RunUs)
		if note.RunUs == 0 && each.orderAt > 0 {
			each.beganAt = each.orderAt
		}
		each.movedAt, each.percent = now, note.Percent
	}
	if note.Percent != each.percent {
		each.movedAt, each.percent = now, note.Percent
	}
	if note.Checkpoint != "" && note.Checkpoint != each.seen {
		each.seen, each.savedAt = note.Checkpoint, now
	}
}

// buried takes an agent's word for the workers that stood on its machine
// before: nothing of theirs runs, so their tasks are given back at once.
func (t *Table) buried(now eventloop.Micros, list []string, teller string, out eventloop.Effects) {
	for _, id := range list {
		if id == teller {
			continue
		}
		_, isKnown := t.over[id]
		t.over[id] = now
		if w := t.workers[id]; w != nil && !w.isOver {
			w.isOver = true
			t.dismiss(w, out)
		}
		if !isKnown {
			t.buryOne(now, id, out)
		}
	}
}

func (t *Table) buryOne(now eventloop.Micros, id string, out eventloop.Effects) {
	for _, key := range slices.SortedFunc(maps.Keys(t.placed[id]), compareKeys) {
		each := t.placed[id][key]
		// What it had told before it died goes its own way.
		if w := t.workers[id]; w != nil && w.ended[attemptKey{key, each.attempt}] != nil {
			continue
		}
		t.giveBack(now, each, "lost", out)
	}
}

// bury gives back what has come to be known of dead workers since.
func (t *Table) bury(now eventloop.Micros, out eventloop.Effects) {
	for _, id := range slices.Sorted(maps.Keys(t.over)) {
		at := t.over[id]
		if len(t.placed[id]) > 0 {
			t.buryOne(now, id, out)
		} else if now-at > overSpan {
			delete(t.over, id)
		}
	}
}
