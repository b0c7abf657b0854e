package fakeworker

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

var calledBounds = &schema.Bounds{
	HoldMostUs: int64(5 * eventloop.Second), StopUs: int64(400 * eventloop.Millisecond), GatherUs: int64(2 * eventloop.Second), AwayMilli: 1500,
	SaveUs: int64(eventloop.Second), RestoreUs: int64(100 * eventloop.Millisecond),
}

// calledWorkerTest is a worker and the replies it gave.
type calledWorkerTest struct {
	*CalledWorker
	lastCall uint64
	replies  map[uint64]agent.Reply
}

func newCalledWorkerTest(worker string, setup Config, gangs *Gangs) *calledWorkerTest {
	setup.Bounds, setup.Cores, setup.Memory = calledBounds, 1000, 1000
	return &calledWorkerTest{CalledWorker: NewCalledWorker(eventloop.Second, worker, setup, gangs), replies: map[uint64]agent.Reply{}}
}

// send sends a call and gives its number.
func (p *calledWorkerTest) send(now eventloop.Micros, call agent.Call) uint64 {
	p.lastCall++
	call.Number = p.lastCall
	if call.Worker == "" {
		call.Worker = p.ID()
	}
	p.HandleCall(now, call, func(reply agent.Reply) { p.replies[reply.Number] = reply })
	return p.lastCall
}

// call is do with the reply that came at once.
func (p *calledWorkerTest) call(now eventloop.Micros, call agent.Call) agent.Reply {
	return p.replies[p.send(now, call)]
}

func startCall(task, attempt uint32, until eventloop.Micros, text string) agent.Call {
	return agent.Call{Action: agent.Start, Task: agent.TaskName{Job: "j", Task: task}, Attempt: attempt, Text: text, HoldUntil: until, FencingToken: 3}
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
	Convey("Lower fences, what is past, what is late, what has no room, what is meant for another life", t, func() {
		p := newCalledWorkerTest("w", Config{EnforcesCapacity: true}, nil)
		until := p.Clock(now) + 4*eventloop.Second
		So(p.call(now, startCall(0, 2, until, long+" cores=600")).Outcome, ShouldEqual, agent.Succeeded)
		So(p.call(now, startCall(0, 2, until, long)).Outcome, ShouldEqual, agent.Succeeded)
		So(p.RunningCount(), ShouldEqual, 1)
		So(p.call(now, startCall(0, 1, until, long)).Reason, ShouldEqual, agent.AttemptOver)
		So(p.call(now, startCall(1, 1, until, long+" cores=600")).Reason, ShouldEqual, agent.NoCapacity)
		So(p.call(now, startCall(1, 1, until, long+" cores=400")).Outcome, ShouldEqual, agent.Succeeded)
		So(p.call(now, startCall(2, 0, until, long)).Reason, ShouldEqual, agent.Malformed)
		old := startCall(2, 1, until, long)
		old.FencingToken = 2
		So(p.call(now, old).Reason, ShouldEqual, agent.StaleToken)
		other := startCall(2, 1, until, long)
		other.Worker = "v"
		So(p.call(now, other).Outcome, ShouldEqual, agent.IncarnationMismatch)
		late := newCalledWorkerTest("w", Config{}, nil)
		So(late.call(now, startCall(0, 1, late.Clock(now), long)).Reason, ShouldEqual, agent.DeadlinePassed)
	})
	Convey("A run that was stopped or ended there never begins again", t, func() {
		p := newCalledWorkerTest("w", Config{}, nil)
		until := p.Clock(now) + 4*eventloop.Second
		So(p.call(now, stopCall(0, 2)).Outcome, ShouldEqual, agent.Succeeded)
		So(p.call(now, startCall(0, 2, until, long)).Reason, ShouldEqual, agent.AttemptOver)
		So(p.call(now, startCall(0, 3, until, "run_us=1000")).Outcome, ShouldEqual, agent.Succeeded)
		p.Step(now + 1000)
		So(p.call(now+1000, startCall(0, 3, until, long)).Reason, ShouldEqual, agent.AttemptOver)
	})
	Convey("A start that is turned away for want of room still lengthens the hold; one of a lower fence doesn't", t, func() {
		p := newCalledWorkerTest("w", Config{EnforcesCapacity: true}, nil)
		clock := p.Clock(now)
		p.call(now, startCall(0, 1, clock+eventloop.Second, long))
		So(p.HoldUntil(), ShouldEqual, clock+eventloop.Second)
		p.call(now, startCall(1, 1, clock+2*eventloop.Second, "cores=5000"))
		So(p.HoldUntil(), ShouldEqual, clock+2*eventloop.Second)
		old := startCall(1, 1, clock+3*eventloop.Second, "")
		old.FencingToken = 1
		p.call(now, old)
		So(p.HoldUntil(), ShouldEqual, clock+2*eventloop.Second)
		p.call(now, startCall(0, 1, clock+eventloop.Second, long))
		So(p.HoldUntil(), ShouldEqual, clock+2*eventloop.Second)
		p.call(now, startCall(0, 1, clock+20*eventloop.Second, long))
		So(p.HoldUntil(), ShouldEqual, clock+5*eventloop.Second)
	})
}

