package scheduler

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// desk drives a scheduler by hand: it plays the leader and the workers.
type desk struct {
	t       *Table
	now     eventloop.Micros
	tells   []any
	replies []*schema.WorkerPollResponse
	polls   uint64
}

func (d *desk) Send(_ string, body any) {
	if reply, isReply := body.(*schema.WorkerPollResponse); isReply {
		d.replies = append(d.replies, reply)
	}
}
func (d *desk) Dial(string, any)       {}
func (d *desk) Respond(uint64, any)    {}
func (d *desk) Notify(_ string, m any) { d.tells = append(d.tells, m) }
func (d *desk) step(body any)          { d.t.Step(d.now, eventloop.Message{From: "front", Body: body}, d) }
func (d *desk) fresh(isClusterState bool) {
	d.step(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1}, IsClusterStateFresh: isClusterState})
}
func (d *desk) last() *schema.WorkerPollResponse { return d.replies[len(d.replies)-1] }

func newDesk(workers ...string) *desk {
	d := &desk{t: New("me"), now: 100 * eventloop.Second}
	state := &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{}}
	for k, w := range workers {
		state.WorkerLeases = append(state.WorkerLeases, &schema.WorkerLease{Worker: w, Scheduler: "me", FencingToken: uint64(k + 1)})
	}
	d.step(&schema.ClusterStateResponse{State: state, Version: 1})
	d.fresh(true)
	return d
}

func (d *desk) announce(worker string, change func(*schema.WorkerHeartbeat)) {
	d.polls++
	a := &schema.WorkerHeartbeat{Incarnation: 1, Seq: d.polls, CoresMilli: 1000, MemoryMb: 1000, Rack: "r1", MaxWaitUs: int64(holdSpan)}
	if change != nil {
		change(a)
	}
	d.step(&schema.WorkerPollRequest{Id: d.polls, Worker: worker, Heartbeat: a})
}

func shift(hand, job uint64, task uint32, state queue.Status, worker string, step *schema.Step) *queue.TaskEvent {
	attempt := uint32(0)
	if state != queue.Ready {
		attempt = 1
	}
	return &queue.TaskEvent{
		Sequence: hand, Key: schema.TaskKey{Job: job, Task: task}, Status: state, Attempt: attempt, Worker: worker, Incarnation: 1,
		Name: fmt.Sprint("j", job), Spec: step,
	}
}

func (d *desk) shifts(isWhole bool, hand uint64, list ...*queue.TaskEvent) {
	d.step(replica.TaskEvents{Queue: "l", Group: "l#1", Term: 1, LastSequence: hand, Events: list, IsSnapshot: isWhole, Running: 1000})
}

func (d *desk) picks() []*schema.Placement {
	var picks []*schema.Placement
	for _, tell := range d.tells {
		if propose, isPropose := tell.(replica.Propose); isPropose {
			picks = append(picks, propose.Command.GetCheckout().GetPlacements()...)
		}
	}
	return picks
}

func (d *desk) ended() []*schema.TaskEndReport {
	var list []*schema.TaskEndReport
	for _, tell := range d.tells {
		if e, isEnd := tell.(replica.TaskEnded); isEnd {
			list = append(list, e.End)
		}
	}
	return list
}

var one = &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, MemoryMb: 100}

func TestCheckoutBeforeOrder(t *testing.T) {
	Convey("An order leaves only once its checkout has been applied", t, func() {
		d := newDesk("w")
		d.announce("w", nil)
		So(d.last().Orders.FencingToken, ShouldEqual, 1) // the worker learns of its ward at once
		d.announce("w", nil)
		d.shifts(true, 1, shift(1, 1, 0, queue.Ready, "", one))
		So(len(d.picks()), ShouldEqual, 1)
		So(len(d.replies), ShouldEqual, 1)
		d.shifts(false, 2, shift(2, 1, 0, queue.CheckedOut, "w", one))
		So(len(d.replies), ShouldEqual, 2)
		So(d.last().Orders.Orders[0].Action, ShouldEqual, "start")
		Convey("not without a quorum heard a moment ago", func() {
			d := newDesk("w")
			d.announce("w", nil)
			d.announce("w", nil)
			d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "w", one))
			So(len(d.last().Orders.Orders), ShouldEqual, 1)
			d.now += actSpan
			d.announce("w", nil)
			So(d.last().Orders, ShouldBeNil) // no lease either
		})
		Convey("not to a worker that leaves", func() {
			d.announce("w", func(a *schema.WorkerHeartbeat) { a.Draining = true })
			So(d.last().Orders.Orders[0].Action, ShouldEqual, "stop")
			d.tells = nil
			d.shifts(false, 3, shift(3, 2, 0, queue.Ready, "", one))
			So(len(d.picks()), ShouldEqual, 0)
		})
		Convey("and never two for the same room", func() {
			d.tells = nil
			d.shifts(false, 4, shift(3, 2, 0, queue.Ready, "", one), shift(4, 3, 0, queue.Ready, "", one))
			So(len(d.picks()), ShouldEqual, 0)
			d.announce("w", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "done"}}
			})
			So(len(d.ended()), ShouldEqual, 1)
			So(len(d.picks()), ShouldEqual, 1) // by the worker's word the room is free
		})
	})
}

