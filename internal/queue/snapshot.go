package queue

// This file implements snapshots and the release cursor ("Quorum Queues Implementation
// Notes", section "Snapshotting").

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// cachedSnapshot is a dehydrated snapshot of the state after the log entry at index.
type cachedSnapshot struct {
	index uint64
	data  []byte // encoded snapshot
}

// entriesPerEnqueue is the number of log entries that count like one enqueue when a snapshot
// becomes due. Settles and ticks are log entries too and must be released, even if the queue
// gets few enqueues.
const entriesPerEnqueue = 8

// cacheSnapshot caches a dehydrated snapshot of the state after the entry at index, if one is
// due.
func (m *Machine) cacheSnapshot(index uint64) {
	if !m.isSnapshotDue(index) {
		return
	}
	m.snapshotAtEnqueues = m.enqueues
	m.snapshots = append(m.snapshots, cachedSnapshot{index: index, data: m.Snapshot(true)})
	if len(m.snapshots) > maxCachedSnapshots {
		m.thinSnapshots()
	}
}

// isSnapshotDue reports whether the next snapshot is due: after SnapshotInterval enqueues, or
// after entriesPerEnqueue times as many log entries of any kind. If no snapshot is cached,
// from whose index the entries could be counted, a snapshot is due when the log index is a
// multiple of this number of entries.
func (m *Machine) isSnapshotDue(index uint64) bool {
	interval := uint64(m.settings.SnapshotInterval)
	if interval == 0 {
		interval = DefaultSnapshotInterval
	}
	if m.enqueues >= m.snapshotAtEnqueues+interval {
		return true
	}
	maxEntries := entriesPerEnqueue * interval
	if len(m.snapshots) == 0 {
		return index%maxEntries == 0
	}
	return index >= m.snapshots[len(m.snapshots)-1].index+maxEntries
}

// thinSnapshots drops every other cached snapshot. Snapshots accumulate while an old job
// keeps the log from being released, and half of them allow releasing nearly as much.
func (m *Machine) thinSnapshots() {
	kept := m.snapshots[:0]
	for k, snapshot := range m.snapshots {
		if k%2 == 1 {
			kept = append(kept, snapshot)
		}
	}
	m.snapshots = kept
}

// advanceReleaseCursor emits a release cursor for the latest cached snapshot whose index is
// below the index of every payload that is still needed, if there is one. It drops that
// snapshot and the earlier ones from the cache.
func (m *Machine) advanceReleaseCursor() {
	if len(m.snapshots) == 0 {
		return
	}
	lowest, found := m.lowestLiveIndex()
	best := -1
	for k, snapshot := range m.snapshots {
		if !found || snapshot.index < lowest {
			best = k
		}
	}
	if best < 0 {
		return
	}
	m.effects.ReleaseCursor = &ReleaseCursor{Index: m.snapshots[best].index, Snapshot: m.snapshots[best].data}
	m.snapshots = append([]cachedSnapshot(nil), m.snapshots[best+1:]...)
}

// lowestLiveIndex returns the lowest log index of the payloads that are still needed, those of
// live jobs and held submissions. It returns false if no payload is needed.
func (m *Machine) lowestLiveIndex() (uint64, bool) {
	lowest, found := uint64(0), false
	if oldest, ok := m.jobsByPayloadIndex.Min(); ok {
		lowest, found = oldest.payloadIndex, true
	}
	if m.pendingEnqueues == 0 {
		return lowest, found
	}
	for _, s := range m.sessions {
		for _, pending := range s.pending {
			if !found || pending.Index < lowest {
				lowest, found = pending.Index, true
			}
		}
	}
	return lowest, found
}

