package fakeworker

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

var calledBounds = &schema.Bounds{
	MaxWorkerLeaseUs: int64(5 * eventloop.Second), StopTimeoutUs: int64(400 * eventloop.Millisecond), GangTimeoutUs: int64(2 * eventloop.Second), RemoteSlowdownMilli: 1500,
	CheckpointIntervalUs: int64(eventloop.Second), RestoreDelayUs: int64(100 * eventloop.Millisecond),
}

// calledWorkerTest is a called worker that records its replies by the number of the call.
type calledWorkerTest struct {
	*CalledWorker
	lastCall uint64
	replies  map[uint64]agent.Reply
}

func newCalledWorkerTest(worker string, config Config, gangs *Gangs) *calledWorkerTest {
	config.Bounds, config.Cores, config.Memory = calledBounds, 1000, 1000
	return &calledWorkerTest{CalledWorker: NewCalledWorker(eventloop.Second, worker, config, gangs), replies: map[uint64]agent.Reply{}}
}

// send makes the worker handle a call, and returns the number of the call.
func (w *calledWorkerTest) send(now eventloop.Micros, call agent.Call) uint64 {
	w.lastCall++
	call.Number = w.lastCall
	if call.Worker == "" {
		call.Worker = w.ID()
	}
	w.HandleCall(now, call, func(reply agent.Reply) { w.replies[reply.Number] = reply })
	return w.lastCall
}

// call makes the worker handle a call, and returns the reply if the worker gave it at once.
func (w *calledWorkerTest) call(now eventloop.Micros, call agent.Call) agent.Reply {
	return w.replies[w.send(now, call)]
}

func startCall(task, attempt uint32, until eventloop.Micros, text string) agent.Call {
	return agent.Call{Action: agent.Start, Task: agent.TaskName{Job: "j", Task: task}, Attempt: attempt, Text: text, RunDeadline: until, FencingToken: 3}
}

func stopCall(task, attempt uint32) agent.Call {
	return agent.Call{Action: agent.Stop, Task: agent.TaskName{Job: "j", Task: task}, Attempt: attempt, FencingToken: 3}
}

func inspectCall(acknowledged uint64, wait eventloop.Micros) agent.Call {
	return agent.Call{Action: agent.Inspect, FencingToken: 3, AcknowledgedThrough: acknowledged, Wait: wait}
}

func TestCalledWorkerRejections(t *testing.T) {
	const now = 2 * eventloop.Second
	const long = "run_us=60000000"
	Convey("A lower fencing token, an attempt that is over, a late start, too little capacity, and another incarnation are rejected", t, func() {
		w := newCalledWorkerTest("w", Config{EnforcesCapacity: true}, nil)
		until := w.Clock(now) + 4*eventloop.Second
		So(w.call(now, startCall(0, 2, until, long+" cores=600")).Outcome, ShouldEqual, agent.Succeeded)
		So(w.call(now, startCall(0, 2, until, long)).Outcome, ShouldEqual, agent.Succeeded)
		So(w.RunningCount(), ShouldEqual, 1)
		So(w.call(now, startCall(0, 1, until, long)).Reason, ShouldEqual, agent.AttemptOver)
		So(w.call(now, startCall(1, 1, until, long+" cores=600")).Reason, ShouldEqual, agent.NoCapacity)
		So(w.call(now, startCall(1, 1, until, long+" cores=400")).Outcome, ShouldEqual, agent.Succeeded)
		So(w.call(now, startCall(2, 0, until, long)).Reason, ShouldEqual, agent.Malformed)
		old := startCall(2, 1, until, long)
		old.FencingToken = 2
		So(w.call(now, old).Reason, ShouldEqual, agent.StaleToken)
		other := startCall(2, 1, until, long)
		other.Worker = "v"
		So(w.call(now, other).Outcome, ShouldEqual, agent.IncarnationMismatch)
		late := newCalledWorkerTest("w", Config{}, nil)
		So(late.call(now, startCall(0, 1, late.Clock(now), long)).Reason, ShouldEqual, agent.DeadlinePassed)
	})
	Convey("An attempt that was stopped or ended never starts again", t, func() {
		w := newCalledWorkerTest("w", Config{}, nil)
		until := w.Clock(now) + 4*eventloop.Second
		So(w.call(now, stopCall(0, 2)).Outcome, ShouldEqual, agent.Succeeded)
		So(w.call(now, startCall(0, 2, until, long)).Reason, ShouldEqual, agent.AttemptOver)
		So(w.call(now, startCall(0, 3, until, "run_us=1000")).Outcome, ShouldEqual, agent.Succeeded)
		w.Step(now + 1000)
		So(w.call(now+1000, startCall(0, 3, until, long)).Reason, ShouldEqual, agent.AttemptOver)
	})
	Convey("A start without capacity still extends the hold; one with a lower fencing token doesn't", t, func() {
		w := newCalledWorkerTest("w", Config{EnforcesCapacity: true}, nil)
		clock := w.Clock(now)
		w.call(now, startCall(0, 1, clock+eventloop.Second, long))
		So(w.RunDeadline(), ShouldEqual, clock+eventloop.Second)
		w.call(now, startCall(1, 1, clock+2*eventloop.Second, "cores=5000"))
		So(w.RunDeadline(), ShouldEqual, clock+2*eventloop.Second)
		old := startCall(1, 1, clock+3*eventloop.Second, "")
		old.FencingToken = 1
		w.call(now, old)
		So(w.RunDeadline(), ShouldEqual, clock+2*eventloop.Second)
		w.call(now, startCall(0, 1, clock+eventloop.Second, long))
		So(w.RunDeadline(), ShouldEqual, clock+2*eventloop.Second)
		w.call(now, startCall(0, 1, clock+20*eventloop.Second, long))
		So(w.RunDeadline(), ShouldEqual, clock+5*eventloop.Second)
	})
}

