package scheduler

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// taskName is a task as an agent names it, which knows no queue.
type taskName struct {
	name        string
	round, part uint32
	task        uint32
}

type namedAttempt struct {
	taskName
	attempt uint32
}

func namedAttemptOf(note *schema.TaskStatus) namedAttempt {
	return namedAttempt{taskName{note.Name, note.Round, note.StepInRound, note.Task}, note.Attempt}
}

// resolveNotes finds the queue and key of every note of a named announce. What can't
// be found stays with the worker as strange runs and unknown ends.
func (s *Scheduler) resolveNotes(w *worker, announce *schema.WorkerHeartbeat) (running, ended []*schema.TaskStatus) {
	if !announce.TasksByName {
		w.unknownRuns, w.unknownEnds = nil, nil
		return announce.Running, announce.Ended
	}
	known := make(map[namedAttempt]attemptKey, len(announce.Running)+len(announce.Ended))
	find := func(notes []*schema.TaskStatus) (resolved, unresolved []*schema.TaskStatus) {
		for _, note := range notes {
			key, found := s.resolveNote(w, note)
			if !found {
				unresolved = append(unresolved, note)
				continue
			}
			known[namedAttemptOf(note)] = key
			resolved = append(resolved, &schema.TaskStatus{
				Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: key.attempt, State: note.State,
				RunUs: note.RunUs, IdleUs: note.IdleUs, CoresMilli: note.CoresMilli, MemoryMb: note.MemoryMb,
				Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Checkpoint: note.Checkpoint, Percent: note.Percent,
			})
		}
		return resolved, unresolved
	}
	running, w.unknownRuns = find(announce.Running)
	ended, w.unknownEnds = find(announce.Ended)
	w.resolved = known
	return running, ended
}

func (s *Scheduler) resolveNote(w *worker, note *schema.TaskStatus) (attemptKey, bool) {
	name := namedAttemptOf(note)
	candidates := s.tasksByName[name.taskName]
	for _, t := range candidates {
		if t.worker == w.id && t.attempt == note.Attempt {
			return attemptKey{t.key, note.Attempt}, true
		}
	}
	// What it stood for once it stands for still, also after the task is gone.
	if key, known := w.resolved[name]; known {
		return key, true
	}
	for _, t := range candidates {
		if t.attempt >= note.Attempt {
			return attemptKey{t.key, note.Attempt}, true
		}
	}
	return attemptKey{}, false
}

// orphanedNotes lists those of a worker's notes that no queue can know: every queue
// of the plan is led here, and none has such a task. Before that is sure they
// are left alone.
func (s *Scheduler) orphanedNotes(now eventloop.Micros, notes []*schema.TaskStatus) []*schema.TaskStatus {
	if len(notes) == 0 || !s.leadsAllQueues(now) {
		return nil
	}
	var list []*schema.TaskStatus
	for _, note := range notes {
		// A task that has come since is for the next announce.
		if len(s.tasksByName[namedAttemptOf(note).taskName]) == 0 {
			list = append(list, &schema.TaskStatus{Name: note.Name, Round: note.Round, StepInRound: note.StepInRound, Task: note.Task, Attempt: note.Attempt})
		}
	}
	return list
}

// leadsAllQueues tells whether every queue of the plan that stands in the cluster state is
// led here and may be acted for.
func (s *Scheduler) leadsAllQueues(now eventloop.Micros) bool {
	if s.clusterState.Version == 0 || !s.isClusterStateCurrent(now) {
		return false
	}
	for _, place := range s.clusterState.Queues {
		if !s.config.HasQueue(place.Queue) {
			continue
		}
		if q := s.queues[place.Queue]; q == nil || !s.mayActFor(now, q) {
			return false
		}
	}
	return true
}

// observeRun takes down what is seen of a running task.
func (s *Scheduler) observeRun(now eventloop.Micros, w *worker, note *schema.TaskStatus) {
	t := w.tasks[attemptKeyOf(note).taskKey]
	if t == nil || t.attempt != note.Attempt || note.State == "held" {
		return
	}
	if t.startedAt == 0 {
		t.startedAt = now - eventloop.Micros(note.RunUs)
		if note.RunUs == 0 && t.orderedAt > 0 {
			t.startedAt = t.orderedAt
		}
		t.progressedAt, t.percent = now, note.Percent
	}
	if note.Percent != t.percent {
		t.progressedAt, t.percent = now, note.Percent
	}
	if note.Checkpoint != "" && note.Checkpoint != t.lastCheckpoint {
		t.lastCheckpoint, t.checkpointedAt = note.Checkpoint, now
	}
}

// markDead takes an agent's word for the workers that stood on its machine
// before: nothing of theirs runs, so their tasks are given back at once.
func (s *Scheduler) markDead(now eventloop.Micros, list []string, reporter string, effects eventloop.Effects) {
	for _, id := range list {
		if id == reporter {
			continue
		}
		_, known := s.deadWorkers[id]
		s.deadWorkers[id] = now
		if w := s.workers[id]; w != nil && !w.isDead {
			w.isDead = true
			s.closePoll(w, effects)
		}
		if !known {
			s.returnTasksOf(now, id, effects)
		}
	}
}

func (s *Scheduler) returnTasksOf(now eventloop.Micros, id string, effects eventloop.Effects) {
	for _, key := range slices.SortedFunc(maps.Keys(s.tasksByWorker[id]), compareTaskKeys) {
		t := s.tasksByWorker[id][key]
		// What it had told before it died goes its own way.
		if w := s.workers[id]; w != nil && w.ended[attemptKey{key, t.attempt}] != nil {
			continue
		}
		s.returnTask(now, t, "lost", effects)
	}
}

// removeDeadWorkers gives back what has come to be known of dead workers since.
func (s *Scheduler) removeDeadWorkers(now eventloop.Micros, effects eventloop.Effects) {
	for _, id := range slices.Sorted(maps.Keys(s.deadWorkers)) {
		since := s.deadWorkers[id]
		if len(s.tasksByWorker[id]) > 0 {
			s.returnTasksOf(now, id, effects)
		} else if now-since > deadWorkerRetention {
			delete(s.deadWorkers, id)
		}
	}
}
