package modelcheck

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// Limits bound a world.
type Limits struct {
	Name              string // of the preset
	Machines          int    // that may ever be
	Voters            int    // of the group when it is founded
	Operators         int
	Operations        int
	Messages          int // under way; the oldest is lost beyond that
	Crashes           int // of each kind: restarts and wipes
	Wipes             int
	Duplicates        int  // messages delivered twice
	LargeBytes        int  // bytes of every second configuration; 0: all are small
	Proposals         int  // proposals, resends among them
	FileDisks         bool // disks are real stores on files, which crashes tear
	SyncAtOnce        bool // writes last at once, rather than when the scheduler says
	MembershipChanges bool // the members change
	SharedClock       bool // one clock for all; leaders that act are counted
}

// message is a message under way.
type message struct {
	from, to string
	body     proto.Message
	key      uint32
}

// World is the machines, what is under way between them, and what must hold.
type World struct {
	limits     Limits
	machines   []*machine
	inFlight   []message
	operators  []operator
	operations []operation
	ghost
	ownsGhost  bool // this branch's alone
	events     int
	crashes    int
	wipes      int
	duplicates int
	proposals  int
	changes    int    // of the members, made by leaders
	violation  string // what doesn't hold
	seed       uint64
}

// NewWorld founds a group. The seed decides how crashes tear files.
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
		w.operators = append(w.operators, operator{operation: -1})
	}
	return w
}

// attachEmptyDisk gives a machine an empty disk; a store on it draws an id of its own.
func (w *World) attachEmptyDisk(m *machine) {
	m.disk = &memoryDisk{stored: &storage.State{Identity: &schema.StoreIdentity{}, Groups: map[string]*storage.GroupState{}}}
	if w.limits.FileDisks {
		m.disk = newFileDisk()
	}
	m.id = newStoreID(m.index, m.incarnation)
}

// Clone is a branch of the world, which must not be stepped itself any more:
// what a branch doesn't change it shares.
func (w *World) Clone() *World {
	c := *w
	c.machines = slices.Clone(w.machines)
	c.inFlight = slices.Clone(w.inFlight)
	c.operators = slices.Clone(w.operators)
	c.operations = slices.Clone(w.operations)
	c.ownsGhost = false
	return &c
}

// ensureOwnState gives a machine that may be changed.
func (w *World) mutableMachine(at int) *machine {
	if w.machines[at].world != w {
		w.machines[at] = w.machines[at].clone()
		w.machines[at].world = w
	}
	w.machines[at].cachedFingerprint = 0
	return w.machines[at]
}

// mutableGhost makes what the checker knows one that may be changed.
func (w *World) mutableGhost() *ghost {
	if !w.ownsGhost {
		w.ghost, w.ownsGhost = w.ghost.clone(), true
	}
	return &w.ghost
}

// Reason is what doesn't hold; empty while all does.
func (w *World) Violation() string { return w.violation }

func (w *World) fail(form string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(form, args...)
	}
}

// nextEvent numbers the events that operators see.
func (w *World) nextEvent() int {
	w.events++
	return w.events
}

func (w *World) send(m *machine, post raft.Message) {
	w.checkDurableBeforeSend(m, post)
	body := post.Body
	w.inFlight = append(w.inFlight, message{from: m.id, to: post.To, body: body, key: messageKey(m.id, post.To, body)})
	if len(w.inFlight) > w.limits.Messages {
		w.inFlight = slices.Delete(w.inFlight, 0, 1)
	}
}

