package scheduler

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	// unresponsiveTimeout is the time without a heartbeat after which a worker gets
	// neither orders nor new tasks.
	unresponsiveTimeout = eventloop.Second
	// deadWorkerRetention is the time after the last report of a worker's death for
	// which the worker is remembered as dead.
	deadWorkerRetention = 60 * eventloop.Second
)

// worker is the state of a worker whose lease this scheduler holds.
type worker struct {
	id                string
	fencingToken      uint64           // fencing token of the worker lease
	leaseSince        eventloop.Micros // when this scheduler learned of the worker lease
	isDead            bool             // reported dead by the agent of the worker that replaced it
	runLeaseGrantedAt eventloop.Micros // when a response last granted the worker its lease to run tasks

	heartbeatState
	poll          *openPoll // poll that waits for a response; nil: none
	needsResponse bool      // it is in Scheduler.responseRequests

	tasks    map[taskKey]*task // tasks checked out to the worker
	reserved map[taskKey]*task // ready tasks with a proposed checkout to the worker
	running  map[attemptKey]*schema.TaskStatus
	ended    map[attemptKey]*endReport

	resolvedAttempts map[namedAttempt]resolvedAttempt // attempts by the names that the worker's statuses use
	unknownRuns      []*schema.TaskStatus             // runs that belong to no known task
	unknownEnds      []*schema.TaskStatus             // ends that belong to no known task

	quality
	usageSummary
}

// heartbeatState holds what a worker's latest heartbeat reported of the worker itself.
type heartbeatState struct {
	hasHeartbeat  bool // a heartbeat has arrived under the current lease
	incarnation   uint64
	seq           uint64
	lastHeard     eventloop.Micros
	cores         int64
	memory        int64
	accelerators  int64
	rack          string
	pool          string
	labels        []string
	hasBarrier    bool // the worker makes the members of a gang wait for each other
	usesTaskNames bool // the statuses identify tasks by job name instead of by queue and key
	isDraining    bool
	drainingSince eventloop.Micros // when isDraining was first reported
	departsAt     eventloop.Micros // time of departure of a draining worker; 0: unknown
	warmUpUntil   eventloop.Micros // end of the time in which the worker may run slowly after its start
}

// addWorker starts to track a worker whose lease this scheduler has received.
func (s *Scheduler) addWorker(now eventloop.Micros, id string, fencingToken uint64) {
	w := &worker{
		id:               id,
		fencingToken:     fencingToken,
		leaseSince:       now,
		tasks:            s.tasksOn(id),
		reserved:         map[taskKey]*task{},
		running:          map[attemptKey]*schema.TaskStatus{},
		ended:            map[attemptKey]*endReport{},
		resolvedAttempts: map[namedAttempt]resolvedAttempt{},
		usageSummary:     usageSummary{isUsageStale: true},
	}
	for _, q := range s.queues {
		for key, t := range q.reserved {
			if t.reservedWorker == id {
				w.reserved[key] = t
			}
		}
	}
	_, w.isDead = s.deadWorkers[id]
	s.workers[id], s.workerOrder = w, nil
}

// dropWorker forgets a worker whose lease this scheduler no longer holds.
func (s *Scheduler) dropWorker(w *worker, effects eventloop.Effects) {
	s.closePoll(w, effects)
	s.countTenantUse(w, -1)
	s.forgetOutcomes(w)
	delete(s.workers, w.id)
	s.workerOrder = nil
	if len(w.tasks) == 0 {
		delete(s.tasksByWorker, w.id)
	}
}

// tasksOn returns the tasks checked out to a worker, whichever scheduler holds its lease.
func (s *Scheduler) tasksOn(id string) map[taskKey]*task {
	if s.tasksByWorker[id] == nil {
		s.tasksByWorker[id] = map[taskKey]*task{}
	}
	return s.tasksByWorker[id]
}

// sortedTasks returns the tasks checked out to the worker, sorted by key.
func (w *worker) sortedTasks() []*task { return sortedTasks(w.tasks) }

func sortedTasks(tasks map[taskKey]*task) []*task {
	list := make([]*task, 0, len(tasks))
	for _, t := range tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int { return compareTaskKeys(a.key, b.key) })
	return list
}

// taskForAttempt returns the task that is checked out to the worker with exactly this attempt, or nil.
func (w *worker) taskForAttempt(key attemptKey) *task {
	if t := w.tasks[key.taskKey]; t != nil && t.attempt == key.attempt {
		return t
	}
	return nil
}

