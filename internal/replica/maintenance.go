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

func (t *Table) tick(now eventloop.Micros, out eventloop.Effects) {
	t.noteLease(now)
	hasAsked, hasChanged := false, false
	for _, name := range t.names() {
		r := t.groups[name]
		wasAsked := r.group.PreVoteCount()
		r.group.Tick(now)
		hasAsked = hasAsked || r.group.PreVoteCount() != wasAsked
		if r.group.IsLeader() {
			r.group.UpdateWallOffset(now, t.wall())
			t.tend(now, r)
			t.passOn(now, r)
			hasChanged = r.hasNewMembers() || hasChanged
		}
	}
	if active := t.state.ControllerLease.GetHolder(); hasChanged && active != "" {
		// Each step of a repair waits for this word; asked for it would come later.
		t.tellClusterState(now, active, &schema.ClusterStateRequest{Version: t.state.Version}, out)
	}
	if hasAsked {
		// Two machines with the same patience shouldn't call at once again.
		t.patience.draw()
	}
	t.queues(now, out)
	t.lookAtRoom(now)
	fresh := Fresh{Groups: map[string]uint64{}, At: now}
	for name, r := range t.groups {
		if r.queue != nil && r.group.HoldsLeaderLease(now) {
			fresh.Groups[name] = r.group.Term()
		}
	}
	fresh.ClusterState = t.isClusterStateFresh(now)
	out.Notify("scheduler", fresh)
}

// isClusterStateFresh tells whether our copy of the cluster state held, a moment ago, all
// that was committed.
func (t *Table) isClusterStateFresh(now eventloop.Micros) bool {
	r := t.groups[clusterstate.Group]
	return r != nil && r.group.FreshAsOf() > 0 && now-r.group.FreshAsOf() < t.spans.MaxStateAge
}

// tend proposes what a queue's leader owes to time and to the plan.
func (t *Table) tend(now eventloop.Micros, r *replica) {
	g := r.group
	if !g.HoldsLeaderLease(now) {
		return
	}
	if r.queue == nil {
		return
	}
	m, at := r.queue, g.GroupTime(now)
	if next, any := m.NextStart(); any && next <= at && r.tickIdx <= g.AppliedIndex() {
		r.tickIdx = t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		r.tickAt = now
	}
	// A queue that nothing happens in must still let time pass for what it
	// holds, or a new leader would start from an old time.
	rest := tickKept
	if m.Timed() > 0 {
		rest = tickTimed
	}
	if (m.Timed() > 0 || m.Kept() > 0) && at-m.Now() > int64(rest) && now-r.tickAt > rest {
		r.tickIdx = t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{}}})
		r.tickAt = now
	}
	// Jobs that are to start at a time of day keep to it, though queue time has
	// stood still without a leader.
	if m.Timed() > 0 && r.tickIdx <= g.AppliedIndex() {
		offset, isKnown := g.WallOffset(now, t.wall())
		if away := offset - m.WallOffset(); isKnown && (away > int64(wallMost) || away < -int64(wallMost)) {
			r.tickIdx = t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Tick{Tick: &schema.Tick{WallOffsetUs: offset}}})
			r.tickAt = now
		}
	}
	if wanted := t.adopt; !proto.Equal(wanted, m.Adopted()) && r.adoptIdx <= g.AppliedIndex() {
		r.adoptIdx = t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_ApplySettings{ApplySettings: wanted}})
	}
	// One old job must not pin the log for ever: it enters it anew.
	limit := uint64(t.values.Fleet("carry_records"))
	if g.LastIndex()-g.SnapshotIndex() > limit && r.carryIdx <= g.AppliedIndex() {
		if id, index, payload := m.Oldest(); id != 0 && g.LastIndex()-index > limit/2 {
			r.carryIdx = t.proposeQueue(now, r, &schema.QueueCommand{Body: &schema.QueueCommand_Reenqueue{Reenqueue: &schema.Reenqueue{Job: id, Payload: payload}}})
		}
	}
}

const (
	stateLogRecords = 512     // of the cluster state's log, before it is let go
	stateLogBytes   = 1 << 20 // and of their bytes, or as many as its checkpoint has
)

// releaseClusterState lets the cluster state's log go, on every replica: its whole
// state is the checkpoint. The log may hold so many records, and as many bytes as the
// checkpoint that a replica which lacks them would be sent instead; so what is
// written is at most twice what is logged, and a replica that takes in faster than
// that is written catches up.
func (t *Table) releaseClusterState(r *replica, record *schema.Entry) {
	g := r.group
	r.logBytes += len(record.Data)
	if record.Index-g.SnapshotIndex() <= stateLogRecords && r.logBytes <= max(stateLogBytes, g.SnapshotBytes()) {
		return
	}
	g.Compact(record.Index, clusterstate.Compress(t.clusterState.Snapshot()))
	r.logBytes = 0
}

// queues makes what the cluster state says of queues true here.
func (t *Table) queues(now eventloop.Micros, out eventloop.Effects) {
	if t.groups[clusterstate.Group] == nil {
		return
	}
	wanted := map[string]bool{clusterstate.Group: true}
	for _, place := range t.state.Queues {
		name := GroupOf(place)
		wanted[name] = true
		if slices.Contains(place.InitialVoters, t.id) {
			t.foundQueue(now, place)
		}
	}
	for _, name := range t.names() {
		// Only a queue that the cluster state has dropped or made anew goes; one it
		// doesn't know yet may be ahead of our copy.
		if !wanted[name] && t.groups[name].queue != nil && t.isOver(name) {
			delete(t.groups, name)
			t.listed = nil
			t.next.changes = append(t.next.changes, &schema.StoreChange{Group: name, Removed: true})
			delete(t.next.marks, name)
			out.Notify("scheduler", Lost{Queue: QueueOf(name)})
		}
	}
}

// isOver: generations come from one counter, so a queue whose generation the
// cluster state has already given out, and which it doesn't list, has been ended.
func (t *Table) isOver(group string) bool {
	generation, err := strconv.ParseUint(group[len(QueueOf(group))+1:], 10, 64)
	return err == nil && generation < t.state.NextToken
}
