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

func TestStaleClaimReplies(t *testing.T) {
	Convey("Given a controller with two pending claims", t, func() {
		f := newControllerFixture()
		claim := func() uint64 {
			f.replies = nil
			f.controller.claimLease(f.now, f)
			So(f.replies, ShouldHaveLength, 1)
			return f.replies[0].Id
		}
		reply := func(id uint64, code int32, body string) {
			f.controller.Step(f.now, eventloop.Message{From: "a", Body: &schema.Response{Id: id, Code: code, Body: []byte(body)}}, f)
		}
		first, second := claim(), claim()
		reply(second, 200, `{"lease":9}`)
		So(f.controller.fencingToken, ShouldEqual, 9)
		Convey("an older claim's lease doesn't replace that of the newer one", func() {
			reply(first, 200, `{"lease":8}`)
			So(f.controller.fencingToken, ShouldEqual, 9)
		})
		Convey("nor does an older claim's rejection", func() {
			reply(first, 409, `{}`)
			So(f.controller.fencingToken, ShouldEqual, 9)
		})
		Convey("a duplicate reply counts once", func() {
			validUntil := f.controller.leaseValidUntil
			f.now += eventloop.Second
			reply(second, 200, `{"lease":9}`)
			So(f.controller.leaseValidUntil, ShouldEqual, validUntil)
		})
		Convey("a newer claim's reply counts, whatever it says", func() {
			reply(claim(), 409, `{}`)
			So(f.controller.fencingToken, ShouldEqual, 0)
		})
	})
}

// sendCounter implements eventloop.Effects. It counts the polls sent to each storage node, and the
// requests, which are claims of the controller lease.
type sendCounter struct {
	polls  map[string]int // by storage node
	claims int
}

func (s *sendCounter) Send(to string, body any) {
	switch body.(type) {
	case *schema.ClusterStateRequest:
		s.polls[to]++
	case *schema.Request:
		s.claims++
	}
}

func (s *sendCounter) SendToAddress(string, any) {}

func (s *sendCounter) Notify(string, any) {}

func (s *sendCounter) Respond(uint64, any) {}

func TestLeaseCandidates(t *testing.T) {
	// run returns what one of twenty agent nodes in four zones sends in 10 s while no node holds the
	// lease. Self is the number of the agent node, and crashed the numbers of those that have crashed.
	run := func(self int, crashed ...int) *sendCounter {
		sent := &sendCounter{polls: map[string]int{}}
		agentNode := func(k int) *schema.Member {
			return &schema.Member{Id: fmt.Sprintf("s%02d", k), Role: schema.Role_ROLE_CONTROLLER, Zone: fmt.Sprintf("c%d", k%4)}
		}
		c := New(agentNode(self).Id, 2)
		for now := 100 * eventloop.Second; now < 110*eventloop.Second; now += TickInterval {
			view := &membership.View{Self: agentNode(self), Members: map[string]membership.MemberStatus{}}
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				view.Members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true, Role: schema.Role_ROLE_SERVER}, LastHeard: now}
			}
			for k := range 20 {
				lastHeard := now
				if slices.Contains(crashed, k) {
					lastHeard = 95 * eventloop.Second
				}
				view.Members[agentNode(k).Id] = membership.MemberStatus{Member: agentNode(k), LastHeard: lastHeard}
			}
			c.Step(now, eventloop.Message{Body: view}, sent)
			c.Step(now, eventloop.Message{From: "a", Body: &schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{clusterstate.GroupName: "a"}}}, sent)
			c.Step(now, eventloop.Message{Body: eventloop.Tick{}}, sent)
		}
		return sent
	}
	Convey("A candidate polls every storage node four times a second, and claims the lease", t, func() {
		sent := run(6)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			So(sent.polls[id], ShouldEqual, 40)
		}
		So(sent.claims, ShouldBeGreaterThan, 0)
	})
	Convey("The others poll one storage node in turn, and claim nothing", t, func() {
		sent := run(7)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			So(sent.polls[id], ShouldEqual, 8)
		}
		So(sent.claims, ShouldEqual, 0)
	})
	Convey("until a candidate of its zone has crashed", t, func() {
		sent := run(7, 3)
		So(sent.polls["a"], ShouldEqual, 40)
		So(sent.claims, ShouldBeGreaterThan, 0)
	})
}

func TestFirstClaimWaitsByRank(t *testing.T) {
	Convey("A candidate that has seen no lease waits by its rank from its first report on, however long its process runs", t, func() {
		sent := &sendCounter{polls: map[string]int{}}
		start := 100 * eventloop.Second
		c := New("s1", 0)
		claimsAt := func(now eventloop.Micros) int {
			view := &membership.View{Self: &schema.Member{Id: "s1", Role: schema.Role_ROLE_CONTROLLER}, Members: map[string]membership.MemberStatus{
				"a":  {Member: &schema.Member{Id: "a", HasStorage: true, Role: schema.Role_ROLE_SERVER}, LastHeard: now},
				"s0": {Member: &schema.Member{Id: "s0", Role: schema.Role_ROLE_CONTROLLER}, LastHeard: now},
			}}
			c.Step(now, eventloop.Message{Body: view}, sent)
			c.Step(now, eventloop.Message{From: "a", Body: &schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{clusterstate.GroupName: "a"}}}, sent)
			c.Step(now, eventloop.Message{Body: eventloop.Tick{}}, sent)
			return sent.claims
		}
		So(claimsAt(start), ShouldEqual, 0)
		So(claimsAt(start+candidateDelay-TickInterval), ShouldEqual, 0)
		So(claimsAt(start+candidateDelay+TickInterval), ShouldEqual, 1)
	})
}
