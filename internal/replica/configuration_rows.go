package replica

// This file tracks the rows of a large configuration that are in flight to other processes.

import (
	"maps"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// sentConfiguration records the configuration whose rows were last sent to a process.
type sentConfiguration struct {
	revision      uint64
	inFlightUntil eventloop.Micros // the rows may still arrive until this time
}

// suppressResend reports whether a configuration's packed rows may still be in flight to a
// process, so that they must not be sent again. Otherwise it records that they are sent now.
// Without this check a process that queries often over a slow link would be sent the same
// rows again and again.
func (h *Host) suppressResend(now eventloop.Micros, to string, configuration *schema.Configuration) bool {
	if len(configuration.PackedRows) == 0 || to == h.id {
		return false
	}
	last := h.sentConfigurations[to]
	if last.revision == configuration.Revision && now < last.inFlightUntil {
		return true
	}
	maps.DeleteFunc(h.sentConfigurations, func(_ string, sent sentConfiguration) bool { return now >= sent.inFlightUntil })
	h.sentConfigurations[to] = sentConfiguration{configuration.Revision, now + 2*eventloop.SlowestLinkTransferTime(len(configuration.PackedRows))}
	return false
}
