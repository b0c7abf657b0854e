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
	syncSpan = 500                       // of every disk
	wayTime  = 1 * eventloop.Millisecond // of every message
	stepTime = eventloop.Millisecond
)

// core is three stores that hold the cluster state, with disks and a network that
// take their time.
type core struct {
	now    eventloop.Micros
	tables map[string]*Table
	mail   []letter
	heard  map[string][]any // by process outside, or by table of a store
	day    int64            // time of day at time 0; 0: every clock stands still
	isDown map[string]bool
	isCut  func(from, to string) bool
	held   map[string]uint64              // by store whose disk refuses: the batch that waits
	batch  func(id string, batch Batch)   // sees what is written
	isLost func(to string, body any) bool // what never arrives; nil: nothing
	hangs  map[string]bool                // whose disks answer nothing
}

type letter struct {
	at       eventloop.Micros
	from, to string
	body     any
}

type port struct {
	core *core
	id   string
}

func (p port) Send(to string, body any) {
	p.core.mail = append(p.core.mail, letter{p.core.now + wayTime, p.id, to, body})
}
func (p port) Dial(string, any)    {}
func (p port) Respond(uint64, any) {}
func (p port) Notify(table string, body any) {
	if batch, isBatch := body.(Batch); isBatch {
		if p.core.hangs[p.id] {
			return
		}
		if _, isRefusing := p.core.held[p.id]; isRefusing {
			p.core.held[p.id] = batch.Number
			p.core.mail = append(p.core.mail, letter{p.core.now + syncSpan, "", p.id, Refused{Number: batch.Number, Why: "no room"}})
			return
		}
		if p.core.batch != nil {
			p.core.batch(p.id, batch)
		}
		p.core.mail = append(p.core.mail, letter{p.core.now + syncSpan, "", p.id, Written{Number: batch.Number}})
		return
	}
	p.core.heard[p.id+"/"+table] = append(p.core.heard[p.id+"/"+table], body)
}

var stores = []string{"a", "b", "c"}

func newCore() *core {
	c := &core{now: eventloop.Second, tables: map[string]*Table{}, heard: map[string][]any{}, isDown: map[string]bool{}, held: map[string]uint64{}, hangs: map[string]bool{}}
	wall := func() int64 {
		if c.day == 0 {
			return 0
		}
		return c.day + int64(c.now)
	}
	for k, id := range stores {
		content := &storage.State{Identity: &schema.StoreIdentity{Id: id}, Groups: map[string]*storage.GroupState{}}
		c.tables[id] = New(id, content, wall, raft.DefaultTimeouts, uint64(k+1), c.now)
	}
	for _, id := range stores {
		c.step(id, "", membership.PersistIdentity{Identity: &schema.StoreIdentity{Id: id, Joined: true}, BootstrapVoters: stores})
	}
	c.run(4 * eventloop.Second)
	return c
}

func (c *core) step(id, from string, body any) {
	c.tables[id].Step(c.now, eventloop.Message{From: from, Body: body}, port{c, id})
}

func (c *core) run(span eventloop.Micros) {
	for end := c.now + span; c.now < end; c.now += stepTime {
		var due []letter
		c.mail = slices.DeleteFunc(c.mail, func(l letter) bool {
			if l.at <= c.now {
				due = append(due, l)
			}
			return l.at <= c.now
		})
		for _, l := range due {
			isCut := c.isCut != nil && c.isCut(l.from, l.to)
			isLost := c.isLost != nil && c.isLost(l.to, l.body)
			if c.isDown[l.to] || c.isDown[l.from] || isCut || isLost {
				continue
			}
			if c.tables[l.to] != nil {
				c.step(l.to, l.from, l.body)
			} else {
				c.heard[l.to] = append(c.heard[l.to], l.body)
			}
		}
		if c.now%Pace < stepTime {
			for _, id := range stores {
				if !c.isDown[id] {
					c.step(id, "", eventloop.Tick{})
				}
			}
		}
	}
}

func (c *core) leader(queue string) string {
	for _, id := range stores {
		for _, r := range c.tables[id].groups {
			if r.name == queue && r.group.IsLeader() && !c.isDown[id] {
				return id
			}
		}
	}
	return ""
}

// ask has the cluster state's leader do a request, and gives what it says.
func (c *core) ask(kind string, command *schema.ClusterStateCommand) *schema.Response {
	request := &schema.Request{Id: 1, Kind: kind, Group: clusterstate.Group}
	if command != nil {
		request.Body = ClusterStateBody(command)
	}
	c.heard["h"] = nil
	c.step(c.leader(""), "h", request)
	c.run(20 * eventloop.Millisecond)
	for _, each := range c.heard["h"] {
		if reply, isReply := each.(*schema.Response); isReply {
			return reply
		}
	}
	return nil
}

