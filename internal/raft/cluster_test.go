package raft

import (
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// cluster simulates the replicas of one group, their disks and their network. A test
// controls the faults of the disks and of the network.
type cluster struct {
	now          eventloop.Micros
	rng          *rand.Rand
	groups       map[string]*Group
	durable      map[string]*storage.GroupState   // state that each replica's disk has synced
	awaitingSync map[string][]Message             // messages with AfterSync set that wait for their sync
	changes      map[string][]*schema.StoreChange // changes that aren't synced yet
	applied      map[string][]string              // what each replica applied since its start: snapshot data, then commands
	reads        map[string][]uint64              // ids of confirmed reads
	messages     []envelope                       // messages on the network
	down         map[string]bool                  // replicas that aren't running
	blocked      func(from, to string) bool       // reports whether messages between two replicas are lost
	lossRate     float64                          // fraction of the messages that are lost
	stalledDisks map[string]bool                  // replicas whose disks don't complete any sync
	appendCount  int                              // number of Appends delivered or lost
	ordered      bool                             // messages are delivered in the order in which they were sent
}

// envelope is a message on the network.
type envelope struct {
	from, to string
	body     proto.Message
}

// ids lists the voters of most clusters in these tests.
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

// start starts a replica from its durable state. A replica that was running crashes first.
func (r *cluster) start(id string) {
	r.down[id] = false
	r.awaitingSync[id], r.changes[id] = nil, nil
	r.applied[id] = nil
	state := r.durable[id]
	copied := &storage.GroupState{HardState: state.HardState, Snapshot: state.Snapshot, Entries: append([]*schema.Entry(nil), state.Entries...)}
	r.groups[id] = New("g", id, copied, DefaultTimeouts, rand.New(rand.NewPCG(r.rng.Uint64(), 2)), r.now)
}

// processReady handles a replica's Ready. The replica's disk syncs at once unless it is
// stalled.
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

// run advances time in steps of 10 ms, and delivers all messages in each step.
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

// deliver passes a message to its receiver, unless the message is lost.
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

// leader returns the running leader of the highest term, or nil if there is none.
func (r *cluster) leader() *Group {
	var newest *Group
	for id, g := range r.groups {
		if g.IsLeader() && !r.down[id] && (newest == nil || g.Term() > newest.Term()) {
			newest = g
		}
	}
	return newest
}

// propose proposes a command to the leader, and reports whether the leader accepted it.
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

// proposeMembers proposes a membership change to a leader.
func (r *cluster) proposeMembers(lead *Group, voters []string, learners ...string) error {
	err := lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: voters, Learners: learners})
	r.processReady(lead.self)
	return err
}

// membersExcept returns ids without one of them.
func membersExcept(id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(member string) bool { return member == id })
}

// isolate partitions one replica from all others, and ends any earlier partition.
func (r *cluster) isolate(id string) {
	r.blocked = func(from, to string) bool { return from == id || to == id }
}

// heal ends all partitions.
func (r *cluster) heal() { r.blocked = func(string, string) bool { return false } }
