package replica

import (
	"encoding/json"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

const (
	diskSyncTime = 500                       // of every disk
	networkDelay = 1 * eventloop.Millisecond // of every message
	stepTime     = eventloop.Millisecond
)

// testCluster is three stores that hold the cluster state, with disks and a network that
// take their time.
type testCluster struct {
	now           eventloop.Micros
	hosts         map[string]*Host
	inFlight      []delayedMessage
	received      map[string][]any // by process outside, or by table of a store
	wallOffset    int64            // time of day at time 0; 0: every clock stands still
	isDown        map[string]bool
	isPartitioned func(from, to string) bool
	failedBatches map[string]uint64              // by store whose disk refuses: the batch that waits
	onBatch       func(id string, batch Batch)   // sees what is written
	isLost        func(to string, body any) bool // what never arrives; nil: nothing
	hungDisks     map[string]bool                // whose disks answer nothing
}

type delayedMessage struct {
	at       eventloop.Micros
	from, to string
	body     any
}

type clusterEffects struct {
	cluster *testCluster
	id      string
}

func (p clusterEffects) Send(to string, body any) {
	p.cluster.inFlight = append(p.cluster.inFlight, delayedMessage{p.cluster.now + networkDelay, p.id, to, body})
}
func (p clusterEffects) Dial(string, any)    {}
func (p clusterEffects) Respond(uint64, any) {}
func (p clusterEffects) Notify(component string, body any) {
	if batch, isBatch := body.(Batch); isBatch {
		if p.cluster.hungDisks[p.id] {
			return
		}
		if _, isFailing := p.cluster.failedBatches[p.id]; isFailing {
			p.cluster.failedBatches[p.id] = batch.Number
			p.cluster.inFlight = append(p.cluster.inFlight, delayedMessage{p.cluster.now + diskSyncTime, "", p.id, WriteFailed{Number: batch.Number, Reason: "no room"}})
			return
		}
		if p.cluster.onBatch != nil {
			p.cluster.onBatch(p.id, batch)
		}
		p.cluster.inFlight = append(p.cluster.inFlight, delayedMessage{p.cluster.now + diskSyncTime, "", p.id, Written{Number: batch.Number}})
		return
	}
	p.cluster.received[p.id+"/"+component] = append(p.cluster.received[p.id+"/"+component], body)
}

var nodeIDs = []string{"a", "b", "c"}

func newTestCluster() *testCluster {
	c := &testCluster{now: eventloop.Second, hosts: map[string]*Host{}, received: map[string][]any{}, isDown: map[string]bool{}, failedBatches: map[string]uint64{}, hungDisks: map[string]bool{}}
	wall := func() int64 {
		if c.wallOffset == 0 {
			return 0
		}
		return c.wallOffset + int64(c.now)
	}
	for k, id := range nodeIDs {
		content := &storage.State{Identity: &schema.StoreIdentity{Id: id}, Groups: map[string]*storage.GroupState{}}
		c.hosts[id] = New(id, content, wall, raft.DefaultTimeouts, uint64(k+1), c.now)
	}
	for _, id := range nodeIDs {
		c.step(id, "", membership.PersistIdentity{Identity: &schema.StoreIdentity{Id: id, Joined: true}, BootstrapVoters: nodeIDs})
	}
	c.run(4 * eventloop.Second)
	return c
}

func (c *testCluster) step(id, from string, body any) {
	c.hosts[id].Step(c.now, eventloop.Message{From: from, Body: body}, clusterEffects{c, id})
}

func (c *testCluster) run(duration eventloop.Micros) {
	for end := c.now + duration; c.now < end; c.now += stepTime {
		var due []delayedMessage
		c.inFlight = slices.DeleteFunc(c.inFlight, func(message delayedMessage) bool {
			if message.at <= c.now {
				due = append(due, message)
			}
			return message.at <= c.now
		})
		for _, message := range due {
			isPartitioned := c.isPartitioned != nil && c.isPartitioned(message.from, message.to)
			isLost := c.isLost != nil && c.isLost(message.to, message.body)
			if c.isDown[message.to] || c.isDown[message.from] || isPartitioned || isLost {
				continue
			}
			if c.hosts[message.to] != nil {
				c.step(message.to, message.from, message.body)
			} else {
				c.received[message.to] = append(c.received[message.to], message.body)
			}
		}
		if c.now%TickInterval < stepTime {
			for _, id := range nodeIDs {
				if !c.isDown[id] {
					c.step(id, "", eventloop.Tick{})
				}
			}
		}
	}
}

func (c *testCluster) leader(queue string) string {
	for _, id := range nodeIDs {
		for _, r := range c.hosts[id].groups {
			if r.name == queue && r.group.IsLeader() && !c.isDown[id] {
				return id
			}
		}
	}
	return ""
}

// request has the cluster state's leader do a request, and gives what it says.
func (c *testCluster) request(kind string, command *schema.ClusterStateCommand) *schema.Response {
	request := &schema.Request{Id: 1, Kind: kind, Group: clusterstate.Group}
	if command != nil {
		request.Body = EncodeClusterStateCommand(command)
	}
	c.received["h"] = nil
	c.step(c.leader(""), "h", request)
	c.run(20 * eventloop.Millisecond)
	for _, body := range c.received["h"] {
		if reply, isReply := body.(*schema.Response); isReply {
			return reply
		}
	}
	return nil
}

func (c *testCluster) putConfiguration(update *schema.ConfigurationUpdate) *schema.Response {
	return c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}})
}

