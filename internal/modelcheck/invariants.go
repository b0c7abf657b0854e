package modelcheck

import (
	"hash/maphash"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// catchUpRecords is how far behind a learner may be that is made a voter.
const catchUpRecords = 64

var seed = maphash.MakeSeed()

// hashOf is a hash of a few texts and numbers.
func hashOf(text, more string, values ...uint64) uint64 {
	to := make([]byte, 0, 64)
	to = append(append(append(to, text...), '|'), more...)
	return maphash.Bytes(seed, numbers(to, values...))
}

func digestOf(record *schema.Entry) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	h.WriteByte(byte(record.Kind))
	h.Write(record.Data)
	for _, id := range record.MemberSet.GetVoters() {
		h.WriteString(id)
	}
	h.WriteByte('/')
	for _, id := range record.MemberSet.GetLearners() {
		h.WriteString(id)
	}
	return h.Sum64()
}

// checkChange holds what is put into a log against every log there ever was:
// one place (index and term) has one record, over one other. From that follows
// log matching: two logs that agree at a place agree below it.
func (w *World) checkChange(m *machine, change *schema.StoreChange) {
	if change.HardState != nil && change.HardState.Term < m.memory.HardState.Term {
		w.fail("the term of %s goes back from %d to %d", m.id, m.memory.HardState.Term, change.HardState.Term)
	}
	for k, record := range change.Entries {
		below := uint64(0)
		switch {
		case k > 0:
			below = change.Entries[k-1].Term
		case record.Index > 1:
			below = termAt(m.memory, record.Index-1)
		}
		found := recorded{term: record.Term, below: below, digest: digestOf(record)}
		known, isKnown := w.records[place{record.Index, record.Term}]
		if isKnown && known != found {
			w.fail("log matching: two records at index %d of term %d, one on %s", record.Index, record.Term, m.id)
		}
		if isKnown {
			continue
		}
		w.ownGhost().records[place{record.Index, record.Term}] = found
		w.sum += hashOf("record", "", record.Index, found.term, found.below, found.digest)
		if record.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			w.checkMembers(m, record)
		}
	}
	if len(change.Entries) > 0 && change.Entries[0].Index <= uint64(len(w.committed)) && holdsCommitted(w, m, change.Entries) {
		w.fail("leader completeness: %s replaces committed records from %d on", m.id, change.Entries[0].Index)
	}
}

// holdsCommitted tells whether records differ from committed ones.
func holdsCommitted(w *World, m *machine, records []*schema.Entry) bool {
	for _, record := range records {
		if record.Index <= uint64(len(w.committed)) && w.committed[record.Index-1].term != record.Term &&
			termAt(m.memory, record.Index) == w.committed[record.Index-1].term {
			return true
		}
	}
	return false
}

// checkMembers looks at a change of members when its leader makes it.
func (w *World) checkMembers(m *machine, record *schema.Entry) {
	w.changes++
	old := membersUnder(m.memory, record.Index)
	next := record.MemberSet
	if !overlaps(old.GetVoters(), next.Voters) {
		w.fail("members: majorities of %v and %v need not overlap", old.GetVoters(), next.Voters)
	}
	for _, each := range m.memory.Entries {
		if each.Kind == schema.EntryKind_ENTRY_MEMBER_SET && each.Index < record.Index && each.Index > uint64(len(w.committed)) {
			w.fail("members: changed at %d on %s while the change at %d isn't committed", record.Index, m.id, each.Index)
		}
	}
	if len(w.committed) == 0 || w.committed[len(w.committed)-1].term < record.Term {
		w.fail("members: changed on %s before a record of its own term %d was committed", m.id, record.Term)
	}
	for _, id := range next.Voters {
		if slices.Contains(old.GetVoters(), id) {
			continue
		}
		if last := w.lastDurable(id); last+catchUpRecords < record.Index-1 || last < changedAt(m.memory, record.Index) {
			w.fail("members: %s was made a voter with %d records of %d, the last change at %d", id, last, record.Index-1, changedAt(m.memory, record.Index))
		}
	}
}

