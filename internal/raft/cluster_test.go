package raft

import (
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// cluster is a group of replicas with simulated disks and a network whose faults a
// test controls.
type cluster struct {
	now          eventloop.Micros
	rng          *rand.Rand
	groups       map[string]*Group
	durable      map[string]*storage.GroupState // what has been synced
	awaitingSync map[string][]Message           // messages with AfterSync set
	changes      map[string][]*schema.StoreChange
	applied      map[string][]string
	reads        map[string][]uint64
	messages     []envelope
	down         map[string]bool
	blocked      func(from, to string) bool // links on which messages are lost
	lossRate     float64
	stalledDisks map[string]bool // disks on which no sync returns
	appendCount  int             // Appends delivered or lost
	ordered      bool            // messages keep their order
}

type envelope struct {
	from, to string
	body     proto.Message
}

var ids = []string{"a", "b", "c"}

func newCluster(seed uint64, members ...string) *cluster {
	r := &cluster{
		now: eventloop.Second, rng: rand.New(rand.NewPCG(seed, 1)), groups: map[string]*Group{}, durable: map[string]*storage.GroupState{},
		awaitingSync: map[string][]Message{}, changes: map[string][]*schema.StoreChange{}, applied: map[string][]string{}, reads: map[string][]uint64{},
		down: map[string]bool{}, stalledDisks: map[string]bool{}, blocked: func(string, string) bool { return false },
	}
	for _, id := range members {
		r.durable[id] = &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{MemberSet: &schema.MemberSet{Voters: members}}}
		r.start(id)
	}
	return r
}

// start starts a replica from what is durable, after a crash if it was running.
func (r *cluster) start(id string) {
	r.down[id] = false
	r.awaitingSync[id], r.changes[id] = nil, nil
	r.applied[id] = nil
	state := r.durable[id]
	copied := &storage.GroupState{HardState: state.HardState, Snapshot: state.Snapshot, Entries: append([]*schema.Entry(nil), state.Entries...)}
	r.groups[id] = New("g", id, copied, DefaultTimeouts, rand.New(rand.NewPCG(r.rng.Uint64(), 2)), r.now)
}

// processReady handles a replica's Ready. Its disk syncs at once unless it is stalled.
func (r *cluster) processReady(id string) {
	g := r.groups[id]
	g.FlushReads(r.now)
	ready, point := g.Ready()
	for _, message := range ready.Messages {
		if message.AfterSync {
			r.awaitingSync[id] = append(r.awaitingSync[id], message)
		} else {
			r.messages = append(r.messages, envelope{id, message.To, message.Body})
		}
	}
	if ready.Snapshot != nil {
		r.applied[id] = []string{string(ready.Snapshot.Data)}
	}
	for _, entry := range ready.CommittedEntries {
		if entry.Kind == schema.EntryKind_ENTRY_COMMAND {
			r.applied[id] = append(r.applied[id], string(entry.Data))
		}
	}
	r.reads[id] = append(r.reads[id], ready.ConfirmedReads...)
	r.changes[id] = append(r.changes[id], ready.Changes...)
	if r.stalledDisks[id] {
		return
	}
	state := &storage.State{Groups: map[string]*storage.GroupState{"g": r.durable[id]}}
	changes := r.changes[id]
	r.changes[id] = nil
	for _, change := range changes {
		state.Apply(change)
	}
	for _, message := range r.awaitingSync[id] {
		r.messages = append(r.messages, envelope{id, message.To, message.Body})
	}
	r.awaitingSync[id] = nil
	if len(changes) > 0 {
		g.MarkSynced(r.now, point)
		r.processReady(id)
	}
}

// run advances time in steps of 10 ms and delivers all messages in each.
func (r *cluster) run(span eventloop.Micros) {
	for end := r.now + span; r.now < end; r.now += 10 * eventloop.Millisecond {
		for _, id := range sortedIDs(r.groups) {
			if !r.down[id] {
				r.groups[id].Tick(r.now)
				r.processReady(id)
			}
		}
		for round := 0; len(r.messages) > 0 && round < 50; round++ {
			messages := r.messages
			r.messages = nil
			if !r.ordered {
				r.rng.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
			}
			for _, m := range messages {
				r.deliver(m)
			}
		}
	}
}

// deliver hands a message to its receiver, unless it is lost.
func (r *cluster) deliver(m envelope) {
	if _, isAppend := m.body.(*schema.AppendRequest); isAppend {
		r.appendCount++
	}
	if r.groups[m.to] == nil || r.down[m.to] || r.down[m.from] || r.blocked(m.from, m.to) || r.rng.Float64() < r.lossRate {
		return
	}
	r.groups[m.to].Step(r.now, m.from, m.body)
	r.processReady(m.to)
}

func sortedIDs(groups map[string]*Group) []string {
	var list []string
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		if groups[id] != nil {
			list = append(list, id)
		}
	}
	return list
}

// leader is the running leader of the greatest term; nil if there is none.
func (r *cluster) leader() *Group {
	var newest *Group
	for id, g := range r.groups {
		if g.IsLeader() && !r.down[id] && (newest == nil || g.Term() > newest.Term()) {
			newest = g
		}
	}
	return newest
}

// propose has the leader propose a command, and tells whether it could.
func (r *cluster) propose(text string) bool {
	g := r.leader()
	if g == nil {
		return false
	}
	_, _, err := g.Propose(r.now, []byte(text))
	r.processReady(g.self)
	return err == nil
}

// startEmpty starts a replica with an empty disk.
func (r *cluster) startEmpty(id string) {
	r.durable[id] = &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
	r.start(id)
}

// proposeMembers has a leader propose a membership change.
func (r *cluster) proposeMembers(lead *Group, voters []string, learners ...string) error {
	err := lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: voters, Learners: learners})
	r.processReady(lead.self)
	return err
}

// membersExcept are the first three members but one.
func membersExcept(id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(member string) bool { return member == id })
}

// isolate partitions one replica from all others, in place of any other partition.
func (r *cluster) isolate(id string) {
	r.blocked = func(from, to string) bool { return from == id || to == id }
}

// heal ends all partitions.
func (r *cluster) heal() { r.blocked = func(string, string) bool { return false } }
