package replica

// This file creates and removes replicas: the replica of the cluster state when a cluster
// bootstraps, the replicas of the queues that the cluster state lists, and the replicas of
// groups that this node is added to.

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// handlePersistIdentity stores the identity that the membership component sends. If the
// message names initial voters, it also bootstraps the cluster state's group.
func (h *Host) handlePersistIdentity(now eventloop.Micros, m membership.PersistIdentity) {
	// A leader may have added this node to a group after the membership component sent the
	// message.
	if h.identity.Joined && !m.Identity.Joined {
		m.Identity.Joined = true
	}
	h.persistIdentity(m.Identity)
	if len(m.BootstrapVoters) > 0 && h.groups[clusterstate.GroupName] == nil {
		h.bootstrapGroup(now, clusterstate.GroupName, m.BootstrapVoters)
	}
}

// persistIdentity adds the identity to the next write. The membership component is notified
// once it is durable.
func (h *Host) persistIdentity(identity *schema.StoreIdentity) {
	h.identity = identity
	h.nextWrite.changes = append(h.nextWrite.changes, &schema.StoreChange{Identity: identity})
	h.nextWrite.identities = append(h.nextWrite.identities, identity)
}

// joinGroup creates an empty replica of a group whose leader counts this node as a member.
// The replica doesn't campaign before it has received the group's member set. joinGroup
// returns nil if the name is neither that of the cluster state's group nor of a queue's, or
// if the queue is obsolete.
func (h *Host) joinGroup(now eventloop.Micros, name string) *replica {
	if name != clusterstate.GroupName && (QueueName(name) == "" || h.isObsolete(name)) {
		return nil
	}
	r := h.openGroup(now, name, &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}})
	if !h.identity.Joined {
		// A node that is a member of a cluster must not bootstrap another cluster.
		identity := proto.Clone(h.identity).(*schema.StoreIdentity)
		identity.Joined = true
		h.persistIdentity(identity)
	}
	return r
}

// bootstrapGroup creates this node's replica of a new group with the group's initial voters.
func (h *Host) bootstrapGroup(now eventloop.Micros, name string, voters []string) *replica {
	state := &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: voters}}}
	h.nextWrite.changes = append(h.nextWrite.changes, &schema.StoreChange{Group: name, Snapshot: state.Snapshot})
	return h.openGroup(now, name, state)
}

// bootstrapQueue creates the replica of a queue if this node, one of its initial voters, has
// none yet. If this node is the preferred leader and isn't draining, the replica campaigns
// at once.
func (h *Host) bootstrapQueue(now eventloop.Micros, placement *schema.QueuePlacement) {
	name := GroupName(placement)
	if r := h.groups[name]; r != nil {
		// A message from the queue's leader may have created the replica, without voters,
		// before this node's copy of the cluster state listed the queue.
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

// reconcileQueues creates the replicas of the queues that the cluster state lists, and
// removes those of deleted queues.
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
		// An unlisted queue may be newer than this node's copy of the cluster state, so its
		// replica is removed only if the queue is known to be deleted.
		if !listed[name] && h.groups[name].queue != nil && h.isDeleted(name) {
			h.dropGroup(name)
			effects.Notify("scheduler", LeadershipLost{Queue: QueueName(name)})
		}
	}
}
