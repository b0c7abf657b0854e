package replica

// The test cluster: three storage nodes with simulated disks, network and clock.

import (
	"encoding/json"
	"slices"
	"strconv"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/raft"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

const (
	diskSyncTime = 500                   // µs, of every disk
	networkDelay = eventloop.Millisecond // of every message
	stepTime     = eventloop.Millisecond // of the simulated clock
)

var nodeIDs = []string{"a", "b", "c"}

// testCluster is three storage nodes that hold the cluster state. Other processes and
// the other components of the nodes only receive.
type testCluster struct {
	now           eventloop.Micros
	wallOffset    int64 // time of day at time 0; 0: every clock stands still
	hosts         map[string]*Host
	inFlight      []delayedMessage
	received      map[string][]any // by process, or by NODE/COMPONENT
	isDown        map[string]bool
	isPartitioned func(from, to string) bool     // nil: nobody is
	isLost        func(to string, body any) bool // nil: nothing is
	failedBatches map[string]uint64              // by node whose disk fails: the batch that waits
	hungDisks     map[string]bool                // nodes whose disks never answer
	onBatch       func(id string, batch Batch)   // sees what is written; nil: nobody does
}

type delayedMessage struct {
	at       eventloop.Micros
	from, to string
	body     any
}

// clusterEffects carries out the effects of one node.
type clusterEffects struct {
	cluster *testCluster
	id      string
}

func (e clusterEffects) Send(to string, body any) {
	e.cluster.deliverLater(networkDelay, e.id, to, body)
}

func (e clusterEffects) SendToAddress(string, any) {}

func (e clusterEffects) Respond(uint64, any) {}

func (e clusterEffects) Notify(component string, body any) {
	if batch, isBatch := body.(Batch); isBatch {
		e.cluster.writeBatch(e.id, batch)
		return
	}
	key := e.id + "/" + component
	e.cluster.received[key] = append(e.cluster.received[key], body)
}

// writeBatch is the disk of a node.
func (c *testCluster) writeBatch(id string, batch Batch) {
	if c.hungDisks[id] {
		return
	}
	if _, isFailing := c.failedBatches[id]; isFailing {
		c.failedBatches[id] = batch.Number
		c.deliverLater(diskSyncTime, "", id, WriteFailed{Number: batch.Number, Reason: "no room"})
		return
	}
	if c.onBatch != nil {
		c.onBatch(id, batch)
	}
	c.deliverLater(diskSyncTime, "", id, Written{Number: batch.Number})
}

func (c *testCluster) deliverLater(delay eventloop.Micros, from, to string, body any) {
	c.inFlight = append(c.inFlight, delayedMessage{c.now + delay, from, to, body})
}

// newTestCluster bootstraps a cluster and waits until it has a leader.
func newTestCluster() *testCluster {
	c := &testCluster{
		now: eventloop.Second, hosts: map[string]*Host{}, received: map[string][]any{}, isDown: map[string]bool{},
		failedBatches: map[string]uint64{}, hungDisks: map[string]bool{},
	}
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

// newClusterWithQueue is a cluster with a queue "q" that "a" leads.
func newClusterWithQueue() *testCluster {
	c := newTestCluster()
	So(c.putConfiguration(queuesUpdate(1, "", "q")).Code, ShouldEqual, 200)
	c.placeQueue("q", "a")
	c.runWithMembership(eventloop.Second)
	So(c.leader("q"), ShouldEqual, "a")
	return c
}

// addEmptyNode adds a storage node with an empty disk.
func (c *testCluster) addEmptyNode(id string) {
	content := &storage.State{Identity: &schema.StoreIdentity{Id: id}, Groups: map[string]*storage.GroupState{}}
	c.hosts[id] = New(id, content, func() int64 { return 0 }, raft.DefaultTimeouts, 4, c.now)
}

func (c *testCluster) step(id, from string, body any) {
	c.hosts[id].Step(c.now, eventloop.Message{From: from, Body: body}, clusterEffects{c, id})
}

func (c *testCluster) run(duration eventloop.Micros) {
	for end := c.now + duration; c.now < end; c.now += stepTime {
		c.deliverDue()
		if c.now%TickInterval < stepTime {
			for _, id := range nodeIDs {
				if !c.isDown[id] {
					c.step(id, "", eventloop.Tick{})
				}
			}
		}
	}
}

func (c *testCluster) deliverDue() {
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
}

// runWithMembership runs with every node's view of the membership kept up to date.
func (c *testCluster) runWithMembership(duration eventloop.Micros) {
	for end := c.now + duration; c.now < end; {
		c.refreshMembership()
		c.run(50 * eventloop.Millisecond)
	}
}

// refreshMembership gives every node the same view of the three nodes.
func (c *testCluster) refreshMembership() {
	members := &membership.View{Members: map[string]membership.MemberStatus{}}
	for _, id := range nodeIDs {
		member := &schema.Member{Id: id, HasStorage: true}
		if c.hosts[id].isReadOnly() {
			member.LatencyUs = int64(membership.WritesRefusedLatency)
		}
		members.Members[id] = membership.MemberStatus{Member: member, LastHeard: c.now}
	}
	for _, id := range nodeIDs {
		c.step(id, "", members)
	}
}

// failDisk makes a node's disk fail from the next batch on; recoverDisk ends that.
func (c *testCluster) failDisk(id string) { c.failedBatches[id] = 0 }

func (c *testCluster) recoverDisk(id string) {
	number := c.failedBatches[id]
	delete(c.failedBatches, id)
	if number > 0 {
		c.deliverLater(diskSyncTime, "", id, Written{Number: number})
	}
}

// leader is the node that leads a queue, or with an empty name the cluster state.
func (c *testCluster) leader(queue string) string {
	for _, id := range nodeIDs {
		for _, r := range c.hosts[id].groups {
			if r.queueName == queue && r.group.IsLeader() && !c.isDown[id] {
				return id
			}
		}
	}
	return ""
}

// follower is a node that doesn't lead the cluster state.
func (c *testCluster) follower() string {
	for _, id := range nodeIDs {
		if id != c.leader("") {
			return id
		}
	}
	return ""
}

// clusterStateGroup is a node's replica of the cluster state.
func (c *testCluster) clusterStateGroup(id string) *raft.Group {
	return c.hosts[id].groups[clusterstate.GroupName].group
}

// queueGroup is a node's replica of a queue.
func (c *testCluster) queueGroup(id, queue string) *raft.Group {
	return c.hosts[id].groups[c.queueGroupName(queue)].group
}

func (c *testCluster) queueGroupName(queue string) string {
	return queue + "#" + strconv.FormatUint(clusterstate.FindQueue(c.hosts["c"].sharedState, queue).GetGeneration(), 10)
}

// request sends the cluster state's leader a request of the process "h" and gives the
// reply; nil: there was none.
func (c *testCluster) request(kind string, command *schema.ClusterStateCommand) *schema.Response {
	request := &schema.Request{Id: 1, Kind: kind, Group: clusterstate.GroupName}
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

// queuesUpdate is a configuration with some queues.
func queuesUpdate(version uint64, document string, queues ...string) *schema.ConfigurationUpdate {
	update := &schema.ConfigurationUpdate{Version: version, BaseVersion: version - 1, Document: []byte(document)}
	for _, queue := range queues {
		update.Rows = append(update.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
	}
	return update
}

// claimController makes "h" the controller and gives its lease's fencing token.
func (c *testCluster) claimController() uint64 {
	reply := c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "h"}}})
	var claimed struct{ Lease uint64 }
	So(json.Unmarshal(reply.Body, &claimed), ShouldBeNil)
	return claimed.Lease
}

