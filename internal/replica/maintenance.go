package replica

// This file does the work of each tick: elections, reports to the controller and the
// scheduler, and the commands that the leader of a queue proposes because time has passed or
// the configuration has changed.

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

const (
	timedTickInterval    = eventloop.Second            // between idle ticks of a queue with timed jobs
	retainedTickInterval = 5 * eventloop.Second        // between idle ticks of a queue that only retains ended jobs and cancelled names
	maxWallDrift         = 100 * eventloop.Millisecond // error of a queue's offset from the time of day above which it is corrected
	maxStateLogEntries   = 512                         // entries in the cluster state's log before it is compacted
	maxStateLogBytes     = 1 << 20                     // bytes in that log before it is compacted, unless its snapshot is larger
)

// handleTick sends the entries that have waited, and does the other periodic work when it is due.
func (h *Host) handleTick(now eventloop.Micros, effects eventloop.Effects) {
	// The groups send at the same time, so that their Appends to a node share a write.
	for _, name := range h.groupNames() {
		h.groups[name].group.FlushAppends(now)
	}
	// Half a tick of tolerance keeps jitter from delaying a round by a whole tick.
	if h.maintainedAt == 0 || now-h.maintainedAt >= maintenanceInterval-TickInterval/2 {
		h.maintainedAt = now
		h.maintain(now, effects)
	}
}

// maintain passes a tick to every group and does the periodic work of the Host.
func (h *Host) maintain(now eventloop.Micros, effects eventloop.Effects) {
	h.recordControllerLease(now)
	if h.published.Version != h.sharedState.Version {
		// This process has just started from a snapshot. No entry after the snapshot was
		// applied, so the cluster state hasn't been published yet.
		h.publishClusterState(now, effects)
	}
	hasCampaigned, hasMembershipChange := false, false
	for _, name := range h.groupNames() {
		r := h.groups[name]
		r.group.SetAppendInterval(h.appendInterval())
		countBefore := r.group.PreVoteCount()
		r.group.Tick(now)
		hasCampaigned = hasCampaigned || r.group.PreVoteCount() != countBefore
		r.observeLeadership(now, h.id)
		if r.group.IsLeader() {
			r.group.UpdateWallOffset(now, h.wallClock())
			h.maintainQueue(now, r)
			h.transferIfNeeded(now, r)
			hasMembershipChange = r.takeMembershipChange() || hasMembershipChange
		}
	}
	if controller := h.sharedState.ControllerLease.GetHolder(); hasMembershipChange && controller != "" {
		// The controller takes each step of a repair only after this report. Without it the
		// step would wait for the controller's next query.
		h.sendClusterState(now, controller, &schema.ClusterStateRequest{Version: h.sharedState.Version}, effects)
	}
	if hasCampaigned {
		// Two nodes that happened to draw the same jitter must not keep campaigning at the
		// same time.
		h.electionJitter.redraw()
	}
	h.reconcileQueues(now, effects)
	h.checkDiskCapacity(now)
	effects.Notify("scheduler", h.leadershipStatus(now))
}

// appendInterval returns the append interval of the groups. In a large fleet the leader's processor is
// worth more than the few ms for which entries wait to share an Append.
func (h *Host) appendInterval() eventloop.Micros {
	if int64(len(h.sharedState.WorkerLeases)) < h.values.Fleet("relayed_workers") {
		return 0
	}
	return raft.SharedAppendInterval
}

// leadershipStatus returns the status on which the scheduler may act until the next tick.
func (h *Host) leadershipStatus(now eventloop.Micros) LeadershipStatus {
	status := LeadershipStatus{Terms: map[string]uint64{}, IsClusterStateFresh: h.isClusterStateFresh(now), TakenAt: now}
	for name, r := range h.groups {
		if r.queue != nil && r.group.HoldsLeaderLease(now) {
			status.Terms[name] = r.group.Term()
		}
	}
	return status
}

// isClusterStateFresh reports whether this node's copy of the cluster state is fresh: less
// than timeouts.MaxStateAge ago it contained everything that was committed.
func (h *Host) isClusterStateFresh(now eventloop.Micros) bool {
	r := h.groups[clusterstate.GroupName]
	return r != nil && r.group.FreshAsOf() > 0 && now-r.group.FreshAsOf() < h.timeouts.MaxStateAge
}

// maintainQueue proposes the commands that the passage of time or the configuration requires
// for a queue. At most one command of each kind is pending.
func (h *Host) maintainQueue(now eventloop.Micros, r *replica) {
	if r.queue == nil || !r.group.HoldsLeaderLease(now) {
		return
	}
	h.proposeDueTick(now, r)
	h.proposeIdleTick(now, r)
	h.proposeWallClockTick(now, r)
	h.proposeSettings(now, r)
	h.proposeReenqueue(now, r)
}

