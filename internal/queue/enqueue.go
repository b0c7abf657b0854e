package queue

// Enqueue: sessions, numbers, and names that stay one job.

import (
	"sparnotch/internal/schema"
)

type sessionKey struct {
	gateway string
	boot    uint64
	client  string
}

type bootKey struct {
	gateway string
	boot    uint64
}

type session struct {
	next uint64
	held map[uint64]*schema.PendingEnqueueSnapshot
}

func keyOf(s *schema.Session) sessionKey {
	return sessionKey{s.GetGateway(), s.GetIncarnation(), s.GetClient()}
}

func (m *Machine) enqueue(index uint64, e *schema.Enqueue) {
	key := keyOf(e.Session)
	if _, isGone := m.gone[bootKey{key.gateway, key.boot}]; isGone {
		// It was given up as dead, and its callers have long gone elsewhere:
		// what it still has in hand may have run and been forgotten.
		m.effects.Outcomes = append(m.effects.Outcomes, &schema.SubmitResult{Session: e.Session, Number: e.Number, Code: 410})
		return
	}
	s := m.sessions[key]
	if s == nil {
		s = &session{next: max(e.LowestUnconfirmed, 1), held: map[uint64]*schema.PendingEnqueueSnapshot{}}
		m.sessions[key] = s
	}
	switch {
	case e.Number < s.next:
		m.outcome(e, m.answerKnown(e, 200))
		return
	case e.Number > s.next:
		if s.held[e.Number] == nil {
			s.held[e.Number] = &schema.PendingEnqueueSnapshot{Index: index, Enqueue: e}
			m.held++
		}
		return
	}
	m.admit(index, e)
	s.next++
	for {
		held := s.held[s.next]
		if held == nil {
			return
		}
		delete(s.held, s.next)
		m.held--
		m.admit(held.Index, held.Enqueue)
		s.next++
	}
}

func (m *Machine) down(c *schema.EndSessions) {
	for _, quit := range c.Sessions {
		m.forget(keyOf(quit))
	}
	for _, boot := range c.Gateways {
		m.gone[bootKey{boot.Gateway, boot.Incarnation}] = m.now
		for key := range m.sessions {
			// Held submissions were never confirmed, and nobody is left who
			// could fill the gap below them.
			if key.gateway == boot.Gateway && key.boot == boot.Incarnation {
				m.forget(key)
			}
		}
	}
}

func (m *Machine) forget(key sessionKey) {
	if s := m.sessions[key]; s != nil {
		m.held -= len(s.held)
		delete(m.sessions, key)
	}
}

// answerKnown is the code for a name that may already stand; `absent` is for
// one that doesn't.
func (m *Machine) answerKnown(e *schema.Enqueue, absent int32) int32 {
	var digest []byte
	if live := m.names[e.Name]; live != nil {
		digest = live.digest
	} else if ended := m.ended[e.Name]; ended != nil {
		digest = ended.Digest
	} else {
		return absent
	}
	if string(digest) == string(e.Digest) {
		return 200
	}
	return 409
}

func (m *Machine) outcome(e *schema.Enqueue, code int32) {
	result := &schema.SubmitResult{Session: e.Session, Number: e.Number, Code: code}
	if code == 409 {
		result.Error = &schema.Error{Code: "name_taken", Message: "this name stands for a job with other content", Field: "name"}
	} else {
		result.View, _ = m.View(e.Name)
	}
	m.effects.Outcomes = append(m.effects.Outcomes, result)
}

func (m *Machine) admit(index uint64, e *schema.Enqueue) {
	if code := m.answerKnown(e, 201); code != 201 {
		m.outcome(e, code)
		return
	}
	m.nextJob++
	m.enqueues++
	j := &job{
		id: m.nextJob, name: e.Name, digest: e.Digest, index: index, startUs: e.StartUs,
		spec: e.Job,
	}
	if j.startUs == 0 {
		j.startUs = m.now // its age and the later rounds are counted from it
	}
	j.expand()
	m.jobs[j.id], m.names[j.name] = j, j
	m.byIndex.ReplaceOrInsert(j)
	j.state = schema.JobState_JOB_SCHEDULED
	m.openRounds(j)
	m.outcome(e, 201)
}

// openRounds opens every round that is due, never one before its time, and
// sets the job down for the next.
func (m *Machine) openRounds(j *job) {
	for j.opened < j.rounds() && j.dueUs() <= m.now {
		j.state = schema.JobState_JOB_RUNNING
		j.makeRound()
		for part := range j.spec.Steps {
			if len(j.after[part]) == 0 {
				m.shiftStep(j, j.first(j.opened-1)+part)
			}
		}
	}
	if j.opened < j.rounds() {
		m.byStart.ReplaceOrInsert(j)
	}
}

func (m *Machine) carry(index uint64, c *schema.Reenqueue) {
	j := m.jobs[c.Job]
	if j == nil {
		return
	}
	m.byIndex.Delete(j)
	j.index, j.spec, j.isDry = index, c.Payload, false
	m.byIndex.ReplaceOrInsert(j)
	m.carries++
	m.enqueues++
}
