package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

func TestReadOnlyStorage(t *testing.T) {
	Convey("A leader whose disk fails hands over its queue at once, and shows why", t, func() {
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
		Convey("it doesn't get it back while it is read-only, though it is the preferred leader", func() {
			c.runWithMembership(7 * eventloop.Second)
			So(c.leader("q"), ShouldEqual, successor)
			So(c.queueGroup("a", "q").IsLeader(), ShouldBeFalse)
			Convey("and after a successful write and sync it leads again", func() {
				c.recoverDisk("a")
				c.runWithMembership(eventloop.Second)
				So(c.hosts["a"].stateView(c.now).ReadOnlyReason, ShouldBeBlank)
				replica := c.queueGroup("a", "q")
				So(replica.StableIndex(), ShouldEqual, replica.LastIndex())
				c.runWithMembership(7 * eventloop.Second)
				So(c.leader("q"), ShouldEqual, "a")
			})
		})
	})
	Convey("A leader whose disk doesn't answer hands over within the stall timeout, and shows why", t, func() {
		c := newClusterWithQueue()
		c.hungDisks["a"] = true
		c.submitJob("a", "j1", 1)
		c.runWithMembership(stallTimeout + 150*eventloop.Millisecond)
		So(c.leader("q"), ShouldBeIn, "b", "c")
		So(c.hosts["a"].stateView(c.now).ReadOnlyReason, ShouldContainSubstring, "no answer")
		// The old leader follows its successor, but sends it no response, because the new term
		// isn't durable on the hung disk.
		old := c.queueGroup("a", "q")
		So(old.Leader(), ShouldEqual, c.leader("q"))
		match, _ := c.queueGroup(c.leader("q"), "q").PeerProgress("a")
		So(match, ShouldEqual, 0)
	})
	Convey("A read-only node confirms no submission and grants no vote", t, func() {
		c := newClusterWithQueue()
		c.failDisk("b")
		c.failDisk("c")
		c.received["f"] = nil
		c.submitJob("a", "j1", 1)
		c.runWithMembership(3 * eventloop.Second)
		So(c.confirmedCount(), ShouldEqual, 0)
		// Without a writable majority the leader still answers reads, and rejects changes.
		So(c.leader("q"), ShouldEqual, "a")
		So(c.request("plan", nil).Code, ShouldEqual, 200)
		So(c.putConfiguration(queuesUpdate(2, "", "q", "r")).Code, ShouldEqual, 503)
		for _, id := range []string{"b", "c"} {
			c.step(id, "a", &schema.VoteRequest{Group: c.queueGroupName("q"), Term: 99, LastTerm: 99, LastIndex: 99, LeaderTransfer: true})
		}
		granted := 0
		for _, message := range c.inFlight {
			if reply, isReply := message.body.(*schema.VoteResponse); isReply && reply.Granted {
				granted++
			}
		}
		So(granted, ShouldEqual, 0)
		Convey("and what was pending is confirmed once its disk works", func() {
			c.recoverDisk("b")
			c.recoverDisk("c")
			c.runWithMembership(2 * eventloop.Second)
			c.submitJob(c.leader("q"), "j1", 1)
			c.runWithMembership(200 * eventloop.Millisecond)
			So(c.confirmedCount(), ShouldBeGreaterThan, 0)
		})
	})
	Convey("What waits for a failing disk is bounded, and compacting it keeps its result", t, func() {
		c := newClusterWithQueue()
		c.failDisk("c")
		// The text is random, so that it can't be compressed.
		text, rng := make([]byte, 64<<10), rand.New(rand.NewPCG(1, 1))
		for k := range text {
			text[k] = byte(rng.Uint32())
		}
		version := uint64(1)
		maxPending, maxContent := 0, 0
		host := c.hosts["c"]
		// A real leader limits how many entries it sends beyond those that the node has synced.
		// Here the node is sent all of them.
		c.isDown["a"], c.isDown["b"] = true, true
		group := host.groups[clusterstate.GroupName].group
		prev, prevTerm, term := group.LastIndex(), group.Term(), group.Term()+1
		for range 700 {
			version++
			update := queuesUpdate(version, fmt.Sprintf("%d%s", version, text), "q")
			entry := &schema.Entry{Index: prev + 1, Term: term, TimeUs: int64(c.now), Data: EncodeClusterStateCommand(
				&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}})}
			c.step("c", "a", &schema.AppendRequest{
				Group: clusterstate.GroupName, Term: term, PrevIndex: prev, PrevTerm: prevTerm, Commit: prev + 1, Entries: []*schema.Entry{entry},
			})
			prev, prevTerm = prev+1, term
			c.runWithMembership(20 * eventloop.Millisecond)
			So(host.sharedState.Configuration.Version, ShouldEqual, version)
			waiting := c.hosts["c"].nextWrite
			maxPending = max(maxPending, waiting.bytes)
			maxContent = max(maxContent, int(host.contentBytes()))
			So(len(waiting.messages), ShouldBeLessThanOrEqualTo, maxPendingMessages)
		}
		c.runWithMembership(eventloop.Second)
		// The pending write contains the compacted state and the changes since then.
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
			groupBefore, groupAfter := before.Groups[name], after.Groups[name]
			So(proto.Equal(groupBefore.HardState, groupAfter.HardState), ShouldBeTrue)
			So(groupBefore.Snapshot.GetIndex(), ShouldEqual, groupAfter.Snapshot.GetIndex())
			So(lastIndexOf(groupBefore), ShouldEqual, lastIndexOf(groupAfter))
		}
		c.recoverDisk("c")
		c.runWithMembership(2 * eventloop.Second)
		So(group.StableIndex(), ShouldEqual, group.LastIndex())
		So(group.LastIndex(), ShouldEqual, prev)
		So(host.sharedState.Configuration.Version, ShouldEqual, version)
	})
}

func lastIndexOf(state *storage.GroupState) uint64 {
	return state.Snapshot.GetIndex() + uint64(len(state.Entries))
}