func (h *Host) proposeTick(now eventloop.Micros, r *replica, tick *schema.Tick) {
	r.tickIndex = h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: tick}})
	r.tickProposedAt = now
}

// proposeDueTick proposes a tick when the next round of a job is due, which starts the round.
func (h *Host) proposeDueTick(now eventloop.Micros, r *replica) {
	groupTime := r.group.GroupTime(now)
	if next, found := r.queue.NextStart(); found && next <= groupTime && r.tickIndex <= r.group.CommitIndex() {
		h.proposeTick(now, r, &schema.Tick{})
	}
}

// proposeIdleTick proposes a tick that advances queue time if the queue gets no other
// commands. Without it a new leader would continue from an old time.
func (h *Host) proposeIdleTick(now eventloop.Micros, r *replica) {
	hasTimed := r.queue.TimedJobs() > 0
	hasRetained := r.queue.RetainedJobs() > 0 || r.queue.CancelledNames() > 0
	interval := retainedTickInterval
	if hasTimed {
		interval = timedTickInterval
	}
	isBehind := r.group.GroupTime(now)-r.queue.Now() > int64(interval)
	if (hasTimed || hasRetained) && isBehind && now-r.tickProposedAt > interval {
		h.proposeTick(now, r, &schema.Tick{})
	}
}

// proposeWallClockTick proposes a tick that corrects the queue's offset from the time of day,
// so that timed jobs start at the right time of day. The offset changes because queue time
// stands still while the queue has no leader.
func (h *Host) proposeWallClockTick(now eventloop.Micros, r *replica) {
	if r.queue.TimedJobs() == 0 || r.tickIndex > r.group.CommitIndex() {
		return
	}
	offset, isKnown := r.group.WallOffset(now, h.wallClock())
	drift := offset - r.queue.WallOffset()
	if isKnown && (drift > int64(maxWallDrift) || drift < -int64(maxWallDrift)) {
		h.proposeTick(now, r, &schema.Tick{WallOffsetUs: offset})
	}
}

// proposeSettings proposes the settings of the configuration if they differ from those that
// the queue has applied.
func (h *Host) proposeSettings(now eventloop.Micros, r *replica) {
	if r.settingsIndex > r.group.CommitIndex() {
		return
	}
	applied, wanted := r.queue.Settings(), h.queueSettings
	if applied.CommandVersion < queue.CommandVersion && !h.allMembersSupport(r, queue.CommandVersion) {
		wanted = proto.Clone(wanted).(*schema.ApplySettings)
		wanted.CommandVersion = applied.CommandVersion
	}
	if !proto.Equal(wanted, applied) {
		r.settingsIndex = h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_ApplySettings{ApplySettings: wanted}})
	}
}

// allMembersSupport reports whether all members of a queue's group are known to apply commands
// of a version. A member of an older version would ignore what it doesn't know, and its state
// would differ from that of the others.
func (h *Host) allMembersSupport(r *replica, version uint32) bool {
	if h.membership == nil {
		return false
	}
	isOlder := func(id string) bool {
		return id != h.id && h.membership.Members[id].Member.GetQueueCommandVersion() < version
	}
	members := r.group.MemberSet()
	return !slices.ContainsFunc(members.Voters, isOlder) && !slices.ContainsFunc(members.Learners, isOlder)
}

// proposeReenqueue proposes to append the oldest live job to a long log again, so that its
// old entry doesn't keep the log from being compacted ("Quorum Queues Implementation Notes",
// section "Avoiding Unbounded Log Growth").
func (h *Host) proposeReenqueue(now eventloop.Micros, r *replica) {
	g, limit := r.group, uint64(h.values.Fleet("carry_records"))
	if g.LastIndex()-g.SnapshotIndex() <= limit || r.reenqueueIndex > g.CommitIndex() {
		return
	}
	if id, index, payload := r.queue.OldestJob(); id != 0 && g.LastIndex()-index > limit/2 {
		r.reenqueueIndex = h.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Reenqueue{Reenqueue: &schema.Reenqueue{Job: id, Payload: payload}}})
	}
}

// compactClusterStateLog replaces the cluster state's log with a snapshot of the whole state
// if the log has grown too long. Every replica does so. The log may hold maxStateLogEntries
// entries, and as many bytes as the snapshot that a lagging replica would be sent instead.
// So at most twice the logged bytes are written, and a replica that receives faster than
// that catches up.
func (h *Host) compactClusterStateLog(r *replica, entry *schema.Entry) {
	g := r.group
	r.logBytes += len(entry.Data)
	if entry.Index-g.SnapshotIndex() <= maxStateLogEntries && r.logBytes <= max(maxStateLogBytes, g.SnapshotBytes()) {
		return
	}
	g.Compact(entry.Index, clusterstate.Compress(h.stateMachine.Snapshot()))
	r.logBytes = 0
}
