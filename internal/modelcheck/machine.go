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

// times are the group's; timeouts come when the scheduler says, so only their
// order to each other matters.
var times = raft.DefaultTimeouts

// least draws the shortest wait every time: the scheduler decides who is first.
type least struct{}

func (least) Int64N(int64) int64 { return 0 }

// batch is what one sync makes durable, and the messages that wait for it.
type batch struct {
	changes []*schema.StoreChange
	posts   []raft.Message
	mark    raft.SyncPoint
}

// waiting is an operation whose record isn't committed yet.
type waiting struct {
	term      uint64
	operation int
}

// machine is one process with a disk: the host of a replica, as the table of
// replicas is, one group only.
type machine struct {
	world   *World // whose alone it is
	print   uint64 // fingerprint; 0: to be made anew
	index   int
	life    int // disks it has had
	id      string
	clock   eventloop.Micros
	disk    disk
	group   *raft.Group
	memory  *storage.GroupState // what the replica's changes come to, synced or not
	state   *clusterstate.StateMachine
	isOwn   bool // the state isn't shared with another branch
	next    batch
	writing *batch
	waiting map[uint64]waiting
	reading map[uint64]int
	reads   uint64
	version uint64 // highest of the state in this life
	applied uint64
}

// freshId names a disk that has never been used.
func freshId(index, life int) string { return fmt.Sprintf("%c%d", 'a'+index, life) }

func (m *machine) clone() *machine {
	c := *m
	c.disk = m.disk.clone()
	if m.group != nil {
		c.group = m.group.Clone(least{})
		c.memory = copyImage(m.memory)
	}
	c.isOwn = false
	c.waiting, c.reading = maps.Clone(m.waiting), maps.Clone(m.reading)
	if m.writing != nil {
		writing := *m.writing
		c.writing = &writing
	}
	c.next.changes = c.next.changes[:len(c.next.changes):len(c.next.changes)]
	c.next.posts = c.next.posts[:len(c.next.posts):len(c.next.posts)]
	return &c
}

// start begins a life of the process from what its disk holds.
func (m *machine) start() {
	m.group, m.memory, m.state = nil, nil, clusterstate.New()
	m.isOwn = true
	m.next, m.writing = batch{}, nil
	m.waiting, m.reading = map[uint64]waiting{}, map[uint64]int{}
	m.version, m.applied = 0, 0
	if image := m.disk.content().Groups[group]; image != nil {
		m.open(image)
	}
}

func (m *machine) open(image *storage.GroupState) {
	m.memory = copyImage(image)
	m.group = raft.New(group, m.id, copyImage(image), times, least{}, m.clock)
	m.restore(image.Snapshot)
}

func (m *machine) restore(point *schema.Snapshot) {
	state, err := clusterstate.Restore(point.Data)
	if err != nil {
		panic("checkpoint can't be read: " + err.Error())
	}
	m.state, m.isOwn = state, true
	m.applied = point.Index
}

// own makes the state one that may be changed.
func (m *machine) own() {
	if m.isOwn {
		return
	}
	state, err := clusterstate.Restore(m.state.Snapshot())
	if err != nil {
		panic("state can't be copied: " + err.Error())
	}
	m.state, m.isOwn = state, true
}

// take hands a message to the replica; one that is counted in by a leader it
// has never heard of starts empty.
func (m *machine) take(from string, body proto.Message) {
	if m.group == nil {
		switch body.(type) {
		case *schema.AppendRequest, *schema.InstallSnapshot, *schema.TransferChunk:
		default:
			return
		}
		m.open(&storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}})
	}
	m.group.Step(m.clock, from, body)
}

// termAt is the term of an image's record; 0 where it holds none.
func termAt(image *storage.GroupState, index uint64) uint64 {
	switch {
	case image == nil:
		return 0
	case index == image.Snapshot.Index:
		return image.Snapshot.Term
	case index < image.Snapshot.Index || index > lastOf(image):
		return 0
	}
	return image.Entries[index-image.Snapshot.Index-1].Term
}

func lastOf(image *storage.GroupState) uint64 {
	return image.Snapshot.Index + uint64(len(image.Entries))
}

// holds tells whether an image has a record, or what stands for it.
func holds(image *storage.GroupState, index, term uint64) bool {
	return image != nil && (index < image.Snapshot.Index || termAt(image, index) == term)
}

// membersUnder is the membership in force below an index.
func membersUnder(image *storage.GroupState, index uint64) *schema.MemberSet {
	members := image.Snapshot.MemberSet
	for _, record := range image.Entries {
		if record.Index < index && record.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			members = record.MemberSet
		}
	}
	return members
}

// applyTo makes a change of an image in memory.
func applyTo(image *storage.GroupState, change *schema.StoreChange) *storage.GroupState {
	content := &storage.State{Groups: map[string]*storage.GroupState{group: image}}
	content.Apply(change)
	return content.Groups[group]
}
