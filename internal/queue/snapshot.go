package queue

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// cacheSnapshot keeps a dehydrated state now and then, to be released later.
func (m *Machine) cacheSnapshot(index uint64) {
	every := uint64(m.settings.SnapshotInterval)
	if every == 0 {
		every = DefaultSnapshotInterval
	}
	isDue := m.enqueues >= m.snapshotAtEnqueues+every
	// Ticks, settles and the like make records too; a queue that gets few
	// enqueues must be able to let those go.
	isLogLong := len(m.snapshots) == 0 && index%(8*every) == 0 || len(m.snapshots) > 0 && index >= m.snapshots[len(m.snapshots)-1].index+8*every
	if !isDue && !isLogLong {
		return
	}
	m.snapshotAtEnqueues = m.enqueues
	m.snapshots = append(m.snapshots, cachedSnapshot{index: index, snapshot: m.Snapshot(true)})
	// While an old job pins the log the list grows; every second state serves
	// nearly as well.
	if len(m.snapshots) > maxCachedSnapshots {
		kept := m.snapshots[:0]
		for k, snapshot := range m.snapshots {
			if k%2 == 1 {
				kept = append(kept, snapshot)
			}
		}
		m.snapshots = kept
	}
}

// lowestLiveIndex is the index of the oldest record whose payload is still needed.
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
	m.effects.ReleaseCursor = &ReleaseCursor{Index: m.snapshots[best].index, Snapshot: m.snapshots[best].snapshot}
	m.snapshots = append([]cachedSnapshot(nil), m.snapshots[best+1:]...)
}

