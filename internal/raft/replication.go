package raft

// Replication: appends, heartbeats, and what of them is committed.

import (
	"slices"
	"sort"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

type progress struct {
	next, match uint64
	round       uint64
	moved       eventloop.Micros // last time match or next went on
	installing  bool
	probing     bool             // it turned records away: one Append at a time until it takes one
	probed      bool             // and that one is on its way
	wall        int64            // the replica's wall clock, less our monotonic one
	heard       eventloop.Micros // last answer of any kind
	transfer    *transfer        // what is on its way in parts; nothing else is sent meanwhile
	flight      []flight         // Appends sent beyond what is known matched
	window      int              // bytes that may be on their way, where more than the least
	roundTrip   eventloop.Micros // the shortest time in which a beat was answered; 0: none was
}

// reply is when a beat was answered.
type reply struct {
	round uint64
	at    eventloop.Micros
}

func (g *Group) beat(now eventloop.Micros) {
	g.nextBeat = now + g.times.Beat
	g.round++
	g.rounds[g.round] = now
	for _, id := range g.others() {
		g.post(id, &schema.Heartbeat{
			Group: g.name, Term: g.term, Commit: g.commit, CommitTerm: g.termAt(g.commit), Round: g.round, CommitConfirmed: g.commit >= g.first, WallOffsetUs: g.wallOffset,
			AckedRound: g.peers[id].round,
		})
	}
	g.countRounds(now)
}

func (g *Group) others() []string {
	var list []string
	for _, id := range append(append([]string(nil), g.memberSet.Voters...), g.memberSet.Learners...) {
		if id != g.self {
			list = append(list, id)
		}
	}
	return list
}

// syncPeers makes the peers those of the member set. The record at next is what a new
// one is sent first: it must exist soon, or the peer would hear of its group with the
// next record only, and a group at rest may never have one.
func (g *Group) syncPeers(now eventloop.Micros, next uint64) {
	for _, id := range g.others() {
		if g.peers[id] == nil {
			// Nothing is known of its log yet: one Append asks whether it is ours.
			g.peers[id] = &progress{next: next, moved: now, probing: true}
		}
	}
	for id := range g.peers {
		if !g.isVoter(id) && !slices.Contains(g.memberSet.Learners, id) {
			delete(g.peers, id)
		}
	}
}

func (g *Group) add(now eventloop.Micros, record *schema.Entry) uint64 {
	record.Index, record.Term, record.TimeUs = g.lastIndex()+1, g.term, g.GroupTime(now)
	g.put([]*schema.Entry{record})
	if record.Kind == schema.EntryKind_ENTRY_MEMBER_SET {
		g.dismiss(now)
		g.syncPeers(now, record.Index)
	}
	for _, id := range g.others() {
		g.feed(now, id)
	}
	g.advance(now)
	return record.Index
}

// Propose appends a command; its index and term tell it apart when applied.
func (g *Group) Propose(now eventloop.Micros, data []byte) (index, term uint64, err error) {
	if g.role != leader {
		return 0, 0, NotLeader.New("%s is led by %q", g.name, g.lead)
	}
	if g.passTo != "" {
		return 0, 0, Busy.New("%s is being handed over", g.name)
	}
	return g.add(now, &schema.Entry{Kind: schema.EntryKind_ENTRY_COMMAND, Data: data}), g.term, nil
}

// Announce tells at once what is committed, rather than with the next beat or record.
func (g *Group) Announce(now eventloop.Micros) {
	if g.role == leader {
		g.beat(now)
	}
}

// Synced says that a batch with this mark lasts.
func (g *Group) Synced(now eventloop.Micros, mark Mark) {
	if mark.Hard > g.hardDone {
		g.hardDone = mark.Hard
		g.countVotes(now)
	}
	// The record may have been replaced since: the same index in another term
	// isn't the record that was synced.
	if mark.Index > g.stable && mark.Index >= g.base.Index && g.termAt(mark.Index) == mark.Term {
		g.stable = mark.Index
		if g.role == leader {
			g.advance(now)
		} else if g.lead != "" && g.matched > 0 {
			g.acknowledge(g.lead)
		}
	}
}

func (g *Group) acknowledge(to string) {
	g.post(to, &schema.AppendResponse{Group: g.name, Term: g.term, Match: min(g.matched, g.stable)})
}

// led notes word of a term's leader and tells whether it is to be heeded.
func (g *Group) led(now eventloop.Micros, from string, term uint64) bool {
	if term < g.term {
		return false
	}
	if term > g.term || g.role != follower || g.lead != from {
		g.follow(now, term, from)
	}
	g.heard = now
	g.resetDeadline(now)
	return true
}

func (g *Group) onAppend(now eventloop.Micros, from string, m *schema.AppendRequest) {
	if !g.led(now, from, m.Term) {
		g.post(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	prev, prevTerm, records := m.PrevIndex, m.PrevTerm, m.Entries
	// What lies under our base is committed, so it is the leader's too.
	for prev < g.base.Index && len(records) > 0 && records[0].Index <= g.base.Index {
		prev, prevTerm, records = records[0].Index, records[0].Term, records[1:]
	}
	if prev < g.base.Index {
		g.matched = max(g.matched, g.base.Index)
		g.acknowledge(from)
		return
	}
	if prev > g.lastIndex() || g.termAt(prev) != prevTerm {
		g.post(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true, Hint: min(g.lastIndex(), prev-1), PrevIndex: m.PrevIndex})
		return
	}
	isNew := false
	for k, record := range records {
		if record.Index > g.lastIndex() || g.termAt(record.Index) != record.Term {
			g.put(records[k:])
			isNew = true
			break
		}
	}
	g.matched = max(g.matched, prev+uint64(len(records)))
	g.commitTo(min(m.Commit, g.matched))
	if !isNew {
		g.acknowledge(from)
	}
}

func (g *Group) onBeat(now eventloop.Micros, from string, m *schema.Heartbeat) {
	if !g.led(now, from, m.Term) {
		g.post(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	// After a restart nothing is known of how far our log is the leader's, and in a
	// quiet group no Append comes to tell.
	if m.CommitTerm > 0 && m.Commit <= g.lastIndex() && g.termAt(m.Commit) == m.CommitTerm {
		g.matched = max(g.matched, m.Commit)
	}
	g.commitTo(min(m.Commit, g.matched))
	if m.WallOffsetUs != 0 {
		g.wallOffset = m.WallOffsetUs
	}
	// A beat may have lain in a buffer for any time, ours while we were frozen, or
	// the wire's. It is only surely younger than the reply of ours it has heard.
	for _, each := range g.replies {
		if m.CommitConfirmed && g.applied >= m.Commit && each.round == m.AckedRound {
			g.caught = max(g.caught, each.at)
		}
	}
	g.replies = append(g.replies, reply{m.Round, now})
	if len(g.replies) > keptReplies {
		g.replies = g.replies[1:]
	}
	g.post(from, &schema.HeartbeatResponse{Group: g.name, Term: g.term, Round: m.Round, Match: min(g.matched, g.stable)})
}

func (g *Group) commitTo(index uint64) {
	if index <= g.commit {
		return
	}
	g.commit = index
	g.out.Commits = append(g.out.Commits, g.between(g.applied, g.commit)...)
	g.applied = g.commit
}

func (g *Group) feed(now eventloop.Micros, id string) {
	p := g.peers[id]
	if p == nil || p.installing || p.transfer != nil {
		return
	}
	if p.next <= g.base.Index {
		p.installing, p.moved = true, now
		g.sendInstall(now, id, p)
		return
	}
	if p.probing && p.probed {
		return
	}
	if p.next == 1 && p.match == 0 {
		// The first member set stands in no record: a founder that hears of its group
		// before it has founded it itself would never know who votes.
		g.post(id, &schema.InstallSnapshot{Group: g.name, Term: g.term, Snapshot: g.base})
	}
	// Where nothing is known to match, the end of a long log lies further away
	// than that, and a probe is a single Append anyway.
	for p.next <= g.lastIndex() && (p.probing || p.hasRoom(g.window(p))) {
		records, size := g.batch(p.next, g.window(p))
		g.sendAppend(now, id, p, records, size)
		p.moved = now
		if p.probing {
			p.probed = true
			return
		}
		p.next += uint64(len(records))
		if p.transfer != nil {
			return
		}
	}
}

// probe goes back to a place and sends from there one Append alone.
func (g *Group) probe(now eventloop.Micros, id string, p *progress, next uint64) {
	p.next, p.probing, p.probed = next, true, false
	p.transfer, p.flight = nil, nil
	g.feed(now, id)
}

func (g *Group) heardFrom(now eventloop.Micros, from string, term uint64) *progress {
	if term > g.term {
		g.follow(now, term, "")
		return nil
	}
	if g.role != leader || term < g.term {
		return nil
	}
	p := g.peers[from]
	if p != nil {
		p.heard = now
	}
	return p
}

func (g *Group) onAppendReply(now eventloop.Micros, from string, m *schema.AppendResponse) {
	p := g.heardFrom(now, from, m.Term)
	if p == nil {
		return
	}
	if m.Rejected {
		// Of all that were on their way only the first refusal counts: were each
		// answered with all that follows, every one would be refused anew, and
		// the more so the more there are.
		isStale := m.PrevIndex <= p.match || p.probing && m.PrevIndex != p.next-1
		if !isStale {
			p.installing = false
			g.probe(now, from, p, max(min(m.Hint+1, m.PrevIndex), p.match+1))
		}
		return
	}
	if m.Match+1 >= p.next {
		p.probing = false
	}
	g.progressed(now, from, p, m.Match)
}

func (g *Group) progressed(now eventloop.Micros, from string, p *progress, match uint64) {
	if match > p.match {
		p.match, p.moved = match, now
		p.next = max(p.next, match+1)
		p.probing = false
		if p.installing && match >= g.base.Index {
			p.installing = false
		}
		g.arrived(now, p, match)
		g.advance(now)
		g.tryPass()
	}
	if g.role == leader {
		g.feed(now, from)
	}
}

func (g *Group) onBeatReply(now eventloop.Micros, from string, m *schema.HeartbeatResponse) {
	p := g.heardFrom(now, from, m.Term)
	if p == nil {
		return
	}
	p.round = max(p.round, m.Round)
	if sent, isOpen := g.rounds[m.Round]; isOpen && (p.roundTrip == 0 || now-sent < p.roundTrip) {
		p.roundTrip = max(now-sent, 1)
	}
	p.wall = m.WallUs - int64(now)
	g.progressed(now, from, p, m.Match)
	// Nothing moved for two beats though something is outstanding: it was lost
	// on the way, so go back to what is known.
	if p.match < g.lastIndex() && now-p.moved > 2*g.times.Beat && !g.resume(now, from, p) {
		if now-p.moved > g.times.ElectionLeast {
			p.installing = false
		}
		// A probe that was lost is made again where it was: from what is known,
		// which may be nothing, all of a long log would go out once more.
		next := p.match + 1
		if p.probing {
			next = max(next, min(p.next, g.lastIndex()))
		}
		g.probe(now, from, p, next)
	}
	g.countRounds(now)
}

func (g *Group) countRounds(now eventloop.Micros) {
	round := g.nth(func(id string) uint64 {
		if id == g.self {
			return g.round
		}
		return g.peers[id].round
	})
	if sent, known := g.rounds[round]; known {
		g.quorumAt = max(g.quorumAt, sent)
		for old := range g.rounds {
			if old < round {
				delete(g.rounds, old)
			}
		}
	}
	k := 0
	for ; k < len(g.reads) && g.reads[k].round <= round; k++ {
		g.out.Reads = append(g.out.Reads, g.reads[k].request)
	}
	g.reads = g.reads[k:]
}

// nth is the greatest value that a quorum of voters has reached.
func (g *Group) nth(value func(id string) uint64) uint64 {
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

func (g *Group) advance(now eventloop.Micros) {
	if g.role != leader {
		return
	}
	index := g.nth(func(id string) uint64 {
		if id == g.self {
			return g.stable
		}
		return g.peers[id].match
	})
	// Only a record of this term proves the ones under it.
	if index > g.commit && g.termAt(index) == g.term {
		g.commitTo(index)
		// A leader that has been voted out stays until that is committed.
		if g.memberSetAt <= g.commit && !g.isVoter(g.self) {
			g.follow(now, g.term, "")
		}
	}
}
