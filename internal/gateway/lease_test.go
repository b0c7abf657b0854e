package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func (d *desk) isReady() bool {
	d.request++
	d.step(Ready{Request: d.request})
	return d.answers[d.request].Code == 200
}

func TestLeaseRunsFromTheQuestion(t *testing.T) {
	tell := func(number uint64, age eventloop.Micros) *schema.ClusterStateResponse {
		return &schema.ClusterStateResponse{Version: 1, Sequence: number, AgeUs: int64(age), Leaders: map[string]string{"l": "a"}}
	}
	Convey("The lease runs from the question, not from when its answer is read", t, func() {
		d := newDesk()
		number := d.t.lease.question(d.now)
		// As for a process that was frozen, or an answer that lay in a buffer.
		d.now += d.t.lease.duration() + eventloop.Millisecond
		d.step(tell(number, 0))
		So(d.isReady(), ShouldBeFalse)
		Convey("and a new answer starts it anew", func() {
			d.step(tell(d.t.lease.question(d.now), 0))
			So(d.isReady(), ShouldBeTrue)
			d.now += d.t.lease.duration()
			So(d.isReady(), ShouldBeTrue)
			d.now++
			So(d.isReady(), ShouldBeFalse)
		})
	})
	Convey("What the answer was worth when it was sent counts against it", t, func() {
		d := newDesk()
		d.now += 10 * eventloop.Second
		d.step(tell(d.t.lease.question(d.now), 900*eventloop.Millisecond))
		d.now += d.t.lease.duration() - 900*eventloop.Millisecond
		So(d.isReady(), ShouldBeTrue)
		d.now++
		So(d.isReady(), ShouldBeFalse)
	})
	Convey("What nobody asked for, or a former life did, is no word", t, func() {
		d := newDesk()
		d.now += 10 * eventloop.Second
		d.step(tell(1<<40, 0))
		d.step(&schema.ClusterStateResponse{Version: 1, State: d.t.state})
		So(d.isReady(), ShouldBeFalse)
	})
	Convey("An older state than ours is no word", t, func() {
		d := newDesk()
		d.now += 10 * eventloop.Second
		d.t.state.Version = 2
		d.step(tell(d.t.lease.question(d.now), 0))
		So(d.isReady(), ShouldBeFalse)
	})
	Convey("The lease follows from when a plan must be in force", t, func() {
		d := newDesk()
		d.t.Bind(&schema.Bounds{ApplyUs: int64(800 * eventloop.Millisecond)})
		So(d.t.lease.duration(), ShouldEqual, 600*eventloop.Millisecond)
		So(d.t.askRest(d.now), ShouldEqual, 100*eventloop.Millisecond)
		So(New("me", 1, false, nil).Bind(nil).lease.duration(), ShouldEqual, 1500*eventloop.Millisecond)
	})
	Convey("A front without word asks every store in turn, not those alone that it heard of lately", t, func() {
		d := newDesk()
		d.stores("a", "b", "c")
		d.t.roll.Members["b"].Member.Draining = true
		d.now += 10 * eventloop.Second
		asked := map[string]int{}
		for range 6 {
			d.sent = nil
			d.now += 2 * Pace
			d.step(eventloop.Tick{})
			for _, each := range d.sent {
				if _, isAsk := each.body.(*schema.ClusterStateRequest); isAsk {
					asked[each.to]++
				}
			}
		}
		So(asked, ShouldResemble, map[string]int{"a": 4, "b": 4, "c": 4})
	})
}

func TestCallsOfAYoungProcess(t *testing.T) {
	Convey("Who never had word carries a call for the cluster state for a moment, and says then that nothing is known", t, func() {
		d := youngDesk()
		d.step(Ask{Request: 1, Kind: "plan", Group: clusterstate.Group, Deadline: d.now + 60*eventloop.Second})
		d.step(Ask{Request: 2, Kind: "clusterstate", Group: clusterstate.Group, Deadline: d.now + 60*eventloop.Second})
		d.step(Ask{Request: 3, Kind: "status", Group: "l", Deadline: d.now + 60*eventloop.Second})
		d.step(PollIn{Request: 4, Worker: "w", Deadline: d.now + 60*eventloop.Second})
		So(d.answers, ShouldHaveLength, 2)
		So([]int32{d.answers[3].Code, d.answers[4].Code}, ShouldResemble, []int32{503, 503})
		for range 20 {
			d.now += Pace
			d.step(eventloop.Tick{})
		}
		So([]int32{d.answers[1].Code, d.answers[2].Code}, ShouldResemble, []int32{504, 504})
		So(min(d.answers[1].Retry, d.answers[2].Retry, d.answers[3].Retry, d.answers[4].Retry), ShouldEqual, 1)
	})
}

func TestWorkForADroppedQueue(t *testing.T) {
	Convey("What waits for a queue that is there no more is answered at once, and takes no room any longer", t, func() {
		d := newDesk()
		id := d.handIn("c", "one")
		d.step(Ask{Request: 100, Kind: "status", Group: "l", Name: "one", Deadline: d.now + 9*eventloop.Second})
		d.step(Ask{Request: 101, Kind: "cancel", Group: "l", Name: "one", Deadline: d.now + 9*eventloop.Second})
		gone := &schema.ClusterState{Version: 2, Configuration: &schema.Configuration{Revision: 2}}
		d.step(&schema.ClusterStateResponse{Version: 2, State: gone, Leaders: map[string]string{clusterstate.Group: "a"}})
		// It may have been taken before.
		So([]int32{d.answers[id].Code, d.answers[101].Code}, ShouldResemble, []int32{504, 504})
		So(d.answers, ShouldNotContainKey, uint64(100))
		d.confirm(nil)
		So(d.answers[100].Code, ShouldEqual, 404)
		So([]int{d.t.pending, d.t.queueHas["l"], len(d.t.sessions), len(d.t.byId), len(d.t.asked)}, ShouldResemble, make([]int, 5))
	})
}
