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

// harness drives a scheduler by hand: it plays the leader and the workers.
type harness struct {
	scheduler *Scheduler
	now       eventloop.Micros
	notified  []any
	replies   []*schema.WorkerPollResponse
	polls     uint64
}

func (h *harness) Send(_ string, body any) {
	if reply, ok := body.(*schema.WorkerPollResponse); ok {
		h.replies = append(h.replies, reply)
	}
}
func (h *harness) Dial(string, any)       {}
func (h *harness) Respond(uint64, any)    {}
func (h *harness) Notify(_ string, m any) { h.notified = append(h.notified, m) }
func (h *harness) deliver(body any) {
	h.scheduler.Step(h.now, eventloop.Message{From: "front", Body: body}, h)
}
func (h *harness) confirmLeadership(isClusterState bool) {
	h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1}, IsClusterStateFresh: isClusterState})
}
func (h *harness) lastReply() *schema.WorkerPollResponse { return h.replies[len(h.replies)-1] }

func newHarness(workers ...string) *harness {
	h := &harness{scheduler: New("me"), now: 100 * eventloop.Second}
	state := &schema.ClusterState{Version: 1, Configuration: &schema.Configuration{}}
	for k, w := range workers {
		state.WorkerLeases = append(state.WorkerLeases, &schema.WorkerLease{Worker: w, Scheduler: "me", FencingToken: uint64(k + 1)})
	}
	h.deliver(&schema.ClusterStateResponse{State: state, Version: 1})
	h.confirmLeadership(true)
	return h
}

func (h *harness) announce(worker string, change func(*schema.WorkerHeartbeat)) {
	h.polls++
	a := &schema.WorkerHeartbeat{Incarnation: 1, Seq: h.polls, CoresMilli: 1000, MemoryMb: 1000, Rack: "r1", MaxWaitUs: int64(maxPollWait)}
	if change != nil {
		change(a)
	}
	h.deliver(&schema.WorkerPollRequest{Id: h.polls, Worker: worker, Heartbeat: a})
}

func newEvent(sequence, job uint64, task uint32, state queue.Status, worker string, step *schema.Step) *queue.TaskEvent {
	attempt := uint32(0)
	if state != queue.Ready {
		attempt = 1
	}
	return &queue.TaskEvent{
		Sequence: sequence, Key: schema.TaskKey{Job: job, Task: task}, Status: state, Attempt: attempt, Worker: worker, Incarnation: 1,
		Name: fmt.Sprint("j", job), Spec: step,
	}
}

func (h *harness) deliverEvents(isWhole bool, sequence uint64, list ...*queue.TaskEvent) {
	h.deliver(replica.TaskEvents{Queue: "l", Group: "l#1", Term: 1, LastSequence: sequence, Events: list, IsSnapshot: isWhole, Running: 1000})
}

func (h *harness) placements() []*schema.Placement {
	var picks []*schema.Placement
	for _, tell := range h.notified {
		if propose, ok := tell.(replica.Propose); ok {
			picks = append(picks, propose.Command.GetCheckout().GetPlacements()...)
		}
	}
	return picks
}

func (h *harness) endReports() []*schema.TaskEndReport {
	var list []*schema.TaskEndReport
	for _, tell := range h.notified {
		if e, ok := tell.(replica.TaskEnded); ok {
			list = append(list, e.End)
		}
	}
	return list
}

var oneTask = &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, MemoryMb: 100}

func TestCheckoutBeforeOrder(t *testing.T) {
	Convey("An order leaves only once its checkout has been applied", t, func() {
		h := newHarness("w")
		h.announce("w", nil)
		So(h.lastReply().Orders.FencingToken, ShouldEqual, 1) // the worker learns of its ward at once
		h.announce("w", nil)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.Ready, "", oneTask))
		So(len(h.placements()), ShouldEqual, 1)
		So(len(h.replies), ShouldEqual, 1)
		h.deliverEvents(false, 2, newEvent(2, 1, 0, queue.CheckedOut, "w", oneTask))
		So(len(h.replies), ShouldEqual, 2)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
		Convey("not without a quorum heard a moment ago", func() {
			h := newHarness("w")
			h.announce("w", nil)
			h.announce("w", nil)
			h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
			So(len(h.lastReply().Orders.Orders), ShouldEqual, 1)
			h.now += maxLeadershipAge
			h.announce("w", nil)
			So(h.lastReply().Orders, ShouldBeNil) // no lease either
		})
		Convey("not to a worker that leaves", func() {
			h.announce("w", func(a *schema.WorkerHeartbeat) { a.Draining = true })
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
			h.notified = nil
			h.deliverEvents(false, 3, newEvent(3, 2, 0, queue.Ready, "", oneTask))
			So(len(h.placements()), ShouldEqual, 0)
		})
		Convey("and never two for the same room", func() {
			h.notified = nil
			h.deliverEvents(false, 4, newEvent(3, 2, 0, queue.Ready, "", oneTask), newEvent(4, 3, 0, queue.Ready, "", oneTask))
			So(len(h.placements()), ShouldEqual, 0)
			h.announce("w", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "done"}}
			})
			So(len(h.endReports()), ShouldEqual, 1)
			So(len(h.placements()), ShouldEqual, 1) // by the worker's word the room is free
		})
	})
}

