package controller

import (
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// deposedTimeout is how long a storage node must have left polls unanswered before it can
// count as deposed.
const deposedTimeout = 600 * eventloop.Millisecond

// observeStorageNodes keeps track of which storage nodes are missing and where they were, also
// while this node isn't the controller.
func (c *Controller) observeStorageNodes(now eventloop.Micros) {
	for id, status := range c.view.Members {
		if status.Member.HasStorage {
			c.lastLocations[id] = lastLocation{
				address: status.Member.InternalAddress, zone: status.Member.Zone, lastHeard: status.LastHeard,
			}
			c.isLost(now, id)
		}
	}
}

// isLost reports whether a storage node has been missing for so long that its votes may be given
// to another: sooner if a node has newly joined to replace it, at once if it has a successor. It
// keeps track of when the node was first missed.
func (c *Controller) isLost(now eventloop.Micros, id string) bool {
	status, found := c.view.Members[id]
	if found && now-status.LastHeard < c.timeouts.SuspectTimeout {
		delete(c.missingSince, id)
		return false
	}
	missing := c.trackMissing(now, id)
	if found {
		// It is first missed when it has been unresponsive for this timeout.
		missing += c.timeouts.SuspectTimeout
	}
	return c.hasSuccessor(now, id) || missing > c.timeouts.ReplaceTimeout ||
		missing > c.timeouts.ReplaceByNewTimeout && c.hasNewlyJoined(now)
}

// trackMissing returns for how long a key has been missing, and starts the count at its first
// call.
func (c *Controller) trackMissing(now eventloop.Micros, key string) eventloop.Micros {
	since, found := c.missingSince[key]
	if !found {
		c.missingSince[key] = now
		return 0
	}
	return now - since
}

// hasSuccessor reports whether another storage node runs at the address of an unresponsive one.
// Then its disk is gone and it won't come back; to wait for it would only leave its groups a
// voter short when the next machine fails.
//
// The membership removes a node as soon as another is heard from at its address, so the last
// locations are kept here.
func (c *Controller) hasSuccessor(now eventloop.Micros, id string) bool {
	previous, found := c.lastLocations[id]
	if !found || previous.address == "" {
		return false
	}
	for other, status := range c.view.Members {
		isSuccessor := other != id && status.Member.HasStorage &&
			status.Member.InternalAddress == previous.address && status.LastHeard > previous.lastHeard
		if isSuccessor && c.isAlive(now, other) {
			return true
		}
	}
	return false
}

// hasNewlyJoined reports whether a storage node has newly joined the cluster.
func (c *Controller) hasNewlyJoined(now eventloop.Micros) bool {
	return c.view.FindNewlyJoined(now, c.timeouts.ReplaceTimeout, c.clusterAge(now), nil) != ""
}

// clusterAge returns the age of the cluster, or less: the cluster state's time of the last grant
// of the controller lease, which stands still without a leader, and the time since then by this
// node's clock.
func (c *Controller) clusterAge(now eventloop.Micros) eventloop.Micros {
	if c.leaseExpiryUs == 0 {
		return 0
	}
	return eventloop.Micros(c.leaseExpiryUs-clusterstate.ControllerLeaseUs) + now - c.leaseExpirySeenAt
}

// isDeposed reports whether an unresponsive storage node has lost the leadership of all that it
// led: other nodes report to lead it since. That is known before the node would be suspected
// here.
func (c *Controller) isDeposed(now eventloop.Micros, id string) bool {
	last := c.reports[id]
	if last.update == nil || now-last.receivedAt <= deposedTimeout {
		return false
	}
	wasLeader := false
	for group, leader := range last.update.Leaders {
		if leader != id {
			continue
		}
		wasLeader = true
		if !c.isLedByOtherSince(group, id, last.receivedAt) {
			return false
		}
	}
	return wasLeader
}

func (c *Controller) isLedByOtherSince(group, id string, since eventloop.Micros) bool {
	for other, report := range c.reports {
		if other != id && report.receivedAt > since && report.update.Leaders[group] == other {
			return true
		}
	}
	return false
}
