package gateway

// This file tracks which storage node leads each group, as far as this gateway knows.

import (
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// setLeader records which node leads a group.
func (g *Gateway) setLeader(group, id string) {
	g.leaders[group] = id
	delete(g.leaderlessSince, group)
}

// clearLeader records that the leader of a group is unknown. If the group is a queue, the
// time without a known leader starts now, unless it has started before.
func (g *Gateway) clearLeader(now eventloop.Micros, group string) {
	delete(g.leaders, group)
	if _, found := g.leaderlessSince[group]; !found && clusterstate.FindQueue(g.state, group) != nil {
		g.leaderlessSince[group] = now
	}
}

// updateLeaderless starts to track new queues in the cluster state as leaderless, and stops
// tracking removed ones.
func (g *Gateway) updateLeaderless(now eventloop.Micros) {
	for _, placement := range g.state.Queues {
		if _, found := g.leaderlessSince[placement.Queue]; !found && g.leaders[placement.Queue] == "" {
			g.leaderlessSince[placement.Queue] = now
		}
	}
	for queue := range g.leaderlessSince {
		if clusterstate.FindQueue(g.state, queue) == nil {
			delete(g.leaderlessSince, queue)
		}
	}
}

// isLeaderless reports whether a queue has had no known leader for longer than
// leaderlessGracePeriod, so that new submissions to it are rejected. Accepted submissions
// can no longer be rejected.
func (g *Gateway) isLeaderless(now eventloop.Micros, queue string) bool {
	since, found := g.leaderlessSince[queue]
	return found && now-since > leaderlessGracePeriod
}

// canCommit reports whether a quorum of a queue's voters accepts writes, as far as this
// gateway knows.
func (g *Gateway) canCommit(now eventloop.Micros, queue string) bool {
	if g.membership == nil {
		return true
	}
	// The queue's leader reports its voters periodically. Until the first report the
	// initial voters count.
	voters := clusterstate.FindQueue(g.state, queue).GetInitialVoters()
	if status := g.queueStatus[queue]; status != nil {
		voters = status.Voters
	}
	return g.membership.HasWritableQuorum(now, voters, g.membership.RefusesWrites)
}

// target returns the ID of the node to send a group's requests to: its leader, or a storage
// node that may know the leader. It returns "" if no storage node is known.
func (g *Gateway) target(now eventloop.Micros, group string) string {
	if id := g.leaders[group]; id != "" {
		return id
	}
	return g.anyStorageNode(now)
}

// isPlausibleLeader reports whether a node that was named as a leader may be one. If the
// node is draining or hasn't been heard from, the information is stale.
func (g *Gateway) isPlausibleLeader(now eventloop.Micros, id string) bool {
	if id == "" {
		return false
	}
	if g.membership == nil {
		return true
	}
	status, found := g.membership.Members[id]
	return !found || !status.Member.Draining && g.membership.IsAlive(id, now, storageNodeTimeout)
}

// anyStorageNode returns the ID of a random storage node, preferably one that is alive and
// not draining. It returns "" if no storage node is known.
func (g *Gateway) anyStorageNode(now eventloop.Micros) string {
	if g.membership == nil {
		return ""
	}
	var candidates, live []string
	for _, id := range slices.Sorted(maps.Keys(g.membership.Members)) {
		member := g.membership.Members[id].Member
		if !member.HasStorage {
			continue
		}
		candidates = append(candidates, id)
		if g.membership.IsAlive(id, now, storageNodeTimeout) && !member.Draining {
			live = append(live, id)
		}
	}
	if len(live) > 0 {
		candidates = live
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[g.rng.IntN(len(candidates))]
}
