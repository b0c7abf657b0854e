package modelcheck

import (
	"slices"

	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// maxPromotionLag is how many entries a learner may lack when it becomes a voter. It repeats
// the limit of package raft, so that changing only one of the two is noticed.
const maxPromotionLag = 64

// checkMembershipChange checks a membership entry when a leader appends it: the majorities of
// the old and the new membership must overlap, the old membership must be committed, an entry
// of the leader's own term must be committed (Raft thesis, section 4.1, as corrected), and new
// voters must have caught up.
func (w *World) checkMembershipChange(m *machine, entry *schema.Entry) {
	w.membershipChanges++
	old := membershipBefore(m.log, entry.Index)
	next := entry.MemberSet
	if !majoritiesOverlap(old.GetVoters(), next.Voters) {
		w.fail("membership: a majority of %v and a majority of %v may have no member in common", old.GetVoters(), next.Voters)
	}
	for _, other := range m.log.Entries {
		if other.Kind == schema.EntryKind_ENTRY_MEMBER_SET && other.Index < entry.Index && other.Index > uint64(len(w.committed)) {
			w.fail("membership: changed at %d on %s while the change at %d isn't committed", entry.Index, m.id, other.Index)
		}
	}
	if len(w.committed) == 0 || w.committed[len(w.committed)-1].term < entry.Term {
		w.fail("membership: changed on %s before an entry of its own term %d was committed", m.id, entry.Term)
	}
	for _, id := range next.Voters {
		if slices.Contains(old.GetVoters(), id) {
			continue
		}
		last, lastChange := w.durableLastIndex(id), membershipIndexBefore(m.log, entry.Index)
		if last+maxPromotionLag < entry.Index-1 || last < lastChange {
			w.fail("membership: %s became a voter while its disk held %d of %d entries, and the last membership change was at %d", id, last, entry.Index-1, lastChange)
		}
	}
}

// membershipIndexBefore returns the index of the latest membership entry below an index; 0 if
// that membership is in the snapshot.
func membershipIndexBefore(log *storage.GroupState, index uint64) uint64 {
	at := uint64(0)
	for _, entry := range log.Entries {
		if entry.Index < index && entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			at = entry.Index
		}
	}
	return at
}

// durableLog returns the log on a store's disk. For a wiped disk, it returns the log at the time
// of the wipe.
func (w *World) durableLog(id string) *storage.GroupState {
	if m := w.machineByID(id); m != nil {
		return m.durableLog()
	}
	return w.wipedLogs[id]
}

func (w *World) durableLastIndex(id string) uint64 {
	if log := w.durableLog(id); log != nil {
		return lastIndex(log)
	}
	return 0
}

// majoritiesOverlap reports whether every majority of one list shares a member with every
// majority of the other. That holds if two majorities together have more members than the
// union of the lists, or if the first list is empty.
func majoritiesOverlap(a, b []string) bool {
	union := slices.Clone(a)
	for _, id := range b {
		if !slices.Contains(union, id) {
			union = append(union, id)
		}
	}
	return len(a) == 0 || majority(a)+majority(b) > len(union)
}

func majority(voters []string) int { return len(voters)/2 + 1 }
