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

// tellAll gives every store the same word of who there is.
func (c *core) tellAll() {
	roll := &membership.View{Members: map[string]membership.MemberStatus{}}
	for _, id := range stores {
		member := &schema.Member{Id: id, HasStorage: true}
		if c.tables[id].refuses() {
			member.LatencyUs = int64(membership.WritesRefusedLatency)
		}
		roll.Members[id] = membership.MemberStatus{Member: member, LastHeard: c.now}
	}
	for _, id := range stores {
		c.step(id, "", roll)
	}
}

func (c *core) runTold(span eventloop.Micros) {
	for end := c.now + span; c.now < end; {
		c.tellAll()
		c.run(50 * eventloop.Millisecond)
	}
}

// refuse has a store's disk refuse from the next batch on; accept ends that.
func (c *core) refuse(id string) { c.held[id] = 0 }

func (c *core) accept(id string) {
	number := c.held[id]
	delete(c.held, id)
	if number > 0 {
		c.mail = append(c.mail, letter{c.now + syncSpan, "", id, Written{Number: number}})
	}
}

// newLedCore is a core with a queue that "a" leads.
func newLedCore() *core {
	c := newCore()
	So(c.put(queuesSheet(1, "", "q")).Code, ShouldEqual, 200)
	queues := &schema.PlaceQueues{FencingToken: c.lease(), Queues: []*schema.QueuePlacement{{Queue: "q", InitialVoters: stores, PreferredLeader: "a"}}}
	So(c.ask("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: queues}}).Code, ShouldEqual, 200)
	c.runTold(eventloop.Second)
	So(c.leader("q"), ShouldEqual, "a")
	return c
}

func (c *core) handIn(id, name string, number uint64) {
	job := &schema.Job{Steps: []*schema.Step{{Name: "s", Tasks: 1}}}
	c.step(id, "f", &schema.SubmitRequest{Queue: "q", Enqueues: []*schema.Enqueue{{
		Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: number, Name: name, Digest: []byte("d"), Job: job, LowestUnconfirmed: 1,
	}}})
}

// confirmed counts the hand-ins that "f" was told are taken.
func (c *core) confirmed() int {
	count := 0
	for _, each := range c.heard["f"] {
		if applied, isApplied := each.(*schema.SubmitResponse); isApplied {
			count += len(applied.Results)
		}
	}
	return count
}

func TestRefusal(t *testing.T) {
	Convey("A leader whose store refuses hands its queue over at once, and says why", t, func() {
		c := newLedCore()
		c.refuse("a")
		c.handIn("a", "j1", 1)
		c.runTold(150 * eventloop.Millisecond)
		heir := c.leader("q")
		So(heir, ShouldBeIn, "b", "c")
		So(c.tables["a"].belief(c.now).Refusal, ShouldEqual, "no room")
		c.handIn(heir, "j1", 1)
		c.runTold(50 * eventloop.Millisecond)
		So(c.confirmed(), ShouldBeGreaterThan, 0)
		Convey("it gets nothing back while it refuses, though it is named", func() {
			c.runTold(7 * eventloop.Second)
			So(c.leader("q"), ShouldEqual, heir)
			So(c.tables["a"].groups["q#"+c.generation("q")].group.IsLeader(), ShouldBeFalse)
			Convey("and once a write and its sync have succeeded it says so and takes part again", func() {
				c.accept("a")
				c.runTold(eventloop.Second)
				So(c.tables["a"].belief(c.now).Refusal, ShouldBeBlank)
				replica := c.tables["a"].groups["q#"+c.generation("q")].group
				So(replica.StableIndex(), ShouldEqual, replica.LastIndex())
				c.runTold(7 * eventloop.Second)
				So(c.leader("q"), ShouldEqual, "a")
			})
		})
	})
	Convey("A leader whose disk doesn't answer hands over within the span of a stall, and says so", t, func() {
		c := newLedCore()
		c.hangs["a"] = true
		c.handIn("a", "j1", 1)
		c.runTold(stallSpan + 150*eventloop.Millisecond)
		So(c.leader("q"), ShouldBeIn, "b", "c")
		So(c.tables["a"].belief(c.now).Refusal, ShouldContainSubstring, "no answer")
		// It follows its successor, and tells it nothing of a term that may not last.
		old := c.tables["a"].groups["q#"+c.generation("q")].group
		So(old.Leader(), ShouldEqual, c.leader("q"))
		match, _ := c.tables[c.leader("q")].groups["q#"+c.generation("q")].group.PeerProgress("a")
		So(match, ShouldEqual, 0)
	})
	Convey("A refusing store confirms nothing and tells no vote", t, func() {
		c := newLedCore()
		c.refuse("b")
		c.refuse("c")
		c.heard["f"] = nil
		c.handIn("a", "j1", 1)
		c.runTold(3 * eventloop.Second)
		So(c.confirmed(), ShouldEqual, 0)
		// Most refuse: whoever leads goes on answering reads, and refuses changes.
		So(c.leader("q"), ShouldEqual, "a")
		So(c.ask("plan", nil).Code, ShouldEqual, 200)
		So(c.put(queuesSheet(2, "", "q", "r")).Code, ShouldEqual, 503)
		for _, id := range []string{"b", "c"} {
			c.step(id, "a", &schema.VoteRequest{Group: "q#" + c.generation("q"), Term: 99, LastTerm: 99, LastIndex: 99, LeaderTransfer: true})
		}
		told := 0
		for _, l := range c.mail {
			if reply, isReply := l.body.(*schema.VoteResponse); isReply && reply.Granted {
				told++
			}
		}
		So(told, ShouldEqual, 0)
		Convey("and what was out is confirmed once they take writes", func() {
			c.accept("b")
			c.accept("c")
			c.runTold(2 * eventloop.Second)
			c.handIn(c.leader("q"), "j1", 1)
			c.runTold(200 * eventloop.Millisecond)
			So(c.confirmed(), ShouldBeGreaterThan, 0)
		})
	})
	Convey("What gathers for a store that refuses is bounded, and comes to the same", t, func() {
		c := newLedCore()
		c.refuse("c")
		// Nothing that could be packed.
		text, rng := make([]byte, 64<<10), rand.New(rand.NewPCG(1, 1))
		for k := range text {
			text[k] = byte(rng.Uint32())
		}
		version := uint64(1)
		most, whole := 0, 0
		table := c.tables["c"]
		// A leader sends no more than a window beyond what the store has synced. One
		// that doesn't mind sends all of it here.
		c.isDown["a"], c.isDown["b"] = true, true
		root := table.groups[clusterstate.Group].group
		prev, prevTerm, term := root.LastIndex(), root.Term(), root.Term()+1
		for range 700 {
			version++
			sheet := queuesSheet(version, fmt.Sprintf("%d%s", version, text), "q")
			record := &schema.Entry{Index: prev + 1, Term: term, TimeUs: int64(c.now), Data: ClusterStateBody(
				&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: sheet}}})}
			c.step("c", "a", &schema.AppendRequest{
				Group: clusterstate.Group, Term: term, PrevIndex: prev, PrevTerm: prevTerm, Commit: prev + 1, Entries: []*schema.Entry{record},
			})
			prev, prevTerm = prev+1, term
			c.runTold(20 * eventloop.Millisecond)
			So(table.state.Configuration.Version, ShouldEqual, version)
			waiting := c.tables["c"].next
			most = max(most, waiting.bytes)
			whole = max(whole, int(table.contentBytes()))
			So(len(waiting.posts), ShouldBeLessThanOrEqualTo, pendingPosts)
		}
		c.runTold(eventloop.Second)
		// The states as they once were, and what has gathered beside them since.
		So(most, ShouldBeLessThan, whole+pendingBytes+1<<20)
		So(whole, ShouldBeLessThan, most)
		So(table.next.wholeBytes, ShouldBeGreaterThan, 0)
		before := &storage.State{Groups: map[string]*storage.GroupState{}}
		for _, change := range append(append([]*schema.StoreChange(nil), table.writing.changes...), table.next.changes...) {
			before.Apply(change)
		}
		table.condense()
		after := &storage.State{Groups: map[string]*storage.GroupState{}}
		for _, change := range append(append([]*schema.StoreChange(nil), table.writing.changes...), table.next.changes...) {
			after.Apply(change)
		}
		for name := range after.Groups {
			one, two := before.Groups[name], after.Groups[name]
			So(proto.Equal(one.HardState, two.HardState), ShouldBeTrue)
			So(one.Snapshot.GetIndex(), ShouldEqual, two.Snapshot.GetIndex())
			So(last(one), ShouldEqual, last(two))
		}
		c.accept("c")
		c.runTold(2 * eventloop.Second)
		So(root.StableIndex(), ShouldEqual, root.LastIndex())
		So(root.LastIndex(), ShouldEqual, prev)
		So(table.state.Configuration.Version, ShouldEqual, version)
	})
}

