package replica

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestUnreadableCommand(t *testing.T) {
	Convey("A command that can't be decoded is rejected before it is in the log", t, func() {
		c := newClusterWithQueue()
		c.received["h"] = nil
		leader := c.leader("")
		before := c.clusterStateGroup(leader).LastIndex()
		c.step(leader, "h", &schema.Request{Id: 1, Kind: "clusterstate", Group: clusterstate.GroupName, Body: []byte("\xff\xff\xff")})
		c.run(50 * eventloop.Millisecond)
		So(c.clusterStateGroup(leader).LastIndex(), ShouldEqual, before)
		So(c.received["h"][len(c.received["h"])-1].(*schema.Response).Code, ShouldEqual, 400)
	})
}

func TestRepliesMatchEntryTerm(t *testing.T) {
	Convey("A command of a partitioned leader isn't answered with the result of the entry that replaced it", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		old := c.leader("")
		group := c.clusterStateGroup(old)
		c.isPartitioned = func(from, to string) bool { return from != "" && (from == old || to == old) }
		c.run(10 * eventloop.Millisecond)
		next := group.LastIndex() + 1
		send := func(id uint64, command *schema.ClusterStateCommand) {
			c.step(old, "h", &schema.Request{Id: id, Kind: "clusterstate", Group: clusterstate.GroupName, Body: EncodeClusterStateCommand(command)})
		}
		send(71, updateCommand(queuesUpdate(2, "cut off", "cut", "off")))
		// Further updates of the configuration would wait for the first one.
		for id := uint64(72); id <= 74; id++ {
			send(id, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "cut off"}}})
		}
		So(group.LastIndex(), ShouldBeGreaterThanOrEqualTo, next+3)
		c.run(3 * eventloop.Second)
		c.isDown[old] = true // so that requests go to its successor
		for version := uint64(2); version <= 5; version++ {
			So(c.putConfiguration(queuesUpdate(version, "", "l")).Code, ShouldEqual, 200)
		}
		c.isPartitioned, c.isDown[old] = nil, false
		c.received["h"] = nil
		c.run(2 * eventloop.Second)
		So(group.CommitIndex(), ShouldBeGreaterThan, next+3)
		So(c.hosts[old].sharedState.Configuration.Version, ShouldEqual, 5)
		for _, body := range c.received["h"] {
			if reply, isReply := body.(*schema.Response); isReply {
				So(reply.Id, ShouldBeLessThan, 71)
			}
		}
	})
}

func TestStateReadRequiresQuorum(t *testing.T) {
	Convey("A leader without a majority doesn't answer a gateway's read of the cluster state", t, func() {
		c := newTestCluster()
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		So(c.request("state", nil).Code, ShouldEqual, 200)
		leader := c.leader("")
		for _, id := range nodeIDs {
			c.isDown[id] = id != leader
		}
		// The node still considers itself the leader, and its copy counts as fresh.
		So(c.hosts[leader].isClusterStateFresh(c.now), ShouldBeTrue)
		c.received["h"] = nil
		c.step(leader, "h", &schema.Request{Id: 1, Kind: "state", Group: clusterstate.GroupName})
		c.run(3 * eventloop.Second)
		So(c.received["h"], ShouldBeEmpty)
	})
}

func TestPendingReadsOfDeposedLeader(t *testing.T) {
	Convey("A leader that steps down keeps no reads of the cluster state", t, func() {
		c := newTestCluster()
		leader := c.leader("")
		c.isPartitioned = func(from, to string) bool { return from == leader || to == leader }
		for id := uint64(1); id <= 3; id++ {
			c.step(leader, "f", &schema.Request{Id: id, Kind: requestConfiguration, Group: clusterstate.GroupName})
		}
		r := c.hosts[leader].groups[clusterstate.GroupName]
		So(r.pendingReads, ShouldHaveLength, 3)
		c.run(3 * eventloop.Second)
		So(r.group.IsLeader(), ShouldBeFalse)
		So(r.pendingReads, ShouldBeEmpty)
	})
}

func TestEndSessionsAreFenced(t *testing.T) {
	Convey("Sessions are ended for their own gateway, or for the holder of the controller lease", t, func() {
		c := newClusterWithQueue()
		token := c.claimController()
		gateway := func(name string) *schema.ExpiredGateway { return &schema.ExpiredGateway{Gateway: name, Incarnation: 1} }
		group := c.hosts["a"].queueReplica("q").group
		isProposed := func(from string, token uint64, sessions []*schema.Session, gateways ...*schema.ExpiredGateway) bool {
			last := group.LastIndex()
			c.step("a", from, &schema.EndSessionsRequest{Queue: "q", FencingToken: token, Sessions: sessions, Gateways: gateways})
			return group.LastIndex() > last
		}
		own := []*schema.Session{{Gateway: "f", Incarnation: 1, Client: "c"}}
		So(isProposed("f", 0, nil, gateway("f")), ShouldBeTrue)
		So(isProposed("f", 0, own), ShouldBeTrue)
		So(isProposed("g", 0, nil, gateway("f")), ShouldBeFalse)
		So(isProposed("g", 0, own), ShouldBeFalse)
		So(isProposed("h", token, nil, gateway("f"), gateway("g")), ShouldBeTrue)
		So(isProposed("h", token-1, nil, gateway("f")), ShouldBeFalse)
		So(isProposed("h", token+1, nil, gateway("f")), ShouldBeFalse)
		So(isProposed("h", 0, nil, gateway("f")), ShouldBeFalse)
	})
}

