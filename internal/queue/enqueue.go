package queue

// Enqueue: admitting jobs in the order of their sessions, and keeping one name to one
// job.

import (
	"net/http"

	"sparnotch/internal/schema"
)

func (m *Machine) enqueue(index uint64, e *schema.Enqueue) {
	key := sessionKeyOf(e.Session)
	if _, isExpired := m.expiredGateways[gatewayKey{key.gateway, key.incarnation}]; isExpired {
		// Its callers have gone to other gateways. What it still sends may have been
		// submitted there, run, and been forgotten since.
		m.effects.SubmitResults = append(m.effects.SubmitResults, &schema.SubmitResult{Session: e.Session, Number: e.Number, Code: http.StatusGone})
		return
	}
	sess := m.sessions[key]
	if sess == nil {
		sess = &session{next: max(e.LowestUnconfirmed, 1), pending: map[uint64]*schema.PendingEnqueueSnapshot{}}
		m.sessions[key] = sess
	}
	switch {
	case e.Number < sess.next:
		m.addSubmitResult(e, m.resubmissionCode(e, http.StatusOK))
	case e.Number > sess.next:
		m.holdPending(sess, index, e)
	default:
		m.admitJob(index, e)
		sess.next++
		m.admitPending(sess)
	}
}

// holdPending keeps a submission until the numbers below it have been admitted.
func (m *Machine) holdPending(s *session, index uint64, e *schema.Enqueue) {
	if s.pending[e.Number] == nil {
		s.pending[e.Number] = &schema.PendingEnqueueSnapshot{Index: index, Enqueue: e}
		m.pendingEnqueues++
	}
}

// admitPending admits the held submissions up to the next gap.
func (m *Machine) admitPending(s *session) {
	for next := s.pending[s.next]; next != nil; next = s.pending[s.next] {
		delete(s.pending, s.next)
		m.pendingEnqueues--
		m.admitJob(next.Index, next.Enqueue)
		s.next++
	}
}

// resubmissionCode is the HTTP status for a submission whose name may belong to a job
// already: 200 for the same job, 409 for another one, unknownCode if there is none.
func (m *Machine) resubmissionCode(e *schema.Enqueue, unknownCode int32) int32 {
	digest, tenant, found := m.jobIdentity(e.Name)
	switch {
	case !found:
		return unknownCode
	case string(digest) != string(e.Digest) || IsOtherTenant(tenant, e.Tenant):
		return http.StatusConflict
	}
	return http.StatusOK
}

// jobIdentity returns what tells a live or retained job from another one of its name.
func (m *Machine) jobIdentity(name string) (digest []byte, tenant string, found bool) {
	if live := m.jobsByName[name]; live != nil {
		return live.digest, live.tenant, true
	}
	if ended := m.endedByName[name]; ended != nil {
		return ended.Digest, ended.Tenant, true
	}
	return nil, "", false
}

// isOthersJob reports whether a job is known and is of another tenant.
func (m *Machine) isOthersJob(name, tenant string) bool {
	_, owner, _ := m.jobIdentity(name)
	return IsOtherTenant(owner, tenant)
}

// IsOtherTenant reports whether two tenants differ. A job or call of nobody, whose tenant is
// empty, is no other tenant's.
func IsOtherTenant(a, b string) bool { return a != "" && b != "" && a != b }

func (m *Machine) addSubmitResult(e *schema.Enqueue, code int32) {
	result := &schema.SubmitResult{Session: e.Session, Number: e.Number, Code: code}
	if code == http.StatusConflict {
		result.Error = &schema.Error{Code: "name_taken", Message: "this name stands for a job with other content, or of another tenant", Field: "name"}
	} else {
		result.View, _ = m.JobView(e.Name)
	}
	m.effects.SubmitResults = append(m.effects.SubmitResults, result)
}

// admitJob adds a job, unless its name is taken. index is that of the entry with the
// payload.
func (m *Machine) admitJob(index uint64, e *schema.Enqueue) {
	if code := m.resubmissionCode(e, http.StatusCreated); code != http.StatusCreated {
		m.addSubmitResult(e, code)
		return
	}
	m.lastJobID++
	m.enqueues++
	j := &job{
		id: m.lastJobID, name: e.Name, digest: e.Digest, index: index, startUs: e.StartUs,
		spec: e.Job, tenant: e.Tenant,
	}
	if j.startUs == 0 {
		j.startUs = m.now // the job's age and later rounds count from its admission
	}
	j.expandSteps()
	m.jobs[j.id], m.jobsByName[j.name] = j, j
	m.byIndex.ReplaceOrInsert(j)
	j.state = schema.JobState_JOB_SCHEDULED
	m.openDueRounds(j)
	m.addSubmitResult(e, http.StatusCreated)
}

// openDueRounds opens every round that is due, and queues the job for the next one.
func (m *Machine) openDueRounds(j *job) {
	for j.openedRounds < j.rounds() && j.nextRoundUs() <= m.now {
		j.state = schema.JobState_JOB_RUNNING
		j.openRound()
		for step := range j.spec.Steps {
			if len(j.dependencies[step]) == 0 {
				m.emitStepEvents(j, j.firstStep(j.openedRounds-1)+step)
			}
		}
	}
	if j.openedRounds < j.rounds() {
		m.byStart.ReplaceOrInsert(j)
	}
}

// reenqueue moves a job's payload to this entry, so that the log below is released.
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
