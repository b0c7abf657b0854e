package controller

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// groupFixture is a group whose members change as the controller asks; one change takes
// until it is asked again.
type groupFixture struct {
	controller      *Controller
	now             eventloop.Micros
	status          *schema.QueueStatus
	members         map[string]*schema.Member
	silentSince     map[string]eventloop.Micros // since when
	steps           []string
	minQuorumMargin int // by how many live voters a quorum was exceeded at the least
}

func newGroupFixture(machineFailures uint32, voters ...string) *groupFixture {
	c := &groupFixture{
		controller: New("h", machineFailures), now: 100 * eventloop.Second, members: map[string]*schema.Member{}, silentSince: map[string]eventloop.Micros{},
		status: &schema.QueueStatus{Group: clusterstate.Group, Leader: voters[0], Voters: voters, ReplicaLag: map[string]uint64{}}, minQuorumMargin: len(voters),
	}
	for _, id := range voters {
		c.add(id, "10.0.0."+id, "")
	}
	return c
}

func (c *groupFixture) add(id, inner, cell string) {
	c.members[id] = &schema.Member{Id: id, Incarnation: 2, HasStorage: true, Role: schema.Role_ROLE_SERVER, InternalAddress: inner, Zone: cell}
}

func (c *groupFixture) live() int {
	live := 0
	for _, id := range c.status.Voters {
		if _, isSilent := c.silentSince[id]; !isSilent {
			live++
		}
	}
	return live
}

// run lets so long pass, with a look at the members each 250 ms.
func (c *groupFixture) run(span eventloop.Micros) {
	for end := c.now + span; c.now < end; {
		c.now += 250 * eventloop.Millisecond
		view := &membership.View{Members: map[string]membership.MemberStatus{}}
		for id, member := range c.members {
			heard := c.now
			if since, isSilent := c.silentSince[id]; isSilent {
				heard = since
			}
			view.Members[id] = membership.MemberStatus{Member: member, LastHeard: heard}
		}
		c.controller.view = view
		c.controller.observeStorageNodes(c.now)
		act := c.controller.nextMembershipChange(c.now, c.status, c.status)
		if act == nil {
			continue
		}
		without := func(list []string, id string) []string {
			return slices.DeleteFunc(slices.Clone(list), func(each string) bool { return each == id })
		}
		switch {
		case act.AddLearner != "":
			c.steps = append(c.steps, "learn "+act.AddLearner)
			c.status.Learners = append(c.status.Learners, act.AddLearner)
		case act.Promote != "":
			c.steps = append(c.steps, "promote "+act.Promote)
			c.status.Learners = without(c.status.Learners, act.Promote)
			c.status.Voters = append(c.status.Voters, act.Promote)
		case act.Remove != "":
			c.steps = append(c.steps, "drop "+act.Remove)
			c.status.Learners = without(c.status.Learners, act.Remove)
			c.status.Voters = without(c.status.Voters, act.Remove)
		}
		c.minQuorumMargin = min(c.minQuorumMargin, c.live()-(len(c.status.Voters)/2+1))
	}
}

