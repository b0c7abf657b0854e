package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// cluster is a group of replicas with a network that a test shapes by hand.
type cluster struct {
	now          eventloop.Micros
	rng          *rand.Rand
	groups       map[string]*Group
	durable      map[string]*storage.GroupState // what is durable
	awaitingSync map[string][]Message           // posts that wait for a sync
	changes      map[string][]*schema.StoreChange
	applied      map[string][]string
	reads        map[string][]uint64
	messages     []envelope
	down         map[string]bool
	blocked      func(from, to string) bool
	lossRate     float64
	stalledDisks map[string]bool
	appendCount  int
	// ordered keeps messages in order, as wires do.
	ordered bool
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

func (r *cluster) start(id string) {
	r.down[id] = false
	r.awaitingSync[id], r.changes[id] = nil, nil
	r.applied[id] = nil
	image := r.durable[id]
	copied := &storage.GroupState{HardState: image.HardState, Snapshot: image.Snapshot, Entries: append([]*schema.Entry(nil), image.Entries...)}
	r.groups[id] = New("g", id, copied, DefaultTimeouts, rand.New(rand.NewPCG(r.rng.Uint64(), 2)), r.now)
}

// processReady takes a replica's effects; its disk lasts at once unless told not to.
func (r *cluster) processReady(id string) {
	g := r.groups[id]
	g.FlushReads(r.now)
	effects, mark := g.Ready()
	for _, post := range effects.Messages {
		if post.AfterSync {
			r.awaitingSync[id] = append(r.awaitingSync[id], post)
		} else {
			r.messages = append(r.messages, envelope{id, post.To, post.Body})
		}
	}
	if effects.Snapshot != nil {
		r.applied[id] = []string{string(effects.Snapshot.Data)}
	}
	for _, entry := range effects.CommittedEntries {
		if entry.Kind == schema.EntryKind_ENTRY_COMMAND {
			r.applied[id] = append(r.applied[id], string(entry.Data))
		}
	}
	r.reads[id] = append(r.reads[id], effects.ReadRequests...)
	r.changes[id] = append(r.changes[id], effects.Changes...)
	if r.stalledDisks[id] {
		return
	}
	content := &storage.State{Groups: map[string]*storage.GroupState{"g": r.durable[id]}}
	changes := r.changes[id]
	r.changes[id] = nil
	for _, change := range changes {
		content.Apply(change)
	}
	for _, post := range r.awaitingSync[id] {
		r.messages = append(r.messages, envelope{id, post.To, post.Body})
	}
	r.awaitingSync[id] = nil
	if len(changes) > 0 {
		g.MarkSynced(r.now, mark)
		r.processReady(id)
	}
}

// run lets time pass in steps of 10 ms, delivering everything each time.
func (r *cluster) run(span eventloop.Micros) {
	for end := r.now + span; r.now < end; r.now += 10 * eventloop.Millisecond {
		for _, id := range sortedIDs(r.groups) {
			if !r.down[id] {
				r.groups[id].Tick(r.now)
				r.processReady(id)
			}
		}
		for round := 0; len(r.messages) > 0 && round < 50; round++ {
			mail := r.messages
			r.messages = nil
			if !r.ordered {
				r.rng.Shuffle(len(mail), func(i, j int) { mail[i], mail[j] = mail[j], mail[i] })
			}
			for _, p := range mail {
				if _, ok := p.body.(*schema.AppendRequest); ok {
					r.appendCount++
				}
				if r.groups[p.to] == nil || r.down[p.to] || r.down[p.from] || r.blocked(p.from, p.to) || r.rng.Float64() < r.lossRate {
					continue
				}
				r.groups[p.to].Step(r.now, p.from, p.body)
				r.processReady(p.to)
			}
		}
	}
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

func (r *cluster) leader() *Group {
	var best *Group
	for id, g := range r.groups {
		if g.IsLeader() && !r.down[id] && (best == nil || g.Term() > best.Term()) {
			best = g
		}
	}
	return best
}

func (r *cluster) propose(text string) bool {
	g := r.leader()
	if g == nil {
		return false
	}
	_, _, err := g.Propose(r.now, []byte(text))
	r.processReady(g.self)
	return err == nil
}

func TestElection(t *testing.T) {
	Convey("Three replicas elect one leader, and its records reach all", t, func() {
		r := newCluster(1, ids...)
		r.run(4 * eventloop.Second)
		So(r.leader(), ShouldNotBeNil)
		So(r.propose("one"), ShouldBeTrue)
		So(r.propose("two"), ShouldBeTrue)
		r.run(eventloop.Second)
		for _, id := range ids {
			So(r.applied[id], ShouldResemble, []string{"one", "two"})
		}
		Convey("one that was cut off and comes back doesn't disturb the leader", func() {
			oldLeader := r.leader()
			var lagging string
			for _, id := range ids {
				if id != oldLeader.self {
					lagging = id
				}
			}
			r.blocked = func(from, to string) bool { return from == lagging || to == lagging }
			r.run(20 * eventloop.Second)
			term := oldLeader.Term()
			So(r.groups[lagging].Term(), ShouldEqual, term)
			r.blocked = func(string, string) bool { return false }
			r.run(3 * eventloop.Second)
			So(r.leader(), ShouldEqual, oldLeader)
			So(oldLeader.Term(), ShouldEqual, term)
		})
		Convey("a leader without a quorum steps down and commits nothing", func() {
			oldLeader := r.leader()
			r.blocked = func(from, to string) bool { return from == oldLeader.self || to == oldLeader.self }
			r.propose("lost")
			So(oldLeader.HoldsLeaderLease(r.now), ShouldBeTrue)
			r.run(500 * eventloop.Millisecond)
			So(oldLeader.HoldsLeaderLease(r.now), ShouldBeFalse)
			r.run(5 * eventloop.Second)
			So(oldLeader.IsLeader(), ShouldBeFalse)
			So(r.propose("three"), ShouldBeTrue)
			r.run(eventloop.Second)
			r.blocked = func(string, string) bool { return false }
			r.run(4 * eventloop.Second)
			for _, id := range ids {
				So(r.applied[id], ShouldResemble, []string{"one", "two", "three"})
			}
		})
		Convey("leadership is handed over without an election's wait", func() {
			oldLeader := r.leader()
			to := "a"
			if oldLeader.self == "a" {
				to = "b"
			}
			oldLeader.TransferLeadership(r.now, to)
			r.processReady(oldLeader.self)
			r.run(50 * eventloop.Millisecond)
			So(r.leader().self, ShouldEqual, to)
		})
	})
}

func TestSyncBeforeAcknowledge(t *testing.T) {
	Convey("A follower whose disk doesn't answer acknowledges nothing, and votes for nobody", t, func() {
		r := newCluster(3, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		for _, id := range ids {
			if id != lead.self {
				r.stalledDisks[id] = true
			}
		}
		r.propose("one")
		r.run(3 * eventloop.Second)
		So(len(r.applied[lead.self]), ShouldEqual, 0)
		// Heartbeats go on meanwhile, so it still leads.
		So(lead.IsLeader(), ShouldBeTrue)
		for _, id := range ids {
			r.stalledDisks[id] = false
		}
		r.run(2 * eventloop.Second)
		So(r.applied[lead.self], ShouldResemble, []string{"one"})
	})
	Convey("A vote isn't told before it lasts, nor does a candidate count its own", t, func() {
		r := newCluster(8, ids...)
		for _, id := range ids[1:] {
			r.stalledDisks[id] = true
		}
		r.run(6 * eventloop.Second)
		So(r.leader(), ShouldBeNil)
		// Votes that were never synced are lost with the power, and another may
		// be given in the same term.
		for _, id := range ids[1:] {
			r.stalledDisks[id] = false
			r.start(id)
		}
		r.run(6 * eventloop.Second)
		So(r.leader(), ShouldNotBeNil)
	})
	Convey("A sync that is reported for a record replaced meanwhile proves nothing", t, func() {
		r := newCluster(4, ids...)
		g := r.groups["a"]
		entries := func(term, prevIndex, prevTerm uint64, data string) {
			g.Step(r.now, "b", &schema.AppendRequest{Group: "g", Term: term, PrevIndex: prevIndex, PrevTerm: prevTerm,
				Entries: []*schema.Entry{{Index: prevIndex + 1, Term: term, Data: []byte(data)}}})
		}
		entries(1, 0, 0, "old")
		_, oldMark := g.Ready()
		entries(2, 0, 0, "new")
		_, newMark := g.Ready()
		g.MarkSynced(r.now, oldMark)
		So(g.StableIndex(), ShouldEqual, 0)
		g.MarkSynced(r.now, newMark)
		So(g.StableIndex(), ShouldEqual, 1)
	})
}

func TestSnapshotToLaggingFollower(t *testing.T) {
	Convey("A replica that was away beyond the released log gets the checkpoint, then the rest", t, func() {
		r := newCluster(5, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		var lagging string
		for _, id := range ids {
			if id != lead.self {
				lagging = id
			}
		}
		r.down[lagging] = true
		for k := 0; k < 50; k++ {
			r.propose(fmt.Sprint(k))
		}
		r.run(eventloop.Second)
		lead.Compact(lead.AppliedIndex()-5, []byte("state"))
		r.processReady(lead.self)
		r.start(lagging)
		r.run(3 * eventloop.Second)
		So(r.applied[lagging], ShouldResemble, []string{"state", "45", "46", "47", "48", "49"})
		So(r.groups[lagging].GroupTime(r.now), ShouldBeGreaterThan, 0)
	})
}

func TestCatchUpSendsOnlyMissingEntries(t *testing.T) {
	Convey("A replica that was away gets what it lacks about once, however much was on its way", t, func() {
		for seed := uint64(1); seed < 20; seed++ {
			r := newCluster(seed, ids...)
			r.run(4 * eventloop.Second)
			lead := r.leader()
			var lagging string
			for _, id := range ids {
				if id != lead.self {
					lagging = id
				}
			}
			r.blocked = func(from, to string) bool { return to == lagging || from == lagging }
			for k := 0; k < 900; k++ {
				r.propose(fmt.Sprint(k))
			}
			r.run(3 * eventloop.Second)
			r.blocked = func(string, string) bool { return false }
			// Many records come in the moment before it catches up.
			r.appendCount, r.ordered = 0, true
			for k := 0; k < 40; k++ {
				r.propose(fmt.Sprint("n", k))
			}
			r.run(2 * eventloop.Second)
			So(len(r.applied[lagging]), ShouldEqual, 940)
			So(r.appendCount, ShouldBeLessThan, 120)
		}
	})
}

func TestNewLeaderWithLongLog(t *testing.T) {
	Convey("A new leader of a log longer than what may be on its way acts at once, and sends nothing anew", t, func() {
		r := newCluster(9, ids...)
		r.run(4 * eventloop.Second)
		for k := 0; k < maxInflightEntries+500; k++ {
			r.propose(fmt.Sprint(k))
		}
		r.run(2 * eventloop.Second)
		old := r.leader()
		to := "a"
		if old.self == "a" {
			to = "b"
		}
		r.appendCount = 0
		Convey("as one that was handed the group", func() {
			old.TransferLeadership(r.now, to)
			r.processReady(old.self)
			r.run(50 * eventloop.Millisecond)
			So(r.groups[to].HoldsLeaderLease(r.now), ShouldBeTrue)
			So(r.appendCount, ShouldBeLessThan, 10)
		})
		Convey("also where the first Append was lost", func() {
			r.blocked = func(from, other string) bool { return len(r.applied[to]) > 0 && r.groups[to].IsLeader() }
			old.TransferLeadership(r.now, to)
			r.processReady(old.self)
			r.run(50 * eventloop.Millisecond)
			So(r.groups[to].IsLeader(), ShouldBeTrue)
			r.blocked = func(string, string) bool { return false }
			r.run(500 * eventloop.Millisecond)
			So(r.groups[to].HoldsLeaderLease(r.now), ShouldBeTrue)
			So(r.appendCount, ShouldBeLessThan, 20)
		})
	})
}

func TestElectionAfterRestart(t *testing.T) {
	Convey("When all start anew whoever led last leads again, without an election's time", t, func() {
		for seed := uint64(1); seed <= 50; seed++ {
			r := newCluster(seed, ids...)
			r.run(4 * eventloop.Second)
			r.propose("one")
			r.run(eventloop.Second)
			old := r.leader().self
			splitVote := false
			for _, id := range ids {
				// Who stood against the leader has voted for itself as well.
				splitVote = splitVote || id != old && r.durable[id].HardState.Vote == id
				r.start(id)
			}
			r.run(DefaultTimeouts.leaderLease() + 50*eventloop.Millisecond)
			if !splitVote {
				So(r.leader().self, ShouldEqual, old)
			}
			So(r.leader().HoldsLeaderLease(r.now), ShouldBeTrue)
		}
	})
	Convey("and another does a moment later if that one stays away", t, func() {
		for seed := uint64(1); seed <= 50; seed++ {
			r := newCluster(seed, ids...)
			r.run(4 * eventloop.Second)
			old := r.leader().self
			for _, id := range ids {
				r.start(id)
			}
			r.down[old] = true
			r.run(eventloop.Second)
			So(r.leader(), ShouldNotBeNil)
		}
	})
	Convey("One that starts alone disturbs nobody, nor does it lead before the last leader acts no more", t, func() {
		r := newCluster(1, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		term := lead.Term()
		for _, id := range ids {
			if id != lead.self {
				r.start(id)
				r.run(3 * eventloop.Second)
			}
		}
		So(r.leader(), ShouldEqual, lead)
		So(lead.Term(), ShouldEqual, term)
	})
}

func TestMembershipChange(t *testing.T) {
	Convey("A fresh replica learns, is promoted, and the lost one is dropped", t, func() {
		r := newCluster(6, ids...)
		r.run(4 * eventloop.Second)
		r.propose("one")
		r.run(eventloop.Second)
		lead := r.leader()
		lost, other := "", ""
		for _, id := range ids {
			if id != lead.self {
				lost, other = other, id
			}
		}
		if lost == "" {
			lost = "a"
		}
		r.down[lost] = true
		r.durable["d"] = &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
		r.start("d")
		r.run(3 * eventloop.Second)
		So(r.groups["d"].Term(), ShouldEqual, 0) // it never campaigns unasked
		So(lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: ids, Learners: []string{"d"}}), ShouldBeNil)
		r.processReady(lead.self)
		r.run(eventloop.Second)
		So(r.applied["d"], ShouldResemble, []string{"one"})
		So(lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: append(append([]string{}, ids...), "d")}), ShouldBeNil)
		So(lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: ids}), ShouldNotBeNil)
		r.processReady(lead.self)
		r.run(eventloop.Second)
		So(lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: []string{lead.self, other, "d"}}), ShouldBeNil)
		r.processReady(lead.self)
		r.run(eventloop.Second)
		// A second loss is survived now.
		r.down[other] = true
		r.propose("two")
		r.run(eventloop.Second)
		So(r.applied["d"], ShouldResemble, []string{"one", "two"})
	})
}

