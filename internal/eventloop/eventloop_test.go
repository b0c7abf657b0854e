package eventloop

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// echo responds with each message, and panics on request.
type echo struct{}

func (echo) Step(_ Micros, message Message, effects Effects) {
	if message.Body == "panic" {
		panic("requested")
	}
	effects.Respond(7, message.Body)
}

// recordedEffects keeps the responses and drops the rest.
type recordedEffects struct{ responses chan any }

func (recordedEffects) Send(string, any)             {}
func (recordedEffects) SendToAddress(string, any)    {}
func (recordedEffects) Notify(string, any)           {}
func (c recordedEffects) Respond(_ uint64, body any) { c.responses <- body }

func TestProcess(t *testing.T) {
	Convey("Messages reach their component in order, and a panic is reported", t, func() {
		p := NewLoop(RealClock())
		effects := recordedEffects{make(chan any, 16)}
		panicked := make(chan string, 1)
		p.Outbound, p.OnPanic = effects, func(component string, cause any, stack []byte) { panicked <- component }
		p.Add("echo", echo{}, 0)
		ctx, cancel := context.WithCancel(context.Background())
		So(p.Post("echo", Message{Body: 1}), ShouldBeTrue)
		So(p.Post("nobody", Message{Body: 1}), ShouldBeFalse)
		p.Run(ctx)
		So(p.PostWait("echo", Message{Body: 2}), ShouldBeTrue)
		So(<-effects.responses, ShouldEqual, 1)
		So(<-effects.responses, ShouldEqual, 2)
		p.Post("echo", Message{Body: "panic"})
		So(<-panicked, ShouldEqual, "echo")
		cancel()
		p.Wait()
	})
	Convey("A full queue drops items and counts them", t, func() {
		q := NewQueue[int](2)
		So(q.TryPut(1), ShouldBeTrue)
		So(q.TryPut(2), ShouldBeTrue)
		So(q.TryPut(3), ShouldBeFalse)
		So(q.Dropped(), ShouldEqual, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(q.Put(ctx, 4), ShouldBeFalse)
	})
}
