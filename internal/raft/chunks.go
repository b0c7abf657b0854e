package raft

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Heartbeats share their link with the log. So that neither a large record nor a
// checkpoint holds them up for longer than the group can bear, what one replica
// has on its way to the others is bounded by what the slowest link carries in the
// time that a heartbeat may be late: a larger Append or Install is sent in parts,
// each when the one before it is answered.

// maxHeartbeatDelay is how long a heartbeat may wait behind other messages: it and its
// answer must be there before the leader stops acting, and the next comes only an
// interval later. Half an interval is left for the ways and the steps.
func (t Timeouts) maxHeartbeatDelay() eventloop.Micros {
	return t.leaderLease() - t.HeartbeatInterval - t.HeartbeatInterval/2
}

// linkShare is how long what is on its way to one replica may be on the leader's link.
func (g *Group) linkShare() eventloop.Micros {
	return g.timeouts.maxHeartbeatDelay() / eventloop.Micros(max(2, len(g.peers)))
}

// windowBytes is how many bytes may be on their way to a replica: the size of a part,
// and of the records sent beyond what is known matched. It is what the slowest link
// carries in the replica's share, and more where the link has been seen to be faster.
func (g *Group) inflightWindow(p *progress) int {
	return max(p.windowBytes, int(eventloop.SlowestLink*g.linkShare()/eventloop.Second))
}

// maxWindowFactor is how many times the least window one may become. A link that turns
// slow while so much is on its way may cost the leadership, once.
const maxWindowFactor = 4

// adaptWindow learns from how long some bytes took to be answered. What they took beyond
// the way there and back they spent on the link (or at the disk): a window half as
// large again must still fit into the share.
func (g *Group) adaptWindow(p *progress, bytes int, took eventloop.Micros) {
	window, linkTime := g.inflightWindow(p), took-p.minRoundTrip
	switch {
	case p.minRoundTrip == 0 || linkTime > g.linkShare():
		p.windowBytes = 0
	case linkTime <= g.linkShare()/2 && 2*bytes >= window:
		p.windowBytes = min(window+window/2, maxWindowFactor*int(eventloop.SlowestLink*g.linkShare()/eventloop.Second))
	}
}

// maxReassemblyBytes is the largest whole that a replica puts together.
const maxReassemblyBytes = 64 << 20

// inflight is an Append that is on its way.
type inflightAppend struct {
	lastIndex uint64 // its last record
	bytes     int
	sentAt    eventloop.Micros // 0: not to be timed
}

// chunked is the leader's side of an Append or Install sent in parts.
type chunkedSend struct {
	number        uint64
	payload       []byte
	isSnapshot    bool
	lastIndex     uint64 // matched when all of it lasts
	ackedBytes    int    // bytes the replica is known to hold
	sentAt        eventloop.Micros
	retransmitted bool // the part that is on its way was sent before
}

// reassembly is the replica's side.
type reassembly struct {
	from         string
	term, number uint64
	data         []byte
	complete     bool
}

// nextBatch is the records from an index on that go into one Append, and their bytes.
func (g *Group) nextBatch(next uint64, window int) ([]*schema.Entry, int) {
	entries := g.entriesBetween(next-1, min(g.lastIndex(), next+maxEntriesPerAppend-1))
	size := 0
	for k, entry := range entries {
		if size+len(entry.Data) > window && k > 0 {
			return entries[:k], size
		}
		size += len(entry.Data)
	}
	return entries, size
}

// canSend tells whether more records may be sent beyond what is known matched.
func (p *progress) canSend(bytes int) bool {
	for _, sent := range p.inflight {
		bytes -= sent.bytes
	}
	return p.next <= p.match+maxInflightEntries && bytes > 0
}

