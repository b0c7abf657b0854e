package eventloop

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type echo struct{}

func (echo) Step(_ Micros, mail Message, out Effects) {
	if mail.Body == "break" {
		panic("broken")
	}
	out.Respond(7, mail.Body)
}

type recordedEffects struct{ responses chan any }

func (recordedEffects) Send(string, any)             {}
func (recordedEffects) Dial(string, any)             {}
func (recordedEffects) Notify(string, any)           {}
func (c recordedEffects) Respond(_ uint64, body any) { c.responses <- body }

func TestProcess(t *testing.T) {
	Convey("Mails reach their table in order, and a table that panics is told of", t, func() {
		p := NewProcess(RealClock())
		out := recordedEffects{make(chan any, 16)}
		broken := make(chan string, 1)
		p.Outbound, p.OnPanic = out, func(table string, cause any, stack []byte) { broken <- table }
		p.Add("echo", echo{}, 0)
		ctx, cancel := context.WithCancel(context.Background())
		So(p.Post("echo", Message{Body: 1}), ShouldBeTrue)
		So(p.Post("nobody", Message{Body: 1}), ShouldBeFalse)
		p.Run(ctx)
		So(p.PostWait("echo", Message{Body: 2}), ShouldBeTrue)
		So(<-out.responses, ShouldEqual, 1)
		So(<-out.responses, ShouldEqual, 2)
		p.Post("echo", Message{Body: "break"})
		So(<-broken, ShouldEqual, "echo")
		cancel()
		p.Wait()
	})
	Convey("A full ring loses what is offered, and counts it", t, func() {
		r := NewQueue[int](2)
		So(r.TryPut(1), ShouldBeTrue)
		So(r.TryPut(2), ShouldBeTrue)
		So(r.TryPut(3), ShouldBeFalse)
		So(r.Dropped(), ShouldEqual, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(r.Put(ctx, 4), ShouldBeFalse)
	})
}
