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

// pair is a worker and the replies it gave.
type pair struct {
	*Called
	number  uint64
	replies map[uint64]agent.Reply
}

func newPair(worker string, setup Setup, gangs *Gangs) *pair {
	setup.Bounds, setup.Cores, setup.Memory = calledBounds, 1000, 1000
	return &pair{Called: NewCalled(eventloop.Second, worker, setup, gangs), replies: map[uint64]agent.Reply{}}
}

// do sends a call and gives its number.
func (p *pair) do(now eventloop.Micros, call agent.Call) uint64 {
	p.number++
	call.Number = p.number
	if call.Worker == "" {
		call.Worker = p.Worker()
	}
	p.Take(now, call, func(reply agent.Reply) { p.replies[reply.Number] = reply })
	return p.number
}

// ask is do with the reply that came at once.
func (p *pair) ask(now eventloop.Micros, call agent.Call) agent.Reply {
	return p.replies[p.do(now, call)]
}

func startOf(task, attempt uint32, until eventloop.Micros, text string) agent.Call {
	return agent.Call{Action: agent.Start, Task: agent.TaskName{Job: "j", Task: task}, Attempt: attempt, Text: text, HoldUntil: until, FencingToken: 3}
}

func stopOf(task, attempt uint32) agent.Call {
	return agent.Call{Action: agent.Stop, Task: agent.TaskName{Job: "j", Task: task}, Attempt: attempt, FencingToken: 3}
}

func look(noted uint64, wait eventloop.Micros) agent.Call {
	return agent.Call{Action: agent.Inspect, FencingToken: 3, AcknowledgedThrough: noted, Wait: wait}
}

func TestWhatACalledWorkerTurnsAway(t *testing.T) {
	const now = 2 * eventloop.Second
	const long = "run_us=60000000"
	Convey("Lower fences, what is past, what is late, what has no room, what is meant for another life", t, func() {
		p := newPair("w", Setup{IsGuarding: true}, nil)
		until := p.Clock(now) + 4*eventloop.Second
		So(p.ask(now, startOf(0, 2, until, long+" cores=600")).Outcome, ShouldEqual, agent.Succeeded)
		So(p.ask(now, startOf(0, 2, until, long)).Outcome, ShouldEqual, agent.Succeeded)
		So(p.Running(), ShouldEqual, 1)
		So(p.ask(now, startOf(0, 1, until, long)).Reason, ShouldEqual, agent.AttemptOver)
		So(p.ask(now, startOf(1, 1, until, long+" cores=600")).Reason, ShouldEqual, agent.NoCapacity)
		So(p.ask(now, startOf(1, 1, until, long+" cores=400")).Outcome, ShouldEqual, agent.Succeeded)
		So(p.ask(now, startOf(2, 0, until, long)).Reason, ShouldEqual, agent.Malformed)
		old := startOf(2, 1, until, long)
		old.FencingToken = 2
		So(p.ask(now, old).Reason, ShouldEqual, agent.StaleToken)
		other := startOf(2, 1, until, long)
		other.Worker = "v"
		So(p.ask(now, other).Outcome, ShouldEqual, agent.IncarnationMismatch)
		late := newPair("w", Setup{}, nil)
		So(late.ask(now, startOf(0, 1, late.Clock(now), long)).Reason, ShouldEqual, agent.DeadlinePassed)
	})
	Convey("A run that was stopped or ended there never begins again", t, func() {
		p := newPair("w", Setup{}, nil)
		until := p.Clock(now) + 4*eventloop.Second
		So(p.ask(now, stopOf(0, 2)).Outcome, ShouldEqual, agent.Succeeded)
		So(p.ask(now, startOf(0, 2, until, long)).Reason, ShouldEqual, agent.AttemptOver)
		So(p.ask(now, startOf(0, 3, until, "run_us=1000")).Outcome, ShouldEqual, agent.Succeeded)
		p.Step(now + 1000)
		So(p.ask(now+1000, startOf(0, 3, until, long)).Reason, ShouldEqual, agent.AttemptOver)
	})
	Convey("A start that is turned away for want of room still lengthens the hold; one of a lower fence doesn't", t, func() {
		p := newPair("w", Setup{IsGuarding: true}, nil)
		clock := p.Clock(now)
		p.ask(now, startOf(0, 1, clock+eventloop.Second, long))
		So(p.HeldTo(), ShouldEqual, clock+eventloop.Second)
		p.ask(now, startOf(1, 1, clock+2*eventloop.Second, "cores=5000"))
		So(p.HeldTo(), ShouldEqual, clock+2*eventloop.Second)
		old := startOf(1, 1, clock+3*eventloop.Second, "")
		old.FencingToken = 1
		p.ask(now, old)
		So(p.HeldTo(), ShouldEqual, clock+2*eventloop.Second)
		p.ask(now, startOf(0, 1, clock+eventloop.Second, long))
		So(p.HeldTo(), ShouldEqual, clock+2*eventloop.Second)
		p.ask(now, startOf(0, 1, clock+20*eventloop.Second, long))
		So(p.HeldTo(), ShouldEqual, clock+5*eventloop.Second)
	})
}

