package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

func TestReadOnlyReplica(t *testing.T) {
	Convey("A replica whose store takes no writes follows, and neither campaigns nor votes", t, func() {
		r := newCluster(3, ids...)
		r.run(3 * eventloop.Second)
		leader := r.leader()
		readOnly := r.groups[membersExcept(leader.self)[0]]
		readOnly.SetWritable(false)
		r.stalledDisks[readOnly.self] = true
		term := leader.Term()
		Convey("without a leader it starts no pre-vote, and grants none", func() {
			r.isolate(leader.self)
			preVotes := readOnly.PreVoteCount()
			r.run(6 * eventloop.Second)
			So(readOnly.PreVoteCount(), ShouldEqual, preVotes)
			So(readOnly.IsLeader(), ShouldBeFalse)
			// The third replica alone isn't a majority, and the read-only replica granted it no
			// pre-vote.
			third := r.groups[membersExcept(leader.self)[1]]
			So(third.IsLeader(), ShouldBeFalse)
			So(third.Term(), ShouldEqual, term)
			Convey("once its store takes writes again a leader is elected", func() {
				readOnly.SetWritable(true)
				r.stalledDisks[readOnly.self] = false
				r.run(2 * eventloop.Second)
				So(r.leader() != leader, ShouldBeTrue)
				So(r.leader().Term(), ShouldBeGreaterThan, term)
			})
		})
		Convey("it accepts no leadership transfer", func() {
			leader.TransferLeadership(r.now, readOnly.self)
			r.processReady(leader.self)
			r.run(3 * eventloop.Second)
			So(r.leader(), ShouldEqual, leader)
			So(leader.Term(), ShouldEqual, term)
			// If it started a term that it can't sync, it could send no message now, and would
			// depose the leader later.
			So(readOnly.Term(), ShouldEqual, term)
		})
	})
	Convey("A leader whose store takes no writes commits by the others, serves reads, and transfers leadership", t, func() {
		r := newCluster(4, ids...)
		r.run(3 * eventloop.Second)
		leader := r.leader()
		leader.SetWritable(false)
		r.stalledDisks[leader.self] = true
		So(r.propose("one"), ShouldBeTrue)
		So(leader.ReadIndex(r.now, 7), ShouldBeNil)
		r.run(300 * eventloop.Millisecond)
		So(r.applied[leader.self], ShouldResemble, []string{"one"})
		So(r.reads[leader.self], ShouldResemble, []uint64{7})
		leader.TransferLeadership(r.now, membersExcept(leader.self)[0])
		r.processReady(leader.self)
		r.run(200 * eventloop.Millisecond)
		So(r.leader().self, ShouldEqual, membersExcept(leader.self)[0])
		// The other two replicas elected the new leader; the former one hasn't synced the term.
		So(r.durable[leader.self].HardState.Term, ShouldBeLessThan, r.leader().Term())
	})
}

func TestFullState(t *testing.T) {
	Convey("FullState gives a store of other content what all changes together give", t, func() {
		r := newCluster(5, ids...)
		r.run(2 * eventloop.Second)
		for _, text := range []string{"one", "two", "three"} {
			So(r.propose(text), ShouldBeTrue)
			r.run(100 * eventloop.Millisecond)
		}
		leader := r.leader()
		leader.Compact(leader.CommitIndex()-1, []byte("state"))
		r.processReady(leader.self)
		state := &storage.State{Groups: map[string]*storage.GroupState{}}
		state.Apply(&schema.StoreChange{Group: "g", HardState: &schema.HardState{Term: 99}, Entries: []*schema.Entry{{Index: 1}, {Index: 2}}})
		state.Apply(leader.FullState())
		restored, durable := state.Groups["g"], r.durable[leader.self]
		So(proto.Equal(restored.HardState, durable.HardState), ShouldBeTrue)
		So(proto.Equal(restored.Snapshot, durable.Snapshot), ShouldBeTrue)
		So(len(restored.Entries), ShouldEqual, len(durable.Entries))
		for k := range restored.Entries {
			So(proto.Equal(restored.Entries[k], durable.Entries[k]), ShouldBeTrue)
		}
	})
}

func TestSyncBeforeAcknowledge(t *testing.T) {
	Convey("A follower whose disk stalls acknowledges nothing", t, func() {
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
		// Heartbeats need no sync, so the leader keeps its quorum.
		So(lead.IsLeader(), ShouldBeTrue)
		for _, id := range ids {
			r.stalledDisks[id] = false
		}
		r.run(2 * eventloop.Second)
		So(r.applied[lead.self], ShouldResemble, []string{"one"})
	})
	Convey("A vote is neither sent nor, by a candidate, counted before it is synced", t, func() {
		r := newCluster(8, ids...)
		for _, id := range ids[1:] {
			r.stalledDisks[id] = true
		}
		r.run(6 * eventloop.Second)
		So(r.leader(), ShouldBeNil)
		// Votes that weren't synced are lost in the restart, so a replica may grant another
		// vote in the same term.
		for _, id := range ids[1:] {
			r.stalledDisks[id] = false
			r.start(id)
		}
		r.run(6 * eventloop.Second)
		So(r.leader(), ShouldNotBeNil)
	})
	Convey("A sync of an entry that was replaced meanwhile makes nothing stable", t, func() {
		r := newCluster(4, ids...)
		g := r.groups["a"]
		receive := func(term, prevIndex, prevTerm uint64, data string) {
			g.Step(r.now, "b", &schema.AppendRequest{Group: "g", Term: term, PrevIndex: prevIndex, PrevTerm: prevTerm,
				Entries: []*schema.Entry{{Index: prevIndex + 1, Term: term, Data: []byte(data)}}})
		}
		receive(1, 0, 0, "old")
		_, oldPoint := g.Ready()
		receive(2, 0, 0, "new")
		_, newPoint := g.Ready()
		g.MarkSynced(r.now, oldPoint)
		So(g.StableIndex(), ShouldEqual, 0)
		g.MarkSynced(r.now, newPoint)
		So(g.StableIndex(), ShouldEqual, 1)
	})
}
