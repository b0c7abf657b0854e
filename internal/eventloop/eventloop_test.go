package eventloop

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type echo struct{}

func (echo) Step(_ Micros, mail Mail, out Out) {
	if mail.Body == "break" {
		panic("broken")
	}
	out.Answer(7, mail.Body)
}

type catch struct{ answers chan any }

func (catch) Send(string, any)            {}
func (catch) Dial(string, any)            {}
func (catch) Tell(string, any)            {}
func (c catch) Answer(_ uint64, body any) { c.answers <- body }

func TestProcess(t *testing.T) {
	Convey("Mails reach their table in order, and a table that panics is told of", t, func() {
		p := NewProcess(RealClock())
		out := catch{make(chan any, 16)}
		broken := make(chan string, 1)
		p.Out, p.Broken = out, func(table string, cause any, stack []byte) { broken <- table }
		p.Add("echo", echo{}, 0)
		ctx, cancel := context.WithCancel(context.Background())
		So(p.Post("echo", Mail{Body: 1}), ShouldBeTrue)
		So(p.Post("nobody", Mail{Body: 1}), ShouldBeFalse)
		p.Run(ctx)
		So(p.PostWait("echo", Mail{Body: 2}), ShouldBeTrue)
		So(<-out.answers, ShouldEqual, 1)
		So(<-out.answers, ShouldEqual, 2)
		p.Post("echo", Mail{Body: "break"})
		So(<-broken, ShouldEqual, "echo")
		cancel()
		p.Wait()
	})
	Convey("A full ring loses what is offered, and counts it", t, func() {
		r := NewRing[int](2)
		So(r.Offer(1), ShouldBeTrue)
		So(r.Offer(2), ShouldBeTrue)
		So(r.Offer(3), ShouldBeFalse)
		So(r.Lost(), ShouldEqual, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(r.Put(ctx, 4), ShouldBeFalse)
	})
}
