// Package queue implements the replicated state machine of one job queue. Machine applies
// the commands of the queue's log to its state and returns their effects. It has no clock,
// does no I/O, uses no random numbers and doesn't depend on the order of map iteration, so
// all replicas that apply the same log have the same state.
//
// The design follows "Quorum Queues Implementation Notes" (RabbitMQ), with jobs of many
// tasks in place of messages:
//
//   - enqueue: submissions are numbered per session and admitted in the order of their
//     numbers. A submission that arrives early is held (sections "Session
//     Implementation" and "Enqueuers").
//   - checkout, settle, return: the scheduler checks out tasks for workers. A task that
//     is done is settled. A task that isn't done is returned and becomes ready again.
//   - events: the scheduler learns of each change by an event. Events are numbered
//     without gaps, and a scheduler that missed some catches up with a read-only query
//     (section "Consumers").
//   - cancel: a cancel ends a job and bars later submissions of its name for some time, so
//     that a submission which is delivered late doesn't run a job that its client has
//     already cancelled.
//   - end of sessions: the sessions of an expired gateway are removed, and submissions
//     that it still sends are rejected (section "Session State Clean Up").
//   - release cursor: the machine caches dehydrated snapshots, and the log is released up
//     to the latest of them that is older than all payloads still needed (section
//     "Snapshotting").
//
// Throughout the package, s is the index of a step within its job and t is the index of a
// task within its step. The steps of all rounds of a job are numbered consecutively;
// stepInRound is the index of a step within its round.
//
// Queue time is the time of the queue's Raft group, as taken from the log entries that have
// been applied.
package queue

