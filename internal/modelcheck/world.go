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
	Name       string // of the preset
	Machines   int    // that may ever be
	Voters     int    // of the group when it is founded
	Operators  int
	Operations int
	Messages   int // under way; the oldest is lost beyond that
	Crashes    int // of each kind: restarts and wipes
	Wipes      int
	Twice      int  // messages delivered twice
	Large      int  // bytes of every second configuration; 0: all are small
	Puts       int  // proposals, resends among them
	IsFiles    bool // disks are real stores on files, which crashes tear
	IsSynced   bool // writes last at once, rather than when the scheduler says
	IsChanging bool // the members change
	IsTimed    bool // one clock for all; leaders that act are counted
}

// parcel is a message under way.
type parcel struct {
	from, to string
	body     proto.Message
	key      uint32
}

// World is the machines, what is under way between them, and what must hold.
type World struct {
	limits     Limits
	machines   []*machine
	parcels    []parcel
	operators  []operator
	operations []operation
	ghost
	isGhostOwn bool // this branch's alone
	steps      int
	crashes    int
	wipes      int
	twice      int
	puts       int
	changes    int    // of the members, made by leaders
	broken     string // what doesn't hold
	seed       uint64
}

// NewWorld founds a group. The seed decides how crashes tear files.
func NewWorld(limits Limits, seed uint64) *World {
	w := &World{limits: limits, ghost: newGhost(), isGhostOwn: true, seed: seed}
	var voters []string
	for k := range limits.Voters {
		voters = append(voters, freshId(k, 0))
	}
	for k := range limits.Machines {
		m := &machine{world: w, index: k, id: freshId(k, 0), clock: eventloop.Second}
		w.equip(m)
		if k < limits.Voters {
			point := &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: voters}}
			if err := m.disk.commit([]*schema.StoreChange{{Group: group, Snapshot: point}}); err != nil {
				panic("modelcheck: " + err.Error())
			}
		}
		m.start()
		w.machines = append(w.machines, m)
	}
	for range limits.Operators {
		w.operators = append(w.operators, operator{current: -1})
	}
	return w
}

// equip gives a machine an empty disk; a store on it draws an id of its own.
func (w *World) equip(m *machine) {
	m.disk = &pure{held: &storage.State{Identity: &schema.StoreIdentity{}, Groups: map[string]*storage.GroupState{}}}
	if w.limits.IsFiles {
		m.disk = newStored()
	}
	m.id = freshId(m.index, m.life)
}

// Clone is a branch of the world, which must not be stepped itself any more:
// what a branch doesn't change it shares.
func (w *World) Clone() *World {
	c := *w
	c.machines = slices.Clone(w.machines)
	c.parcels = slices.Clone(w.parcels)
	c.operators = slices.Clone(w.operators)
	c.operations = slices.Clone(w.operations)
	c.isGhostOwn = false
	return &c
}

// own gives a machine that may be changed.
func (w *World) own(at int) *machine {
	if w.machines[at].world != w {
		w.machines[at] = w.machines[at].clone()
		w.machines[at].world = w
	}
	w.machines[at].print = 0
	return w.machines[at]
}

// ownGhost makes what the checker knows one that may be changed.
func (w *World) ownGhost() *ghost {
	if !w.isGhostOwn {
		w.ghost, w.isGhostOwn = w.ghost.clone(), true
	}
	return &w.ghost
}

// Broken is what doesn't hold; empty while all does.
func (w *World) Broken() string { return w.broken }

func (w *World) fail(form string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(form, args...)
	}
}

// tick numbers the events that operators see.
func (w *World) tick() int {
	w.steps++
	return w.steps
}

func (w *World) send(m *machine, post raft.Message) {
	w.checkTold(m, post)
	body := post.Body
	w.parcels = append(w.parcels, parcel{from: m.id, to: post.To, body: body, key: keyOf(m.id, post.To, body)})
	if len(w.parcels) > w.limits.Messages {
		w.parcels = slices.Delete(w.parcels, 0, 1)
	}
}

