package sim

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
)

// Link is a host's own link: what it sends and what it is sent goes over it in
// order, at a speed. A message that has waited for too long is given up, as the
// wires do.
type Link struct {
	BytesPerSecond                  int64            // bytes a second, each way; 0: no limit
	sendBusyUntil, receiveBusyUntil eventloop.Micros // when what is on its way will have passed
}

const (
	maxLinkDelay         = 2 * eventloop.Second
	messageOverheadBytes = 60 // bytes of a message besides its body
)

// transmit gives when a message that starts now will have passed, false if it would
// wait for too long before.
func (l *Link) transmit(now eventloop.Micros, free *eventloop.Micros, bytes int64) (eventloop.Micros, bool) {
	if l.BytesPerSecond == 0 {
		return now, true
	}
	start := max(now, *free)
	if start-now > maxLinkDelay {
		return 0, false
	}
	*free = start + eventloop.Micros(bytes*int64(eventloop.Second)/l.BytesPerSecond)
	return *free, true
}

// transferTime is how long a message is on the links of both hosts.
func (s *Simulation) transferTime(from, to *Host, body any) (eventloop.Micros, bool) {
	if from.Link.BytesPerSecond == 0 && (to == nil || to.Link.BytesPerSecond == 0) {
		return 0, true
	}
	bytes := int64(messageOverheadBytes)
	if message, ok := body.(proto.Message); ok {
		bytes += int64(proto.Size(message))
	}
	sent, isSent := from.Link.transmit(s.Now, &from.Link.sendBusyUntil, bytes)
	if !isSent || to == nil {
		return 0, isSent
	}
	come, isCome := to.Link.transmit(sent, &to.Link.receiveBusyUntil, bytes)
	return come - s.Now, isCome
}
