package controller

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// controllerFixture drives a controller by hand; three stores stand, "a" leads the cluster state.
type controllerFixture struct {
	silentSince   map[string]eventloop.Micros // since when nobody hears them
	otherMembers  map[string]*schema.Member
	memberChanges []*schema.ChangeMembers
	controller    *Controller
	now           eventloop.Micros
	state         *schema.ClusterState
	commands      []*schema.ClusterStateCommand
	replies       []*schema.Response // on its way back
	clusterStart  eventloop.Micros   // when the cluster began; 0: nobody tells of a lease
}

func (d *controllerFixture) Send(to string, body any) {
	if act, isAct := body.(*schema.ChangeMembers); isAct {
		d.memberChanges = append(d.memberChanges, act)
	}
	if request, isRequest := body.(*schema.Request); isRequest {
		command := &schema.ClusterStateCommand{}
		So(proto.Unmarshal(request.Body, command), ShouldBeNil)
		So(to, ShouldEqual, "a")
		if command.GetClaimControllerLease() != nil {
			d.replies = append(d.replies, &schema.Response{Id: request.Id, Code: 200, Body: []byte(`{"lease":7}`)})
			return
		}
		d.commands = append(d.commands, command)
	}
}
func (d *controllerFixture) Dial(string, any)    {}
func (d *controllerFixture) Notify(string, any)  {}
func (d *controllerFixture) Respond(uint64, any) {}

func (d *controllerFixture) tick() {
	d.now += TickInterval
	for _, reply := range d.replies {
		d.controller.Step(d.now, eventloop.Message{From: "a", Body: reply}, d)
	}
	d.replies = nil
	d.sendView()
	d.controller.Step(d.now, eventloop.Message{Body: eventloop.Tick{}}, d)
}

func (d *controllerFixture) sendView() {
	view := &membership.View{Members: map[string]membership.MemberStatus{}}
	for _, id := range []string{"a", "b", "c"} {
		heard := d.now
		if since, isSilent := d.silentSince[id]; isSilent {
			heard = since
		}
		view.Members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, HasStorage: true, Role: schema.Role_ROLE_SERVER, InternalAddress: "10.0.0." + id}, LastHeard: heard}
	}
	for id, member := range d.otherMembers {
		view.Members[id] = membership.MemberStatus{Member: member, LastHeard: d.now}
	}
	d.controller.Step(d.now, eventloop.Message{Body: view}, d)
}

// update is the cluster state leader's word, with its state as it is.
func (d *controllerFixture) sendUpdate(statuses ...*schema.QueueStatus) {
	statuses = append(statuses, &schema.QueueStatus{Group: clusterstate.Group, Leader: "a", Voters: []string{"a", "b", "c"}})
	until := int64(0)
	if d.clusterStart > 0 {
		until = int64(d.now-d.clusterStart) + clusterstate.ControllerLeaseUs
	}
	d.controller.Step(d.now, eventloop.Message{From: "a", Body: &schema.ClusterStateResponse{
		State: proto.Clone(d.state).(*schema.ClusterState), Version: d.state.Version, Leaders: map[string]string{clusterstate.Group: "a"}, QueueStatuses: statuses, ControllerLeaseExpiresUs: until,
	}}, d)
}

// putQueues makes a table of these queues.
func (d *controllerFixture) putQueues(queues ...string) {
	d.state.Version++
	d.state.Configuration = &schema.Configuration{Revision: d.state.Configuration.GetRevision() + 1}
	for _, queue := range queues {
		d.state.Configuration.Rows = append(d.state.Configuration.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
	}
}

func (d *controllerFixture) placed() [][]string {
	var list [][]string
	for _, act := range d.commands {
		if queues := act.GetPlaceQueues(); queues != nil {
			var names []string
			for _, queue := range queues.Queues {
				names = append(names, queue.Queue)
			}
			list = append(list, append(names, queues.Removed...))
		}
	}
	return list
}

func newControllerFixture() *controllerFixture {
	d := &controllerFixture{controller: New("h", 0), now: 100 * eventloop.Second, state: &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{}}}
	d.sendView()
	d.sendUpdate()
	for k := 0; k < 20 && !d.controller.holdsLease(d.now); k++ {
		d.tick()
		d.sendUpdate()
	}
	So(d.controller.holdsLease(d.now), ShouldBeTrue)
	d.commands = nil
	return d
}