func (w *World) machineOf(id string) *machine {
	for _, m := range w.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (w *World) deliver(p parcel) {
	if m := w.machineOf(p.to); m != nil {
		m = w.own(m.index)
		m.take(p.from, p.body)
		w.settle(m)
	}
}

// settle carries out what a step has left on a machine, as the replicas' table
// does: messages that tell of something durable wait for the sync, records are
// applied, and one batch is written at a time while the next gathers.
func (w *World) settle(m *machine) {
	for m.group != nil {
		m.group.FlushReads(m.clock)
		effects, mark := m.group.Ready()
		isIdle := len(effects.Messages)+len(effects.Changes)+len(effects.CommittedEntries)+len(effects.ReadRequests) == 0 && effects.Snapshot == nil
		if isIdle {
			if !w.write(m) {
				break
			}
			continue
		}
		w.carryOut(m, effects, mark)
		w.checkLeader(m)
	}
	if m.group != nil && !m.group.IsLeader() {
		clear(m.waiting)
		clear(m.reading)
	}
}

func (w *World) carryOut(m *machine, effects raft.Ready, mark raft.SyncPoint) {
	for _, change := range effects.Changes {
		w.checkChange(m, change)
		m.memory = applyTo(m.memory, change)
	}
	w.checkMemory(m)
	for _, post := range effects.Messages {
		w.checkMatch(m, post)
		if post.AfterSync {
			m.next.posts = append(m.next.posts, post)
		} else {
			w.send(m, post)
		}
	}
	if len(effects.Changes) > 0 {
		m.next.changes = append(m.next.changes, effects.Changes...)
		m.next.mark = mark
	}
	if effects.Snapshot != nil {
		m.restore(effects.Snapshot)
		w.checkState(m)
	}
	w.checkAdvance(m, effects.CommittedEntries)
	for _, record := range effects.CommittedEntries {
		w.apply(m, record)
	}
	for _, number := range effects.ReadRequests {
		if operation, isKnown := m.reading[number]; isKnown {
			delete(m.reading, number)
			w.answerRead(operation, m.state.Configuration())
		}
	}
}

// write hands what has gathered to the disk, and tells whether that left
// something to carry out.
func (w *World) write(m *machine) bool {
	if m.writing != nil || len(m.next.changes)+len(m.next.posts) == 0 {
		return false
	}
	out := m.next
	m.next, m.writing = batch{}, &out
	if len(out.changes) == 0 || w.limits.IsSynced {
		w.sync(m)
		return true
	}
	return false
}

// sync ends the write under way: it lasts.
func (w *World) sync(m *machine) {
	out := m.writing
	m.writing = nil
	if len(out.changes) > 0 {
		if err := m.disk.commit(out.changes); err != nil {
			w.fail("a write failed on %s: %v", m.id, err)
		}
	}
	for _, post := range out.posts {
		w.send(m, post)
	}
	if len(out.changes) > 0 {
		m.group.MarkSynced(m.clock, out.mark)
	}
}

func (w *World) apply(m *machine, record *schema.Entry) {
	w.checkCommit(m, record)
	each, isWaited := m.waiting[record.Index]
	delete(m.waiting, record.Index)
	m.applied = record.Index
	if record.Kind == schema.EntryKind_ENTRY_COMMAND {
		m.own()
		before := m.state.Configuration()
		result, err := m.state.Apply(record.TimeUs, record.Data)
		if err != nil {
			w.fail("record %d can't be applied on %s: %v", record.Index, m.id, err)
			return
		}
		if after := m.state.Configuration(); after != before {
			w.taken(before, after)
		}
		w.checkState(m)
		if isWaited && each.term == record.Term {
			w.answerPut(each.operation, result)
		}
		return
	}
	w.checkState(m)
}

// crash starts a machine again from what lasts.
func (w *World) crash(m *machine, isWritten bool) bool {
	if w.crashes >= w.limits.Crashes || isWritten && m.writing == nil {
		return false
	}
	w.crashes++
	var changes []*schema.StoreChange
	if m.writing != nil {
		changes = m.writing.changes
	}
	before := copyOf(m.disk.content().Groups[group])
	if isWritten {
		// The write lasts, but nobody was told.
		if err := m.disk.commit(changes); err != nil {
			w.fail("a write failed on %s: %v", m.id, err)
		}
		before = copyOf(m.disk.content().Groups[group])
		changes = nil
	}
	// Each crash has its own draws, whatever came before it.
	rng := rand.New(rand.NewPCG(w.seed, uint64(w.crashes)))
	if err := m.disk.crash(changes, rng.IntN); err != nil {
		w.fail("%s doesn't open after a crash: %v", m.id, err)
		return true
	}
	w.checkOpened(m, before, changes)
	m.start()
	w.settle(m)
	return true
}

// wipe gives a machine a new disk; what is under way to the old one is lost.
func (w *World) wipe(m *machine) bool {
	if w.wipes >= w.limits.Wipes {
		return false
	}
	w.wipes++
	w.ownGhost().graves[m.id] = m.disk.content().Groups[group]
	m.life++
	w.equip(m)
	m.start()
	return true
}

func copyOf(image *storage.GroupState) *storage.GroupState {
	if image == nil {
		return nil
	}
	return copyImage(image)
}

// ghost is what the checker knows and no machine does.
type ghost struct {
	leaders     map[uint64]string              // by term
	records     map[place]recorded             // every record there ever was
	committedIn []uint64                       // the leader's term that committed it, by index - 1
	committed   []recorded                     // by index - 1
	states      map[uint64]uint64              // digest of the state by index
	votes       map[ballot]string              // as told
	graves      map[string]*storage.GroupState // what wiped disks held
	told        uint64                         // highest edition anybody was told of
	sum         uint64                         // of all of this, for fingerprints
}

type place struct{ index, term uint64 }

type recorded struct{ term, below, digest uint64 }

type ballot struct {
	id   string
	term uint64
}

func newGhost() ghost {
	return ghost{
		leaders: map[uint64]string{}, records: map[place]recorded{}, states: map[uint64]uint64{},
		votes: map[ballot]string{}, graves: map[string]*storage.GroupState{},
	}
}

func (g *ghost) clone() ghost {
	c := *g
	c.leaders, c.records, c.states = maps.Clone(g.leaders), maps.Clone(g.records), maps.Clone(g.states)
	c.votes, c.graves = maps.Clone(g.votes), maps.Clone(g.graves)
	c.committed, c.committedIn = slices.Clip(g.committed), slices.Clip(g.committedIn)
	return c
}
