package controller

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// incarnationMask selects the lower 32 bits of a session's incarnation, which contain the gateway
// node's incarnation. The upper bits count how often the gateway node has restarted its sessions.
const incarnationMask = 1<<32 - 1

// reconcileSessions requests the end of the sessions of gateway nodes that have restarted, or have
// been unresponsive for longer than the configured timeout.
func (c *Controller) reconcileSessions(now eventloop.Micros, effects eventloop.Effects) {
	timeout := eventloop.Micros(c.values.Fleet("session_timeout_s")) * eventloop.Second
	statuses := c.groupStatuses(now)
	for _, group := range slices.Sorted(maps.Keys(statuses)) {
		status := statuses[group]
		var expired []*schema.ExpiredGateway
		for _, gateway := range status.Gateways {
			if c.isGatewayExpired(now, gateway, timeout) {
				expired = append(expired, &schema.ExpiredGateway{Gateway: gateway.Gateway, Incarnation: gateway.Incarnation})
			}
		}
		if len(expired) > 0 && c.allowAction(now, "sessions/"+status.Queue, eventloop.Second) {
			effects.Send(status.Leader, &schema.EndSessionsRequest{Queue: status.Queue, Gateways: expired, FencingToken: c.fencingToken})
		}
	}
}

// isGatewayExpired reports whether the sessions of a gateway node's incarnation should end.
func (c *Controller) isGatewayExpired(now eventloop.Micros, gateway *schema.ExpiredGateway, timeout eventloop.Micros) bool {
	member, found := c.view.Members[gateway.Gateway]
	// The queue may have heard of a restarted gateway node before this controller has.
	if found && member.Member.Incarnation > gateway.Incarnation&incarnationMask {
		return true
	}
	key := "gateway/" + gateway.Gateway
	if found && now-member.LastHeard < c.timeouts.SuspectTimeout {
		delete(c.missingSince, key)
		return false
	}
	return c.trackMissing(now, key) > timeout
}
