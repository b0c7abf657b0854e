package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// empty gives the rig a replica with an empty disk.
func (r *rig) empty(id string) {
	r.images[id] = &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
	r.start(id)
}

// change has a leader propose a member set.
func (r *rig) change(lead *Group, voters []string, learners ...string) error {
	err := lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: voters, Learners: learners})
	r.collect(lead.self)
	return err
}

// others are the members but one.
func othersThan(id string) []string {
	var list []string
	for _, each := range ids {
		if each != id {
			list = append(list, each)
		}
	}
	return list
}

func TestALearnerHearsOfARestingGroup(t *testing.T) {
	Convey("A learner is sent an Append when it becomes one, though no record follows", t, func() {
		r := newRig(8, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.mail = nil
		So(r.change(lead, ids, "d"), ShouldBeNil)
		count := 0
		for _, each := range r.mail {
			if _, isAppend := each.body.(*schema.AppendRequest); isAppend && each.to == "d" {
				count++
			}
		}
		So(count, ShouldEqual, 1)
	})
}

func TestCaughtUp(t *testing.T) {
	Convey("Given a young group, whose whole log is shorter than what a learner may lack", t, func() {
		r := newRig(9, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.propose("one")
		r.run(eventloop.Second)
		r.empty("d")
		r.isDown["d"] = true
		So(r.change(lead, ids, "d"), ShouldBeNil)
		r.run(eventloop.Second)
		Convey("A learner that holds nothing isn't caught up", func() {
			So(lead.Last(), ShouldBeLessThan, CaughtUp)
			So(lead.IsCaughtUp("d"), ShouldBeFalse)
		})
		Convey("One that holds the record that made it one is", func() {
			r.isDown["d"] = false
			r.run(eventloop.Second)
			So(lead.IsCaughtUp("d"), ShouldBeTrue)
			So(r.applied["d"], ShouldResemble, []string{"one"})
		})
	})
}

func TestAChangeWaitsForTheOwnTerm(t *testing.T) {
	Convey("A new leader changes no members before a record of its own term is committed", t, func() {
		r := newRig(10, ids...)
		r.run(4 * eventloop.Second)
		old := r.leader()
		r.isDown[old.self] = true
		var lead *Group
		for lead == nil {
			r.run(10 * eventloop.Millisecond)
			for _, id := range othersThan(old.self) {
				// Its first record is on its way to the other, which then falls silent.
				if r.groups[id].IsLeader() {
					lead = r.groups[id]
				}
			}
		}
		lead.follow(r.now, lead.term, "")
		lead.becomeLeader(r.now)
		So(lead.Commit(), ShouldBeLessThan, lead.First())
		So(r.change(lead, ids, "d"), ShouldNotBeNil)
		r.run(eventloop.Second)
		So(r.change(r.leader(), ids, "d"), ShouldBeNil)
		So(r.change(r.leader(), ids), ShouldNotBeNil)
	})
}

func TestLearnersDoNotCount(t *testing.T) {
	Convey("Given a group of three with two learners that have all", t, func() {
		r := newRig(11, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.empty("d")
		r.empty("e")
		So(r.change(lead, ids, "d"), ShouldBeNil)
		r.run(eventloop.Second)
		So(r.change(lead, ids, "d", "e"), ShouldBeNil)
		r.run(eventloop.Second)
		others := othersThan(lead.self)
		Convey("Their copies commit nothing", func() {
			r.isDown[others[0]], r.isDown[others[1]] = true, true
			commit := lead.Commit()
			_, _, err := lead.Propose(r.now, []byte("one"))
			So(err, ShouldBeNil)
			r.collect(lead.self)
			r.run(300 * eventloop.Millisecond)
			So(r.groups["d"].Last(), ShouldEqual, lead.Last())
			So(lead.Commit(), ShouldEqual, commit)
		})
		Convey("Their votes elect nobody, and they don't stand", func() {
			r.isDown[lead.self], r.isDown[others[0]] = true, true
			r.run(5 * eventloop.Second)
			for _, id := range []string{others[1], "d", "e"} {
				So(r.groups[id].IsLeader(), ShouldBeFalse)
			}
		})
	})
}

func TestWhoIsDroppedHearsOfIt(t *testing.T) {
	Convey("A voter that is dropped learns so, and never asks for votes again", t, func() {
		r := newRig(12, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		dropped := othersThan(lead.self)[0]
		var rest []string
		for _, id := range ids {
			if id != dropped {
				rest = append(rest, id)
			}
		}
		So(r.change(lead, rest), ShouldBeNil)
		r.run(5 * eventloop.Second)
		So(r.groups[dropped].MemberSet().Voters, ShouldResemble, rest)
		So(r.groups[dropped].Asks(), ShouldEqual, 0)
		So(r.leader().self, ShouldEqual, lead.self)
	})
}

func TestAFounderThatIsCalledFirst(t *testing.T) {
	Convey("A founder that hears of its group before it has founded it learns who votes", t, func() {
		r := newRig(13, ids...)
		r.empty("c")
		r.isDown["c"] = true
		r.run(4 * eventloop.Second)
		r.propose("one")
		r.isDown["c"] = false
		r.run(eventloop.Second)
		So(r.groups["c"].MemberSet().Voters, ShouldResemble, ids)
		Convey("and so it can lead with what it alone holds besides the one that is lost", func() {
			lead := r.leader()
			other := "a"
			if lead.self == "a" {
				other = "b"
			}
			r.isDown[other] = true
			r.propose("two")
			r.run(eventloop.Second)
			So(r.applied["c"], ShouldResemble, []string{"one", "two"})
			r.isDown[other], r.isDown[lead.self] = false, true
			r.run(5 * eventloop.Second)
			So(r.groups["c"].IsLeader(), ShouldBeTrue)
			So(r.applied[other], ShouldResemble, []string{"one", "two"})
		})
	})
}
