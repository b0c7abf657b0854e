package scheduler

import (
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
)

// applyEvents updates the view of a queue with what the state machine of its leader has
// committed: either numbered events or a snapshot of all its tasks.
func (s *Scheduler) applyEvents(now eventloop.Micros, m replica.TaskEvents, effects eventloop.Effects) {
	if m.IsSnapshot {
		s.replaceQueue(now, m)
	} else if !s.applyNewEvents(now, m, effects) {
		return
	}
	// A task that was checked out has used its capacity since its reservation, so only
	// tasks that became ready require a pass.
	if m.IsSnapshot || slices.ContainsFunc(m.Events, func(event *queue.TaskEvent) bool { return event.Status == queue.Ready }) {
		s.needsPass = true
	}
	s.needsGangCheck = true
}

// replaceQueue rebuilds the view of a queue from a snapshot of all its tasks.
func (s *Scheduler) replaceQueue(now eventloop.Micros, m replica.TaskEvents) {
	previous, isSameTerm := map[taskKey]task{}, false
	q := newQueueView(m.Queue, m.Group, m.Term)
	if old := s.queues[m.Queue]; old != nil {
		q.peakUsage = old.peakUsage
		if isSameTerm = old.term == m.Term; !isSameTerm {
			s.forgetAddedQueues()
		}
		if old.raftGroup == m.Group {
			for key, t := range old.tasks {
				previous[key] = *t
			}
		}
	}
	s.dropQueue(m.Queue)
	delete(s.addedQueues, m.Queue)
	s.queues[m.Queue] = q
	q.urgency, q.maxRunning = m.Urgency, m.MaxRunning
	s.configureQueue(q)
	for _, event := range m.Events {
		s.applyEvent(now, q, event)
	}
	s.inheritAttempts(previous, q, isSameTerm)
	q.lastSequence = m.LastSequence
}

// inheritAttempts copies from the previous view what only the scheduler knew of attempts that
// still exist. Proposed checkouts are kept only within the same term: a proposal of an earlier
// term can't be committed any more, and a view of a later term contains all that were committed.
func (s *Scheduler) inheritAttempts(previous map[taskKey]task, q *queueView, isSameTerm bool) {
	for key, t := range q.tasks {
		old, found := previous[key]
		if !found || old.attempt != t.attempt {
			continue
		}
		t.inherit(&old)
		t.placementReason = old.placementReason
		if t.state != queue.Ready || !isSameTerm {
			continue
		}
		if old.hasOpenCheckout {
			q.keepOpenCheckout(t)
		}
		if old.reservedWorker != "" {
			s.reserve(q, t, old.reservedWorker, old.reservedAt)
		}
	}
}

// inherit copies what was observed of the same attempt from the task's former state.
func (t *task) inherit(old *task) {
	t.evictOutcome, t.attemptProgress, t.isBoosted = old.evictOutcome, old.attemptProgress, old.isBoosted
	t.returnedAt = old.returnedAt
	if (t.state == queue.Ready) == (old.state == queue.Ready) {
		t.stateSince = old.stateSince
	}
}

// applyNewEvents applies the events that follow the latest applied one. It reports
// false if the queue isn't known or the events belong to another term than its view.
func (s *Scheduler) applyNewEvents(now eventloop.Micros, m replica.TaskEvents, effects eventloop.Effects) bool {
	q := s.queues[m.Queue]
	if q == nil || q.term != m.Term {
		return false
	}
	for _, event := range m.Events {
		if event.Sequence <= q.lastSequence {
			continue
		}
		if event.Sequence != q.lastSequence+1 {
			// An event is missing, so the view can only be rebuilt from a snapshot.
			s.counts.Gaps++
			effects.Notify("replica", replica.ResyncQueue{Group: m.Group})
			break
		}
		q.lastSequence = event.Sequence
		s.applyEvent(now, q, event)
	}
	return true
}