func TestAcknowledgedBeforeItsEvent(t *testing.T) {
	Convey("What has been noted as ended isn't started again while its shift is on its way", t, func() {
		h := newHarness("w")
		h.announce("w", nil)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.announce("w", func(a *schema.WorkerHeartbeat) {
			a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}}
		})
		h.deliver(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 1}, Attempt: 1, Worker: "w"})
		So(len(h.lastReply().Orders.Acknowledged), ShouldEqual, 1)
		from := len(h.replies)
		h.announce("w", nil)
		h.advance(600 * eventloop.Millisecond)
		So(h.ordersOf(from, "start"), ShouldBeEmpty)
		next := newEvent(2, 1, 0, queue.CheckedOut, "w", oneTask)
		next.Attempt = 2
		h.deliverEvents(false, 2, next)
		h.announce("w", nil)
		So(len(h.ordersOf(from, "start")), ShouldEqual, 1)
	})
}

func TestLostOnlyWithCurrentClusterState(t *testing.T) {
	Convey("A ward that has no fresh word of the cluster state takes no worker for lost", t, func() {
		h := newHarness("w")
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.announce("w", nil)
		for k := 0; k < 100; k++ {
			h.now += 100 * eventloop.Millisecond
			h.confirmLeadership(false)
			h.deliver(eventloop.Tick{})
		}
		So(h.endReports(), ShouldBeEmpty)
		// Nor does one that has just thawed, and finds old word in its mail.
		h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1}, IsClusterStateFresh: true, At: h.now - 3*eventloop.Second})
		h.deliver(eventloop.Tick{})
		So(h.endReports(), ShouldBeEmpty)
		h.confirmLeadership(true)
		h.deliver(eventloop.Tick{})
		So(len(h.endReports()), ShouldEqual, 1)
		So(h.endReports()[0].Outcome, ShouldEqual, "lost")
	})
}

func TestEventGapTriggersQuery(t *testing.T) {
	Convey("A hand-over that went missing is asked for, and none after it is acted on before", t, func() {
		h := newHarness("w")
		h.announce("w", nil)
		h.announce("w", nil)
		h.deliverEvents(true, 0)
		h.deliverEvents(false, 2, newEvent(2, 1, 0, queue.CheckedOut, "w", oneTask))
		query, ok := h.notified[len(h.notified)-1].(replica.ResyncQueue)
		So(ok, ShouldBeTrue)
		So(query.Group, ShouldEqual, "l#1")
		So(len(h.replies), ShouldEqual, 1)
		h.deliverEvents(true, 2, newEvent(2, 1, 0, queue.CheckedOut, "w", oneTask))
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
		// What comes again is known.
		h.deliverEvents(false, 2, newEvent(2, 1, 0, queue.Inactive, "", oneTask))
		So(len(h.scheduler.queues["l"].tasks), ShouldEqual, 1)
	})
}

