package controller

// Ending the sessions of gateways that are gone.

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// reconcileSessions ends those of gateway that have been gone longer than the plan lets
// them timeout.
func (c *Controller) reconcileSessions(now eventloop.Micros, effects eventloop.Effects) {
	timeout := eventloop.Micros(c.values.Fleet("session_timeout_s")) * eventloop.Second
	statuses := c.groupStatuses(now)
	for _, group := range slices.Sorted(maps.Keys(statuses)) {
		status := statuses[group]
		var ended []*schema.ExpiredGateway
		for _, session := range status.Gateways {
			key := "gateway/" + session.Gateway
			known, isKnown := c.view.Members[session.Gateway]
			isNewer := isKnown && known.Member.Incarnation != session.Incarnation&(1<<32-1)
			if isKnown && !isNewer && now-known.LastHeard < c.timeouts.SuspectTimeout {
				delete(c.missingSince, key)
				continue
			}
			if isNewer || c.missingFor(now, key) > timeout {
				ended = append(ended, &schema.ExpiredGateway{Gateway: session.Gateway, Incarnation: session.Incarnation})
			}
		}
		if len(ended) > 0 && c.allowAction(now, "sessions/"+status.Queue, eventloop.Second) {
			effects.Send(status.Leader, &schema.EndSessionsRequest{Queue: status.Queue, Gateways: ended})
		}
	}
}