// applyEvent changes the view of a task to the state that the event reports.
func (s *Scheduler) applyEvent(now eventloop.Micros, q *queueView, event *queue.TaskEvent) {
	key := taskKey{q.name, event.Key.Job, event.Key.Step, event.Key.Task}
	old := q.tasks[key]
	wasBoosted := old != nil && old.isBoosted
	s.removeTask(q, key)
	if event.Status == queue.Inactive {
		if old != nil {
			s.trackEnd(now, q, old)
		}
		return
	}
	t := &task{
		key: key, state: event.Status, attempt: event.Attempt, worker: event.Worker, incarnation: event.Incarnation,
		sequence: event.Sequence, jobName: event.Name, tenant: event.Tenant, spec: event.Spec, text: event.Text, stateSince: now, isGangStarted: event.IsGangStarted,
		round: event.Round, stepInRound: event.StepInRound, initialCheckpoint: event.Checkpoint, failures: event.Failures, isLost: event.HasLostAttempt,
		roundDueAt: now - eventloop.Micros(event.RoundAgeUs), criticalPath: criticalPath{event.CriticalPath, event.RemainingPath},
	}
	if old != nil {
		t.placementReason, t.stuckStops = old.placementReason, old.stuckStops
		if old.attempt == t.attempt {
			t.inherit(old)
		} else if t.state == queue.CheckedOut {
			t.isBoosted = wasBoosted
		}
	}
	s.addTask(q, t)
	q.trackChange(now, old, t)
}

// addTask adds a task to the view of its queue and to the indexes by name and worker.
func (s *Scheduler) addTask(q *queueView, t *task) {
	q.tasks[t.key] = t
	q.countUnended(t.key.stepKey(), 1)
	s.tasksByName[t.name()] = append(s.tasksByName[t.name()], t)
	if t.state == queue.Ready {
		t.worker = ""
		q.addReady(t)
		return
	}
	q.checkedOutCount++
	q.usage.add(resourcesOf(t.spec))
	if t.isBoosted {
		q.boostedCores += t.spec.CoresMilli
	}
	q.countOnWorker(t, t.worker, 1)
	s.tasksOn(t.worker)[t.key] = t
	if t.spec.Gang && t.key.task == 0 && t.state == queue.CheckedOut && !t.isGangStarted {
		q.pendingGangs[t.key] = t
	}
	if w := s.workers[t.worker]; w != nil {
		s.requestResponse(w)
		w.isUsageStale = true
		if t.spec.Gang {
			s.requestGangResponses(t)
		}
	}
}

// removeTask reverses addTask, and releases the task's reservation if it has one.
func (s *Scheduler) removeTask(q *queueView, key taskKey) {
	t := q.tasks[key]
	if t == nil {
		return
	}
	delete(q.tasks, key)
	q.countUnended(key.stepKey(), -1)
	s.removeName(t)
	if t.state == queue.Ready {
		delete(q.openCheckouts, key)
		if t.reservedWorker != "" {
			s.unreserve(q, t)
		}
		q.removeReady(t)
		return
	}
	q.checkedOutCount--
	q.usage.sub(resourcesOf(t.spec))
	if t.isBoosted {
		q.boostedCores -= t.spec.CoresMilli
	}
	q.countOnWorker(t, t.worker, -1)
	delete(q.pendingGangs, key)
	delete(s.tasksByWorker[t.worker], key)
	if w := s.workers[t.worker]; w != nil {
		w.isUsageStale = true
	} else if len(s.tasksByWorker[t.worker]) == 0 {
		delete(s.tasksByWorker, t.worker)
	}
}

// removeName removes a task from tasksByName.
func (s *Scheduler) removeName(t *task) {
	others := slices.DeleteFunc(s.tasksByName[t.name()], func(other *task) bool { return other == t })
	if len(others) == 0 {
		delete(s.tasksByName, t.name())
	} else {
		s.tasksByName[t.name()] = others
	}
}

// dropQueue removes the view of a queue with all its tasks.
func (s *Scheduler) dropQueue(name string) {
	q := s.queues[name]
	if q == nil {
		return
	}
	for key := range q.tasks {
		s.removeTask(q, key)
	}
	delete(s.queues, name)
	s.needsPass = true
}
