package raft

// Replication: appends, heartbeats, and what of them is committed.

import (
	"slices"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

type progress struct {
	next, match     uint64
	round           uint64
	lastAdvance     eventloop.Micros // last time match or next went on
	snapshotPending bool
	probing         bool             // it turned records away: one Append at a time until it takes one
	probeSent       bool             // and that one is on its way
	wallOffset      int64            // the replica's wall clock, less our monotonic one
	lastHeard       eventloop.Micros // last answer of any kind
	chunked         *chunkedSend     // what is on its way in parts; nothing else is sent meanwhile
	inflight        []inflightAppend // Appends sent beyond what is known matched
	windowBytes     int              // bytes that may be on their way, where more than the least
	minRoundTrip    eventloop.Micros // the shortest time in which a beat was answered; 0: none was
}

// heartbeatResponse is when a beat was answered.
type heartbeatResponse struct {
	round      uint64
	receivedAt eventloop.Micros
}

func (g *Group) broadcastHeartbeat(now eventloop.Micros) {
	g.nextHeartbeat = now + g.timeouts.HeartbeatInterval
	g.round++
	g.roundSentAt[g.round] = now
	for _, id := range g.otherMembers() {
		g.send(id, &schema.Heartbeat{
			Group: g.name, Term: g.term, Commit: g.commit, CommitTerm: g.termAt(g.commit), Round: g.round, CommitConfirmed: g.commit >= g.noOpIndex, WallOffsetUs: g.wallOffset,
			AckedRound: g.peers[id].round,
		})
	}
	g.confirmRounds(now)
}

func (g *Group) otherMembers() []string {
	var list []string
	for _, id := range append(append([]string(nil), g.memberSet.Voters...), g.memberSet.Learners...) {
		if id != g.self {
			list = append(list, id)
		}
	}
	return list
}

// updatePeers makes the peers those of the member set. The record at next is what a new
// one is sent first: it must exist soon, or the peer would hear of its group with the
// next record only, and a group at rest may never have one.
func (g *Group) updatePeers(now eventloop.Micros, next uint64) {
	for _, id := range g.otherMembers() {
		if g.peers[id] == nil {
			// Nothing is known of its log yet: one Append asks whether it is ours.
			g.peers[id] = &progress{next: next, lastAdvance: now, probing: true}
		}
	}
	for id := range g.peers {
		if !g.isVoter(id) && !slices.Contains(g.memberSet.Learners, id) {
			delete(g.peers, id)
		}
	}
}

func (g *Group) appendEntry(now eventloop.Micros, entry *schema.Entry) uint64 {
	entry.Index, entry.Term, entry.TimeUs = g.lastIndex()+1, g.term, g.GroupTime(now)
	g.truncateAndAppend([]*schema.Entry{entry})
	if entry.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
		g.notifyRemoved(now)
		g.updatePeers(now, entry.Index)
	}
	for _, id := range g.otherMembers() {
		g.replicateTo(now, id)
	}
	g.maybeCommit(now)
	return entry.Index
}

// Propose appends a command; its index and term tell it apart when applied.
func (g *Group) Propose(now eventloop.Micros, data []byte) (index, term uint64, err error) {
	if g.role != leader {
		return 0, 0, NotLeader.New("%s is led by %q", g.name, g.lead)
	}
	if g.transferee != "" {
		return 0, 0, Busy.New("%s is being handed over", g.name)
	}
	return g.appendEntry(now, &schema.Entry{Kind: schema.EntryKind_ENTRY_COMMAND, Data: data}), g.term, nil
}

// BroadcastCommit tells at once what is committed, rather than with the next beat or record.
func (g *Group) BroadcastCommit(now eventloop.Micros) {
	if g.role == leader {
		g.broadcastHeartbeat(now)
	}
}

// MarkSynced says that a batch with this mark lasts.
func (g *Group) MarkSynced(now eventloop.Micros, point SyncPoint) {
	if point.HardStateSeq > g.syncedHardStateSeq {
		g.syncedHardStateSeq = point.HardStateSeq
		g.countVotes(now)
	}
	// The record may have been replaced since: the same index in another term
	// isn't the record that was synced.
	if point.Index > g.stable && point.Index >= g.snapshot.Index && g.termAt(point.Index) == point.Term {
		g.stable = point.Index
		if g.role == leader {
			g.maybeCommit(now)
		} else if g.lead != "" && g.matchIndex > 0 {
			g.acknowledge(g.lead)
		}
	}
}

