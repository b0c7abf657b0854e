package replica

// Creating and removing replicas: the cluster state's at the bootstrap of a cluster,
// those of queues as the cluster state lists them, and those of groups that this node
// is added to.

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// handlePersistIdentity stores the identity that the membership asks for and, if it
// names the first voters, bootstraps the cluster state's group.
func (h *Host) handlePersistIdentity(now eventloop.Micros, m membership.PersistIdentity) {
	// A leader may have added this node to a group since the membership asked.
	if h.identity.Joined && !m.Identity.Joined {
		m.Identity.Joined = true
	}
	h.persistIdentity(m.Identity)
	if len(m.BootstrapVoters) > 0 && h.groups[clusterstate.GroupName] == nil {
		h.bootstrapGroup(now, clusterstate.GroupName, m.BootstrapVoters)
	}
}

func (h *Host) persistIdentity(identity *schema.StoreIdentity) {
	h.identity = identity
	h.nextWrite.changes = append(h.nextWrite.changes, &schema.StoreChange{Identity: identity})
	h.nextWrite.identities = append(h.nextWrite.identities, identity)
}

// joinGroup adds an empty replica of a group whose leader counts this node as a member.
// It doesn't campaign before it has received its member set. The result is nil for a
// queue that was deleted.
func (h *Host) joinGroup(now eventloop.Micros, name string) *replica {
	if name != clusterstate.GroupName && (QueueName(name) == "" || h.isObsolete(name)) {
		return nil
	}
	r := h.openGroup(now, name, &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}})
	if !h.identity.Joined {
		// A member of a cluster must not bootstrap another one.
		identity := proto.Clone(h.identity).(*schema.StoreIdentity)
		identity.Joined = true
		h.persistIdentity(identity)
	}
	return r
}

// bootstrapGroup creates the replica of a new group with its first voters.
func (h *Host) bootstrapGroup(now eventloop.Micros, name string, voters []string) *replica {
	state := &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: voters}}}
	h.nextWrite.changes = append(h.nextWrite.changes, &schema.StoreChange{Group: name, Snapshot: state.Snapshot})
	return h.openGroup(now, name, state)
}

// bootstrapQueue creates the replica of a queue that this node is a first voter of. The
// preferred leader campaigns at once.
func (h *Host) bootstrapQueue(now eventloop.Micros, placement *schema.QueuePlacement) {
	name := GroupName(placement)
	if r := h.groups[name]; r != nil {
		// The queue's leader created it before this node's copy of the cluster state
		// listed the queue.
		if r.group.SnapshotIndex() == 0 {
			r.group.Bootstrap(placement.InitialVoters)
		}
		return
	}
	r := h.bootstrapGroup(now, name, placement.InitialVoters)
	if placement.PreferredLeader == h.id && !h.isDraining {
		r.group.BootstrapCampaign(now)
	}
}

// reconcileQueues creates and removes replicas as the cluster state lists the queues.
func (h *Host) reconcileQueues(now eventloop.Micros, effects eventloop.Effects) {
	if h.groups[clusterstate.GroupName] == nil {
		return
	}
	listed := map[string]bool{clusterstate.GroupName: true}
	for _, placement := range h.sharedState.Queues {
		listed[GroupName(placement)] = true
		if slices.Contains(placement.InitialVoters, h.id) {
			h.bootstrapQueue(now, placement)
		}
	}
	for _, name := range h.groupNames() {
		// A queue that isn't listed may be newer than this node's copy of the cluster
		// state; only one that is known to be deleted is removed.
		if !listed[name] && h.groups[name].queue != nil && h.isDeleted(name) {
			h.dropGroup(name)
			effects.Notify("scheduler", LeadershipLost{Queue: QueueName(name)})
		}
	}
}