// changedAt is where the membership below an index was made; 0 for the first.
func changedAt(image *storage.GroupState, index uint64) uint64 {
	at := uint64(0)
	for _, record := range image.Entries {
		if record.Index < index && record.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
			at = record.Index
		}
	}
	return at
}

func (w *World) durable(id string) *storage.GroupState {
	if m := w.machineOf(id); m != nil {
		return m.disk.content().Groups[group]
	}
	return w.graves[id]
}

func (w *World) lastDurable(id string) uint64 {
	if image := w.durable(id); image != nil {
		return lastOf(image)
	}
	return 0
}

// overlaps tells whether every majority of one list shares somebody with every
// majority of another: no two fit side by side into all who are in either.
func overlaps(a, b []string) bool {
	all := slices.Clone(a)
	for _, id := range b {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return len(a) == 0 || majority(a)+majority(b) > len(all)
}

func majority(voters []string) int { return len(voters)/2 + 1 }

// checkMatch: a replica says that it holds records only once they last.
func (w *World) checkMatch(m *machine, post raft.Message) {
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
	image := m.disk.content().Groups[group]
	isHeld := image != nil && (match <= image.Snapshot.Index || match <= lastOf(image) && (match <= m.memory.Snapshot.Index || termAt(image, match) == termAt(m.memory, match)))
	if !isHeld {
		w.fail("durability: %s says it holds record %d, which doesn't last", m.id, match)
	}
}

// checkTold: a term, and a vote in it, last before anybody hears of them; and
// one id votes for one candidate a term, whatever disk it has.
func (w *World) checkTold(m *machine, post raft.Message) {
	hard := &schema.HardState{}
	if image := m.disk.content().Groups[group]; image != nil {
		hard = image.HardState
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
		w.vote(m.id, term, candidate)
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

func (w *World) vote(id string, term uint64, candidate string) {
	key := ballot{id, term}
	known, isKnown := w.votes[key]
	if isKnown && known != candidate {
		w.fail("votes: %s votes for %s and for %s in term %d", id, known, candidate, term)
	}
	if !isKnown {
		w.ownGhost().votes[key] = candidate
		w.sum += hashOf("vote "+id, candidate, term)
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
	w.ownGhost().leaders[term] = m.id
	w.sum += hashOf("leader", m.id, term)
	w.vote(m.id, term, m.id)
	voters := membersUnder(m.memory, m.group.NoOpIndex()).GetVoters()
	count := 0
	for _, id := range voters {
		if w.votes[ballot{id, term}] == m.id {
			count++
		}
	}
	if count < majority(voters) {
		w.fail("election: %s leads term %d with %d votes of %v", m.id, term, count, voters)
	}
	if hard := m.disk.content().Groups[group].HardState; hard.Term < term {
		w.fail("durability: %s leads term %d before that lasts", m.id, term)
	}
	for k, each := range w.committed {
		if w.committedIn[k] < term && !holds(m.memory, uint64(k+1), each.term) {
			w.fail("leader completeness: %s leads term %d without record %d of term %d", m.id, term, k+1, each.term)
			return
		}
	}
}

// checkAdvance: a leader knows what is committed by a record of its own term; copies of
// an earlier term's records prove nothing by their number.
func (w *World) checkAdvance(m *machine, commits []*schema.Entry) {
	if len(commits) == 0 || !m.group.IsLeader() {
		return
	}
	if last := commits[len(commits)-1]; last.Term != m.group.Term() {
		w.fail("quorum: %s, leader of term %d, commits up to a record of term %d", m.id, m.group.Term(), last.Term)
	}
}

// checkMemory: what a replica holds is what its changes come to; what lies above a
// snapshot continues it.
func (w *World) checkMemory(m *machine) {
	if m.group.LastIndex() != lastOf(m.memory) || m.group.SnapshotIndex() != m.memory.Snapshot.Index {
		w.fail("durability: %s holds records %d to %d, its store %d to %d", m.id, m.group.SnapshotIndex()+1, m.group.LastIndex(), m.memory.Snapshot.Index+1, lastOf(m.memory))
	}
	if len(m.memory.Entries) == 0 || m.memory.Snapshot.Index == 0 {
		return
	}
	first := m.memory.Entries[0]
	if below := w.records[place{first.Index, first.Term}].below; below != m.memory.Snapshot.Term {
		w.fail("log matching: %s holds record %d of term %d, which stands on term %d, on a snapshot of term %d", m.id, first.Index, first.Term, below, m.memory.Snapshot.Term)
	}
}

// checkCommit: an index has one committed record, whoever commits it; the first
// who does so is a leader whose voters hold it durably by majority.
func (w *World) checkCommit(m *machine, record *schema.Entry) {
	found := w.records[place{record.Index, record.Term}]
	if found.digest != digestOf(record) {
		w.fail("state machine safety: %s commits a record at %d that nobody put", m.id, record.Index)
	}
	if record.Index <= uint64(len(w.committed)) {
		if known := w.committed[record.Index-1]; known != found {
			w.fail("state machine safety: %s commits another record at %d (term %d, before %d)", m.id, record.Index, record.Term, known.term)
		}
		return
	}
	if record.Index != uint64(len(w.committed))+1 {
		w.fail("state machine safety: %s commits %d after %d", m.id, record.Index, len(w.committed))
		return
	}
	w.ownGhost()
	w.committed = append(w.committed, found)
	w.committedIn = append(w.committedIn, m.group.Term())
	voters := m.memberships().GetVoters()
	count := 0
	for _, id := range voters {
		if holds(w.durable(id), record.Index, record.Term) {
			count++
		}
	}
	if count < majority(voters) {
		w.fail("quorum: record %d of term %d is committed with %d copies among %v", record.Index, record.Term, count, voters)
	}
}

// memberships is the latest in the replica's log: what counts quorums.
func (m *machine) memberships() *schema.MemberSet { return membersUnder(m.memory, lastOf(m.memory)+1) }

// checkActing: where clocks go alike, one leader at a time acts outward, but for the
// moment in which one hands over to another. It is looked at as time passes: what
// happens at one moment has no order that anybody outside could see.
func (w *World) checkActing() {
	if !w.limits.IsTimed {
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
	digest := maphash.Bytes(seed, m.state.Snapshot())
	known, isKnown := w.states[m.applied]
	if isKnown && known != digest {
		w.fail("state machine safety: the state of %s at %d isn't that of others", m.id, m.applied)
	}
	if !isKnown {
		w.ownGhost().states[m.applied] = digest
	}
	if m.state.Version() < m.version {
		w.fail("versions: %s goes back from %d to %d", m.id, m.version, m.state.Version())
	}
	m.version = m.state.Version()
}

// checkOpened: what a store shows after a crash is what was synced, or that and
// the whole write that was under way.
func (w *World) checkOpened(m *machine, before *storage.GroupState, changes []*schema.StoreChange) {
	after := before
	if len(changes) > 0 {
		if after = (&storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}); before != nil {
			after = copyImage(before)
		}
		for _, change := range changes {
			after = applyTo(after, change)
		}
	}
	opened := m.disk.content().Groups[group]
	if !isSame(opened, before) && !isSame(opened, after) {
		w.fail("durability: the store of %s shows neither what was synced nor that and the write under way", m.id)
	}
}

func isSame(a, b *storage.GroupState) bool {
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

// taken notes which replace has become the configuration.
func (w *World) taken(before, after *schema.Configuration) {
	for k := range w.operations {
		o := &w.operations[k]
		if o.isRead || o.content != string(after.Document) {
			continue
		}
		if before.Version != o.base {
			w.fail("operation %d, built on %d, was taken on %d", k, o.base, before.Version)
		}
		o.isTaken = true
		if o.code != 0 && o.code != 200 {
			w.fail("operation %d was refused and then taken", k)
		}
	}
}
