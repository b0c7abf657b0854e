package raft

// This file implements large messages. An Append or InstallSnapshot that exceeds the
// flow-control window is sent in chunks; each chunk is sent once the previous one has been
// acknowledged.

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// maxReassemblyBytes is the size of the largest message that a replica reassembles.
const maxReassemblyBytes = 64 << 20

// chunkedSend tracks, on the leader, a message that is being sent in chunks.
type chunkedSend struct {
	number        uint64 // identifies the message; unique within the leader's term
	payload       []byte // the encoded message
	isSnapshot    bool
	lastIndex     uint64           // the peer's match index once it has synced the whole message
	ackedBytes    int              // number of bytes that the peer has acknowledged
	sentAt        eventloop.Micros // when the chunk in flight was sent
	retransmitted bool             // the chunk in flight was sent more than once
}

// reassembly tracks, on the follower, a message that is being received in chunks.
type reassembly struct {
	from         string
	term, number uint64 // the leader's term; the number of the chunkedSend
	data         []byte // bytes received so far
	complete     bool   // the whole message was received and handled
}

// startChunkedSend encodes a message and sends its first chunk. The message keeps its
// present content, even if the log grows or is compacted while the chunks are sent. The
// parameter last is the peer's match index once it has synced the message.
func (g *Group) startChunkedSend(now eventloop.Micros, id string, p *progress, body proto.Message, last uint64) {
	payload, err := proto.Marshal(body)
	if err != nil {
		panic("raft: encoding a large message failed: " + err.Error())
	}
	g.lastChunkedSend++
	_, isSnapshot := body.(*schema.InstallSnapshot)
	p.chunked = &chunkedSend{number: g.lastChunkedSend, payload: payload, isSnapshot: isSnapshot, lastIndex: last}
	g.sendChunk(now, id, p)
}

func (g *Group) sendChunk(now eventloop.Micros, id string, p *progress) {
	chunked := p.chunked
	chunked.sentAt = now
	end := min(chunked.ackedBytes+g.inflightWindow(p), len(chunked.payload))
	g.send(id, &schema.TransferChunk{
		Group: g.name, Term: g.term, Transfer: chunked.number, Offset: uint64(chunked.ackedBytes), Size: uint64(len(chunked.payload)),
		IsSnapshot: chunked.isSnapshot, Data: chunked.payload[chunked.ackedBytes:end],
	})
}

// handleTransferChunkResponse sends the next chunk if the response acknowledges more bytes
// than all earlier responses. A duplicate of a response is ignored; otherwise every following
// chunk would be sent twice.
func (g *Group) handleTransferChunkResponse(now eventloop.Micros, from string, m *schema.TransferChunkResponse) {
	p := g.acceptResponse(now, from, m.Term)
	if p == nil || p.chunked == nil || p.chunked.number != m.Transfer {
		return
	}
	chunked := p.chunked
	switch {
	case m.Restart:
		p.snapshotPending = false
		g.probe(now, from, p, p.match+1)
	case int(m.Received) > chunked.ackedBytes && int(m.Received) <= len(chunked.payload):
		if !chunked.retransmitted {
			g.adaptWindow(p, int(m.Received)-chunked.ackedBytes, now-chunked.sentAt)
		}
		chunked.ackedBytes, chunked.sentAt, chunked.retransmitted, p.lastAdvance = int(m.Received), now, false, now
		if chunked.ackedBytes < len(chunked.payload) {
			g.sendChunk(now, from, p)
		}
	}
}

// resumeChunkedSend retransmits the chunk in flight if the peer hasn't acknowledged it
// for the shortest election timeout, since before that it may still be queued on a slow
// link. It reports whether a chunked send is in progress. Once all chunks are acknowledged,
// the peer has four times the longest election timeout to sync the message; after that the
// send counts as failed.
func (g *Group) resumeChunkedSend(now eventloop.Micros, id string, p *progress) bool {
	chunked := p.chunked
	switch {
	case chunked == nil:
		return false
	case chunked.ackedBytes < len(chunked.payload):
		if now-chunked.sentAt > g.timeouts.ElectionMin {
			chunked.retransmitted, p.windowBytes = true, 0
			g.sendChunk(now, id, p)
		}
		return true
	default:
		return now-chunked.sentAt <= 4*g.timeouts.ElectionMax
	}
}

// handleTransferChunk adds a chunk to the message being reassembled, and handles the
// message once it is complete. If this replica has lost the first chunks in a restart, it
// asks the leader to start again from the state that is durable here.
func (g *Group) handleTransferChunk(now eventloop.Micros, from string, m *schema.TransferChunk) {
	if !g.acceptLeader(now, from, m.Term) {
		return
	}
	buffer := &g.reassembly
	isNewSend := buffer.from != from || buffer.term != m.Term || buffer.number < m.Transfer
	switch {
	case !isNewSend && buffer.number > m.Transfer || m.Size > maxReassemblyBytes:
		return
	case isNewSend && m.Offset > 0:
		g.send(from, &schema.TransferChunkResponse{Group: g.name, Term: g.term, Transfer: m.Transfer, Restart: true})
		return
	case isNewSend:
		*buffer = reassembly{from: from, term: m.Term, number: m.Transfer}
	}
	if !buffer.complete && m.Offset == uint64(len(buffer.data)) {
		buffer.data = append(buffer.data, m.Data...)
	}
	received := uint64(len(buffer.data))
	if buffer.complete {
		received = m.Size
	}
	g.send(from, &schema.TransferChunkResponse{Group: g.name, Term: g.term, Transfer: m.Transfer, Received: received})
	if buffer.complete || received < m.Size {
		return
	}
	data := buffer.data
	buffer.data, buffer.complete = nil, true
	g.deliverReassembled(now, from, m.IsSnapshot, data)
}

// deliverReassembled handles a reassembled message. It drops a message that can't be
// decoded.
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
