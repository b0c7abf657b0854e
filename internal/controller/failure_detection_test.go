package controller

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// runningMembers maps ids to members that have incremented their heartbeat at each tick since their
// start.
type runningMembers map[string]membership.MemberStatus

// add adds a storage node that started at one time and was last heard of at another.
func (m runningMembers) add(id string, incarnation uint64, startedAt, lastHeard eventloop.Micros) {
	heartbeat := uint64((lastHeard - startedAt) / membership.TickInterval)
	m[id] = membership.MemberStatus{Member: &schema.Member{Id: id, Incarnation: incarnation, Heartbeat: heartbeat, HasStorage: true, Role: schema.Role_ROLE_SERVER}, LastHeard: lastHeard}
}

// storageNodeLoss describes the loss of storage node "c" in a cluster of "a", "b" and "c".
type storageNodeLoss struct {
	incarnation  uint64           // incarnation of another storage node "d"; 0 if it never starts
	startDelay   eventloop.Micros // time from the loss to the start of "d"; may be negative
	isController bool             // the controller holds the lease from the start, not only after the loss
	isForgotten  bool             // "c" leaves the view after the loss
}

// members returns the members in the view at a time.
func (l storageNodeLoss) members(now, startedAt, failedAt eventloop.Micros) runningMembers {
	members := runningMembers{}
	members.add("a", 1, startedAt, now)
	members.add("b", 1, startedAt, now)
	if !l.isForgotten || now <= failedAt {
		members.add("c", 1, startedAt, min(failedAt, now))
	}
	if l.incarnation > 0 && now > failedAt+l.startDelay {
		members.add("d", l.incarnation, failedAt+l.startDelay, now)
	}
	return members
}

// replaceDelay returns the time from the loss until "d" is added as a learner, or 0 if it isn't
// added within 10 s.
func (l storageNodeLoss) replaceDelay() eventloop.Micros {
	f := newControllerFixture()
	if !l.isController {
		f = &controllerFixture{controller: New("h", 0), now: 100 * eventloop.Second, state: &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{}}}
	}
	startedAt, failedAt := f.now, f.now+12*eventloop.Second
	if l.isController {
		f.clusterStart = startedAt
	}
	for f.now < failedAt+10*eventloop.Second && len(f.memberChanges) == 0 {
		f.now += TickInterval
		f.controller.Step(f.now, eventloop.Message{Body: &membership.View{Members: l.members(f.now, startedAt, failedAt)}}, f)
		// The node becomes the controller only when the replies to its claims are delivered.
		if l.isController || f.now > failedAt+2*eventloop.Second {
			for _, reply := range f.replies {
				f.controller.Step(f.now, eventloop.Message{From: "a", Body: reply}, f)
			}
			f.replies = nil
		}
		f.controller.Step(f.now, eventloop.Message{Body: eventloop.Tick{}}, f)
		f.sendUpdate()
	}
	if len(f.memberChanges) == 0 {
		return 0
	}
	So(f.memberChanges[0].AddLearner, ShouldEqual, "d")
	return f.now - failedAt
}

func TestLostStorageNodes(t *testing.T) {
	isForgotten := false // see storageNodeLoss
	replaceDelay := func(incarnation uint64, startDelay eventloop.Micros, isController bool) eventloop.Micros {
		return storageNodeLoss{incarnation, startDelay, isController, isForgotten}.replaceDelay()
	}
	Convey("The votes of an unresponsive storage node are given to another after 6 s", t, func() {
		isForgotten = false
		So(replaceDelay(0, 0, true), ShouldEqual, 0)
		So(replaceDelay(2, eventloop.Second, true), ShouldBeBetween, 5900*eventloop.Millisecond, 6500*eventloop.Millisecond)
		Convey("and after 2.5 s if an empty one has joined since", func() {
			So(replaceDelay(1, eventloop.Second, true), ShouldBeBetween, 2400*eventloop.Millisecond, 3*eventloop.Second)
		})
		Convey("also if that joined before; not if it was there from the first start", func() {
			So(replaceDelay(1, -eventloop.Second, true), ShouldBeBetween, 2400*eventloop.Millisecond, 3*eventloop.Second)
			So(replaceDelay(1, -11*eventloop.Second, true), ShouldBeBetween, 5900*eventloop.Millisecond, 6500*eventloop.Millisecond)
		})
		Convey("also if the unresponsive one left the view", func() {
			isForgotten = true
			So(replaceDelay(2, eventloop.Second, true), ShouldBeBetween, 5900*eventloop.Millisecond, 6500*eventloop.Millisecond)
			So(replaceDelay(1, eventloop.Second, true), ShouldBeBetween, 2400*eventloop.Millisecond, 3*eventloop.Second)
		})
		Convey("however late the controller got the lease", func() {
			So(replaceDelay(2, eventloop.Second, false), ShouldBeBetween, 5900*eventloop.Millisecond, 6500*eventloop.Millisecond)
		})
	})
}