func TestNotedBeforeItsShift(t *testing.T) {
	Convey("What has been noted as ended isn't started again while its shift is on its way", t, func() {
		d := newDesk("w")
		d.announce("w", nil)
		d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "w", one))
		d.announce("w", func(a *schema.WorkerHeartbeat) {
			a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}}
		})
		d.step(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 1}, Attempt: 1, Worker: "w"})
		So(len(d.last().Orders.Acknowledged), ShouldEqual, 1)
		from := len(d.replies)
		d.announce("w", nil)
		d.pass(600 * eventloop.Millisecond)
		So(d.acts(from, "start"), ShouldBeEmpty)
		next := shift(2, 1, 0, queue.CheckedOut, "w", one)
		next.Attempt = 2
		d.shifts(false, 2, next)
		d.announce("w", nil)
		So(len(d.acts(from, "start")), ShouldEqual, 1)
	})
}

func TestLostOnlyByTheWord(t *testing.T) {
	Convey("A ward that has no fresh word of the cluster state takes no worker for lost", t, func() {
		d := newDesk("w")
		d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "w", one))
		d.announce("w", nil)
		for k := 0; k < 100; k++ {
			d.now += 100 * eventloop.Millisecond
			d.fresh(false)
			d.step(eventloop.Tick{})
		}
		So(d.ended(), ShouldBeEmpty)
		// Nor does one that has just thawed, and finds old word in its mail.
		d.step(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1}, IsClusterStateFresh: true, At: d.now - 3*eventloop.Second})
		d.step(eventloop.Tick{})
		So(d.ended(), ShouldBeEmpty)
		d.fresh(true)
		d.step(eventloop.Tick{})
		So(len(d.ended()), ShouldEqual, 1)
		So(d.ended()[0].Outcome, ShouldEqual, "lost")
	})
}

func TestGapIsFilledByAQuery(t *testing.T) {
	Convey("A hand-over that went missing is asked for, and none after it is acted on before", t, func() {
		d := newDesk("w")
		d.announce("w", nil)
		d.announce("w", nil)
		d.shifts(true, 0)
		d.shifts(false, 2, shift(2, 1, 0, queue.CheckedOut, "w", one))
		query, isQuery := d.tells[len(d.tells)-1].(replica.ResyncQueue)
		So(isQuery, ShouldBeTrue)
		So(query.Group, ShouldEqual, "l#1")
		So(len(d.replies), ShouldEqual, 1)
		d.shifts(true, 2, shift(2, 1, 0, queue.CheckedOut, "w", one))
		So(d.last().Orders.Orders[0].Action, ShouldEqual, "start")
		// What comes again is known.
		d.shifts(false, 2, shift(2, 1, 0, queue.Inactive, "", one))
		So(len(d.t.views["l"].tasks), ShouldEqual, 1)
	})
}

func TestLostOnlyAfterTheLease(t *testing.T) {
	Convey("A silent worker's task is given back after lease and margin, not before", t, func() {
		d := newDesk("w")
		d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "w", one))
		d.now += 2 * eventloop.Second
		d.fresh(true)
		d.announce("w", nil)
		answered := d.now
		for d.now < answered+5*eventloop.Second {
			d.now += 100 * eventloop.Millisecond
			d.fresh(true)
			d.step(eventloop.Tick{})
			So(len(d.ended()), ShouldEqual, 0)
		}
		d.now += 100 * eventloop.Millisecond
		d.fresh(true)
		d.step(eventloop.Tick{})
		So(len(d.ended()), ShouldEqual, 1)
		So(d.ended()[0].Outcome, ShouldEqual, "lost")
	})
	Convey("A new incarnation's word gives back the old one's tasks at once", t, func() {
		d := newDesk("w")
		d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "w", one))
		d.announce("w", nil)
		d.announce("w", func(a *schema.WorkerHeartbeat) { a.Incarnation = 2 })
		So(len(d.ended()), ShouldEqual, 1)
	})
	Convey("A new ward waits for what the former may still have granted", t, func() {
		d := newDesk("w")
		d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "w", one))
		began := d.now
		for len(d.ended()) == 0 && d.now < began+20*eventloop.Second {
			d.now += 100 * eventloop.Millisecond
			d.fresh(true)
			d.step(eventloop.Tick{})
		}
		So(d.now-began, ShouldBeGreaterThan, 6250*eventloop.Millisecond)
		So(d.now-began, ShouldBeLessThan, 7*eventloop.Second)
	})
}

