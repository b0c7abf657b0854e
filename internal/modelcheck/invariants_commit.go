package modelcheck

import (
	"hash/maphash"

	"sparnotch/internal/schema"
)

// checkCommitTerm checks that the last entry that a leader commits is of its own term: an entry
// of an earlier term isn't committed just because a majority holds it (Raft, figure 8).
func (w *World) checkCommitTerm(m *machine, commits []*schema.Entry) {
	if len(commits) == 0 || !m.group.IsLeader() {
		return
	}
	if last := commits[len(commits)-1]; last.Term != m.group.Term() {
		w.fail("quorum: %s, leader of term %d, commits up to an entry of term %d", m.id, m.group.Term(), last.Term)
	}
}

// checkCommit checks that all machines commit the same entry at an index (state machine
// safety), and that a majority of the voters holds it durably when the first of them does.
func (w *World) checkCommit(m *machine, entry *schema.Entry) {
	info := w.entries[entryID{entry.Index, entry.Term}]
	if info.digest != entryDigest(entry) {
		w.fail("state machine safety: %s commits an entry at %d that no leader appended", m.id, entry.Index)
	}
	if entry.Index <= uint64(len(w.committed)) {
		if known := w.committed[entry.Index-1]; known != info {
			w.fail("state machine safety: %s commits a different entry at index %d than was committed before (term %d instead of %d)", m.id, entry.Index, entry.Term, known.term)
		}
		return
	}
	if entry.Index != uint64(len(w.committed))+1 {
		w.fail("state machine safety: %s commits entry %d directly after entry %d", m.id, entry.Index, len(w.committed))
		return
	}
	w.mutableGhost()
	w.committed = append(w.committed, info)
	w.committedInTerm = append(w.committedInTerm, m.group.Term())
	voters := m.membership().GetVoters()
	copies := 0
	for _, id := range voters {
		if containsEntry(w.durableLog(id), entry.Index, entry.Term) {
			copies++
		}
	}
	if copies < majority(voters) {
		w.fail("quorum: entry %d of term %d is committed with only %d durable copies among the voters %v", entry.Index, entry.Term, copies, voters)
	}
}

// membership returns the latest membership in the replica's log, committed or not, which
// determines the quorum.
func (m *machine) membership() *schema.MemberSet { return membershipBefore(m.log, lastIndex(m.log)+1) }

// checkState checks that all machines have the same state at an applied index, whether they
// reached it by entries or by a snapshot, and that the state's version never decreases between
// two starts of a machine.
func (w *World) checkState(m *machine) {
	digest := maphash.Bytes(hashSeed, m.state.Snapshot())
	known, isKnown := w.states[m.appliedIndex]
	if isKnown && known != digest {
		w.fail("state machine safety: the state of %s at index %d differs from the state of other machines", m.id, m.appliedIndex)
	}
	if !isKnown {
		w.mutableGhost().states[m.appliedIndex] = digest
	}
	if m.state.Version() < m.maxVersion {
		w.fail("versions: the version of the state on %s decreases from %d to %d", m.id, m.maxVersion, m.state.Version())
	}
	m.maxVersion = m.state.Version()
}

// recordReplacement records which operation replaced the configuration, and checks that the
// operation was based on the previous configuration and wasn't refused.
func (w *World) recordReplacement(before, after *schema.Configuration) {
	for k := range w.operations {
		o := &w.operations[k]
		if o.isRead || o.content != string(after.Document) {
			continue
		}
		if before.Version != o.baseVersion {
			w.fail("operation %d is based on version %d, but was applied to version %d", k, o.baseVersion, before.Version)
		}
		o.isApplied = true
		if o.code != 0 && o.code != 200 {
			w.fail("operation %d was refused and then applied", k)
		}
	}
}
