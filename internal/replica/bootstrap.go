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

func (t *Table) keepSelf(now eventloop.Micros, m membership.PersistIdentity) {
	// We may have been counted in since the book made up its account.
	if t.self.Joined && !m.Identity.Joined {
		m.Identity.Joined = true
	}
	t.self = m.Identity
	t.next.changes = append(t.next.changes, &schema.StoreChange{Identity: m.Identity})
	t.next.selfs = append(t.next.selfs, m.Identity)
	if len(m.BootstrapVoters) > 0 && t.groups[clusterstate.Group] == nil {
		t.found(now, clusterstate.Group, m.BootstrapVoters)
	}
}

// join opens a replica of a group whose leader counts us in: it starts empty and
// learns, and never campaigns before it has learnt its member set.
func (t *Table) join(now eventloop.Micros, name string) *replica {
	if name != clusterstate.Group && (QueueOf(name) == "" || t.isEnded(name)) {
		return nil
	}
	r := t.open(now, name, &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}})
	if !t.self.Joined {
		// Counted in, so this store may found nothing any more.
		self := proto.Clone(t.self).(*schema.StoreIdentity)
		self.Joined = true
		t.self = self
		t.next.changes = append(t.next.changes, &schema.StoreChange{Identity: self})
		t.next.selfs = append(t.next.selfs, self)
	}
	return r
}

func (t *Table) found(now eventloop.Micros, name string, voters []string) {
	image := &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: voters}}}
	t.next.changes = append(t.next.changes, &schema.StoreChange{Group: name, Snapshot: image.Snapshot})
	t.open(now, name, image)
}

// foundQueue makes the replica of a queue that this store is a founder of; who is
// to keep the queue stands at once.
func (t *Table) foundQueue(now eventloop.Micros, place *schema.QueuePlacement) {
	name := GroupOf(place)
	if r := t.groups[name]; r != nil {
		// Its leader was faster than our copy of the cluster state.
		if r.group.SnapshotIndex() == 0 {
			r.group.Bootstrap(place.InitialVoters)
		}
		return
	}
	t.found(now, name, place.InitialVoters)
	if place.PreferredLeader == t.id && !t.isWarned {
		t.groups[name].group.BootstrapCampaign(now)
	}
}
