package modelcheck

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// raftTimeouts are the group's timeouts. The scheduler decides when they expire, so only their
// order matters.
var raftTimeouts = raft.DefaultTimeouts

// minimalRandom makes every random timeout the shortest one, since the scheduler decides whose
// timeout expires first.
type minimalRandom struct{}

// Int64N returns 0.
func (minimalRandom) Int64N(int64) int64 { return 0 }

// batch holds the changes that one sync makes durable, and the messages that wait for it.
type batch struct {
	changes   []*schema.StoreChange
	messages  []raft.Message
	syncPoint raft.SyncPoint
}

// pendingProposal is an operation whose entry isn't applied yet.
type pendingProposal struct {
	term      uint64
	operation int
}

// machine is one process with a disk. It hosts a replica of one group, as replica.Host does for
// all groups.
type machine struct {
	world             *World // the only world that may change the machine
	cachedFingerprint uint64 // 0: not computed since the last change
	index             int
	incarnation       int // counts the machine's disks, from 0
	id                string
	clock             eventloop.Micros
	disk              disk
	group             *raft.Group         // nil: the machine has no replica
	log               *storage.GroupState // all of the group's changes, synced or not
	state             *clusterstate.StateMachine
	ownsState         bool // no other world shares the state
	nextBatch         batch
	currentWrite      *batch                     // nil: the disk is idle
	pendingProposals  map[uint64]pendingProposal // by log index
	pendingReads      map[uint64]int             // indices of operations, by read ID
	lastReadID        uint64
	maxVersion        uint64 // highest version of the state since the process started
	appliedIndex      uint64 // log index up to which the state is applied
}

// newStoreID returns the store ID of one disk of a machine: a letter for the machine, and the
// incarnation.
func newStoreID(index, incarnation int) string { return fmt.Sprintf("%c%d", 'a'+index, incarnation) }

func (m *machine) clone() *machine {
	c := *m
	c.disk = m.disk.clone()
	if m.group != nil {
		c.group = m.group.Clone(minimalRandom{})
		c.log = cloneGroupState(m.log)
	}
	c.ownsState = false
	c.pendingProposals, c.pendingReads = maps.Clone(m.pendingProposals), maps.Clone(m.pendingReads)
	if m.currentWrite != nil {
		write := *m.currentWrite
		c.currentWrite = &write
	}
	c.nextBatch.changes = slices.Clip(c.nextBatch.changes)
	c.nextBatch.messages = slices.Clip(c.nextBatch.messages)
	return &c
}

// start starts the machine's process from the content of its disk.
func (m *machine) start() {
	m.group, m.log, m.state = nil, nil, clusterstate.New()
	m.ownsState = true
	m.nextBatch, m.currentWrite = batch{}, nil
	m.pendingProposals, m.pendingReads = map[uint64]pendingProposal{}, map[uint64]int{}
	m.maxVersion, m.appliedIndex = 0, 0
	if log := m.durableLog(); log != nil {
		m.openReplica(log)
	}
}

// durableLog returns the group's log and hard state on the disk; nil if there are none.
func (m *machine) durableLog() *storage.GroupState { return m.disk.content().Groups[groupName] }

func (m *machine) durableHardState() *schema.HardState {
	if log := m.durableLog(); log != nil {
		return log.HardState
	}
	return &schema.HardState{}
}

func (m *machine) openReplica(log *storage.GroupState) {
	m.log = cloneGroupState(log)
	m.group = raft.New(groupName, m.id, cloneGroupState(log), raftTimeouts, minimalRandom{}, m.clock)
	m.group.SetAppendInterval(raft.SharedAppendInterval)
	m.restore(log.Snapshot)
}

func (m *machine) restore(snapshot *schema.Snapshot) {
	state, err := clusterstate.Restore(snapshot.Data)
	if err != nil {
		panic("modelcheck: a snapshot can't be restored: " + err.Error())
	}
	m.state, m.ownsState = state, true
	m.appliedIndex = snapshot.Index
}

// ensureOwnState copies the state if another world shares it.
func (m *machine) ensureOwnState() {
	if m.ownsState {
		return
	}
	state, err := clusterstate.Restore(m.state.Snapshot())
	if err != nil {
		panic("modelcheck: the state can't be copied: " + err.Error())
	}
	m.state, m.ownsState = state, true
}

// receive passes a message to the group. A machine without a replica first creates an empty one
// if the message comes from a leader, which must have added the machine to the group.
func (m *machine) receive(from string, body proto.Message) {
	if m.group == nil {
		switch body.(type) {
		case *schema.AppendRequest, *schema.InstallSnapshot, *schema.TransferChunk:
		default:
			return
		}
		m.openReplica(&storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}})
	}
	m.group.Step(m.clock, from, body)
}

// termAt returns the term of the log's entry at an index; 0 if the log doesn't hold the entry.
func termAt(log *storage.GroupState, index uint64) uint64 {
	switch {
	case log == nil:
		return 0
	case index == log.Snapshot.Index:
		return log.Snapshot.Term
	case index < log.Snapshot.Index || index > lastIndex(log):
		return 0
	}
	return log.Entries[index-log.Snapshot.Index-1].Term
}

func lastIndex(log *storage.GroupState) uint64 {
	return log.Snapshot.Index + uint64(len(log.Entries))
}

// containsEntry reports whether a log holds an entry, or a snapshot that covers it.
func containsEntry(log *storage.GroupState, index, term uint64) bool {
	return log != nil && (index < log.Snapshot.Index || termAt(log, index) == term)
}

// membershipBefore returns the latest membership that a log holds below an index.
func membershipBefore(log *storage.GroupState, index uint64) *schema.MemberSet {
	members := log.Snapshot.MemberSet
	for _, entry := range log.Entries {
		if entry.Index < index && entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			members = entry.MemberSet
		}
	}
	return members
}

// applyChange applies a change to a log and returns the result.
func applyChange(log *storage.GroupState, change *schema.StoreChange) *storage.GroupState {
	state := &storage.State{Groups: map[string]*storage.GroupState{groupName: log}}
	state.Apply(change)
	return state.Groups[groupName]
}