func TestLostOnlyAfterLeaseExpiry(t *testing.T) {
	Convey("A silent worker's task is given back after lease and margin, not before", t, func() {
		h := newHarness("w")
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.now += 2 * eventloop.Second
		h.confirmLeadership(true)
		h.announce("w", nil)
		answered := h.now
		for h.now < answered+5*eventloop.Second {
			h.now += 100 * eventloop.Millisecond
			h.confirmLeadership(true)
			h.deliver(eventloop.Tick{})
			So(len(h.endReports()), ShouldEqual, 0)
		}
		h.now += 100 * eventloop.Millisecond
		h.confirmLeadership(true)
		h.deliver(eventloop.Tick{})
		So(len(h.endReports()), ShouldEqual, 1)
		So(h.endReports()[0].Outcome, ShouldEqual, "lost")
	})
	Convey("A new incarnation's word gives back the old one's tasks at once", t, func() {
		h := newHarness("w")
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		h.announce("w", nil)
		h.announce("w", func(a *schema.WorkerHeartbeat) { a.Incarnation = 2 })
		So(len(h.endReports()), ShouldEqual, 1)
	})
	Convey("A new ward waits for what the former may still have granted", t, func() {
		h := newHarness("w")
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", oneTask))
		began := h.now
		for len(h.endReports()) == 0 && h.now < began+20*eventloop.Second {
			h.now += 100 * eventloop.Millisecond
			h.confirmLeadership(true)
			h.deliver(eventloop.Tick{})
		}
		So(h.now-began, ShouldBeGreaterThan, 6250*eventloop.Millisecond)
		So(h.now-began, ShouldBeLessThan, 7*eventloop.Second)
	})
}

func TestGangsAreHeldFirst(t *testing.T) {
	gang := &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, MemoryMb: 1, Gang: true}
	held := func(task uint32) func(*schema.WorkerHeartbeat) {
		return func(a *schema.WorkerHeartbeat) {
			a.Running = []*schema.TaskStatus{{Queue: "l", Job: 1, Task: task, Attempt: 1, State: "held", CoresMilli: 600, MemoryMb: 1}}
		}
	}
	Convey("A group that must run together is checked out whole, held everywhere, then started", t, func() {
		h := newHarness("v", "w")
		h.announce("v", nil)
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.Ready, "", gang), newEvent(2, 1, 1, queue.Ready, "", gang))
		So(len(h.placements()), ShouldEqual, 0) // one worker isn't enough
		h.announce("w", nil)
		So(len(h.placements()), ShouldEqual, 2)
		h.deliverEvents(false, 4, newEvent(3, 1, 0, queue.CheckedOut, "v", gang), newEvent(4, 1, 1, queue.CheckedOut, "w", gang))
		h.announce("v", nil)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "hold")
		h.announce("v", held(0))
		h.announce("w", nil)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "hold")
		// While a worker has no announce open its start would leave later than the
		// others'.
		h.deliver(&schema.TaskEndAck{Queue: "l", Key: &schema.TaskKey{Job: 9}, Attempt: 1, Worker: "v"})
		h.now += maxPollWait
		h.confirmLeadership(true)
		h.deliver(eventloop.Tick{})
		h.notified = nil
		h.announce("w", held(1))
		So(h.notified, ShouldBeEmpty)
		h.announce("v", held(0))
		// Held everywhere, the decision is a record before any start leaves.
		count := len(h.replies)
		launch := h.notified[len(h.notified)-1].(replica.Propose).Command.GetStartGang()
		So(launch.GetAttempts(), ShouldResemble, []uint32{1, 1})
		So(len(h.replies), ShouldEqual, count)
		one, two := newEvent(5, 1, 0, queue.CheckedOut, "v", gang), newEvent(6, 1, 1, queue.CheckedOut, "w", gang)
		one.IsGangStarted, two.IsGangStarted = true, true
		Convey("all at once when it is applied", func() {
			h.deliverEvents(false, 6, one, two)
			So(len(h.replies), ShouldEqual, count+2)
			for _, reply := range h.replies[count:] {
				So(reply.Orders.Orders[0].Action, ShouldEqual, "start")
			}
		})
		Convey("and by a successor, which never saw them held, when this one is gone", func() {
			h = newHarness("v", "w")
			h.deliverEvents(true, 6, one, two)
			h.announce("v", func(a *schema.WorkerHeartbeat) { held(0)(a); a.Running[0].State = "running" })
			h.announce("w", held(1))
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
			So(h.lastReply().Orders.Orders[0].Task, ShouldEqual, 1)
		})
		Convey("before the failure of one of them breaks it up", func() {
			h = newHarness("v", "w")
			h.deliverEvents(true, 6, one, two)
			h.announce("w", held(1)) // whose start is lost on the way
			h.notified = nil
			h.announce("v", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "failed"}}
			})
			So(h.notified, ShouldBeEmpty)
			h.announce("w", held(1))
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
			h.announce("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Running[0].State = "running" })
			h.deliver(eventloop.Tick{})
			So(h.notified[len(h.notified)-1].(replica.TaskEnded).End.Outcome, ShouldEqual, "failed")
		})
		Convey("also on a worker that has just said that it leaves, but not later", func() {
			h = newHarness("v", "w")
			h.deliverEvents(true, 6, one, two)
			h.announce("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Draining = true })
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
			h.now += drainStartGrace
			h.confirmLeadership(true)
			h.announce("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Draining = true })
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
		})
		Convey("and a worker that leaves while only held lets the group go", func() {
			h.announce("w", func(a *schema.WorkerHeartbeat) { held(1)(a); a.Draining = true })
			h.deliver(eventloop.Tick{})
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
		})
	})
	Convey("A hold that doesn't come about lets all go", t, func() {
		h := newHarness("v", "w")
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.CheckedOut, "v", gang), newEvent(2, 1, 1, queue.CheckedOut, "w", gang))
		h.announce("w", nil)
		h.now += gangHoldTimeout + eventloop.Millisecond
		h.confirmLeadership(true)
		h.announce("v", held(0))
		h.announce("v", held(0))
		h.deliver(eventloop.Tick{})
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
	})
}

