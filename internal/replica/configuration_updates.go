package replica

// This file proposes the commands of callers for the cluster state. Updates of the configuration
// are proposed one at a time, because the leader assigns queues to the routes of an update by the
// configuration to which it will be applied (clusterstate.StateMachine.AssignNames).

import (
	"net/http"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// maxWaitingUpdates is how many updates of the configuration may wait until the one before them
// is applied. Further ones are dropped, and their callers retry.
const maxWaitingUpdates = 64

// waitingUpdate is an update of the configuration that isn't proposed yet.
type waitingUpdate struct {
	caller pendingReply
	update *schema.ConfigurationUpdate
}

// handleCommand proposes a command for the cluster state, or has it wait for earlier updates of
// the configuration.
func (h *Host) handleCommand(now eventloop.Micros, r *replica, caller pendingReply, effects eventloop.Effects) {
	// A command that can't be decoded must not be added to the log, because no replica could
	// apply it.
	command, err := clusterstate.DecodeCommand(caller.request.Body)
	if err != nil {
		h.reply(caller, http.StatusBadRequest, errorJSON(codeBadRequest, "the command can't be decoded"), effects)
		return
	}
	if update := command.GetUpdateConfiguration().GetUpdate(); update != nil {
		r.addWaitingUpdate(waitingUpdate{caller, update})
		h.proposeWaitingUpdate(now, r)
		return
	}
	if index, _, err := r.group.Propose(now, caller.request.Body); err == nil {
		r.pendingCommands[index] = caller
	}
}

// addWaitingUpdate adds an update unless it is the retry of one that still waits.
func (r *replica) addWaitingUpdate(added waitingUpdate) {
	isRetry := slices.ContainsFunc(r.waitingUpdates, func(w waitingUpdate) bool {
		return w.caller.from == added.caller.from && w.caller.request.Id == added.caller.request.Id
	})
	if !isRetry && len(r.waitingUpdates) < maxWaitingUpdates {
		r.waitingUpdates = append(r.waitingUpdates, added)
	}
}

// proposeWaitingUpdate proposes the first waiting update if all earlier updates are applied.
func (h *Host) proposeWaitingUpdate(now eventloop.Micros, r *replica) {
	if len(r.waitingUpdates) == 0 || !r.group.IsLeader() || !r.hasAppliedUpdates() {
		return
	}
	first := r.waitingUpdates[0]
	r.waitingUpdates = r.waitingUpdates[1:]
	first.update.SubmittedDigest = nil // only the leader sets it
	command := &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{
		UpdateConfiguration: &schema.UpdateConfiguration{Update: h.stateMachine.AssignNames(first.update)},
	}}
	index, _, err := r.group.Propose(now, EncodeClusterStateCommand(command))
	if err != nil {
		return // the caller retries
	}
	r.pendingCommands[index] = first.caller
	r.updateIndex = index
}

// hasAppliedUpdates reports whether this leader has applied all updates of the configuration in
// its log: those that it has proposed, and those of earlier terms, which precede its no-op entry.
func (r *replica) hasAppliedUpdates() bool {
	return r.appliedIndex >= max(r.group.NoOpIndex(), r.updateIndex)
}
