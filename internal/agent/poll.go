package agent

import (
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	pollTimeout          = 700 * eventloop.Millisecond // a poll that isn't answered within this time is superseded by a new one
	unansweredTimeout    = 3 * pollTimeout             // after this time without an answer, polls report that they are unanswered
	pollWait             = 400 * eventloop.Millisecond // maximum time for which the scheduler may delay its answer
	rejectedPollDelay    = 100 * eventloop.Millisecond // delay of the next poll after a rejected one
	minPollInterval      = 10 * eventloop.Millisecond  // minimum time between two polls that report changes
	idlePollDelay        = 50 * eventloop.Millisecond  // delay of the next poll after an early answer without orders
	departedReportPeriod = 10 * eventloop.Second       // how long the ended tasks of a departed worker are reported
	rejectionsBeforeJump = 8                           // number of consecutive rejected polls before the sequence number jumps
	sequenceJump         = 1 << 32                     // added to the sequence number in a jump
)

// Values of TaskOrder.Action.
const (
	actionStart = "start"
	actionStop  = "stop"
)

// pendingPoll is a poll that the scheduler hasn't answered.
type pendingPoll struct {
	sequence        uint64
	sentAt          eventloop.Micros
	scheduler       string
	relay           string // storage node to which it was sent; empty: it was sent to the scheduler itself
	replacedWorkers []string
}

// isAnsweredBy reports whether a response from a process can be that to the poll.
func (p *pendingPoll) isAnsweredBy(from string, response *schema.WorkerPollResponse) bool {
	if response.Id != p.sequence {
		return false
	}
	return from == p.scheduler || p.relay != "" && from == p.relay
}

// sendPoll keeps one poll open at the scheduler that holds the worker lease, and sends
// a new one at once when something has changed.
func (a *Agent) sendPoll(now eventloop.Micros, w *workerState, effects eventloop.Effects) {
	if w.scheduler == "" || w.fencingToken == 0 || w.inspectedToken != w.fencingToken && w.departedAt == 0 && !w.hasLapsed {
		return
	}
	// For a departed or unresponsive worker, polls report only ended tasks.
	if w.departedAt > 0 && now-w.departedAt > departedReportPeriod || (w.departedAt > 0 || w.hasLapsed) && len(w.unacknowledged) == 0 {
		return
	}
	due := w.pendingPoll == nil && now >= w.nextPollAt || w.pendingPoll != nil && now-w.pendingPoll.sentAt >= pollTimeout
	if w.isPollLost(now) {
		a.relays.RecordFailure(now)
		w.unansweredRouteSince = now
		due = true
	}
	if !due && !(w.hasChanges && now-w.lastPollAt >= minPollInterval) {
		return
	}
	a.pollSequence++
	if w.unansweredSince == 0 {
		w.unansweredSince = now
	}
	heartbeat := a.newHeartbeat(now, w)
	relay := a.relays.Choose(now, w.id, w.scheduler)
	w.pendingPoll = &pendingPoll{sequence: a.pollSequence, sentAt: now, scheduler: w.scheduler, relay: relay, replacedWorkers: heartbeat.ReplacedWorkers}
	w.lastPollAt, w.hasChanges = now, false
	poll := &schema.WorkerPollRequest{Id: a.pollSequence, Worker: w.id, Heartbeat: heartbeat}
	if relay == "" {
		effects.Send(w.scheduler, poll)
		return
	}
	poll.Scheduler = w.scheduler
	effects.Send(relay, poll)
}

// isPollLost reports whether nothing has been answered on the present way to the scheduler for
// pollTimeout, even if newer polls have superseded older ones in that time.
func (w *workerState) isPollLost(now eventloop.Micros) bool {
	return w.pendingPoll != nil && w.unansweredSince > 0 && now-max(w.unansweredSince, w.unansweredRouteSince) >= pollTimeout
}

// newHeartbeat returns the heartbeat of a poll: the worker's capacity, and its running
// and ended tasks.
func (a *Agent) newHeartbeat(now eventloop.Micros, w *workerState) *schema.WorkerHeartbeat {
	heartbeat := &schema.WorkerHeartbeat{
		Incarnation: 1, Seq: a.pollSequence, CoresMilli: w.heartbeat.Cores, MemoryMb: w.heartbeat.Memory, Accelerators: w.heartbeat.Accelerators,
		Rack: w.heartbeat.Rack, Labels: w.heartbeat.Labels, Pool: w.heartbeat.Pool, Draining: w.isDraining, FencingToken: w.fencingToken,
		MaxWaitUs: int64(pollWait), GangBarrier: true, TasksByName: true, ReplacedWorkers: slices.Clone(a.replacedWorkers),
		WarmUpUs: int64(max(0, w.heartbeat.WarmUpRemaining-(now-w.lastHeard))),
	}
	heartbeat.Unanswered = now-w.unansweredSince > unansweredTimeout
	if w.hasLapsed {
		// An unresponsive worker gets no new tasks.
		heartbeat.CoresMilli, heartbeat.MemoryMb, heartbeat.Accelerators = 0, 0, 0
	}
	if w.runLeaseExpiresAt-now < w.runLeaseDuration/2 {
		// The lease must be renewed soon, so the scheduler must not delay its answer.
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
		status.RunUs = int64(now - r.firstSeenAt)
		heartbeat.Running = append(heartbeat.Running, status)
	}
	for _, key := range sortedKeys(w.unacknowledged) {
		heartbeat.Ended = append(heartbeat.Ended, w.unacknowledged[key].status)
	}
	return heartbeat
}

