package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// refreshMembership gives every store the same word of who there is.
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

func (c *testCluster) runWithMembership(duration eventloop.Micros) {
	for end := c.now + duration; c.now < end; {
		c.refreshMembership()
		c.run(50 * eventloop.Millisecond)
	}
}

// failDisk has a store's disk refuse from the next batch on; accept ends that.
func (c *testCluster) failDisk(id string) { c.failedBatches[id] = 0 }

func (c *testCluster) recoverDisk(id string) {
	number := c.failedBatches[id]
	delete(c.failedBatches, id)
	if number > 0 {
		c.inFlight = append(c.inFlight, delayedMessage{c.now + diskSyncTime, "", id, Written{Number: number}})
	}
}

// newClusterWithQueue is a core with a queue that "a" leads.
func newClusterWithQueue() *testCluster {
	c := newTestCluster()
	So(c.putConfiguration(queuesUpdate(1, "", "q")).Code, ShouldEqual, 200)
	queues := &schema.PlaceQueues{FencingToken: c.claimController(), Queues: []*schema.QueuePlacement{{Queue: "q", InitialVoters: nodeIDs, PreferredLeader: "a"}}}
	So(c.request("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: queues}}).Code, ShouldEqual, 200)
	c.runWithMembership(eventloop.Second)
	So(c.leader("q"), ShouldEqual, "a")
	return c
}

func (c *testCluster) submitJob(id, name string, number uint64) {
	job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1}}}
	c.step(id, "f", &schema.SubmitRequest{Queue: "q", Enqueues: []*schema.Enqueue{{
		Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: number, Name: name, Digest: []byte("d"), Job: job, LowestUnconfirmed: 1,
	}}})
}

// confirmedCount counts the hand-ins that "f" was told are taken.
func (c *testCluster) confirmedCount() int {
	count := 0
	for _, body := range c.received["f"] {
		if applied, isApplied := body.(*schema.SubmitResponse); isApplied {
			count += len(applied.Results)
		}
	}
	return count
}

