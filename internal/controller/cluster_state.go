package controller

import (
	"cmp"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// pollInterval is the time between two polls of the cluster state.
const pollInterval = 250 * eventloop.Millisecond

// storageNodeReport is the last response of a storage node to a poll.
type storageNodeReport struct {
	receivedAt eventloop.Micros
	update     *schema.ClusterStateResponse // nil if the storage node never responded
}

// pollClusterState requests the cluster state. A candidate for the controller lease polls every
// storage node, because as controller it needs the reports of all of them. Every other agent node
// polls the storage nodes in turn, one at a time: the load on the storage nodes would be too high
// if all agent nodes polled all storage nodes. It spares the scheduler, which has most to do.
func (c *Controller) pollClusterState(now eventloop.Micros, effects eventloop.Effects) {
	storageNodes := c.liveStorageNodes(now)
	if len(storageNodes) == 0 {
		return
	}
	if _, isCandidate := c.candidateRank(now); !isCandidate && !c.holdsLease(now) {
		storageNodes = c.withoutScheduler(storageNodes)
		c.pollTurn++
		storageNodes = storageNodes[c.pollTurn%len(storageNodes):][:1]
	}
	for _, id := range storageNodes {
		effects.Send(id, &schema.ClusterStateRequest{Version: c.state.Version, HeldRevision: c.state.Configuration.GetRevision()})
	}
}

// withoutScheduler returns the storage nodes without the one that holds the worker leases, or all of
// them if there is no other.
func (c *Controller) withoutScheduler(storageNodes []string) []string {
	scheduler := schedulerOf(c.state)
	others := slices.DeleteFunc(slices.Clone(storageNodes), func(id string) bool { return id == scheduler })
	if len(others) == 0 {
		return storageNodes
	}
	return others
}

// schedulerOf returns the storage node that holds the worker leases, or an empty string if none does.
func schedulerOf(state *schema.ClusterState) string {
	if len(state.GetWorkerLeases()) == 0 {
		return ""
	}
	return state.WorkerLeases[0].Scheduler
}

// handleClusterState stores a storage node's response and takes the actions that shouldn't wait for
// the next tick.
func (c *Controller) handleClusterState(now eventloop.Micros, from string, update *schema.ClusterStateResponse, effects eventloop.Effects) {
	state, err := clusterstate.DecodeUpdate(update, c.state.Configuration)
	if err != nil {
		return // the next poll requests the state again
	}
	changed := state != nil && state.Version > c.state.Version
	if state != nil && state.Version >= c.state.Version {
		c.state, c.values = state, c.values.ForConfiguration(state.Configuration)
		effects.Notify("membership", membership.ClusterStateObserved{Version: state.Version, Scheduler: schedulerOf(state)})
	}
	if update.ControllerLeaseExpiresUs > c.leaseExpiryUs {
		c.leaseExpiryUs, c.leaseExpirySeenAt = update.ControllerLeaseExpiresUs, now
	}
	// A response with an older version than the known state is outdated.
	if update.Version >= c.state.Version {
		c.reports[from] = storageNodeReport{receivedAt: now, update: update}
		c.firstReportAt = cmp.Or(c.firstReportAt, now)
		c.publish(update.Leaders, effects)
	}
	if c.view == nil || !c.holdsLease(now) {
		return
	}
	// The next membership change of a repair waits for a report that the previous one is done.
	if len(update.QueueStatuses) > 0 {
		c.reconcileMembers(now, effects)
	}
	// Clients wait until newly configured queues are placed.
	if changed {
		c.reconcileQueues(now, effects)
	}
}

// publish sends the cluster state to the subscribers. It always sends the whole state, so that a
// subscriber that misses a message is up to date after the next one.
func (c *Controller) publish(leaders map[string]string, effects eventloop.Effects) {
	for _, subscriber := range c.subscribers {
		effects.Notify(subscriber, &schema.ClusterStateResponse{State: c.state, Version: c.state.Version, Leaders: leaders})
	}
}

// freshReport returns a storage node's last report, and whether the report is at most as old as
// the timeout after which an unresponsive node is suspected.
func (c *Controller) freshReport(now eventloop.Micros, id string) (storageNodeReport, bool) {
	report, found := c.reports[id]
	return report, found && now-report.receivedAt <= c.timeouts.SuspectTimeout
}

// groupStatuses returns the statuses that leaders report of their groups, by group name.
func (c *Controller) groupStatuses(now eventloop.Micros) map[string]*schema.QueueStatus {
	statuses := map[string]*schema.QueueStatus{}
	for _, id := range c.liveStorageNodes(now) {
		report, fresh := c.freshReport(now, id)
		if !fresh {
			continue
		}
		for _, status := range report.update.QueueStatuses {
			statuses[status.Group] = status
		}
	}
	return statuses
}

// leaderOf returns the id of a group's leader: the live storage node that reports itself as the
// leader, or otherwise the node that other live storage nodes report. It returns an empty string
// if no leader is known.
func (c *Controller) leaderOf(now eventloop.Micros, group string) string {
	return c.leaderAmong(now, c.liveStorageNodes(now), group)
}

// leaderAmong returns the leader of a group as leaderOf does, given the live storage nodes.
func (c *Controller) leaderAmong(now eventloop.Micros, storageNodes []string, group string) string {
	reportedByOthers, selfReported := "", ""
	var selfReportedAt eventloop.Micros
	for _, id := range storageNodes {
		report, fresh := c.freshReport(now, id)
		if !fresh {
			continue
		}
		leader := report.update.Leaders[group]
		// If two nodes report themselves, the newer report counts: the other node may have crashed
		// since it sent its report.
		if leader == id && (selfReported == "" || report.receivedAt > selfReportedAt) {
			selfReported, selfReportedAt = id, report.receivedAt
		}
		if leader != "" {
			reportedByOthers = leader
		}
	}
	if selfReported != "" {
		return selfReported
	}
	return reportedByOthers
}

// sendCommand sends a command to the leader of the cluster state's group. It returns the id of the
// request, or 0 if it sent nothing because no leader is known.
func (c *Controller) sendCommand(now eventloop.Micros, command *schema.ClusterStateCommand, effects eventloop.Effects) uint64 {
	to := c.leaderOf(now, clusterstate.GroupName)
	if to == "" {
		return 0
	}
	c.lastRequestID++
	effects.Send(to, &schema.Request{
		Id: c.lastRequestID, Kind: "clusterstate", Group: clusterstate.GroupName, Body: replica.EncodeClusterStateCommand(command),
	})
	return c.lastRequestID
}
