package scheduler

// The scheduler's view of a queue: what its leader has handed over.

import (
	"maps"
	"slices"

	"github.com/google/btree"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

type queueView struct {
	name, raftGroup    string
	term, lastSequence uint64
	urgency            int64
	maxRunning         int64
	latencyTarget
	usage          resources    // by what is out
	peak           decayingPeak // of that
	tasks          map[taskKey]*task
	readyByShape   map[shape]*shapeGroup
	tasksPerWorker map[stepKey]map[string]int // tasks by worker, out or on their way
	reserved       map[taskKey]*task          // ready, with a checkout on its way
	pendingGangs   map[taskKey]*task          // first members of groups that are out and not decided to begin
	tasksOut       int
	readyCount     int // ready tasks without a checkout on its way
}

type endReport struct {
	note           *schema.TaskStatus
	receivedAt     eventloop.Micros // when it was first heard
	sentAt         eventloop.Micros
	isAcknowledged bool
}

// hasBacklog tells whether more waits for room than one checkout takes.
func (s *Scheduler) hasBacklog() bool {
	waits := 0
	for _, q := range s.queues {
		waits += q.readyCount
	}
	return waits > maxPlacements
}

// sortedWorkers lists the workers by name; every mail goes over them.
func (s *Scheduler) sortedWorkers() []*worker {
	if s.workerOrder == nil {
		for _, id := range slices.Sorted(maps.Keys(s.workers)) {
			s.workerOrder = append(s.workerOrder, s.workers[id])
		}
	}
	return s.workerOrder
}

func taskLess(a, b *task) bool { return taskKeyLess(a.key, b.key) }

func (s *Scheduler) applyEvents(now eventloop.Micros, m replica.TaskEvents, effects eventloop.Effects) {
	q := s.queues[m.Queue]
	if m.IsSnapshot {
		previous := map[taskKey]task{}
		peak := decayingPeak{}
		if q != nil {
			peak = q.peak
		}
		if q != nil && q.raftGroup == m.Group {
			for key, t := range q.tasks {
				previous[key] = *t
			}
		}
		q = &queueView{name: m.Queue, raftGroup: m.Group, term: m.Term, tasks: map[taskKey]*task{}, reserved: map[taskKey]*task{}, pendingGangs: map[taskKey]*task{}, readyByShape: map[shape]*shapeGroup{}, tasksPerWorker: map[stepKey]map[string]int{}}
		s.dropQueue(m.Queue)
		s.queues[m.Queue] = q
		q.urgency, q.maxRunning, q.peak, q.latencyTarget = m.Urgency, m.Running, peak, s.latencyTargetOf(m.Queue)
		for _, event := range m.Events {
			s.applyEvent(now, q, event)
		}
		s.inheritAttempts(previous, q)
		q.lastSequence = m.LastSequence
	} else {
		if q == nil || q.term != m.Term {
			return
		}
		for _, event := range m.Events {
			if event.Sequence <= q.lastSequence {
				continue
			}
			if event.Sequence != q.lastSequence+1 {
				// A hand-over is missing: ask for the whole list.
				s.counts.Gaps++
				effects.Notify("replica", replica.ResyncQueue{Group: m.Group})
				break
			}
			q.lastSequence = event.Sequence
			s.applyEvent(now, q, event)
		}
	}
	// What is out now took its room when it was picked.
	if m.IsSnapshot || slices.ContainsFunc(m.Events, func(event *queue.TaskEvent) bool { return event.Status == queue.Ready }) {
		s.needsPass = true
	}
	s.needsGangStart = true
}

// inheritAttempts keeps what only this table knew of tasks that are still the same.
func (s *Scheduler) inheritAttempts(previous map[taskKey]task, q *queueView) {
	for key, t := range q.tasks {
		if old, found := previous[key]; found && old.attempt == t.attempt {
			if (t.state == queue.Ready) == (old.state == queue.Ready) {
				t.since = old.since
			}
			t.evictOutcome, t.placementReason, t.attemptProgress = old.evictOutcome, old.placementReason, old.attemptProgress
			if t.state == queue.Ready && old.reservedWorker != "" {
				s.reserve(q, t, old.reservedWorker, old.reservedAt)
			}
		}
	}
}

func (s *Scheduler) applyEvent(now eventloop.Micros, q *queueView, event *queue.TaskEvent) {
	key := taskKey{q.name, event.Key.Job, event.Key.Step, event.Key.Task}
	old := q.tasks[key]
	s.removeTask(q, key)
	if event.Status == queue.Inactive {
		return
	}
	t := &task{
		key: key, state: event.Status, attempt: event.Attempt, worker: event.Worker, incarnation: event.Incarnation,
		sequence: event.Sequence, jobName: event.Name, spec: event.Spec, text: event.Text, since: now, isGangStarted: event.IsGangStarted,
		round: event.Round, part: event.StepInRound, initialCheckpoint: event.Progress, failures: event.Failures,
		roundDueAt: now - eventloop.Micros(event.RoundAgeUs), criticalPath: criticalPath{event.CriticalPath, event.RemainingPath},
	}
	if old != nil {
		t.placementReason, t.strikes = old.placementReason, old.strikes
		if old.attempt == t.attempt {
			t.evictOutcome, t.attemptProgress = old.evictOutcome, old.attemptProgress
			if (t.state == queue.Ready) == (old.state == queue.Ready) {
				t.since = old.since
			}
		}
	}
	q.tasks[key] = t
	name := taskName{t.jobName, t.round, t.part, t.key.task}
	s.tasksByName[name] = append(s.tasksByName[name], t)
	if event.Status == queue.Ready {
		t.worker = ""
		q.addReady(t)
		return
	}
	q.tasksOut++
	q.usage.add(resourcesOf(t.spec))
	q.countOnWorker(t, t.worker, 1)
	s.tasksOn(t.worker)[key] = t
	if t.spec.Gang && key.task == 0 && t.state == queue.CheckedOut && !t.isGangStarted {
		q.pendingGangs[key] = t
	}
	if w := s.workers[t.worker]; w != nil {
		w.needsResponse, w.isUsageStale = true, true
		if t.spec.Gang {
			s.markGangDirty(t)
		}
	}
}

// markGangDirty: what becomes of one member may concern all.
func (s *Scheduler) markGangDirty(t *task) {
	for _, member := range s.gangMembers(t) {
		if w := s.workers[member.worker]; w != nil {
			w.needsResponse = true
		}
	}
}

func (s *Scheduler) removeTask(q *queueView, key taskKey) {
	old := q.tasks[key]
	if old == nil {
		return
	}
	delete(q.tasks, key)
	s.unindexName(old)
	if old.state == queue.Ready {
		if old.reservedWorker != "" {
			s.unreserve(q, old)
		}
		q.removeReady(old)
		return
	}
	q.tasksOut--
	q.usage.sub(resourcesOf(old.spec))
	q.countOnWorker(old, old.worker, -1)
	delete(q.pendingGangs, key)
	delete(s.tasksByWorker[old.worker], key)
	if w := s.workers[old.worker]; w != nil {
		w.isUsageStale = true
	} else if len(s.tasksByWorker[old.worker]) == 0 {
		delete(s.tasksByWorker, old.worker)
	}
}

// unindexName takes a task out of the names.
func (s *Scheduler) unindexName(t *task) {
	name := taskName{t.jobName, t.round, t.part, t.key.task}
	list := slices.DeleteFunc(s.tasksByName[name], func(other *task) bool { return other == t })
	if len(list) == 0 {
		delete(s.tasksByName, name)
	} else {
		s.tasksByName[name] = list
	}
}

func (q *queueView) addReady(t *task) {
	key := shapeOf(t.key.stepKey(), t.spec)
	group := q.readyByShape[key]
	if group == nil {
		group = &shapeGroup{key, btree.NewG(16, stepQueueLess)}
		q.readyByShape[key] = group
	}
	step, found := group.steps.Get(&stepQueue{key: t.key.stepKey()})
	if !found {
		step = &stepQueue{key: t.key.stepKey(), spec: t.spec, ready: btree.NewG(4, taskLess)}
		group.steps.ReplaceOrInsert(step)
	}
	step.ready.ReplaceOrInsert(t)
	q.readyCount++
}

func (q *queueView) removeReady(t *task) {
	key := shapeOf(t.key.stepKey(), t.spec)
	group := q.readyByShape[key]
	if group == nil {
		return
	}
	if step, found := group.steps.Get(&stepQueue{key: t.key.stepKey()}); found {
		if _, found := step.ready.Delete(t); found {
			q.readyCount--
		}
		if step.ready.Len() == 0 {
			group.steps.Delete(step)
		}
		if group.steps.Len() == 0 {
			delete(q.readyByShape, key)
		}
	}
}

// countOnWorker counts a task of a step on a worker.
func (q *queueView) countOnWorker(t *task, worker string, by int) {
	key := t.key.stepKey()
	if q.tasksPerWorker[key] == nil {
		q.tasksPerWorker[key] = map[string]int{}
	}
	if q.tasksPerWorker[key][worker] += by; q.tasksPerWorker[key][worker] <= 0 {
		delete(q.tasksPerWorker[key], worker)
	}
	if len(q.tasksPerWorker[key]) == 0 {
		delete(q.tasksPerWorker, key)
	}
}
