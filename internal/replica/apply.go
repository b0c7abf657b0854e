package replica

// This file applies committed entries and notifies other components and processes of the
// results.

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// applyEntry applies a committed entry to the group's state machine. It panics with
// UndecodableState if the entry can't be decoded.
func (h *Host) applyEntry(now eventloop.Micros, r *replica, entry *schema.Entry, effects eventloop.Effects) {
	pending, isPending := r.pendingCommands[entry.Index]
	delete(r.pendingCommands, entry.Index)
	r.appliedIndex = entry.Index
	// If the pending command was proposed in another term, this entry has overwritten it in
	// the log. Its caller gets no reply and retries.
	isPending = isPending && pending.term == entry.Term
	if entry.Kind != schema.EntryKind_ENTRY_COMMAND {
		return
	}
	var caller *pendingReply
	if isPending {
		caller = &pending
	}
	if r.queue == nil {
		h.applyClusterStateCommand(now, r, entry, caller, effects)
	} else {
		h.applyQueueCommand(r, entry, caller, effects)
	}
}

// applyClusterStateCommand applies a command to the cluster state. caller is nil if no
// request that this node accepted waits for the result.
func (h *Host) applyClusterStateCommand(now eventloop.Micros, r *replica, entry *schema.Entry, caller *pendingReply, effects eventloop.Effects) {
	result, err := h.stateMachine.Apply(entry.TimeUs, entry.Data)
	if err != nil {
		panic(UndecodableState.Wrap(err, "failed to decode a committed entry of group %s", r.group.Name()))
	}
	h.compactClusterStateLog(r, entry)
	h.publishClusterState(now, effects)
	if caller != nil {
		h.replyClusterStateResult(*caller, result, effects)
	}
}

// applyQueueCommand applies a command to a queue's state machine. Only the leader notifies
// the scheduler and replies to gateways and callers. caller is nil if no request or task
// report that this node accepted waits for the result.
func (h *Host) applyQueueCommand(r *replica, entry *schema.Entry, caller *pendingReply, effects eventloop.Effects) {
	result, err := r.queue.Apply(entry.Index, entry.TimeUs, entry.Data)
	if err != nil {
		panic(UndecodableState.Wrap(err, "failed to decode a committed entry of group %s", r.group.Name()))
	}
	if cursor := result.ReleaseCursor; cursor != nil {
		r.group.Compact(cursor.Index, cursor.Snapshot)
	}
	if !r.group.IsLeader() {
		return
	}
	for _, outcome := range result.SubmitResults {
		h.addSubmitResult(r, outcome)
	}
	if count := len(result.Events); count > 0 && r.notifiedTerm == r.group.Term() {
		effects.Notify("scheduler", h.newTaskEvents(r, result.Events, result.Events[count-1].Sequence))
	}
	switch {
	case caller == nil:
	case caller.report != nil:
		h.acknowledgeTaskEnd(caller.from, caller.report, effects)
	case caller.request != nil:
		h.reply(*caller, result.CancelCode, cancelBody(result), effects)
	}
}

// addSubmitResult adds the result of a submission to the response for its gateway, so that
// a step sends each gateway only one message per queue.
func (h *Host) addSubmitResult(r *replica, result *schema.SubmitResult) {
	key := result.Session.Gateway + "/" + r.queueName
	if h.submitResponses[key] == nil {
		h.submitResponses[key] = &schema.SubmitResponse{Queue: r.queueName, Leader: h.id}
	}
	h.submitResponses[key].Results = append(h.submitResponses[key].Results, result)
}

// sendSubmitResponses sends the submission results of this step to their gateways.
func (h *Host) sendSubmitResponses(effects eventloop.Effects) {
	for _, key := range slices.Sorted(maps.Keys(h.submitResponses)) {
		response := h.submitResponses[key]
		delete(h.submitResponses, key)
		effects.Send(response.Results[0].Session.Gateway, response)
	}
}

func (h *Host) newTaskEvents(r *replica, events []*queue.TaskEvent, lastSequence uint64) TaskEvents {
	return TaskEvents{
		Queue: r.queueName, Group: r.group.Name(), Term: r.group.Term(), LastSequence: lastSequence, Events: events,
		Urgency:    h.values.Number("queue", r.queueName, "urgency"),
		MaxRunning: h.values.Number("queue", r.queueName, "running"),
	}
}

// handleResyncQueue causes notifyScheduler to send the scheduler a new snapshot of the
// queue's tasks at the end of this step.
func (h *Host) handleResyncQueue(m ResyncQueue) {
	if r := h.groups[m.Group]; r != nil && r.queue != nil {
		r.notifiedTerm = 0
	}
}

