package controller

import (
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// controllerFixture runs a controller and simulates three storage nodes, "a", "b" and "c". Node "a"
// leads the cluster state's group. The fixture records what the controller sends.
type controllerFixture struct {
	silentSince   map[string]eventloop.Micros // when storage nodes became unresponsive, by id
	otherMembers  map[string]*schema.Member   // additional members, by id
	memberChanges []*schema.ChangeMembers
	endedSessions []*schema.ExpiredGateway
	controller    *Controller
	now           eventloop.Micros
	state         *schema.ClusterState
	commands      []*schema.ClusterStateCommand
	replies       []*schema.Response // replies that are not yet delivered to the controller
	clusterStart  eventloop.Micros   // when the cluster started; 0 if no lease expiry is reported
}

// newControllerFixture returns a fixture whose controller holds the lease with fencing token 7.
func newControllerFixture() *controllerFixture {
	f := &controllerFixture{controller: New("h", 0), now: 100 * eventloop.Second, state: &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{}}}
	f.sendView()
	f.sendUpdate()
	for k := 0; k < 20 && !f.controller.holdsLease(f.now); k++ {
		f.tick()
		f.sendUpdate()
	}
	So(f.controller.holdsLease(f.now), ShouldBeTrue)
	f.commands = nil
	return f
}

func (f *controllerFixture) Send(to string, body any) {
	if change, ok := body.(*schema.ChangeMembers); ok {
		f.memberChanges = append(f.memberChanges, change)
	}
	if request, ok := body.(*schema.EndSessionsRequest); ok {
		f.endedSessions = append(f.endedSessions, request.Gateways...)
	}
	if request, ok := body.(*schema.Request); ok {
		command := &schema.ClusterStateCommand{}
		So(proto.Unmarshal(request.Body, command), ShouldBeNil)
		So(to, ShouldEqual, "a")
		if command.GetClaimControllerLease() != nil {
			f.replies = append(f.replies, &schema.Response{Id: request.Id, Code: 200, Body: []byte(`{"lease":7}`)})
			return
		}
		f.commands = append(f.commands, command)
	}
}

func (f *controllerFixture) SendToAddress(string, any) {}

func (f *controllerFixture) Notify(string, any) {}

func (f *controllerFixture) Respond(uint64, any) {}

// tick advances the time by one tick and delivers the pending replies, a view and the tick.
func (f *controllerFixture) tick() {
	f.now += TickInterval
	for _, reply := range f.replies {
		f.controller.Step(f.now, eventloop.Message{From: "a", Body: reply}, f)
	}
	f.replies = nil
	f.sendView()
	f.controller.Step(f.now, eventloop.Message{Body: eventloop.Tick{}}, f)
}

// sendView sends the controller a view in which all members except the unresponsive ones were just
// heard of.
func (f *controllerFixture) sendView() {
	view := &membership.View{Members: map[string]membership.MemberStatus{}}
	for _, id := range []string{"a", "b", "c"} {
		lastHeard := f.now
		if since, found := f.silentSince[id]; found {
			lastHeard = since
		}
		view.Members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true, Role: schema.Role_ROLE_SERVER, InternalAddress: "10.0.0." + id}, LastHeard: lastHeard}
	}
	for id, member := range f.otherMembers {
		view.Members[id] = membership.MemberStatus{Member: member, LastHeard: f.now}
	}
	f.controller.Step(f.now, eventloop.Message{Body: view}, f)
}

// sendUpdate delivers the response of storage node "a" to a poll, with the given group statuses and
// that of the cluster state's group.
func (f *controllerFixture) sendUpdate(statuses ...*schema.QueueStatus) {
	statuses = append(statuses, &schema.QueueStatus{Group: clusterstate.GroupName, Leader: "a", Voters: []string{"a", "b", "c"}})
	expiresUs := int64(0)
	if f.clusterStart > 0 {
		expiresUs = int64(f.now-f.clusterStart) + clusterstate.ControllerLeaseUs
	}
	f.controller.Step(f.now, eventloop.Message{From: "a", Body: &schema.ClusterStateResponse{
		State: proto.Clone(f.state).(*schema.ClusterState), Version: f.state.Version, Leaders: map[string]string{clusterstate.GroupName: "a"}, QueueStatuses: statuses, ControllerLeaseExpiresUs: expiresUs,
	}}, f)
}

// putQueues replaces the configuration with a new revision that contains only these queues.
func (f *controllerFixture) putQueues(queues ...string) {
	f.state.Version++
	f.state.Configuration = &schema.Configuration{Revision: f.state.Configuration.GetRevision() + 1}
	for _, queue := range queues {
		f.state.Configuration.Rows = append(f.state.Configuration.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
	}
}

// placed returns, for each PlaceQueues command, the queues that it places and the groups that it
// removes.
func (f *controllerFixture) placed() [][]string {
	var placed [][]string
	for _, command := range f.commands {
		if queues := command.GetPlaceQueues(); queues != nil {
			var names []string
			for _, queue := range queues.Queues {
				names = append(names, queue.Queue)
			}
			placed = append(placed, append(names, queues.Removed...))
		}
	}
	return placed
}
