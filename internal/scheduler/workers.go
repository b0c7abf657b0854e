package scheduler

// Workers: the lease by which they are ordered, what they announce, and when they are lost.

import (
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

type openPoll struct {
	gateway  string
	id       uint64
	seq      uint64
	deadline eventloop.Micros
}

type worker struct {
	id                string
	fencingToken      uint64
	leaseSince        eventloop.Micros
	hasAnnounced      bool // has announced itself to this ward's generation
	incarnation       uint64
	seq               uint64
	lastHeard         eventloop.Micros
	lastResponse      eventloop.Micros
	cores             int64
	memory            int64
	rack              string
	isDraining        bool
	drainingSince     eventloop.Micros // when that was first heard
	running           map[attemptKey]*schema.TaskStatus
	ended             map[attemptKey]*endReport
	tasks             map[taskKey]*task
	poll              *openPoll
	needsResponse     bool    // there may be something to tell it
	succeeded, failed float64 // decayed counts of ended tasks
	quality

	accelerators int64
	labels       []string
	pool         string
	hasBarrier   bool
	usesNames    bool
	isDead       bool             // dead, by its successor's agent's word
	departsAt    eventloop.Micros // while it leaves; 0: not told
	warmUpUntil  eventloop.Micros
	resolved     map[namedAttempt]attemptKey // what its named notes stand for
	unknownRuns  []*schema.TaskStatus        // runs that no task is known for
	unknownEnds  []*schema.TaskStatus        // ends that no task is known for

	reserved        map[taskKey]*task // checkouts on their way
	isUsageStale    bool              // the sums below are to be made anew
	used            resources         // by all that is there or on its way
	releasing       resources         // of that, what is being stopped
	usedByServices  resources         // of that, what never ends by itself
	taskCount       int
	hasUnknownUsage bool // it runs something of unknown size
}

// tasksOn is the tasks out on a worker.
func (s *Scheduler) tasksOn(id string) map[taskKey]*task {
	if s.tasksByWorker[id] == nil {
		s.tasksByWorker[id] = map[taskKey]*task{}
	}
	return s.tasksByWorker[id]
}

func (s *Scheduler) closePoll(w *worker, effects eventloop.Effects) {
	if w.poll != nil {
		effects.Send(w.poll.gateway, &schema.WorkerPollResponse{Id: w.poll.id, Scheduler: s.id})
		w.poll = nil
	}
}

func (s *Scheduler) dropQueue(name string) {
	if q := s.queues[name]; q != nil {
		for key := range q.tasks {
			s.removeTask(q, key)
		}
		delete(s.queues, name)
		s.needsPass = true
	}
}

// isClusterStateCurrent tells whether the cluster state's word, by which this node is a ward, is
// fresh.
func (s *Scheduler) isClusterStateCurrent(now eventloop.Micros) bool {
	return now-s.leadershipAt < maxLeadershipAge && s.leadership.IsClusterStateFresh
}

// mayActFor tells whether orders for a queue may leave: its leader has just heard
// its quorum, and the cluster state's word is fresh.
func (s *Scheduler) mayActFor(now eventloop.Micros, q *queueView) bool {
	return s.isClusterStateCurrent(now) && s.leadership.Terms[q.raftGroup] == q.term
}

func (s *Scheduler) handlePoll(now eventloop.Micros, gateway string, poll *schema.WorkerPollRequest, effects eventloop.Effects) {
	w := s.workers[poll.Worker]
	announce := poll.Heartbeat
	// Who isn't sure of being the ward gives no lease.
	if w == nil || announce == nil || w.isDead || !s.isClusterStateCurrent(now) || announce.FencingToken > w.fencingToken {
		effects.Send(gateway, &schema.WorkerPollResponse{Id: poll.Id, Scheduler: s.id})
		return
	}
	if announce.Incarnation < w.incarnation || announce.Incarnation == w.incarnation && announce.Seq <= w.seq {
		effects.Send(gateway, &schema.WorkerPollResponse{Id: poll.Id, Scheduler: s.id})
		return
	}
	if announce.Unanswered && w.hasAnnounced && announce.Incarnation == w.incarnation {
		// We hear it, but it doesn't hear us: what was ordered there may never begin, so
		// it counts as silent. This answer grants nothing, and tells whether it hears again.
		effects.Send(gateway, &schema.WorkerPollResponse{Id: poll.Id, Scheduler: s.id})
		return
	}
	if announce.Incarnation > w.incarnation {
		w.ended = map[attemptKey]*endReport{}
		w.succeeded, w.failed, w.quality = 0, 0, quality{}
		w.resolved = map[namedAttempt]attemptKey{}
	}
	type state struct {
		used, whole         resources
		isLeaving, isBlurry bool
	}
	stateOf := func() state { return state{w.used, w.total(), w.isDraining, w.hasUnknownUsage} }
	s.refreshUsage(w)
	before := stateOf()
	isFirst := !w.hasAnnounced || announce.Incarnation != w.incarnation
	wasSilent := now-w.lastHeard > unresponsiveTimeout
	w.incarnation, w.seq, w.lastHeard, w.hasAnnounced = announce.Incarnation, announce.Seq, now, true
	w.cores, w.memory, w.rack = announce.CoresMilli, announce.MemoryMb, announce.Rack
	if announce.Draining && (!w.isDraining || isFirst) {
		w.drainingSince = now
	}
	w.isDraining = announce.Draining
	w.accelerators, w.labels, w.pool, w.hasBarrier, w.usesNames = announce.Accelerators, announce.Labels, announce.Pool, announce.GangBarrier, announce.TasksByName
	w.departsAt, w.isUsageStale = 0, true
	if announce.WarmUpUs > 0 {
		w.warmUpUntil = now + eventloop.Micros(announce.WarmUpUs)
	} else {
		w.warmUpUntil = min(w.warmUpUntil, now)
	}
	if announce.Draining && announce.DepartsInUs > 0 {
		w.departsAt = now + eventloop.Micros(announce.DepartsInUs)
	}
	running, ended := s.resolveNotes(w, announce)
	w.running = map[attemptKey]*schema.TaskStatus{}
	for _, note := range running {
		w.running[attemptKeyOf(note)] = note
		s.observeRun(now, w, note)
	}
	s.measureProgress(now, w)
	s.recordEndReports(now, w, ended, effects)
	s.returnAbandoned(now, w, effects)
	s.markDead(now, announce.ReplacedWorkers, poll.Worker, effects)
	// The older announce is overtaken; its answer would say less, and an agent,
	// which has one open at a time, doesn't take it.
	if w.poll != nil && !announce.TasksByName {
		s.respond(now, w, effects)
	}
	wait := eventloop.Micros(min(max(announce.MaxWaitUs, 0), int64(maxPollWait)))
	w.poll, w.needsResponse = &openPoll{gateway: gateway, id: poll.Id, seq: announce.Seq, deadline: now + wait}, true
	for _, t := range w.tasks {
		if t.spec.Gang {
			if w.hasBarrier {
				s.breakUpGang(now, t)
			}
			s.markGangDirty(t)
		}
	}
	if isFirst {
		// The worker must learn of its ward at once, and we have its inventory.
		s.respond(now, w, effects)
	}
	// Most announces bring no room.
	s.refreshUsage(w)
	s.needsPass = s.needsPass || isFirst || wasSilent || before != stateOf()
	s.needsGangStart = true
}

// returnAbandoned returns what an earlier incarnation of the worker had: by its own
// word nothing of that runs.
func (s *Scheduler) returnAbandoned(now eventloop.Micros, w *worker, effects eventloop.Effects) {
	for _, t := range s.sortedTasks(w) {
		if t.incarnation < w.incarnation {
			s.returnTask(now, t, "lost", effects)
		}
	}
}

func (s *Scheduler) sortedTasks(w *worker) []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int { return compareTaskKeys(a.key, b.key) })
	return list
}

func (s *Scheduler) returnTask(now eventloop.Micros, t *task, outcome string, effects eventloop.Effects) {
	if now-t.returnedAt < reportRetryInterval && t.returnedAt > 0 {
		return
	}
	t.returnedAt = now
	s.counts.LostTasks++
	effects.Notify("replica", replica.TaskEnded{End: &schema.TaskEndReport{
		Queue: t.key.queue, Key: &schema.TaskKey{Job: t.key.job, Step: t.key.step, Task: t.key.task},
		Attempt: t.attempt, Outcome: outcome, Worker: t.worker, Checkpoint: t.latestCheckpoint(),
	}})
}