import (
	"sort"

	"github.com/google/btree"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// Default values of the settings that the configuration can change.
const (
	DefaultRetentionUs      = 150_000_000 // time for which an ended job is retained, µs
	DefaultSnapshotInterval = 64          // enqueues between two cached snapshots
	DefaultMaxRequeues      = 40          // returns without failure that a task may have before its job fails
)

const (
	maxCachedSnapshots        = 16
	maxCheckpointBytes        = 256                   // longer checkpoints are ignored, because no worker reports them
	expiredGatewayRetentionUs = 24 * 3600 * 1_000_000 // time for which an expired gateway is remembered, µs
	treeDegree                = 16                    // degree of the B-trees
)

// Status is the status of a task as the scheduler sees it.
type Status int

const (
	// Inactive means that the task is neither ready nor checked out: it is done, its job isn't
	// running, its step isn't open, or other members of its gang are still checked out.
	Inactive Status = iota
	// Ready means that the task may be checked out.
	Ready
	// CheckedOut means that the task is checked out for a worker.
	CheckedOut
	// Stopping means that the task is checked out and is to be stopped.
	Stopping
)

// ReleaseCursor allows a replica to compact its log up to and including Index. Snapshot is the
// encoded dehydrated snapshot that replaces these entries.
type ReleaseCursor struct {
	Index    uint64
	Snapshot []byte
}

// Effects are the results of applying a command. Only the leader carries them out, except
// ReleaseCursor, which every replica applies to its own log.
type Effects struct {
	SubmitResults []*schema.SubmitResult // replies to submissions, for their gateways
	Events        []*TaskEvent           // changes of tasks, for the scheduler
	ReleaseCursor *ReleaseCursor         // nil if no more of the log can be released
	CancelCode    int32                  // HTTP status of the reply to a cancel command; 0 for other commands
	CancelView    *schema.JobView        // the job of a cancel command; nil if it is unknown or belongs to another tenant
}

// Machine is the state machine of one queue. It isn't safe for concurrent use.
type Machine struct {
	name         string
	now          int64  // queue time, µs
	lastJobID    uint64 // id of the latest admitted job
	lastSequence uint64 // sequence number of the latest event
	enqueues     uint64 // admissions and re-enqueues of jobs so far
	reenqueues   uint64 // re-enqueues of jobs so far
	settings     *schema.ApplySettings

	jobs               map[uint64]*job // live jobs by id
	jobsByName         map[string]*job
	jobsByPayloadIndex *btree.BTreeG[*job] // live jobs, ordered by payloadIndex
	jobsByNextRound    *btree.BTreeG[*job] // live jobs with rounds that aren't due yet, ordered by the time of the next one

	endedByName  map[string]*schema.EndedJobSnapshot
	endedInOrder []*schema.EndedJobSnapshot // retained ended jobs, in the order in which they ended

	sessions        map[sessionKey]*session
	pendingEnqueues int                  // held submissions of all sessions
	expiredGateways map[gatewayKey]int64 // queue time of the command that expired each gateway, µs
	cancelledNames  cancelledNames

	snapshots          []cachedSnapshot // dehydrated snapshots, oldest first
	snapshotAtEnqueues uint64           // value of enqueues at the latest cached snapshot

	// wallOffset is wall-clock time minus queue time in µs, as set by the latest tick that
	// carried it. Only the leader uses it, to decide whether another such tick is needed,
	// so it isn't part of a snapshot.
	wallOffset int64

	effects *Effects // effects of the command that is being applied
}

// New returns the state machine of an empty queue with the default settings.
func New(name string) *Machine {
	return &Machine{
		name:       name,
		settings:   &schema.ApplySettings{JobRetentionUs: DefaultRetentionUs, SnapshotInterval: DefaultSnapshotInterval, MaxRequeues: DefaultMaxRequeues},
		jobs:       map[uint64]*job{},
		jobsByName: map[string]*job{},
		jobsByPayloadIndex: btree.NewG(treeDegree, func(a, b *job) bool {
			return a.payloadIndex < b.payloadIndex || a.payloadIndex == b.payloadIndex && a.id < b.id
		}),
		jobsByNextRound: btree.NewG(treeDegree, func(a, b *job) bool {
			return a.nextRoundUs() < b.nextRoundUs() || a.nextRoundUs() == b.nextRoundUs() && a.id < b.id
		}),
		endedByName:     map[string]*schema.EndedJobSnapshot{},
		sessions:        map[sessionKey]*session{},
		expiredGateways: map[gatewayKey]int64{},
	}
}

// Now returns queue time in µs. Queue time doesn't advance while the queue has no leader.
func (m *Machine) Now() int64 { return m.now }

// LastSequence returns the sequence number of the latest event.
func (m *Machine) LastSequence() uint64 { return m.lastSequence }

// LiveJobs returns the number of jobs that haven't ended.
func (m *Machine) LiveJobs() int { return len(m.jobs) }

// EndedJobs returns the number of all jobs that have ended, including those that are no
// longer retained.
func (m *Machine) EndedJobs() uint64 { return m.lastJobID - uint64(len(m.jobs)) }

// RetainedJobs returns the number of ended jobs whose state can still be queried.
func (m *Machine) RetainedJobs() int { return len(m.endedInOrder) }

// CancelledNames returns the number of cancels that bar later submissions of their names.
func (m *Machine) CancelledNames() int { return len(m.cancelledNames.inOrder) }

// TimedJobs returns the number of live jobs that aren't stopping and have a round that isn't
// due yet.
func (m *Machine) TimedJobs() int { return m.jobsByNextRound.Len() }

// Reenqueues returns how many times live jobs have been appended to the log again.
func (m *Machine) Reenqueues() uint64 { return m.reenqueues }

// WallOffset returns wall-clock time minus queue time in µs, as set by the latest tick that
// carried it. It returns 0 if no such tick was applied since the machine was created.
func (m *Machine) WallOffset() int64 { return m.wallOffset }

// Settings returns the settings that are in force in the queue. The caller must not change
// them.
func (m *Machine) Settings() *schema.ApplySettings { return m.settings }

// OldestJob returns the live job whose payload has the lowest index in the log. It returns
// id 0 if there are no live jobs or if that job is dehydrated, so that its text isn't known.
func (m *Machine) OldestJob() (id, index uint64, payload *schema.Job) {
	if oldest, found := m.jobsByPayloadIndex.Min(); found && !oldest.isDehydrated {
		return oldest.id, oldest.payloadIndex, oldest.spec
	}
	return 0, 0, nil
}

// NextStart returns the queue time in µs at which the next round of any live job is due. It
// returns false if no job has a round left to open.
func (m *Machine) NextStart() (int64, bool) {
	next, found := m.jobsByNextRound.Min()
	if !found {
		return 0, false
	}
	return next.nextRoundUs(), true
}

// Sessions returns all sessions, sorted by gateway, incarnation and client.
func (m *Machine) Sessions() []*schema.Session {
	var sessions []*schema.Session
	for _, key := range m.sortedSessionKeys() {
		sessions = append(sessions, key.session())
	}
	return sessions
}

// Apply applies the command of one log entry and returns its effects. index is the index of
// the entry, groupTime the time of the queue's Raft group in the entry, in µs. Apply returns
// an error and leaves the state unchanged if the command can't be decoded.
func (m *Machine) Apply(index uint64, groupTime int64, data []byte) (*Effects, error) {
	command := &schema.QueueCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, err
	}
	m.effects = &Effects{}
	m.now = max(m.now, groupTime)
	m.advanceTime()
	m.execute(index, command)
	m.cacheSnapshot(index)
	m.advanceReleaseCursor()
	effects := m.effects
	m.effects = nil
	return effects, nil
}

