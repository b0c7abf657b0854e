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

// lateness is how long a heartbeat may wait behind other messages: it and its
// answer must be there before the leader stops acting, and the next comes only an
// interval later. Half an interval is left for the ways and the steps.
func (t Times) lateness() eventloop.Micros { return t.acting() - t.Beat - t.Beat/2 }

// share is how long what is on its way to one replica may be on the leader's link.
func (g *Group) share() eventloop.Micros {
	return g.times.lateness() / eventloop.Micros(max(2, len(g.peers)))
}

// window is how many bytes may be on their way to a replica: the size of a part,
// and of the records sent beyond what is known matched. It is what the slowest link
// carries in the replica's share, and more where the link has been seen to be faster.
func (g *Group) window(p *progress) int {
	return max(p.window, int(eventloop.SlowestLink*g.share()/eventloop.Second))
}

// windowMost is how many times the least window one may become. A link that turns
// slow while so much is on its way may cost the leadership, once.
const windowMost = 4

// timed learns from how long some bytes took to be answered. What they took beyond
// the way there and back they spent on the link (or at the disk): a window half as
// large again must still fit into the share.
func (g *Group) timed(p *progress, bytes int, took eventloop.Micros) {
	window, onLink := g.window(p), took-p.roundTrip
	switch {
	case p.roundTrip == 0 || onLink > g.share():
		p.window = 0
	case onLink <= g.share()/2 && 2*bytes >= window:
		p.window = min(window+window/2, windowMost*int(eventloop.SlowestLink*g.share()/eventloop.Second))
	}
}

// maxAssembly is the largest whole that a replica puts together.
const maxAssembly = 64 << 20

// flight is an Append that is on its way.
type flight struct {
	last   uint64 // its last record
	bytes  int
	sentAt eventloop.Micros // 0: not to be timed
}

// transfer is the leader's side of an Append or Install sent in parts.
type transfer struct {
	number    uint64
	payload   []byte
	isInstall bool
	last      uint64 // matched when all of it lasts
	held      int    // bytes the replica is known to hold
	sentAt    eventloop.Micros
	isAgain   bool // the part that is on its way was sent before
}

// assembly is the replica's side.
type assembly struct {
	from         string
	term, number uint64
	data         []byte
	isDone       bool
}

// batch is the records from an index on that go into one Append, and their bytes.
func (g *Group) batch(next uint64, window int) ([]*schema.Entry, int) {
	records := g.between(next-1, min(g.lastIndex(), next+maxBatch-1))
	size := 0
	for k, record := range records {
		if size+len(record.Data) > window && k > 0 {
			return records[:k], size
		}
		size += len(record.Data)
	}
	return records, size
}

// hasRoom tells whether more records may be sent beyond what is known matched.
func (p *progress) hasRoom(bytes int) bool {
	for _, each := range p.flight {
		bytes -= each.bytes
	}
	return p.next <= p.match+maxFlight && bytes > 0
}

// arrived notes that the replica holds the log up to an index.
func (g *Group) arrived(now eventloop.Micros, p *progress, match uint64) {
	for len(p.flight) > 0 && p.flight[0].last <= match {
		if first := p.flight[0]; first.sentAt > 0 {
			g.timed(p, first.bytes, now-first.sentAt)
		}
		p.flight = p.flight[1:]
	}
	if p.transfer != nil && p.transfer.last <= match {
		p.transfer = nil
	}
}

func (g *Group) sendAppend(now eventloop.Micros, id string, p *progress, records []*schema.Entry, size int) {
	body := &schema.AppendRequest{
		Group: g.name, Term: g.term, PrevIndex: p.next - 1, PrevTerm: g.termAt(p.next - 1),
		Commit: g.commit, Entries: append([]*schema.Entry(nil), records...),
	}
	last := records[len(records)-1].Index
	if size > g.window(p) {
		g.begin(now, id, p, body, last)
		return
	}
	sent := flight{last, size, now}
	if p.probing {
		sent.sentAt = 0
	}
	p.flight = append(p.flight, sent)
	g.post(id, body)
}

func (g *Group) sendInstall(now eventloop.Micros, id string, p *progress) {
	body := &schema.InstallSnapshot{Group: g.name, Term: g.term, Snapshot: g.base}
	if len(g.base.Data) > g.window(p) {
		g.begin(now, id, p, body, g.base.Index)
		return
	}
	g.post(id, body)
}

