package modelcheck

import (
	"hash/maphash"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// maxPromotionLag is how far behind a learner may be that is made a voter.
const maxPromotionLag = 64

var hashSeed = maphash.MakeSeed()

// hashValues is a hash of a few texts and numbers.
func hashValues(text, more string, values ...uint64) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(append(append(buffer, text...), '|'), more...)
	return maphash.Bytes(hashSeed, appendNumbers(buffer, values...))
}

func entryDigest(entry *schema.Entry) uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	h.WriteByte(byte(entry.Kind))
	h.Write(entry.Data)
	for _, id := range entry.MemberSet.GetVoters() {
		h.WriteString(id)
	}
	h.WriteByte('/')
	for _, id := range entry.MemberSet.GetLearners() {
		h.WriteString(id)
	}
	return h.Sum64()
}

// checkChange holds what is put into a log against every log there ever was:
// one place (index and term) has one record, over one other. From that follows
// log matching: two logs that agree at a place agree below it.
func (w *World) checkChange(m *machine, change *schema.StoreChange) {
	if change.HardState != nil && change.HardState.Term < m.log.HardState.Term {
		w.fail("the term of %s goes back from %d to %d", m.id, m.log.HardState.Term, change.HardState.Term)
	}
	for k, entry := range change.Entries {
		below := uint64(0)
		switch {
		case k > 0:
			below = change.Entries[k-1].Term
		case entry.Index > 1:
			below = termAt(m.log, entry.Index-1)
		}
		found := entryInfo{term: entry.Term, previousTerm: below, digest: entryDigest(entry)}
		known, isKnown := w.entries[entryID{entry.Index, entry.Term}]
		if isKnown && known != found {
			w.fail("log matching: two records at index %d of term %d, one on %s", entry.Index, entry.Term, m.id)
		}
		if isKnown {
			continue
		}
		w.mutableGhost().entries[entryID{entry.Index, entry.Term}] = found
		w.checksum += hashValues("record", "", entry.Index, found.term, found.previousTerm, found.digest)
		if entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			w.checkMembershipChange(m, entry)
		}
	}
	if len(change.Entries) > 0 && change.Entries[0].Index <= uint64(len(w.committed)) && replacesCommitted(w, m, change.Entries) {
		w.fail("leader completeness: %s replaces committed records from %d on", m.id, change.Entries[0].Index)
	}
}

// replacesCommitted tells whether records differ from committed ones.
func replacesCommitted(w *World, m *machine, records []*schema.Entry) bool {
	for _, entry := range records {
		if entry.Index <= uint64(len(w.committed)) && w.committed[entry.Index-1].term != entry.Term &&
			termAt(m.log, entry.Index) == w.committed[entry.Index-1].term {
			return true
		}
	}
	return false
}

// checkMembershipChange looks at a change of members when its leader makes it.
func (w *World) checkMembershipChange(m *machine, entry *schema.Entry) {
	w.changes++
	old := membershipBefore(m.log, entry.Index)
	next := entry.MemberSet
	if !majoritiesOverlap(old.GetVoters(), next.Voters) {
		w.fail("members: majorities of %v and %v need not overlap", old.GetVoters(), next.Voters)
	}
	for _, each := range m.log.Entries {
		if each.Kind == schema.EntryKind_ENTRY_MEMBER_SET && each.Index < entry.Index && each.Index > uint64(len(w.committed)) {
			w.fail("members: changed at %d on %s while the change at %d isn't committed", entry.Index, m.id, each.Index)
		}
	}
	if len(w.committed) == 0 || w.committed[len(w.committed)-1].term < entry.Term {
		w.fail("members: changed on %s before a record of its own term %d was committed", m.id, entry.Term)
	}
	for _, id := range next.Voters {
		if slices.Contains(old.GetVoters(), id) {
			continue
		}
		if last := w.durableLastIndex(id); last+maxPromotionLag < entry.Index-1 || last < membershipIndexBefore(m.log, entry.Index) {
			w.fail("members: %s was made a voter with %d records of %d, the last change at %d", id, last, entry.Index-1, membershipIndexBefore(m.log, entry.Index))
		}
	}
}

// membershipIndexBefore is where the membership below an index was made; 0 for the first.
func membershipIndexBefore(log *storage.GroupState, index uint64) uint64 {
	at := uint64(0)
	for _, entry := range log.Entries {
		if entry.Index < index && entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			at = entry.Index
		}
	}
	return at
}

func (w *World) durableLog(id string) *storage.GroupState {
	if m := w.machineByID(id); m != nil {
		return m.disk.content().Groups[groupName]
	}
	return w.wipedLogs[id]
}

func (w *World) durableLastIndex(id string) uint64 {
	if log := w.durableLog(id); log != nil {
		return lastIndex(log)
	}
	return 0
}