func TestReadIndex(t *testing.T) {
	Convey("A read is answered only when a quorum has heard from this leader since", t, func() {
		r := newCluster(7, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		So(lead.ReadIndex(r.now, 1), ShouldBeNil)
		r.processReady(lead.self)
		r.run(20 * eventloop.Millisecond)
		So(r.reads[lead.self], ShouldResemble, []uint64{1})
		r.blocked = func(from, to string) bool { return from == lead.self || to == lead.self }
		So(lead.ReadIndex(r.now, 2), ShouldBeNil)
		r.processReady(lead.self)
		r.run(4 * eventloop.Second)
		So(r.reads[lead.self], ShouldResemble, []uint64{1})
	})
}

// TestRandomHistories: whatever happens, replicas apply one sequence, and what
// was applied anywhere stays.
func TestRandomHistories(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		r := newCluster(seed, ids...)
		r.lossRate = 0.1
		longest := []string{}
		for k := 0; k < 60; k++ {
			r.propose(fmt.Sprint(k))
			switch r.rng.IntN(6) {
			case 0:
				id := ids[r.rng.IntN(3)]
				r.down[id] = true
			case 1, 2:
				for _, id := range ids {
					if r.down[id] {
						r.start(id)
					}
				}
			case 3:
				a, b := ids[r.rng.IntN(3)], ids[r.rng.IntN(3)]
				r.blocked = func(from, to string) bool { return from == a && to == b }
			case 4:
				r.blocked = func(string, string) bool { return false }
			}
			r.run(eventloop.Micros(r.rng.Int64N(int64(eventloop.Second))))
			for _, id := range ids {
				got := r.applied[id]
				for i := 0; i < min(len(got), len(longest)); i++ {
					if got[i] != longest[i] {
						t.Fatalf("seed %d: %s applied %q at %d, where %q was applied before", seed, id, got[i], i, longest[i])
					}
				}
				if len(got) > len(longest) {
					longest = append([]string{}, got...)
				}
			}
		}
		r.blocked = func(string, string) bool { return false }
		r.lossRate = 0
		for _, id := range ids {
			if r.down[id] {
				r.start(id)
			}
		}
		r.run(8 * eventloop.Second)
		if len(longest) == 0 {
			t.Fatalf("seed %d: nothing was ever applied", seed)
		}
		for _, id := range ids {
			if len(r.applied[id]) < len(longest) {
				t.Fatalf("seed %d: %s applied %d of %d in the end", seed, id, len(r.applied[id]), len(longest))
			}
		}
	}
}

