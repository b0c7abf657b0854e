package queue

// Enqueue: sessions, numbers, and names that stay one job.

import (
	"sparnotch/internal/schema"
)

type sessionKey struct {
	gateway     string
	incarnation uint64
	client      string
}

type gatewayKey struct {
	gateway     string
	incarnation uint64
}

type session struct {
	next    uint64
	pending map[uint64]*schema.PendingEnqueueSnapshot
}

func sessionKeyOf(s *schema.Session) sessionKey {
	return sessionKey{s.GetGateway(), s.GetIncarnation(), s.GetClient()}
}

func (m *Machine) enqueue(index uint64, e *schema.Enqueue) {
	key := sessionKeyOf(e.Session)
	if _, isDown := m.downGateways[gatewayKey{key.gateway, key.incarnation}]; isDown {
		// It was given up as dead, and its callers have long gone elsewhere:
		// what it still has in hand may have run and been forgotten.
		m.effects.Outcomes = append(m.effects.Outcomes, &schema.SubmitResult{Session: e.Session, Number: e.Number, Code: 410})
		return
	}
	s := m.sessions[key]
	if s == nil {
		s = &session{next: max(e.LowestUnconfirmed, 1), pending: map[uint64]*schema.PendingEnqueueSnapshot{}}
		m.sessions[key] = s
	}
	switch {
	case e.Number < s.next:
		m.addOutcome(e, m.resubmissionCode(e, 200))
		return
	case e.Number > s.next:
		if s.pending[e.Number] == nil {
			s.pending[e.Number] = &schema.PendingEnqueueSnapshot{Index: index, Enqueue: e}
			m.pendingEnqueues++
		}
		return
	}
	m.admitJob(index, e)
	s.next++
	for {
		next := s.pending[s.next]
		if next == nil {
			return
		}
		delete(s.pending, s.next)
		m.pendingEnqueues--
		m.admitJob(next.Index, next.Enqueue)
		s.next++
	}
}

func (m *Machine) closeSessions(c *schema.EndSessions) {
	for _, session := range c.Sessions {
		m.removeSession(sessionKeyOf(session))
	}
	for _, gateway := range c.Gateways {
		m.downGateways[gatewayKey{gateway.Gateway, gateway.Incarnation}] = m.now
		for key := range m.sessions {
			// Held submissions were never confirmed, and nobody is left who
			// could fill the gap below them.
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

// resubmissionCode is the code for a name that may already stand; `absent` is for
// one that doesn't.
func (m *Machine) resubmissionCode(e *schema.Enqueue, absent int32) int32 {
	var digest []byte
	if running := m.jobsByName[e.Name]; running != nil {
		digest = running.digest
	} else if ended := m.endedByName[e.Name]; ended != nil {
		digest = ended.Digest
	} else {
		return absent
	}
	if string(digest) == string(e.Digest) {
		return 200
	}
	return 409
}

func (m *Machine) addOutcome(e *schema.Enqueue, code int32) {
	result := &schema.SubmitResult{Session: e.Session, Number: e.Number, Code: code}
	if code == 409 {
		result.Error = &schema.Error{Code: "name_taken", Message: "this name stands for a job with other content", Field: "name"}
	} else {
		result.View, _ = m.JobView(e.Name)
	}
	m.effects.Outcomes = append(m.effects.Outcomes, result)
}

func (m *Machine) admitJob(index uint64, e *schema.Enqueue) {
	if code := m.resubmissionCode(e, 201); code != 201 {
		m.addOutcome(e, code)
		return
	}
	m.lastJobID++
	m.enqueues++
	j := &job{
		id: m.lastJobID, name: e.Name, digest: e.Digest, index: index, startUs: e.StartUs,
		spec: e.Job,
	}
	if j.startUs == 0 {
		j.startUs = m.now // its age and the later rounds are counted from it
	}
	j.expandSteps()
	m.jobs[j.id], m.jobsByName[j.name] = j, j
	m.byIndex.ReplaceOrInsert(j)
	j.state = schema.JobState_JOB_SCHEDULED
	m.openDueRounds(j)
	m.addOutcome(e, 201)
}

// openDueRounds opens every round that is due, never one before its time, and
// sets the job down for the next.
func (m *Machine) openDueRounds(j *job) {
	for j.openedRounds < j.rounds() && j.nextRoundUs() <= m.now {
		j.state = schema.JobState_JOB_RUNNING
		j.openRound()
		for part := range j.spec.Steps {
			if len(j.dependencies[part]) == 0 {
				m.emitStepEvents(j, j.firstStep(j.openedRounds-1)+part)
			}
		}
	}
	if j.openedRounds < j.rounds() {
		m.byStart.ReplaceOrInsert(j)
	}
}

func (m *Machine) reenqueue(index uint64, c *schema.Reenqueue) {
	j := m.jobs[c.Job]
	if j == nil {
		return
	}
	m.byIndex.Delete(j)
	j.index, j.spec, j.isDehydrated = index, c.Payload, false
	m.byIndex.ReplaceOrInsert(j)
	m.reenqueues++
	m.enqueues++
}