// majoritiesOverlap tells whether every majority of one list shares somebody with every
// majority of another: no two fit side by side into all who are in either.
func majoritiesOverlap(a, b []string) bool {
	all := slices.Clone(a)
	for _, id := range b {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return len(a) == 0 || majority(a)+majority(b) > len(all)
}

func majority(voters []string) int { return len(voters)/2 + 1 }

// checkMatchIsDurable: a replica says that it holds records only once they last.
func (w *World) checkMatchIsDurable(m *machine, post raft.Message) {
	match := uint64(0)
	switch body := post.Body.(type) {
	case *schema.AppendResponse:
		match = body.Match
	case *schema.HeartbeatResponse:
		match = body.Match
	}
	if match == 0 {
		return
	}
	log := m.disk.content().Groups[groupName]
	isHeld := log != nil && (match <= log.Snapshot.Index || match <= lastIndex(log) && (match <= m.log.Snapshot.Index || termAt(log, match) == termAt(m.log, match)))
	if !isHeld {
		w.fail("durability: %s says it holds record %d, which doesn't last", m.id, match)
	}
}

// checkDurableBeforeSend: a term, and a vote in it, last before anybody hears of them; and
// one id votes for one candidate a term, whatever disk it has.
func (w *World) checkDurableBeforeSend(m *machine, post raft.Message) {
	hard := &schema.HardState{}
	if log := m.disk.content().Groups[groupName]; log != nil {
		hard = log.HardState
	}
	needs := func(term uint64) {
		if hard.Term < term {
			w.fail("durability: %s tells of term %d, which doesn't last", m.id, term)
		}
	}
	votes := func(term uint64, candidate string) {
		needs(term)
		if hard.Term == term && hard.Vote != candidate {
			w.fail("durability: %s tells of its vote for %s in term %d, which doesn't last", m.id, candidate, term)
		}
		w.recordVote(m.id, term, candidate)
	}
	switch body := post.Body.(type) {
	case *schema.VoteRequest:
		if !body.PreVote {
			votes(body.Term, m.id)
		}
	case *schema.VoteResponse:
		switch {
		case body.PreVote:
		case body.Granted:
			votes(body.Term, post.To)
		default:
			needs(body.Term)
		}
	case *schema.AppendRequest:
		needs(body.Term)
	case *schema.AppendResponse:
		needs(body.Term)
	case *schema.Heartbeat:
		needs(body.Term)
	case *schema.HeartbeatResponse:
		needs(body.Term)
	case *schema.InstallSnapshot:
		needs(body.Term)
	case *schema.TimeoutNow:
		needs(body.Term)
	case *schema.TransferChunk:
		needs(body.Term)
	case *schema.TransferChunkResponse:
		needs(body.Term)
	}
}

func (w *World) recordVote(id string, term uint64, candidate string) {
	key := voterTerm{id, term}
	known, isKnown := w.votes[key]
	if isKnown && known != candidate {
		w.fail("votes: %s votes for %s and for %s in term %d", id, known, candidate, term)
	}
	if !isKnown {
		w.mutableGhost().votes[key] = candidate
		w.checksum += hashValues("vote "+id, candidate, term)
	}
}

// checkLeader: a term has one leader, a majority of the voters has told its
// vote, and it has all that is committed.
func (w *World) checkLeader(m *machine) {
	if m.group == nil || !m.group.IsLeader() {
		return
	}
	term := m.group.Term()
	known, isKnown := w.leaders[term]
	if isKnown && known != m.id {
		w.fail("election safety: %s and %s lead term %d", known, m.id, term)
	}
	if isKnown {
		return
	}
	w.mutableGhost().leaders[term] = m.id
	w.checksum += hashValues("leader", m.id, term)
	w.recordVote(m.id, term, m.id)
	voters := membershipBefore(m.log, m.group.NoOpIndex()).GetVoters()
	count := 0
	for _, id := range voters {
		if w.votes[voterTerm{id, term}] == m.id {
			count++
		}
	}
	if count < majority(voters) {
		w.fail("election: %s leads term %d with %d votes of %v", m.id, term, count, voters)
	}
	if hard := m.disk.content().Groups[groupName].HardState; hard.Term < term {
		w.fail("durability: %s leads term %d before that lasts", m.id, term)
	}
	for k, each := range w.committed {
		if w.committedInTerm[k] < term && !containsEntry(m.log, uint64(k+1), each.term) {
			w.fail("leader completeness: %s leads term %d without record %d of term %d", m.id, term, k+1, each.term)
			return
		}
	}
}

// checkCommitTerm: a leader knows what is committed by a record of its own term; copies of
// an earlier term's records prove nothing by their number.
func (w *World) checkCommitTerm(m *machine, commits []*schema.Entry) {
	if len(commits) == 0 || !m.group.IsLeader() {
		return
	}
	if last := commits[len(commits)-1]; last.Term != m.group.Term() {
		w.fail("quorum: %s, leader of term %d, commits up to a record of term %d", m.id, m.group.Term(), last.Term)
	}
}

// checkLog: what a replica holds is what its changes come to; what lies above a
// snapshot continues it.
func (w *World) checkLog(m *machine) {
	if m.group.LastIndex() != lastIndex(m.log) || m.group.SnapshotIndex() != m.log.Snapshot.Index {
		w.fail("durability: %s holds records %d to %d, its store %d to %d", m.id, m.group.SnapshotIndex()+1, m.group.LastIndex(), m.log.Snapshot.Index+1, lastIndex(m.log))
	}
	if len(m.log.Entries) == 0 || m.log.Snapshot.Index == 0 {
		return
	}
	first := m.log.Entries[0]
	if below := w.entries[entryID{first.Index, first.Term}].previousTerm; below != m.log.Snapshot.Term {
		w.fail("log matching: %s holds record %d of term %d, which stands on term %d, on a snapshot of term %d", m.id, first.Index, first.Term, below, m.log.Snapshot.Term)
	}
}

// checkCommit: an index has one committed record, whoever commits it; the first
// who does so is a leader whose voters hold it durably by majority.
func (w *World) checkCommit(m *machine, entry *schema.Entry) {
	found := w.entries[entryID{entry.Index, entry.Term}]
	if found.digest != entryDigest(entry) {
		w.fail("state machine safety: %s commits a record at %d that nobody put", m.id, entry.Index)
	}
	if entry.Index <= uint64(len(w.committed)) {
		if known := w.committed[entry.Index-1]; known != found {
			w.fail("state machine safety: %s commits another record at %d (term %d, before %d)", m.id, entry.Index, entry.Term, known.term)
		}
		return
	}
	if entry.Index != uint64(len(w.committed))+1 {
		w.fail("state machine safety: %s commits %d after %d", m.id, entry.Index, len(w.committed))
		return
	}
	w.mutableGhost()
	w.committed = append(w.committed, found)
	w.committedInTerm = append(w.committedInTerm, m.group.Term())
	voters := m.membership().GetVoters()
	count := 0
	for _, id := range voters {
		if containsEntry(w.durableLog(id), entry.Index, entry.Term) {
			count++
		}
	}
	if count < majority(voters) {
		w.fail("quorum: record %d of term %d is committed with %d copies among %v", entry.Index, entry.Term, count, voters)
	}
}

// membership is the latest in the replica's log: what counts quorums.
func (m *machine) membership() *schema.MemberSet { return membershipBefore(m.log, lastIndex(m.log)+1) }

// checkLeaderLease: where clocks go alike, one leader at a time acts outward, but for the
// moment in which one hands over to another. It is looked at as time passes: what
// happens at one moment has no order that anybody outside could see.
func (w *World) checkLeaderLease() {
	if !w.limits.SharedClock {
		return
	}
	acting := ""
	for _, m := range w.machines {
		if m.group == nil || !m.group.HoldsLeaderLease(m.clock) {
			continue
		}
		if acting != "" {
			w.fail("lease: %s and %s act at once", acting, m.id)
		}
		acting = m.id
	}
}

// checkState: one index, one state, on whatever machine and by whatever way; and
// no life of a process sees it go back.
func (w *World) checkState(m *machine) {
	digest := maphash.Bytes(hashSeed, m.state.Snapshot())
	known, isKnown := w.states[m.applied]
	if isKnown && known != digest {
		w.fail("state machine safety: the state of %s at %d isn't that of others", m.id, m.applied)
	}
	if !isKnown {
		w.mutableGhost().states[m.applied] = digest
	}
	if m.state.Version() < m.maxVersion {
		w.fail("versions: %s goes back from %d to %d", m.id, m.maxVersion, m.state.Version())
	}
	m.maxVersion = m.state.Version()
}

// checkRecovery: what a store shows after a crash is what was synced, or that and
// the whole write that was under way.
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
	opened := m.disk.content().Groups[groupName]
	if !equalGroupStates(opened, before) && !equalGroupStates(opened, after) {
		w.fail("durability: the store of %s shows neither what was synced nor that and the write under way", m.id)
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

// recordReplacement notes which replace has become the configuration.
func (w *World) recordReplacement(before, after *schema.Configuration) {
	for k := range w.operations {
		o := &w.operations[k]
		if o.isRead || o.content != string(after.Document) {
			continue
		}
		if before.Version != o.baseVersion {
			w.fail("operation %d, built on %d, was taken on %d", k, o.baseVersion, before.Version)
		}
		o.isApplied = true
		if o.code != 0 && o.code != 200 {
			w.fail("operation %d was refused and then taken", k)
		}
	}
}