func TestCalledRunEnds(t *testing.T) {
	const now = 2 * eventloop.Second
	Convey("Ends have rising numbers, are listed until noted, and answer a look that waits", t, func() {
		p := newCalledWorkerTest("w", Config{Fails: func(task agent.TaskName, _ uint32) bool { return task.Task == 1 }}, nil)
		until := p.Clock(now) + 4*eventloop.Second
		p.call(now, startCall(0, 1, until, "run_us=300000"))
		p.call(now, startCall(1, 1, until, "run_us=400000"))
		first := p.send(now, inspectCall(0, eventloop.Second))
		p.Step(now + 199*eventloop.Millisecond)
		So(p.replies, ShouldNotContainKey, first)
		p.Step(now + 200*eventloop.Millisecond)
		So(p.replies[first].Ended, ShouldResemble, []agent.EndedTask{{Number: 1, Task: agent.TaskName{Job: "j", Task: 1}, Attempt: 1, State: "failed"}})
		p.Step(now + 300*eventloop.Millisecond)
		So(p.call(now+300*eventloop.Millisecond, inspectCall(0, 0)).Ended, ShouldHaveLength, 2)
		left := p.call(now+300*eventloop.Millisecond, inspectCall(1, 0)).Ended
		So(left, ShouldHaveLength, 1)
		So([]any{left[0].Number, left[0].State}, ShouldResemble, []any{uint64(2), "done"})
		second := p.send(now+eventloop.Second, inspectCall(2, eventloop.Second))
		p.Step(now + 2*eventloop.Second)
		So(p.replies[second].Ended, ShouldBeEmpty)
		So(p.replies, ShouldContainKey, second)
	})
	Convey("A look lists 500 ends", t, func() {
		p := newCalledWorkerTest("w", Config{}, nil)
		for k := uint32(0); k < 700; k++ {
			p.call(now, startCall(k, 1, p.Clock(now)+eventloop.Second, "run_us=1000"))
		}
		p.Step(now + 1000)
		So(p.call(now+1000, inspectCall(0, 0)).Ended, ShouldHaveLength, 500)
		So(p.call(now+1000, inspectCall(500, 0)).Ended, ShouldHaveLength, 200)
	})
	Convey("When the hold is over by its own clock everything is killed", t, func() {
		p := newCalledWorkerTest("w", Config{ClockDrift: 0.98}, nil)
		p.call(now, startCall(0, 1, p.Clock(now)+980*eventloop.Millisecond, "run_us=60000000"))
		p.Step(now + 999*eventloop.Millisecond)
		So(p.RunningCount(), ShouldEqual, 1)
		p.Step(now + 1001*eventloop.Millisecond)
		So(p.call(now+1001*eventloop.Millisecond, inspectCall(0, 0)).Ended[0].State, ShouldEqual, "lapsed")
	})
	Convey("A stop takes its time and keeps all progress; the next start goes on from there, at the price of a restore", t, func() {
		p := newCalledWorkerTest("w", Config{}, nil)
		p.call(now, startCall(0, 1, p.Clock(now)+5*eventloop.Second, "run_us=3000000 saves=1"))
		at := now + 1500*eventloop.Millisecond
		So(p.call(at, inspectCall(0, 0)).Running[0].Checkpoint, ShouldEqual, "work=1000000 of=j.0.0.0")
		p.call(at, stopCall(0, 1))
		p.Step(at + 99*eventloop.Millisecond)
		So(p.RunningCount(), ShouldEqual, 1)
		at += 100 * eventloop.Millisecond
		p.Step(at)
		ended := p.call(at, inspectCall(0, 0)).Ended
		So([]any{ended[0].State, ended[0].Checkpoint}, ShouldResemble, []any{"stopped", "work=1600000 of=j.0.0.0"})
		next := startCall(0, 2, p.Clock(at)+5*eventloop.Second, "run_us=3000000 saves=1")
		next.Checkpoint = ended[0].Checkpoint
		p.call(at, next)
		p.Step(at + 1499*eventloop.Millisecond)
		So(p.RunningCount(), ShouldEqual, 1)
		p.Step(at + 1500*eventloop.Millisecond)
		So(p.RunningCount(), ShouldEqual, 0)
	})
}