// Snapshot returns the encoded state. A dehydrated snapshot leaves out the texts of the jobs,
// which are still in the log, and contains the number of its live jobs in DehydratedJobs.
// Unlike the dehydrated messages of the Quorum Queues notes, dehydrated jobs keep their steps
// and tasks, because later commands in the log refer to these tasks.
func (m *Machine) Snapshot(isDehydrated bool) []byte {
	snapshot := &schema.QueueSnapshot{
		NowUs: m.now, NextJob: m.lastJobID, Handover: m.lastSequence, Settings: m.settings, Reenqueues: m.reenqueues, Enqueues: m.enqueues,
		Ended: m.endedInOrder, ExpiredGateways: m.expiredGatewaysInOrder(), CancelledNames: m.cancelledNames.inOrder,
	}
	for _, j := range m.jobsInOrder() {
		jobSnapshot := j.snapshot()
		if isDehydrated {
			jobSnapshot.Job, jobSnapshot.Dehydrated = dehydrate(j.spec), true
			snapshot.DehydratedJobs++
		}
		snapshot.Jobs = append(snapshot.Jobs, jobSnapshot)
	}
	for _, key := range m.sortedSessionKeys() {
		s := m.sessions[key]
		sessionSnapshot := &schema.SessionSnapshot{Session: key.session(), Next: s.next}
		for _, number := range s.pendingNumbers() {
			pending := s.pending[number]
			if isDehydrated {
				pending = dehydratePending(pending)
			}
			sessionSnapshot.Pending = append(sessionSnapshot.Pending, pending)
		}
		snapshot.Sessions = append(snapshot.Sessions, sessionSnapshot)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		panic("queue: the state can't be encoded: " + err.Error())
	}
	return data
}

// expiredGatewaysInOrder returns the remembered expired gateways, sorted by name and
// incarnation.
func (m *Machine) expiredGatewaysInOrder() []*schema.ExpiredGateway {
	var gateways []*schema.ExpiredGateway
	for key, expiredAt := range m.expiredGateways {
		gateways = append(gateways, &schema.ExpiredGateway{Gateway: key.gateway, Incarnation: key.incarnation, AtUs: expiredAt})
	}
	sort.Slice(gateways, func(a, b int) bool {
		x, y := gateways[a], gateways[b]
		return x.Gateway < y.Gateway || x.Gateway == y.Gateway && x.Incarnation < y.Incarnation
	})
	return gateways
}

func (j *job) snapshot() *schema.JobSnapshot {
	snapshot := &schema.JobSnapshot{
		Id: j.id, Name: j.name, Digest: j.digest, Index: j.payloadIndex, StartUs: j.startUs, State: j.state,
		PendingOutcome: j.finalState, Job: j.spec, Reason: j.reason, Dehydrated: j.isDehydrated, StartedTasks: j.startedTasks, DueRounds: uint32(j.openedRounds),
		Tenant: j.tenant,
	}
	for s := range j.tasks {
		for t := range j.tasks[s] {
			snapshot.Tasks = append(snapshot.Tasks, j.tasks[s][t].snapshot())
		}
	}
	return snapshot
}

func (t *task) snapshot() *schema.TaskSnapshot {
	return &schema.TaskSnapshot{
		State: t.state, Attempt: t.attempt, Failures: t.failures, Requeues: t.requeues,
		Worker: t.worker, Incarnation: t.incarnation, Handover: t.checkoutSequence,
		Aborting: t.isGangStopping, Started: t.isGangStarted, LostAttempts: t.lostAttempts,
		Checkpoint: t.checkpoint, FailedAttempt: t.failedAttempt,
	}
}

// dehydrate returns a copy of a job without its text.
func dehydrate(job *schema.Job) *schema.Job {
	return &schema.Job{Steps: job.GetSteps(), DelayUs: job.GetDelayUs(), StartUnixUs: job.GetStartUnixUs(), Rounds: job.GetRounds(), PeriodUs: job.GetPeriodUs()}
}

// dehydratePending returns a copy of a held submission whose job has no text.
func dehydratePending(pending *schema.PendingEnqueueSnapshot) *schema.PendingEnqueueSnapshot {
	e := pending.Enqueue
	return &schema.PendingEnqueueSnapshot{Index: pending.Index, Enqueue: &schema.Enqueue{
		Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, StartUs: e.StartUs, Job: dehydrate(e.Job), Tenant: e.Tenant,
	}}
}

