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
func (g *Group) Clone(rng Source) *Group {
	c := *g
	c.rng = rng
	c.log = slices.Clone(g.log)
	c.votes = maps.Clone(g.votes)
	c.rounds = maps.Clone(g.rounds)
	c.reads = slices.Clone(g.reads)
	c.replies = slices.Clone(g.replies)
	if g.peers != nil {
		c.peers = make(map[string]*progress, len(g.peers))
		for id, p := range g.peers {
			c.peers[id] = p.clone()
		}
	}
	c.assembly.data = slices.Clone(g.assembly.data)
	c.out.Posts = slices.Clone(g.out.Posts)
	c.out.Changes = slices.Clone(g.out.Changes)
	c.out.Commits = slices.Clone(g.out.Commits)
	c.out.Reads = slices.Clone(g.out.Reads)
	return &c
}

func (p *progress) clone() *progress {
	copied := *p
	copied.flight = slices.Clone(p.flight)
	if p.transfer != nil {
		transfer := *p.transfer
		transfer.payload = slices.Clone(p.transfer.payload)
		copied.transfer = &transfer
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
		most := g.times.ElectionMost + 1
		number(uint64(max(-most, min(most, at-now)) + most))
	}
	number(g.transfers, g.term, uint64(g.role), g.base.Index, g.base.Term, g.stable, g.commit, g.applied, g.memberSetAt, g.hardSeq-g.hardDone, g.matched, g.round, g.first, uint64(g.calls))
	text(g.vote)
	text(g.lead)
	text(g.passTo)
	flag(g.isYoung, g.isReadOnly, g.assembly.isDone)
	text(g.assembly.from)
	number(g.assembly.term, g.assembly.number, uint64(len(g.assembly.data)))
	for _, record := range g.log {
		number(record.Term)
	}
	span(g.deadline)
	span(g.heard)
	span(g.boundUntil)
	for _, id := range slices.Sorted(maps.Keys(g.votes)) {
		text(id)
		flag(g.votes[id])
	}
	if g.role == leader {
		span(g.quorumAt)
		span(g.nextBeat)
		span(g.passUntil)
		for _, id := range slices.Sorted(maps.Keys(g.peers)) {
			p := g.peers[id]
			text(id)
			number(p.next, p.match, p.round)
			span(p.moved)
			flag(p.installing, p.probing, p.probed, p.transfer != nil)
			if t := p.transfer; t != nil {
				number(t.number, t.last, uint64(t.held))
				flag(t.isInstall, t.isAgain)
				span(t.sentAt)
			}
			number(uint64(p.window), uint64(len(p.flight)))
			for _, f := range p.flight {
				number(f.last, uint64(f.bytes))
				span(f.sentAt)
			}
		}
		for _, r := range slices.Sorted(maps.Keys(g.rounds)) {
			number(r)
			span(g.rounds[r])
		}
		for _, r := range g.reads {
			number(r.request, r.index, r.round)
		}
	}
	return to
}
