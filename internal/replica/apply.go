package replica

// Applying committed records, and telling of it.

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

type pendingReply struct {
	term    uint64
	from    string // process that asked; empty: this one
	request *schema.Request
	end     *schema.TaskEndReport
}

func (h *Host) applyEntry(now eventloop.Micros, r *replica, entry *schema.Entry, effects eventloop.Effects) {
	pending, isPending := r.pendingCommands[entry.Index]
	delete(r.pendingCommands, entry.Index)
	// What was asked for under another term was replaced in the log; its
	// asker asks again.
	isPending = isPending && pending.term == entry.Term
	if entry.Kind != schema.EntryKind_ENTRY_COMMAND {
		return
	}
	if r.queue == nil {
		result, err := h.clusterState.Apply(entry.TimeUs, entry.Data)
		if err != nil {
			panic(Unreadable.Wrap(err, "record of %s", r.group.Name()))
		}
		h.compactClusterStateLog(r, entry)
		h.publishClusterState(now, effects)
		if isPending {
			h.replyClusterStateResult(pending, result, r, effects)
		}
		return
	}
	result, err := r.queue.Apply(entry.Index, entry.TimeUs, entry.Data)
	if err != nil {
		panic(Unreadable.Wrap(err, "record of %s", r.group.Name()))
	}
	if result.ReleaseCursor != nil {
		r.group.Compact(result.ReleaseCursor.Index, result.ReleaseCursor.Snapshot)
	}
	if !r.group.IsLeader() {
		return
	}
	for _, outcome := range result.Outcomes {
		key := outcome.Session.Gateway + "/" + r.name
		if h.applied[key] == nil {
			h.applied[key] = &schema.SubmitResponse{Queue: r.name, Leader: h.id}
		}
		h.applied[key].Results = append(h.applied[key].Results, outcome)
	}
	if len(result.Events) > 0 && r.notifiedTerm == r.group.Term() {
		effects.Notify("scheduler", h.newTaskEvents(r, result.Events, false, result.Events[len(result.Events)-1].Sequence))
	}
	if isPending && pending.end != nil {
		h.acknowledgeEnd(pending.from, pending.end, effects)
	}
	if isPending && pending.request != nil {
		h.reply(pending, result.CancelCode, jobViewOrFault(result.CancelView), r.group, effects)
	}
}

func (h *Host) newTaskEvents(r *replica, events []*queue.TaskEvent, isSnapshot bool, lastSequence uint64) TaskEvents {
	return TaskEvents{
		Queue: r.name, Group: r.group.Name(), Term: r.group.Term(), LastSequence: lastSequence, Events: events, IsSnapshot: isSnapshot,
		Urgency: h.values.Number("queue", r.name, "urgency"),
		Running: h.values.Number("queue", r.name, "running"),
	}
}

// notifyScheduler tells the scheduler of queues newly led, and of those led no more.
func (h *Host) notifyScheduler(now eventloop.Micros, effects eventloop.Effects) {
	for _, name := range h.groupNamesInOrder() {
		r := h.groups[name]
		if r.queue == nil {
			continue
		}
		if !r.group.IsLeader() {
			if r.notifiedTerm != 0 {
				r.notifiedTerm = 0
				effects.Notify("scheduler", LeadershipLost{Queue: r.name})
			}
			if len(r.pendingCommands) > 0 {
				r.pendingCommands = map[uint64]pendingReply{}
			}
			if len(r.pendingReads) > 0 {
				r.pendingReads = map[uint64]pendingReply{}
			}
			continue
		}
		if r.notifiedTerm != r.group.Term() && r.group.HoldsLeaderLease(now) {
			r.notifiedTerm = r.group.Term()
			events, lastSequence := r.queue.ActiveTasks()
			effects.Notify("scheduler", h.newTaskEvents(r, events, true, lastSequence))
		}
	}
}

func (h *Host) publishClusterState(now eventloop.Micros, effects eventloop.Effects) {
	if h.clusterState.Version() == h.state.Version && h.state.Version != 0 {
		return
	}
	old := h.state
	h.setState(h.clusterState.SharedState())
	for _, component := range []string{"gateway", "scheduler"} {
		effects.Notify(component, &schema.ClusterStateResponse{State: h.state, Version: h.state.Version})
	}
	effects.Notify("membership", membership.ClusterStateObserved{Version: h.state.Version})
	if old.Configuration != h.state.Configuration {
		for _, r := range h.groups {
			// Urgency may have changed with the plan. Nothing else in the cluster state is
			// told with the list, which is long while much waits.
			r.notifiedTerm = 0
		}
	}
	// New queues are waited for: the controller places them, and their founders make
	// them, when they hear of it.
	r := h.groups[clusterstate.Group]
	if !r.group.IsLeader() {
		return
	}
	if len(old.Queues) != len(h.state.Queues) {
		r.group.BroadcastCommit(now)
	}
	// Workers whose ward went elsewhere are served again as soon as their agents
	// have heard.
	if h.membership != nil && anyLeaseMoved(old.WorkerLeases, h.state.WorkerLeases) {
		for _, id := range slices.Sorted(maps.Keys(h.membership.Members)) {
			if h.membership.Members[id].Member.Role == schema.Role_ROLE_CONTROLLER && h.membership.IsAlive(id, now, livenessTimeout) {
				h.sendClusterState(now, id, &schema.ClusterStateRequest{Version: old.Version}, effects)
			}
		}
		return
	}
	if controller := h.state.ControllerLease.GetHolder(); controller != "" && old.Configuration != h.state.Configuration {
		h.sendClusterState(now, controller, &schema.ClusterStateRequest{Version: old.Version}, effects)
	}
}

// anyLeaseMoved tells whether a ward that was there is with another scheduler now.
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
