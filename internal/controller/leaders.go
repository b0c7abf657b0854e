package controller

import (
	"cmp"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	highLatencyUs       = int64(300 * eventloop.Millisecond) // nodes below it are preferred, see mostSuitable
	latencyMoveCooldown = 15 * eventloop.Second              // between two moves for latency alone
	leadersSettlePeriod = 2 * eventloop.Second               // after a move, in which the queues' leaders follow it
	latencyMoveFactor   = 3                                  // latency alone moves nothing unless it is so many times higher
)

// reconcileLeaders moves the leadership of the queues and the worker leases to the most suitable
// storage node.
func (c *Controller) reconcileLeaders(now eventloop.Micros, effects eventloop.Effects) {
	target := c.mostSuitable(now)
	if target == "" {
		return
	}
	moveLeases := &schema.AssignWorkers{FencingToken: c.fencingToken}
	for _, lease := range c.state.WorkerLeases {
		if lease.Scheduler != target {
			moveLeases.WorkerLeases = append(moveLeases.WorkerLeases, &schema.WorkerLease{Worker: lease.Worker, Scheduler: target})
		}
	}
	moveQueues := &schema.PlaceQueues{FencingToken: c.fencingToken}
	for _, placement := range c.state.Queues {
		if placement.PreferredLeader != target {
			moveQueues.Queues = append(moveQueues.Queues, &schema.QueuePlacement{Queue: placement.Queue, PreferredLeader: target})
		}
	}
	if len(moveLeases.WorkerLeases)+len(moveQueues.Queues) == 0 || !c.allowAction(now, "leaders", actionInterval) {
		return
	}
	c.leadersMovedAt = now
	if len(moveQueues.Queues) > 0 {
		c.sendCommand(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: moveQueues}}, effects)
	}
	if len(moveLeases.WorkerLeases) > 0 {
		c.sendCommand(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_AssignWorkers{AssignWorkers: moveLeases}}, effects)
	}
}

// leaderCandidate is a storage node that can lead the queues and hold the worker leases.
type leaderCandidate struct {
	id        string
	latencyUs int64
	assigned  int  // queues and worker leases that the cluster state gives it
	leads     int  // queues that it leads
	isDeposed bool // it leads none of the queues that it should, and another leads most of them
}

func compareLeaderCandidates(a, b leaderCandidate) int {
	return cmp.Or(
		compareBools(a.latencyUs > highLatencyUs, b.latencyUs > highLatencyUs),
		compareBools(a.isDeposed, b.isDeposed),
		cmp.Compare(b.assigned, a.assigned),
		cmp.Compare(b.leads, a.leads),
		cmp.Compare(a.id, b.id),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// mostSuitable returns the storage node that should lead the queues and hold the worker leases;
// empty if none is known to be able to. It stays the current one as long as that serves, for a
// move costs more than it gains.
func (c *Controller) mostSuitable(now eventloop.Micros) string {
	candidates := c.leaderCandidates(now)
	if len(candidates) == 0 {
		return ""
	}
	c.markDeposed(now, candidates)
	slices.SortFunc(candidates, compareLeaderCandidates)
	best := candidates[0]
	for _, other := range candidates[1:] {
		// Latency alone doesn't move anything again within the cooldown, nor to a node that is
		// hardly better. A node that has lost its queues by itself isn't kept.
		isCurrent := other.assigned > best.assigned && other.leads > 0
		if isCurrent && (now-c.leadersMovedAt < latencyMoveCooldown || other.latencyUs < latencyMoveFactor*best.latencyUs) {
			best = other
		}
	}
	return best.id
}

// markDeposed marks the candidates that were voted out and are back already, too soon to be
// missed. Their queues stay with the new leader: to hand them back takes longer than to move
// the worker leases after them, and nothing starts on the workers meanwhile.
func (c *Controller) markDeposed(now eventloop.Micros, candidates []leaderCandidate) {
	if c.leadersMovedAt > 0 && now-c.leadersMovedAt < leadersSettlePeriod {
		return
	}
	hasSuccessor := slices.ContainsFunc(candidates, func(other leaderCandidate) bool {
		return 2*other.leads > len(c.state.Queues)
	})
	for k := range candidates {
		candidates[k].isDeposed = hasSuccessor && candidates[k].assigned > 0 && candidates[k].leads == 0
	}
}

// leaderCandidates returns the voters of the cluster state's group that are live. A node without
// a fresh report is partitioned from the cluster state: it could neither lead nor use worker
// leases.
func (c *Controller) leaderCandidates(now eventloop.Micros) []leaderCandidate {
	clusterStateStatus := c.groupStatuses(now)[clusterstate.GroupName]
	if clusterStateStatus == nil {
		return nil
	}
	assigned, leads := c.countAssignments(now)
	var candidates []leaderCandidate
	for _, id := range clusterStateStatus.Voters {
		if _, fresh := c.freshReport(now, id); !fresh || !c.isAlive(now, id) || c.isDeposed(now, id) {
			continue
		}
		member := c.view.Members[id].Member
		if member.Draining {
			continue
		}
		candidates = append(candidates, leaderCandidate{id: id, latencyUs: member.LatencyUs, assigned: assigned[id], leads: leads[id]})
	}
	return candidates
}

// countAssignments counts the queues and worker leases that the cluster state gives to each
// storage node, and the queues that each leads.
func (c *Controller) countAssignments(now eventloop.Micros) (assigned, leads map[string]int) {
	assigned, leads = map[string]int{}, map[string]int{}
	storageNodes := c.liveStorageNodes(now)
	for _, placement := range c.state.Queues {
		assigned[placement.PreferredLeader]++
		leads[c.leaderAmong(now, storageNodes, placement.Queue)]++
	}
	for _, lease := range c.state.WorkerLeases {
		assigned[lease.Scheduler]++
	}
	return assigned, leads
}