func dehydrate(job *schema.Job) *schema.Job {
	return &schema.Job{Steps: job.GetSteps(), DelayUs: job.GetDelayUs(), StartUnixUs: job.GetStartUnixUs(), Rounds: job.GetRounds(), PeriodUs: job.GetPeriodUs()}
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

// Snapshot encodes the state. Dehydrated, the texts are left out and the live
// jobs become the prefix count with their outlines: the commands that follow
// name tasks, so replaying them needs each job's shape though not its payload.
func (m *Machine) Snapshot(isDehydrated bool) []byte {
	snapshot := &schema.QueueSnapshot{
		NowUs: m.now, NextJob: m.lastJobID, Handover: m.lastSequence, Settings: m.settings, Reenqueues: m.reenqueues, Enqueues: m.enqueues,
		Ended: m.endedInOrder,
	}
	for _, j := range m.jobsInOrder() {
		jobSnapshot := &schema.JobSnapshot{
			Id: j.id, Name: j.name, Digest: j.digest, Index: j.index, StartUs: j.startUs, State: j.state,
			PendingOutcome: j.finalState, Job: j.spec, Reason: j.reason, Dehydrated: j.isDehydrated, StartedTasks: j.startedTasks, DueRounds: uint32(j.openedRounds),
		}
		if isDehydrated {
			jobSnapshot.Job, jobSnapshot.Dehydrated = dehydrate(j.spec), true
			snapshot.DehydratedJobs++
		}
		for s := range j.tasks {
			for t := range j.tasks[s] {
				task := &j.tasks[s][t]
				jobSnapshot.Tasks = append(jobSnapshot.Tasks, &schema.TaskSnapshot{
					State: task.state, Attempt: task.attempt, Failures: task.failures, Requeues: task.returns,
					Worker: task.worker, Incarnation: task.incarnation, Handover: task.checkoutSequence, Aborting: task.isGangStopping, Started: task.isGangStarted, LostAttempts: task.lostAttempts,
					Checkpoint: task.progress, FailedAttempt: task.failedAttempt,
				})
			}
		}
		snapshot.Jobs = append(snapshot.Jobs, jobSnapshot)
	}
	for _, key := range m.sortedSessionKeys() {
		s := m.sessions[key]
		sessionSnapshot := &schema.SessionSnapshot{Session: &schema.Session{Gateway: key.gateway, Incarnation: key.incarnation, Client: key.client}, Next: s.next}
		for _, number := range pendingNumbers(s) {
			pending := s.pending[number]
			if isDehydrated {
				e := pending.Enqueue
				pending = &schema.PendingEnqueueSnapshot{Index: pending.Index, Enqueue: &schema.Enqueue{
					Session: e.Session, Number: e.Number, Name: e.Name, Digest: e.Digest, StartUs: e.StartUs, Job: dehydrate(e.Job),
				}}
			}
			sessionSnapshot.Pending = append(sessionSnapshot.Pending, pending)
		}
		snapshot.Sessions = append(snapshot.Sessions, sessionSnapshot)
	}
	for key, at := range m.downGateways {
		snapshot.ExpiredGateways = append(snapshot.ExpiredGateways, &schema.ExpiredGateway{Gateway: key.gateway, Incarnation: key.incarnation, AtUs: at})
	}
	sort.Slice(snapshot.ExpiredGateways, func(a, b int) bool {
		x, y := snapshot.ExpiredGateways[a], snapshot.ExpiredGateways[b]
		return x.Gateway < y.Gateway || x.Gateway == y.Gateway && x.Incarnation < y.Incarnation
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		panic("queue: state can't be encoded: " + err.Error())
	}
	return data
}

func pendingNumbers(s *session) []uint64 {
	numbers := make([]uint64, 0, len(s.pending))
	for number := range s.pending {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(a, b int) bool { return numbers[a] < numbers[b] })
	return numbers
}

// Restore makes a queue from a state at rest.
func Restore(name string, index uint64, data []byte) (*Machine, error) {
	m := New(name)
	if len(data) == 0 {
		return m, nil
	}
	snapshot := &schema.QueueSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, err
	}
	m.now, m.lastJobID, m.lastSequence, m.reenqueues, m.enqueues = snapshot.NowUs, snapshot.NextJob, snapshot.Handover, snapshot.Reenqueues, snapshot.Enqueues
	m.snapshotAtEnqueues = snapshot.Enqueues
	m.index = index
	if snapshot.Settings != nil {
		m.settings = snapshot.Settings
	}
	for _, jobSnapshot := range snapshot.Jobs {
		j := &job{
			id: jobSnapshot.Id, name: jobSnapshot.Name, digest: jobSnapshot.Digest, index: jobSnapshot.Index, startUs: jobSnapshot.StartUs, state: jobSnapshot.State,
			finalState: jobSnapshot.PendingOutcome, spec: jobSnapshot.Job, reason: jobSnapshot.Reason, isDehydrated: jobSnapshot.Dehydrated, startedTasks: jobSnapshot.StartedTasks,
		}
		j.expandSteps()
		j.restoreTasks(jobSnapshot)
		m.jobs[j.id], m.jobsByName[j.name] = j, j
		m.byIndex.ReplaceOrInsert(j)
		if j.state != schema.JobState_JOB_STOPPING && j.openedRounds < j.rounds() {
			m.byStart.ReplaceOrInsert(j)
		}
	}
	for _, ended := range snapshot.Ended {
		m.endedByName[ended.Name] = ended
		m.endedInOrder = append(m.endedInOrder, ended)
	}
	for _, gone := range snapshot.ExpiredGateways {
		m.downGateways[gatewayKey{gone.Gateway, gone.Incarnation}] = gone.AtUs
	}
	for _, sessionSnapshot := range snapshot.Sessions {
		s := &session{next: sessionSnapshot.Next, pending: map[uint64]*schema.PendingEnqueueSnapshot{}}
		for _, pending := range sessionSnapshot.Pending {
			s.pending[pending.Enqueue.Number] = pending
			m.pendingEnqueues++
		}
		m.sessions[sessionKeyOf(sessionSnapshot.Session)] = s
	}
	return m, nil
}

// restoreTasks makes the rounds that had opened: only their tasks are at rest.
func (j *job) restoreTasks(snapshot *schema.JobSnapshot) {
	for j.openedRounds < int(snapshot.DueRounds) {
		j.openRound()
	}
	k := 0
	for s := range j.tasks {
		for t := range j.tasks[s] {
			taskSnapshot := snapshot.Tasks[k]
			k++
			j.tasks[s][t] = task{
				state: taskSnapshot.State, attempt: taskSnapshot.Attempt, failures: taskSnapshot.Failures, failedAttempt: taskSnapshot.FailedAttempt, returns: taskSnapshot.Requeues,
				worker: taskSnapshot.Worker, incarnation: taskSnapshot.Incarnation, checkoutSequence: taskSnapshot.Handover, isGangStopping: taskSnapshot.Aborting, isGangStarted: taskSnapshot.Started, lostAttempts: taskSnapshot.LostAttempts,
				progress: taskSnapshot.Checkpoint,
			}
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