func TestWallTime(t *testing.T) {
	const right, jump = int64(1_800_000_000_000_000), int64(3600 * eventloop.Second)
	clock := func(g *Group, walls map[string]int64) {
		for id, wall := range walls {
			g.peers[id].wallOffset = wall
		}
	}
	Convey("Of three clocks the middle one counts", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		for k, id := range g.otherMembers() {
			clock(g, map[string]int64{id: []int64{right + jump, right}[k]})
		}
		So(g.WallTime(0, right), ShouldEqual, right)
		So(g.WallTime(0, right-jump), ShouldEqual, right)
	})
	Convey("Most clocks that jump together aren't believed for a while", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		now, others := r.now, g.otherMembers()
		at := func(jump int64, span eventloop.Micros) int64 {
			walls := map[string]int64{}
			for _, id := range others {
				walls[id] = right + jump - int64(now)
			}
			clock(g, walls)
			g.UpdateWallOffset(now+span, right+jump+int64(span))
			return g.WallTime(now+span, right+jump+int64(span)) - int64(span)
		}
		So(at(0, 0), ShouldEqual, right)
		for _, each := range []int64{jump, -jump, 5_000_000, -5_000_000} {
			So(at(each, eventloop.Second), ShouldEqual, right)
			So(at(each, 7*eventloop.Second), ShouldEqual, right)
			So(at(0, 8*eventloop.Second), ShouldEqual, right)
		}
		So(at(200_000, 9*eventloop.Second), ShouldEqual, right+200_000)
		So(at(jump, 10*eventloop.Second), ShouldEqual, right+200_000)
		So(at(jump, 29*eventloop.Second), ShouldEqual, right+200_000)
		So(at(jump, 30*eventloop.Second), ShouldEqual, right+jump)
	})
	Convey("A later time than a former leader's is no jump: group time may have stood still", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		walls := map[string]int64{}
		for _, id := range g.otherMembers() {
			walls[id] = right - int64(r.now)
		}
		clock(g, walls)
		g.wallOffset = right - g.GroupTime(r.now) - 13*int64(eventloop.Second)
		So(g.WallTime(r.now, right), ShouldEqual, right)
		offset, isKnown := g.WallOffset(r.now, right)
		So(isKnown, ShouldBeTrue)
		So(offset, ShouldEqual, right-g.GroupTime(r.now))
		clock(g, map[string]int64{g.otherMembers()[0]: 0, g.otherMembers()[1]: 0})
		_, isKnown = g.WallOffset(r.now, right)
		So(isKnown, ShouldBeFalse)
	})
	Convey("Of two, the one that fits what three agreed on, and never an earlier start", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		now := r.now
		others := g.otherMembers()
		clock(g, map[string]int64{others[0]: right - int64(now), others[1]: right - int64(now)})
		g.UpdateWallOffset(now, right)
		g.broadcastHeartbeat(now)
		r.processReady(g.self)
		r.run(20 * eventloop.Millisecond)
		// The leader goes; its successor has heard one clock besides its own.
		r.down[g.self] = true
		r.run(4 * eventloop.Second)
		next := r.leader()
		So(next.self, ShouldNotEqual, g.self)
		for _, id := range next.otherMembers() {
			next.peers[id].wallOffset = 0
		}
		live := others[0]
		if live == next.self {
			live = others[1]
		}
		now, later := r.now, right+int64(4*eventloop.Second)
		for _, each := range []struct{ own, other, want int64 }{
			{later, later + jump, later}, {later + jump, later, later}, {later, later - jump, later}, {later - jump, later, later},
		} {
			next.peers[live].wallOffset = each.other - int64(now)
			So(next.WallTime(now, each.own), ShouldEqual, each.want)
		}
	})
}