func TestGroupsAreHeldFirst(t *testing.T) {
	gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, MemoryMb: 1, Gang: true}
	held := func(task uint32) func(*schema.WorkerHeartbeat) {
		return func(a *schema.WorkerHeartbeat) {
			a.Running = []*schema.TaskStatus{{Queue: "l", Job: 1, Task: task, Attempt: 1, State: "held", CoresMilli: 600, MemoryMb: 1}}
		}
	}
	Convey("A group that must run together is checked out whole, held everywhere, then started", t, func() {
		d := newDesk("v", "w")
		d.announce("v", nil)
		d.shifts(true, 2, shift(1, 1, 0, queue.Ready, "", gang), shift(2, 1, 1, queue.Ready, "", gang))
		So(len(d.picks()), ShouldEqual, 0) // one worker isn't enough
		d.announce("w", nil)
		So(len(d.picks()), ShouldEqual, 2)
		d.shifts(false, 4, shift(3, 1, 0, queue.CheckedOut, "v", gang), shift(4, 1, 1, queue.CheckedOut, "w", gang))
		d.announce("v", nil)
		So(d.last().Orders.Orders[0].Action, ShouldEqual, "hold")
		d.announce("v", held(0))
		d.announce("w", nil)
		So(d.last().Orders.Orders[0].Action, ShouldEqual, "hold")
		// While a worker has no announce open its start would leave later than the
		// others'.
		d.step(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 9}, Attempt: 1, Worker: "v"})
		d.now += holdSpan
		d.fresh(true)
		d.step(eventloop.Tick{})
		d.tells = nil
		d.announce("w", held(1))
		So(d.tells, ShouldBeEmpty)
		d.announce("v", held(0))
		// Held everywhere, the decision is a record before any start leaves.
		count := len(d.replies)
		launch := d.tells[len(d.tells)-1].(replica.Propose).Command.GetStartGang()
		So(launch.GetAttempts(), ShouldResemble, []uint32{1, 1})
		So(len(d.replies), ShouldEqual, count)
		one, two := shift(5, 1, 0, queue.CheckedOut, "v", gang), shift(6, 1, 1, queue.CheckedOut, "w", gang)
		one.IsGangStarted, two.IsGangStarted = true, true
		Convey("all at once when it is applied", func() {
			d.shifts(false, 6, one, two)
			So(len(d.replies), ShouldEqual, count+2)
			for _, reply := range d.replies[count:] {
				So(reply.Orders.Orders[0].Action, ShouldEqual, "start")
			}
		})
		Convey("and by a successor, which never saw them held, when this one is gone", func() {
			d = newDesk("v", "w")
			d.shifts(true, 6, one, two)
			d.announce("v", func(a *schema.WorkerHeartbeat) { held(0)(a); a.Running[0].State = "running" })
			d.announce("w", held(1))
			So(d.last().Orders.Orders[0].Action, ShouldEqual, "start")
			So(d.last().Orders.Orders[0].Task, ShouldEqual, 1)
		})
		Convey("before the failure of one of them breaks it up", func() {
			d = newDesk("v", "w")
			d.shifts(true, 6, one, two)
			d.announce("w", held(1)) // whose start is lost on the way
			d.tells = nil
			d.announce("v", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "failed"}}
			})
			So(d.tells, ShouldBeEmpty)
			d.announce("w", held(1))
			So(d.last().Orders.Orders[0].Action, ShouldEqual, "start")
			d.announce("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Running[0].State = "running" })
			d.step(eventloop.Tick{})
			So(d.tells[len(d.tells)-1].(replica.TaskEnded).End.Outcome, ShouldEqual, "failed")
		})
		Convey("also on a worker that has just said that it leaves, but not later", func() {
			d = newDesk("v", "w")
			d.shifts(true, 6, one, two)
			d.announce("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Draining = true })
			So(d.last().Orders.Orders[0].Action, ShouldEqual, "start")
			d.now += leaveSpan
			d.fresh(true)
			d.announce("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Draining = true })
			So(d.last().Orders.Orders[0].Action, ShouldEqual, "stop")
		})
		Convey("and a worker that leaves while only held lets the group go", func() {
			d.announce("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Draining = true })
			d.step(eventloop.Tick{})
			So(d.last().Orders.Orders[0].Action, ShouldEqual, "stop")
		})
	})
	Convey("A hold that doesn't come about lets all go", t, func() {
		d := newDesk("v", "w")
		d.shifts(true, 2, shift(1, 1, 0, queue.CheckedOut, "v", gang), shift(2, 1, 1, queue.CheckedOut, "w", gang))
		d.announce("w", nil)
		d.now += groupSpan + eventloop.Millisecond
		d.fresh(true)
		d.announce("v", held(0))
		d.announce("v", held(0))
		d.step(eventloop.Tick{})
		So(d.last().Orders.Orders[0].Action, ShouldEqual, "stop")
	})
}