func TestVoters(t *testing.T) {
	Convey("Where two may be lost at once, a group of five stays five", t, func() {
		c := newGroupFixture(2, "a", "b", "c", "d", "e")
		c.run(3 * eventloop.Second)
		c.silentSince["e"] = c.now
		Convey("also with no spare: the lost one is not dropped", func() {
			c.run(20 * eventloop.Second)
			So(c.steps, ShouldBeEmpty)
		})
		Convey("one that is only silent is dropped when its spare votes", func() {
			c.add("f", "10.0.0.f", "")
			c.run(20 * eventloop.Second)
			So(c.steps, ShouldResemble, []string{"learn f", "promote f", "drop e"})
			So(c.minQuorumMargin, ShouldEqual, 1)
		})
		Convey("one whose disk is gone is dropped when its spare has caught up, and not before", func() {
			c.add("f", "10.0.0.e", "")
			c.status.ReplicaLag["f"] = 1000
			c.run(20 * eventloop.Second)
			So(c.steps, ShouldResemble, []string{"learn f"})
			c.status.ReplicaLag["f"] = 0
			c.run(5 * eventloop.Second)
			So(c.steps, ShouldResemble, []string{"learn f", "drop e", "promote f"})
			So(c.minQuorumMargin, ShouldEqual, 1)
		})
		Convey("two lost ones are replaced one after another, the quorum never larger than those that live", func() {
			c.silentSince["d"] = c.now
			c.add("f", "10.0.0.e", "")
			c.add("g", "10.0.0.d", "")
			c.run(20 * eventloop.Second)
			So(c.minQuorumMargin, ShouldEqual, 0)
			slices.Sort(c.status.Voters)
			So(c.status.Voters, ShouldResemble, []string{"a", "b", "c", "f", "g"})
			So(c.live(), ShouldEqual, 5)
		})
		Convey("who comes back while its spare learns keeps its place", func() {
			c.add("f", "10.0.0.f", "")
			c.status.ReplicaLag["f"] = 1000
			c.run(8 * eventloop.Second)
			delete(c.silentSince, "e")
			c.run(2 * eventloop.Second)
			So(c.steps, ShouldResemble, []string{"learn f", "drop f"})
		})
	})
	Convey("A group of three that bears one is refilled to three", t, func() {
		c := newGroupFixture(0, "a", "b", "c")
		c.run(3 * eventloop.Second)
		c.silentSince["c"] = c.now
		c.add("d", "10.0.0.c", "")
		c.run(5 * eventloop.Second)
		So(c.steps, ShouldResemble, []string{"learn d", "drop c", "promote d"})
		So(c.minQuorumMargin, ShouldEqual, 0)
	})
	Convey("A group founded with too few grows to its number, in the cells that hold the fewest", t, func() {
		c := newGroupFixture(2, "a", "b", "c")
		for id, cell := range map[string]string{"a": "x", "b": "y", "c": "y", "d": "y", "e": "x", "f": "z", "g": "z"} {
			c.add(id, "10.0.0."+id, cell)
		}
		c.run(5 * eventloop.Second)
		So(c.steps, ShouldResemble, []string{"learn f", "promote f", "learn e", "promote e"})
	})
	Convey("A voter too many, all of them live, is let go: of the fullest cell and not the leader", t, func() {
		c := newGroupFixture(0, "a", "b", "c", "d")
		for id, cell := range map[string]string{"a": "x", "b": "y", "c": "x", "d": "z"} {
			c.add(id, "10.0.0."+id, cell)
		}
		c.run(5 * eventloop.Second)
		So(c.steps, ShouldResemble, []string{"drop c"})
	})
}

// sendCounter counts whom a side machine asks after the cluster state, and its claims.
type sendCounter struct {
	polls  map[string]int
	claims int
}

func (a *sendCounter) Send(to string, body any) {
	switch body.(type) {
	case *schema.ClusterStateRequest:
		a.polls[to]++
	case *schema.Request:
		a.claims++
	}
}
func (a *sendCounter) Dial(string, any)    {}
func (a *sendCounter) Notify(string, any)  {}
func (a *sendCounter) Respond(uint64, any) {}

func TestCandidates(t *testing.T) {
	// play is what side machine "sN" does in 10 s of a system without a controller, of
	// twenty side machines in four cells, of which some are gone.
	play := func(self int, gone ...int) *sendCounter {
		a := &sendCounter{polls: map[string]int{}}
		side := func(k int) *schema.Member {
			return &schema.Member{Id: fmt.Sprintf("s%02d", k), Role: schema.Role_ROLE_CONTROLLER, Zone: fmt.Sprintf("c%d", k%4)}
		}
		h := New(side(self).Id, 2)
		for now := 100 * eventloop.Second; now < 110*eventloop.Second; now += TickInterval {
			view := &membership.View{Self: side(self), Members: map[string]membership.MemberStatus{}}
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				view.Members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true, Role: schema.Role_ROLE_SERVER}, LastHeard: now}
			}
			for k := range 20 {
				heard := now
				if slices.Contains(gone, k) {
					heard = 95 * eventloop.Second
				}
				view.Members[side(k).Id] = membership.MemberStatus{Member: side(k), LastHeard: heard}
			}
			h.Step(now, eventloop.Message{Body: view}, a)
			h.Step(now, eventloop.Message{From: "a", Body: &schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{clusterstate.Group: "a"}}}, a)
			h.Step(now, eventloop.Message{Body: eventloop.Tick{}}, a)
		}
		return a
	}
	Convey("A candidate asks every store four times a second, and claims", t, func() {
		a := play(6)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			So(a.polls[id], ShouldEqual, 40)
		}
		So(a.claims, ShouldBeGreaterThan, 0)
	})
	Convey("The others ask one store in turn, and claim nothing", t, func() {
		a := play(7)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			So(a.polls[id], ShouldEqual, 8)
		}
		So(a.claims, ShouldEqual, 0)
	})
	Convey("until a candidate of its cell is gone", t, func() {
		a := play(7, 3)
		So(a.polls["a"], ShouldEqual, 40)
		So(a.claims, ShouldBeGreaterThan, 0)
	})
}