func TestSuspectsAreEjected(t *testing.T) {
	Convey("A worker that fails far more than others rests, and is tried again with one task", t, func() {
		h := newHarness("v", "w")
		small := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10}
		fail := func(job uint64) {
			h.announce("w", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: job, Attempt: 1, State: "failed"}}
			})
		}
		h.announce("v", nil)
		for job := uint64(1); job < 8; job++ {
			fail(job)
		}
		h.deliverEvents(true, 1, newEvent(1, 50, 0, queue.Ready, "", small))
		So(h.placements()[0].Worker, ShouldEqual, "v")
		h.now += 11 * eventloop.Second
		h.confirmLeadership(true)
		h.notified = nil
		h.announce("w", nil)
		h.deliverEvents(true, 3, newEvent(1, 51, 0, queue.Ready, "", small), newEvent(2, 52, 0, queue.Ready, "", small), newEvent(3, 53, 0, queue.Ready, "", small))
		So(len(h.placements()), ShouldEqual, 1)
	})
}

func TestTimeLimits(t *testing.T) {
	Convey("A task that runs too long or stands still is stopped and counted as failed", t, func() {
		for _, each := range []*schema.TaskStatus{
			{Queue: "l", Job: 1, Attempt: 1, State: "running", RunUs: 2_000_001},
			{Queue: "l", Job: 1, Attempt: 1, State: "running", RunUs: 1_500_000, IdleUs: 1_000_001},
		} {
			h := newHarness("w")
			limited := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10, TimeLimitUs: 2_000_000, StallTimeoutUs: 1_000_000}
			h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", limited))
			h.announce("w", nil)
			h.announce("w", func(a *schema.WorkerHeartbeat) { a.Running = []*schema.TaskStatus{each} })
			h.deliver(eventloop.Tick{})
			So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "stop")
			h.announce("w", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}}
			})
			So(h.endReports()[0].Outcome, ShouldEqual, "failed")
		}
	})
}

func TestWorkerReportedUsage(t *testing.T) {
	Convey("What a worker says it runs besides leaves no room for an order, whatever was checked out", t, func() {
		step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 600, MemoryMb: 1}
		h := newHarness("w")
		h.announce("w", nil)
		h.deliverEvents(true, 1, newEvent(1, 1, 0, queue.CheckedOut, "w", step))
		// Something of a queue that isn't led here runs there.
		other := &schema.TaskStatus{Queue: "other", Job: 9, Attempt: 1, State: "running", CoresMilli: 500, MemoryMb: 1}
		count := len(h.replies)
		h.announce("w", func(a *schema.WorkerHeartbeat) { a.Running = []*schema.TaskStatus{other} })
		So(len(h.replies), ShouldEqual, count)
		h.announce("w", nil)
		So(h.lastReply().Orders.Orders[0].Action, ShouldEqual, "start")
	})
}

func TestReservedCapacity(t *testing.T) {
	Convey("Room that a checkout on its way will take is given to nobody else", t, func() {
		step := &schema.Step{Name: "s", Tasks: 2, CoresMilli: 600, MemoryMb: 1}
		h := newHarness("w")
		h.announce("w", nil)
		h.deliverEvents(true, 2, newEvent(1, 1, 0, queue.Ready, "", step), newEvent(2, 1, 1, queue.Ready, "", step))
		So(len(h.placements()), ShouldEqual, 1)
		h.notified = nil
		h.announce("w", nil)
		h.deliver(eventloop.Tick{})
		So(len(h.placements()), ShouldEqual, 0)
	})
}
