package controller

import (
	"encoding/json"
	"net/http"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

const (
	leaseDuration      = eventloop.Micros(clusterstate.ControllerLeaseUs)
	leaseRenewInterval = 800 * eventloop.Millisecond
	leaseRetryInterval = 500 * eventloop.Millisecond
	leaseSafetyMargin  = 300 * eventloop.Millisecond // the holder stops using the lease this long before it expires
	candidateDelay     = 300 * eventloop.Millisecond // delay between the claims of candidates with consecutive ranks
	claimTimeout       = 3 * eventloop.Second        // later replies are ignored
)

func (c *Controller) holdsLease(now eventloop.Micros) bool {
	return c.fencingToken != 0 && now < c.leaseValidUntil
}

// candidateRank returns this node's rank among the candidates for the lease, and whether it is one
// of them. The rank counts from 0.
func (c *Controller) candidateRank(now eventloop.Micros) (rank int, isCandidate bool) {
	zones := map[string]string{c.id: c.view.Self.GetZone()}
	for id, status := range c.view.Members {
		if status.Member.Role == schema.Role_ROLE_CONTROLLER && c.isAlive(now, id) {
			zones[id] = status.Member.Zone
		}
	}
	rank = slices.Index(membership.SpreadOverZones(zones, membership.MaxControllerCandidates), c.id)
	return rank, rank >= 0
}

// acquireOrRenewLease claims the lease if this node holds it and it is due for renewal, or if no
// node renews it and this node is a candidate.
func (c *Controller) acquireOrRenewLease(now eventloop.Micros, effects eventloop.Effects) {
	for id, sentAt := range c.pendingClaims {
		if now-sentAt > claimTimeout {
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
	if rank, isCandidate := c.candidateRank(now); isCandidate && c.shouldClaimLease(now, rank) {
		c.claimLease(now, effects)
	}
}

// shouldClaimLease reports whether this candidate should claim the lease now. The delay of a
// candidate increases with its rank, so that two candidates rarely claim at the same time. The
// last holder doesn't wait, because it may have failed to renew only while the cluster state's
// group had no leader.
func (c *Controller) shouldClaimLease(now eventloop.Micros, rank int) bool {
	if c.state.ControllerLease.GetHolder() == c.id {
		return true
	}
	delay := eventloop.Micros(rank) * candidateDelay
	if c.leaseExpiryUs == 0 {
		// This node hasn't seen a lease yet.
		return now-c.firstReportAt > delay
	}
	unrenewedFor := now - c.leaseExpirySeenAt
	return unrenewedFor > leaseDuration+delay
}

func (c *Controller) claimLease(now eventloop.Micros, effects eventloop.Effects) {
	c.claimedAt = now
	claim := &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: c.id}}
	if id := c.sendCommand(now, &schema.ClusterStateCommand{Body: claim}, effects); id != 0 {
		c.pendingClaims[id] = now
	}
}

// handleClaimReply stores the granted lease, or gives the lease up if the claim was rejected.
func (c *Controller) handleClaimReply(now eventloop.Micros, reply *schema.Response) {
	sentAt, found := c.pendingClaims[reply.Id]
	if !found || reply.Code == 0 {
		return
	}
	delete(c.pendingClaims, reply.Id)
	// Several claims may be pending. The reply to a claim is outdated if a newer claim was already
	// answered.
	if reply.Id < c.newestAnsweredClaim {
		return
	}
	c.newestAnsweredClaim = reply.Id
	var result struct {
		Lease uint64 `json:"lease"`
	}
	if reply.Code != http.StatusOK || json.Unmarshal(reply.Body, &result) != nil || result.Lease == 0 {
		c.fencingToken = 0
		return
	}
	if c.fencingToken == 0 {
		c.polledAt = 0 // poll at the next tick, because storage nodes report group statuses only to the controller
	}
	c.fencingToken = result.Lease
	// The duration counts from when the claim was sent, so that this node stops using the lease
	// before it expires in the cluster state.
	c.leaseValidUntil = max(c.leaseValidUntil, sentAt+leaseDuration-leaseSafetyMargin)
}
