package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestLearnerInIdleGroup(t *testing.T) {
	Convey("A new learner is sent an Append though no further entry is proposed", t, func() {
		r := newCluster(8, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.messages = nil
		So(r.proposeMembers(lead, ids, "d"), ShouldBeNil)
		count := 0
		for _, m := range r.messages {
			if _, ok := m.body.(*schema.AppendRequest); ok && m.to == "d" {
				count++
			}
		}
		So(count, ShouldEqual, 1)
	})
}

func TestLearnerCaughtUp(t *testing.T) {
	Convey("Given a new group, whose whole log is shorter than the lag allowed to a learner", t, func() {
		r := newCluster(9, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.propose("one")
		r.run(eventloop.Second)
		r.startEmpty("d")
		r.down["d"] = true
		So(r.proposeMembers(lead, ids, "d"), ShouldBeNil)
		r.run(eventloop.Second)
		Convey("A learner with an empty log hasn't caught up", func() {
			So(lead.LastIndex(), ShouldBeLessThan, MaxLearnerLag)
			So(lead.IsCaughtUp("d"), ShouldBeFalse)
		})
		Convey("One that holds the change that added it has", func() {
			r.down["d"] = false
			r.run(eventloop.Second)
			So(lead.IsCaughtUp("d"), ShouldBeTrue)
			So(r.applied["d"], ShouldResemble, []string{"one"})
		})
	})
}

func TestMembershipChangeWaitsForCommitInTerm(t *testing.T) {
	Convey("A new leader accepts no membership change before an entry of its term is committed", t, func() {
		r := newCluster(10, ids...)
		r.run(4 * eventloop.Second)
		old := r.leader()
		r.down[old.self] = true
		var lead *Group
		for lead == nil {
			r.run(10 * eventloop.Millisecond)
			for _, id := range membersExcept(old.self) {
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
	Convey("Given a group of three with two learners that have caught up", t, func() {
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
		Convey("Entries that only they have synced aren't committed", func() {
			r.down[others[0]], r.down[others[1]] = true, true
			commit := lead.CommitIndex()
			_, _, err := lead.Propose(r.now, []byte("one"))
			So(err, ShouldBeNil)
			r.processReady(lead.self)
			r.run(300 * eventloop.Millisecond)
			So(r.groups["d"].LastIndex(), ShouldEqual, lead.LastIndex())
			So(lead.CommitIndex(), ShouldEqual, commit)
		})
		Convey("They neither vote nor campaign", func() {
			r.down[lead.self], r.down[others[0]] = true, true
			r.run(5 * eventloop.Second)
			for _, id := range []string{others[1], "d", "e"} {
				So(r.groups[id].IsLeader(), ShouldBeFalse)
			}
		})
	})
}

func TestRemovedVoterIsNotified(t *testing.T) {
	Convey("A voter that is removed learns of it, and starts no more elections", t, func() {
		r := newCluster(12, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		removed := membersExcept(lead.self)[0]
		rest := membersExcept(removed)
		So(r.proposeMembers(lead, rest), ShouldBeNil)
		r.run(5 * eventloop.Second)
		So(r.groups[removed].MemberSet().Voters, ShouldResemble, rest)
		So(r.groups[removed].PreVoteCount(), ShouldEqual, 0)
		So(r.leader().self, ShouldEqual, lead.self)
	})
}

func TestVoterReachedBeforeBootstrap(t *testing.T) {
	Convey("A voter that its leader reaches before its Bootstrap learns the members", t, func() {
		r := newCluster(13, ids...)
		r.startEmpty("c")
		r.down["c"] = true
		r.run(4 * eventloop.Second)
		r.propose("one")
		r.down["c"] = false
		r.run(eventloop.Second)
		So(r.groups["c"].MemberSet().Voters, ShouldResemble, ids)
		Convey("and can be elected with entries that else only a failed replica holds", func() {
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

func TestMembershipChange(t *testing.T) {
	Convey("A new replica is added as a learner and promoted, then a failed one is removed", t, func() {
		r := newCluster(6, ids...)
		r.run(4 * eventloop.Second)
		r.propose("one")
		r.run(eventloop.Second)
		lead := r.leader()
		others := membersExcept(lead.self)
		failed, other := others[0], others[1]
		r.down[failed] = true
		r.startEmpty("d")
		r.run(3 * eventloop.Second)
		So(r.groups["d"].Term(), ShouldEqual, 0) // it isn't a member, so it doesn't campaign
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
		// The group can now tolerate a second failure.
		r.down[other] = true
		r.propose("two")
		r.run(eventloop.Second)
		So(r.applied["d"], ShouldResemble, []string{"one", "two"})
	})
}

func TestSingleServerChange(t *testing.T) {
	Convey("Given a group of three and an empty fourth replica", t, func() {
		r := newCluster(5, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		r.propose("one")
		r.startEmpty("d")
		r.run(eventloop.Second)
		Convey("A change after which two majorities could be disjoint is refused", func() {
			So(r.proposeMembers(lead, []string{lead.self}), ShouldNotBeNil)
			So(r.proposeMembers(lead, []string{}), ShouldNotBeNil)
			So(r.proposeMembers(lead, []string{"a", "b", "d"}), ShouldNotBeNil)
			So(r.proposeMembers(lead, append(append([]string{}, ids...), "d", "e")), ShouldNotBeNil)
			So(lead.MemberSet().Voters, ShouldResemble, ids)
		})
		Convey("A replica becomes a voter only after it has caught up as a learner", func() {
			four := append(append([]string{}, ids...), "d")
			So(r.proposeMembers(lead, four), ShouldNotBeNil)
			r.down["d"] = true
			So(r.proposeMembers(lead, ids, "d"), ShouldBeNil)
			r.run(eventloop.Second)
			So(r.proposeMembers(lead, four), ShouldNotBeNil)
			r.down["d"] = false
			r.run(eventloop.Second)
			r.propose("two")
			r.run(eventloop.Second)
			So(r.proposeMembers(lead, four), ShouldBeNil)
		})
	})
}