func TestCalledGangs(t *testing.T) {
	const now = 2 * eventloop.Second
	member := func(task uint32, text string) agent.Call {
		return startCall(task, 1, 6*eventloop.Second, "members=2 run_us=1000000 "+text)
	}
	hows := func(at eventloop.Micros, list ...*calledWorkerTest) []string {
		var all []string
		for _, p := range list {
			p.Step(at)
		}
		for _, p := range list {
			p.Step(at)
			for _, e := range p.call(at, inspectCall(0, 0)).Ended {
				all = append(all, e.State)
			}
		}
		return all
	}
	Convey("Members begin when all are there and are done together, later when they stand in two racks and mustn't", t, func() {
		gangs := NewGangs()
		a, b := newCalledWorkerTest("a", Config{Rack: "r1"}, gangs), newCalledWorkerTest("b", Config{Rack: "r2"}, gangs)
		a.call(now, member(0, "one_rack=1"))
		b.call(now+eventloop.Second, member(1, "one_rack=1"))
		So(hows(now+2499*eventloop.Millisecond, a, b), ShouldBeEmpty)
		So(hows(now+2500*eventloop.Millisecond, a, b), ShouldResemble, []string{"done", "done"})
	})
	Convey("Who waits too long ends alone, and whoever comes then is broken", t, func() {
		gangs := NewGangs()
		a, b := newCalledWorkerTest("a", Config{}, gangs), newCalledWorkerTest("b", Config{}, gangs)
		a.call(now, member(0, ""))
		So(hows(now+1999*eventloop.Millisecond, a, b), ShouldBeEmpty)
		So(hows(now+2*eventloop.Second, a, b), ShouldResemble, []string{"alone"})
		b.call(now+2*eventloop.Second, member(1, ""))
		So(hows(now+2*eventloop.Second, a, b), ShouldResemble, []string{"alone", "broken"})
	})
	Convey("When one member ends otherwise, the others are broken", t, func() {
		for _, how := range []string{"failed", "stopped", "gone"} {
			gangs := NewGangs()
			fails := func(agent.TaskName, uint32) bool { return how == "failed" }
			a, b := newCalledWorkerTest("a", Config{Fails: fails}, gangs), newCalledWorkerTest("b", Config{}, gangs)
			a.call(now, member(0, ""))
			b.call(now, member(1, ""))
			switch how {
			case "stopped":
				a.call(now, stopCall(0, 1))
			case "gone":
				a.Crash(now)
			}
			b.Step(now + 600*eventloop.Millisecond)
			a.Step(now + 600*eventloop.Millisecond)
			So(hows(now+600*eventloop.Millisecond, b), ShouldResemble, []string{"broken"})
		}
	})
}

func TestCalledFaults(t *testing.T) {
	const now = 2 * eventloop.Second
	Convey("A call may be refused, lost, done unheard, or done seconds later", t, func() {
		fault := NoFault
		p := newCalledWorkerTest("w", Config{Fault: func(eventloop.Micros, agent.Call) Fault { return fault }}, nil)
		fault = FaultBusy
		So(p.call(now, startCall(0, 1, 9*eventloop.Second, "run_us=60000000")).Outcome, ShouldEqual, agent.Busy)
		callNumbers := map[Fault]uint64{}
		for _, fault = range []Fault{FaultRequestLost, FaultReplyLost, FaultDelayed} {
			callNumbers[fault] = p.send(now, startCall(uint32(fault), 1, 9*eventloop.Second, "run_us=60000000"))
		}
		p.Step(now + replyTimeout - 1)
		So(p.replies, ShouldHaveLength, 1)
		p.Step(now + replyTimeout)
		for _, number := range callNumbers {
			So(p.replies[number].Outcome, ShouldEqual, agent.TimedOut)
		}
		So(p.IsRunning(RunID{agent.TaskName{Job: "j", Task: uint32(FaultReplyLost)}, 1}), ShouldBeTrue)
		So(p.RunningCount(), ShouldEqual, 1)
		p.Step(now + 2*eventloop.Second)
		So(p.IsRunning(RunID{agent.TaskName{Job: "j", Task: uint32(FaultDelayed)}, 1}), ShouldBeTrue)
		So(p.RunningCount(), ShouldEqual, 2)
	})
	Convey("A new life runs nothing, has seen no fence, and what was on its way to the former one is lost", t, func() {
		p := newCalledWorkerTest("w", Config{Fault: func(eventloop.Micros, agent.Call) Fault { return FaultDelayed }}, nil)
		p.send(now, startCall(0, 1, 9*eventloop.Second, "run_us=60000000"))
		p.Restart(now, "v")
		So(p.IsDead(), ShouldBeFalse)
		p.Step(now + 3*eventloop.Second)
		So(p.RunningCount(), ShouldEqual, 0)
		So(p.FencingToken(), ShouldEqual, 0)
		So(p.Heartbeat(now).Worker, ShouldEqual, "v")
	})
}
