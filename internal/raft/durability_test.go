package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

func votersExcept(self string) []string {
	var list []string
	for _, id := range ids {
		if id != self {
			list = append(list, id)
		}
	}
	return list
}

func TestReadOnlyReplica(t *testing.T) {
	Convey("A replica whose store takes no writes follows, and neither stands nor votes", t, func() {
		r := newCluster(3, ids...)
		r.run(3 * eventloop.Second)
		leader := r.leader()
		refusing := r.groups[votersExcept(leader.self)[0]]
		refusing.SetWritable(false)
		r.stalledDisks[refusing.self] = true
		term := leader.Term()
		Convey("when it misses its leader, it asks nobody for votes, and grants none", func() {
			r.blocked = func(from, to string) bool { return from == leader.self || to == leader.self }
			asked := refusing.PreVoteCount()
			r.run(6 * eventloop.Second)
			So(refusing.PreVoteCount(), ShouldEqual, asked)
			So(refusing.IsLeader(), ShouldBeFalse)
			// The third alone is no majority, and nobody has encouraged it to try.
			third := r.groups[votersExcept(leader.self)[1]]
			So(third.IsLeader(), ShouldBeFalse)
			So(third.Term(), ShouldEqual, term)
			Convey("and once its store takes writes there is a leader again", func() {
				refusing.SetWritable(true)
				r.stalledDisks[refusing.self] = false
				r.run(2 * eventloop.Second)
				So(r.leader() != leader, ShouldBeTrue)
				So(r.leader().Term(), ShouldBeGreaterThan, term)
			})
		})
		Convey("it takes over from nobody", func() {
			leader.TransferLeadership(r.now, refusing.self)
			r.processReady(leader.self)
			r.run(3 * eventloop.Second)
			So(r.leader(), ShouldEqual, leader)
			So(leader.Term(), ShouldEqual, term)
			// A term of its own would make it dumb now, and depose the leader later.
			So(refusing.Term(), ShouldEqual, term)
		})
	})
	Convey("A leader whose store takes no writes commits by the others, answers reads, and hands over", t, func() {
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
		leader.TransferLeadership(r.now, votersExcept(leader.self)[0])
		r.processReady(leader.self)
		r.run(200 * eventloop.Millisecond)
		So(r.leader().self, ShouldEqual, votersExcept(leader.self)[0])
		// It went by the votes of those two alone.
		So(r.durable[leader.self].HardState.Term, ShouldBeLessThan, r.leader().Term())
	})
}

func TestFullState(t *testing.T) {
	Convey("The whole is what all changes come to", t, func() {
		r := newCluster(5, ids...)
		r.run(2 * eventloop.Second)
		for _, text := range []string{"one", "two", "three"} {
			So(r.propose(text), ShouldBeTrue)
			r.run(100 * eventloop.Millisecond)
		}
		leader := r.leader()
		leader.Compact(leader.AppliedIndex()-1, []byte("state"))
		r.processReady(leader.self)
		content := &storage.State{Groups: map[string]*storage.GroupState{}}
		content.Apply(&schema.StoreChange{Group: "g", HardState: &schema.HardState{Term: 99}, Entries: []*schema.Entry{{Index: 1}, {Index: 2}}})
		content.Apply(leader.FullState())
		image, durable := content.Groups["g"], r.durable[leader.self]
		So(proto.Equal(image.HardState, durable.HardState), ShouldBeTrue)
		So(proto.Equal(image.Snapshot, durable.Snapshot), ShouldBeTrue)
		So(len(image.Entries), ShouldEqual, len(durable.Entries))
		for k := range image.Entries {
			So(proto.Equal(image.Entries[k], durable.Entries[k]), ShouldBeTrue)
		}
	})
}
