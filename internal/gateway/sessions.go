package gateway

// This file manages client sessions. A session numbers the submissions of one client to one
// queue without gaps, so that the queue can tell resends from new submissions.

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strconv"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// queueClient identifies a session by its queue and its client.
type queueClient struct{ queue, client string }

// session holds one client's unconfirmed submissions to one queue. It ends after
// sessionIdleTimeout without new submissions, so that the queue's leader can forget it too.
type session struct {
	queue       string
	generation  uint64 // of the queue
	id          *schema.Session
	nextNumber  uint64           // number of the next submission
	unconfirmed []*submission    // in ascending order of number
	lastUsed    eventloop.Micros // when the last submission was numbered
}

// lowestUnconfirmed returns the lowest number whose outcome the queue must remember.
func (s *session) lowestUnconfirmed() uint64 {
	if len(s.unconfirmed) > 0 {
		return s.unconfirmed[0].enqueue.Number
	}
	return s.nextNumber
}

// confirm removes the submission with the given number from the unconfirmed ones and returns
// it, or nil if there is none. It also returns the unconfirmed submissions with lower
// numbers, which must have been lost in transit.
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

// sessionKey returns the key of a session in Gateway.sessionsByID. client is the name under
// which the queue knows the session: schema.Session.Client.
func sessionKey(queue, client string) string { return queue + "/" + client }

// openSession returns a client's session with a queue, and creates it if there is none.
func (g *Gateway) openSession(key queueClient) *session {
	if s := g.sessions[key]; s != nil {
		return s
	}
	g.lastSession++
	s := &session{
		queue: key.queue, generation: clusterstate.FindQueue(g.state, key.queue).GetGeneration(), nextNumber: 1,
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

// endSession drops a session with its unconfirmed submissions. It reports an unknown outcome to
// the waiting clients, as the queue may have applied their submissions.
func (g *Gateway) endSession(key queueClient, effects eventloop.Effects) {
	s := g.sessions[key]
	for _, pending := range s.unconfirmed {
		if pending.requestID != 0 {
			delete(g.submissionsByRequest, pending.requestID)
			effects.Respond(pending.requestID, outcomeUnknown())
		}
	}
	g.unconfirmedCount -= len(s.unconfirmed)
	g.unconfirmedByQueue[key.queue] -= len(s.unconfirmed)
	g.dropSession(key, s)
}

// restartSessions abandons all sessions, tells their queues to end them, and continues in a
// new incarnation. It reports an unknown outcome to all clients that wait for a submission.
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

// abandonStaleSessions abandons sessions whose oldest submission has been unconfirmed for
// maxUnconfirmedAge. The client of that submission was answered long ago. A queue remembers a
// cancel only for queue.CancelledNameRetentionUs, and a submission must not be delivered after
// that.
func (g *Gateway) abandonStaleSessions(now eventloop.Micros, effects eventloop.Effects) {
	stale := map[queueClient]*session{}
	for key, s := range g.sessions {
		if len(s.unconfirmed) > 0 && now-s.unconfirmed[0].numberedAt > maxUnconfirmedAge {
			stale[key] = s
		}
	}
	for _, key := range sortedClients(stale) {
		g.endedSessions[key.queue] = append(g.endedSessions[key.queue], stale[key].id)
		g.endSession(key, effects)
	}
}

// sortedClients returns the keys of sessions, sorted by queue and client.
func sortedClients(sessions map[queueClient]*session) []queueClient {
	return slices.SortedFunc(maps.Keys(sessions), func(a, b queueClient) int {
		return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.client, b.client))
	})
}

// endIdleSessions ends sessions without unconfirmed submissions that have been idle for
// sessionIdleTimeout, and reports them to their queues in batches.
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
