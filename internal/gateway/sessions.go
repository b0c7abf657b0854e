package gateway

// Client sessions: the submissions of one client to one queue, numbered without gaps, so
// that the queue can tell resends from new ones.

import (
	"maps"
	"slices"
	"sort"
	"strconv"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

type queueClient struct{ queue, client string }

// session is one client's submissions to one queue. It ends when it has been idle for a
// while, so that the queue's leader can forget it too.
type session struct {
	queue       string
	id          *schema.Session
	nextNumber  uint64
	unconfirmed []*submission // by number
	lastUsed    eventloop.Micros
}

// lowestUnconfirmed is the number below which the queue needn't remember outcomes.
func (s *session) lowestUnconfirmed() uint64 {
	if len(s.unconfirmed) > 0 {
		return s.unconfirmed[0].enqueue.Number
	}
	return s.nextNumber
}

// confirm removes a submission from the unconfirmed ones, and returns it with those of
// lower numbers, which must have been lost in transit; nil: there is none of the number.
func (s *session) confirm(number uint64) (confirmed *submission, lost []*submission) {
	index := sort.Search(len(s.unconfirmed), func(k int) bool { return s.unconfirmed[k].enqueue.Number >= number })
	if index == len(s.unconfirmed) || s.unconfirmed[index].enqueue.Number != number {
		return nil, nil
	}
	confirmed = s.unconfirmed[index]
	lost = append(lost, s.unconfirmed[:index]...)
	s.unconfirmed = append(s.unconfirmed[:index:index], s.unconfirmed[index+1:]...)
	return confirmed, lost
}

// sessionKey is the key of a session by the name that the queue knows it by.
func sessionKey(queue, client string) string { return queue + "/" + client }

// openSession returns a client's session with a queue, a new one if there is none.
func (g *Gateway) openSession(key queueClient) *session {
	if s := g.sessions[key]; s != nil {
		return s
	}
	g.lastSession++
	s := &session{
		queue: key.queue, nextNumber: 1,
		id: &schema.Session{
			Gateway: g.id, Incarnation: g.incarnation, Client: key.client + "~" + strconv.FormatUint(g.lastSession, 10),
		},
	}
	g.sessions[key] = s
	g.sessionsByID[sessionKey(s.queue, s.id.Client)] = s
	return s
}

func (g *Gateway) dropSession(key queueClient, s *session) {
	delete(g.sessions, key)
	delete(g.sessionsByID, sessionKey(s.queue, s.id.Client))
}

// restartSessions gives all sessions up and goes on in a new incarnation. The outcome of
// what is unconfirmed is unknown.
func (g *Gateway) restartSessions(now eventloop.Micros, effects eventloop.Effects) {
	queues := map[string]bool{}
	for _, s := range g.sessions {
		queues[s.queue] = true
		for _, pending := range s.unconfirmed {
			if pending.requestID != 0 {
				effects.Respond(pending.requestID, outcomeUnknown())
			}
		}
	}
	for _, queue := range slices.Sorted(maps.Keys(queues)) {
		effects.Send(g.target(now, queue), &schema.EndSessionsRequest{
			Queue: queue, Gateways: []*schema.ExpiredGateway{{Gateway: g.id, Incarnation: g.incarnation}},
		})
	}
	g.sessions, g.sessionsByID, g.unconfirmedCount = map[queueClient]*session{}, map[string]*session{}, 0
	g.unconfirmedByQueue, g.submissionsByRequest = map[string]int{}, map[uint64]*submission{}
	g.incarnation += 1 << incarnationRestartShift
}

// endIdleSessions ends sessions that have been idle, and reports them to their queues in
// batches.
func (g *Gateway) endIdleSessions(now eventloop.Micros, effects eventloop.Effects) {
	for key, s := range g.sessions {
		if len(s.unconfirmed) == 0 && now-s.lastUsed > sessionIdleTimeout {
			g.dropSession(key, s)
			g.endedSessions[key.queue] = append(g.endedSessions[key.queue], s.id)
		}
	}
	queues := map[string]bool{}
	for queue, sessions := range g.endedSessions {
		if len(sessions) >= maxEndedSessions || now%endedSessionInterval < TickInterval {
			queues[queue] = true
		}
	}
	for _, queue := range slices.Sorted(maps.Keys(queues)) {
		sessions := g.endedSessions[queue]
		delete(g.endedSessions, queue)
		sort.Slice(sessions, func(a, b int) bool { return sessions[a].Client < sessions[b].Client })
		effects.Send(g.target(now, queue), &schema.EndSessionsRequest{Queue: queue, Sessions: sessions})
	}
}
