package raft

// Large messages. An Append or InstallSnapshot that exceeds the window of flow control
// is sent in chunks, each when the one before it has been acknowledged.

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// maxReassemblyBytes is the largest message that a replica reassembles.
const maxReassemblyBytes = 64 << 20

// chunkedSend is the leader's side of a message sent in chunks.
type chunkedSend struct {
	number        uint64 // unique within the leader's term
	payload       []byte // the encoded message
	isSnapshot    bool
	lastIndex     uint64 // the peer's match once all of it is synced
	ackedBytes    int
	sentAt        eventloop.Micros // when the chunk in flight was sent
	retransmitted bool             // that chunk was sent before
}

// reassembly is the follower's side.
type reassembly struct {
	from         string
	term, number uint64
	data         []byte // received so far
	complete     bool   // all was received and handled
}

// startChunkedSend encodes a message as it is now; the log goes on meanwhile.
func (g *Group) startChunkedSend(now eventloop.Micros, id string, p *progress, body proto.Message, last uint64) {
	payload, err := proto.Marshal(body)
	if err != nil {
		panic("raft: a message can't be encoded: " + err.Error())
	}
	g.lastChunkedSend++
	_, isSnapshot := body.(*schema.InstallSnapshot)
	p.chunked = &chunkedSend{number: g.lastChunkedSend, payload: payload, isSnapshot: isSnapshot, lastIndex: last}
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

// handleTransferChunkResponse sends the next chunk, but only if the response advances
// the transfer: a duplicate must not double all the chunks that follow.
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

// resumeChunkedSend goes on with a transfer in which nothing has advanced for a while,
// and tells whether one is in progress. A chunk may still be queued at a slow link, so
// it is retransmitted no sooner than that could have ended; after the last one the
// peer gets time to sync the message.
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

// handleTransferChunk reassembles a message; it takes effect only when it is complete.
// What was received is lost with a restart: the leader is asked to start again from
// what is durable here.
func (g *Group) handleTransferChunk(now eventloop.Micros, from string, m *schema.TransferChunk) {
	if !g.acceptLeader(now, from, m.Term) {
		return
	}
	a := &g.reassembly
	isNewSend := a.from != from || a.term != m.Term || a.number < m.Transfer
	switch {
	case !isNewSend && a.number > m.Transfer || m.Size > maxReassemblyBytes:
		return
	case isNewSend && m.Offset > 0:
		g.send(from, &schema.TransferChunkResponse{Group: g.name, Term: g.term, Transfer: m.Transfer, Restart: true})
		return
	case isNewSend:
		*a = reassembly{from: from, term: m.Term, number: m.Transfer}
	}
	if !a.complete && m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, m.Data...)
	}
	received := uint64(len(a.data))
	if a.complete {
		received = m.Size
	}
	g.send(from, &schema.TransferChunkResponse{Group: g.name, Term: g.term, Transfer: m.Transfer, Received: received})
	if a.complete || received < m.Size {
		return
	}
	data := a.data
	a.data, a.complete = nil, true
	g.deliverReassembled(now, from, m.IsSnapshot, data)
}

// deliverReassembled handles a complete message; one that can't be decoded is dropped.
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