func TestLeaderLease(t *testing.T) {
	Convey("A leader acts only while a quorum has answered it a moment ago, long before it steps down", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		So(g.HoldsLeaderLease(r.now), ShouldBeTrue)
		r.blocked = func(from, to string) bool { return from == g.self || to == g.self }
		r.run(DefaultTimeouts.ElectionMin - DefaultTimeouts.HeartbeatInterval)
		So(g.IsLeader(), ShouldBeTrue)
		So(g.HoldsLeaderLease(r.now), ShouldBeFalse)
	})
	Convey("and acts no more when another may lead, however soon that is", t, func() {
		for seed := uint64(1); seed <= 50; seed++ {
			r := newCluster(seed, ids...)
			r.run(3 * eventloop.Second)
			g := r.leader()
			r.blocked = func(from, to string) bool { return from == g.self || to == g.self }
			for k := 0; k < 200 && g.HoldsLeaderLease(r.now); k++ {
				for id, other := range r.groups {
					So(id == g.self || !other.IsLeader(), ShouldBeTrue)
				}
				r.run(10 * eventloop.Millisecond)
			}
			So(g.HoldsLeaderLease(r.now), ShouldBeFalse)
		}
	})
	Convey("A beat that lay in a buffer makes no copy fresh", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		other := r.groups[g.otherMembers()[0]]
		beat := &schema.Heartbeat{Group: "g", Term: g.term, Commit: g.commit, Round: g.round, CommitConfirmed: true, AckedRound: g.peers[other.self].round}
		before := other.FreshAsOf()
		So(r.now-before, ShouldBeLessThan, eventloop.Second)
		// It is delivered an hour later.
		other.Step(r.now+3600*eventloop.Second, g.self, beat)
		So(other.FreshAsOf()-before, ShouldBeLessThan, eventloop.Second)
	})
}

