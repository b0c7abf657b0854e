package agent

import (
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// sendPoll keeps one announce open at the ward's scheduler, and sends a new one at
// once when something has changed.
func (a *Agent) sendPoll(now eventloop.Micros, w *workerState, effects eventloop.Effects) {
	if w.scheduler == "" || w.fencingToken == 0 || w.inspectedToken != w.fencingToken && w.departedAt == 0 && !w.isHoldExpired {
		return
	}
	// Of one that has left, or is deaf, only what is over is told.
	if w.departedAt > 0 && now-w.departedAt > departedReportPeriod || (w.departedAt > 0 || w.isHoldExpired) && len(w.unacknowledged) == 0 {
		return
	}
	due := w.pendingPoll == nil && now >= w.nextPollAt || w.pendingPoll != nil && now-w.pendingPoll.sentAt >= pollTimeout
	if !due && !(w.hasChanges && now-w.lastPollAt >= minPollInterval) {
		return
	}
	a.pollSequence++
	heartbeat := &schema.WorkerHeartbeat{
		Incarnation: 1, Seq: a.pollSequence, CoresMilli: w.heartbeat.Cores, MemoryMb: w.heartbeat.Memory, Accelerators: w.heartbeat.Accelerators,
		Rack: w.heartbeat.Rack, Labels: w.heartbeat.Labels, Pool: w.heartbeat.Pool, Draining: w.isDraining, FencingToken: w.fencingToken,
		MaxWaitUs: int64(pollWait), GangBarrier: true, TasksByName: true, ReplacedWorkers: slices.Clone(a.replacedWorkers),
		WarmUpUs: int64(max(0, w.heartbeat.WarmUpRemaining-(now-w.lastHeard))),
	}
	if w.unansweredSince == 0 {
		w.unansweredSince = now
	}
	heartbeat.Unanswered = now-w.unansweredSince > unansweredTimeout
	if w.isHoldExpired {
		// It is spoken for only to tell what is over there; it gets nothing new.
		heartbeat.CoresMilli, heartbeat.MemoryMb, heartbeat.Accelerators = 0, 0, 0
	}
	if w.leaseExpiresAt-now < w.leaseDuration/2 {
		// What runs there may not wait for the answer to be worth something.
		heartbeat.MaxWaitUs = 0
	}
	if w.isDraining {
		heartbeat.DepartsInUs = int64(max(0, w.heartbeat.DrainRemaining-(now-w.drainReportedAt)))
	}
	for _, key := range sortedKeys(w.runs) {
		r := w.runs[key]
		if !r.usesCapacity {
			continue
		}
		status := w.taskStatus(key, "running", r.checkpoint)
		status.RunUs = int64(now - r.startedAt)
		heartbeat.Running = append(heartbeat.Running, status)
	}
	for _, key := range sortedKeys(w.unacknowledged) {
		heartbeat.Ended = append(heartbeat.Ended, w.unacknowledged[key].status)
	}
	w.pendingPoll = &pendingPoll{sequence: a.pollSequence, sentAt: now, scheduler: w.scheduler, replacedWorkers: heartbeat.ReplacedWorkers}
	w.lastPollAt, w.hasChanges = now, false
	effects.Send(w.scheduler, &schema.WorkerPollRequest{Id: a.pollSequence, Worker: w.id, Heartbeat: heartbeat})
}

// handlePollResponse takes the answer to the announce that stands; whatever an older one
// says, the next says again.
func (a *Agent) handlePollResponse(now eventloop.Micros, from string, m *schema.WorkerPollResponse) {
	w := a.worker
	if w != nil && from == w.scheduler {
		w.unansweredSince = 0
	}
	if w == nil || w.isReplaced || w.pendingPoll == nil || m.Id != w.pendingPoll.sequence || from != w.pendingPoll.scheduler {
		return
	}
	p := w.pendingPoll
	w.pendingPoll = nil
	if m.Orders == nil || m.Orders.FencingToken < w.fencingToken {
		w.nextPollAt = now + rejectedPollDelay
		if w.rejections++; w.rejections%rejectionsBeforeJump == 0 {
			// Should a forerunner's number have been higher, it would stay so.
			a.pollSequence += sequenceJump
		}
		return
	}
	w.rejections = 0
	if m.Orders.FencingToken > w.fencingToken {
		// Its inventory was taken before older orders were shut out.
		w.raiseToken(m.Orders.FencingToken)
		return
	}
	for _, worker := range p.replacedWorkers {
		if k := slices.Index(a.replacedWorkers, worker); k >= 0 {
			a.replacedWorkers = slices.Delete(a.replacedWorkers, k, k+1)
		}
	}
	if duration := eventloop.Micros(m.Orders.LeaseUs); duration > 0 {
		w.leaseExpiresAt, w.leaseDuration = max(w.leaseExpiresAt, p.sentAt+duration), duration
	}
	changed := a.handleAcknowledgements(now, w, m.Orders.Acknowledged)
	for _, order := range m.Orders.Orders {
		changed = a.applyOrder(now, w, order) || changed
	}
	w.nextPollAt = now
	if !changed && now-p.sentAt < pollWait/2 {
		w.nextPollAt = now + idlePollDelay
	}
}

func (a *Agent) handleAcknowledgements(now eventloop.Micros, w *workerState, notes []*schema.TaskStatus) bool {
	changed := false
	for _, note := range notes {
		key := attemptKey{TaskName{note.Name, note.Round, note.StepInRound, note.Task}, note.Attempt}
		if e := w.unacknowledged[key]; e != nil {
			e.isAcknowledged, changed = true, true
			delete(w.unacknowledged, key)
		}
	}
	if changed {
		w.advanceAcknowledged()
		if !w.hasUnacknowledgedEnds() {
			w.nextLongInspection, w.backoff = min(w.nextLongInspection, now), minBackoff
		}
	}
	return changed
}

// applyOrder takes an order, a difference that repeats until we announce that it is
// none any more; it tells whether that was new.
func (a *Agent) applyOrder(now eventloop.Micros, w *workerState, order *schema.TaskOrder) bool {
	key := attemptKey{TaskName{order.Name, order.Round, order.StepInRound, order.Task}, order.Attempt}
	r := w.runs[key]
	if w.unacknowledged[key] != nil || w.departedAt > 0 {
		return false
	}
	switch order.Action {
	case "start":
		if r != nil {
			return false
		}
		if _, abandoned := w.abandoned[key]; abandoned {
			// A scheduler that hasn't heard yet what became of it: others may have
			// the task by now.
			w.unacknowledged[key] = &endedAttempt{status: w.taskStatus(key, "stopped", order.Checkpoint)}
			w.hasChanges = true
			return true
		}
		w.runs[key] = &run{
			key: key, state: starting, text: order.Text, checkpoint: order.Checkpoint, cores: order.CoresMilli, memory: order.MemoryMb,
			startedAt: now, usesCapacity: true,
		}
		return true
	case "stop":
		if r == nil {
			// Not heard of here; that it never will be is what the scheduler asks.
			w.runs[key] = &run{key: key, state: stopping, startedAt: now, retryAt: now}
			return true
		}
		if r.state == starting && r.callAttempts == 0 && now-a.startedAt >= predecessorCallPeriod {
			a.markStopped(w, r)
			return true
		}
		if r.state == starting || r.state == running || r.state == unresolved && !r.isStopped {
			// A start that is still open makes no difference: after the stop it
			// is turned away.
			r.state, r.openCall, r.callAttempts, r.retryAt = stopping, 0, 0, now
			return true
		}
	}
	return false
}
