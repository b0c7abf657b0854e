package queue

// This file implements sessions, whose numbered submissions are admitted in order.

import (
	"sort"

	"sparnotch/internal/schema"
)

// sessionKey identifies a session by its client and the gateway's incarnation.
type sessionKey struct {
	gateway     string
	incarnation uint64
	client      string
}

// gatewayKey identifies one incarnation of a gateway.
type gatewayKey struct {
	gateway     string
	incarnation uint64
}

// session is the state of one session.
type session struct {
	next    uint64                                    // number of the next submission to admit
	pending map[uint64]*schema.PendingEnqueueSnapshot // submissions with higher numbers, held until all lower numbers have been admitted
}

func sessionKeyOf(s *schema.Session) sessionKey {
	return sessionKey{s.GetGateway(), s.GetIncarnation(), s.GetClient()}
}

func (k sessionKey) session() *schema.Session {
	return &schema.Session{Gateway: k.gateway, Incarnation: k.incarnation, Client: k.client}
}

// pendingNumbers returns the numbers of the held submissions in ascending order.
func (s *session) pendingNumbers() []uint64 {
	numbers := make([]uint64, 0, len(s.pending))
	for number := range s.pending {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(a, b int) bool { return numbers[a] < numbers[b] })
	return numbers
}

// sortedSessionKeys returns the keys of all sessions, sorted by gateway, incarnation and
// client.
func (m *Machine) sortedSessionKeys() []sessionKey {
	keys := make([]sessionKey, 0, len(m.sessions))
	for key := range m.sessions {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool {
		x, y := keys[a], keys[b]
		if x.gateway != y.gateway {
			return x.gateway < y.gateway
		}
		if x.incarnation != y.incarnation {
			return x.incarnation < y.incarnation
		}
		return x.client < y.client
	})
	return keys
}

// endSessions removes single sessions at the request of their gateway, and all sessions of
// expired gateways. It remembers the expired gateways, so that enqueue can reject their
// submissions.
func (m *Machine) endSessions(c *schema.EndSessions) {
	for _, session := range c.Sessions {
		m.removeSession(sessionKeyOf(session))
	}
	for _, gateway := range c.Gateways {
		m.expiredGateways[gatewayKey{gateway.Gateway, gateway.Incarnation}] = m.now
		for key := range m.sessions {
			// The held submissions of these sessions can be dropped: they were never
			// confirmed, and no gateway is left to send the missing lower numbers.
			if key.gateway == gateway.Gateway && key.incarnation == gateway.Incarnation {
				m.removeSession(key)
			}
		}
	}
}

// removeSession removes a session and its held submissions.
func (m *Machine) removeSession(key sessionKey) {
	if s := m.sessions[key]; s != nil {
		m.pendingEnqueues -= len(s.pending)
		delete(m.sessions, key)
	}
}
