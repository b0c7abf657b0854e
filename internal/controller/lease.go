package controller

// The controller's lease: who is the active controller.

import (
	"encoding/json"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// pollClusterState asks after the cluster state: a candidate asks every store, for it must know what
// each of them says once it is controller; the others take turns, for all asking all
// would cost the stores more than what they are there for.
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

// candidateRank is our place among the side machines that stand for controller, if we do.
func (c *Controller) candidateRank(now eventloop.Micros) (int, bool) {
	zones := map[string]string{c.id: c.view.Self.GetZone()}
	for id, known := range c.view.Members {
		if known.Member.Role == schema.Role_ROLE_CONTROLLER && c.view.IsAlive(id, now, c.timeouts.SuspectTimeout) {
			zones[id] = known.Member.Zone
		}
	}
	rank := slices.Index(membership.SpreadOverZones(zones, membership.MaxControllerCandidates), c.id)
	return rank, rank >= 0
}

func (c *Controller) holdsLease(now eventloop.Micros) bool {
	return c.fencingToken != 0 && now < c.leaseValidUntil
}

// acquireOrRenewLease renews the lease, or claims one that nobody renews. Candidates wait
// by rank, so that seldom two try at once.
func (c *Controller) acquireOrRenewLease(now eventloop.Micros, effects eventloop.Effects) {
	for id, at := range c.pendingClaims {
		if now-at > 3*eventloop.Second {
			delete(c.pendingClaims, id)
		}
	}
	if c.holdsLease(now) {
		if now-c.claimedAt >= leaseRenewInterval {
			c.claimLease(now, effects)
		}
		return
	}
	if len(c.reports) == 0 || now-c.claimedAt < leaseRetryInterval {
		return
	}
	rank, isCandidate := c.candidateRank(now)
	if !isCandidate {
		return
	}
	unrenewedFor := now - c.leaseExpirySeenAt
	expired := c.leaseExpiryUs == 0 || unrenewedFor > eventloop.Micros(clusterstate.ControllerLeaseUs)
	// A controller that nobody hears needn't be waited for, but the cluster state will
	// only give its lease away when it has run out.
	// Whoever held it last may take it up again at once: while the cluster state had no
	// leader nobody could renew anything.
	wasHolder := c.state.ControllerLease.GetHolder() == c.id
	if wasHolder || expired && unrenewedFor > eventloop.Micros(clusterstate.ControllerLeaseUs)+eventloop.Micros(rank)*300*eventloop.Millisecond || c.leaseExpiryUs == 0 && now > eventloop.Micros(rank)*300*eventloop.Millisecond {
		c.claimLease(now, effects)
	}
}

func (c *Controller) claimLease(now eventloop.Micros, effects eventloop.Effects) {
	c.claimedAt = now
	if id := c.sendCommand(now, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: c.id}}}, effects); id != 0 {
		c.pendingClaims[id] = now
	}
}

func (c *Controller) handleClaimReply(now eventloop.Micros, reply *schema.Response) {
	sentAt, found := c.pendingClaims[reply.Id]
	if !found || reply.Code == 0 {
		return
	}
	delete(c.pendingClaims, reply.Id)
	// Claims go out before the last one is answered: an answer that comes after one
	// to a later claim says what was, not what is.
	if reply.Id < c.newestAnsweredClaim {
		return
	}
	c.newestAnsweredClaim = reply.Id
	var result struct {
		Lease uint64 `json:"lease"`
	}
	if reply.Code != 200 || json.Unmarshal(reply.Body, &result) != nil || result.Lease == 0 {
		c.fencingToken = 0
		return
	}
	// How the groups stand is told to the active controller alone.
	if c.fencingToken == 0 {
		c.polledAt = 0
	}
	// Counted from when it was asked for, so it ends here before it ends there.
	c.fencingToken = result.Lease
	c.leaseValidUntil = max(c.leaseValidUntil, sentAt+eventloop.Micros(clusterstate.ControllerLeaseUs)-leaseSafetyMargin)
}

// sendCommand gives a command to the cluster state's leader.
func (c *Controller) sendCommand(now eventloop.Micros, command *schema.ClusterStateCommand, effects eventloop.Effects) uint64 {
	to := c.leaderOf(now, clusterstate.Group)
	if to == "" {
		return 0
	}
	c.lastRequestID++
	effects.Send(to, &schema.Request{Id: c.lastRequestID, Kind: "clusterstate", Group: clusterstate.Group, Body: replica.EncodeClusterStateCommand(command)})
	return c.lastRequestID
}

// leaderOf is who says itself that it leads a group, else whom others name.
func (c *Controller) leaderOf(now eventloop.Micros, group string) string {
	return c.leaderAmong(now, c.liveStorageNodes(now), group)
}

func (c *Controller) leaderAmong(now eventloop.Micros, storageNodes []string, group string) string {
	named, selfReported := "", ""
	var selfReportedAt eventloop.Micros
	for _, id := range storageNodes {
		report, isKnown := c.reports[id]
		if !isKnown || now-report.receivedAt > c.timeouts.SuspectTimeout {
			continue
		}
		leader := report.update.Leaders[group]
		// Of two that say so the later one does: the other may be gone.
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

// isDeposed tells that a store which doesn't answer has lost all that it led:
// its peers have missed it already and say so, which is sooner than we would
// suspect it ourselves.
func (c *Controller) isDeposed(now eventloop.Micros, id string) bool {
	lastReport := c.reports[id]
	if lastReport.update == nil || now-lastReport.receivedAt <= deposedTimeout {
		return false
	}
	wasLeader := false
	for group, leader := range lastReport.update.Leaders {
		if leader != id {
			continue
		}
		wasLeader = true
		superseded := false
		for other, report := range c.reports {
			superseded = superseded || other != id && report.receivedAt > lastReport.receivedAt && report.update.Leaders[group] == other
		}
		if !superseded {
			return false
		}
	}
	return wasLeader
}
