// Package queue is the state machine of one job queue: commands in, state and effects
// out. Machine owns the state; it has no clock, no I/O, no random numbers and depends on
// no order of map iteration, so all replicas that apply the same log have the same state.
//
// It follows "Quorum Queues Implementation Notes" (RabbitMQ), with jobs of many tasks in
// place of messages:
//
//   - enqueue: submissions are numbered per session and admitted in the order of their
//     numbers; those that arrive early are held (sections "Session Implementation" and
//     "Enqueuers").
//   - checkout, settle, return: the scheduler checks out tasks for workers; a task that
//     is done is settled, one that isn't is returned and becomes ready again.
//   - events: what the scheduler must know is numbered without gaps, and a read-only
//     query fills a gap (section "Consumers").
//   - end of sessions: those of a gateway that is gone are removed, and what it still
//     sends is rejected (section "Session State Clean Up").
//   - release cursor: dehydrated snapshots are cached, and the log is released up to the
//     latest one below all live jobs (section "Snapshotting").
//
// Throughout the package s is the index of a step and t that of a task within it. A job
// of several rounds has the steps of all its rounds one after another.
package queue

import (
	"sort"

	"github.com/google/btree"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// Defaults of the settings that the configuration may change.
const (
	DefaultRetentionUs      = 150_000_000 // how long an ended job is retained
	DefaultSnapshotInterval = 64          // enqueues between two cached snapshots
	DefaultMaxRequeues      = 40          // returns of a task that aren't its failures, before its job fails
)

const (
	maxCachedSnapshots        = 16
	maxCheckpointBytes        = 256 // a longer one isn't from a worker
	expiredGatewayRetentionUs = 24 * 3600 * 1_000_000
	treeDegree                = 16
)

// Status is a task's status as the scheduler sees it.
type Status int

const (
	// Inactive is a task that isn't open yet, or is done.
	Inactive Status = iota
	// Ready is a task that may be checked out.
	Ready
	// CheckedOut is a task that was checked out for a worker.
	CheckedOut
	// Stopping is a task that is checked out and is to be stopped.
	Stopping
)

// ReleaseCursor allows the log to be compacted up to an index, with the dehydrated
// snapshot that stands for it.
type ReleaseCursor struct {
	Index    uint64
	Snapshot []byte
}

// Effects are the results of a command. The leader alone carries them out, except
// ReleaseCursor, which concerns each replica's own log.
type Effects struct {
	SubmitResults []*schema.SubmitResult // of submissions, for their gateways
	Events        []*TaskEvent           // for the scheduler
	ReleaseCursor *ReleaseCursor         // nil: none
	CancelCode    int32                  // HTTP status of a cancel
	CancelView    *schema.JobView        // the cancelled job; nil: unknown, or another tenant's
}

// Machine is the state of one queue.
type Machine struct {
	name         string
	now          int64 // queue time, µs
	lastJobID    uint64
	lastSequence uint64
	enqueues     uint64 // admitted or re-enqueued jobs
	reenqueues   uint64
	settings     *schema.ApplySettings

	jobs       map[uint64]*job
	jobsByName map[string]*job
	byIndex    *btree.BTreeG[*job] // by the index of the entry with the payload
	byStart    *btree.BTreeG[*job] // jobs with a round that isn't due yet, by its time

	endedByName  map[string]*schema.EndedJobSnapshot
	endedInOrder []*schema.EndedJobSnapshot // oldest first

	sessions        map[sessionKey]*session
	pendingEnqueues int                  // of all sessions
	expiredGateways map[gatewayKey]int64 // queue time at which they expired

	snapshots          []cachedSnapshot // dehydrated, oldest first
	snapshotAtEnqueues uint64           // value of enqueues at the latest of them

	// wallOffset is what the latest tick said of the time of day. It only shows the
	// leader whether another such tick is needed, so it isn't part of a snapshot.
	wallOffset int64

	effects *Effects // of the command that is being applied
}

// New returns an empty queue.
func New(name string) *Machine {
	return &Machine{
		name:       name,
		settings:   &schema.ApplySettings{JobRetentionUs: DefaultRetentionUs, SnapshotInterval: DefaultSnapshotInterval, MaxRequeues: DefaultMaxRequeues},
		jobs:       map[uint64]*job{},
		jobsByName: map[string]*job{},
		byIndex:    btree.NewG(treeDegree, func(a, b *job) bool { return a.index < b.index || a.index == b.index && a.id < b.id }),
		byStart: btree.NewG(treeDegree, func(a, b *job) bool {
			return a.nextRoundUs() < b.nextRoundUs() || a.nextRoundUs() == b.nextRoundUs() && a.id < b.id
		}),
		endedByName:     map[string]*schema.EndedJobSnapshot{},
		sessions:        map[sessionKey]*session{},
		expiredGateways: map[gatewayKey]int64{},
	}
}

// Now is queue time in µs. It stands still while the queue has no leader.
func (m *Machine) Now() int64 { return m.now }

// LastSequence is the sequence number of the last event.
func (m *Machine) LastSequence() uint64 { return m.lastSequence }

// LiveJobs counts the jobs that haven't ended.
func (m *Machine) LiveJobs() int { return len(m.jobs) }

// EndedJobs counts all jobs that have ended.
func (m *Machine) EndedJobs() uint64 { return m.lastJobID - uint64(len(m.jobs)) }

// RetainedJobs counts the ended jobs that can still be asked for.
func (m *Machine) RetainedJobs() int { return len(m.endedInOrder) }

// TimedJobs counts the jobs with a round that isn't due yet.
func (m *Machine) TimedJobs() int { return m.byStart.Len() }

// Reenqueues counts how often a live job was appended to the log again.
func (m *Machine) Reenqueues() uint64 { return m.reenqueues }

// WallOffset is what the latest tick with an offset said is to be added to queue time
// for the time of day, in µs; 0: none did since the machine was made.
func (m *Machine) WallOffset() int64 { return m.wallOffset }

// Settings are those of the configuration that the queue has applied. The caller must not
// change them.
func (m *Machine) Settings() *schema.ApplySettings { return m.settings }

// OldestJob is the live job whose payload has the lowest index in the log; id 0: there is
// none, or its payload isn't known.
func (m *Machine) OldestJob() (id, index uint64, payload *schema.Job) {
	if oldest, found := m.byIndex.Min(); found && !oldest.isDehydrated {
		return oldest.id, oldest.index, oldest.spec
	}
	return 0, 0, nil
}

// NextStart is when the next round of a live job is due, in µs of queue time.
func (m *Machine) NextStart() (int64, bool) {
	next, found := m.byStart.Min()
	if !found {
		return 0, false
	}
	return next.nextRoundUs(), true
}

// Sessions lists the sessions of gateways.
func (m *Machine) Sessions() []*schema.Session {
	var sessions []*schema.Session
	for _, key := range m.sortedSessionKeys() {
		sessions = append(sessions, key.session())
	}
	return sessions
}

// Apply applies the command of one log entry. at is the group's time in the entry, in µs.
// An error means that the command can't be decoded; the state is unchanged then.
func (m *Machine) Apply(index uint64, at int64, data []byte) (*Effects, error) {
	command := &schema.QueueCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, err
	}
	m.effects = &Effects{}
	m.now = max(m.now, at)
	m.advanceTime()
	m.execute(index, command)
	m.cacheSnapshot(index)
	m.advanceReleaseCursor()
	effects := m.effects
	m.effects = nil
	return effects, nil
}

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
		m.settings = body.ApplySettings
		m.advanceTime()
	}
}

