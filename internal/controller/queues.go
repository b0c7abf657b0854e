package controller

import (
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// reconcileQueues places the queues that are configured and removes those that aren't any more.
func (c *Controller) reconcileQueues(now eventloop.Micros, effects eventloop.Effects) {
	statuses := c.groupStatuses(now)
	clusterStateStatus := statuses[clusterstate.GroupName]
	if clusterStateStatus == nil {
		return
	}
	command := &schema.PlaceQueues{
		FencingToken: c.fencingToken,
		Queues:       c.missingQueues(now, clusterStateStatus),
		Removed:      c.endedQueues(now, statuses),
	}
	if len(command.Queues)+len(command.Removed) == 0 {
		return
	}
	// Only the same placement waits until its effect can be visible.
	action := placementKey(command)
	if action != c.lastQueueAction {
		delete(c.lastActions, "queues")
	}
	// Without a leader to send it to, it is tried again at the next tick.
	if c.leaderOf(now, clusterstate.GroupName) != "" && c.allowAction(now, "queues", actionInterval) {
		c.lastQueueAction = action
		c.sendCommand(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: command}}, effects)
	}
}

// missingQueues returns placements for the configured queues that have none.
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

// endedQueues returns the groups of the queues that haven't been configured for as long as a
// gateway with an older copy may take jobs for them, and have no live or retained jobs.
func (c *Controller) endedQueues(now eventloop.Micros, statuses map[string]*schema.QueueStatus) []string {
	revision := c.state.Configuration.GetRevision()
	if revision > c.unconfiguredRevision+1 {
		// One in between, which wasn't seen, may have had the queues.
		clear(c.unconfiguredSince)
	}
	var ended []string
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
			ended = append(ended, group)
		}
	}
	c.unconfiguredSince, c.unconfiguredRevision = unconfigured, revision
	return ended
}

func placementKey(command *schema.PlaceQueues) string {
	var names []string
	for _, placement := range command.Queues {
		names = append(names, placement.Queue)
	}
	return strings.Join(names, " ") + "/" + strings.Join(command.Removed, " ")
}