func TestBootstrapCampaign(t *testing.T) {
	Convey("Who stands when a group is founded leads it within a round trip", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newCluster(seed, ids...)
			r.groups["b"].BootstrapCampaign(r.now)
			r.run(50 * eventloop.Millisecond)
			So(r.leader(), ShouldEqual, r.groups["b"])
			So(r.propose("x"), ShouldBeTrue)
			r.run(400 * eventloop.Millisecond)
			So(r.applied["a"], ShouldResemble, []string{"x"})
		}
	})
	Convey("also when the others found it later, and the first calls were dropped", t, func() {
		r := newCluster(3, ids...)
		others := map[string]*Group{"a": r.groups["a"], "c": r.groups["c"]}
		delete(r.groups, "a")
		delete(r.groups, "c")
		r.groups["b"].BootstrapCampaign(r.now)
		r.run(230 * eventloop.Millisecond)
		So(r.leader(), ShouldBeNil)
		r.groups["c"] = others["c"]
		r.run(bootstrapVoteInterval + 20*eventloop.Millisecond)
		So(r.leader(), ShouldEqual, r.groups["b"])
		So(r.groups["b"].Term(), ShouldEqual, 1)
	})
	Convey("or votes are lost; at last it goes on as ever", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newCluster(seed, ids...)
			r.lossRate = 0.5
			r.groups["b"].BootstrapCampaign(r.now)
			r.run(600 * eventloop.Millisecond)
			r.lossRate = 0
			r.run(4 * eventloop.Second)
			So(r.leader(), ShouldNotBeNil)
		}
	})
	Convey("Two that stand at once are no worse than any split vote", t, func() {
		r := newCluster(5, ids...)
		r.groups["a"].BootstrapCampaign(r.now)
		r.groups["b"].BootstrapCampaign(r.now)
		r.run(4 * eventloop.Second)
		So(r.leader(), ShouldNotBeNil)
		leaders := 0
		for _, g := range r.groups {
			if g.IsLeader() {
				leaders++
			}
		}
		So(leaders, ShouldEqual, 1)
	})
	Convey("Who has lived through a term, leads, or has no vote doesn't stand", t, func() {
		r := newCluster(7, ids...)
		r.run(3 * eventloop.Second)
		term := r.leader().Term()
		for _, id := range ids {
			r.groups[id].BootstrapCampaign(r.now)
		}
		r.run(2 * eventloop.Second)
		So(r.leader().Term(), ShouldEqual, term)
		stranger := New("g", "x", &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}, DefaultTimeouts, r.rng, r.now)
		stranger.BootstrapCampaign(r.now)
		effects, _ := stranger.Ready()
		So(effects.Changes, ShouldBeEmpty)
	})
	Convey("A founder that its leader reached before it had founded becomes a voter, and stays one", t, func() {
		r := newCluster(9, ids...)
		// c was opened empty, by the leader's first word.
		r.durable["c"] = &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
		r.start("c")
		r.groups["a"].BootstrapCampaign(r.now)
		r.run(300 * eventloop.Millisecond)
		So(r.propose("x"), ShouldBeTrue)
		r.run(300 * eventloop.Millisecond)
		So(r.applied["c"], ShouldResemble, []string{"x"})
		r.groups["c"].Bootstrap(ids)
		r.processReady("c")
		So(r.groups["c"].MemberSet().Voters, ShouldResemble, ids)
		r.start("c")
		So(r.propose("y"), ShouldBeTrue)
		r.run(300 * eventloop.Millisecond)
		So(r.groups["c"].MemberSet().Voters, ShouldResemble, ids)
		So(r.applied["c"], ShouldResemble, []string{"x", "y"})
		r.groups["a"].TransferLeadership(r.now, "c")
		r.run(100 * eventloop.Millisecond)
		So(r.leader(), ShouldEqual, r.groups["c"])
	})
}
