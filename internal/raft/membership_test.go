package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// startEmpty gives the rig a replica with an empty disk.
func (r *cluster) startEmpty(id string) {
	r.durable[id] = &storage.GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
	r.start(id)
}

// proposeMembers has a leader propose a member set.
func (r *cluster) proposeMembers(lead *Group, voters []string, learners ...string) error {
	err := lead.ProposeMemberSet(r.now, &schema.MemberSet{Voters: voters, Learners: learners})
	r.processReady(lead.self)
	return err
}

// others are the members but one.
func membersExcept(id string) []string {
	var list []string
	for _, each := range ids {
		if each != id {
			list = append(list, each)
		}
	}
	return list
}

func TestLearnerInIdleGroup(t *testing.T) {
	Convey("A learner is sent an Append when it becomes one, though no record follows", t, func() {
		r := newCluster(8, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.messages = nil
		So(r.proposeMembers(lead, ids, "d"), ShouldBeNil)
		count := 0
		for _, each := range r.messages {
			if _, ok := each.body.(*schema.AppendRequest); ok && each.to == "d" {
				count++
			}
		}
		So(count, ShouldEqual, 1)
	})
}

func TestLearnerCaughtUp(t *testing.T) {
	Convey("Given a young group, whose whole log is shorter than what a learner may lack", t, func() {
		r := newCluster(9, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.propose("one")
		r.run(eventloop.Second)
		r.startEmpty("d")
		r.down["d"] = true
		So(r.proposeMembers(lead, ids, "d"), ShouldBeNil)
		r.run(eventloop.Second)
		Convey("A learner that holds nothing isn't caught up", func() {
			So(lead.LastIndex(), ShouldBeLessThan, MaxLearnerLag)
			So(lead.IsCaughtUp("d"), ShouldBeFalse)
		})
		Convey("One that holds the record that made it one is", func() {
			r.down["d"] = false
			r.run(eventloop.Second)
			So(lead.IsCaughtUp("d"), ShouldBeTrue)
			So(r.applied["d"], ShouldResemble, []string{"one"})
		})
	})
}

func TestMembershipChangeWaitsForCommitInTerm(t *testing.T) {
	Convey("A new leader changes no members before a record of its own term is committed", t, func() {
		r := newCluster(10, ids...)
		r.run(4 * eventloop.Second)
		old := r.leader()
		r.down[old.self] = true
		var lead *Group
		for lead == nil {
			r.run(10 * eventloop.Millisecond)
			for _, id := range membersExcept(old.self) {
				// Its first record is on its way to the other, which then falls silent.
				if r.groups[id].IsLeader() {
					lead = r.groups[id]
				}
			}
		}
		lead.becomeFollower(r.now, lead.term, "")
		lead.becomeLeader(r.now)
		So(lead.CommitIndex(), ShouldBeLessThan, lead.NoOpIndex())
		So(r.proposeMembers(lead, ids, "d"), ShouldNotBeNil)
		r.run(eventloop.Second)
		So(r.proposeMembers(r.leader(), ids, "d"), ShouldBeNil)
		So(r.proposeMembers(r.leader(), ids), ShouldNotBeNil)
	})
}

func TestLearnersAreNotInQuorum(t *testing.T) {
	Convey("Given a group of three with two learners that have all", t, func() {
		r := newCluster(11, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.startEmpty("d")
		r.startEmpty("e")
		So(r.proposeMembers(lead, ids, "d"), ShouldBeNil)
		r.run(eventloop.Second)
		So(r.proposeMembers(lead, ids, "d", "e"), ShouldBeNil)
		r.run(eventloop.Second)
		others := membersExcept(lead.self)
		Convey("Their copies commit nothing", func() {
			r.down[others[0]], r.down[others[1]] = true, true
			commit := lead.CommitIndex()
			_, _, err := lead.Propose(r.now, []byte("one"))
			So(err, ShouldBeNil)
			r.processReady(lead.self)
			r.run(300 * eventloop.Millisecond)
			So(r.groups["d"].LastIndex(), ShouldEqual, lead.LastIndex())
			So(lead.CommitIndex(), ShouldEqual, commit)
		})
		Convey("Their votes elect nobody, and they don't stand", func() {
			r.down[lead.self], r.down[others[0]] = true, true
			r.run(5 * eventloop.Second)
			for _, id := range []string{others[1], "d", "e"} {
				So(r.groups[id].IsLeader(), ShouldBeFalse)
			}
		})
	})
}

func TestRemovedVoterIsNotified(t *testing.T) {
	Convey("A voter that is dropped learns so, and never asks for votes again", t, func() {
		r := newCluster(12, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		dropped := membersExcept(lead.self)[0]
		var rest []string
		for _, id := range ids {
			if id != dropped {
				rest = append(rest, id)
			}
		}
		So(r.proposeMembers(lead, rest), ShouldBeNil)
		r.run(5 * eventloop.Second)
		So(r.groups[dropped].MemberSet().Voters, ShouldResemble, rest)
		So(r.groups[dropped].PreVoteCount(), ShouldEqual, 0)
		So(r.leader().self, ShouldEqual, lead.self)
	})
}

func TestVoterReachedBeforeBootstrap(t *testing.T) {
	Convey("A founder that hears of its group before it has founded it learns who votes", t, func() {
		r := newCluster(13, ids...)
		r.startEmpty("c")
		r.down["c"] = true
		r.run(4 * eventloop.Second)
		r.propose("one")
		r.down["c"] = false
		r.run(eventloop.Second)
		So(r.groups["c"].MemberSet().Voters, ShouldResemble, ids)
		Convey("and so it can lead with what it alone holds besides the one that is lost", func() {
			lead := r.leader()
			other := "a"
			if lead.self == "a" {
				other = "b"
			}
			r.down[other] = true
			r.propose("two")
			r.run(eventloop.Second)
			So(r.applied["c"], ShouldResemble, []string{"one", "two"})
			r.down[other], r.down[lead.self] = false, true
			r.run(5 * eventloop.Second)
			So(r.groups["c"].IsLeader(), ShouldBeTrue)
			So(r.applied[other], ShouldResemble, []string{"one", "two"})
		})
	})
}