// handlePollResponse handles the answer to the pending poll. Answers to earlier polls
// are ignored, because the scheduler repeats whatever still applies in its next answer.
func (a *Agent) handlePollResponse(now eventloop.Micros, from string, response *schema.WorkerPollResponse) {
	w := a.worker
	if w != nil && (from == w.scheduler || response.Scheduler != "" && response.Scheduler == w.scheduler) {
		w.unansweredSince = 0
	}
	if w == nil || w.isReplaced || w.pendingPoll == nil || !w.pendingPoll.isAnsweredBy(from, response) {
		return
	}
	poll := w.pendingPoll
	w.pendingPoll = nil
	if from != poll.scheduler && response.Scheduler != poll.scheduler {
		// The relay has refused the poll, which goes another way at once.
		a.relays.RecordFailure(now)
		w.hasChanges = true
		return
	}
	if response.Orders == nil || response.Orders.FencingToken < w.fencingToken {
		w.nextPollAt = now + rejectedPollDelay
		if w.rejections++; w.rejections%rejectionsBeforeJump == 0 {
			// An earlier run of this process may have sent a higher sequence number.
			a.pollSequence += sequenceJump
		}
		return
	}
	w.rejections = 0
	if response.Orders.FencingToken > w.fencingToken {
		// The poll reported the worker's state from before the worker was fenced with
		// this token.
		w.raiseToken(response.Orders.FencingToken)
		return
	}
	a.acceptOrders(now, w, poll, response.Orders)
}

// acceptOrders applies an answer that carries the current fencing token: it renews the
// run lease, drops acknowledged ends and applies the orders.
func (a *Agent) acceptOrders(now eventloop.Micros, w *workerState, poll *pendingPoll, orders *schema.WorkerOrders) {
	for _, worker := range poll.replacedWorkers {
		if k := slices.Index(a.replacedWorkers, worker); k >= 0 {
			a.replacedWorkers = slices.Delete(a.replacedWorkers, k, k+1)
		}
	}
	if duration := eventloop.Micros(orders.LeaseUs); duration > 0 {
		w.runLeaseExpiresAt, w.runLeaseDuration = max(w.runLeaseExpiresAt, poll.sentAt+duration), duration
	}
	w.inspectionPause = eventloop.Micros(orders.InspectionPauseUs)
	changed := w.handleAcknowledgements(now, orders.Acknowledged)
	for _, order := range orders.Orders {
		changed = a.applyOrder(now, w, order) || changed
	}
	w.nextPollAt = now
	if !changed && now-poll.sentAt < pollWait/2 {
		w.nextPollAt = now + idlePollDelay
	}
}

// applyOrder applies an order and reports whether it was new. The scheduler repeats an
// order until a poll shows that it has been carried out.
func (a *Agent) applyOrder(now eventloop.Micros, w *workerState, order *schema.TaskOrder) bool {
	key := attemptKey{TaskName{order.Name, order.Round, order.StepInRound, order.Task}, order.Attempt}
	if w.unacknowledged[key] != nil || w.departedAt > 0 {
		return false
	}
	switch order.Action {
	case actionStart:
		return w.handleStartOrder(now, key, order)
	case actionStop:
		return a.handleStopOrder(now, w, key)
	}
	return false
}

func (w *workerState) handleStartOrder(now eventloop.Micros, key attemptKey, order *schema.TaskOrder) bool {
	if w.runs[key] != nil {
		return false
	}
	if _, abandoned := w.declaredEnded[key]; abandoned {
		// The scheduler doesn't know yet that the attempt has ended. The task may
		// already have been assigned to another worker, so the attempt must not start
		// here.
		w.unacknowledged[key] = &endedAttempt{status: w.taskStatus(key, "stopped", order.Checkpoint)}
		w.hasChanges = true
		return true
	}
	w.runs[key] = &run{
		key: key, state: starting, text: order.Text, checkpoint: order.Checkpoint, cores: order.CoresMilli, memory: order.MemoryMb, accelerators: order.Accelerators,
		tenant:      order.Tenant,
		firstSeenAt: now, usesCapacity: true,
	}
	return true
}

func (a *Agent) handleStopOrder(now eventloop.Micros, w *workerState, key attemptKey) bool {
	r := w.runs[key]
	if r == nil {
		// The agent doesn't know this attempt. The worker must still confirm the stop,
		// so that the attempt can never start there.
		w.runs[key] = &run{key: key, state: stopping, firstSeenAt: now, retryAt: now}
		return true
	}
	if r.state == starting && r.callAttempts == 0 && now-a.startedAt >= predecessorCallPeriod {
		a.markStopped(w, r)
		return true
	}
	if r.state == starting || r.state == running || r.state == unresolved && !r.isStopConfirmed {
		// A start call that is still in flight does no harm: after the stop the worker
		// rejects it.
		r.state, r.openCall, r.callAttempts, r.retryAt = stopping, 0, 0, now
		return true
	}
	return false
}
