package controller

import (
	"cmp"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	highLatencyUs       = int64(300 * eventloop.Millisecond) // nodes with a latency up to this are preferred, see mostSuitable
	latencyMoveCooldown = 15 * eventloop.Second              // minimum time between any move and a later one for latency alone
	leadersSettlePeriod = 2 * eventloop.Second               // time after a move in which the queues' leadership is still changing
	latencyMoveFactor   = 3                                  // how many times higher the current node's latency must be for a move for latency alone
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

// leaderCandidate describes a storage node that can lead the queues and hold the worker leases.
type leaderCandidate struct {
	id        string
	latencyUs int64
	assigned  int  // number of queues and worker leases that the cluster state assigns to it
	ledQueues int  // number of queues that it leads
	isDeposed bool // it leads no queue although some are assigned to it, and another node leads most queues
}

// compareLeaderCandidates orders the most suitable candidate first.
func compareLeaderCandidates(a, b leaderCandidate) int {
	return cmp.Or(
		compareBools(a.latencyUs > highLatencyUs, b.latencyUs > highLatencyUs),
		compareBools(a.isDeposed, b.isDeposed),
		cmp.Compare(b.assigned, a.assigned),
		cmp.Compare(b.ledQueues, a.ledQueues),
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

// mostSuitable returns the storage node that should lead the queues and hold the worker leases, or
// an empty string if no node is known to be able to. It keeps the current node as long as that
// works well enough, because a move costs more than it gains.
func (c *Controller) mostSuitable(now eventloop.Micros) string {
	candidates := c.leaderCandidates(now)
	if len(candidates) == 0 {
		return ""
	}
	c.markDeposed(now, candidates)
	slices.SortFunc(candidates, compareLeaderCandidates)
	best := candidates[0]
	for _, other := range candidates[1:] {
		// Latency alone causes no move within the cooldown, nor to a node that is hardly better. A
		// node that no longer leads any queue isn't kept.
		isCurrent := other.assigned > best.assigned && other.ledQueues > 0
		if isCurrent && (now-c.leadersMovedAt < latencyMoveCooldown || other.latencyUs < latencyMoveFactor*best.latencyUs) {
			best = other
		}
	}
	return best.id
}

// markDeposed marks the candidates that lost their leadership in an election but responded again
// before they were missed. Their queues stay with the new leader, and the worker leases are moved
// to it: handing the queues back takes longer, and no task starts on the workers in the meantime.
func (c *Controller) markDeposed(now eventloop.Micros, candidates []leaderCandidate) {
	if c.leadersMovedAt > 0 && now-c.leadersMovedAt < leadersSettlePeriod {
		return
	}
	hasSuccessor := slices.ContainsFunc(candidates, func(other leaderCandidate) bool {
		return 2*other.ledQueues > len(c.state.Queues)
	})
	for k := range candidates {
		candidates[k].isDeposed = hasSuccessor && candidates[k].assigned > 0 && candidates[k].ledQueues == 0
	}
}

// leaderCandidates returns the voters of the cluster state's group that are live and not draining
// or deposed. It leaves out nodes without a fresh report: they are partitioned from the cluster
// state and could neither lead queues nor use worker leases.
func (c *Controller) leaderCandidates(now eventloop.Micros) []leaderCandidate {
	clusterStateStatus := c.groupStatuses(now)[clusterstate.GroupName]
	if clusterStateStatus == nil {
		return nil
	}
	assigned, ledQueues := c.countAssignments(now)
	var candidates []leaderCandidate
	for _, id := range clusterStateStatus.Voters {
		if _, fresh := c.freshReport(now, id); !fresh || !c.isAlive(now, id) || c.isDeposed(now, id) {
			continue
		}
		member := c.view.Members[id].Member
		if member.Draining {
			continue
		}
		candidates = append(candidates, leaderCandidate{id: id, latencyUs: member.LatencyUs, assigned: assigned[id], ledQueues: ledQueues[id]})
	}
	return candidates
}

// countAssignments returns, by storage node, how many queues and worker leases the cluster state
// assigns to it and how many queues it leads.
func (c *Controller) countAssignments(now eventloop.Micros) (assigned, ledQueues map[string]int) {
	assigned, ledQueues = map[string]int{}, map[string]int{}
	storageNodes := c.liveStorageNodes(now)
	for _, placement := range c.state.Queues {
		assigned[placement.PreferredLeader]++
		ledQueues[c.leaderAmong(now, storageNodes, placement.Queue)]++
	}
	for _, lease := range c.state.WorkerLeases {
		assigned[lease.Scheduler]++
	}
	return assigned, ledQueues
}
