package sim

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
)

// Uplink is a host's connection to the network. In each direction messages pass in order at
// a limited rate. A message that would wait longer than maxLinkDelay is dropped, as the
// transport does.
type Uplink struct {
	BytesPerSecond                  int64            // rate in each direction; 0: no limit
	sendBusyUntil, receiveBusyUntil eventloop.Micros // when the messages accepted so far will have passed
}

const (
	maxLinkDelay         = 2 * eventloop.Second
	messageOverheadBytes = 60 // bytes of a message in addition to its body
)

// transmit queues a message that reaches the uplink now, in the direction whose queue ends
// at busyUntil, and returns when the message has passed. It returns false if the message
// would wait too long and is dropped.
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

// transferTime returns the time in µs that a message takes to pass the uplinks of both
// hosts, or false if it is dropped.
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
