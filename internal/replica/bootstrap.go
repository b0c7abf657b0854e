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

func (h *Host) handlePersistIdentity(now eventloop.Micros, m membership.PersistIdentity) {
	// We may have been counted in since the book made up its account.
	if h.identity.Joined && !m.Identity.Joined {
		m.Identity.Joined = true
	}
	h.identity = m.Identity
	h.nextWrite.changes = append(h.nextWrite.changes, &schema.StoreChange{Identity: m.Identity})
	h.nextWrite.identities = append(h.nextWrite.identities, m.Identity)
	if len(m.BootstrapVoters) > 0 && h.groups[clusterstate.Group] == nil {
		h.bootstrapGroup(now, clusterstate.Group, m.BootstrapVoters)
	}
}

// joinGroup opens a replica of a group whose leader counts us in: it starts empty and
// learns, and never campaigns before it has learnt its member set.
func (h *Host) joinGroup(now eventloop.Micros, name string) *replica {
	if name != clusterstate.Group && (QueueName(name) == "" || h.isObsolete(name)) {
		return nil
	}
	r := h.openGroup(now, name, &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}})
	if !h.identity.Joined {
		// Counted in, so this store may found nothing any more.
		self := proto.Clone(h.identity).(*schema.StoreIdentity)
		self.Joined = true
		h.identity = self
		h.nextWrite.changes = append(h.nextWrite.changes, &schema.StoreChange{Identity: self})
		h.nextWrite.identities = append(h.nextWrite.identities, self)
	}
	return r
}

func (h *Host) bootstrapGroup(now eventloop.Micros, name string, voters []string) {
	state := &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: voters}}}
	h.nextWrite.changes = append(h.nextWrite.changes, &schema.StoreChange{Group: name, Snapshot: state.Snapshot})
	h.openGroup(now, name, state)
}

// bootstrapQueue makes the replica of a queue that this store is a founder of; who is
// to keep the queue stands at once.
func (h *Host) bootstrapQueue(now eventloop.Micros, place *schema.QueuePlacement) {
	name := GroupName(place)
	if existing := h.groups[name]; existing != nil {
		// Its leader was faster than our copy of the cluster state.
		if existing.group.SnapshotIndex() == 0 {
			existing.group.Bootstrap(place.InitialVoters)
		}
		return
	}
	h.bootstrapGroup(now, name, place.InitialVoters)
	if place.PreferredLeader == h.id && !h.isDraining {
		h.groups[name].group.BootstrapCampaign(now)
	}
}
