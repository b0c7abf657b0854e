package raft

// This file implements log replication and commitment (sections 3.5 and 3.6).

import (
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Propose appends a command to the leader's log; the caller must not modify the data
// afterwards. It returns the entry's index and term. A caller must compare both when an
// entry is applied, because another entry may be committed at that index. The error is
// NotLeader on a replica that isn't the leader, and Busy during a leadership transfer.
func (g *Group) Propose(now eventloop.Micros, data []byte) (index, term uint64, err error) {
	if g.role != leader {
		return 0, 0, g.notLeader()
	}
	if g.transferee != "" {
		return 0, 0, Busy.New("group %s accepts no proposals while leadership is being transferred to %s", g.name, g.transferee)
	}
	return g.appendEntry(now, &schema.Entry{Kind: schema.EntryKind_ENTRY_COMMAND, Data: data}), g.term, nil
}

func (g *Group) notLeader() error {
	return NotLeader.New("this replica can't serve as the leader of group %s; the known leader is %q", g.name, g.lead)
}

// appendEntry appends an entry to the leader's log, in the current term, and starts to
// replicate it. It returns the entry's index.
func (g *Group) appendEntry(now eventloop.Micros, entry *schema.Entry) uint64 {
	entry.Index, entry.Term, entry.TimeUs = g.LastIndex()+1, g.term, g.GroupTime(now)
	g.truncateAndAppend([]*schema.Entry{entry})
	if entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
		g.notifyRemoved(now)
		g.updatePeers(now, entry.Index)
	}
	g.unsentSince = now
	g.maybeCommit(now)
	return entry.Index
}

// replicateAppended sends the peers the entries that were appended since the last Ready, so that the
// entries of one step share an Append.
func (g *Group) replicateAppended() {
	now := g.unsentSince
	if now == 0 {
		return
	}
	g.unsentSince = 0
	if g.role != leader {
		return
	}
	for _, id := range g.otherMembers() {
		g.replicateTo(now, id)
	}
}

// replicateTo sends a peer the part of the log that it lacks, as far as flow control
// allows: as a snapshot, as a single probe, or as several Appends.
func (g *Group) replicateTo(now eventloop.Micros, id string) {
	p := g.peers[id]
	if p == nil || p.snapshotPending || p.chunked != nil {
		return
	}
	if p.next <= g.snapshot.Index {
		// The snapshot covers the entries in flight, so they are no longer tracked.
		p.snapshotPending, p.lastAdvance, p.inflight = true, now, nil
		g.sendSnapshot(now, id, p)
		return
	}
	if p.probing && p.probeSent {
		return
	}
	if p.next == 1 && p.match == 0 {
		// The initial member set isn't stored in any entry, so it is sent in a snapshot
		// without data. Otherwise a voter that gets this message before its node calls
		// Bootstrap would never learn the members.
		g.send(id, &schema.InstallSnapshot{Group: g.name, Term: g.term, Snapshot: g.snapshot})
	}
	// A probe is a single Append, and isn't subject to maxInflightEntries. That limit counts
	// from the last entry known to match; while none is known, the end of a long log lies
	// beyond the limit.
	for p.next <= g.LastIndex() && (p.probing || p.canSend(g.inflightWindow(p))) {
		if !p.probing && g.mustWait(now, p) {
			g.hasWaitingEntries = true
			return
		}
		entries, size := g.nextBatch(p.next, g.inflightWindow(p))
		g.sendAppend(now, id, p, entries, size)
		p.lastAdvance, p.lastAppendAt = now, now
		if p.probing {
			p.probeSent = true
			return
		}
		p.next += uint64(len(entries))
		if p.chunked != nil {
			return
		}
	}
}

func (g *Group) sendAppend(now eventloop.Micros, id string, p *progress, entries []*schema.Entry, size int) {
	body := &schema.AppendRequest{
		Group: g.name, Term: g.term, PrevIndex: p.next - 1, PrevTerm: g.termAt(p.next - 1),
		Commit: g.commit, Entries: append([]*schema.Entry(nil), entries...),
	}
	last := entries[len(entries)-1].Index
	if size > g.inflightWindow(p) {
		g.startChunkedSend(now, id, p, body, last)
		return
	}
	sent := inflightAppend{lastIndex: last, bytes: size, sentAt: now}
	if p.probing {
		sent.sentAt = 0
	}
	p.inflight = append(p.inflight, sent)
	g.send(id, body)
}

