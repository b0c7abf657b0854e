package sim

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
)

// Uplink is a host's connection to the network: what it sends and what is sent to it passes
// in order, at a rate. A message that would wait for too long is dropped, as the transport
// does.
type Uplink struct {
	BytesPerSecond                  int64            // each way; 0: no limit
	sendBusyUntil, receiveBusyUntil eventloop.Micros // when what is on its way has passed
}

const (
	maxLinkDelay         = 2 * eventloop.Second
	messageOverheadBytes = 60 // of a message besides its body
)

// transmit is when a message has passed that comes to the link now, in the direction that
// is busy until then; false if it would wait for too long.
func (l *Uplink) transmit(now eventloop.Micros, busyUntil *eventloop.Micros, bytes int64) (eventloop.Micros, bool) {
	if l.BytesPerSecond == 0 {
		return now, true
	}
	start := max(now, *busyUntil)
	if start-now > maxLinkDelay {
		return 0, false
	}
	*busyUntil = start + eventloop.Micros(bytes*int64(eventloop.Second)/l.BytesPerSecond)
	return *busyUntil, true
}

// transferTime is how long a message takes to pass the links of both hosts, in µs; false
// if it is dropped.
func (s *Simulation) transferTime(from, to *Host, body any) (eventloop.Micros, bool) {
	if from.Uplink.BytesPerSecond == 0 && (to == nil || to.Uplink.BytesPerSecond == 0) {
		return 0, true
	}
	bytes := int64(messageOverheadBytes)
	if message, ok := body.(proto.Message); ok {
		bytes += int64(proto.Size(message))
	}
	sentAt, isSent := from.Uplink.transmit(s.Now, &from.Uplink.sendBusyUntil, bytes)
	if !isSent || to == nil {
		return 0, isSent
	}
	receivedAt, isReceived := to.Uplink.transmit(sentAt, &to.Uplink.receiveBusyUntil, bytes)
	return receivedAt - s.Now, isReceived
}