func TestSuspectsAreSetAside(t *testing.T) {
	Convey("A worker that fails far more than others rests, and is tried again with one task", t, func() {
		d := newDesk("v", "w")
		small := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10}
		fail := func(job uint64) {
			d.announce("w", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: job, Attempt: 1, State: "failed"}}
			})
		}
		d.announce("v", nil)
		for job := uint64(1); job < 8; job++ {
			fail(job)
		}
		d.shifts(true, 1, shift(1, 50, 0, queue.Ready, "", small))
		So(d.picks()[0].Worker, ShouldEqual, "v")
		d.now += 11 * eventloop.Second
		d.fresh(true)
		d.tells = nil
		d.announce("w", nil)
		d.shifts(true, 3, shift(1, 51, 0, queue.Ready, "", small), shift(2, 52, 0, queue.Ready, "", small), shift(3, 53, 0, queue.Ready, "", small))
		So(len(d.picks()), ShouldEqual, 1)
	})
}

func TestTimeLimits(t *testing.T) {
	Convey("A task that runs too long or stands still is stopped and counted as failed", t, func() {
		for _, each := range []*schema.TaskStatus{
			{Queue: "l", Job: 1, Attempt: 1, State: "running", RunUs: 2_000_001},
			{Queue: "l", Job: 1, Attempt: 1, State: "running", RunUs: 1_500_000, IdleUs: 1_000_001},
		} {
			d := newDesk("w")
			limited := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10, TimeLimitUs: 2_000_000, StallTimeoutUs: 1_000_000}
			d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "w", limited))
			d.announce("w", nil)
			d.announce("w", func(a *schema.WorkerHeartbeat) { a.Running = []*schema.TaskStatus{each} })
			d.step(eventloop.Tick{})
			So(d.last().Orders.Orders[0].Action, ShouldEqual, "stop")
			d.announce("w", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}}
			})
			So(d.ended()[0].Outcome, ShouldEqual, "failed")
		}
	})
}

func TestWorkersOwnAccount(t *testing.T) {
	Convey("What a worker says it runs besides leaves no room for an order, whatever was checked out", t, func() {
		step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, MemoryMb: 1}
		d := newDesk("w")
		d.announce("w", nil)
		d.shifts(true, 1, shift(1, 1, 0, queue.CheckedOut, "w", step))
		// Something of a queue that isn't led here runs there.
		other := &schema.TaskStatus{Queue: "other", Job: 9, Attempt: 1, State: "running", CoresMilli: 500, MemoryMb: 1}
		count := len(d.replies)
		d.announce("w", func(a *schema.WorkerHeartbeat) { a.Running = []*schema.TaskStatus{other} })
		So(len(d.replies), ShouldEqual, count)
		d.announce("w", nil)
		So(d.last().Orders.Orders[0].Action, ShouldEqual, "start")
	})
}

func TestRoomOnItsWay(t *testing.T) {
	Convey("Room that a checkout on its way will take is given to nobody else", t, func() {
		step := &schema.Step{Name: "s", Tasks: 2, CoresMilli: 600, MemoryMb: 1}
		d := newDesk("w")
		d.announce("w", nil)
		d.shifts(true, 2, shift(1, 1, 0, queue.Ready, "", step), shift(2, 1, 1, queue.Ready, "", step))
		So(len(d.picks()), ShouldEqual, 1)
		d.tells = nil
		d.announce("w", nil)
		d.step(eventloop.Tick{})
		So(len(d.picks()), ShouldEqual, 0)
	})
}