// placeQueue has the controller place a queue on the three nodes.
func (c *testCluster) placeQueue(queue, leader string) {
	c.placeQueues(&schema.QueuePlacement{Queue: queue, InitialVoters: nodeIDs, PreferredLeader: leader})
}

func (c *testCluster) placeQueues(placements ...*schema.QueuePlacement) {
	command := &schema.PlaceQueues{FencingToken: c.claimController(), Queues: placements}
	So(c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: command}}).Code, ShouldEqual, 200)
}

// changeMembers has the controller request a change of the cluster state's members and
// gives what they are afterwards.
func (c *testCluster) changeMembers(m *schema.ChangeMembers) *schema.MemberSet {
	m.Group, m.FencingToken = clusterstate.GroupName, c.claimController()
	leader := c.leader("")
	m.MemberSetIndex = c.clusterStateGroup(leader).MemberSetIndex()
	c.step(leader, "h", m)
	c.run(200 * eventloop.Millisecond)
	return c.clusterStateGroup(leader).MemberSet()
}

// submitJob has the gateway "f" submit a job of one task to "q".
func (c *testCluster) submitJob(id, name string, number uint64) {
	job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1}}}
	c.step(id, "f", &schema.SubmitRequest{Queue: "q", Enqueues: []*schema.Enqueue{{
		Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: number, Name: name, Digest: []byte("d"), Job: job, LowestUnconfirmed: 1,
	}}})
}

// confirmedCount counts the submissions that "f" was sent an outcome of.
func (c *testCluster) confirmedCount() int {
	count := 0
	for _, body := range c.received["f"] {
		if applied, isApplied := body.(*schema.SubmitResponse); isApplied {
			count += len(applied.Results)
		}
	}
	return count
}