func (c *core) put(sheet *schema.ConfigurationUpdate) *schema.Response {
	return c.ask("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: sheet}}})
}

func queuesSheet(edition uint64, document string, queues ...string) *schema.ConfigurationUpdate {
	sheet := &schema.ConfigurationUpdate{Version: edition, BaseVersion: edition - 1, Document: []byte(document)}
	for _, queue := range queues {
		sheet.Rows = append(sheet.Rows, &schema.ConfigurationRow{Kind: "queue", Name: queue, Key: "urgency", Value: "1"})
	}
	return sheet
}

func TestNewQueues(t *testing.T) {
	Convey("A new queue has a leader within some 100 ms, whoever is to keep it", t, func() {
		c := newCore()
		So(c.leader(""), ShouldNotEqual, "")
		So(c.put(queuesSheet(1, "", "l", "m", "n")).Code, ShouldEqual, 200)
		reply := c.ask("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "h"}}})
		var claimed struct{ Lease uint64 }
		So(json.Unmarshal(reply.Body, &claimed), ShouldBeNil)
		place := &schema.PlaceQueues{FencingToken: claimed.Lease}
		for k, queue := range []string{"l", "m", "n"} {
			place.Queues = append(place.Queues, &schema.QueuePlacement{Queue: queue, InitialVoters: stores, PreferredLeader: stores[k]})
		}
		began := c.now
		So(c.ask("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: place}}).Code, ShouldEqual, 200)
		for k, queue := range []string{"l", "m", "n"} {
			for c.leader(queue) == "" && c.now < began+eventloop.Second {
				c.run(eventloop.Millisecond)
			}
			So(c.leader(queue), ShouldEqual, stores[k])
		}
		So(c.now-began, ShouldBeLessThan, 150*eventloop.Millisecond)
		Convey("and every founder is a voter of it, also one that its leader reached first", func() {
			c.run(300 * eventloop.Millisecond)
			for _, id := range stores {
				So(c.tables[id].groups, ShouldHaveLength, 4)
				for _, r := range c.tables[id].groups {
					So(r.group.MemberSet().Voters, ShouldResemble, stores)
				}
			}
		})
	})
	Convey("A founder that its leader reached before the cluster state did is a voter in the end", t, func() {
		c := newCore()
		place := &schema.QueuePlacement{Queue: "l", Generation: 1, InitialVoters: stores, PreferredLeader: "a"}
		c.step("b", "a", &schema.AppendRequest{Group: "l#1", Term: 1, Entries: []*schema.Entry{{Index: 1, Term: 1, Kind: schema.EntryKind_ENTRY_NO_OP}}})
		table := c.tables["b"]
		So(table.groups["l#1"].group.MemberSet().Voters, ShouldBeEmpty)
		table.state.Queues = []*schema.QueuePlacement{place}
		c.step("b", "", eventloop.Tick{})
		So(table.groups["l#1"].group.MemberSet().Voters, ShouldResemble, stores)
		So(table.groups["l#1"].group.LastIndex(), ShouldEqual, 1)
	})
}

func TestDocuments(t *testing.T) {
	Convey("The plan's document is read from the leader alone, and goes into no copy", t, func() {
		c := newCore()
		reply := c.put(queuesSheet(1, "the document", "l"))
		So(reply.Code, ShouldEqual, 200)
		So(c.put(queuesSheet(2, "another", "l")).Code, ShouldEqual, 200)
		plan := &schema.Configuration{}
		So(protojson.Unmarshal(c.ask("plan", nil).Body, plan), ShouldBeNil)
		So(string(plan.Document), ShouldEqual, "another")
		So(plan.Version, ShouldEqual, 2)
		c.run(300 * eventloop.Millisecond)
		for _, id := range stores {
			c.step(id, "f", &schema.ClusterStateRequest{})
		}
		c.run(10 * eventloop.Millisecond)
		tells := append([]any{}, c.heard["f"]...)
		for _, id := range stores {
			tells = append(tells, c.heard[id+"/gateway"]...)
		}
		count := 0
		for _, each := range tells {
			if tell, isTell := each.(*schema.ClusterStateResponse); isTell && tell.State.GetConfiguration().GetRevision() > 0 {
				count++
				So(tell.State.Configuration.Document, ShouldBeEmpty)
				So(tell.State.PreviousConfigurations, ShouldBeEmpty)
				So(tell.State.Configuration.Rows, ShouldNotBeEmpty)
			}
		}
		So(count, ShouldBeGreaterThanOrEqualTo, 6)
		So(c.heard["f"], ShouldHaveLength, 3)
		var history []json.RawMessage
		So(json.Unmarshal(c.ask("history", nil).Body, &history), ShouldBeNil)
		So(history, ShouldHaveLength, 3)
		So(string(history[1]), ShouldNotContainSubstring, "ZG9j") // no document in it
	})
	Convey("The controller hears of a new plan at once", t, func() {
		c := newCore()
		c.ask("clusterstate", &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "h"}}})
		So(c.put(queuesSheet(1, "", "l")).Code, ShouldEqual, 200)
		isTold := slices.ContainsFunc(c.heard["h"], func(body any) bool {
			tell, isTell := body.(*schema.ClusterStateResponse)
			return isTell && tell.State.GetConfiguration().GetVersion() == 1 && len(tell.QueueStatuses) > 0
		})
		So(isTold, ShouldBeTrue)
	})
}