// advanceTime does what is due at the present queue time: it opens rounds, and forgets
// ended jobs and gateways whose retention is over.
func (m *Machine) advanceTime() {
	for {
		next, found := m.byStart.Min()
		if !found || next.nextRoundUs() > m.now {
			break
		}
		m.byStart.DeleteMin()
		m.openDueRounds(next)
	}
	for len(m.endedInOrder) > 0 && m.endedInOrder[0].EndedUs+m.settings.JobRetentionUs <= m.now {
		// A later job can have the name only after this one was forgotten, so the entry
		// is this job's.
		delete(m.endedByName, m.endedInOrder[0].Name)
		m.endedInOrder = m.endedInOrder[1:]
	}
	for key, at := range m.expiredGateways {
		if at+expiredGatewayRetentionUs <= m.now {
			delete(m.expiredGateways, key)
		}
	}
}

// setWallOffset sets what is to be added to queue time for the time of day. Rounds that
// aren't open yet keep to the time of day that was asked for; open ones stay open.
func (m *Machine) setWallOffset(offset int64) {
	m.wallOffset = offset
	var moved []*job
	m.byStart.Ascend(func(j *job) bool {
		if j.spec.GetStartUnixUs() > 0 && j.spec.GetDelayUs() == 0 && j.startUs != j.spec.StartUnixUs-offset {
			moved = append(moved, j)
		}
		return true
	})
	for _, j := range moved {
		m.byStart.Delete(j)
		j.startUs = j.spec.StartUnixUs - offset
		m.byStart.ReplaceOrInsert(j)
	}
	m.advanceTime()
}

// findTask gives the job, step and task of a key; the job is nil if there is no such
// task, or its round isn't open.
func (m *Machine) findTask(key *schema.TaskKey) (*job, int, int) {
	j := m.jobs[key.GetJob()]
	if j == nil || int(key.Step) >= len(j.tasks) || int(key.Task) >= len(j.tasks[key.Step]) {
		return nil, 0, 0
	}
	return j, int(key.Step), int(key.Task)
}

// jobsInOrder lists the live jobs in the order of their admission.
func (m *Machine) jobsInOrder() []*job {
	jobs := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].id < jobs[b].id })
	return jobs
}
