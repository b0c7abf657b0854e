package controller

import (
	"cmp"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

const pollInterval = 250 * eventloop.Millisecond

// storageNodeReport is the last response of a storage node to a poll.
type storageNodeReport struct {
	receivedAt eventloop.Micros
	update     *schema.ClusterStateResponse // nil: none
}

// pollClusterState requests the cluster state. A candidate for the controller lease polls every
// storage node, for as controller it must know what each of them reports. The other agent nodes
// poll one in turn: polls of all by all would load the storage nodes too much.
func (c *Controller) pollClusterState(now eventloop.Micros, effects eventloop.Effects) {
	storageNodes := c.liveStorageNodes(now)
	if len(storageNodes) == 0 {
		return
	}
	if _, isCandidate := c.candidateRank(now); !isCandidate && !c.holdsLease(now) {
		c.pollTurn++
		storageNodes = storageNodes[c.pollTurn%len(storageNodes):][:1]
	}
	for _, id := range storageNodes {
		effects.Send(id, &schema.ClusterStateRequest{Version: c.state.Version, HeldRevision: c.state.Configuration.GetRevision()})
	}
}

// handleClusterState takes a storage node's response and acts on what can't wait for the next
// tick.
func (c *Controller) handleClusterState(now eventloop.Micros, from string, update *schema.ClusterStateResponse, effects eventloop.Effects) {
	state, err := clusterstate.DecodeUpdate(update, c.state.Configuration)
	if err != nil {
		return // the next poll requests it again
	}
	changed := state != nil && state.Version > c.state.Version
	if state != nil && state.Version >= c.state.Version {
		c.state, c.values = state, c.values.ForConfiguration(state.Configuration)
		effects.Notify("membership", membership.ClusterStateObserved{Version: state.Version})
	}
	if update.ControllerLeaseExpiresUs > c.leaseExpiryUs {
		c.leaseExpiryUs, c.leaseExpirySeenAt = update.ControllerLeaseExpiresUs, now
	}
	// A response from before a known change is outdated.
	if update.Version >= c.state.Version {
		c.reports[from] = storageNodeReport{receivedAt: now, update: update}
		c.firstReportAt = cmp.Or(c.firstReportAt, now)
		c.publish(update.Leaders, effects)
	}
	if c.view == nil || !c.holdsLease(now) {
		return
	}
	// The next step of a repair waits for the report that the previous one is done.
	if len(update.QueueStatuses) > 0 {
		c.reconcileMembers(now, effects)
	}
	// Clients wait for queues that were just configured.
	if changed {
		c.reconcileQueues(now, effects)
	}
}

// publish sends the whole state to the subscribers each time, so that one that misses a message
// gets the next.
func (c *Controller) publish(leaders map[string]string, effects eventloop.Effects) {
	for _, subscriber := range c.subscribers {
		effects.Notify(subscriber, &schema.ClusterStateResponse{State: c.state, Version: c.state.Version, Leaders: leaders})
	}
}

// freshReport returns a storage node's report, unless it is older than the node may be
// unresponsive.
func (c *Controller) freshReport(now eventloop.Micros, id string) (storageNodeReport, bool) {
	report, found := c.reports[id]
	return report, found && now-report.receivedAt <= c.timeouts.SuspectTimeout
}

// groupStatuses returns what the leaders report of their groups, by group.
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

// leaderOf returns the live storage node that reports to lead a group itself, else the one that
// others name; empty if none is known.
func (c *Controller) leaderOf(now eventloop.Micros, group string) string {
	return c.leaderAmong(now, c.liveStorageNodes(now), group)
}

func (c *Controller) leaderAmong(now eventloop.Micros, storageNodes []string, group string) string {
	named, selfReported := "", ""
	var selfReportedAt eventloop.Micros
	for _, id := range storageNodes {
		report, fresh := c.freshReport(now, id)
		if !fresh {
			continue
		}
		leader := report.update.Leaders[group]
		// If two report to lead, the earlier one may have crashed since.
		if leader == id && (selfReported == "" || report.receivedAt > selfReportedAt) {
			selfReported, selfReportedAt = id, report.receivedAt
		}
		if leader != "" {
			named = leader
		}
	}
	if selfReported != "" {
		return selfReported
	}
	return named
}

// sendCommand sends a command to the leader of the cluster state's group. It returns the
// request's id, or 0 if no leader is known.
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