// TestOthersJobsAreNotShown guards against a tenant that can see or cancel the jobs of another.
func TestOthersJobsAreNotShown(t *testing.T) {
	Convey("Given a job of tenant t, and one of nobody", t, func() {
		c := newClusterWithQueue()
		c.step("a", "f", &schema.SubmitRequest{Queue: "q", Enqueues: []*schema.Enqueue{
			{Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: 1, Name: "mine", Tenant: "t", Job: &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1}}}},
			{Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: 2, Name: "nobodys", Job: &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1}}}},
		}})
		c.run(50 * eventloop.Millisecond)
		ask := func(kind, name, tenant string) (int32, string) {
			c.received["f"] = nil
			c.step("a", "f", &schema.Request{Id: 5, Kind: kind, Group: "q", Name: name, Tenant: tenant, Limit: 10})
			c.run(50 * eventloop.Millisecond)
			for _, body := range c.received["f"] {
				if reply, isReply := body.(*schema.Response); isReply {
					return reply.Code, string(reply.Body)
				}
			}
			return 0, ""
		}
		code := func(kind, name, tenant string) int32 {
			code, _ := ask(kind, name, tenant)
			return code
		}
		Convey("another tenant's call is 403, and changes nothing", func() {
			for _, kind := range []string{requestJobStatus, requestCancel} {
				code, body := ask(kind, "mine", "u")
				So(code, ShouldEqual, 403)
				So(body, ShouldContainSubstring, `"other_tenant"`)
				So(body, ShouldNotContainSubstring, `"t"`)
			}
			_, body := ask(requestJobStatus, "mine", "t")
			So(body, ShouldContainSubstring, `"running"`)
		})
		Convey("the tenant's own calls, and those without one, are served", func() {
			for _, tenant := range []string{"t", ""} {
				So(code(requestJobStatus, "mine", tenant), ShouldEqual, 200)
				So(code(requestCancel, "mine", tenant), ShouldEqual, 200)
			}
			So(code(requestJobStatus, "nobodys", "u"), ShouldEqual, 200)
			So(code(requestJobStatus, "unknown", "u"), ShouldEqual, 404)
			So(code(requestCancel, "unknown", "u"), ShouldEqual, 404)
		})
		Convey("a list leaves other tenants' jobs out", func() {
			for tenant, names := range map[string][]string{"u": {"nobodys"}, "t": {"mine", "nobodys"}, "": {"mine", "nobodys"}} {
				_, body := ask(requestJobList, "", tenant)
				list := &schema.JobList{}
				So(json.Unmarshal([]byte(body), list), ShouldBeNil)
				shown := []string{}
				for _, view := range list.Jobs {
					shown = append(shown, view.Name)
				}
				So(shown, ShouldResemble, names)
			}
		})
	})
}

// TestRequestsMatchTheirGroup guards against a request about a queue's jobs that is sent to the
// cluster state's group and brings down its leader.
func TestRequestsMatchTheirGroup(t *testing.T) {
	Convey("A request of a kind that its group doesn't answer is rejected, and isn't in the log", t, func() {
		c := newClusterWithQueue()
		code := func(kind, queue, group string) int32 {
			c.received["h"] = nil
			leader := c.leader(queue)
			before := c.hosts[leader].groups[clusterstate.GroupName].group.LastIndex()
			c.step(leader, "h", &schema.Request{Id: 1, Kind: kind, Group: group, Name: "j", Limit: 10})
			c.run(50 * eventloop.Millisecond)
			So(c.hosts[leader].groups[clusterstate.GroupName].group.LastIndex(), ShouldEqual, before)
			So(c.received["h"], ShouldHaveLength, 1)
			return c.received["h"][0].(*schema.Response).Code
		}
		for _, kind := range []string{requestJobStatus, requestJobList, requestQueueCounts, requestCancel} {
			So(code(kind, "", clusterstate.GroupName), ShouldEqual, 400)
		}
		for _, kind := range []string{requestConfiguration, requestHistory, requestClusterState, requestCommand} {
			So(code(kind, "q", "q"), ShouldEqual, 400)
		}
	})
}
