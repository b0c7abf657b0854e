package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// taskName identifies a task in an agent's statuses. Agents don't know queues, so they name the job.
type taskName struct {
	jobName            string
	round, stepInRound uint32
	task               uint32
}

// namedAttempt identifies one attempt at a task in an agent's statuses.
type namedAttempt struct {
	taskName
	attempt uint32
}

func (t *task) name() taskName { return taskName{t.jobName, t.round, t.stepInRound, t.key.task} }

func namedAttemptOf(status *schema.TaskStatus) namedAttempt {
	return namedAttempt{taskName{status.Name, status.Round, status.StepInRound, status.Task}, status.Attempt}
}

// resolveStatuses adds the queue and key to every status of a heartbeat that names its tasks by job.
// Statuses whose task isn't known are kept in the worker's unknownRuns and unknownEnds.
func (s *Scheduler) resolveStatuses(w *worker, heartbeat *schema.WorkerHeartbeat) (running, ended []*schema.TaskStatus) {
	if !heartbeat.TasksByName {
		w.unknownRuns, w.unknownEnds = nil, nil
		return heartbeat.Running, heartbeat.Ended
	}
	keys := make(map[namedAttempt]attemptKey, len(heartbeat.Running)+len(heartbeat.Ended))
	running, w.unknownRuns = s.resolveList(w, heartbeat.Running, keys)
	ended, w.unknownEnds = s.resolveList(w, heartbeat.Ended, keys)
	w.resolvedAttempts = keys
	return running, ended
}

// resolveList resolves statuses and adds the keys that it finds to keys.
func (s *Scheduler) resolveList(w *worker, statuses []*schema.TaskStatus, keys map[namedAttempt]attemptKey) (resolved, unresolved []*schema.TaskStatus) {
	for _, status := range statuses {
		key, found := s.resolveStatus(w, status)
		if !found {
			unresolved = append(unresolved, status)
			continue
		}
		keys[namedAttemptOf(status)] = key
		resolved = append(resolved, &schema.TaskStatus{
			Queue: key.queue, Job: key.job, Step: key.step, Task: key.task, Attempt: key.attempt, State: status.State,
			RunUs: status.RunUs, IdleUs: status.IdleUs, CoresMilli: status.CoresMilli, MemoryMb: status.MemoryMb, Accelerators: status.Accelerators,
			Name: status.Name, Round: status.Round, StepInRound: status.StepInRound, Checkpoint: status.Checkpoint, Percent: status.Percent,
			Tenant: status.Tenant,
		})
	}
	return resolved, unresolved
}

// resolveStatus finds the attempt that a status names. Jobs in several queues may have the same
// name, so a task that is checked out to the worker takes precedence.
func (s *Scheduler) resolveStatus(w *worker, status *schema.TaskStatus) (attemptKey, bool) {
	name := namedAttemptOf(status)
	tasks := s.tasksByName[name.taskName]
	for _, t := range tasks {
		if t.worker == w.id && t.attempt == status.Attempt {
			return attemptKey{t.key, status.Attempt}, true
		}
	}
	// A name that was resolved before keeps its key, even after the task is gone.
	if key, known := w.resolvedAttempts[name]; known {
		return key, true
	}
	for _, t := range tasks {
		if t.attempt >= status.Attempt {
			return attemptKey{t.key, status.Attempt}, true
		}
	}
	return attemptKey{}, false
}

// orphanedStatuses returns those of a worker's unknown statuses that belong to no task of any queue.
// It returns none until this node leads every queue, because only then can it be sure.
func (s *Scheduler) orphanedStatuses(now eventloop.Micros, statuses []*schema.TaskStatus) []*schema.TaskStatus {
	if len(statuses) == 0 || !s.leadsAllQueues(now) {
		return nil
	}
	var orphaned []*schema.TaskStatus
	for _, status := range statuses {
		// A task that has become known since the heartbeat is resolved by the next one.
		if len(s.tasksByName[namedAttemptOf(status).taskName]) == 0 {
			orphaned = append(orphaned, &schema.TaskStatus{Name: status.Name, Round: status.Round, StepInRound: status.StepInRound, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return orphaned
}