func TestSuccessor(t *testing.T) {
	Convey("Given a storage node that lost its disk and came back as another one", t, func() {
		f := &controllerFixture{controller: New("h", 0), now: eventloop.Second, state: clusterstate.New().State(), silentSince: map[string]eventloop.Micros{}, otherMembers: map[string]*schema.Member{}}
		f.state.Version = 1
		run := func(duration eventloop.Micros) {
			for end := f.now + duration; f.now < end; {
				f.tick()
				if f.now%(250*eventloop.Millisecond) == 0 {
					f.sendUpdate()
				}
			}
		}
		run(3 * eventloop.Second)
		f.silentSince["c"] = f.now
		Convey("its votes are given to the new one within 2 s, not after the timeout of an unresponsive one", func() {
			f.otherMembers["d"] = &schema.Member{Id: "d", HasStorage: true, Role: schema.Role_ROLE_SERVER, InternalAddress: "10.0.0.c"}
			run(2 * eventloop.Second)
			So(f.memberChanges, ShouldNotBeEmpty)
			So(f.memberChanges[0].AddLearner, ShouldEqual, "d")
		})
		Convey("a storage node at another address is no successor of an unresponsive one", func() {
			f.otherMembers["d"] = &schema.Member{Id: "d", HasStorage: true, Role: schema.Role_ROLE_SERVER, InternalAddress: "10.0.0.d"}
			run(4 * eventloop.Second)
			So(f.memberChanges, ShouldBeEmpty)
			run(3 * eventloop.Second)
			So(f.memberChanges, ShouldNotBeEmpty)
		})
	})
}

func TestSuccessorOfRemovedMember(t *testing.T) {
	Convey("A storage node whose successor runs at its address is replaced at once, also if it left the view", t, func() {
		g := newGroupFixture(0, "a", "b", "c")
		g.run(3 * eventloop.Second)
		// The membership removes an unresponsive process as soon as another one is heard of at its
		// address.
		delete(g.members, "c")
		g.add("d", "10.0.0.c", "")
		g.run(eventloop.Second)
		So(g.steps, ShouldResemble, []string{"learn d", "remove c", "promote d"})
	})
}

func TestClusterAge(t *testing.T) {
	Convey("A controller that has just started knows the age of the cluster from the lease, so it recognizes a newly joined node", t, func() {
		c := New("h", 0)
		c.view = &membership.View{Members: map[string]membership.MemberStatus{
			"d": {Member: &schema.Member{Id: "d", HasStorage: true, Incarnation: 1, Heartbeat: 4}, LastHeard: eventloop.Second},
		}}
		So(c.hasNewlyJoined(eventloop.Second), ShouldBeFalse)
		c.leaseExpiryUs, c.leaseExpirySeenAt = int64(60*eventloop.Second), eventloop.Second
		So(c.hasNewlyJoined(eventloop.Second), ShouldBeTrue)
		So(c.clusterAge(eventloop.Second), ShouldEqual, 60*eventloop.Second-clusterstate.ControllerLeaseUs)
		// The age also increases while no node renews the lease. Otherwise a newly joined node would
		// count as an initial one.
		So(c.clusterAge(10*eventloop.Second), ShouldEqual, 69*eventloop.Second-clusterstate.ControllerLeaseUs)
	})
}
