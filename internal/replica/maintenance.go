package replica

// What the leader of a group tends at each tick: time, releases, compaction.

import (
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (h *Host) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	h.recordControllerLease(now)
	hasCampaigned, hasChanged := false, false
	for _, name := range h.groupNamesInOrder() {
		r := h.groups[name]
		campaigns := r.group.PreVoteCount()
		r.group.Tick(now)
		hasCampaigned = hasCampaigned || r.group.PreVoteCount() != campaigns
		if r.group.IsLeader() {
			r.group.UpdateWallOffset(now, h.wallClock())
			h.maintainQueue(now, r)
			h.transferIfNeeded(now, r)
			hasChanged = r.takeMembershipChange() || hasChanged
		}
	}
	if active := h.state.ControllerLease.GetHolder(); hasChanged && active != "" {
		// Each step of a repair waits for this word; asked for it would come later.
		h.sendClusterState(now, active, &schema.ClusterStateRequest{Version: h.state.Version}, effects)
	}
	if hasCampaigned {
		// Two machines with the same patience shouldn't call at once again.
		h.electionJitter.redraw()
	}
	h.reconcileQueues(now, effects)
	h.checkDiskCapacity(now)
	status := LeadershipStatus{Terms: map[string]uint64{}, At: now}
	for name, r := range h.groups {
		if r.queue != nil && r.group.HoldsLeaderLease(now) {
			status.Terms[name] = r.group.Term()
		}
	}
	status.IsClusterStateFresh = h.isClusterStateFresh(now)
	effects.Notify("scheduler", status)
}

// isClusterStateFresh tells whether our copy of the cluster state held, a moment ago, all
// that was committed.
func (h *Host) isClusterStateFresh(now eventloop.Micros) bool {
	r := h.groups[clusterstate.Group]
	return r != nil && r.group.FreshAsOf() > 0 && now-r.group.FreshAsOf() < h.timeouts.MaxStateAge
}

// maintainQueue proposes what a queue's leader owes to time and to the plan.
func (h *Host) maintainQueue(now eventloop.Micros, r *replica) {
	g := r.group
	if !g.HoldsLeaderLease(now) {
		return
	}
	if r.queue == nil {
		return
	}
	m, groupTime := r.queue, g.GroupTime(now)
	if next, found := m.NextStart(); found && next <= groupTime && r.tickIndex <= g.AppliedIndex() {
		r.tickIndex = h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		r.tickProposedAt = now
	}
	// A queue that nothing happens in must still let time pass for what it
	// holds, or a new leader would start from an old time.
	interval := retainedTickInterval
	if m.TimedJobs() > 0 {
		interval = timedTickInterval
	}
	if (m.TimedJobs() > 0 || m.RetainedJobs() > 0) && groupTime-m.Now() > int64(interval) && now-r.tickProposedAt > interval {
		r.tickIndex = h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		r.tickProposedAt = now
	}
	// Jobs that are to start at a time of day keep to it, though queue time has
	// stood still without a leader.
	if m.TimedJobs() > 0 && r.tickIndex <= g.AppliedIndex() {
		offset, isKnown := g.WallOffset(now, h.wallClock())
		if drift := offset - m.WallOffset(); isKnown && (drift > int64(maxWallDrift) || drift < -int64(maxWallDrift)) {
			r.tickIndex = h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{WallOffsetUs: offset}}})
			r.tickProposedAt = now
		}
	}
	if wanted := h.queueSettings; !proto.Equal(wanted, m.Settings()) && r.settingsIndex <= g.AppliedIndex() {
		r.settingsIndex = h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_ApplySettings{ApplySettings: wanted}})
	}
	// One old job must not pin the log for ever: it enters it anew.
	limit := uint64(h.values.Fleet("carry_records"))
	if g.LastIndex()-g.SnapshotIndex() > limit && r.reenqueueIndex <= g.AppliedIndex() {
		if id, index, payload := m.OldestJob(); id != 0 && g.LastIndex()-index > limit/2 {
			r.reenqueueIndex = h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Reenqueue{Reenqueue: &schema.Reenqueue{Job: id, Payload: payload}}})
		}
	}
}

const (
	maxStateLogEntries = 512     // of the cluster state's log, before it is let go
	maxStateLogBytes   = 1 << 20 // and of their bytes, or as many as its checkpoint has
)

// compactClusterStateLog lets the cluster state's log go, on every replica: its whole
// state is the checkpoint. The log may hold so many records, and as many bytes as the
// checkpoint that a replica which lacks them would be sent instead; so what is
// written is at most twice what is logged, and a replica that takes in faster than
// that is written catches up.
func (h *Host) compactClusterStateLog(r *replica, entry *schema.Entry) {
	g := r.group
	r.logBytes += len(entry.Data)
	if entry.Index-g.SnapshotIndex() <= maxStateLogEntries && r.logBytes <= max(maxStateLogBytes, g.SnapshotBytes()) {
		return
	}
	g.Compact(entry.Index, clusterstate.Compress(h.clusterState.Snapshot()))
	r.logBytes = 0
}

// reconcileQueues makes what the cluster state says of queues true here.
func (h *Host) reconcileQueues(now eventloop.Micros, effects eventloop.Effects) {
	if h.groups[clusterstate.Group] == nil {
		return
	}
	wanted := map[string]bool{clusterstate.Group: true}
	for _, place := range h.state.Queues {
		name := GroupName(place)
		wanted[name] = true
		if slices.Contains(place.InitialVoters, h.id) {
			h.bootstrapQueue(now, place)
		}
	}
	for _, name := range h.groupNamesInOrder() {
		// Only a queue that the cluster state has dropped or made anew goes; one it
		// doesn't know yet may be ahead of our copy.
		if !wanted[name] && h.groups[name].queue != nil && h.isDeleted(name) {
			delete(h.groups, name)
			h.sortedNames = nil
			h.nextWrite.changes = append(h.nextWrite.changes, &schema.StoreChange{Group: name, Removed: true})
			delete(h.nextWrite.syncPoints, name)
			effects.Notify("scheduler", LeadershipLost{Queue: QueueName(name)})
		}
	}
}

// isDeleted: generations come from one counter, so a queue whose generation the
// cluster state has already given out, and which it doesn't list, has been ended.
func (h *Host) isDeleted(group string) bool {
	generation, err := strconv.ParseUint(group[len(QueueName(group))+1:], 10, 64)
	return err == nil && generation < h.state.NextToken
}
