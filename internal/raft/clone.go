package raft

import (
	"encoding/binary"
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
)

// Clone is a copy that goes its own way, for a model checker to branch with.
// Records, checkpoints and memberships are shared: nothing writes to them once
// they are made.
func (g *Group) Clone(rng Rand) *Group {
	c := *g
	c.rng = rng
	c.log = slices.Clone(g.log)
	c.votes = maps.Clone(g.votes)
	c.roundSentAt = maps.Clone(g.roundSentAt)
	c.pendingReads = slices.Clone(g.pendingReads)
	c.heartbeatResponses = slices.Clone(g.heartbeatResponses)
	if g.peers != nil {
		c.peers = make(map[string]*progress, len(g.peers))
		for id, p := range g.peers {
			c.peers[id] = p.clone()
		}
	}
	c.reassembly.data = slices.Clone(g.reassembly.data)
	c.ready.Messages = slices.Clone(g.ready.Messages)
	c.ready.Changes = slices.Clone(g.ready.Changes)
	c.ready.CommittedEntries = slices.Clone(g.ready.CommittedEntries)
	c.ready.ReadRequests = slices.Clone(g.ready.ReadRequests)
	return &c
}

func (p *progress) clone() *progress {
	copied := *p
	copied.inflight = slices.Clone(p.inflight)
	if p.chunked != nil {
		transfer := *p.chunked
		transfer.payload = slices.Clone(p.chunked.payload)
		copied.chunked = &transfer
	}
	return &copied
}

// Fingerprint appends what decides how the replica goes on. Two replicas with
// one fingerprint behave alike: times count from now, and no further than an
// election's time, beyond which nothing tells them apart. Wall clocks are left
// out, for no decision of the agreement rests on them.
func (g *Group) Fingerprint(now eventloop.Micros, to []byte) []byte {
	number := func(values ...uint64) {
		for _, v := range values {
			to = binary.AppendUvarint(to, v)
		}
	}
	text := func(s string) { number(uint64(len(s))); to = append(to, s...) }
	flag := func(flags ...bool) {
		for _, f := range flags {
			if f {
				to = append(to, 1)
			} else {
				to = append(to, 0)
			}
		}
	}
	span := func(at eventloop.Micros) {
		most := g.timeouts.ElectionMax + 1
		number(uint64(max(-most, min(most, at-now)) + most))
	}
	number(g.chunkedSends, g.term, uint64(g.role), g.snapshot.Index, g.snapshot.Term, g.stable, g.commit, g.applied, g.memberSetIndex, g.hardStateSeq-g.syncedHardStateSeq, g.matchIndex, g.round, g.noOpIndex, uint64(g.bootstrapRoundsLeft))
	text(g.vote)
	text(g.lead)
	text(g.transferee)
	flag(g.justRestarted, g.readOnly, g.reassembly.complete)
	text(g.reassembly.from)
	number(g.reassembly.term, g.reassembly.number, uint64(len(g.reassembly.data)))
	for _, entry := range g.log {
		number(entry.Term)
	}
	span(g.electionDeadline)
	span(g.lastHeard)
	span(g.formerLeaseExpiry)
	for _, id := range slices.Sorted(maps.Keys(g.votes)) {
		text(id)
		flag(g.votes[id])
	}
	if g.role == leader {
		span(g.quorumAckedAt)
		span(g.nextHeartbeat)
		span(g.transferDeadline)
		for _, id := range slices.Sorted(maps.Keys(g.peers)) {
			p := g.peers[id]
			text(id)
			number(p.next, p.match, p.round)
			span(p.lastAdvance)
			flag(p.snapshotPending, p.probing, p.probeSent, p.chunked != nil)
			if t := p.chunked; t != nil {
				number(t.number, t.lastIndex, uint64(t.ackedBytes))
				flag(t.isSnapshot, t.retransmitted)
				span(t.sentAt)
			}
			number(uint64(p.windowBytes), uint64(len(p.inflight)))
			for _, f := range p.inflight {
				number(f.lastIndex, uint64(f.bytes))
				span(f.sentAt)
			}
		}
		for _, r := range slices.Sorted(maps.Keys(g.roundSentAt)) {
			number(r)
			span(g.roundSentAt[r])
		}
		for _, r := range g.pendingReads {
			number(r.request, r.index, r.round)
		}
	}
	return to
}
