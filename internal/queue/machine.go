// Package queue is the pure state machine of one job queue: commands in, state and
// effects out. No clock, no I/O, no random numbers, no order of map iteration:
// every replica that applies the same records holds the same state.
package queue

import (
	"github.com/google/btree"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// Defaults of what the plan may set.
const (
	DefaultRetentionUs      = 150_000_000
	DefaultSnapshotInterval = 64
	DefaultMaxReturns       = 40
	maxCachedSnapshots      = 16
	maxProgressBytes        = 256 // bytes of a saved text; a longer one is no text of a worker
	downGatewayRetentionUs  = 24 * 3600 * 1_000_000
)

type cachedSnapshot struct {
	index    uint64
	snapshot []byte
}

// Status is a task as the scheduler sees it.
type Status int

const (
	// Inactive is a task that isn't known, or has ended.
	Inactive Status = iota
	// Ready is a task that waits for a worker.
	Ready
	// CheckedOut is a task that was checked out for a worker.
	CheckedOut
	// Stopping is a task that is out and is to end.
	Stopping
)

// ReleaseCursor lets the log go up to an index, with the state that stands for it.
type ReleaseCursor struct {
	Index    uint64
	Snapshot []byte
}

// Effects are performed by the leader alone, except Release, which concerns
// each replica's own log.
type Effects struct {
	Outcomes      []*schema.SubmitResult
	Events        []*TaskEvent
	ReleaseCursor *ReleaseCursor
	CancelCode    int32 // of a cancel
	CancelView    *schema.JobView
}

// Machine is one queue's state.
type Machine struct {
	name               string
	now                int64
	lastJobID          uint64
	lastSequence       uint64
	reenqueues         uint64
	enqueues           uint64
	settings           *schema.ApplySettings
	jobs               map[uint64]*job
	byIndex            *btree.BTreeG[*job]
	byStart            *btree.BTreeG[*job] // jobs with a round that isn't due yet
	jobsByName         map[string]*job
	endedByName        map[string]*schema.EndedJobSnapshot
	endedInOrder       []*schema.EndedJobSnapshot // ended jobs, oldest first
	sessions           map[sessionKey]*session
	pendingEnqueues    int                  // submissions held in sessions
	downGateways       map[gatewayKey]int64 // gateway given up, and when
	snapshots          []cachedSnapshot
	snapshotAtEnqueues uint64
	index              uint64
	effects            *Effects
	// What the latest tick told of the time of day; for the leader to know
	// whether it is to tell anew, so not part of the state at rest.
	wallOffset int64
}

// New makes an empty queue.
func New(name string) *Machine {
	return &Machine{
		name: name, settings: &schema.ApplySettings{JobRetentionUs: DefaultRetentionUs, SnapshotInterval: DefaultSnapshotInterval, MaxRequeues: DefaultMaxReturns},
		jobs:    map[uint64]*job{},
		byIndex: btree.NewG(16, func(a, b *job) bool { return a.index < b.index || a.index == b.index && a.id < b.id }),
		byStart: btree.NewG(16, func(a, b *job) bool {
			return a.nextRoundUs() < b.nextRoundUs() || a.nextRoundUs() == b.nextRoundUs() && a.id < b.id
		}),
		jobsByName:   map[string]*job{},
		endedByName:  map[string]*schema.EndedJobSnapshot{},
		sessions:     map[sessionKey]*session{},
		downGateways: map[gatewayKey]int64{},
	}
}

// Now is queue time, in microseconds.
func (m *Machine) Now() int64 { return m.now }

// Sequence is the number of the last hand-over to the scheduler.
func (m *Machine) LastSequence() uint64 { return m.lastSequence }

// LiveJobs is how many jobs haven't ended.
func (m *Machine) LiveJobs() int { return len(m.jobs) }

// EndedJobs is how many jobs have ended so far.
func (m *Machine) EndedJobs() uint64 { return m.lastJobID - uint64(len(m.jobs)) }

// RetainedJobs is how many ended jobs are still remembered.
func (m *Machine) RetainedJobs() int { return len(m.endedInOrder) }

// TimedJobs is how many jobs wait for their start time.
func (m *Machine) TimedJobs() int { return m.byStart.Len() }

// Reenqueues is how often a live job was appended anew, so that the log could be released.
func (m *Machine) Reenqueues() uint64 { return m.reenqueues }

// WallOffset is what is to be added to queue time for the time of day, in microseconds.
func (m *Machine) WallOffset() int64 { return m.wallOffset }

// Settings are the settings that the queue goes by; not to be changed.
func (m *Machine) Settings() *schema.ApplySettings { return m.settings }

// OldestJob is the job whose payload stands lowest in the log.
func (m *Machine) OldestJob() (id, index uint64, payload *schema.Job) {
	if oldest, found := m.byIndex.Min(); found && !oldest.isDehydrated {
		return oldest.id, oldest.index, oldest.spec
	}
	return 0, 0, nil
}

// NextStart is when the next round of a live job is due, in microseconds of
// queue time.
func (m *Machine) NextStart() (int64, bool) {
	next, found := m.byStart.Min()
	if !found {
		return 0, false
	}
	return next.nextRoundUs(), true
}

// Sessions lists the gateway that hold sessions here.
func (m *Machine) Sessions() []*schema.Session {
	var sessions []*schema.Session
	for _, key := range m.sortedSessionKeys() {
		sessions = append(sessions, &schema.Session{Gateway: key.gateway, Incarnation: key.incarnation, Client: key.client})
	}
	return sessions
}

// Apply takes one record's command. `at` is the group's time in the record.
func (m *Machine) Apply(index uint64, at int64, data []byte) (*Effects, error) {
	command := &schema.QueueCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, err
	}
	m.effects = &Effects{}
	m.index = index
	if at > m.now {
		m.now = at
	}
	m.advanceTime()
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
		m.cancel(body.Cancel.Name)
	case *schema.QueueCommand_EndSessions:
		m.closeSessions(body.EndSessions)
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
	m.cacheSnapshot(index)
	m.advanceReleaseCursor()
	effects := m.effects
	m.effects = nil
	return effects, nil
}

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
		// The name may stand for a later job by now only if this one was
		// forgotten before, so it is ours to take away.
		delete(m.endedByName, m.endedInOrder[0].Name)
		m.endedInOrder = m.endedInOrder[1:]
	}
	for key, at := range m.downGateways {
		if at+downGatewayRetentionUs <= m.now {
			delete(m.downGateways, key)
		}
	}
}

// setWallOffset takes in how the time of day stands to queue time, which stands still
// while nobody leads: rounds that are still to come keep to the time of day they
// were asked for. What has opened stays open.
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

func (m *Machine) findTask(key *schema.TaskKey) (*job, int, int) {
	j := m.jobs[key.GetJob()]
	if j == nil || int(key.Step) >= len(j.tasks) || int(key.Task) >= len(j.tasks[key.Step]) {
		return nil, 0, 0
	}
	return j, int(key.Step), int(key.Task)
}