func TestReadOnlyStorage(t *testing.T) {
	Convey("A leader whose store refuses hands its queue over at once, and says why", t, func() {
		c := newClusterWithQueue()
		c.failDisk("a")
		c.submitJob("a", "j1", 1)
		c.runWithMembership(150 * eventloop.Millisecond)
		successor := c.leader("q")
		So(successor, ShouldBeIn, "b", "c")
		So(c.hosts["a"].stateView(c.now).ReadOnlyReason, ShouldEqual, "no room")
		c.submitJob(successor, "j1", 1)
		c.runWithMembership(50 * eventloop.Millisecond)
		So(c.confirmedCount(), ShouldBeGreaterThan, 0)
		Convey("it gets nothing back while it refuses, though it is named", func() {
			c.runWithMembership(7 * eventloop.Second)
			So(c.leader("q"), ShouldEqual, successor)
			So(c.hosts["a"].groups["q#"+c.generationOf("q")].group.IsLeader(), ShouldBeFalse)
			Convey("and once a write and its sync have succeeded it says so and takes part again", func() {
				c.recoverDisk("a")
				c.runWithMembership(eventloop.Second)
				So(c.hosts["a"].stateView(c.now).ReadOnlyReason, ShouldBeBlank)
				replica := c.hosts["a"].groups["q#"+c.generationOf("q")].group
				So(replica.StableIndex(), ShouldEqual, replica.LastIndex())
				c.runWithMembership(7 * eventloop.Second)
				So(c.leader("q"), ShouldEqual, "a")
			})
		})
	})
	Convey("A leader whose disk doesn't answer hands over within the span of a stall, and says so", t, func() {
		c := newClusterWithQueue()
		c.hungDisks["a"] = true
		c.submitJob("a", "j1", 1)
		c.runWithMembership(stallTimeout + 150*eventloop.Millisecond)
		So(c.leader("q"), ShouldBeIn, "b", "c")
		So(c.hosts["a"].stateView(c.now).ReadOnlyReason, ShouldContainSubstring, "no answer")
		// It follows its successor, and tells it nothing of a term that may not last.
		old := c.hosts["a"].groups["q#"+c.generationOf("q")].group
		So(old.Leader(), ShouldEqual, c.leader("q"))
		match, _ := c.hosts[c.leader("q")].groups["q#"+c.generationOf("q")].group.PeerProgress("a")
		So(match, ShouldEqual, 0)
	})
	Convey("A refusing store confirms nothing and tells no vote", t, func() {
		c := newClusterWithQueue()
		c.failDisk("b")
		c.failDisk("c")
		c.received["f"] = nil
		c.submitJob("a", "j1", 1)
		c.runWithMembership(3 * eventloop.Second)
		So(c.confirmedCount(), ShouldEqual, 0)
		// Most refuse: whoever leads goes on answering reads, and refuses changes.
		So(c.leader("q"), ShouldEqual, "a")
		So(c.request("plan", nil).Code, ShouldEqual, 200)
		So(c.putConfiguration(queuesUpdate(2, "", "q", "r")).Code, ShouldEqual, 503)
		for _, id := range []string{"b", "c"} {
			c.step(id, "a", &schema.VoteRequest{Group: "q#" + c.generationOf("q"), Term: 99, LastTerm: 99, LastIndex: 99, LeaderTransfer: true})
		}
		granted := 0
		for _, l := range c.inFlight {
			if reply, isReply := l.body.(*schema.VoteResponse); isReply && reply.Granted {
				granted++
			}
		}
		So(granted, ShouldEqual, 0)
		Convey("and what was out is confirmed once they take writes", func() {
			c.recoverDisk("b")
			c.recoverDisk("c")
			c.runWithMembership(2 * eventloop.Second)
			c.submitJob(c.leader("q"), "j1", 1)
			c.runWithMembership(200 * eventloop.Millisecond)
			So(c.confirmedCount(), ShouldBeGreaterThan, 0)
		})
	})
	Convey("What gathers for a store that refuses is bounded, and comes to the same", t, func() {
		c := newClusterWithQueue()
		c.failDisk("c")
		// Nothing that could be packed.
		text, rng := make([]byte, 64<<10), rand.New(rand.NewPCG(1, 1))
		for k := range text {
			text[k] = byte(rng.Uint32())
		}
		version := uint64(1)
		maxPending, maxContent := 0, 0
		host := c.hosts["c"]
		// A leader sends no more than a window beyond what the store has synced. One
		// that doesn't mind sends all of it here.
		c.isDown["a"], c.isDown["b"] = true, true
		group := host.groups[clusterstate.Group].group
		prev, prevTerm, term := group.LastIndex(), group.Term(), group.Term()+1
		for range 700 {
			version++
			update := queuesUpdate(version, fmt.Sprintf("%d%s", version, text), "q")
			entry := &schema.Entry{Index: prev + 1, Term: term, TimeUs: int64(c.now), Data: EncodeClusterStateCommand(
				&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}})}
			c.step("c", "a", &schema.AppendRequest{
				Group: clusterstate.Group, Term: term, PrevIndex: prev, PrevTerm: prevTerm, Commit: prev + 1, Entries: []*schema.Entry{entry},
			})
			prev, prevTerm = prev+1, term
			c.runWithMembership(20 * eventloop.Millisecond)
			So(host.state.Configuration.Version, ShouldEqual, version)
			waiting := c.hosts["c"].nextWrite
			maxPending = max(maxPending, waiting.bytes)
			maxContent = max(maxContent, int(host.contentBytes()))
			So(len(waiting.messages), ShouldBeLessThanOrEqualTo, maxPendingMessages)
		}
		c.runWithMembership(eventloop.Second)
		// The states as they once were, and what has gathered beside them since.
		So(maxPending, ShouldBeLessThan, maxContent+maxPendingBytes+1<<20)
		So(maxContent, ShouldBeLessThan, maxPending)
		So(host.nextWrite.compactedBytes, ShouldBeGreaterThan, 0)
		before := &storage.State{Groups: map[string]*storage.GroupState{}}
		for _, change := range append(append([]*schema.StoreChange(nil), host.currentWrite.changes...), host.nextWrite.changes...) {
			before.Apply(change)
		}
		host.compactPending()
		after := &storage.State{Groups: map[string]*storage.GroupState{}}
		for _, change := range append(append([]*schema.StoreChange(nil), host.currentWrite.changes...), host.nextWrite.changes...) {
			after.Apply(change)
		}
		for name := range after.Groups {
			one, two := before.Groups[name], after.Groups[name]
			So(proto.Equal(one.HardState, two.HardState), ShouldBeTrue)
			So(one.Snapshot.GetIndex(), ShouldEqual, two.Snapshot.GetIndex())
			So(lastIndexOf(one), ShouldEqual, lastIndexOf(two))
		}
		c.recoverDisk("c")
		c.runWithMembership(2 * eventloop.Second)
		So(group.StableIndex(), ShouldEqual, group.LastIndex())
		So(group.LastIndex(), ShouldEqual, prev)
		So(host.state.Configuration.Version, ShouldEqual, version)
	})
}