func TestHowCalledRunsEnd(t *testing.T) {
	const now = 2 * eventloop.Second
	Convey("Ends have rising numbers, are listed until noted, and answer a look that waits", t, func() {
		p := newPair("w", Setup{Fails: func(task agent.TaskName, _ uint32) bool { return task.Task == 1 }}, nil)
		until := p.Clock(now) + 4*eventloop.Second
		p.ask(now, startOf(0, 1, until, "run_us=300000"))
		p.ask(now, startOf(1, 1, until, "run_us=400000"))
		first := p.do(now, look(0, eventloop.Second))
		p.Step(now + 199*eventloop.Millisecond)
		So(p.replies, ShouldNotContainKey, first)
		p.Step(now + 200*eventloop.Millisecond)
		So(p.replies[first].Ended, ShouldResemble, []agent.EndedTask{{Number: 1, Task: agent.TaskName{Job: "j", Task: 1}, Attempt: 1, State: "failed"}})
		p.Step(now + 300*eventloop.Millisecond)
		So(p.ask(now+300*eventloop.Millisecond, look(0, 0)).Ended, ShouldHaveLength, 2)
		left := p.ask(now+300*eventloop.Millisecond, look(1, 0)).Ended
		So(left, ShouldHaveLength, 1)
		So([]any{left[0].Number, left[0].State}, ShouldResemble, []any{uint64(2), "done"})
		second := p.do(now+eventloop.Second, look(2, eventloop.Second))
		p.Step(now + 2*eventloop.Second)
		So(p.replies[second].Ended, ShouldBeEmpty)
		So(p.replies, ShouldContainKey, second)
	})
	Convey("A look lists 500 ends", t, func() {
		p := newPair("w", Setup{}, nil)
		for k := uint32(0); k < 700; k++ {
			p.ask(now, startOf(k, 1, p.Clock(now)+eventloop.Second, "run_us=1000"))
		}
		p.Step(now + 1000)
		So(p.ask(now+1000, look(0, 0)).Ended, ShouldHaveLength, 500)
		So(p.ask(now+1000, look(500, 0)).Ended, ShouldHaveLength, 200)
	})
	Convey("When the hold is over by its own clock everything is killed", t, func() {
		p := newPair("w", Setup{Drift: 0.98}, nil)
		p.ask(now, startOf(0, 1, p.Clock(now)+980*eventloop.Millisecond, "run_us=60000000"))
		p.Step(now + 999*eventloop.Millisecond)
		So(p.Running(), ShouldEqual, 1)
		p.Step(now + 1001*eventloop.Millisecond)
		So(p.ask(now+1001*eventloop.Millisecond, look(0, 0)).Ended[0].State, ShouldEqual, "lapsed")
	})
	Convey("A stop takes its time and keeps all progress; the next start goes on from there, at the price of a restore", t, func() {
		p := newPair("w", Setup{}, nil)
		p.ask(now, startOf(0, 1, p.Clock(now)+5*eventloop.Second, "run_us=3000000 saves=1"))
		at := now + 1500*eventloop.Millisecond
		So(p.ask(at, look(0, 0)).Running[0].Checkpoint, ShouldEqual, "work=1000000 of=j.0.0.0")
		p.ask(at, stopOf(0, 1))
		p.Step(at + 99*eventloop.Millisecond)
		So(p.Running(), ShouldEqual, 1)
		at += 100 * eventloop.Millisecond
		p.Step(at)
		ended := p.ask(at, look(0, 0)).Ended
		So([]any{ended[0].State, ended[0].Checkpoint}, ShouldResemble, []any{"stopped", "work=1600000 of=j.0.0.0"})
		next := startOf(0, 2, p.Clock(at)+5*eventloop.Second, "run_us=3000000 saves=1")
		next.Checkpoint = ended[0].Checkpoint
		p.ask(at, next)
		p.Step(at + 1499*eventloop.Millisecond)
		So(p.Running(), ShouldEqual, 1)
		p.Step(at + 1500*eventloop.Millisecond)
		So(p.Running(), ShouldEqual, 0)
	})
}