// Restore returns the state machine with the state of an encoded snapshot, or of an empty
// queue if data is empty. The second parameter, the log index of the snapshot, is ignored.
// Restore returns an error if the data can't be decoded.
func Restore(name string, _ uint64, data []byte) (*Machine, error) {
	m := New(name)
	if len(data) == 0 {
		return m, nil
	}
	snapshot := &schema.QueueSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, err
	}
	m.now, m.lastJobID, m.lastSequence = snapshot.NowUs, snapshot.NextJob, snapshot.Handover
	m.reenqueues, m.enqueues, m.snapshotAtEnqueues = snapshot.Reenqueues, snapshot.Enqueues, snapshot.Enqueues
	if snapshot.Settings != nil {
		m.settings = snapshot.Settings
	}
	for _, jobSnapshot := range snapshot.Jobs {
		m.restoreJob(jobSnapshot)
	}
	for _, ended := range snapshot.Ended {
		m.endedByName[ended.Name] = ended
		m.endedInOrder = append(m.endedInOrder, ended)
	}
	for _, gateway := range snapshot.ExpiredGateways {
		m.expiredGateways[gatewayKey{gateway.Gateway, gateway.Incarnation}] = gateway.AtUs
	}
	for _, cancelled := range snapshot.CancelledNames {
		m.cancelledNames.add(cancelled)
	}
	for _, sessionSnapshot := range snapshot.Sessions {
		m.restoreSession(sessionSnapshot)
	}
	return m, nil
}

// restoreJob adds the live job of a snapshot.
func (m *Machine) restoreJob(snapshot *schema.JobSnapshot) {
	j := &job{
		id: snapshot.Id, name: snapshot.Name, digest: snapshot.Digest, payloadIndex: snapshot.Index, startUs: snapshot.StartUs, state: snapshot.State,
		finalState: snapshot.PendingOutcome, spec: snapshot.Job, reason: snapshot.Reason, isDehydrated: snapshot.Dehydrated, startedTasks: snapshot.StartedTasks,
		tenant: snapshot.Tenant,
	}
	j.expandSteps()
	j.restoreTasks(snapshot)
	m.jobs[j.id], m.jobsByName[j.name] = j, j
	m.jobsByPayloadIndex.ReplaceOrInsert(j)
	if j.state != schema.JobState_JOB_STOPPING && j.openedRounds < j.rounds() {
		m.jobsByNextRound.ReplaceOrInsert(j)
	}
}

// restoreTasks opens the rounds that were open when the snapshot was taken, and restores their
// tasks and the counts of the job. A snapshot contains only the tasks of these rounds.
func (j *job) restoreTasks(snapshot *schema.JobSnapshot) {
	for j.openedRounds < int(snapshot.DueRounds) {
		j.openRound()
	}
	next := 0
	for s := range j.tasks {
		for t := range j.tasks[s] {
			taskSnapshot := snapshot.Tasks[next]
			next++
			j.tasks[s][t] = restoreTask(taskSnapshot)
			j.failures[s] += taskSnapshot.Failures
			switch taskSnapshot.State {
			case schema.TaskState_TASK_DONE:
				if j.unfinishedTasks[s]--; j.unfinishedTasks[s] == 0 {
					j.unfinishedSteps--
				}
			case schema.TaskState_TASK_CHECKED_OUT:
				j.checkedOutTasks[s]++
				j.checkedOutCount++
			}
		}
	}
}

func restoreTask(snapshot *schema.TaskSnapshot) task {
	return task{
		state: snapshot.State, attempt: snapshot.Attempt, failures: snapshot.Failures, requeues: snapshot.Requeues,
		worker: snapshot.Worker, incarnation: snapshot.Incarnation, checkoutSequence: snapshot.Handover,
		isGangStopping: snapshot.Aborting, isGangStarted: snapshot.Started, lostAttempts: snapshot.LostAttempts,
		checkpoint: snapshot.Checkpoint, failedAttempt: snapshot.FailedAttempt,
	}
}

// restoreSession adds the session of a snapshot with its held submissions.
func (m *Machine) restoreSession(snapshot *schema.SessionSnapshot) {
	s := &session{next: snapshot.Next, pending: map[uint64]*schema.PendingEnqueueSnapshot{}}
	for _, pending := range snapshot.Pending {
		s.pending[pending.Enqueue.Number] = pending
		m.pendingEnqueues++
	}
	m.sessions[sessionKeyOf(snapshot.Session)] = s
}
