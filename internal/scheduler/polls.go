package scheduler

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/pollrelay"
	"sparnotch/internal/schema"
)

// maxPollWait is the maximum time for which a poll is held open.
const maxPollWait = 400 * eventloop.Millisecond

// openPoll is a worker's poll that waits for a response.
type openPoll struct {
	pollSource
	id       uint64
	deadline eventloop.Micros
}

// pollSource says where a poll came from, and so where its response goes.
type pollSource struct {
	process string // id of the gateway or agent that sent the poll
	relay   string // id of the storage node that relayed it; empty: it came directly
}

// handlePoll applies a worker's heartbeat and keeps its poll open until there are orders
// or acknowledgements to send, or the poll reaches its deadline.
func (s *Scheduler) handlePoll(now eventloop.Micros, from pollSource, poll *schema.WorkerPollRequest, effects eventloop.Effects) {
	w, heartbeat := s.workers[poll.Worker], poll.Heartbeat
	if !s.acceptsHeartbeat(now, w, heartbeat) {
		s.respondEmpty(from, poll.Id, effects)
		return
	}
	if heartbeat.Incarnation > w.incarnation {
		s.forgetIncarnation(w)
	}
	s.refreshUsage(w)
	before := w.capacity()
	isFirst := w.isFirstOf(heartbeat.Incarnation)
	wasUnresponsive := now-w.lastHeard > unresponsiveTimeout
	w.heartbeatState.update(now, heartbeat)
	w.isUsageStale = true
	s.updateRuns(now, w, heartbeat, effects)
	s.returnTasksOfFormerIncarnations(now, w, effects)
	s.markDead(now, heartbeat.ReplacedWorkers, poll.Worker, effects)
	s.replacePoll(now, from, poll, w, effects)
	s.updateGangsOn(now, w)
	if isFirst {
		// The worker must learn at once who holds its lease, and its inventory has just arrived.
		s.respond(now, w, effects)
	}
	// Most heartbeats bring no new capacity and so don't need a pass, which is expensive.
	s.refreshUsage(w)
	s.needsPass = s.needsPass || isFirst || wasUnresponsive || before != w.capacity()
	s.needsGangCheck = true
}

// acceptsHeartbeat reports whether a heartbeat counts as a sign of life and is applied.
func (s *Scheduler) acceptsHeartbeat(now eventloop.Micros, w *worker, heartbeat *schema.WorkerHeartbeat) bool {
	// A scheduler that can't be sure of holding the worker lease grants nothing.
	if w == nil || heartbeat == nil || w.isDead || !s.isClusterStateCurrent(now) || heartbeat.FencingToken > w.fencingToken {
		return false
	}
	if heartbeat.Incarnation < w.incarnation || heartbeat.Incarnation == w.incarnation && heartbeat.Seq <= w.seq {
		return false
	}
	// The worker's messages arrive here, but it gets no responses. Orders might never
	// reach it, so it counts as unresponsive. It still gets an empty response, which grants
	// nothing but shows the worker when responses arrive again.
	if heartbeat.Unanswered && w.hasHeartbeat && heartbeat.Incarnation == w.incarnation {
		return false
	}
	return true
}

// isFirstOf reports whether a heartbeat of this incarnation is the first
// under the current lease.
func (h *heartbeatState) isFirstOf(incarnation uint64) bool {
	return !h.hasHeartbeat || h.incarnation != incarnation
}

// update copies the content of a heartbeat. It converts spans of time to points in time.
func (h *heartbeatState) update(now eventloop.Micros, m *schema.WorkerHeartbeat) {
	if m.Draining && (!h.isDraining || h.isFirstOf(m.Incarnation)) {
		h.drainingSince = now
	}
	h.incarnation, h.seq, h.lastHeard, h.hasHeartbeat = m.Incarnation, m.Seq, now, true
	h.cores, h.memory, h.accelerators = m.CoresMilli, m.MemoryMb, m.Accelerators
	h.rack, h.pool, h.labels = m.Rack, m.Pool, m.Labels
	h.hasBarrier, h.usesTaskNames, h.isDraining = m.GangBarrier, m.TasksByName, m.Draining
	h.departsAt = 0
	if m.Draining && m.DepartsInUs > 0 {
		h.departsAt = now + eventloop.Micros(m.DepartsInUs)
	}
	if m.WarmUpUs > 0 {
		h.warmUpUntil = now + eventloop.Micros(m.WarmUpUs)
	} else {
		h.warmUpUntil = min(h.warmUpUntil, now)
	}
}