func TestCalledGangs(t *testing.T) {
	const now = 2 * eventloop.Second
	member := func(task uint32, text string) agent.Call {
		return startOf(task, 1, 6*eventloop.Second, "members=2 run_us=1000000 "+text)
	}
	hows := func(at eventloop.Micros, list ...*pair) []string {
		var all []string
		for _, p := range list {
			p.Step(at)
		}
		for _, p := range list {
			p.Step(at)
			for _, e := range p.ask(at, look(0, 0)).Ended {
				all = append(all, e.State)
			}
		}
		return all
	}
	Convey("Members begin when all are there and are done together, later when they stand in two racks and mustn't", t, func() {
		gangs := NewGangs()
		a, b := newPair("a", Setup{Rack: "r1"}, gangs), newPair("b", Setup{Rack: "r2"}, gangs)
		a.ask(now, member(0, "one_rack=1"))
		b.ask(now+eventloop.Second, member(1, "one_rack=1"))
		So(hows(now+2499*eventloop.Millisecond, a, b), ShouldBeEmpty)
		So(hows(now+2500*eventloop.Millisecond, a, b), ShouldResemble, []string{"done", "done"})
	})
	Convey("Who waits too long ends alone, and whoever comes then is broken", t, func() {
		gangs := NewGangs()
		a, b := newPair("a", Setup{}, gangs), newPair("b", Setup{}, gangs)
		a.ask(now, member(0, ""))
		So(hows(now+1999*eventloop.Millisecond, a, b), ShouldBeEmpty)
		So(hows(now+2*eventloop.Second, a, b), ShouldResemble, []string{"alone"})
		b.ask(now+2*eventloop.Second, member(1, ""))
		So(hows(now+2*eventloop.Second, a, b), ShouldResemble, []string{"alone", "broken"})
	})
	Convey("When one member ends otherwise, the others are broken", t, func() {
		for _, how := range []string{"failed", "stopped", "gone"} {
			gangs := NewGangs()
			fails := func(agent.TaskName, uint32) bool { return how == "failed" }
			a, b := newPair("a", Setup{Fails: fails}, gangs), newPair("b", Setup{}, gangs)
			a.ask(now, member(0, ""))
			b.ask(now, member(1, ""))
			switch how {
			case "stopped":
				a.ask(now, stopOf(0, 1))
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
		p := newPair("w", Setup{Fault: func(eventloop.Micros, agent.Call) Fault { return fault }}, nil)
		fault = Refused
		So(p.ask(now, startOf(0, 1, 9*eventloop.Second, "run_us=60000000")).Outcome, ShouldEqual, agent.Busy)
		numbers := map[Fault]uint64{}
		for _, fault = range []Fault{Lost, Unheard, Belated} {
			numbers[fault] = p.do(now, startOf(uint32(fault), 1, 9*eventloop.Second, "run_us=60000000"))
		}
		p.Step(now + patience - 1)
		So(p.replies, ShouldHaveLength, 1)
		p.Step(now + patience)
		for _, number := range numbers {
			So(p.replies[number].Outcome, ShouldEqual, agent.TimedOut)
		}
		So(p.Runs(Run{agent.TaskName{Job: "j", Task: uint32(Unheard)}, 1}), ShouldBeTrue)
		So(p.Running(), ShouldEqual, 1)
		p.Step(now + 2*eventloop.Second)
		So(p.Runs(Run{agent.TaskName{Job: "j", Task: uint32(Belated)}, 1}), ShouldBeTrue)
		So(p.Running(), ShouldEqual, 2)
	})
	Convey("A new life runs nothing, has seen no fence, and what was on its way to the former one is lost", t, func() {
		p := newPair("w", Setup{Fault: func(eventloop.Micros, agent.Call) Fault { return Belated }}, nil)
		p.do(now, startOf(0, 1, 9*eventloop.Second, "run_us=60000000"))
		p.Live(now, "v")
		So(p.IsDead(), ShouldBeFalse)
		p.Step(now + 3*eventloop.Second)
		So(p.Running(), ShouldEqual, 0)
		So(p.Fence(), ShouldEqual, 0)
		So(p.Beat(now).Worker, ShouldEqual, "v")
	})
}
