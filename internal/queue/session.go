package queue

// Sessions of gateways: numbered submissions, admitted in order.

import (
	"sort"

	"sparnotch/internal/schema"
)

// sessionKey names a session: one client of one incarnation of a gateway.
type sessionKey struct {
	gateway     string
	incarnation uint64
	client      string
}

// gatewayKey names one incarnation of a gateway.
type gatewayKey struct {
	gateway     string
	incarnation uint64
}

type session struct {
	next    uint64                                    // next submission number to admit
	pending map[uint64]*schema.PendingEnqueueSnapshot // higher numbers, held until the gap below is filled
}

func sessionKeyOf(s *schema.Session) sessionKey {
	return sessionKey{s.GetGateway(), s.GetIncarnation(), s.GetClient()}
}

func (k sessionKey) session() *schema.Session {
	return &schema.Session{Gateway: k.gateway, Incarnation: k.incarnation, Client: k.client}
}

// pendingNumbers lists the held numbers in order.
func (s *session) pendingNumbers() []uint64 {
	numbers := make([]uint64, 0, len(s.pending))
	for number := range s.pending {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(a, b int) bool { return numbers[a] < numbers[b] })
	return numbers
}

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

// endSessions removes single sessions at their gateway's request, and all those of
// gateways that have expired.
func (m *Machine) endSessions(c *schema.EndSessions) {
	for _, session := range c.Sessions {
		m.removeSession(sessionKeyOf(session))
	}
	for _, gateway := range c.Gateways {
		m.expiredGateways[gatewayKey{gateway.Gateway, gateway.Incarnation}] = m.now
		for key := range m.sessions {
			// Held submissions were never confirmed, and nobody is left to fill the gap
			// below them.
			if key.gateway == gateway.Gateway && key.incarnation == gateway.Incarnation {
				m.removeSession(key)
			}
		}
	}
}

func (m *Machine) removeSession(key sessionKey) {
	if s := m.sessions[key]; s != nil {
		m.pendingEnqueues -= len(s.pending)
		delete(m.sessions, key)
	}
}
