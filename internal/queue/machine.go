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
	DefaultStatusUs = 150_000_000
	DefaultEvery    = 64
	DefaultCircles  = 40
	maxCached       = 16
	maxSaved        = 256 // bytes of a saved text; a longer one is no text of a worker
	goneKeptUs      = 24 * 3600 * 1_000_000
)

type cachedState struct {
	index uint64
	data  []byte
}

// Standing is a task as the scheduler sees it.
type Standing int

const (
	// Gone is a task that isn't known, or has ended.
	Gone Standing = iota
	// Ready is a task that waits for a worker.
	Ready
	// Out is a task that was checked out for a worker.
	Out
	// Stopping is a task that is out and is to end.
	Stopping
)

// Release lets the log go up to an index, with the state that stands for it.
type Release struct {
	Index uint64
	Data  []byte
}

// Effects are performed by the leader alone, except Release, which concerns
// each replica's own log.
type Effects struct {
	Outcomes []*schema.SubmitResult
	Shifts   []*Shift
	Release  *Release
	Code     int32 // of a cancel
	View     *schema.JobView
}

// Machine is one queue's state.
type Machine struct {
	name     string
	now      int64
	nextJob  uint64
	hand     uint64
	carries  uint64
	enqueues uint64
	adopt    *schema.ApplySettings
	jobs     map[uint64]*job
	byIndex  *btree.BTreeG[*job]
	byStart  *btree.BTreeG[*job] // jobs with a round that isn't due yet
	names    map[string]*job
	ended    map[string]*schema.EndedJobSnapshot
	fading   []*schema.EndedJobSnapshot // ended jobs, oldest first
	sessions map[sessionKey]*session
	held     int               // submissions held in sessions
	gone     map[bootKey]int64 // gateway given up, and when
	cached   []cachedState
	cachedAt uint64
	index    uint64
	effects  *Effects
	// What the latest tick told of the time of day; for the leader to know
	// whether it is to tell anew, so not part of the state at rest.
	wallOffset int64
}

// New makes an empty queue.
func New(name string) *Machine {
	return &Machine{
		name: name, adopt: &schema.ApplySettings{JobRetentionUs: DefaultStatusUs, SnapshotInterval: DefaultEvery, MaxRequeues: DefaultCircles},
		jobs:     map[uint64]*job{},
		byIndex:  btree.NewG(16, func(a, b *job) bool { return a.index < b.index || a.index == b.index && a.id < b.id }),
		byStart:  btree.NewG(16, func(a, b *job) bool { return a.dueUs() < b.dueUs() || a.dueUs() == b.dueUs() && a.id < b.id }),
		names:    map[string]*job{},
		ended:    map[string]*schema.EndedJobSnapshot{},
		sessions: map[sessionKey]*session{},
		gone:     map[bootKey]int64{},
	}
}

// Now is queue time, in microseconds.
func (m *Machine) Now() int64 { return m.now }

// Hand is the number of the last hand-over to the scheduler.
func (m *Machine) Hand() uint64 { return m.hand }

// Live is how many jobs haven't ended.
func (m *Machine) Live() int { return len(m.jobs) }

// Ended is how many jobs have ended so far.
func (m *Machine) Ended() uint64 { return m.nextJob - uint64(len(m.jobs)) }

// Kept is how many ended jobs are still remembered.
func (m *Machine) Kept() int { return len(m.fading) }

// Timed is how many jobs wait for their start time.
func (m *Machine) Timed() int { return m.byStart.Len() }

// Carries is how often a live job was appended anew, so that the log could be released.
func (m *Machine) Carries() uint64 { return m.carries }

// WallOffset is what is to be added to queue time for the time of day, in microseconds.
func (m *Machine) WallOffset() int64 { return m.wallOffset }

// Adopted are the settings that the queue goes by; not to be changed.
func (m *Machine) Adopted() *schema.ApplySettings { return m.adopt }

// Oldest is the job whose payload stands lowest in the log.
func (m *Machine) Oldest() (id, index uint64, payload *schema.Job) {
	if oldest, any := m.byIndex.Min(); any && !oldest.isDry {
		return oldest.id, oldest.index, oldest.spec
	}
	return 0, 0, nil
}

// NextStart is when the next round of a live job is due, in microseconds of
// queue time.
func (m *Machine) NextStart() (int64, bool) {
	next, any := m.byStart.Min()
	if !any {
		return 0, false
	}
	return next.dueUs(), true
}

// Boots lists the gateway that hold sessions here.
func (m *Machine) Boots() []*schema.Session {
	var list []*schema.Session
	for _, key := range m.sessionKeys() {
		list = append(list, &schema.Session{Gateway: key.gateway, Incarnation: key.boot, Client: key.client})
	}
	return list
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
	m.passTime()
	switch body := command.Body.(type) {
	case *schema.QueueCommand_Enqueue:
		m.enqueue(index, body.Enqueue)
	case *schema.QueueCommand_Checkout:
		m.checkout(body.Checkout)
	case *schema.QueueCommand_StartGang:
		m.launch(body.StartGang)
	case *schema.QueueCommand_Settle:
		m.settle(body.Settle)
	case *schema.QueueCommand_Return:
		m.giveBack(body.Return)
	case *schema.QueueCommand_Cancel:
		m.cancel(body.Cancel.Name)
	case *schema.QueueCommand_EndSessions:
		m.down(body.EndSessions)
	case *schema.QueueCommand_Reenqueue:
		m.carry(index, body.Reenqueue)
	case *schema.QueueCommand_Tick:
		if body.Tick.WallOffsetUs != 0 {
			m.setClock(body.Tick.WallOffsetUs)
		}
	case *schema.QueueCommand_ApplySettings:
		m.adopt = body.ApplySettings
		m.passTime()
	}
	m.cache(index)
	m.release()
	effects := m.effects
	m.effects = nil
	return effects, nil
}

func (m *Machine) passTime() {
	for {
		next, any := m.byStart.Min()
		if !any || next.dueUs() > m.now {
			break
		}
		m.byStart.DeleteMin()
		m.openRounds(next)
	}
	for len(m.fading) > 0 && m.fading[0].EndedUs+m.adopt.JobRetentionUs <= m.now {
		// The name may stand for a later job by now only if this one was
		// forgotten before, so it is ours to take away.
		delete(m.ended, m.fading[0].Name)
		m.fading = m.fading[1:]
	}
	for key, at := range m.gone {
		if at+goneKeptUs <= m.now {
			delete(m.gone, key)
		}
	}
}

// setClock takes in how the time of day stands to queue time, which stands still
// while nobody leads: rounds that are still to come keep to the time of day they
// were asked for. What has opened stays open.
func (m *Machine) setClock(offset int64) {
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
	m.passTime()
}

func (m *Machine) find(key *schema.TaskKey) (*job, int, int) {
	j := m.jobs[key.GetJob()]
	if j == nil || int(key.Step) >= len(j.tasks) || int(key.Task) >= len(j.tasks[key.Step]) {
		return nil, 0, 0
	}
	return j, int(key.Step), int(key.Task)
}