// forgetIncarnation drops what was known of the worker's previous incarnation.
func (s *Scheduler) forgetIncarnation(w *worker) {
	s.forgetOutcomes(w)
	w.ended = map[attemptKey]*endReport{}
	w.resolvedAttempts = map[namedAttempt]resolvedAttempt{}
	w.quality = quality{}
}

// updateRuns records the runs and ends that a heartbeat lists.
func (s *Scheduler) updateRuns(now eventloop.Micros, w *worker, heartbeat *schema.WorkerHeartbeat, effects eventloop.Effects) {
	running, ended := s.resolveStatuses(w, heartbeat)
	w.running = map[attemptKey]*schema.TaskStatus{}
	for _, status := range running {
		w.running[attemptKeyOf(status)] = status
		w.observeRun(now, status)
	}
	s.measureProgress(now, w)
	s.recordEndReports(now, w, ended, effects)
}

// replacePoll makes a poll the worker's open poll, in place of its previous one.
func (s *Scheduler) replacePoll(now eventloop.Micros, from pollSource, poll *schema.WorkerPollRequest, w *worker, effects eventloop.Effects) {
	// The previous poll still gets a response, except from an agent, which reports tasks by
	// name: it has one open poll at a time and ignores responses to superseded polls.
	if w.poll != nil && !poll.Heartbeat.TasksByName {
		s.respond(now, w, effects)
	}
	wait := eventloop.Micros(min(max(poll.Heartbeat.MaxWaitUs, 0), int64(maxPollWait)))
	w.poll = &openPoll{pollSource: from, id: poll.Id, deadline: now + wait}
	s.requestResponse(w)
}

// updateGangsOn makes the gangs that have a member on a worker react to its heartbeat.
func (s *Scheduler) updateGangsOn(now eventloop.Micros, w *worker) {
	for _, t := range w.tasks {
		if !t.spec.Gang {
			continue
		}
		if w.hasBarrier {
			s.stopBrokenGang(now, t)
		}
		s.requestGangResponses(t)
	}
}

// closePoll ends a worker's open poll, if any, without granting anything.
func (s *Scheduler) closePoll(w *worker, effects eventloop.Effects) {
	if w.poll != nil {
		s.respondEmpty(w.poll.pollSource, w.poll.id, effects)
		w.poll = nil
	}
}

// respondEmpty ends a poll with a response that grants neither orders nor a lease.
func (s *Scheduler) respondEmpty(to pollSource, poll uint64, effects eventloop.Effects) {
	s.sendResponse(to, &schema.WorkerPollResponse{Id: poll, Scheduler: s.id}, effects)
}

// sendResponse sends a response on the way that its poll has come.
func (s *Scheduler) sendResponse(to pollSource, response *schema.WorkerPollResponse, effects eventloop.Effects) {
	if to.relay == "" {
		effects.Send(to.process, response)
		return
	}
	effects.Notify(pollrelay.ComponentName, pollrelay.Response{Relay: to.relay, Agent: to.process, Response: response})
}

// handleRelayedPolls handles the polls in a batch. One that can't be decoded counts as lost.
func (s *Scheduler) handleRelayedPolls(now eventloop.Micros, relay string, batch *schema.RelayedPolls, effects eventloop.Effects) {
	for _, relayed := range batch.Polls {
		if poll, err := pollrelay.DecodePoll(relayed); err == nil {
			s.handlePoll(now, pollSource{relayed.GetAgent(), relay}, poll, effects)
		}
	}
}
