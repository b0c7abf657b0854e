package scheduler

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

const (
	// unresponsiveTimeout is the time without a heartbeat after which a worker
	// gets neither orders nor new tasks.
	unresponsiveTimeout = eventloop.Second
	// deadWorkerRetention is how long a worker stays known as dead after the last
	// report of its death.
	deadWorkerRetention = 60 * eventloop.Second
)

// worker is the state of a worker whose lease this scheduler holds.
type worker struct {
	id                string
	fencingToken      uint64           // of the lease
	leaseSince        eventloop.Micros // when this scheduler learned of the lease
	isDead            bool             // reported dead by the agent that took its place
	runLeaseGrantedAt eventloop.Micros // when it was last granted its own lease to run tasks

	heartbeatState
	poll          *openPoll // nil: none is waiting for a response
	needsResponse bool      // there may be something to respond with

	tasks    map[taskKey]*task // checked out to it
	reserved map[taskKey]*task // with a checkout to it on the way
	running  map[attemptKey]*schema.TaskStatus
	ended    map[attemptKey]*endReport

	resolved    map[namedAttempt]attemptKey // what the names in its statuses stand for
	unknownRuns []*schema.TaskStatus        // runs of which no task is known
	unknownEnds []*schema.TaskStatus        // ends of which no task is known

	quality
	usageSummary
}

// heartbeatState is what a worker last said of itself.
type heartbeatState struct {
	hasHeartbeat  bool // under the current lease
	incarnation   uint64
	seq           uint64
	lastHeard     eventloop.Micros
	cores         int64
	memory        int64
	accelerators  int64
	rack          string
	pool          string
	labels        []string
	hasBarrier    bool // it has the members of a gang wait for each other
	usesNames     bool // its statuses name tasks by job instead of by queue and key
	isDraining    bool
	drainingSince eventloop.Micros // when that was first reported
	departsAt     eventloop.Micros // while it drains; 0: unknown
	warmUpUntil   eventloop.Micros
}

func (s *Scheduler) addWorker(now eventloop.Micros, id string, fencingToken uint64) {
	w := &worker{
		id:           id,
		fencingToken: fencingToken,
		leaseSince:   now,
		tasks:        s.tasksOn(id),
		reserved:     map[taskKey]*task{},
		running:      map[attemptKey]*schema.TaskStatus{},
		ended:        map[attemptKey]*endReport{},
		resolved:     map[namedAttempt]attemptKey{},
		usageSummary: usageSummary{isUsageStale: true},
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

func (s *Scheduler) dropWorker(w *worker, effects eventloop.Effects) {
	s.closePoll(w, effects)
	s.countTenantUse(w, -1)
	delete(s.workers, w.id)
	s.workerOrder = nil
	if len(w.tasks) == 0 {
		delete(s.tasksByWorker, w.id)
	}
}

// tasksOn is the tasks checked out to a worker, whoever holds its lease.
func (s *Scheduler) tasksOn(id string) map[taskKey]*task {
	if s.tasksByWorker[id] == nil {
		s.tasksByWorker[id] = map[taskKey]*task{}
	}
	return s.tasksByWorker[id]
}

// sortedTasks lists the tasks checked out to the worker by key.
func (w *worker) sortedTasks() []*task { return sortedTasks(w.tasks) }

func sortedTasks(tasks map[taskKey]*task) []*task {
	list := make([]*task, 0, len(tasks))
	for _, t := range tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int { return compareTaskKeys(a.key, b.key) })
	return list
}

// taskOf is the task that is checked out to the worker under just this attempt, or nil.
func (w *worker) taskOf(key attemptKey) *task {
	if t := w.tasks[key.taskKey]; t != nil && t.attempt == key.attempt {
		return t
	}
	return nil
}

// hasEnded reports whether the worker has reported the end of a task's current attempt.
func (w *worker) hasEnded(t *task) bool { return w.ended[attemptKey{t.key, t.attempt}] != nil }

// total is the worker's resources, used or not.
func (w *worker) total() resources { return resources{w.cores, w.memory, w.accelerators} }

// isResponsive reports whether a worker is alive and has sent a heartbeat lately.
func (w *worker) isResponsive(now eventloop.Micros) bool {
	return w.hasHeartbeat && !w.isDead && now-w.lastHeard <= unresponsiveTimeout
}

// runStatus is what a task's worker says of its run, or nil.
func (s *Scheduler) runStatus(t *task) *schema.TaskStatus {
	w := s.workers[t.worker]
	if w == nil {
		return nil
	}
	return w.running[attemptKey{t.key, t.attempt}]
}

// returnTasksOfFormerIncarnations returns the tasks of earlier incarnations of a worker, of which
// nothing runs any more.
func (s *Scheduler) returnTasksOfFormerIncarnations(now eventloop.Micros, w *worker, effects eventloop.Effects) {
	for _, t := range w.sortedTasks() {
		if t.incarnation < w.incarnation {
			s.returnTask(now, t, effects)
		}
	}
}

// markDead takes an agent's report of the workers that its machine ran before:
// nothing of theirs runs, so their tasks are returned at once.
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
			s.returnTasksOfDead(now, id, effects)
		}
	}
}

// forgetRuns drops what a worker last listed as running, none of which runs any more.
func (w *worker) forgetRuns() {
	if len(w.running)+len(w.unknownRuns) == 0 {
		return
	}
	w.running, w.unknownRuns, w.isUsageStale = map[attemptKey]*schema.TaskStatus{}, nil, true
}

// removeDeadWorkers returns tasks that have turned out since to be checked out to a
// dead worker, and forgets the dead workers after a while.
func (s *Scheduler) removeDeadWorkers(now eventloop.Micros, effects eventloop.Effects) {
	for _, id := range slices.Sorted(maps.Keys(s.deadWorkers)) {
		if len(s.tasksByWorker[id]) > 0 {
			s.returnTasksOfDead(now, id, effects)
		} else if now-s.deadWorkers[id] > deadWorkerRetention {
			delete(s.deadWorkers, id)
		}
	}
}

func (s *Scheduler) returnTasksOfDead(now eventloop.Micros, id string, effects eventloop.Effects) {
	w := s.workers[id]
	for _, t := range sortedTasks(s.tasksByWorker[id]) {
		// An end that it reported before it died is forwarded as such.
		if w != nil && w.hasEnded(t) {
			continue
		}
		s.returnTask(now, t, effects)
	}
}

// returnTask reports a task as lost to its queue, which makes it ready again.
func (s *Scheduler) returnTask(now eventloop.Micros, t *task, effects eventloop.Effects) {
	if now-t.returnedAt < reportRetryInterval && t.returnedAt > 0 {
		return
	}
	if t.returnedAt == 0 {
		s.counts.LostTasks++
	}
	t.returnedAt = now
	effects.Notify("replica", replica.TaskEnded{Report: &schema.TaskEndReport{
		Queue: t.key.queue, Key: t.key.toSchema(), Attempt: t.attempt,
		Outcome: outcomeLost, Worker: t.worker, Checkpoint: t.latestCheckpoint(),
	}})
}
