package modelcheck

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// Limits bound a world, and with it the state space.
type Limits struct {
	Name              string // name of the preset
	Machines          int
	Voters            int // initial voters of the group
	Operators         int
	Operations        int
	Messages          int  // messages in flight; beyond the limit the oldest is lost
	Crashes           int  // crashes that keep the disk
	Wipes             int  // crashes that lose the disk
	Duplicates        int  // messages delivered twice
	LargeBytes        int  // size of every second configuration; 0: all are small
	Proposals         int  // replace requests that are proposed, resends included
	FileDisks         bool // disks are real stores on files, whose writes a crash may cut short
	SyncAtOnce        bool // a write is durable at once, without a step of the scheduler
	MembershipChanges bool
	SharedClock       bool // one clock for all machines; checks the leader lease
}

// message is a message in flight.
type message struct {
	from, to string
	body     proto.Message
	key      uint32
}

// World is one state of the model: the machines, the messages between them, the operators,
// and the checker's ghost state. Clones share the parts that they haven't changed (copy on
// write).
type World struct {
	limits     Limits
	machines   []*machine
	inFlight   []message
	operators  []operator
	operations []operation
	ghost
	ownsGhost         bool // no other world shares the ghost state
	eventCount        int
	crashes           int
	wipes             int
	duplicates        int
	proposals         int
	membershipChanges int    // membership changes that leaders appended
	violation         string // describes the first broken invariant; "": none
	seed              uint64
}

// NewWorld returns a world with a newly bootstrapped group. The seed decides which unsynced
// writes to files survive a crash.
func NewWorld(limits Limits, seed uint64) *World {
	w := &World{limits: limits, ghost: newGhost(), ownsGhost: true, seed: seed}
	var voters []string
	for k := range limits.Voters {
		voters = append(voters, newStoreID(k, 0))
	}
	for k := range limits.Machines {
		m := &machine{world: w, index: k, id: newStoreID(k, 0), clock: eventloop.Second}
		w.attachEmptyDisk(m)
		if k < limits.Voters {
			snapshot := &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: voters}}
			if err := m.disk.commit([]*schema.StoreChange{{Group: groupName, Snapshot: snapshot}}); err != nil {
				panic("modelcheck: " + err.Error())
			}
		}
		m.start()
		w.machines = append(w.machines, m)
	}
	for range limits.Operators {
		w.operators = append(w.operators, operator{operation: noOperation})
	}
	return w
}

// attachEmptyDisk gives a machine an empty disk and a store ID of its own.
func (w *World) attachEmptyDisk(m *machine) {
	m.disk = &memoryDisk{stored: &storage.State{Identity: &schema.StoreIdentity{}, Groups: map[string]*storage.GroupState{}}}
	if w.limits.FileDisks {
		m.disk = newFileDisk()
	}
	m.id = newStoreID(m.index, m.incarnation)
}

// Clone returns a copy of the world. No steps may be executed in the original afterwards, since
// the copy shares its machines until it changes them.
func (w *World) Clone() *World {
	c := *w
	c.machines = slices.Clone(w.machines)
	c.inFlight = slices.Clone(w.inFlight)
	c.operators = slices.Clone(w.operators)
	c.operations = slices.Clone(w.operations)
	c.ownsGhost = false
	return &c
}

// mutableMachine returns a machine for this world to change, copied first if another world
// shares it.
func (w *World) mutableMachine(at int) *machine {
	if w.machines[at].world != w {
		w.machines[at] = w.machines[at].clone()
		w.machines[at].world = w
	}
	w.machines[at].cachedFingerprint = 0
	return w.machines[at]
}

// mutableGhost returns the ghost state for this world to change, copied first if another world
// shares it.
func (w *World) mutableGhost() *ghost {
	if !w.ownsGhost {
		w.ghost, w.ownsGhost = w.ghost.clone(), true
	}
	return &w.ghost
}

// Violation returns a description of the first broken invariant; "" while all hold.
func (w *World) Violation() string { return w.violation }

// fail records a broken invariant, unless one was recorded before.
func (w *World) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// nextEvent returns the next event number; invocations and returns of operations are numbered
// in one sequence.
func (w *World) nextEvent() int {
	w.eventCount++
	return w.eventCount
}

func (w *World) send(m *machine, sent raft.Message) {
	w.checkDurableBeforeSend(m, sent)
	w.inFlight = append(w.inFlight, message{from: m.id, to: sent.To, body: sent.Body, key: messageKey(m.id, sent.To, sent.Body)})
	if len(w.inFlight) > w.limits.Messages {
		w.inFlight = slices.Delete(w.inFlight, 0, 1)
	}
}

func (w *World) deliver(received message) {
	if m := w.machineByID(received.to); m != nil {
		m = w.mutableMachine(m.index)
		m.receive(received.from, received.body)
		w.drainEffects(m)
	}
}

// machineByID returns the machine whose current disk has the given store ID; nil if that disk
// was wiped.
func (w *World) machineByID(id string) *machine {
	for _, m := range w.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}
