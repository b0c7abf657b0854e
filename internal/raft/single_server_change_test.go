package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

func TestSingleServerChange(t *testing.T) {
	Convey("Given a group of three and an empty fourth store", t, func() {
		r := newCluster(5, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.propose("one")
		r.durable["d"] = &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
		r.start("d")
		r.run(eventloop.Second)
		change := func(voters []string, learners ...string) error {
			err := lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: voters, Learners: learners})
			r.processReady(lead.self)
			return err
		}
		Convey("A leader leaves no majority beside another, whoever asks", func() {
			So(change([]string{lead.self}), ShouldNotBeNil)
			So(change([]string{}), ShouldNotBeNil)
			So(change([]string{"a", "b", "d"}), ShouldNotBeNil)
			So(change(append(append([]string{}, ids...), "d", "e")), ShouldNotBeNil)
			So(lead.MemberSet().Voters, ShouldResemble, ids)
		})
		Convey("A store becomes a voter only after it has learnt what there is", func() {
			four := append(append([]string{}, ids...), "d")
			So(change(four), ShouldNotBeNil)
			r.down["d"] = true
			So(change(ids, "d"), ShouldBeNil)
			r.run(eventloop.Second)
			So(change(four), ShouldNotBeNil)
			r.down["d"] = false
			r.run(eventloop.Second)
			r.propose("two")
			r.run(eventloop.Second)
			So(change(four), ShouldBeNil)
		})
	})
}
