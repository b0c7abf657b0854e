package raft

// This file implements flow control. Heartbeats share a link with the replication of the
// log. A large entry or snapshot must not delay them so long that the leader loses its
// lease. Therefore a leader limits the bytes in flight to its peers to the number that the
// slowest supported link carries during the maximum delay of a heartbeat.

import (
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	maxEntriesPerAppend = 64
	maxInflightEntries  = 1024 // entries sent to one peer after the last one known to match
	maxInflightAppends  = 2    // Appends to one peer; entries proposed meanwhile share the next one

	// maxWindowFactor limits how large a window may become, as a multiple of the minimum
	// window. If a link becomes slow while that many bytes are in flight, the leader may
	// lose its lease once.
	maxWindowFactor = 4
)

// SharedAppendInterval is the append interval of a leader whose entries share Appends.
const SharedAppendInterval = 4 * eventloop.Millisecond

// SetAppendInterval sets the minimum time between two Appends to a peer that aren't full. Entries that
// are proposed meanwhile share the next one. With 0, the initial value, they don't wait.
func (g *Group) SetAppendInterval(interval eventloop.Micros) { g.appendInterval = interval }

// inflightAppend tracks an Append that the peer hasn't acknowledged yet.
type inflightAppend struct {
	lastIndex uint64           // index of its last entry
	bytes     int              // size of its entries' data
	sentAt    eventloop.Micros // 0 for a probe, whose round trip isn't used to adapt the window
}

// maxHeartbeatDelay returns how long a heartbeat may wait behind other messages. The
// heartbeat and its response must arrive before the leader lease expires, and up to a
// whole interval passes between two heartbeats. Another half interval is reserved for
// latency and processing.
func (t Timeouts) maxHeartbeatDelay() eventloop.Micros {
	return t.leaderLease() - t.HeartbeatInterval - t.HeartbeatInterval/2
}

// linkShare returns how long the bytes in flight to one peer may occupy the leader's link.
func (g *Group) linkShare() eventloop.Micros {
	return g.timeouts.maxHeartbeatDelay() / eventloop.Micros(max(2, len(g.peers)))
}

// minWindow returns the minimum window in bytes: the number of bytes that the slowest
// supported link carries during linkShare.
func (g *Group) minWindow() int {
	return int(eventloop.SlowestLinkBytesPerSecond * g.linkShare() / eventloop.Second)
}

// inflightWindow returns how many bytes may be in flight to a peer, which is also the size
// of a chunk. It is the minimum window, or more if the link has turned out to be faster.
func (g *Group) inflightWindow(p *progress) int { return max(p.windowBytes, g.minWindow()) }

// adaptWindow adapts a peer's window to the time that some bytes took from being sent to
// being acknowledged. The part of it that exceeds the round trip of a heartbeat was spent
// on the link or in the peer's disk. The window is reset to the minimum if that part
// exceeds linkShare. It grows by half only if that part is at most half of linkShare, so
// that the bytes of the larger window still fit.
func (g *Group) adaptWindow(p *progress, bytes int, elapsed eventloop.Micros) {
	window, linkTime := g.inflightWindow(p), elapsed-p.minRoundTrip
	switch {
	case p.minRoundTrip == 0 || linkTime > g.linkShare():
		p.windowBytes = 0
	case linkTime <= g.linkShare()/2 && 2*bytes >= window:
		p.windowBytes = min(window+window/2, maxWindowFactor*g.minWindow())
	}
}

// nextBatch returns the entries to be sent in one Append, from the index next on, and the
// size of their data in bytes. The batch has at least one entry, even if that exceeds the
// window.
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

// canSend reports whether another Append may be sent to a peer, where window is the number
// of bytes that may be in flight to it.
func (p *progress) canSend(window int) bool {
	if len(p.inflight) >= maxInflightAppends {
		return false
	}
	for _, sent := range p.inflight {
		window -= sent.bytes
	}
	return p.next <= p.match+maxInflightEntries && window > 0
}

// mustWait reports whether the entries that a peer lacks wait for others to share an Append with.
func (g *Group) mustWait(now eventloop.Micros, p *progress) bool {
	isFull := g.LastIndex()-p.next+1 >= maxEntriesPerAppend
	return !isFull && p.lastAppendAt > 0 && now-p.lastAppendAt < g.appendInterval
}

// HasWaitingEntries reports whether entries wait for the next call of FlushAppends.
func (g *Group) HasWaitingEntries() bool { return g.hasWaitingEntries }

// FlushAppends sends the entries that have waited for the append interval. The leader's caller calls it
// periodically, a little less often than that.
func (g *Group) FlushAppends(now eventloop.Micros) {
	if !g.hasWaitingEntries || g.role != leader {
		return
	}
	g.hasWaitingEntries = false
	for _, id := range g.otherMembers() {
		g.replicateTo(now, id)
	}
}

// ackInflight removes the messages that a peer has acknowledged, by syncing the log up to
// the index match, from those in flight.
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
