package gateway

// The gateway's copy of the cluster state: polled from storage nodes, and served under
// a read lease.

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// newStateQuery asks for what is newer than our copy.
func (g *Gateway) newStateQuery() *schema.ClusterStateRequest {
	return &schema.ClusterStateRequest{Version: g.state.Version, HeldRevision: g.state.Configuration.GetRevision()}
}

// refreshClusterState polls the cluster state when it is time to.
func (g *Gateway) refreshClusterState(now eventloop.Micros, effects eventloop.Effects) {
	if now-g.stateQueriedAt < g.stateQueryInterval(now) {
		return
	}
	// The local replica may be no voter, as after the loss of its disk, or be
	// partitioned from the others: then other storage nodes are polled.
	isLocalFresh := g.hasLocalReplica && !g.lease.needsRenewal(now) && g.state.Version > 0 && len(g.leaders) > 0
	g.stateQueriedAt = now
	switch {
	case isLocalFresh:
		g.sendStateQuery(now, g.id, effects)
	case g.lease.needsRenewal(now):
		for _, id := range g.nextStorageNodes() {
			g.sendStateQuery(now, id, effects)
		}
	default:
		if node := g.anyStorageNode(now); node != "" {
			g.sendStateQuery(now, node, effects)
		}
	}
}

// stateQueryInterval is the interval of polling. It is shorter without a fresh copy, as
// nothing can be served then, and for a while after a queue lost its leader.
func (g *Gateway) stateQueryInterval(now eventloop.Micros) eventloop.Micros {
	if g.lease.needsRenewal(now) {
		return 2 * TickInterval
	}
	for _, since := range g.leaderlessSince {
		if now-since < fastPollPeriod {
			return TickInterval
		}
	}
	return min(maxStateQueryInterval, g.lease.duration()/queriesPerLease)
}

func (g *Gateway) sendStateQuery(now eventloop.Micros, node string, effects eventloop.Effects) {
	query := g.newStateQuery()
	query.Sequence = g.lease.newQuery(now)
	effects.Send(node, query)
}

// nextStorageNodes returns the next storage nodes in turn, whether they seem alive or
// not: those that do may be partitioned together with this node.
func (g *Gateway) nextStorageNodes() []string {
	if g.membership == nil {
		return nil
	}
	var storageNodes []string
	for _, id := range slices.Sorted(maps.Keys(g.membership.Members)) {
		if g.membership.Members[id].Member.HasStorage {
			storageNodes = append(storageNodes, id)
		}
	}
	var selected []string
	for range min(storageNodesPerQuery, len(storageNodes)) {
		selected = append(selected, storageNodes[g.storageNodeCursor%len(storageNodes)])
		g.storageNodeCursor++
	}
	return selected
}

// handleClusterState takes an update of the cluster state from a storage node.
func (g *Gateway) handleClusterState(now eventloop.Micros, m *schema.ClusterStateResponse, effects eventloop.Effects) {
	state, err := clusterstate.DecodeUpdate(m, g.state.Configuration)
	if err != nil {
		return // the next poll repeats it, and the lease isn't renewed until then
	}
	if state != nil && state.Version >= g.state.Version {
		g.state, g.values = state, g.values.ForConfiguration(state.Configuration)
		g.updateLeaderless(now)
		g.endRemovedQueues(now, effects)
	}
	// The local replica notifies of each change, also while it catches up after a
	// start. Only responses to queries renew the lease.
	if m.Version >= g.state.Version {
		g.lease.renew(m.Sequence, eventloop.Micros(m.AgeUs))
	}
	g.updateLeaders(now, m.Leaders)
	for _, status := range m.QueueStatuses {
		if status.Queue != "" {
			g.queueStatus[status.Queue] = status
			g.throughputOf(endedJobsKey(status.Queue)).record(now, status.EndedJobs)
		}
	}
}

// updateLeaders takes the leaders by group, and schedules what is pending at others to
// be sent to the new ones.
func (g *Gateway) updateLeaders(now eventloop.Micros, leaders map[string]string) {
	hasChanged := false
	for group, leader := range leaders {
		if leader == g.leaders[group] || !g.isPlausibleLeader(now, leader) {
			continue
		}
		hasChanged = true
		g.setLeader(group, leader)
		if g.unconfirmedByQueue[group] > 0 {
			g.redirectDue[group] = true
		}
	}
	if !hasChanged {
		return
	}
	for _, pending := range g.requests {
		leader, found := leaders[pending.message.Group]
		if found && leader == g.leaders[pending.message.Group] && pending.sentTo != leader {
			pending.isResendDue = true
		}
	}
}
