package modelcheck

import (
	"sparnotch/internal/schema"
)

// checkChange compares a change of a machine's log with all logs of the run so far: an index
// and term must determine the entry, and the term of the entry before it. Log matching (Raft,
// figure 3) follows by induction. A change must also not replace committed entries, nor
// decrease the term.
func (w *World) checkChange(m *machine, change *schema.StoreChange) {
	if change.HardState != nil && change.HardState.Term < m.log.HardState.Term {
		w.fail("the term of %s decreases from %d to %d", m.id, m.log.HardState.Term, change.HardState.Term)
	}
	for k, entry := range change.Entries {
		previousTerm := uint64(0)
		switch {
		case k > 0:
			previousTerm = change.Entries[k-1].Term
		case entry.Index > 1:
			previousTerm = termAt(m.log, entry.Index-1)
		}
		info := entryInfo{term: entry.Term, previousTerm: previousTerm, digest: entryDigest(entry)}
		id := entryID{entry.Index, entry.Term}
		known, isKnown := w.entries[id]
		if isKnown && known != info {
			w.fail("log matching: index %d of term %d has two different entries, one of them on %s", entry.Index, entry.Term, m.id)
		}
		if isKnown {
			continue
		}
		w.mutableGhost().entries[id] = info
		w.checksum += hashValues("entry", "", entry.Index, info.term, info.previousTerm, info.digest)
		if entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			w.checkMembershipChange(m, entry)
		}
	}
	if len(change.Entries) > 0 && change.Entries[0].Index <= uint64(len(w.committed)) && replacesCommitted(w, m, change.Entries) {
		w.fail("leader completeness: %s replaces committed entries from %d on", m.id, change.Entries[0].Index)
	}
}

// replacesCommitted reports whether new entries would replace committed entries in a machine's
// log.
func replacesCommitted(w *World, m *machine, entries []*schema.Entry) bool {
	for _, entry := range entries {
		if entry.Index <= uint64(len(w.committed)) && w.committed[entry.Index-1].term != entry.Term &&
			termAt(m.log, entry.Index) == w.committed[entry.Index-1].term {
			return true
		}
	}
	return false
}

// checkLog checks that the group's log agrees with the changes that the group emitted, and that
// the first entry after a snapshot follows the snapshot's term.
func (w *World) checkLog(m *machine) {
	if m.group.LastIndex() != lastIndex(m.log) || m.group.SnapshotIndex() != m.log.Snapshot.Index {
		w.fail("durability: the group on %s holds entries %d to %d, but its changes add up to entries %d to %d", m.id,
			m.group.SnapshotIndex()+1, m.group.LastIndex(), m.log.Snapshot.Index+1, lastIndex(m.log))
	}
	if len(m.log.Entries) == 0 || m.log.Snapshot.Index == 0 {
		return
	}
	first := m.log.Entries[0]
	if previousTerm := w.entries[entryID{first.Index, first.Term}].previousTerm; previousTerm != m.log.Snapshot.Term {
		w.fail("log matching: %s holds entry %d of term %d, which follows an entry of term %d, directly after a snapshot of term %d", m.id,
			first.Index, first.Term, previousTerm, m.log.Snapshot.Term)
	}
}