func TestCalledRunEnds(t *testing.T) {
	const now = 2 * eventloop.Second
	Convey("Ends have rising numbers, are listed until acknowledged, and complete a waiting inspection", t, func() {
		w := newCalledWorkerTest("w", Config{Fails: func(task agent.TaskName, _ uint32) bool { return task.Task == 1 }}, nil)
		until := w.Clock(now) + 4*eventloop.Second
		w.call(now, startCall(0, 1, until, "run_us=300000"))
		w.call(now, startCall(1, 1, until, "run_us=400000"))
		first := w.send(now, inspectCall(0, eventloop.Second))
		w.Step(now + 199*eventloop.Millisecond)
		So(w.replies, ShouldNotContainKey, first)
		w.Step(now + 200*eventloop.Millisecond)
		So(w.replies[first].Ended, ShouldResemble, []agent.EndedTask{{Number: 1, Task: agent.TaskName{Job: "j", Task: 1}, Attempt: 1, State: "failed"}})
		w.Step(now + 300*eventloop.Millisecond)
		So(w.call(now+300*eventloop.Millisecond, inspectCall(0, 0)).Ended, ShouldHaveLength, 2)
		unacknowledged := w.call(now+300*eventloop.Millisecond, inspectCall(1, 0)).Ended
		So(unacknowledged, ShouldHaveLength, 1)
		So([]any{unacknowledged[0].Number, unacknowledged[0].State}, ShouldResemble, []any{uint64(2), "done"})
		second := w.send(now+eventloop.Second, inspectCall(2, eventloop.Second))
		w.Step(now + 2*eventloop.Second)
		So(w.replies[second].Ended, ShouldBeEmpty)
		So(w.replies, ShouldContainKey, second)
	})
	Convey("An inspection lists 500 ends", t, func() {
		w := newCalledWorkerTest("w", Config{}, nil)
		for k := uint32(0); k < 700; k++ {
			w.call(now, startCall(k, 1, w.Clock(now)+eventloop.Second, "run_us=1000"))
		}
		w.Step(now + 1000)
		So(w.call(now+1000, inspectCall(0, 0)).Ended, ShouldHaveLength, 500)
		So(w.call(now+1000, inspectCall(500, 0)).Ended, ShouldHaveLength, 200)
	})
	Convey("When the hold is over by the worker's own clock all runs are killed", t, func() {
		w := newCalledWorkerTest("w", Config{ClockDrift: 0.98}, nil)
		w.call(now, startCall(0, 1, w.Clock(now)+980*eventloop.Millisecond, "run_us=60000000"))
		w.Step(now + 999*eventloop.Millisecond)
		So(w.RunningCount(), ShouldEqual, 1)
		w.Step(now + 1001*eventloop.Millisecond)
		So(w.call(now+1001*eventloop.Millisecond, inspectCall(0, 0)).Ended[0].State, ShouldEqual, "lapsed")
	})
	Convey("A stop takes its time and saves all progress; the next start goes on from there, after a restore", t, func() {
		w := newCalledWorkerTest("w", Config{}, nil)
		w.call(now, startCall(0, 1, w.Clock(now)+5*eventloop.Second, "run_us=3000000 saves=1"))
		at := now + 1500*eventloop.Millisecond
		So(w.call(at, inspectCall(0, 0)).Running[0].Checkpoint, ShouldEqual, "work=1000000 of=j.0.0.0")
		w.call(at, stopCall(0, 1))
		w.Step(at + 99*eventloop.Millisecond)
		So(w.RunningCount(), ShouldEqual, 1)
		at += 100 * eventloop.Millisecond
		w.Step(at)
		ended := w.call(at, inspectCall(0, 0)).Ended
		So([]any{ended[0].State, ended[0].Checkpoint}, ShouldResemble, []any{"stopped", "work=1600000 of=j.0.0.0"})
		next := startCall(0, 2, w.Clock(at)+5*eventloop.Second, "run_us=3000000 saves=1")
		next.Checkpoint = ended[0].Checkpoint
		w.call(at, next)
		w.Step(at + 1499*eventloop.Millisecond)
		So(w.RunningCount(), ShouldEqual, 1)
		w.Step(at + 1500*eventloop.Millisecond)
		So(w.RunningCount(), ShouldEqual, 0)
	})
}

