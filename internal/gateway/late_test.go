package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// outcome is a leader's word on the submission that was sent last, for whatever
// session the change makes of its own.
func (d *desk) outcome(code int32, change func(session *schema.Session)) {
	_, submit := d.lastSubmit()
	sent := submit.Enqueues[len(submit.Enqueues)-1]
	session := &schema.Session{Gateway: sent.Session.Gateway, Incarnation: sent.Session.Incarnation, Client: sent.Session.Client}
	change(session)
	d.step(&schema.SubmitResponse{Queue: "l", Leader: "a", Results: []*schema.SubmitResult{{Session: session, Number: sent.Number, Code: code, View: &schema.JobView{Name: "x"}}}})
}

func TestWordForOthers(t *testing.T) {
	Convey("A submission isn't confirmed by word for another front, another life or another session", t, func() {
		d := newDesk()
		request := d.handIn("c", "one")
		for _, code := range []int32{201, 410} {
			for _, change := range []func(*schema.Session){
				func(session *schema.Session) { session.Gateway = "former" },
				func(session *schema.Session) { session.Incarnation-- },
				func(session *schema.Session) { session.Incarnation += 1 << 32 },
				func(session *schema.Session) { session.Client += "0" },
			} {
				d.outcome(code, change)
				So(d.answers, ShouldBeEmpty)
			}
		}
		d.outcome(201, func(*schema.Session) {})
		So(d.answers[request].Code, ShouldEqual, 201)
	})
}

func TestLateAnswers(t *testing.T) {
	ask := func(d *desk, number uint64) {
		d.step(Ask{Request: number, Kind: "plan", Group: clusterstate.Group, Deadline: d.now + eventloop.Second})
	}
	reply := func(d *desk, number uint64, body string) {
		d.step(&schema.Response{Id: number, Code: 200, Body: []byte(body), Group: clusterstate.Group, Leader: "a"})
	}
	Convey("Given two requests", t, func() {
		d := newDesk()
		ask(d, 1)
		ask(d, 2)
		Convey("each gets its own answer, and the first of two", func() {
			reply(d, 2, "two")
			reply(d, 2, "two again")
			reply(d, 1, "one")
			So(string(d.answers[2].Body), ShouldEqual, "two")
			So(string(d.answers[1].Body), ShouldEqual, "one")
		})
		Convey("the answer to one that nobody waits for any more goes to nobody", func() {
			d.step(Forget{Request: 1})
			reply(d, 1, "one")
			So(d.answers, ShouldBeEmpty)
			reply(d, 2, "two")
			So(string(d.answers[2].Body), ShouldEqual, "two")
		})
		Convey("nor does one that comes after the time was over and that was said", func() {
			d.now += 2 * eventloop.Second
			d.step(eventloop.Tick{})
			So(d.answers[1].Code, ShouldBeIn, int32(503), int32(504))
			delete(d.answers, 1)
			reply(d, 1, "one")
			_, isAnswered := d.answers[1]
			So(isAnswered, ShouldBeFalse)
		})
	})
}

func TestRepeatsBearTheirNumber(t *testing.T) {
	Convey("What a silent leader is sent again comes under the same number, and after its answer no more", t, func() {
		d := newDesk()
		document := []byte("a configuration")
		d.step(Ask{Request: 900, Kind: "clusterstate", Group: clusterstate.Group, Body: document, Deadline: d.now + eventloop.Second})
		handedIn := d.handIn("c", "one")
		// arrivals counts what was sent since the last look, by number.
		arrivals := func() (requests, submissions map[uint64]int) {
			requests, submissions = map[uint64]int{}, map[uint64]int{}
			for _, each := range d.sent {
				switch body := each.body.(type) {
				case *schema.Request:
					So(string(body.Body), ShouldEqual, string(document))
					requests[body.Id]++
				case *schema.SubmitRequest:
					for _, enqueue := range body.Enqueues {
						So([]any{enqueue.Name, enqueue.Session.Gateway, enqueue.Session.Incarnation}, ShouldResemble, []any{"one", "me", uint64(1)})
						submissions[enqueue.Number]++
					}
				}
			}
			d.sent = nil
			return requests, submissions
		}
		pass := func() {
			for range 18 {
				d.now += Pace
				d.step(eventloop.Tick{})
			}
		}
		d.step(&membership.View{Members: map[string]membership.MemberStatus{"a": {Member: &schema.Member{Id: "a", HasStorage: true}, LastHeard: d.now}}})
		pass()
		requests, submissions := arrivals()
		So(requests, ShouldHaveLength, 1)
		So(requests[900], ShouldBeGreaterThan, 1)
		So(submissions, ShouldHaveLength, 1)
		So(submissions[1], ShouldBeGreaterThan, 1)
		d.step(&schema.Response{Id: 900, Code: 200, Group: clusterstate.Group, Leader: "a"})
		So(d.answers[900].Code, ShouldEqual, 200)
		d.step(&schema.SubmitResponse{Queue: "l", Leader: "a", Results: []*schema.SubmitResult{{
			Session: &schema.Session{Gateway: "me", Incarnation: 1, Client: "c~1"}, Number: 1, Code: 201, View: &schema.JobView{Name: "one"}}}})
		So(d.answers[handedIn].Code, ShouldEqual, 201)
		pass()
		requests, submissions = arrivals()
		So(requests, ShouldBeEmpty)
		So(submissions, ShouldBeEmpty)
	})
}
