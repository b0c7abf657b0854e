package gateway

// This file polls the cluster state from storage nodes, and keeps the gateway's copy of it.

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// newStateQuery returns a request for the changes since the gateway's copy of the cluster
// state.
func (g *Gateway) newStateQuery() *schema.ClusterStateRequest {
	return &schema.ClusterStateRequest{Version: g.state.Version, HeldRevision: g.state.Configuration.GetRevision()}
}

// refreshClusterState polls the cluster state if stateQueryInterval has passed since the
// last poll.
func (g *Gateway) refreshClusterState(now eventloop.Micros, effects eventloop.Effects) {
	if now-g.stateQueriedAt < g.stateQueryInterval(now) {
		return
	}
	// If the local replica is fresh, only it is polled. It isn't fresh if it is partitioned
	// from the others, or isn't a voter, for example after the loss of its disk. Other
	// storage nodes are polled then.
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

// stateQueryInterval returns the polling interval. It is shorter while the lease needs
// renewal, as nothing can be served once it ends, and for fastPollPeriod after a queue has
// lost its leader.
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

// nextStorageNodes returns the next storageNodesPerQuery storage nodes in round-robin
// order. It includes nodes that don't seem to be alive: those that do may be in the same
// network partition as this node.
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

// handleClusterState handles an update of the cluster state from a storage node.
func (g *Gateway) handleClusterState(now eventloop.Micros, m *schema.ClusterStateResponse, effects eventloop.Effects) {
	state, err := clusterstate.DecodeUpdate(m, g.state.Configuration)
	if err != nil {
		return // the lease isn't renewed, and the next poll requests the update again
	}
	if state != nil && state.Version >= g.state.Version {
		g.state, g.values = state, g.values.ForConfiguration(state.Configuration)
		g.updateLeaderless(now)
		g.endRemovedQueues(now, effects)
	}
	// The local replica sends each change without a query, even while it catches up after
	// a start and its state is stale. Only responses to queries renew the lease.
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

// updateLeaders records the leaders, by group. Requests and submissions that are pending at
// a former leader are scheduled to be sent to the new one at the next tick.
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
