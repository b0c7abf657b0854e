package controller

import (
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// reconcileQueues places newly configured queues and removes queues that are no longer configured.
func (c *Controller) reconcileQueues(now eventloop.Micros, effects eventloop.Effects) {
	statuses := c.groupStatuses(now)
	clusterStateStatus := statuses[clusterstate.GroupName]
	if clusterStateStatus == nil {
		return
	}
	command := &schema.PlaceQueues{
		FencingToken: c.fencingToken,
		Queues:       c.missingQueues(now, clusterStateStatus),
		Removed:      c.removableGroups(now, statuses),
	}
	if len(command.Queues)+len(command.Removed) == 0 {
		return
	}
	// An identical command waits until the effect of the previous one can be visible; a different
	// command doesn't.
	action := placementKey(command)
	if action != c.lastQueueAction {
		delete(c.lastActions, "queues")
	}
	// If no leader is known to send the command to, the next tick tries again.
	if c.leaderOf(now, clusterstate.GroupName) != "" && c.allowAction(now, "queues", actionInterval) {
		c.lastQueueAction = action
		c.sendCommand(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: command}}, effects)
	}
}

// missingQueues returns a placement for each configured queue that has none.
func (c *Controller) missingQueues(now eventloop.Micros, clusterStateStatus *schema.QueueStatus) []*schema.QueuePlacement {
	var missing []*schema.QueuePlacement
	leader := ""
	for _, name := range c.values.Queues() {
		if clusterstate.FindQueue(c.state, name) != nil {
			continue
		}
		if len(missing) == 0 {
			leader = c.mostSuitable(now)
		}
		missing = append(missing, &schema.QueuePlacement{Queue: name, InitialVoters: clusterStateStatus.Voters, PreferredLeader: leader})
	}
	return missing
}

// removableGroups returns the groups whose queues have no live or retained jobs and have been out
// of the configuration for at least QueueRemovalDelay. For that long a gateway with an older copy
// of the configuration may still accept jobs for a queue.
func (c *Controller) removableGroups(now eventloop.Micros, statuses map[string]*schema.QueueStatus) []string {
	revision := c.state.Configuration.GetRevision()
	if revision > c.unconfiguredRevision+1 {
		// A revision in between that this node didn't see may have contained the queues.
		clear(c.unconfiguredSince)
	}
	var removable []string
	unconfigured := map[string]eventloop.Micros{}
	for _, placement := range c.state.Queues {
		if c.values.HasQueue(placement.Queue) {
			continue
		}
		group := replica.GroupName(placement)
		since, isKnown := c.unconfiguredSince[group]
		if !isKnown {
			since = now
		}
		unconfigured[group] = since
		status := statuses[group]
		if now-since >= c.timeouts.QueueRemovalDelay && status != nil && status.LiveJobs == 0 && status.RetainedJobs == 0 {
			removable = append(removable, group)
		}
	}
	c.unconfiguredSince, c.unconfiguredRevision = unconfigured, revision
	return removable
}

// placementKey returns a string that identifies which queues a command places and removes.
func placementKey(command *schema.PlaceQueues) string {
	var names []string
	for _, placement := range command.Queues {
		names = append(names, placement.Queue)
	}
	return strings.Join(names, " ") + "/" + strings.Join(command.Removed, " ")
}
