package controller

// Ending the sessions of gateways that are gone.

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// sessions ends those of gateway that have been gone longer than the plan lets
// them timeout.
func (t *Table) sessions(now eventloop.Micros, out eventloop.Effects) {
	timeout := eventloop.Micros(t.values.Fleet("session_timeout_s")) * eventloop.Second
	notes := t.notes(now)
	for _, group := range slices.Sorted(maps.Keys(notes)) {
		note := notes[group]
		var over []*schema.ExpiredGateway
		for _, boot := range note.Gateways {
			key := "gateway/" + boot.Gateway
			known, isKnown := t.roll.Members[boot.Gateway]
			isNewer := isKnown && known.Member.Incarnation != boot.Incarnation&(1<<32-1)
			if isKnown && !isNewer && now-known.LastHeard < t.spans.SuspectTimeout {
				delete(t.gone, key)
				continue
			}
			if isNewer || t.lostFor(now, key) > timeout {
				over = append(over, &schema.ExpiredGateway{Gateway: boot.Gateway, Incarnation: boot.Incarnation})
			}
		}
		if len(over) > 0 && t.may(now, "sessions/"+note.Queue, eventloop.Second) {
			out.Send(note.Leader, &schema.EndSessionsRequest{Queue: note.Queue, Gateways: over})
		}
	}
}
