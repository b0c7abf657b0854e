package modelcheck

import (
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// raftTimes are the group's; timeouts come when the scheduler says, so only their
// order to each other matters.
var raftTimes = raft.DefaultTimeouts

// minimalRandom draws the shortest wait every time: the scheduler decides who is first.
type minimalRandom struct{}

func (minimalRandom) Int64N(int64) int64 { return 0 }

// batch is what one sync makes durable, and the messages that wait for it.
type batch struct {
	changes  []*schema.StoreChange
	messages []raft.Message
	mark     raft.SyncPoint
}

// pendingProposal is an operation whose record isn't committed yet.
type pendingProposal struct {
	term      uint64
	operation int
}

// machine is one process with a disk: the host of a replica, as the table of
// replicas is, one group only.
type machine struct {
	world             *World // whose alone it is
	cachedFingerprint uint64 // fingerprint; 0: to be made anew
	index             int
	incarnation       int // disks it has had
	id                string
	clock             eventloop.Micros
	disk              disk
	group             *raft.Group
	log               *storage.GroupState // what the replica's changes come to, synced or not
	state             *clusterstate.StateMachine
	ownsState         bool // the state isn't shared with another branch
	nextBatch         batch
	currentWrite      *batch
	pendingProposals  map[uint64]pendingProposal
	pendingReads      map[uint64]int
	lastReadID        uint64
	maxVersion        uint64 // highest of the state in this life
	applied           uint64
}

// newStoreID names a disk that has never been used.
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
		writing := *m.currentWrite
		c.currentWrite = &writing
	}
	c.nextBatch.changes = c.nextBatch.changes[:len(c.nextBatch.changes):len(c.nextBatch.changes)]
	c.nextBatch.messages = c.nextBatch.messages[:len(c.nextBatch.messages):len(c.nextBatch.messages)]
	return &c
}

// start begins a life of the process from what its disk holds.
func (m *machine) start() {
	m.group, m.log, m.state = nil, nil, clusterstate.New()
	m.ownsState = true
	m.nextBatch, m.currentWrite = batch{}, nil
	m.pendingProposals, m.pendingReads = map[uint64]pendingProposal{}, map[uint64]int{}
	m.maxVersion, m.applied = 0, 0
	if log := m.disk.content().Groups[groupName]; log != nil {
		m.openReplica(log)
	}
}

func (m *machine) openReplica(log *storage.GroupState) {
	m.log = cloneGroupState(log)
	m.group = raft.New(groupName, m.id, cloneGroupState(log), raftTimes, minimalRandom{}, m.clock)
	m.restore(log.Snapshot)
}

func (m *machine) restore(snapshot *schema.Snapshot) {
	state, err := clusterstate.Restore(snapshot.Data)
	if err != nil {
		panic("checkpoint can't be read: " + err.Error())
	}
	m.state, m.ownsState = state, true
	m.applied = snapshot.Index
}

// ensureOwnState makes the state one that may be changed.
func (m *machine) ensureOwnState() {
	if m.ownsState {
		return
	}
	state, err := clusterstate.Restore(m.state.Snapshot())
	if err != nil {
		panic("state can't be copied: " + err.Error())
	}
	m.state, m.ownsState = state, true
}

// receive hands a message to the replica; one that is counted in by a leader it
// has never heard of starts empty.
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

// termAt is the term of an image's record; 0 where it holds none.
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

// containsEntry tells whether an image has a record, or what stands for it.
func containsEntry(log *storage.GroupState, index, term uint64) bool {
	return log != nil && (index < log.Snapshot.Index || termAt(log, index) == term)
}

// membershipBefore is the membership in force below an index.
func membershipBefore(log *storage.GroupState, index uint64) *schema.MemberSet {
	members := log.Snapshot.MemberSet
	for _, entry := range log.Entries {
		if entry.Index < index && entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			members = entry.MemberSet
		}
	}
	return members
}

// applyChange makes a change of an image in memory.
func applyChange(log *storage.GroupState, change *schema.StoreChange) *storage.GroupState {
	content := &storage.State{Groups: map[string]*storage.GroupState{groupName: log}}
	content.Apply(change)
	return content.Groups[groupName]
}
