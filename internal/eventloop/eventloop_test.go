package eventloop

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// echo is a component that responds to each message with its body, and panics if the body is
// "panic".
type echo struct{}

func (echo) Step(_ Micros, message Message, effects Effects) {
	if message.Body == "panic" {
		panic("requested by the test")
	}
	effects.Respond(7, message.Body)
}

// recordedEffects passes responses to a channel and drops all other effects.
type recordedEffects struct{ responses chan any }

func (recordedEffects) Send(string, any)             {}
func (recordedEffects) SendToAddress(string, any)    {}
func (recordedEffects) Notify(string, any)           {}
func (r recordedEffects) Respond(_ uint64, body any) { r.responses <- body }

// steppedClock is a Clock that advances by 1 µs with each reading.
type steppedClock struct{ now Micros }

func (c *steppedClock) Now() Micros {
	c.now++
	return c.now
}
func (c *steppedClock) Wall() int64 { return 0 }

func TestProcess(t *testing.T) {
	Convey("A component gets its messages in order, and its panic is reported", t, func() {
		loop := NewLoop(RealClock())
		effects := recordedEffects{make(chan any, 16)}
		panicked := make(chan string, 1)
		loop.Outbound, loop.OnPanic = effects, func(component string, cause any, stack []byte) { panicked <- component }
		loop.Add("echo", echo{}, 0)
		ctx, cancel := context.WithCancel(context.Background())
		So(loop.Post("echo", Message{Body: 1}), ShouldBeTrue)
		So(loop.Post("nobody", Message{Body: 1}), ShouldBeFalse)
		loop.Run(ctx)
		So(loop.PostWait("echo", Message{Body: 2}), ShouldBeTrue)
		So(<-effects.responses, ShouldEqual, 1)
		So(<-effects.responses, ShouldEqual, 2)
		loop.Post("echo", Message{Body: "panic"})
		So(<-panicked, ShouldEqual, "echo")
		cancel()
		loop.Wait()
	})
	Convey("The load of a component counts its steps, their time and the wait in the mailbox, and starts anew when it is taken", t, func() {
		clock := &steppedClock{}
		loop := NewLoop(clock)
		effects := recordedEffects{make(chan any, 16)}
		loop.Outbound = effects
		loop.Add("echo", echo{}, 0)
		loop.Post("echo", Message{Body: 1})
		loop.Post("echo", Message{Body: 2})
		So(loop.TakeLoad()["echo"], ShouldResemble, ComponentLoad{Waiting: 2})
		ctx, cancel := context.WithCancel(context.Background())
		loop.Run(ctx)
		<-effects.responses
		<-effects.responses
		cancel()
		loop.Wait()
		// The clock advances by one with each reading: two posts, and two readings a step.
		So(loop.TakeLoad()["echo"], ShouldResemble, ComponentLoad{Steps: 2, StepTime: 2, MaxWait: 3})
		So(loop.TakeLoad()["echo"], ShouldResemble, ComponentLoad{})
	})
	Convey("TryPut on a full queue drops and counts the item, and Put fails once the context has ended", t, func() {
		queue := NewQueue[int](2)
		So(queue.TryPut(1), ShouldBeTrue)
		So(queue.TryPut(2), ShouldBeTrue)
		So(queue.TryPut(3), ShouldBeFalse)
		So(queue.Dropped(), ShouldEqual, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(queue.Put(ctx, 4), ShouldBeFalse)
	})
}