func (g *Group) acknowledge(to string) {
	g.send(to, &schema.AppendResponse{Group: g.name, Term: g.term, Match: min(g.matchIndex, g.stable)})
}

// acceptLeader notes word of a term's leader and tells whether it is to be heeded.
func (g *Group) acceptLeader(now eventloop.Micros, from string, term uint64) bool {
	if term < g.term {
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
		g.send(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	prev, prevTerm, entries := m.PrevIndex, m.PrevTerm, m.Entries
	// What lies under our base is committed, so it is the leader's too.
	for prev < g.snapshot.Index && len(entries) > 0 && entries[0].Index <= g.snapshot.Index {
		prev, prevTerm, entries = entries[0].Index, entries[0].Term, entries[1:]
	}
	if prev < g.snapshot.Index {
		g.matchIndex = max(g.matchIndex, g.snapshot.Index)
		g.acknowledge(from)
		return
	}
	if prev > g.lastIndex() || g.termAt(prev) != prevTerm {
		g.send(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true, Hint: min(g.lastIndex(), prev-1), PrevIndex: m.PrevIndex})
		return
	}
	appended := false
	for k, entry := range entries {
		if entry.Index > g.lastIndex() || g.termAt(entry.Index) != entry.Term {
			g.truncateAndAppend(entries[k:])
			appended = true
			break
		}
	}
	g.matchIndex = max(g.matchIndex, prev+uint64(len(entries)))
	g.commitTo(min(m.Commit, g.matchIndex))
	if !appended {
		g.acknowledge(from)
	}
}

func (g *Group) handleHeartbeat(now eventloop.Micros, from string, m *schema.Heartbeat) {
	if !g.acceptLeader(now, from, m.Term) {
		g.send(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	// After a restart nothing is known of how far our log is the leader's, and in a
	// quiet group no Append comes to tell.
	if m.CommitTerm > 0 && m.Commit <= g.lastIndex() && g.termAt(m.Commit) == m.CommitTerm {
		g.matchIndex = max(g.matchIndex, m.Commit)
	}
	g.commitTo(min(m.Commit, g.matchIndex))
	if m.WallOffsetUs != 0 {
		g.wallOffset = m.WallOffsetUs
	}
	// A beat may have lain in a buffer for any time, ours while we were frozen, or
	// the wire's. It is only surely younger than the reply of ours it has heard.
	for _, reply := range g.heartbeatResponses {
		if m.CommitConfirmed && g.applied >= m.Commit && reply.round == m.AckedRound {
			g.freshAsOf = max(g.freshAsOf, reply.receivedAt)
		}
	}
	g.heartbeatResponses = append(g.heartbeatResponses, heartbeatResponse{m.Round, now})
	if len(g.heartbeatResponses) > maxHeartbeatResponses {
		g.heartbeatResponses = g.heartbeatResponses[1:]
	}
	g.send(from, &schema.HeartbeatResponse{Group: g.name, Term: g.term, Round: m.Round, Match: min(g.matchIndex, g.stable)})
}

func (g *Group) commitTo(index uint64) {
	if index <= g.commit {
		return
	}
	g.commit = index
	g.ready.CommittedEntries = append(g.ready.CommittedEntries, g.entriesBetween(g.applied, g.commit)...)
	g.applied = g.commit
}

func (g *Group) replicateTo(now eventloop.Micros, id string) {
	p := g.peers[id]
	if p == nil || p.snapshotPending || p.chunked != nil {
		return
	}
	if p.next <= g.snapshot.Index {
		p.snapshotPending, p.lastAdvance = true, now
		g.sendSnapshot(now, id, p)
		return
	}
	if p.probing && p.probeSent {
		return
	}
	if p.next == 1 && p.match == 0 {
		// The first member set stands in no record: a founder that hears of its group
		// before it has founded it itself would never know who votes.
		g.send(id, &schema.InstallSnapshot{Group: g.name, Term: g.term, Snapshot: g.snapshot})
	}
	// Where nothing is known to match, the end of a long log lies further away
	// than that, and a probe is a single Append anyway.
	for p.next <= g.lastIndex() && (p.probing || p.canSend(g.inflightWindow(p))) {
		entries, size := g.nextBatch(p.next, g.inflightWindow(p))
		g.sendAppend(now, id, p, entries, size)
		p.lastAdvance = now
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

// probe goes back to a place and sends from there one Append alone.
func (g *Group) probe(now eventloop.Micros, id string, p *progress, next uint64) {
	p.next, p.probing, p.probeSent = next, true, false
	p.chunked, p.inflight = nil, nil
	g.replicateTo(now, id)
}

func (g *Group) acceptResponse(now eventloop.Micros, from string, term uint64) *progress {
	if term > g.term {
		g.becomeFollower(now, term, "")
		return nil
	}
	if g.role != leader || term < g.term {
		return nil
	}
	p := g.peers[from]
	if p != nil {
		p.lastHeard = now
	}
	return p
}

func (g *Group) handleAppendResponse(now eventloop.Micros, from string, m *schema.AppendResponse) {
	p := g.acceptResponse(now, from, m.Term)
	if p == nil {
		return
	}
	if m.Rejected {
		// Of all that were on their way only the first refusal counts: were each
		// answered with all that follows, every one would be refused anew, and
		// the more so the more there are.
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

func (g *Group) advanceMatch(now eventloop.Micros, from string, p *progress, match uint64) {
	if match > p.match {
		p.match, p.lastAdvance = match, now
		p.next = max(p.next, match+1)
		p.probing = false
		if p.snapshotPending && match >= g.snapshot.Index {
			p.snapshotPending = false
		}
		g.ackInflight(now, p, match)
		g.maybeCommit(now)
		g.trySendTimeoutNow()
	}
	if g.role == leader {
		g.replicateTo(now, from)
	}
}

func (g *Group) handleHeartbeatResponse(now eventloop.Micros, from string, m *schema.HeartbeatResponse) {
	p := g.acceptResponse(now, from, m.Term)
	if p == nil {
		return
	}
	p.round = max(p.round, m.Round)
	if sent, open := g.roundSentAt[m.Round]; open && (p.minRoundTrip == 0 || now-sent < p.minRoundTrip) {
		p.minRoundTrip = max(now-sent, 1)
	}
	p.wallOffset = m.WallUs - int64(now)
	g.advanceMatch(now, from, p, m.Match)
	// Nothing moved for two beats though something is outstanding: it was lost
	// on the way, so go back to what is known.
	if p.match < g.lastIndex() && now-p.lastAdvance > 2*g.timeouts.HeartbeatInterval && !g.resumeChunkedSend(now, from, p) {
		if now-p.lastAdvance > g.timeouts.ElectionMin {
			p.snapshotPending = false
		}
		// A probe that was lost is made again where it was: from what is known,
		// which may be nothing, all of a long log would go out once more.
		next := p.match + 1
		if p.probing {
			next = max(next, min(p.next, g.lastIndex()))
		}
		g.probe(now, from, p, next)
	}
	g.confirmRounds(now)
}

func (g *Group) confirmRounds(now eventloop.Micros) {
	round := g.quorumValue(func(id string) uint64 {
		if id == g.self {
			return g.round
		}
		return g.peers[id].round
	})
	if sent, known := g.roundSentAt[round]; known {
		g.quorumAckedAt = max(g.quorumAckedAt, sent)
		for old := range g.roundSentAt {
			if old < round {
				delete(g.roundSentAt, old)
			}
		}
	}
	k := 0
	for ; k < len(g.pendingReads) && g.pendingReads[k].round <= round; k++ {
		g.ready.ReadRequests = append(g.ready.ReadRequests, g.pendingReads[k].request)
	}
	g.pendingReads = g.pendingReads[k:]
}

// quorumValue is the greatest value that a quorum of voters has reached.
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
	// Only a record of this term proves the ones under it.
	if index > g.commit && g.termAt(index) == g.term {
		g.commitTo(index)
		// A leader that has been voted out stays until that is committed.
		if g.memberSetIndex <= g.commit && !g.isVoter(g.self) {
			g.becomeFollower(now, g.term, "")
		}
	}
}
