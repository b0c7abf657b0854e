package replica

// The replica of one group: opening it, restoring its state machine, naming it.

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// replica is this node's replica of one Raft group.
type replica struct {
	group     *raft.Group
	queueName string         // empty for the cluster state
	queue     *queue.Machine // nil for the cluster state

	pendingCommands map[uint64]pendingReply // by log index
	pendingReads    map[uint64]pendingReply // by read ID

	notifiedTerm uint64 // term whose complete task list the scheduler has; 0: none

	tickProposedAt eventloop.Micros
	tickIndex      uint64 // log index of the last proposed tick
	reenqueueIndex uint64
	settingsIndex  uint64

	logBytes int // of the cluster state's entries applied since its snapshot

	transferredAt       eventloop.Micros // when leadership was last handed over or taken over
	preferredAtTransfer string           // the preferred leader at that time
	failedTransfers     int              // handovers in a row by which this node didn't lose the leadership

	leadingTerm   uint64           // in which this node led when last looked at
	leadingSince  eventloop.Micros // by an election of that term
	lastLeader    string           // the last other leader that this node knew
	deposedLeader string           // lastLeader at leadingSince

	notifiedMemberSetIndex uint64 // last member set that was reported to the controller
	notifiedLearner        string // last caught-up learner that was reported
}

// openGroup adds the replica of a group with its durable state.
func (h *Host) openGroup(now eventloop.Micros, name string, state *storage.GroupState) *replica {
	r := &replica{
		group:           raft.New(name, h.id, state, h.raftTimes, h.electionJitter, now),
		pendingCommands: map[uint64]pendingReply{}, pendingReads: map[uint64]pendingReply{},
	}
	r.group.SetWritable(!h.isReadOnly())
	h.groups[name], h.sortedNames = r, nil
	h.restoreGroup(r, state.Snapshot)
	return r
}

// dropGroup removes the replica of a queue that was deleted, and its durable state.
func (h *Host) dropGroup(name string) {
	delete(h.groups, name)
	h.sortedNames = nil
	h.nextWrite.changes = append(h.nextWrite.changes, &schema.StoreChange{Group: name, Removed: true})
	delete(h.nextWrite.syncPoints, name)
}

// restoreGroup replaces a group's state machine by the state of a snapshot.
func (h *Host) restoreGroup(r *replica, snapshot *schema.Snapshot) {
	if r.group.Name() == clusterstate.GroupName {
		machine, err := clusterstate.Restore(snapshot.Data)
		if err != nil {
			panic(UndecodableState.Wrap(err, "snapshot of %s", r.group.Name()))
		}
		h.stateMachine, r.logBytes = machine, 0
		h.setState(machine.SharedState())
		return
	}
	r.queueName = QueueName(r.group.Name())
	machine, err := queue.Restore(r.queueName, snapshot.Index, snapshot.Data)
	if err != nil {
		panic(UndecodableState.Wrap(err, "snapshot of %s", r.group.Name()))
	}
	r.queue = machine
}

// stepGroup passes a message to a group's replica. A leader that replicates to this
// node counts it as a member, so a missing replica is created first.
func (h *Host) stepGroup(now eventloop.Micros, from, name string, body any) {
	r := h.groups[name]
	if r == nil {
		switch body.(type) {
		case *schema.AppendRequest, *schema.InstallSnapshot, *schema.TransferChunk:
			r = h.joinGroup(now, name)
		}
	}
	if r != nil {
		r.group.Step(now, from, body)
	}
}

// groupNames lists the groups in order. The result is cached, as every step needs it
// and groups change seldom.
func (h *Host) groupNames() []string {
	if h.sortedNames == nil {
		h.sortedNames = slices.Sorted(maps.Keys(h.groups))
	}
	return h.sortedNames
}

// queueReplica returns this node's replica of a queue in the cluster state; nil if there
// is none.
func (h *Host) queueReplica(name string) *replica {
	if placement := clusterstate.FindQueue(h.sharedState, name); placement != nil {
		return h.groups[GroupName(placement)]
	}
	return nil
}

// GroupName names the Raft group of a queue. The generation is part of it, so a queue
// that is created again under an old name is another group.
func GroupName(placement *schema.QueuePlacement) string {
	return placement.Queue + "#" + strconv.FormatUint(placement.Generation, 10)
}

// QueueName is the queue's name in a group's name, empty for the cluster state's group.
func QueueName(group string) string {
	queue, _, isQueue := strings.Cut(group, "#")
	if !isQueue {
		return ""
	}
	return queue
}

// isObsolete reports whether the cluster state lists a newer queue of the same name, or
// has deleted this one.
func (h *Host) isObsolete(group string) bool {
	if placement := clusterstate.FindQueue(h.sharedState, QueueName(group)); placement != nil {
		return GroupName(placement) != group
	}
	return h.isDeleted(group)
}

// isDeleted reports whether a queue that the cluster state doesn't list was deleted.
// Generations come from one counter: a queue whose generation was already assigned is
// in the cluster state or was deleted, a later one is only unknown here so far.
func (h *Host) isDeleted(group string) bool {
	generation, err := strconv.ParseUint(group[len(QueueName(group))+1:], 10, 64)
	return err == nil && generation < h.sharedState.NextToken
}
