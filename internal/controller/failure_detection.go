package controller

import (
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// deposedTimeout is how long a storage node must have left polls unanswered before the controller
// may treat it as deposed.
const deposedTimeout = 600 * eventloop.Millisecond

// observeStorageNodes records which storage nodes are missing and where each was last heard of. It
// does so even while this node doesn't hold the controller lease.
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
// to another node. It is lost immediately if it has a successor at its address, after
// ReplaceByNewTimeout if some storage node has newly joined, and otherwise after ReplaceTimeout.
// isLost also records when the node was first missed.
func (c *Controller) isLost(now eventloop.Micros, id string) bool {
	status, found := c.view.Members[id]
	if found && now-status.LastHeard < c.timeouts.SuspectTimeout {
		delete(c.missingSince, id)
		return false
	}
	missing := c.trackMissing(now, id)
	if found {
		// The node was recorded as missing only after it was unresponsive for this timeout.
		missing += c.timeouts.SuspectTimeout
	}
	return c.hasSuccessor(now, id) || missing > c.timeouts.ReplaceTimeout ||
		missing > c.timeouts.ReplaceByNewTimeout && c.hasNewlyJoined(now)
}

// trackMissing returns how long a key of missingSince has been missing. The first call for a key
// records the current time and returns 0.
func (c *Controller) trackMissing(now eventloop.Micros, key string) eventloop.Micros {
	since, found := c.missingSince[key]
	if !found {
		c.missingSince[key] = now
		return 0
	}
	return now - since
}

// hasSuccessor reports whether another storage node runs at the address of an unresponsive one. In
// that case the disk of the unresponsive node is gone and the node won't come back. Waiting for it
// would only leave its groups a voter short when the next machine fails.
//
// The membership removes a node as soon as another one is heard of at its address, so the
// controller remembers the last locations itself.
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

// hasNewlyJoined reports whether any live storage node has newly joined the cluster, see
// membership.IsNewlyJoined.
func (c *Controller) hasNewlyJoined(now eventloop.Micros) bool {
	return c.view.FindNewlyJoined(now, c.timeouts.ReplaceTimeout, c.clusterAge(now), nil) != ""
}

// clusterAge returns a lower bound for the age of the cluster, in µs. It adds the time since the
// last known grant of the controller lease, by this node's clock, to the time of that grant in the
// cluster state. The cluster state's time stands still while its group has no leader.
func (c *Controller) clusterAge(now eventloop.Micros) eventloop.Micros {
	if c.leaseExpiryUs == 0 {
		return 0
	}
	return eventloop.Micros(c.leaseExpiryUs-clusterstate.ControllerLeaseUs) + now - c.leaseExpirySeenAt
}

// isDeposed reports whether an unresponsive storage node has lost the leadership of all groups that
// it led: since its last report, other nodes have reported that they lead these groups. The
// controller learns this earlier than the timeout after which it would suspect the node.
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

// isLedByOtherSince reports whether a storage node other than id has reported that it leads a
// group, and did so later than since.
func (c *Controller) isLedByOtherSince(group, id string, since eventloop.Micros) bool {
	for other, report := range c.reports {
		if other != id && report.receivedAt > since && report.update.Leaders[group] == other {
			return true
		}
	}
	return false
}
