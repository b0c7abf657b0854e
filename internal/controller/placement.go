package controller

// Where queues are placed, who is to lead them, and which store orders the workers.

import (
	"sort"
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// groupStatuses are what the leaders say of their groups.
func (c *Controller) groupStatuses(now eventloop.Micros) map[string]*schema.QueueStatus {
	statuses := map[string]*schema.QueueStatus{}
	for _, id := range c.liveStorageNodes(now) {
		report, isKnown := c.reports[id]
		if !isKnown || now-report.receivedAt > c.timeouts.SuspectTimeout {
			continue
		}
		for _, status := range report.update.QueueStatuses {
			statuses[status.Group] = status
		}
	}
	return statuses
}

func (c *Controller) allowAction(now eventloop.Micros, action string, interval eventloop.Micros) bool {
	if last, isKnown := c.lastActions[action]; isKnown && now-last < interval {
		return false
	}
	c.lastActions[action] = now
	return true
}

func (c *Controller) reconcileQueues(now eventloop.Micros, effects eventloop.Effects) {
	statuses := c.groupStatuses(now)
	root := statuses[clusterstate.Group]
	if root == nil {
		return
	}
	command := &schema.PlaceQueues{FencingToken: c.fencingToken}
	leader := ""
	for _, name := range c.values.Queues() {
		if clusterstate.FindQueue(c.state, name) != nil {
			continue
		}
		if len(command.Queues) == 0 {
			leader = c.mostSuitable(now)
		}
		command.Queues = append(command.Queues, &schema.QueuePlacement{Queue: name, InitialVoters: root.Voters, PreferredLeader: leader})
	}
	for _, placement := range c.state.Queues {
		status := statuses[replica.GroupName(placement)]
		if !c.values.HasQueue(placement.Queue) && status != nil && status.LiveJobs == 0 && status.RetainedJobs == 0 {
			command.Removed = append(command.Removed, replica.GroupName(placement))
		}
	}
	if len(command.Queues)+len(command.Removed) == 0 {
		return
	}
	// The same act again waits, for its effect may just not be heard of yet;
	// another one doesn't.
	var names []string
	for _, assigned := range command.Queues {
		names = append(names, assigned.Queue)
	}
	action := strings.Join(names, " ") + "/" + strings.Join(command.Removed, " ")
	if action != c.lastQueueAction {
		delete(c.lastActions, "queues")
	}
	// One that finds no leader is tried again at the next tick.
	if c.leaderOf(now, clusterstate.Group) != "" && c.allowAction(now, "queues", actionInterval) {
		c.lastQueueAction = action
		c.sendCommand(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: command}}, effects)
	}
}

// mostSuitable is the store where queues and wards should be: the present one as
// long as it serves, for moving costs more than it gains.
func (c *Controller) mostSuitable(now eventloop.Micros) string {
	root := c.groupStatuses(now)[clusterstate.Group]
	if root == nil {
		return ""
	}
	leads, wanted := map[string]int{}, map[string]int{}
	storageNodes := c.liveStorageNodes(now)
	for _, placement := range c.state.Queues {
		wanted[placement.PreferredLeader]++
		leads[c.leaderAmong(now, storageNodes, placement.Queue)]++
	}
	for _, lease := range c.state.WorkerLeases {
		wanted[lease.Scheduler]++
	}
	type candidate struct {
		id      string
		latency int64
	}
	var list []candidate
	for _, id := range root.Voters {
		report, isKnown := c.reports[id]
		// Who can't say how the cluster state stands is cut off from it, and could
		// neither lead nor ward.
		if !isKnown || now-report.receivedAt > c.timeouts.SuspectTimeout || !c.view.IsAlive(id, now, c.timeouts.SuspectTimeout) || c.view.Members[id].Member.Draining || c.isDeposed(now, id) {
			continue
		}
		list = append(list, candidate{id, c.view.Members[id].Member.LatencyUs})
	}
	if len(list) == 0 {
		return ""
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if isX, isY := x.latency > maxLatencyUs, y.latency > maxLatencyUs; isX != isY {
			return isY
		}
		if wanted[x.id] != wanted[y.id] {
			return wanted[x.id] > wanted[y.id]
		}
		if leads[x.id] != leads[y.id] {
			return leads[x.id] > leads[y.id]
		}
		return x.id < y.id
	})
	best := list[0]
	for _, other := range list[1:] {
		// Latency alone moves nothing twice within a while, nor to a store that is
		// hardly better; but whoever has let its queues go by itself keeps none.
		isCurrent := wanted[other.id] > wanted[best.id] && leads[other.id] > 0
		if isCurrent && (now-c.leadersMovedAt < latencyMoveCooldown || other.latency < 3*best.latency) {
			best = other
		}
	}
	return best.id
}

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
