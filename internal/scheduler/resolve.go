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

// resolvedAttempt is the attempt that a name in a worker's statuses was found to mean.
type resolvedAttempt struct {
	key          attemptKey
	isCheckedOut bool // the task was checked out to the worker with this attempt when the name was resolved
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
	attempts := make(map[namedAttempt]resolvedAttempt, len(heartbeat.Running)+len(heartbeat.Ended))
	running, w.unknownRuns = s.resolveList(w, heartbeat.Running, attempts, w.running)
	ended, w.unknownEnds = s.resolveList(w, heartbeat.Ended, attempts, nil)
	w.resolvedAttempts = attempts
	return running, ended
}

// resolveList resolves statuses and adds the attempts that it finds to attempts. It reuses the former
// statuses of the same attempts, which nobody needs any more.
func (s *Scheduler) resolveList(w *worker, statuses []*schema.TaskStatus, attempts map[namedAttempt]resolvedAttempt, former map[attemptKey]*schema.TaskStatus) (resolved, unresolved []*schema.TaskStatus) {
	for _, status := range statuses {
		attempt, found := s.resolveStatus(w, status)
		if !found {
			unresolved = append(unresolved, status)
			continue
		}
		attempts[namedAttemptOf(status)] = attempt
		key := attempt.key
		reused := former[key]
		if reused == nil {
			reused = &schema.TaskStatus{}
		}
		reused.Queue, reused.Job, reused.Step, reused.Task, reused.Attempt, reused.State = key.queue, key.job, key.step, key.task, key.attempt, status.State
		reused.RunUs, reused.IdleUs, reused.Percent = status.RunUs, status.IdleUs, status.Percent
		reused.CoresMilli, reused.MemoryMb, reused.Accelerators = status.CoresMilli, status.MemoryMb, status.Accelerators
		reused.Name, reused.Round, reused.StepInRound = status.Name, status.Round, status.StepInRound
		reused.Checkpoint, reused.Tenant = status.Checkpoint, status.Tenant
		resolved = append(resolved, reused)
	}
	return resolved, unresolved
}

// resolveStatus finds the attempt that a status names. Jobs in several queues may have the same
// name. While a worker lists a name, the name means the task that was checked out to the worker
// when it was first listed, even after that task is gone and another one of the same name is
// checked out there. A worker doesn't run two attempts of the same name and number at a time.
func (s *Scheduler) resolveStatus(w *worker, status *schema.TaskStatus) (resolvedAttempt, bool) {
	known, isKnown := w.resolvedAttempts[namedAttemptOf(status)]
	if known.isCheckedOut {
		return known, true
	}
	found, isFound := s.findAttempt(w, status)
	if found.isCheckedOut || !isKnown {
		return found, isFound
	}
	return known, true
}

// findAttempt finds the attempt that a status names among the known tasks. A task that is checked
// out to the worker takes precedence over an earlier attempt at a task. An attempt that is checked
// out to another worker belongs to that one, so the worker's own must be another task's.
func (s *Scheduler) findAttempt(w *worker, status *schema.TaskStatus) (found resolvedAttempt, isFound bool) {
	for _, t := range s.tasksByName[namedAttemptOf(status).taskName] {
		key := attemptKey{t.key, status.Attempt}
		if t.attempt == status.Attempt && t.worker == w.id {
			return resolvedAttempt{key, true}, true
		}
		if !isFound && (t.attempt > status.Attempt || t.attempt == status.Attempt && t.worker == "") {
			found, isFound = resolvedAttempt{key: key}, true
		}
	}
	return found, isFound
}

// orphanedStatuses returns those of a worker's unknown statuses that belong to no task of any queue.
// It returns none until this node leads every queue, because only then can it be sure.
func (s *Scheduler) orphanedStatuses(now eventloop.Micros, w *worker, statuses []*schema.TaskStatus) []*schema.TaskStatus {
	if len(statuses) == 0 || !s.leadsAllQueues(now) {
		return nil
	}
	var orphaned []*schema.TaskStatus
	for _, status := range statuses {
		// A task that has become known since the heartbeat is resolved by the next one.
		if _, isFound := s.findAttempt(w, status); !isFound {
			orphaned = append(orphaned, &schema.TaskStatus{Name: status.Name, Round: status.Round, StepInRound: status.StepInRound, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return orphaned
}
