package replica

// Rows of a large plan that are on their way to other processes.

import (
	"maps"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// configurationSent is when a plan's rows were last sent to a process.
type configurationSent struct {
	revision      uint64
	inFlightUntil eventloop.Micros // they may be on their way
}

// suppressResend tells whether a plan's packed rows were sent to a process so lately
// that they may still be on their way, and else notes that they are sent now. Who
// asks often would else be sent them again and again over a slow link.
func (h *Host) suppressResend(now eventloop.Micros, to string, configuration *schema.Configuration) bool {
	if len(configuration.PackedRows) == 0 || to == h.id {
		return false
	}
	last := h.configurationsSent[to]
	if last.revision == configuration.Revision && now < last.inFlightUntil {
		return true
	}
	maps.DeleteFunc(h.configurationsSent, func(_ string, each configurationSent) bool { return now >= each.inFlightUntil })
	h.configurationsSent[to] = configurationSent{configuration.Revision, now + 2*eventloop.LinkTime(len(configuration.PackedRows))}
	return false
}
