package modelcheck

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// checkMatchIsDurable checks that a replica acknowledges only entries that its disk holds.
func (w *World) checkMatchIsDurable(m *machine, sent raft.Message) {
	match := uint64(0)
	switch body := sent.Body.(type) {
	case *schema.AppendResponse:
		match = body.Match
	case *schema.HeartbeatResponse:
		match = body.Match
	}
	if match > 0 && !m.hasDurable(match) {
		w.fail("durability: %s acknowledges entry %d, which isn't durable", m.id, match)
	}
}

// hasDurable reports whether the disk holds the same entry as the log at an index, or a
// snapshot that covers it.
func (m *machine) hasDurable(index uint64) bool {
	durable := m.durableLog()
	if durable == nil {
		return false
	}
	if index <= durable.Snapshot.Index {
		return true
	}
	isSame := index <= m.log.Snapshot.Index || termAt(durable, index) == termAt(m.log, index)
	return index <= lastIndex(durable) && isSame
}

// checkRecovery checks that, after a crash, a store holds either exactly the state that was
// synced before, or that state with the complete write that was in progress.
func (w *World) checkRecovery(m *machine, before *storage.GroupState, changes []*schema.StoreChange) {
	after := before
	if len(changes) > 0 {
		if after = (&storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}); before != nil {
			after = cloneGroupState(before)
		}
		for _, change := range changes {
			after = applyChange(after, change)
		}
	}
	recovered := m.durableLog()
	if !equalGroupStates(recovered, before) && !equalGroupStates(recovered, after) {
		w.fail("durability: the store of %s holds neither the synced state nor the synced state with the write in progress", m.id)
	}
}

func equalGroupStates(a, b *storage.GroupState) bool {
	if a == nil || b == nil {
		return a == b
	}
	if !proto.Equal(a.HardState, b.HardState) || !proto.Equal(a.Snapshot, b.Snapshot) || len(a.Entries) != len(b.Entries) {
		return false
	}
	for k := range a.Entries {
		if !proto.Equal(a.Entries[k], b.Entries[k]) {
			return false
		}
	}
	return true
}
