package queue

// Snapshots, and the release cursor ("Quorum Queues Implementation Notes", section
// "Snapshotting").

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// cachedSnapshot is a dehydrated snapshot at a log index.
type cachedSnapshot struct {
	index uint64
	data  []byte
}

// indexesPerEnqueue is how many log entries stand for one enqueue where a queue gets few
// of them: settles and ticks are entries too, and must be released as well.
const indexesPerEnqueue = 8

// cacheSnapshot caches a dehydrated snapshot if the last one is old enough.
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

func (m *Machine) isSnapshotDue(index uint64) bool {
	interval := uint64(m.settings.SnapshotInterval)
	if interval == 0 {
		interval = DefaultSnapshotInterval
	}
	if m.enqueues >= m.snapshotAtEnqueues+interval {
		return true
	}
	maxEntries := indexesPerEnqueue * interval
	if len(m.snapshots) == 0 {
		return index%maxEntries == 0
	}
	return index >= m.snapshots[len(m.snapshots)-1].index+maxEntries
}

// thinSnapshots drops every other cached snapshot. They accumulate while an old job keeps
// the log from being released, and half of them serve nearly as well.
func (m *Machine) thinSnapshots() {
	kept := m.snapshots[:0]
	for k, snapshot := range m.snapshots {
		if k%2 == 1 {
			kept = append(kept, snapshot)
		}
	}
	m.snapshots = kept
}

// advanceReleaseCursor releases the log up to the latest cached snapshot that is below
// every payload that is still needed.
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

// lowestLiveIndex is the lowest log index with a payload that is still needed; false:
// there is none.
func (m *Machine) lowestLiveIndex() (uint64, bool) {
	lowest, found := uint64(0), false
	if oldest, ok := m.byIndex.Min(); ok {
		lowest, found = oldest.index, true
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

// Snapshot encodes the state. A dehydrated snapshot leaves out the texts of the jobs,
// which are still in the log, and counts its jobs in Prefix. Unlike the messages of the
// source, jobs keep their outline: the commands that follow in the log name their tasks.
func (m *Machine) Snapshot(isDehydrated bool) []byte {
	snapshot := &schema.QueueSnapshot{
		NowUs: m.now, NextJob: m.lastJobID, Handover: m.lastSequence, Settings: m.settings, Reenqueues: m.reenqueues, Enqueues: m.enqueues,
		Ended: m.endedInOrder, ExpiredGateways: m.expiredGatewaysInOrder(),
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
		panic("queue: state can't be encoded: " + err.Error())
	}
	return data
}

func (m *Machine) expiredGatewaysInOrder() []*schema.ExpiredGateway {
	var gateways []*schema.ExpiredGateway
	for key, at := range m.expiredGateways {
		gateways = append(gateways, &schema.ExpiredGateway{Gateway: key.gateway, Incarnation: key.incarnation, AtUs: at})
	}
	sort.Slice(gateways, func(a, b int) bool {
		x, y := gateways[a], gateways[b]
		return x.Gateway < y.Gateway || x.Gateway == y.Gateway && x.Incarnation < y.Incarnation
	})
	return gateways
}

func (j *job) snapshot() *schema.JobSnapshot {
	snapshot := &schema.JobSnapshot{
		Id: j.id, Name: j.name, Digest: j.digest, Index: j.index, StartUs: j.startUs, State: j.state,
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

// dehydrate is a job without its text.
func dehydrate(job *schema.Job) *schema.Job {
	return &schema.Job{Steps: job.GetSteps(), DelayUs: job.GetDelayUs(), StartUnixUs: job.GetStartUnixUs(), Rounds: job.GetRounds(), PeriodUs: job.GetPeriodUs()}
}

func dehydratePending(pending *schema.PendingEnqueueSnapshot) *schema.PendingEnqueueSnapshot {
	e := pending.Enqueue
	return &schema.PendingEnqueueSnapshot{Index: pending.Index, Enqueue: &schema.Enqueue{
		Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, StartUs: e.StartUs, Job: dehydrate(e.Job), Tenant: e.Tenant,
	}}
}

// Restore returns the queue of a snapshot; no data: an empty one. An error means that
// the data can't be decoded.
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
	for _, sessionSnapshot := range snapshot.Sessions {
		m.restoreSession(sessionSnapshot)
	}
	return m, nil
}

func (m *Machine) restoreJob(snapshot *schema.JobSnapshot) {
	j := &job{
		id: snapshot.Id, name: snapshot.Name, digest: snapshot.Digest, index: snapshot.Index, startUs: snapshot.StartUs, state: snapshot.State,
		finalState: snapshot.PendingOutcome, spec: snapshot.Job, reason: snapshot.Reason, isDehydrated: snapshot.Dehydrated, startedTasks: snapshot.StartedTasks,
		tenant: snapshot.Tenant,
	}
	j.expandSteps()
	j.restoreTasks(snapshot)
	m.jobs[j.id], m.jobsByName[j.name] = j, j
	m.byIndex.ReplaceOrInsert(j)
	if j.state != schema.JobState_JOB_STOPPING && j.openedRounds < j.rounds() {
		m.byStart.ReplaceOrInsert(j)
	}
}

// restoreTasks opens the rounds that were open: a snapshot has only their tasks.
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
				j.checkedOut++
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

func (m *Machine) restoreSession(snapshot *schema.SessionSnapshot) {
	s := &session{next: snapshot.Next, pending: map[uint64]*schema.PendingEnqueueSnapshot{}}
	for _, pending := range snapshot.Pending {
		s.pending[pending.Enqueue.Number] = pending
		m.pendingEnqueues++
	}
	m.sessions[sessionKeyOf(snapshot.Session)] = s
}