// ackInflight notes that the replica holds the log up to an index.
func (g *Group) ackInflight(now eventloop.Micros, p *progress, match uint64) {
	for len(p.inflight) > 0 && p.inflight[0].lastIndex <= match {
		if first := p.inflight[0]; first.sentAt > 0 {
			g.adaptWindow(p, first.bytes, now-first.sentAt)
		}
		p.inflight = p.inflight[1:]
	}
	if p.chunked != nil && p.chunked.lastIndex <= match {
		p.chunked = nil
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
	sent := inflightAppend{last, size, now}
	if p.probing {
		sent.sentAt = 0
	}
	p.inflight = append(p.inflight, sent)
	g.send(id, body)
}

func (g *Group) sendSnapshot(now eventloop.Micros, id string, p *progress) {
	body := &schema.InstallSnapshot{Group: g.name, Term: g.term, Snapshot: g.snapshot}
	if len(g.snapshot.Data) > g.inflightWindow(p) {
		g.startChunkedSend(now, id, p, body, g.snapshot.Index)
		return
	}
	g.send(id, body)
}

// startChunkedSend starts a transfer. What is sent stays as it is now, though the log goes on.
func (g *Group) startChunkedSend(now eventloop.Micros, id string, p *progress, body proto.Message, last uint64) {
	payload, err := proto.Marshal(body)
	if err != nil {
		panic("raft: a message can't be encoded: " + err.Error())
	}
	g.chunkedSends++
	_, isInstall := body.(*schema.InstallSnapshot)
	p.chunked = &chunkedSend{number: g.chunkedSends, payload: payload, isSnapshot: isInstall, lastIndex: last}
	g.sendChunk(now, id, p)
}

func (g *Group) sendChunk(now eventloop.Micros, id string, p *progress) {
	t := p.chunked
	t.sentAt = now
	end := min(t.ackedBytes+g.inflightWindow(p), len(t.payload))
	g.send(id, &schema.TransferChunk{
		Group: g.name, Term: g.term, Transfer: t.number, Offset: uint64(t.ackedBytes), Size: uint64(len(t.payload)),
		IsSnapshot: t.isSnapshot, Data: t.payload[t.ackedBytes:end],
	})
}

// handleTransferChunkResponse sends the next part. Only progress does: a reply that came twice
// must not have every later part sent twice.
func (g *Group) handleTransferChunkResponse(now eventloop.Micros, from string, m *schema.TransferChunkResponse) {
	p := g.acceptResponse(now, from, m.Term)
	if p == nil || p.chunked == nil || p.chunked.number != m.Transfer {
		return
	}
	t := p.chunked
	switch {
	case m.Restart:
		p.snapshotPending = false
		g.probe(now, from, p, p.match+1)
	case int(m.Received) > t.ackedBytes && int(m.Received) <= len(t.payload):
		if !t.retransmitted {
			g.adaptWindow(p, int(m.Received)-t.ackedBytes, now-t.sentAt)
		}
		t.ackedBytes, t.sentAt, t.retransmitted, p.lastAdvance = int(m.Received), now, false, now
		if t.ackedBytes < len(t.payload) {
			g.sendChunk(now, from, p)
		}
	}
}

// resumeChunkedSend goes on with a transfer in which nothing has moved for a while, and
// tells whether there is one. A part may still be waiting at a slow link, so it
// is sent again no sooner than that could be over; and a whole that has arrived
// may take its time to be synced.
func (g *Group) resumeChunkedSend(now eventloop.Micros, id string, p *progress) bool {
	t := p.chunked
	switch {
	case t == nil:
		return false
	case t.ackedBytes < len(t.payload):
		if now-t.sentAt > g.timeouts.ElectionMin {
			t.retransmitted, p.windowBytes = true, 0
			g.sendChunk(now, id, p)
		}
		return true
	default:
		return now-t.sentAt <= 4*g.timeouts.ElectionMax
	}
}

// handleTransferChunk puts together what a leader sends in parts. Nothing of it counts before
// the whole is there; what was held is lost with a restart, and then the leader
// starts again from what is durable.
func (g *Group) handleTransferChunk(now eventloop.Micros, from string, m *schema.TransferChunk) {
	if !g.acceptLeader(now, from, m.Term) {
		g.send(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	a := &g.reassembly
	isNewSend := a.from != from || a.term != m.Term || a.number < m.Transfer
	switch {
	case !isNewSend && a.number > m.Transfer || m.Size > maxReassemblyBytes:
		return // late
	case isNewSend && m.Offset > 0:
		g.send(from, &schema.TransferChunkResponse{Group: g.name, Term: g.term, Transfer: m.Transfer, Restart: true})
		return
	case isNewSend:
		*a = reassembly{from: from, term: m.Term, number: m.Transfer}
	}
	if !a.complete && m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, m.Data...)
	}
	held := uint64(len(a.data))
	if a.complete {
		held = m.Size
	}
	g.send(from, &schema.TransferChunkResponse{Group: g.name, Term: g.term, Transfer: m.Transfer, Received: held})
	if a.complete || held < m.Size {
		return
	}
	data := a.data
	a.data, a.complete = nil, true
	g.deliverReassembled(now, from, m.IsSnapshot, data)
}

func (g *Group) deliverReassembled(now eventloop.Micros, from string, isSnapshot bool, data []byte) {
	if isSnapshot {
		message := &schema.InstallSnapshot{}
		if proto.Unmarshal(data, message) == nil && message.Snapshot != nil {
			g.handleInstallSnapshot(now, from, message)
		}
		return
	}
	message := &schema.AppendRequest{}
	if proto.Unmarshal(data, message) == nil {
		g.handleAppendRequest(now, from, message)
	}
}