// acceptLeader makes the sender of a message the leader that this replica follows, and
// reports whether it did. If the message's term has passed, it sends a response instead,
// from which the sender learns the current term and steps down.
func (g *Group) acceptLeader(now eventloop.Micros, from string, term uint64) bool {
	if term < g.term {
		g.send(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true})
		return false
	}
	if term > g.term || g.role != follower || g.lead != from {
		g.becomeFollower(now, term, from)
	}
	g.lastHeard = now
	g.resetElectionDeadline(now)
	return true
}

func (g *Group) handleAppendRequest(now eventloop.Micros, from string, m *schema.AppendRequest) {
	if !g.acceptLeader(now, from, m.Term) {
		return
	}
	prev, prevTerm, entries := m.PrevIndex, m.PrevTerm, m.Entries
	// Entries that the snapshot covers are committed, so the leader's log has the same
	// ones and they are skipped.
	for prev < g.snapshot.Index && len(entries) > 0 && entries[0].Index <= g.snapshot.Index {
		prev, prevTerm, entries = entries[0].Index, entries[0].Term, entries[1:]
	}
	if prev < g.snapshot.Index {
		g.matchIndex = max(g.matchIndex, g.snapshot.Index)
		g.acknowledge(from)
		return
	}
	if prev > g.LastIndex() || g.termAt(prev) != prevTerm {
		g.send(from, &schema.AppendResponse{
			Group: g.name, Term: g.term, Rejected: true,
			Hint: min(g.LastIndex(), prev-1), PrevIndex: m.PrevIndex,
		})
		return
	}
	appended := g.appendMissing(entries)
	g.matchIndex = max(g.matchIndex, prev+uint64(len(entries)))
	g.commitTo(min(m.Commit, g.matchIndex))
	// Entries that were appended just now are acknowledged when they are synced.
	if !appended {
		g.acknowledge(from)
	}
}

// appendMissing appends the leader's entries from the first one that this log doesn't
// hold, and reports whether there was one. It keeps the entries that agree with the
// leader's, because a delayed Append must not remove entries of a later Append.
func (g *Group) appendMissing(entries []*schema.Entry) bool {
	for k, entry := range entries {
		if entry.Index > g.LastIndex() || g.termAt(entry.Index) != entry.Term {
			g.truncateAndAppend(entries[k:])
			return true
		}
	}
	return false
}

// acknowledge sends the leader the index up to which this log agrees with the leader's
// and is synced.
func (g *Group) acknowledge(to string) {
	g.send(to, &schema.AppendResponse{Group: g.name, Term: g.term, Match: min(g.matchIndex, g.stable)})
}

func (g *Group) handleAppendResponse(now eventloop.Micros, from string, m *schema.AppendResponse) {
	p := g.acceptResponse(now, from, m.Term)
	if p == nil {
		return
	}
	if m.Rejected {
		// Only the first rejection among the Appends in flight is handled. If the leader
		// sent the following entries again for each rejection, the follower would reject
		// all of them as well.
		stale := m.PrevIndex <= p.match || p.probing && m.PrevIndex != p.next-1
		if !stale {
			p.snapshotPending = false
			g.probe(now, from, p, max(min(m.Hint+1, m.PrevIndex), p.match+1))
		}
		return
	}
	if m.Match+1 >= p.next {
		p.probing = false
	}
	g.advanceMatch(now, from, p, m.Match)
}

// maybeCommit commits the entries that a quorum of voters has synced.
func (g *Group) maybeCommit(now eventloop.Micros) {
	if g.role != leader {
		return
	}
	index := g.quorumValue(func(id string) uint64 {
		if id == g.self {
			return g.stable
		}
		return g.peers[id].match
	})
	// Only an entry of the current term may be committed by counting replicas; it commits
	// all entries before it as well (section 3.6.2).
	if index > g.commit && g.termAt(index) == g.term {
		g.commitTo(index)
		// A leader that is removed from the group steps down only once its removal is
		// committed (section 4.2.2).
		if g.memberSetIndex <= g.commit && !g.isVoter(g.self) {
			g.becomeFollower(now, g.term, "")
		}
	}
}

// quorumValue returns the greatest value that a quorum of voters has reached, where value
// returns the value of one voter. A voter without progress counts as 0.
func (g *Group) quorumValue(value func(id string) uint64) uint64 {
	var values []uint64
	for _, id := range g.memberSet.Voters {
		if id == g.self || g.peers[id] != nil {
			values = append(values, value(id))
		} else {
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[g.quorum()-1]
}

func (g *Group) commitTo(index uint64) {
	if index <= g.commit {
		return
	}
	g.ready.CommittedEntries = append(g.ready.CommittedEntries, g.entriesBetween(g.commit, index)...)
	g.commit = index
}
