package raft

// Flow control. Heartbeats share their link with the log. So that neither a large
// entry nor a snapshot delays them by more than the group can bear, the bytes in
// flight from one replica to the others are bounded by what the slowest supported
// link carries in the time that a heartbeat may be late.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	maxEntriesPerAppend = 64
	maxInflightEntries  = 1024 // sent after the last one known to match
	maxInflightAppends  = 2    // to one peer; what is proposed meanwhile goes in one

	// maxWindowFactor bounds how far a window grows over the least one. If a link turns
	// slow while that much is in flight, the leader may lose its lease once.
	maxWindowFactor = 4
)

// inflightAppend is an Append that isn't acknowledged.
type inflightAppend struct {
	lastIndex uint64 // its last entry
	bytes     int
	sentAt    eventloop.Micros // 0 for a probe, whose round trip isn't used to adapt the window
}

// maxHeartbeatDelay is how long a heartbeat may wait behind other messages: it and its
// response must arrive before the leader lease expires, and the next one follows only
// an interval later. Half an interval is left for latency and processing.
func (t Timeouts) maxHeartbeatDelay() eventloop.Micros {
	return t.leaderLease() - t.HeartbeatInterval - t.HeartbeatInterval/2
}

// linkShare is how long the bytes in flight to one peer may occupy the leader's link.
func (g *Group) linkShare() eventloop.Micros {
	return g.timeouts.maxHeartbeatDelay() / eventloop.Micros(max(2, len(g.peers)))
}

// minWindow is the bytes that the slowest link carries in a peer's share.
func (g *Group) minWindow() int {
	return int(eventloop.SlowestLinkBytesPerSecond * g.linkShare() / eventloop.Second)
}

// inflightWindow is how many bytes may be in flight to a peer, and so the size of a
// chunk: the least window, or more where the link has proved faster.
func (g *Group) inflightWindow(p *progress) int { return max(p.windowBytes, g.minWindow()) }

// adaptWindow learns from the time until some bytes were acknowledged. What exceeds
// the round trip of a heartbeat they spent on the link or in the peer's disk; the
// window grows by half only if it then still fits into the link's share.
func (g *Group) adaptWindow(p *progress, bytes int, took eventloop.Micros) {
	window, linkTime := g.inflightWindow(p), took-p.minRoundTrip
	switch {
	case p.minRoundTrip == 0 || linkTime > g.linkShare():
		p.windowBytes = 0
	case linkTime <= g.linkShare()/2 && 2*bytes >= window:
		p.windowBytes = min(window+window/2, maxWindowFactor*g.minWindow())
	}
}

// nextBatch is the entries from an index on that go into one Append, and the bytes of
// their data. It holds at least one, even if that exceeds the window.
func (g *Group) nextBatch(next uint64, window int) ([]*schema.Entry, int) {
	entries := g.entriesBetween(next-1, min(g.LastIndex(), next+maxEntriesPerAppend-1))
	size := 0
	for k, entry := range entries {
		if size+len(entry.Data) > window && k > 0 {
			return entries[:k], size
		}
		size += len(entry.Data)
	}
	return entries, size
}

// canSend tells whether another Append may be sent to a peer, of which so many bytes may be in
// flight.
func (p *progress) canSend(window int) bool {
	if len(p.inflight) >= maxInflightAppends {
		return false
	}
	for _, sent := range p.inflight {
		window -= sent.bytes
	}
	return p.next <= p.match+maxInflightEntries && window > 0
}

// ackInflight notes that a peer has synced the log up to an index.
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
