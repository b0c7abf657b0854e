package storage

import (
	"maps"
	"slices"
	"sort"

	"sparnotch/internal/schema"
)

// GroupState is the durable state of one replica of a Raft group.
type GroupState struct {
	HardState *schema.HardState
	Snapshot  *schema.Snapshot
	Entries   []*schema.Entry // the entries after the snapshot, ordered by index without gaps
}

// State is the durable state of a process. It shares protobuf messages with the StoreChanges
// that were applied to it, so these messages must not be modified.
type State struct {
	Identity *schema.StoreIdentity
	Groups   map[string]*GroupState // by group name
}

func newState() *State {
	return &State{Identity: &schema.StoreIdentity{}, Groups: map[string]*GroupState{}}
}

func (s *State) applyAll(changes []*schema.StoreChange) {
	for _, change := range changes {
		s.Apply(change)
	}
}

// Apply applies one change to the state.
func (s *State) Apply(change *schema.StoreChange) {
	if change.Identity != nil {
		s.Identity = change.Identity
	}
	if change.Group == "" {
		return
	}
	if change.Removed {
		delete(s.Groups, change.Group)
		return
	}
	group := s.Groups[change.Group]
	if group == nil {
		group = &GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
		s.Groups[change.Group] = group
	}
	group.apply(change)
}

func (g *GroupState) apply(change *schema.StoreChange) {
	if change.HardState != nil {
		g.HardState = change.HardState
	}
	if snapshot := change.Snapshot; snapshot != nil {
		g.Snapshot = snapshot
		if change.ReplacesLog {
			g.Entries = nil
		}
		g.Entries = entriesAfter(g.Entries, snapshot.Index)
	}
	if len(change.Entries) > 0 {
		g.Entries = append(entriesBefore(g.Entries, change.Entries[0].Index), change.Entries...)
	}
}

// entriesAfter returns a copy of the entries whose index is higher than the given one.
func entriesAfter(entries []*schema.Entry, index uint64) []*schema.Entry {
	at := sort.Search(len(entries), func(k int) bool { return entries[k].Index > index })
	return append([]*schema.Entry(nil), entries[at:]...)
}

// entriesBefore returns the entries whose index is lower than the given one, as a slice to which
// new entries can be appended.
func entriesBefore(entries []*schema.Entry, index uint64) []*schema.Entry {
	at := sort.Search(len(entries), func(k int) bool { return entries[k].Index >= index })
	if at == len(entries) {
		// In the common case no entry is replaced. The slice is then returned with its
		// spare capacity, so that appending doesn't copy a long log for each batch. This is
		// safe because nothing else appends to the slice.
		return entries
	}
	return entries[:at:at]
}

// asChanges returns the shortest list of changes that produces this state when it is applied
// to an empty state.
func (s *State) asChanges() []*schema.StoreChange {
	changes := []*schema.StoreChange{{Identity: s.Identity}}
	for _, name := range slices.Sorted(maps.Keys(s.Groups)) {
		group := s.Groups[name]
		changes = append(changes, &schema.StoreChange{
			Group: name, HardState: group.HardState, Snapshot: group.Snapshot, Entries: group.Entries,
		})
	}
	return changes
}
