package replica

// This file sends copies of the cluster state and the status of the groups to other
// processes.

import (
	"cmp"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// sendClusterState sends the known leaders, the expiry of the controller lease and, if it is
// newer than the version in m, the cluster state to a process that keeps a copy of it. m is
// the query of that process, or contains the version that the process is assumed to have.
// Nothing is sent while this node's copy may be stale.
func (h *Host) sendClusterState(now eventloop.Micros, to string, m *schema.ClusterStateRequest, effects eventloop.Effects) {
	// A stale copy would only give the process outdated information. Without a reply it
	// queries another node.
	if !h.isClusterStateFresh(now) {
		return
	}
	update := &schema.ClusterStateResponse{
		Sequence: m.Sequence, AgeUs: int64(now - h.groups[clusterstate.GroupName].group.FreshAsOf()), Version: h.sharedState.Version,
		Leaders: h.leaders(), ControllerLeaseExpiresUs: h.stateMachine.ControllerLeaseExpiry(),
	}
	if h.sharedState.Version > m.Version {
		update.State, update.ConfigurationOmitted = h.stateMachine.EncodeUpdate(h.sharedState, m.HeldRevision)
		if !update.ConfigurationOmitted && h.suppressResend(now, to, update.State.Configuration) {
			// An agent node can use the leaders and the controller lease without the state. A
			// gateway node is ready only with the whole state, so it is sent nothing until the
			// rows of the configuration may be sent again.
			if update.State = nil; !h.isAgentNode(to) {
				return
			}
		}
	}
	// Agent nodes query often, and there is a status for every queue. Among the agent nodes
	// only the one that runs the controller reads them, so the others aren't sent them.
	if to == h.sharedState.ControllerLease.GetHolder() || !h.isAgentNode(to) {
		update.QueueStatuses = h.groupStatuses()
	}
	effects.Send(to, update)
}

// encodeClusterState returns the body of the reply to a gateway node's read. It contains the
// leaders, the version and, if the caller has an older version, the cluster state. The state
// is left out while the rows of its configuration may still be in flight to the caller.
func (h *Host) encodeClusterState(now eventloop.Micros, pending pendingReply) []byte {
	query, update := &schema.ClusterStateRequest{}, &schema.ClusterStateResponse{Version: h.sharedState.Version, Leaders: h.leaders()}
	if proto.Unmarshal(pending.request.Body, query) != nil || query.Version < h.sharedState.Version {
		update.State, update.ConfigurationOmitted = h.stateMachine.EncodeUpdate(h.sharedState, query.HeldRevision)
		if !update.ConfigurationOmitted && h.suppressResend(now, pending.from, update.State.Configuration) {
			update.State = nil
		}
	}
	return mustMarshal(update)
}

// leaders returns the known leader of each group that has a replica on this node, by the
// queue's name. The cluster state's group has the key clusterstate.GroupName.
func (h *Host) leaders() map[string]string {
	leaders := map[string]string{}
	for _, r := range h.groups {
		leaders[cmp.Or(r.queueName, clusterstate.GroupName)] = r.group.Leader()
	}
	return leaders
}

// isAgentNode reports whether the membership view lists a process as an agent node.
func (h *Host) isAgentNode(id string) bool {
	return h.membership != nil && h.membership.Members[id].Member.GetRole() == schema.Role_ROLE_CONTROLLER
}

// groupStatuses returns the status of each group that this node leads. A new leader reports none
// before it has committed an entry of its own term: after a restart its state lacks what it
// hasn't applied again, and the controller removes a queue that has no jobs.
func (h *Host) groupStatuses() []*schema.QueueStatus {
	var statuses []*schema.QueueStatus
	for _, name := range h.groupNames() {
		if r := h.groups[name]; r.group.IsLeader() && r.group.FreshAsOf() > 0 {
			statuses = append(statuses, h.groupStatus(r))
		}
	}
	return statuses
}

// groupStatus returns the status of a group that this node leads. The controller uses it to
// repair the group and to remove the sessions of gateways that are gone.
func (h *Host) groupStatus(r *replica) *schema.QueueStatus {
	g := r.group
	members := g.MemberSet()
	status := &schema.QueueStatus{
		Group: g.Name(), Queue: r.queueName, Leader: h.id, Voters: members.Voters, Learners: members.Learners, MemberSetIndex: g.MemberSetIndex(),
		ReplicaLag: map[string]uint64{}, StorageExhausted: h.disk.isLow,
	}
	for _, list := range [][]string{members.Voters, members.Learners} {
		for _, id := range list {
			if id != h.id {
				match, _ := g.PeerProgress(id)
				status.ReplicaLag[id] = g.LastIndex() - match
			}
		}
	}
	for _, id := range members.Learners {
		if !g.IsCaughtUp(id) {
			status.ReplicaLag[id] = max(status.ReplicaLag[id], raft.MaxLearnerLag+1)
		}
	}
	if r.queue != nil {
		status.LiveJobs, status.RetainedJobs, status.EndedJobs = uint32(r.queue.LiveJobs()), uint32(r.queue.RetainedJobs()), r.queue.EndedJobs()
		status.Gateways = gatewaysOf(r.queue.Sessions())
	}
	return status
}

// gatewaysOf returns the gateway incarnations that own the sessions, without duplicates.
func gatewaysOf(sessions []*schema.Session) []*schema.ExpiredGateway {
	type incarnation struct {
		gateway string
		number  uint64
	}
	var gateways []*schema.ExpiredGateway
	seen := map[incarnation]bool{}
	for _, session := range sessions {
		key := incarnation{session.Gateway, session.Incarnation}
		if !seen[key] {
			seen[key] = true
			gateways = append(gateways, &schema.ExpiredGateway{Gateway: session.Gateway, Incarnation: session.Incarnation})
		}
	}
	return gateways
}