// begin starts a transfer. What is sent stays as it is now, though the log goes on.
func (g *Group) begin(now eventloop.Micros, id string, p *progress, body proto.Message, last uint64) {
	payload, err := proto.Marshal(body)
	if err != nil {
		panic("raft: a message can't be encoded: " + err.Error())
	}
	g.transfers++
	_, isInstall := body.(*schema.InstallSnapshot)
	p.transfer = &transfer{number: g.transfers, payload: payload, isInstall: isInstall, last: last}
	g.sendPart(now, id, p)
}

func (g *Group) sendPart(now eventloop.Micros, id string, p *progress) {
	t := p.transfer
	t.sentAt = now
	end := min(t.held+g.window(p), len(t.payload))
	g.post(id, &schema.TransferChunk{
		Group: g.name, Term: g.term, Transfer: t.number, Offset: uint64(t.held), Size: uint64(len(t.payload)),
		IsSnapshot: t.isInstall, Data: t.payload[t.held:end],
	})
}

// onPartReply sends the next part. Only progress does: a reply that came twice
// must not have every later part sent twice.
func (g *Group) onPartReply(now eventloop.Micros, from string, m *schema.TransferChunkResponse) {
	p := g.heardFrom(now, from, m.Term)
	if p == nil || p.transfer == nil || p.transfer.number != m.Transfer {
		return
	}
	t := p.transfer
	switch {
	case m.Restart:
		p.installing = false
		g.probe(now, from, p, p.match+1)
	case int(m.Received) > t.held && int(m.Received) <= len(t.payload):
		if !t.isAgain {
			g.timed(p, int(m.Received)-t.held, now-t.sentAt)
		}
		t.held, t.sentAt, t.isAgain, p.moved = int(m.Received), now, false, now
		if t.held < len(t.payload) {
			g.sendPart(now, from, p)
		}
	}
}

// resume goes on with a transfer in which nothing has moved for a while, and
// tells whether there is one. A part may still be waiting at a slow link, so it
// is sent again no sooner than that could be over; and a whole that has arrived
// may take its time to be synced.
func (g *Group) resume(now eventloop.Micros, id string, p *progress) bool {
	t := p.transfer
	switch {
	case t == nil:
		return false
	case t.held < len(t.payload):
		if now-t.sentAt > g.times.ElectionLeast {
			t.isAgain, p.window = true, 0
			g.sendPart(now, id, p)
		}
		return true
	default:
		return now-t.sentAt <= 4*g.times.ElectionMost
	}
}

// onPart puts together what a leader sends in parts. Nothing of it counts before
// the whole is there; what was held is lost with a restart, and then the leader
// starts again from what is durable.
func (g *Group) onPart(now eventloop.Micros, from string, m *schema.TransferChunk) {
	if !g.led(now, from, m.Term) {
		g.post(from, &schema.AppendResponse{Group: g.name, Term: g.term, Rejected: true})
		return
	}
	a := &g.assembly
	isOther := a.from != from || a.term != m.Term || a.number < m.Transfer
	switch {
	case !isOther && a.number > m.Transfer || m.Size > maxAssembly:
		return // late
	case isOther && m.Offset > 0:
		g.post(from, &schema.TransferChunkResponse{Group: g.name, Term: g.term, Transfer: m.Transfer, Restart: true})
		return
	case isOther:
		*a = assembly{from: from, term: m.Term, number: m.Transfer}
	}
	if !a.isDone && m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, m.Data...)
	}
	held := uint64(len(a.data))
	if a.isDone {
		held = m.Size
	}
	g.post(from, &schema.TransferChunkResponse{Group: g.name, Term: g.term, Transfer: m.Transfer, Received: held})
	if a.isDone || held < m.Size {
		return
	}
	data := a.data
	a.data, a.isDone = nil, true
	g.takeWhole(now, from, m.IsSnapshot, data)
}

func (g *Group) takeWhole(now eventloop.Micros, from string, isInstall bool, data []byte) {
	if isInstall {
		whole := &schema.InstallSnapshot{}
		if proto.Unmarshal(data, whole) == nil && whole.Snapshot != nil {
			g.onInstall(now, from, whole)
		}
		return
	}
	whole := &schema.AppendRequest{}
	if proto.Unmarshal(data, whole) == nil {
		g.onAppend(now, from, whole)
	}
}
