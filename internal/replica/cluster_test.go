package replica

// This file implements the cluster that the tests run: three storage nodes with simulated
// disks, network and clock.

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
	diskSyncTime = 500                   // duration of a write and its sync on every disk, in µs
	networkDelay = eventloop.Millisecond // delay of every message between nodes
	stepTime     = eventloop.Millisecond // interval by which the simulated clock advances
)

var nodeIDs = []string{"a", "b", "c"}

// testCluster simulates three storage nodes that hold the cluster state. Messages to other
// processes and to the other components of the nodes are only recorded in received.
type testCluster struct {
	now           eventloop.Micros
	wallOffset    int64 // time of day at simulated time 0, in µs; 0: every node's wall clock shows 0 all the time
	hosts         map[string]*Host
	inFlight      []delayedMessage
	received      map[string][]any // message bodies, by process or by NODE/COMPONENT
	isDown        map[string]bool
	isPartitioned func(from, to string) bool     // whether messages between two processes are lost; nil: none are
	isLost        func(to string, body any) bool // whether a message is lost; nil: none is
	failedBatches map[string]uint64              // nodes whose disks fail, each with the number of its waiting batch; 0: none
	hungDisks     map[string]bool                // nodes whose disks never answer
	onBatch       func(id string, batch Batch)   // called with each batch that a node writes; may be nil
	versions      map[string]uint32              // highest queue command version that each node reports
}

type delayedMessage struct {
	at       eventloop.Micros
	from, to string
	body     any
}

// clusterEffects carries out the effects of one node's steps.
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

// writeBatch simulates a node's disk. It confirms the batch, or reports that the write failed,
// after diskSyncTime. A hung disk does neither.
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

// newTestCluster bootstraps a cluster and runs it for 4 s, in which it elects a leader.
func newTestCluster() *testCluster {
	c := &testCluster{
		now: eventloop.Second, hosts: map[string]*Host{}, received: map[string][]any{}, isDown: map[string]bool{},
		failedBatches: map[string]uint64{}, hungDisks: map[string]bool{}, versions: map[string]uint32{},
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

// newClusterWithQueue returns a cluster with a queue "q" that node "a" leads.
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

// runWithMembership runs the cluster and refreshes every node's view of the membership every
// 50 ms.
func (c *testCluster) runWithMembership(duration eventloop.Micros) {
	for end := c.now + duration; c.now < end; {
		c.refreshMembership()
		c.run(50 * eventloop.Millisecond)
	}
}

// refreshMembership gives every node a view of the membership in which the three nodes are
// alive and the read-only ones refuse writes.
func (c *testCluster) refreshMembership() {
	members := &membership.View{Members: map[string]membership.MemberStatus{}}
	for _, id := range nodeIDs {
		member := &schema.Member{Id: id, HasStorage: true, QueueCommandVersion: c.versions[id]}
		if c.hosts[id].isReadOnly() {
			member.LatencyUs = int64(membership.WritesRefusedLatency)
		}
		members.Members[id] = membership.MemberStatus{Member: member, LastHeard: c.now}
	}
	for _, id := range nodeIDs {
		c.step(id, "", members)
	}
}

// failDisk makes a node's disk fail from the next batch on.
func (c *testCluster) failDisk(id string) { c.failedBatches[id] = 0 }

// recoverDisk ends the failure of a node's disk, which then completes the waiting batch.
func (c *testCluster) recoverDisk(id string) {
	number := c.failedBatches[id]
	delete(c.failedBatches, id)
	if number > 0 {
		c.deliverLater(diskSyncTime, "", id, Written{Number: number})
	}
}

// leader returns the running node that leads a queue, or the cluster state's group if the name
// is empty. It returns an empty string if there is none.
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

// follower returns a node that doesn't lead the cluster state's group.
func (c *testCluster) follower() string {
	for _, id := range nodeIDs {
		if id != c.leader("") {
			return id
		}
	}
	return ""
}

// clusterStateGroup returns a node's replica of the cluster state's group.
func (c *testCluster) clusterStateGroup(id string) *raft.Group {
	return c.hosts[id].groups[clusterstate.GroupName].group
}

// queueGroup returns a node's replica of a queue's group.
func (c *testCluster) queueGroup(id, queue string) *raft.Group {
	return c.hosts[id].groups[c.queueGroupName(queue)].group
}

func (c *testCluster) queueGroupName(queue string) string {
	return queue + "#" + strconv.FormatUint(clusterstate.FindQueue(c.hosts["c"].sharedState, queue).GetGeneration(), 10)
}

// request sends the cluster state's leader a request of the process "h" and returns the reply,
// or nil if none arrives within 20 ms.
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
	return c.request("clusterstate", updateCommand(update))
}

// updateCommand returns the command that submits an update of the configuration.
func updateCommand(update *schema.ConfigurationUpdate) *schema.ClusterStateCommand {
	return &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}}
}

// queuesUpdate returns an update to a configuration that consists of the given queues.
func queuesUpdate(version uint64, document string, queues ...string) *schema.ConfigurationUpdate {
	update := &schema.ConfigurationUpdate{Version: version, BaseVersion: version - 1, Document: []byte(document)}
	for _, queue := range queues {
		update.Rows = append(update.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
	}
	return update
}

// claimController claims the controller lease for the process "h" and returns the lease's
// fencing token.
func (c *testCluster) claimController() uint64 {
	reply := c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "h"}}})
	var claimed struct{ Lease uint64 }
	So(json.Unmarshal(reply.Body, &claimed), ShouldBeNil)
	return claimed.Lease
}

// placeQueue places a queue on the three nodes as the controller would, with a preferred
// leader.
func (c *testCluster) placeQueue(queue, leader string) {
	c.placeQueues(&schema.QueuePlacement{Queue: queue, InitialVoters: nodeIDs, PreferredLeader: leader})
}

func (c *testCluster) placeQueues(placements ...*schema.QueuePlacement) {
	command := &schema.PlaceQueues{FencingToken: c.claimController(), Queues: placements}
	So(c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: command}}).Code, ShouldEqual, 200)
}

// changeMembers requests a change of the members of the cluster state's group as the controller
// would, and returns the member set 200 ms later.
func (c *testCluster) changeMembers(m *schema.ChangeMembers) *schema.MemberSet {
	m.Group, m.FencingToken = clusterstate.GroupName, c.claimController()
	leader := c.leader("")
	m.MemberSetIndex = c.clusterStateGroup(leader).MemberSetIndex()
	c.step(leader, "h", m)
	c.run(200 * eventloop.Millisecond)
	return c.clusterStateGroup(leader).MemberSet()
}

// submitJob sends a node a submission of the gateway "f" to queue "q": a job of one task.
func (c *testCluster) submitJob(id, name string, number uint64) {
	job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1}}}
	c.step(id, "f", &schema.SubmitRequest{Queue: "q", Enqueues: []*schema.Enqueue{{
		Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: number, Name: name, Digest: []byte("d"), Job: job, LowestUnconfirmed: 1,
	}}})
}

// confirmedCount returns how many submission results the gateway "f" has received.
func (c *testCluster) confirmedCount() int {
	count := 0
	for _, body := range c.received["f"] {
		if applied, isApplied := body.(*schema.SubmitResponse); isApplied {
			count += len(applied.Results)
		}
	}
	return count
}
