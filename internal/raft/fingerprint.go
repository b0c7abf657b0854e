package raft

import (
	"encoding/binary"
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
)

// Fingerprint appends an encoding of the state that determines the replica's further
// behaviour to dst, and returns the extended slice. Two replicas with equal fingerprints
// behave in the same way. Points in time are encoded relative to now and limited to the
// longest election timeout, because differences beyond that have no effect. Wall clocks are
// left out, because no decision of the consensus algorithm depends on them.
func (g *Group) Fingerprint(now eventloop.Micros, dst []byte) []byte {
	f := &fingerprint{data: dst, now: now, maxOffset: g.timeouts.ElectionMax + 1}
	f.numbers(g.lastChunkedSend, g.term, uint64(g.role), g.snapshot.Index, g.snapshot.Term, g.stable, g.commit,
		g.memberSetIndex, g.hardStateSeq-g.syncedHardStateSeq, g.matchIndex, g.round, g.noOpIndex, uint64(g.bootstrapRoundsLeft))
	f.text(g.vote)
	f.text(g.lead)
	f.text(g.transferee)
	f.flags(g.justRestarted, g.readOnly, g.reassembly.complete)
	f.text(g.reassembly.from)
	f.numbers(g.reassembly.term, g.reassembly.number, uint64(len(g.reassembly.data)))
	for _, entry := range g.log {
		f.numbers(entry.Term)
	}
	f.time(g.electionDeadline)
	f.time(g.lastHeard)
	f.time(g.formerLeaseExpiry)
	for _, id := range slices.Sorted(maps.Keys(g.votes)) {
		f.text(id)
		f.flags(g.votes[id])
	}
	if g.role == leader {
		f.leader(g)
	}
	return f.data
}

// fingerprint builds the encoding that Group.Fingerprint returns.
type fingerprint struct {
	data      []byte
	now       eventloop.Micros // the point in time that others are encoded relative to
	maxOffset eventloop.Micros // limit of the distance from now
}

func (f *fingerprint) numbers(values ...uint64) {
	for _, value := range values {
		f.data = binary.AppendUvarint(f.data, value)
	}
}

func (f *fingerprint) text(text string) {
	f.numbers(uint64(len(text)))
	f.data = append(f.data, text...)
}

func (f *fingerprint) flags(flags ...bool) {
	for _, flag := range flags {
		if flag {
			f.data = append(f.data, 1)
		} else {
			f.data = append(f.data, 0)
		}
	}
}

func (f *fingerprint) time(at eventloop.Micros) {
	f.numbers(uint64(max(-f.maxOffset, min(f.maxOffset, at-f.now)) + f.maxOffset))
}

// leader appends the state that only a leader's behaviour depends on.
func (f *fingerprint) leader(g *Group) {
	f.time(g.quorumRoundSentAt)
	f.time(g.nextHeartbeat)
	f.time(g.transferDeadline)
	for _, id := range slices.Sorted(maps.Keys(g.peers)) {
		f.text(id)
		f.progress(g.peers[id])
	}
	for _, round := range slices.Sorted(maps.Keys(g.roundSentAt)) {
		f.numbers(round)
		f.time(g.roundSentAt[round])
	}
	for _, read := range g.pendingReads {
		f.numbers(read.id, read.index, read.round)
	}
}

func (f *fingerprint) progress(p *progress) {
	f.numbers(p.next, p.match, p.round)
	f.time(p.lastAdvance)
	f.flags(p.snapshotPending, p.probing, p.probeSent, p.chunked != nil)
	if chunked := p.chunked; chunked != nil {
		f.numbers(chunked.number, chunked.lastIndex, uint64(chunked.ackedBytes))
		f.flags(chunked.isSnapshot, chunked.retransmitted)
		f.time(chunked.sentAt)
	}
	f.numbers(uint64(p.windowBytes), uint64(len(p.inflight)))
	for _, sent := range p.inflight {
		f.numbers(sent.lastIndex, uint64(sent.bytes))
		f.time(sent.sentAt)
	}
}
