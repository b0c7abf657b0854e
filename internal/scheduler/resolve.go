package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// taskName is a task as an agent names it, which knows no queues.
type taskName struct {
	jobName     string
	round, part uint32
	task        uint32
}

// namedAttempt is an attempt as an agent names it.
type namedAttempt struct {
	taskName
	attempt uint32
}

func (t *task) name() taskName { return taskName{t.jobName, t.round, t.part, t.key.task} }

func namedAttemptOf(note *schema.TaskStatus) namedAttempt {
	return namedAttempt{taskName{note.Name, note.Round, note.StepInRound, note.Task}, note.Attempt}
}

// resolveNotes gives the queue and key to every note of an announcement that names
// its tasks by job. The notes of which no task is known stay with the worker.
func (s *Scheduler) resolveNotes(w *worker, announce *schema.WorkerHeartbeat) (running, ended []*schema.TaskStatus) {
	if !announce.TasksByName {
		w.unknownRuns, w.unknownEnds = nil, nil
		return announce.Running, announce.Ended
	}
	keys := make(map[namedAttempt]attemptKey, len(announce.Running)+len(announce.Ended))
	running, w.unknownRuns = s.resolveList(w, announce.Running, keys)
	ended, w.unknownEnds = s.resolveList(w, announce.Ended, keys)
	w.resolved = keys
	return running, ended
}

// resolveList resolves notes and adds the keys it finds to keys.
func (s *Scheduler) resolveList(w *worker, notes []*schema.TaskStatus, keys map[namedAttempt]attemptKey) (resolved, unresolved []*schema.TaskStatus) {
	for _, note := range notes {
		key, found := s.resolveNote(w, note)
		if !found {
			unresolved = append(unresolved, note)
			continue
		}
		keys[namedAttemptOf(note)] = key
		resolved = append(resolved, &schema.TaskStatus{
			Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: key.attempt, State: note.State,
			RunUs: note.RunUs, IdleUs: note.IdleUs, CoresMilli: note.CoresMilli, MemoryMb: note.MemoryMb,
			Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Checkpoint: note.Checkpoint, Percent: note.Percent,
		})
	}
	return resolved, unresolved
}

// resolveNote finds the attempt that a note names. Jobs of several queues may have
// the same name, so what is checked out to the worker goes first.
func (s *Scheduler) resolveNote(w *worker, note *schema.TaskStatus) (attemptKey, bool) {
	name := namedAttemptOf(note)
	tasks := s.tasksByName[name.taskName]
	for _, t := range tasks {
		if t.worker == w.id && t.attempt == note.Attempt {
			return attemptKey{t.key, note.Attempt}, true
		}
	}
	// A name keeps its meaning, also after the task is gone.
	if key, known := w.resolved[name]; known {
		return key, true
	}
	for _, t := range tasks {
		if t.attempt >= note.Attempt {
			return attemptKey{t.key, note.Attempt}, true
		}
	}
	return attemptKey{}, false
}

// orphanedNotes lists those of a worker's unknown notes that belong to no task of
// any queue. It is empty until this node leads every queue and so can be sure.
func (s *Scheduler) orphanedNotes(now eventloop.Micros, notes []*schema.TaskStatus) []*schema.TaskStatus {
	if len(notes) == 0 || !s.leadsAllQueues(now) {
		return nil
	}
	var orphaned []*schema.TaskStatus
	for _, note := range notes {
		// A task that has come since is resolved by the next announcement.
		if len(s.tasksByName[namedAttemptOf(note).taskName]) == 0 {
			orphaned = append(orphaned, &schema.TaskStatus{Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Task: note.Task, Attempt: note.Attempt})
		}
	}
	return orphaned
}