// hasEnded reports whether the worker has reported the end of a task's current attempt.
func (w *worker) hasEnded(t *task) bool { return w.ended[attemptKey{t.key, t.attempt}] != nil }

// total returns all resources of the worker, used and free.
func (w *worker) total() resources { return resources{w.cores, w.memory, w.accelerators} }

// isResponsive reports whether a worker is alive and has sent a heartbeat within unresponsiveTimeout.
func (w *worker) isResponsive(now eventloop.Micros) bool {
	return w.hasHeartbeat && !w.isDead && now-w.lastHeard <= unresponsiveTimeout
}

// runStatus returns the status that a task's worker reported for its run, or nil.
func (s *Scheduler) runStatus(t *task) *schema.TaskStatus {
	w := s.workers[t.worker]
	if w == nil {
		return nil
	}
	return w.running[attemptKey{t.key, t.attempt}]
}

// returnTasksOfFormerIncarnations returns the tasks that were checked out to earlier incarnations
// of a worker. None of them runs any more.
func (s *Scheduler) returnTasksOfFormerIncarnations(now eventloop.Micros, w *worker, effects eventloop.Effects) {
	var former []*task
	for _, t := range w.tasks {
		if t.incarnation < w.incarnation {
			former = append(former, t)
		}
	}
	slices.SortFunc(former, func(a, b *task) int { return compareTaskKeys(a.key, b.key) })
	for _, t := range former {
		s.returnTask(now, t, effects)
	}
}

// markDead handles the report of an agent that its machine formerly ran other workers than its
// present one, the reporter. These are dead and their tasks no longer run, so the tasks are
// returned at once.
func (s *Scheduler) markDead(now eventloop.Micros, ids []string, reporter string, effects eventloop.Effects) {
	for _, id := range ids {
		if id == reporter {
			continue
		}
		_, known := s.deadWorkers[id]
		s.deadWorkers[id] = now
		if w := s.workers[id]; w != nil && !w.isDead {
			w.isDead = true
			w.forgetRuns()
			s.closePoll(w, effects)
		}
		if !known {
			s.returnTasksOfDeadWorker(now, id, effects)
		}
	}
}

// forgetRuns drops the runs that a worker last listed, when none of them runs any more.
func (w *worker) forgetRuns() {
	if len(w.running)+len(w.unknownRuns) == 0 {
		return
	}
	w.running, w.unknownRuns, w.isUsageStale = map[attemptKey]*schema.TaskStatus{}, nil, true
}

// removeDeadWorkers returns tasks that were found to be checked out to a dead worker after its
// death was reported. A dead worker without tasks is forgotten after deadWorkerRetention.
func (s *Scheduler) removeDeadWorkers(now eventloop.Micros, effects eventloop.Effects) {
	for _, id := range slices.Sorted(maps.Keys(s.deadWorkers)) {
		if len(s.tasksByWorker[id]) > 0 {
			s.returnTasksOfDeadWorker(now, id, effects)
		} else if now-s.deadWorkers[id] > deadWorkerRetention {
			delete(s.deadWorkers, id)
		}
	}
}

// returnTasksOfDeadWorker returns the tasks checked out to a dead worker, except those whose
// end it had reported.
func (s *Scheduler) returnTasksOfDeadWorker(now eventloop.Micros, id string, effects eventloop.Effects) {
	w := s.workers[id]
	for _, t := range sortedTasks(s.tasksByWorker[id]) {
		// An end that the worker reported before it died is forwarded with its own outcome.
		if w != nil && w.hasEnded(t) {
			continue
		}
		s.returnTask(now, t, effects)
	}
}

// returnTask reports a task as lost to its queue, which then makes the task ready again. The
// report is repeated at most every reportRetryInterval.
func (s *Scheduler) returnTask(now eventloop.Micros, t *task, effects eventloop.Effects) {
	if now-t.returnedAt < reportRetryInterval && t.returnedAt > 0 {
		return
	}
	if t.returnedAt == 0 {
		s.counts.LostTasks++
	}
	t.returnedAt = now
	s.endReports = append(s.endReports, &schema.TaskEndReport{
		Queue: t.key.queue, Key: t.key.toSchema(), Attempt: t.attempt,
		Outcome: outcomeLost, Worker: t.worker, Checkpoint: t.latestCheckpoint(),
	})
}
