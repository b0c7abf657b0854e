package gateway

// The gateway's copy of the cluster state, and what is asked for.

import (
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// newStateQuery asks for what is newer than our copy.
func (g *Gateway) newStateQuery() *schema.ClusterStateRequest {
	return &schema.ClusterStateRequest{Version: g.state.Version, HeldRevision: g.state.Configuration.GetRevision()}
}

func (g *Gateway) handleClusterState(now eventloop.Micros, m *schema.ClusterStateResponse, effects eventloop.Effects) {
	state, err := clusterstate.DecodeUpdate(m, g.state.Configuration)
	if err != nil {
		return // it is asked for again, and until then nothing fresh has been heard
	}
	if state != nil && state.Version >= g.state.Version {
		g.state, g.values = state, g.values.Refresh(state.Configuration)
		g.updateLeaderless(now)
		g.endRemovedQueues(now, effects)
	}
	// Our own replica tells of every change, also while it is still catching up
	// after a start; only an answer comes from one that has.
	if m.Version >= g.state.Version {
		g.lease.renew(m.Sequence, eventloop.Micros(m.AgeUs))
	}
	leaderChanged := false
	for queue, leader := range m.Leaders {
		if leader != g.leaders[queue] && g.isPlausibleLeader(now, leader) {
			leaderChanged = true
			g.setLeader(queue, leader)
			if g.unconfirmedByQueue[queue] > 0 {
				g.redirectDue[queue] = true
			}
		}
	}
	if leaderChanged {
		// What was asked of somebody else needn't wait until it is asked again.
		for _, pending := range g.requests {
			if leader, known := m.Leaders[pending.message.Group]; known && leader == g.leaders[pending.message.Group] && pending.sentTo != leader {
				pending.isResendDue = true
			}
		}
	}
	for _, status := range m.QueueStatuses {
		if status.Queue != "" {
			g.queueStatus[status.Queue] = status
			g.throughputOf("live/"+status.Queue).record(now, status.EndedJobs)
		}
	}
}

func (g *Gateway) queryClusterState(now eventloop.Micros, effects eventloop.Effects) {
	if now-g.stateQueriedAt < g.stateQueryInterval(now) {
		return
	}
	g.stateQueriedAt = now
	if g.lease.needsRenewal(now) {
		for _, id := range g.nextStorageNodes() {
			g.sendStateQuery(now, id, effects)
		}
		return
	}
	if to := g.anyStorageNode(now); to != "" {
		g.sendStateQuery(now, to, effects)
	}
}

func (g *Gateway) sendStateQuery(now eventloop.Micros, node string, effects eventloop.Effects) {
	query := g.newStateQuery()
	query.Sequence = g.lease.newQuery(now)
	effects.Send(node, query)
}