// execute applies a decoded command at the present queue time.
func (m *Machine) execute(index uint64, command *schema.QueueCommand) {
	switch body := command.Body.(type) {
	case *schema.QueueCommand_Enqueue:
		m.enqueue(index, body.Enqueue)
	case *schema.QueueCommand_Checkout:
		m.checkout(body.Checkout)
	case *schema.QueueCommand_StartGang:
		m.startGang(body.StartGang)
	case *schema.QueueCommand_Settle:
		m.settle(body.Settle)
	case *schema.QueueCommand_Return:
		m.returnTask(body.Return)
	case *schema.QueueCommand_Cancel:
		m.cancel(body.Cancel)
	case *schema.QueueCommand_EndSessions:
		m.endSessions(body.EndSessions)
	case *schema.QueueCommand_Reenqueue:
		m.reenqueue(index, body.Reenqueue)
	case *schema.QueueCommand_Tick:
		if body.Tick.WallOffsetUs != 0 {
			m.setWallOffset(body.Tick.WallOffsetUs)
		}
	case *schema.QueueCommand_ApplySettings:
		m.applySettings(body.ApplySettings)
	}
}

// applySettings replaces the settings. The command version never falls: a cancel that was
// answered under a higher version must remain in force.
func (m *Machine) applySettings(settings *schema.ApplySettings) {
	settings.CommandVersion = max(settings.CommandVersion, m.settings.CommandVersion)
	m.settings = settings
	m.advanceTime()
}

// advanceTime opens the rounds that are due at the present queue time, and forgets ended jobs,
// expired gateways and cancelled names whose retention is over.
func (m *Machine) advanceTime() {
	for {
		next, found := m.jobsByNextRound.Min()
		if !found || next.nextRoundUs() > m.now {
			break
		}
		m.jobsByNextRound.DeleteMin()
		m.openDueRounds(next)
	}
	for len(m.endedInOrder) > 0 && m.endedInOrder[0].EndedUs+m.settings.JobRetentionUs <= m.now {
		// A later job can get the same name only after this one is forgotten, so the map
		// entry belongs to this job.
		delete(m.endedByName, m.endedInOrder[0].Name)
		m.endedInOrder = m.endedInOrder[1:]
	}
	for key, expiredAt := range m.expiredGateways {
		if expiredAt+expiredGatewayRetentionUs <= m.now {
			delete(m.expiredGateways, key)
		}
	}
	m.cancelledNames.forget(m.now)
}

// setWallOffset sets wall-clock time minus queue time in µs. For jobs that were submitted with
// a start in wall-clock time, it moves the queue times of the rounds that aren't open yet, so
// that they open at the requested time of day. Rounds that are open stay open.
func (m *Machine) setWallOffset(offset int64) {
	m.wallOffset = offset
	var moved []*job
	m.jobsByNextRound.Ascend(func(j *job) bool {
		if j.spec.GetStartUnixUs() > 0 && j.spec.GetDelayUs() == 0 && j.startUs != j.spec.StartUnixUs-offset {
			moved = append(moved, j)
		}
		return true
	})
	for _, j := range moved {
		m.jobsByNextRound.Delete(j)
		j.startUs = j.spec.StartUnixUs - offset
		m.jobsByNextRound.ReplaceOrInsert(j)
	}
	m.advanceTime()
}

// findTask returns the job, step index and task index of a key. The job is nil if there is no
// such task or if the task's round isn't open.
func (m *Machine) findTask(key *schema.TaskKey) (*job, int, int) {
	j := m.jobs[key.GetJob()]
	if j == nil || int(key.Step) >= len(j.tasks) || int(key.Task) >= len(j.tasks[key.Step]) {
		return nil, 0, 0
	}
	return j, int(key.Step), int(key.Task)
}

// jobsInOrder returns the live jobs in the order of their admission.
func (m *Machine) jobsInOrder() []*job {
	jobs := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].id < jobs[b].id })
	return jobs
}
