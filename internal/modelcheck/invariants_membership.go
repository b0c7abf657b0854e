package modelcheck

import (
	"slices"

	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// maxPromotionLag is how many entries a learner may lack when it becomes a voter. It states
// raft's limit once more, so that a change of one of them shows.
const maxPromotionLag = 64

// checkMembershipChange checks a membership entry when a leader appends it: the majorities of
// both memberships overlap, the membership before it is committed, an entry of the leader's
// own term is committed (Raft thesis, section 4.1, as corrected), and new voters have caught
// up.
func (w *World) checkMembershipChange(m *machine, entry *schema.Entry) {
	w.changes++
	old := membershipBefore(m.log, entry.Index)
	next := entry.MemberSet
	if !majoritiesOverlap(old.GetVoters(), next.Voters) {
		w.fail("membership: majorities of %v and %v need not overlap", old.GetVoters(), next.Voters)
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
			w.fail("membership: %s was made a voter with %d entries of %d, the last change at %d", id, last, entry.Index-1, lastChange)
		}
	}
}

// membershipIndexBefore is the index of the membership in force below an index; 0 if the
// snapshot holds it.
func membershipIndexBefore(log *storage.GroupState, index uint64) uint64 {
	at := uint64(0)
	for _, entry := range log.Entries {
		if entry.Index < index && entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			at = entry.Index
		}
	}
	return at
}

// durableLog is what a store's disk holds, also of a wiped one.
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
// majority of the other: no two of them fit disjointly into the union.
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