func TestQueuesArePlaced(t *testing.T) {
	Convey("Queues that a table adds are placed on hearing of it, all in one command", t, func() {
		d := newControllerFixture()
		var queues []string
		for k := 0; k < 8; k++ {
			queues = append(queues, fmt.Sprintf("l%d", k))
		}
		d.putQueues(queues...)
		d.sendUpdate()
		So(d.placed(), ShouldResemble, [][]string{queues})
		first := d.commands[0].GetPlaceQueues()
		So(first.FencingToken, ShouldEqual, 7)
		So(first.Queues[7].InitialVoters, ShouldResemble, []string{"a", "b", "c"})
		So(first.Queues[7].PreferredLeader, ShouldEqual, "a")
		Convey("The same act isn't repeated before its effect can be heard of", func() {
			d.tick()
			d.sendUpdate()
			d.tick()
			So(d.placed(), ShouldHaveLength, 1)
			for k := 0; k < 4; k++ {
				d.tick()
			}
			So(d.placed(), ShouldHaveLength, 2)
		})
		Convey("but another table's queues don't wait for that", func() {
			d.putQueues(append(queues, "m")...)
			d.sendUpdate()
			So(d.placed(), ShouldResemble, [][]string{queues, append(queues, "m")})
		})
	})
	Convey("A dropped queue goes when its jobs have ended and been kept long enough", t, func() {
		d := newControllerFixture()
		d.putQueues()
		d.state.Queues = []*schema.QueuePlacement{{Queue: "l", Generation: 3, PreferredLeader: "a"}}
		status := &schema.QueueStatus{Group: "l#3", Queue: "l", Leader: "a", Voters: []string{"a", "b", "c"}, LiveJobs: 1}
		d.sendUpdate(status)
		So(d.placed(), ShouldBeEmpty)
		status.LiveJobs, status.RetainedJobs = 0, 1
		d.sendUpdate(status)
		d.tick()
		So(d.placed(), ShouldBeEmpty)
		status.RetainedJobs = 0
		d.sendUpdate(status)
		d.tick()
		So(d.placed(), ShouldResemble, [][]string{{"l#3"}})
	})
	Convey("Who isn't the controller places nothing", t, func() {
		d := newControllerFixture()
		d.now += 3 * eventloop.Second
		d.putQueues("l")
		d.sendUpdate()
		So(d.placed(), ShouldBeEmpty)
	})
}

func TestLostStores(t *testing.T) {
	// learns lets "c" fall silent and "d" come so long after that, and tells when "d"
	// is to learn, from the last word of "c" on.
	isForgotten := false
	learns := func(boot uint64, comes eventloop.Micros, isController bool) eventloop.Micros {
		d := newControllerFixture()
		if !isController {
			d = &controllerFixture{controller: New("h", 0), now: 100 * eventloop.Second, state: &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{}}}
		}
		born, silentAt := d.now, d.now+12*eventloop.Second
		if isController {
			d.clusterStart = born
		}
		for d.now < silentAt+10*eventloop.Second && len(d.memberChanges) == 0 {
			d.now += TickInterval
			view := &membership.View{Members: map[string]membership.MemberStatus{}}
			hear := func(id string, boot uint64, began, at eventloop.Micros) {
				beat := uint64((at - began) / membership.TickInterval)
				view.Members[id] = membership.MemberStatus{Member: &schema.Member{Id: id, Incarnation: boot, Heartbeat: beat, HasStorage: true, Role: schema.Role_ROLE_SERVER}, LastHeard: at}
			}
			hear("a", 1, born, d.now)
			hear("b", 1, born, d.now)
			if !isForgotten || d.now <= silentAt {
				hear("c", 1, born, min(silentAt, d.now))
			}
			if boot > 0 && d.now > silentAt+comes {
				hear("d", boot, silentAt+comes, d.now)
			}
			d.controller.Step(d.now, eventloop.Message{Body: view}, d)
			// Before its turn it hears nothing of the lease, so it can't be controller.
			if isController || d.now > silentAt+2*eventloop.Second {
				for _, reply := range d.replies {
					d.controller.Step(d.now, eventloop.Message{From: "a", Body: reply}, d)
				}
				d.replies = nil
			}
			d.controller.Step(d.now, eventloop.Message{Body: eventloop.Tick{}}, d)
			d.sendUpdate()
		}
		if len(d.memberChanges) == 0 {
			return 0
		}
		So(d.memberChanges[0].AddLearner, ShouldEqual, "d")
		return d.now - silentAt
	}
	Convey("The place of a silent store goes to another after 6 s", t, func() {
		isForgotten = false
		So(learns(0, 0, true), ShouldEqual, 0)
		So(learns(2, eventloop.Second, true), ShouldBeBetween, 5900*eventloop.Millisecond, 6500*eventloop.Millisecond)
		Convey("and after 2.5 s where an empty one has come since", func() {
			So(learns(1, eventloop.Second, true), ShouldBeBetween, 2400*eventloop.Millisecond, 3*eventloop.Second)
		})
		Convey("also where it came before; not where it was there when all began", func() {
			So(learns(1, -eventloop.Second, true), ShouldBeBetween, 2400*eventloop.Millisecond, 3*eventloop.Second)
			So(learns(1, -11*eventloop.Second, true), ShouldBeBetween, 5900*eventloop.Millisecond, 6500*eventloop.Millisecond)
		})
		Convey("also where nobody knows it any more", func() {
			isForgotten = true
			So(learns(2, eventloop.Second, true), ShouldBeBetween, 5900*eventloop.Millisecond, 6500*eventloop.Millisecond)
			So(learns(1, eventloop.Second, true), ShouldBeBetween, 2400*eventloop.Millisecond, 3*eventloop.Second)
		})
		Convey("however late the controller came to be one", func() {
			So(learns(2, eventloop.Second, false), ShouldBeBetween, 5900*eventloop.Millisecond, 6500*eventloop.Millisecond)
		})
	})
}

