package queue

// This file implements enqueue. It admits the jobs of each session in the order of their
// numbers, and ensures that a name belongs to only one job.

import (
	"net/http"

	"sparnotch/internal/schema"
)

// enqueue admits a submission if its number is the session's next one. It holds a submission
// with a higher number, and answers one with a lower number again without admitting it.
func (m *Machine) enqueue(index uint64, e *schema.Enqueue) {
	key := sessionKeyOf(e.Session)
	if _, isExpired := m.expiredGateways[gatewayKey{key.gateway, key.incarnation}]; isExpired {
		// The clients of an expired gateway have moved to other gateways. A submission that
		// the expired gateway still sends may have been submitted through one of those,
		// have run, and have been forgotten since. Admitting it could run the job again.
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
		m.addSubmitResult(e, m.outcomeOf(e, outcomeForgotten))
	case e.Number > sess.next:
		m.holdPending(sess, index, e)
	default:
		m.admitJob(index, e)
		sess.next++
		m.admitPending(sess)
	}
}

// holdPending holds a submission until all lower numbers of its session have been admitted.
func (m *Machine) holdPending(s *session, index uint64, e *schema.Enqueue) {
	if s.pending[e.Number] == nil {
		s.pending[e.Number] = &schema.PendingEnqueueSnapshot{Index: index, Enqueue: e}
		m.pendingEnqueues++
	}
}

// admitPending admits the held submissions of a session up to the next missing number.
func (m *Machine) admitPending(s *session) {
	for next := s.pending[s.next]; next != nil; next = s.pending[s.next] {
		delete(s.pending, s.next)
		m.pendingEnqueues--
		m.admitJob(next.Index, next.Enqueue)
		s.next++
	}
}

// submitOutcome is the outcome of a submission.
type submitOutcome int

const (
	outcomeCreated       submitOutcome = iota // the submission creates a job
	outcomeExists                             // the job exists already, or has ended and is retained
	outcomeNameTaken                          // the name belongs to another job
	outcomeNameCancelled                      // the name was cancelled; no job was created or will be
	outcomeForgotten                          // the submission was admitted before, and its job is forgotten
)

// outcomeOf returns the outcome of a submission whose name may already belong to a job or be
// cancelled, and otherwise the given outcome.
func (m *Machine) outcomeOf(e *schema.Enqueue, otherwise submitOutcome) submitOutcome {
	digest, tenant, found := m.jobIdentity(e.Name)
	switch {
	case !found && m.cancelledNames.bars(e.Name, e.Tenant):
		return outcomeNameCancelled
	case !found:
		return otherwise
	case string(digest) != string(e.Digest) || IsOtherTenant(tenant, e.Tenant):
		return outcomeNameTaken
	}
	return outcomeExists
}

// jobIdentity returns the digest and the tenant of the live or retained job with a name. A
// submission that has the same name but a different digest or tenant is a different job.
func (m *Machine) jobIdentity(name string) (digest []byte, tenant string, found bool) {
	if live := m.jobsByName[name]; live != nil {
		return live.digest, live.tenant, true
	}
	if ended := m.endedByName[name]; ended != nil {
		return ended.Digest, ended.Tenant, true
	}
	return nil, "", false
}

// isOthersJob reports whether the live or retained job with a name belongs to a tenant other
// than the given one. It returns false if there is no such job.
func (m *Machine) isOthersJob(name, tenant string) bool {
	_, owner, _ := m.jobIdentity(name)
	return IsOtherTenant(owner, tenant)
}

// IsOtherTenant reports whether two tenants differ. An empty tenant, that of a job or call
// without a tenant, doesn't differ from any tenant.
func IsOtherTenant(a, b string) bool { return a != "" && b != "" && a != b }

// addSubmitResult adds the result of a submission to the effects of the command.
func (m *Machine) addSubmitResult(e *schema.Enqueue, outcome submitOutcome) {
	result := &schema.SubmitResult{Session: e.Session, Number: e.Number, Code: http.StatusOK}
	switch outcome {
	case outcomeNameTaken:
		result.Code = http.StatusConflict
		result.Error = &schema.Error{Code: "name_taken", Message: "the name already belongs to a job that has different content or another tenant", Field: "name"}
	case outcomeNameCancelled:
		result.Code = http.StatusConflict
		result.Error = &schema.Error{Code: "cancelled", Message: "the name was cancelled, so no job is created under it; submit the job under another name", Field: "name"}
	case outcomeCreated:
		result.Code = http.StatusCreated
		result.View, _ = m.JobView(e.Name)
	default:
		result.View, _ = m.JobView(e.Name)
	}
	m.effects.SubmitResults = append(m.effects.SubmitResults, result)
}

// admitJob adds a job, unless its name is taken or cancelled. payloadIndex is the index of the log entry
// that holds the job's payload.
func (m *Machine) admitJob(payloadIndex uint64, e *schema.Enqueue) {
	if outcome := m.outcomeOf(e, outcomeCreated); outcome != outcomeCreated {
		m.addSubmitResult(e, outcome)
		return
	}
	m.lastJobID++
	m.enqueues++
	j := &job{
		id: m.lastJobID, name: e.Name, digest: e.Digest, payloadIndex: payloadIndex, startUs: e.StartUs,
		spec: e.Job, tenant: e.Tenant,
	}
	if j.startUs == 0 {
		j.startUs = m.now // the ages and due times of the rounds count from admission
	}
	j.expandSteps()
	m.jobs[j.id], m.jobsByName[j.name] = j, j
	m.jobsByPayloadIndex.ReplaceOrInsert(j)
	j.state = schema.JobState_JOB_SCHEDULED
	m.openDueRounds(j)
	m.addSubmitResult(e, outcomeCreated)
}

// openDueRounds opens every round of a job that is due. If rounds remain, it adds the job to
// jobsByNextRound.
func (m *Machine) openDueRounds(j *job) {
	for j.openedRounds < j.rounds() && j.nextRoundUs() <= m.now {
		j.state = schema.JobState_JOB_RUNNING
		j.openRound()
		for stepInRound := range j.spec.Steps {
			if len(j.dependencies[stepInRound]) == 0 {
				m.emitStepEvents(j, j.firstStep(j.openedRounds-1)+stepInRound)
			}
		}
	}
	if j.openedRounds < j.rounds() {
		m.jobsByNextRound.ReplaceOrInsert(j)
	}
}

// reenqueue replaces a job's payload by the copy in the log entry at index, so that the job
// no longer keeps older entries from being released.
func (m *Machine) reenqueue(index uint64, c *schema.Reenqueue) {
	j := m.jobs[c.Job]
	if j == nil {
		return
	}
	m.jobsByPayloadIndex.Delete(j)
	j.payloadIndex, j.spec, j.isDehydrated = index, c.Payload, false
	m.jobsByPayloadIndex.ReplaceOrInsert(j)
	m.reenqueues++
	m.enqueues++
}