func last(image *storage.GroupState) uint64 {
	return image.Snapshot.GetIndex() + uint64(len(image.Entries))
}

func TestUnreadableCommand(t *testing.T) {
	Convey("A change that can't be read is refused before it is in the log", t, func() {
		c := newLedCore()
		c.heard["h"] = nil
		leader := c.leader("")
		before := c.tables[leader].groups[clusterstate.Group].group.LastIndex()
		c.step(leader, "h", &schema.Request{Id: 1, Kind: "clusterstate", Group: clusterstate.Group, Body: []byte("\xff\xff\xff")})
		c.run(50 * eventloop.Millisecond)
		So(c.tables[leader].groups[clusterstate.Group].group.LastIndex(), ShouldEqual, before)
		So(c.heard["h"][len(c.heard["h"])-1].(*schema.Response).Code, ShouldEqual, 400)
	})
}

func TestRoomForHandIns(t *testing.T) {
	Convey("Hand-ins stop while the content leaves no room for its next slot, and ends go on", t, func() {
		c := newLedCore()
		const disk = 1 << 20
		for _, id := range stores {
			c.tables[id].Within(disk)
		}
		text := string(make([]byte, 8<<10))
		for number := uint64(1); number <= 100; number++ {
			c.step("a", "f", &schema.SubmitRequest{Queue: "q", Enqueues: []*schema.Enqueue{{
				Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: number, LowestUnconfirmed: 1, Name: fmt.Sprint("j", number), Digest: []byte("d"),
				Job: &schema.Job{Text: text, Steps: []*schema.Step{{Name: "s", Tasks: 1}}},
			}}})
			c.runTold(200 * eventloop.Millisecond)
		}
		table := c.tables["a"]
		taken := c.confirmed()
		So(taken, ShouldBeGreaterThan, 10)
		So(taken, ShouldBeLessThan, 60)
		So(table.contentBytes(), ShouldBeLessThan, disk/(roomParts-1))
		So(table.note(table.groups["q#"+c.generation("q")]).StorageExhausted, ShouldBeTrue)
		// What isn't a hand-in is taken as before.
		So(c.put(queuesSheet(2, "", "q", "r")).Code, ShouldEqual, 200)
		for _, id := range stores {
			c.tables[id].Within(4 * disk)
		}
		c.runTold(2 * eventloop.Second)
		So(table.note(table.groups["q#"+c.generation("q")]).StorageExhausted, ShouldBeFalse)
	})
}