func lastIndexOf(state *storage.GroupState) uint64 {
	return state.Snapshot.GetIndex() + uint64(len(state.Entries))
}

func TestUnreadableCommand(t *testing.T) {
	Convey("A change that can't be read is refused before it is in the log", t, func() {
		c := newClusterWithQueue()
		c.received["h"] = nil
		leader := c.leader("")
		before := c.hosts[leader].groups[clusterstate.Group].group.LastIndex()
		c.step(leader, "h", &schema.Request{Id: 1, Kind: "clusterstate", Group: clusterstate.Group, Body: []byte("\xff\xff\xff")})
		c.run(50 * eventloop.Millisecond)
		So(c.hosts[leader].groups[clusterstate.Group].group.LastIndex(), ShouldEqual, before)
		So(c.received["h"][len(c.received["h"])-1].(*schema.Response).Code, ShouldEqual, 400)
	})
}

func TestSubmissionsStopWhenDiskIsLow(t *testing.T) {
	Convey("Hand-ins stop while the content leaves no room for its next slot, and ends go on", t, func() {
		c := newClusterWithQueue()
		const disk = 1 << 20
		for _, id := range nodeIDs {
			c.hosts[id].WithDiskCapacity(disk)
		}
		text := string(make([]byte, 8<<10))
		for number := uint64(1); number <= 100; number++ {
			c.step("a", "f", &schema.SubmitRequest{Queue: "q", Enqueues: []*schema.Enqueue{{
				Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: number, LowestUnconfirmed: 1, Name: fmt.Sprint("j", number), Digest: []byte("d"),
				Job: &schema.Job{Text: text, Steps: []*schema.Step{{Name: "s", Tasks: 1}}},
			}}})
			c.runWithMembership(200 * eventloop.Millisecond)
		}
		host := c.hosts["a"]
		confirmed := c.confirmedCount()
		So(confirmed, ShouldBeGreaterThan, 10)
		So(confirmed, ShouldBeLessThan, 60)
		So(host.contentBytes(), ShouldBeLessThan, disk/(diskCapacityFactor-1))
		So(host.groupStatus(host.groups["q#"+c.generationOf("q")]).StorageExhausted, ShouldBeTrue)
		// What isn't a hand-in is taken as before.
		So(c.putConfiguration(queuesUpdate(2, "", "q", "r")).Code, ShouldEqual, 200)
		for _, id := range nodeIDs {
			c.hosts[id].WithDiskCapacity(4 * disk)
		}
		c.runWithMembership(2 * eventloop.Second)
		So(host.groupStatus(host.groups["q#"+c.generationOf("q")]).StorageExhausted, ShouldBeFalse)
	})
}