func TestSucceededStore(t *testing.T) {
	Convey("Given a store that lost its disk and is back as another one", t, func() {
		d := &controllerFixture{controller: New("h", 0), now: eventloop.Second, state: clusterstate.New().State(), silentSince: map[string]eventloop.Micros{}, otherMembers: map[string]*schema.Member{}}
		d.state.Version = 1
		run := func(span eventloop.Micros) {
			for end := d.now + span; d.now < end; {
				d.tick()
				if d.now%(250*eventloop.Millisecond) == 0 {
					d.sendUpdate()
				}
			}
		}
		run(3 * eventloop.Second)
		d.silentSince["c"] = d.now
		Convey("Its place is given to the new one within 2 s, not after the wait for one that is only silent", func() {
			d.otherMembers["d"] = &schema.Member{Id: "d", HasStorage: true, Role: schema.Role_ROLE_SERVER, InternalAddress: "10.0.0.c"}
			run(2 * eventloop.Second)
			So(d.memberChanges, ShouldNotBeEmpty)
			So(d.memberChanges[0].AddLearner, ShouldEqual, "d")
		})
		Convey("A store elsewhere doesn't stand for one that is only silent", func() {
			d.otherMembers["d"] = &schema.Member{Id: "d", HasStorage: true, Role: schema.Role_ROLE_SERVER, InternalAddress: "10.0.0.d"}
			run(4 * eventloop.Second)
			So(d.memberChanges, ShouldBeEmpty)
			run(3 * eventloop.Second)
			So(d.memberChanges, ShouldNotBeEmpty)
		})
	})
}

func TestASilentLeaderIsReplaced(t *testing.T) {
	Convey("Once its peers lead what a silent store led, its queues and wards move, before we suspect it ourselves", t, func() {
		d := newControllerFixture()
		d.putQueues("l")
		d.state.Queues = []*schema.QueuePlacement{{Queue: "l", Generation: 3, PreferredLeader: "c"}}
		d.state.WorkerLeases = []*schema.WorkerLease{{Worker: "w", Scheduler: "c"}}
		report := func(from string, leaders map[string]string) {
			var statuses []*schema.QueueStatus
			if from == "a" {
				statuses = append(statuses, &schema.QueueStatus{Group: clusterstate.Group, Leader: "a", Voters: []string{"a", "b", "c"}})
			}
			d.controller.Step(d.now, eventloop.Message{From: from, Body: &schema.ClusterStateResponse{
				State: proto.Clone(d.state).(*schema.ClusterState), Version: d.state.Version, Leaders: leaders, QueueStatuses: statuses,
			}}, d)
		}
		before := map[string]string{clusterstate.Group: "a", "l": "c"}
		for _, id := range []string{"a", "b", "c"} {
			report(id, before)
		}
		d.tick()
		So(d.commands, ShouldBeEmpty)
		Convey("as soon as that is so", func() {
			last := d.now
			for len(d.commands) == 0 && d.now-last < 2*eventloop.Second {
				d.tick()
				after := before
				if d.now-last > 500*eventloop.Millisecond {
					after = map[string]string{clusterstate.Group: "a", "l": "b"}
				}
				report("a", after)
				report("b", after)
			}
			So(d.now-last, ShouldBeBetweenOrEqual, deposedTimeout, deposedTimeout+150*eventloop.Millisecond)
			So(d.commands[0].GetPlaceQueues().GetQueues()[0].PreferredLeader, ShouldEqual, "b")
			So(d.commands[1].GetAssignWorkers().GetWorkerLeases()[0].Scheduler, ShouldEqual, "b")
		})
		Convey("but not while nobody else leads it", func() {
			for k := 0; k < 20; k++ {
				d.tick()
				report("a", before)
				report("b", before)
			}
			So(d.commands, ShouldBeEmpty)
		})
	})
}