// notifyScheduler sends the scheduler a snapshot of the tasks of each queue that this node
// has started to lead, and LeadershipLost for each queue that it no longer leads.
func (h *Host) notifyScheduler(now eventloop.Micros, effects eventloop.Effects) {
	for _, name := range h.groupNames() {
		r := h.groups[name]
		switch {
		case r.queue == nil:
			if !r.group.IsLeader() {
				r.dropPendingReads()
				r.waitingUpdates = nil
			}
		case !r.group.IsLeader():
			h.endLeadership(r, effects)
		case r.notifiedTerm != r.group.Term() && r.group.HoldsLeaderLease(now):
			r.notifiedTerm = r.group.Term()
			snapshot := h.newTaskEvents(r, nil, 0)
			snapshot.IsSnapshot = true
			snapshot.Events, snapshot.LastSequence = r.queue.ActiveTasks()
			effects.Notify("scheduler", snapshot)
		}
	}
}

// endLeadership discards the state that only the leader of a queue keeps. Callers that
// still wait get no reply and retry with the new leader.
func (h *Host) endLeadership(r *replica, effects eventloop.Effects) {
	if r.notifiedTerm != 0 {
		r.notifiedTerm = 0
		effects.Notify("scheduler", LeadershipLost{Queue: r.queueName})
	}
	if len(r.pendingCommands) > 0 {
		r.pendingCommands = map[uint64]pendingReply{}
	}
	r.dropPendingReads()
}

func (r *replica) dropPendingReads() {
	if len(r.pendingReads) > 0 {
		r.pendingReads = map[uint64]pendingReply{}
	}
}

// publishClusterState passes a new version of the cluster state to the components of this
// process. If this node leads the cluster state's group, it also sends the version to the
// processes that need it at once. After a snapshot was installed, sharedState has already
// been replaced when this is called.
func (h *Host) publishClusterState(now eventloop.Micros, effects eventloop.Effects) {
	if h.stateMachine.Version() != h.sharedState.Version || h.sharedState.Version == 0 {
		h.setState(h.stateMachine.SharedState())
	} else if h.published.Version == h.sharedState.Version {
		return
	}
	old := h.published
	h.published = h.sharedState
	for _, component := range []string{"gateway", "scheduler"} {
		effects.Notify(component, &schema.ClusterStateResponse{State: h.sharedState, Version: h.sharedState.Version})
	}
	effects.Notify("membership", membership.ClusterStateObserved{Version: h.sharedState.Version})
	if old.Configuration != h.sharedState.Configuration {
		// The urgency or the running limit of a queue may have changed. The scheduler
		// receives them with the snapshot of the queue's tasks. That snapshot is large while
		// many tasks wait, so other changes of the cluster state don't cause one.
		for _, r := range h.groups {
			r.notifiedTerm = 0
		}
	}
	if r := h.groups[clusterstate.GroupName]; r.group.IsLeader() {
		h.pushClusterState(now, r, old, effects)
	}
}

// pushClusterState sends a new version of the cluster state at once to those processes
// whose work would be delayed if they received it only with their next query.
func (h *Host) pushClusterState(now eventloop.Micros, r *replica, old *schema.ClusterState, effects eventloop.Effects) {
	if len(old.Queues) != len(h.sharedState.Queues) {
		// The initial voters of a new queue create its replicas when they apply this entry.
		// This sends them the commit index, so that they needn't wait for the next heartbeat.
		r.group.BroadcastCommit(now)
	}
	known := &schema.ClusterStateRequest{Version: old.Version}
	if h.membership != nil && anyLeaseMoved(old.WorkerLeases, h.sharedState.WorkerLeases) {
		// A worker whose lease has moved gets no orders until its agent knows the new
		// scheduler, so every live agent node is sent the new version.
		for _, id := range slices.Sorted(maps.Keys(h.membership.Members)) {
			if h.membership.Members[id].Member.Role == schema.Role_ROLE_CONTROLLER && h.membership.IsAlive(id, now, livenessTimeout) {
				h.sendClusterState(now, id, known, effects)
			}
		}
		return
	}
	if controller := h.sharedState.ControllerLease.GetHolder(); controller != "" && old.Configuration != h.sharedState.Configuration {
		h.sendClusterState(now, controller, known, effects)
	}
}

// anyLeaseMoved reports whether the lease of any worker has moved from one scheduler to
// another.
func anyLeaseMoved(before, after []*schema.WorkerLease) bool {
	schedulers := map[string]string{}
	for _, lease := range before {
		schedulers[lease.Worker] = lease.Scheduler
	}
	for _, lease := range after {
		if scheduler, isKnown := schedulers[lease.Worker]; isKnown && scheduler != lease.Scheduler {
			return true
		}
	}
	return false
}