func TestCalledGangs(t *testing.T) {
	const now = 2 * eventloop.Second
	member := func(task uint32, text string) agent.Call {
		return startCall(task, 1, 6*eventloop.Second, "members=2 run_us=1000000 "+text)
	}
	endStates := func(at eventloop.Micros, list ...*calledWorkerTest) []string {
		var all []string
		for _, w := range list {
			w.Step(at)
		}
		for _, w := range list {
			w.Step(at)
			for _, ended := range w.call(at, inspectCall(0, 0)).Ended {
				all = append(all, ended.State)
			}
		}
		return all
	}
	Convey("Members begin when all have started and are done together, later when they span racks and mustn't", t, func() {
		gangs := NewGangs()
		a, b := newCalledWorkerTest("a", Config{Rack: "r1"}, gangs), newCalledWorkerTest("b", Config{Rack: "r2"}, gangs)
		a.call(now, member(0, "one_rack=1"))
		b.call(now+eventloop.Second, member(1, "one_rack=1"))
		So(endStates(now+2499*eventloop.Millisecond, a, b), ShouldBeEmpty)
		So(endStates(now+2500*eventloop.Millisecond, a, b), ShouldResemble, []string{"done", "done"})
	})
	Convey("A member that waits too long ends alone, and those that start later are broken", t, func() {
		gangs := NewGangs()
		a, b := newCalledWorkerTest("a", Config{}, gangs), newCalledWorkerTest("b", Config{}, gangs)
		a.call(now, member(0, ""))
		So(endStates(now+1999*eventloop.Millisecond, a, b), ShouldBeEmpty)
		So(endStates(now+2*eventloop.Second, a, b), ShouldResemble, []string{"alone"})
		b.call(now+2*eventloop.Second, member(1, ""))
		So(endStates(now+2*eventloop.Second, a, b), ShouldResemble, []string{"alone", "broken"})
	})
	Convey("When one member ends otherwise, the others are broken", t, func() {
		for _, outcome := range []string{"failed", "stopped", "gone"} {
			gangs := NewGangs()
			fails := func(agent.TaskName, uint32) bool { return outcome == "failed" }
			a, b := newCalledWorkerTest("a", Config{Fails: fails}, gangs), newCalledWorkerTest("b", Config{}, gangs)
			a.call(now, member(0, ""))
			b.call(now, member(1, ""))
			switch outcome {
			case "stopped":
				a.call(now, stopCall(0, 1))
			case "gone":
				a.Crash(now)
			}
			b.Step(now + 600*eventloop.Millisecond)
			a.Step(now + 600*eventloop.Millisecond)
			So(endStates(now+600*eventloop.Millisecond, b), ShouldResemble, []string{"broken"})
		}
	})
}

func TestCalledFaults(t *testing.T) {
	const now = 2 * eventloop.Second
	Convey("A call may be refused or lost, its reply lost, or it may be carried out seconds later", t, func() {
		fault := NoFault
		w := newCalledWorkerTest("w", Config{Fault: func(eventloop.Micros, agent.Call) Fault { return fault }}, nil)
		fault = FaultBusy
		So(w.call(now, startCall(0, 1, 9*eventloop.Second, "run_us=60000000")).Outcome, ShouldEqual, agent.Busy)
		callNumbers := map[Fault]uint64{}
		for _, fault = range []Fault{FaultRequestLost, FaultReplyLost, FaultDelayed} {
			callNumbers[fault] = w.send(now, startCall(uint32(fault), 1, 9*eventloop.Second, "run_us=60000000"))
		}
		w.Step(now + replyTimeout - 1)
		So(w.replies, ShouldHaveLength, 1)
		w.Step(now + replyTimeout)
		for _, number := range callNumbers {
			So(w.replies[number].Outcome, ShouldEqual, agent.TimedOut)
		}
		So(w.IsRunning(RunID{agent.TaskName{Job: "j", Task: uint32(FaultReplyLost)}, 1}), ShouldBeTrue)
		So(w.RunningCount(), ShouldEqual, 1)
		w.Step(now + 2*eventloop.Second)
		So(w.IsRunning(RunID{agent.TaskName{Job: "j", Task: uint32(FaultDelayed)}, 1}), ShouldBeTrue)
		So(w.RunningCount(), ShouldEqual, 2)
	})
	Convey("A new incarnation runs nothing, has seen no fencing token, and doesn't get calls that were in flight", t, func() {
		w := newCalledWorkerTest("w", Config{Fault: func(eventloop.Micros, agent.Call) Fault { return FaultDelayed }}, nil)
		w.send(now, startCall(0, 1, 9*eventloop.Second, "run_us=60000000"))
		w.Restart(now, "v")
		So(w.IsDead(), ShouldBeFalse)
		w.Step(now + 3*eventloop.Second)
		So(w.RunningCount(), ShouldEqual, 0)
		So(w.FencingToken(), ShouldEqual, 0)
		So(w.Heartbeat(now).Worker, ShouldEqual, "v")
	})
}
