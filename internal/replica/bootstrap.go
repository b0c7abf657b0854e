package replica

// Making groups: the first ones of a cluster, and those of new queues.

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

func (t *Table) keepSelf(now eventloop.Micros, m membership.KeepSelf) {
	// We may have been counted in since the book made up its account.
	if t.self.Belongs && !m.Self.Belongs {
		m.Self.Belongs = true
	}
	t.self = m.Self
	t.next.changes = append(t.next.changes, &schema.Change{Self: m.Self})
	t.next.selfs = append(t.next.selfs, m.Self)
	if len(m.Found) > 0 && t.groups[clusterstate.Group] == nil {
		t.found(now, clusterstate.Group, m.Found)
	}
}

// join opens a replica of a group whose leader counts us in: it starts empty and
// learns, and never campaigns before it has learnt its member set.
func (t *Table) join(now eventloop.Micros, name string) *replica {
	if name != clusterstate.Group && (QueueOf(name) == "" || t.isEnded(name)) {
		return nil
	}
	r := t.open(now, name, &storage.Image{Hard: &schema.Hard{}, Checkpoint: &schema.Checkpoint{}})
	if !t.self.Belongs {
		// Counted in, so this store may found nothing any more.
		self := proto.Clone(t.self).(*schema.Self)
		self.Belongs = true
		t.self = self
		t.next.changes = append(t.next.changes, &schema.Change{Self: self})
		t.next.selfs = append(t.next.selfs, self)
	}
	return r
}

func (t *Table) found(now eventloop.Micros, name string, voters []string) {
	image := &storage.Image{Hard: &schema.Hard{}, Checkpoint: &schema.Checkpoint{MemberSet: &schema.MemberSet{Voters: voters}}}
	t.next.changes = append(t.next.changes, &schema.Change{Group: name, Checkpoint: image.Checkpoint})
	t.open(now, name, image)
}

// foundQueue makes the replica of a queue that this store is a founder of; who is
// to keep the queue stands at once.
func (t *Table) foundQueue(now eventloop.Micros, place *schema.QueuePlace) {
	name := GroupOf(place)
	if r := t.groups[name]; r != nil {
		// Its leader was faster than our copy of the cluster state.
		if r.group.Base() == 0 {
			r.group.Found(place.Founders)
		}
		return
	}
	t.found(now, name, place.Founders)
	if place.Leader == t.id && !t.isWarned {
		t.groups[name].group.Stand(now)
	}
}
