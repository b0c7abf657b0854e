package replica

// Copies of the cluster state for other processes, with the status of the groups.

import (
	"cmp"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
)

// sendClusterState answers a process that keeps a copy of the cluster state.
func (h *Host) sendClusterState(now eventloop.Micros, to string, m *schema.ClusterStateRequest, effects eventloop.Effects) {
	// A stale copy would only set the process back. It asks another node then.
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
			// An agent node can use the leaders and the controller's lease alone. A
			// gateway node is ready only with the whole state, so it waits for that.
			if update.State = nil; !h.isAgentNode(to) {
				return
			}
		}
	}
	// Agent nodes ask often and there is a status for every queue; of them only the
	// controller's node reads it.
	if to == h.sharedState.ControllerLease.GetHolder() || !h.isAgentNode(to) {
		update.QueueStatuses = h.groupStatuses()
	}
	effects.Send(to, update)
}

// encodeClusterState is the reply to a gateway node's read: the cluster state if the
// caller has an older version, else the version alone. A configuration that is still
// in flight to the caller isn't sent again.
func (h *Host) encodeClusterState(now eventloop.Micros, pending pendingReply) []byte {
	known, update := &schema.ClusterStateRequest{}, &schema.ClusterStateResponse{Version: h.sharedState.Version, Leaders: h.leaders()}
	if proto.Unmarshal(pending.request.Body, known) != nil || known.Version < h.sharedState.Version {
		update.State, update.ConfigurationOmitted = h.stateMachine.EncodeUpdate(h.sharedState, known.HeldRevision)
		if !update.ConfigurationOmitted && h.suppressResend(now, pending.from, update.State.Configuration) {
			update.State = nil
		}
	}
	return mustMarshal(update)
}

// leaders names the leader of each group that has a replica here, by queue name.
func (h *Host) leaders() map[string]string {
	leaders := map[string]string{}
	for _, r := range h.groups {
		leaders[cmp.Or(r.queueName, clusterstate.GroupName)] = r.group.Leader()
	}
	return leaders
}

// isAgentNode reports whether a process is known to be an agent node.
func (h *Host) isAgentNode(id string) bool {
	return h.membership != nil && h.membership.Members[id].Member.GetRole() == schema.Role_ROLE_CONTROLLER
}

// groupStatuses is the status of each group that this node leads.
func (h *Host) groupStatuses() []*schema.QueueStatus {
	var statuses []*schema.QueueStatus
	for _, name := range h.groupNames() {
		if r := h.groups[name]; r.group.IsLeader() {
			statuses = append(statuses, h.groupStatus(r))
		}
	}
	return statuses
}

// groupStatus is what the controller needs to know of a group for repairs and for
// removing the sessions of gateways that are gone.
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

// gatewaysOf lists the gateway incarnations that sessions belong to, each once.
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