func queuesUpdate(edition uint64, document string, queues ...string) *schema.ConfigurationUpdate {
	update := &schema.ConfigurationUpdate{Version: edition, BaseVersion: edition - 1, Document: []byte(document)}
	for _, queue := range queues {
		update.Rows = append(update.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
	}
	return update
}

func TestNewQueuesElectLeaders(t *testing.T) {
	Convey("A new queue has a leader within some 100 ms, whoever is to keep it", t, func() {
		c := newTestCluster()
		So(c.leader(""), ShouldNotEqual, "")
		So(c.putConfiguration(queuesUpdate(1, "", "l", "m", "n")).Code, ShouldEqual, 200)
		reply := c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "h"}}})
		var claimed struct{ Lease uint64 }
		So(json.Unmarshal(reply.Body, &claimed), ShouldBeNil)
		place := &schema.PlaceQueues{FencingToken: claimed.Lease}
		for k, queue := range []string{"l", "m", "n"} {
			place.Queues = append(place.Queues, &schema.QueuePlacement{Queue: queue, InitialVoters: nodeIDs, PreferredLeader: nodeIDs[k]})
		}
		began := c.now
		So(c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: place}}).Code, ShouldEqual, 200)
		for k, queue := range []string{"l", "m", "n"} {
			for c.leader(queue) == "" && c.now < began+eventloop.Second {
				c.run(eventloop.Millisecond)
			}
			So(c.leader(queue), ShouldEqual, nodeIDs[k])
		}
		So(c.now-began, ShouldBeLessThan, 150*eventloop.Millisecond)
		Convey("and every founder is a voter of it, also one that its leader reached first", func() {
			c.run(300 * eventloop.Millisecond)
			for _, id := range nodeIDs {
				So(c.hosts[id].groups, ShouldHaveLength, 4)
				for _, r := range c.hosts[id].groups {
					So(r.group.MemberSet().Voters, ShouldResemble, nodeIDs)
				}
			}
		})
	})
	Convey("A founder that its leader reached before the cluster state did is a voter in the end", t, func() {
		c := newTestCluster()
		place := &schema.QueuePlacement{Queue: "l", Generation: 1, InitialVoters: nodeIDs, PreferredLeader: "a"}
		c.step("b", "a", &schema.AppendRequest{Group: "l#1", Term: 1, Entries: []*schema.Entry{{Index: 1, Term: 1, Kind: schema.EntryKind_ENTRY_NO_OP}}})
		host := c.hosts["b"]
		So(host.groups["l#1"].group.MemberSet().Voters, ShouldBeEmpty)
		host.state.Queues = []*schema.QueuePlacement{place}
		c.step("b", "", eventloop.Tick{})
		So(host.groups["l#1"].group.MemberSet().Voters, ShouldResemble, nodeIDs)
		So(host.groups["l#1"].group.LastIndex(), ShouldEqual, 1)
	})
}

func TestConfigurationDocument(t *testing.T) {
	Convey("The plan's document is read from the leader alone, and goes into no copy", t, func() {
		c := newTestCluster()
		reply := c.putConfiguration(queuesUpdate(1, "the document", "l"))
		So(reply.Code, ShouldEqual, 200)
		So(c.putConfiguration(queuesUpdate(2, "another", "l")).Code, ShouldEqual, 200)
		configuration := &schema.Configuration{}
		So(protojson.Unmarshal(c.request("plan", nil).Body, configuration), ShouldBeNil)
		So(string(configuration.Document), ShouldEqual, "another")
		So(configuration.Version, ShouldEqual, 2)
		c.run(300 * eventloop.Millisecond)
		for _, id := range nodeIDs {
			c.step(id, "f", &schema.ClusterStateRequest{})
		}
		c.run(10 * eventloop.Millisecond)
		updates := append([]any{}, c.received["f"]...)
		for _, id := range nodeIDs {
			updates = append(updates, c.received[id+"/gateway"]...)
		}
		count := 0
		for _, body := range updates {
			if update, isUpdate := body.(*schema.ClusterStateResponse); isUpdate && update.State.GetConfiguration().GetRevision() > 0 {
				count++
				So(update.State.Configuration.Document, ShouldBeEmpty)
				So(update.State.PreviousConfigurations, ShouldBeEmpty)
				So(update.State.Configuration.Rows, ShouldNotBeEmpty)
			}
		}
		So(count, ShouldBeGreaterThanOrEqualTo, 6)
		So(c.received["f"], ShouldHaveLength, 3)
		var history []json.RawMessage
		So(json.Unmarshal(c.request("history", nil).Body, &history), ShouldBeNil)
		So(history, ShouldHaveLength, 3)
		So(string(history[1]), ShouldNotContainSubstring, "ZG9j") // no document in it
	})
	Convey("The controller hears of a new plan at once", t, func() {
		c := newTestCluster()
		c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "h"}}})
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		isNotified := slices.ContainsFunc(c.received["h"], func(body any) bool {
			update, isUpdate := body.(*schema.ClusterStateResponse)
			return isUpdate && update.State.GetConfiguration().GetVersion() == 1 && len(update.QueueStatuses) > 0
		})
		So(isNotified, ShouldBeTrue)
	})
}