func (w *World) machineByID(id string) *machine {
	for _, m := range w.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (w *World) deliver(p message) {
	if m := w.machineByID(p.to); m != nil {
		m = w.mutableMachine(m.index)
		m.receive(p.from, p.body)
		w.drainEffects(m)
	}
}

// drainEffects carries out what a step has left on a machine, as the replicas' table
// does: messages that tell of something durable wait for the sync, records are
// applied, and one batch is written at a time while the next gathers.
func (w *World) drainEffects(m *machine) {
	for m.group != nil {
		m.group.FlushReads(m.clock)
		effects, mark := m.group.Ready()
		isIdle := len(effects.Messages)+len(effects.Changes)+len(effects.CommittedEntries)+len(effects.ReadRequests) == 0 && effects.Snapshot == nil
		if isIdle {
			if !w.startWrite(m) {
				break
			}
			continue
		}
		w.applyEffects(m, effects, mark)
		w.checkLeader(m)
	}
	if m.group != nil && !m.group.IsLeader() {
		clear(m.pendingProposals)
		clear(m.pendingReads)
	}
}

func (w *World) applyEffects(m *machine, effects raft.Ready, mark raft.SyncPoint) {
	for _, change := range effects.Changes {
		w.checkChange(m, change)
		m.log = applyChange(m.log, change)
	}
	w.checkLog(m)
	for _, post := range effects.Messages {
		w.checkMatchIsDurable(m, post)
		if post.AfterSync {
			m.nextBatch.messages = append(m.nextBatch.messages, post)
		} else {
			w.send(m, post)
		}
	}
	if len(effects.Changes) > 0 {
		m.nextBatch.changes = append(m.nextBatch.changes, effects.Changes...)
		m.nextBatch.mark = mark
	}
	if effects.Snapshot != nil {
		m.restore(effects.Snapshot)
		w.checkState(m)
	}
	w.checkCommitTerm(m, effects.CommittedEntries)
	for _, entry := range effects.CommittedEntries {
		w.applyEntry(m, entry)
	}
	for _, number := range effects.ReadRequests {
		if operation, isKnown := m.pendingReads[number]; isKnown {
			delete(m.pendingReads, number)
			w.completeRead(operation, m.state.Configuration())
		}
	}
}

// writeStep hands what has gathered to the disk, and tells whether that left
// something to carry out.
func (w *World) startWrite(m *machine) bool {
	if m.currentWrite != nil || len(m.nextBatch.changes)+len(m.nextBatch.messages) == 0 {
		return false
	}
	out := m.nextBatch
	m.nextBatch, m.currentWrite = batch{}, &out
	if len(out.changes) == 0 || w.limits.SyncAtOnce {
		w.completeWrite(m)
		return true
	}
	return false
}

// completeWrite ends the write under way: it lasts.
func (w *World) completeWrite(m *machine) {
	out := m.currentWrite
	m.currentWrite = nil
	if len(out.changes) > 0 {
		if err := m.disk.commit(out.changes); err != nil {
			w.fail("a write failed on %s: %v", m.id, err)
		}
	}
	for _, post := range out.messages {
		w.send(m, post)
	}
	if len(out.changes) > 0 {
		m.group.MarkSynced(m.clock, out.mark)
	}
}

func (w *World) applyEntry(m *machine, entry *schema.Entry) {
	w.checkCommit(m, entry)
	each, isWaited := m.pendingProposals[entry.Index]
	delete(m.pendingProposals, entry.Index)
	m.applied = entry.Index
	if entry.Kind == schema.EntryKind_ENTRY_COMMAND {
		m.ensureOwnState()
		before := m.state.Configuration()
		result, err := m.state.Apply(entry.TimeUs, entry.Data)
		if err != nil {
			w.fail("record %d can't be applied on %s: %v", entry.Index, m.id, err)
			return
		}
		if after := m.state.Configuration(); after != before {
			w.recordReplacement(before, after)
		}
		w.checkState(m)
		if isWaited && each.term == entry.Term {
			w.completeReplace(each.operation, result)
		}
		return
	}
	w.checkState(m)
}

// crash starts a machine again from what lasts.
func (w *World) crash(m *machine, isWritten bool) bool {
	if w.crashes >= w.limits.Crashes || isWritten && m.currentWrite == nil {
		return false
	}
	w.crashes++
	var changes []*schema.StoreChange
	if m.currentWrite != nil {
		changes = m.currentWrite.changes
	}
	before := cloneGroupStateOrNil(m.disk.content().Groups[groupName])
	if isWritten {
		// The write lasts, but nobody was told.
		if err := m.disk.commit(changes); err != nil {
			w.fail("a write failed on %s: %v", m.id, err)
		}
		before = cloneGroupStateOrNil(m.disk.content().Groups[groupName])
		changes = nil
	}
	// Each crash has its own draws, whatever came before it.
	rng := rand.New(rand.NewPCG(w.seed, uint64(w.crashes)))
	if err := m.disk.crash(changes, rng.IntN); err != nil {
		w.fail("%s doesn't open after a crash: %v", m.id, err)
		return true
	}
	w.checkRecovery(m, before, changes)
	m.start()
	w.drainEffects(m)
	return true
}

// wipe gives a machine a new disk; what is under way to the old one is lost.
func (w *World) wipe(m *machine) bool {
	if w.wipes >= w.limits.Wipes {
		return false
	}
	w.wipes++
	w.mutableGhost().wipedLogs[m.id] = m.disk.content().Groups[groupName]
	m.incarnation++
	w.attachEmptyDisk(m)
	m.start()
	return true
}

func cloneGroupStateOrNil(log *storage.GroupState) *storage.GroupState {
	if log == nil {
		return nil
	}
	return cloneGroupState(log)
}

// ghost is what the checker knows and no machine does.
type ghost struct {
	leaders         map[uint64]string              // by term
	entries         map[entryID]entryInfo          // every record there ever was
	committedInTerm []uint64                       // the leader's term that committed it, by index - 1
	committed       []entryInfo                    // by index - 1
	states          map[uint64]uint64              // digest of the state by index
	votes           map[voterTerm]string           // as told
	wipedLogs       map[string]*storage.GroupState // what wiped disks held
	maxKnownVersion uint64                         // highest edition anybody was told of
	checksum        uint64                         // of all of this, for fingerprints
}

type entryID struct{ index, term uint64 }

type entryInfo struct{ term, previousTerm, digest uint64 }

type voterTerm struct {
	id   string
	term uint64
}

func newGhost() ghost {
	return ghost{
		leaders: map[uint64]string{}, entries: map[entryID]entryInfo{}, states: map[uint64]uint64{},
		votes: map[voterTerm]string{}, wipedLogs: map[string]*storage.GroupState{},
	}
}

func (g *ghost) clone() ghost {
	c := *g
	c.leaders, c.entries, c.states = maps.Clone(g.leaders), maps.Clone(g.entries), maps.Clone(g.states)
	c.votes, c.wipedLogs = maps.Clone(g.votes), maps.Clone(g.wipedLogs)
	c.committed, c.committedInTerm = slices.Clip(g.committed), slices.Clip(g.committedInTerm)
	return c
}
