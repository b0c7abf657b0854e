package replica

// What goes to storage and, once it is durable, to other processes.

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

type pending struct {
	changes []*schema.StoreChange
	posts   []raft.Message
	marks   map[string]raft.SyncPoint
	selfs   []*schema.StoreIdentity

	bytes, wholeBytes int // of the changes: now, and when they last were whole states
}

func (t *Table) beats(now eventloop.Micros, from string, m *schema.HeartbeatBatch) {
	for _, beat := range m.Heartbeats {
		r := t.groups[beat.GetGroup()]
		if r == nil {
			// The Append that was to count us in may have been lost, and its leader
			// waits for an answer before it sends another.
			r = t.join(now, beat.GetGroup())
		}
		if r != nil {
			r.group.Step(now, from, beat)
		}
	}
	for _, reply := range m.Responses {
		if r := t.groups[reply.GetGroup()]; r != nil {
			r.group.Step(now, from, reply)
		}
	}
}

// flush carries out what the groups have left, until nothing is left.
func (t *Table) flush(now eventloop.Micros, out eventloop.Effects) {
	beats := map[string]*schema.HeartbeatBatch{}
	for isMore := true; isMore; {
		isMore = false
		for _, name := range t.names() {
			r := t.groups[name]
			r.group.FlushReads(now)
			effects, mark := r.group.Ready()
			if len(effects.Messages)+len(effects.Changes)+len(effects.CommittedEntries)+len(effects.ReadRequests) == 0 && effects.Snapshot == nil {
				continue
			}
			isMore = true
			for _, post := range effects.Messages {
				if post.AfterSync {
					t.next.posts = append(t.next.posts, post)
				} else {
					t.post(post, beats, out)
				}
			}
			if len(effects.Changes) > 0 {
				t.next.changes = append(t.next.changes, effects.Changes...)
				t.next.bytes += bytesOf(effects.Changes)
				t.next.marks[name] = mark
			}
			if effects.Snapshot != nil {
				t.restore(r, effects.Snapshot)
				r.termTold = 0
				if r.queue == nil {
					t.clusterStateChanged(now, out)
				}
			}
			for _, record := range effects.CommittedEntries {
				t.apply(now, r, record, out)
			}
			for _, number := range effects.ReadRequests {
				t.read(now, r, number, out)
			}
		}
	}
	t.sendBeats(beats, out)
	t.sendApplied(out)
	t.standings(now, out)
	t.bound(now)
	t.write(now, out)
}

func (t *Table) post(post raft.Message, beats map[string]*schema.HeartbeatBatch, out eventloop.Effects) {
	if beats[post.To] == nil {
		beats[post.To] = &schema.HeartbeatBatch{}
	}
	switch body := post.Body.(type) {
	case *schema.Heartbeat:
		beats[post.To].Heartbeats = append(beats[post.To].Heartbeats, body)
	case *schema.HeartbeatResponse:
		body.WallUs = t.wall()
		beats[post.To].Responses = append(beats[post.To].Responses, body)
	default:
		out.Send(post.To, body)
	}
}

func (t *Table) sendBeats(beats map[string]*schema.HeartbeatBatch, out eventloop.Effects) {
	ids := slices.Sorted(maps.Keys(beats))
	for _, id := range ids {
		if len(beats[id].Heartbeats)+len(beats[id].Responses) > 0 {
			out.Send(id, beats[id])
		}
	}
}

func (t *Table) sendApplied(out eventloop.Effects) {
	ids := slices.Sorted(maps.Keys(t.applied))
	for _, id := range ids {
		applied := t.applied[id]
		delete(t.applied, id)
		out.Send(applied.Results[0].Session.Gateway, applied)
	}
}

// write hands everything that has gathered to the storage as one batch, so that
// one sync serves every group; the next gathers meanwhile.
func (t *Table) write(now eventloop.Micros, out eventloop.Effects) {
	if t.writing != nil || len(t.next.changes)+len(t.next.posts)+len(t.next.selfs) == 0 {
		return
	}
	batch := t.next
	t.next = pending{marks: map[string]raft.SyncPoint{}}
	t.writing = &batch
	t.number++
	t.began = now
	if len(batch.changes) == 0 {
		t.written(now, Written{Number: t.number}, out)
		t.flush(now, out)
		return
	}
	out.Notify("storage", Batch{Number: t.number, Changes: batch.changes})
}

func (t *Table) written(now eventloop.Micros, m Written, out eventloop.Effects) {
	if t.writing == nil || m.Number != t.number {
		return
	}
	batch := t.writing
	t.writing = nil
	t.accepted()
	beats := map[string]*schema.HeartbeatBatch{}
	for _, post := range batch.posts {
		t.post(post, beats, out)
	}
	t.sendBeats(beats, out)
	for _, self := range batch.selfs {
		out.Notify("membership", membership.IdentityPersisted{Identity: self})
	}
	names := slices.Sorted(maps.Keys(batch.marks))
	for _, name := range names {
		if r := t.groups[name]; r != nil {
			r.group.MarkSynced(now, batch.marks[name])
		}
	}
}
