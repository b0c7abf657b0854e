package replica

// This file opens and removes the replicas of groups, restores their state machines, and
// maps the names of groups to those of queues.

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

	pendingCommands map[uint64]pendingReply // replies due when a command is applied, by its log index
	pendingReads    map[uint64]pendingReply // replies due when a read is confirmed, by its ID

	appliedIndex   uint64          // log index of the last entry that the state machine has applied
	updateIndex    uint64          // log index of the last update of the configuration that this node proposed
	waitingUpdates []waitingUpdate // updates of the configuration to be proposed when the one before them is applied

	notifiedTerm uint64 // term in which the scheduler was sent a snapshot of the tasks; 0: a new snapshot is due

	tickProposedAt eventloop.Micros // when the last tick was proposed
	tickIndex      uint64           // log index of the last proposed tick
	reenqueueIndex uint64           // log index of the last proposed re-enqueueing of a job
	settingsIndex  uint64           // log index of the last proposed settings

	logBytes int // size of the entries applied since the snapshot; counted for the cluster state only

	transferredAt       eventloop.Micros // when this node last handed over or took over the leadership
	preferredAtTransfer string           // the preferred leader at that time
	failedTransfers     int              // consecutive handovers that left this node the leader; the latest attempt may still succeed

	leadingTerm   uint64           // term in which observeLeadership last saw this node lead; 0: another node has led since
	leadingSince  eventloop.Micros // when observeLeadership first saw this node lead in leadingTerm
	lastLeader    string           // last known leader other than this node
	deposedLeader string           // value that lastLeader had at leadingSince

	notifiedMemberSetIndex uint64 // log index of the last member set that was reported to the controller
	notifiedLearner        string // last caught-up learner that was reported to the controller
}

// openGroup creates this node's replica of a group from its durable state. It panics with
// UndecodableState if the snapshot can't be decoded.
func (h *Host) openGroup(now eventloop.Micros, name string, state *storage.GroupState) *replica {
	r := &replica{
		group:           raft.New(name, h.id, state, h.raftTimeouts, h.electionJitter, now),
		pendingCommands: map[uint64]pendingReply{}, pendingReads: map[uint64]pendingReply{},
	}
	r.group.SetWritable(!h.isReadOnly())
	h.groups[name], h.sortedNames = r, nil
	h.restoreGroup(r, state.Snapshot)
	return r
}

// dropGroup removes the replica of a deleted queue, together with its durable state.
func (h *Host) dropGroup(name string) {
	delete(h.groups, name)
	h.sortedNames = nil
	h.nextWrite.changes = append(h.nextWrite.changes, &schema.StoreChange{Group: name, Removed: true})
	delete(h.nextWrite.syncPoints, name)
}

// restoreGroup replaces a group's state machine with the state in a snapshot. It panics with
// UndecodableState if the snapshot can't be decoded.
func (h *Host) restoreGroup(r *replica, snapshot *schema.Snapshot) {
	r.appliedIndex = snapshot.GetIndex()
	if r.group.Name() == clusterstate.GroupName {
		machine, err := clusterstate.Restore(snapshot.Data)
		if err != nil {
			panic(UndecodableState.Wrap(err, "failed to decode a snapshot of group %s", r.group.Name()))
		}
		h.stateMachine, r.logBytes = machine, 0
		h.setState(machine.SharedState())
		return
	}
	r.queueName = QueueName(r.group.Name())
	machine, err := queue.Restore(r.queueName, snapshot.Index, snapshot.Data)
	if err != nil {
		panic(UndecodableState.Wrap(err, "failed to decode a snapshot of group %s", r.group.Name()))
	}
	r.queue = machine
}

// stepGroup passes a message to this node's replica of a group. A leader that sends log
// entries or a snapshot counts this node as a member, so these messages create the replica
// if it is missing.
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

// groupNames returns the sorted names of this node's groups. The result is cached because
// every step needs it and groups change seldom.
func (h *Host) groupNames() []string {
	if h.sortedNames == nil {
		h.sortedNames = slices.Sorted(maps.Keys(h.groups))
	}
	return h.sortedNames
}

// queueReplica returns this node's replica of the queue that the cluster state lists under a
// name. It returns nil if there is none.
func (h *Host) queueReplica(name string) *replica {
	if placement := clusterstate.FindQueue(h.sharedState, name); placement != nil {
		return h.groups[GroupName(placement)]
	}
	return nil
}

// GroupName returns the name of a queue's Raft group. It contains the queue's generation, so
// a queue that is deleted and created again under the same name gets a new group.
func GroupName(placement *schema.QueuePlacement) string {
	return placement.Queue + "#" + strconv.FormatUint(placement.Generation, 10)
}

// QueueName returns the name of the queue that a group's name contains. It returns an empty
// string for the cluster state's group.
func QueueName(group string) string {
	queue, _, isQueue := strings.Cut(group, "#")
	if !isQueue {
		return ""
	}
	return queue
}

// isObsolete reports whether a group's queue was deleted, or replaced by a newer queue of the
// same name, according to this node's copy of the cluster state.
func (h *Host) isObsolete(group string) bool {
	if placement := clusterstate.FindQueue(h.sharedState, QueueName(group)); placement != nil {
		return GroupName(placement) != group
	}
	return h.isDeleted(group)
}

// isDeleted reports whether a queue that the cluster state doesn't list was deleted.
// Generations are assigned from one counter, so a queue whose generation was already assigned
// is either listed or deleted. A queue with a later generation is just not known here yet.
func (h *Host) isDeleted(group string) bool {
	generation, err := strconv.ParseUint(group[len(QueueName(group))+1:], 10, 64)
	return err == nil && generation < h.sharedState.NextToken
}
