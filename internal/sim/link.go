package sim

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
)

// Link is a host's own link: what it sends and what it is sent goes over it in
// order, at a speed. A message that has waited for too long is given up, as the
// wires do.
type Link struct {
	Speed    int64            // bytes a second, each way; 0: no limit
	up, down eventloop.Micros // when what is on its way will have passed
}

const (
	linkStale   = 2 * eventloop.Second
	linkHeaders = 60 // bytes of a message besides its body
)

// pass gives when a message that starts now will have passed, false if it would
// wait for too long before.
func (l *Link) pass(now eventloop.Micros, free *eventloop.Micros, bytes int64) (eventloop.Micros, bool) {
	if l.Speed == 0 {
		return now, true
	}
	start := max(now, *free)
	if start-now > linkStale {
		return 0, false
	}
	*free = start + eventloop.Micros(bytes*int64(eventloop.Second)/l.Speed)
	return *free, true
}

// transfer is how long a message is on the links of both hosts.
func (w *World) transfer(from, to *Host, body any) (eventloop.Micros, bool) {
	if from.Link.Speed == 0 && (to == nil || to.Link.Speed == 0) {
		return 0, true
	}
	bytes := int64(linkHeaders)
	if message, isMessage := body.(proto.Message); isMessage {
		bytes += int64(proto.Size(message))
	}
	sent, isSent := from.Link.pass(w.Now, &from.Link.up, bytes)
	if !isSent || to == nil {
		return 0, isSent
	}
	come, isCome := to.Link.pass(sent, &to.Link.down, bytes)
	return come - w.Now, isCome
}
