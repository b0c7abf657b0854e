package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

func TestSubmissionNumbersAndGaps(t *testing.T) {
	Convey("Submissions are numbered, and a confirmed number above the lowest has the gap resent", t, func() {
		h := newHarness()
		first, second, third := h.submit("c", "one"), h.submit("c", "two"), h.submit("c", "three")
		to, submit := h.lastSubmit()
		So(to, ShouldEqual, "a")
		So(submit.Enqueues[0].Number, ShouldEqual, 3)
		So(submit.Enqueues[0].LowestUnconfirmed, ShouldEqual, 1)
		So(len(h.responses), ShouldEqual, 0) // no submission is confirmed before the queue has applied it
		count := len(h.sent)
		h.deliverApplied("a", 3)
		So(h.responses[third].Code, ShouldEqual, 201)
		So(len(h.sent), ShouldEqual, count+1)
		_, again := h.lastSubmit()
		So(len(again.Enqueues), ShouldEqual, 2)
		So(again.Enqueues[0].Number, ShouldEqual, 1)
		h.deliverApplied("a", 1, 2)
		So(h.responses[first].Code, ShouldEqual, 201)
		So(h.responses[second].Code, ShouldEqual, 201)
		// A duplicate outcome is ignored.
		count = len(h.sent)
		h.deliverApplied("a", 1)
		So(len(h.sent), ShouldEqual, count)
	})
	Convey("A new leader is sent everything unconfirmed, also where no client waits any more", t, func() {
		h := newHarness()
		requestID := h.submit("c", "one")
		h.step(ForgetRequest{RequestID: requestID})
		h.step(&schema.SubmitResponse{Queue: "l", Leader: "b"})
		to, submit := h.lastSubmit()
		So(to, ShouldEqual, "b")
		So(submit.Enqueues[0].Name, ShouldEqual, "one")
		Convey("two nodes that name each other don't cause a loop", func() {
			count := len(h.sent)
			for k := 0; k < 100; k++ {
				h.step(&schema.SubmitResponse{Queue: "l", Leader: "a"})
				h.step(&schema.SubmitResponse{Queue: "l", Leader: "b"})
			}
			So(len(h.sent), ShouldBeLessThan, count+3)
			h.now += 60 * eventloop.Millisecond
			h.step(eventloop.Tick{})
			_, submit := h.lastSubmit()
			So(submit.Enqueues[0].Name, ShouldEqual, "one")
		})
	})
	Convey("A gateway that its queue had declared dead reports unknown outcomes, and starts new sessions", t, func() {
		h := newHarness()
		first, second := h.submit("c", "one"), h.submit("c", "two")
		_, submit := h.lastSubmit()
		h.step(&schema.SubmitResponse{Queue: "l", Leader: "a", Results: []*schema.SubmitResult{{Session: submit.Enqueues[0].Session, Number: 1, Code: 410}}})
		So(h.responses[first].Code, ShouldEqual, 504)
		So(h.responses[second].Code, ShouldEqual, 504)
		h.submit("c", "three")
		_, restarted := h.lastSubmit()
		So(restarted.Enqueues[0].Number, ShouldEqual, 1)
		So(restarted.Enqueues[0].Session.Incarnation, ShouldNotEqual, submit.Enqueues[0].Session.Incarnation)
	})
	Convey("One response may hold a gap and then that declaration: nothing is resent in the ended session", t, func() {
		h := newHarness()
		first, second, third := h.submit("c", "one"), h.submit("c", "two"), h.submit("c", "three")
		_, submit := h.lastSubmit()
		session := submit.Enqueues[0].Session
		count := len(h.sent)
		h.step(&schema.SubmitResponse{Queue: "l", Leader: "a", Results: []*schema.SubmitResult{
			{Session: session, Number: 2, Code: 201, View: &schema.JobView{Name: "two"}},
			{Session: session, Number: 3, Code: 410},
		}})
		So(h.responses[first].Code, ShouldEqual, 504)
		So(h.responses[second].Code, ShouldEqual, 201)
		So(h.responses[third].Code, ShouldEqual, 504)
		for _, message := range h.sent[count:] {
			So(message.body, ShouldNotHaveSameTypeAs, submit)
		}
	})
	Convey("So does one that was paused for long", t, func() {
		h := newHarness()
		h.step(eventloop.Tick{})
		requestID := h.submit("c", "one")
		h.now += maxTickGap + eventloop.Second
		h.step(eventloop.Tick{})
		So(h.responses[requestID].Code, ShouldEqual, 504)
	})
}

// TestStaleSubmissionIsAbandoned guards against a gateway that delivers a submission after the
// queue has forgotten that its job was cancelled.
func TestStaleSubmissionIsAbandoned(t *testing.T) {
	Convey("Given a submission that stays unconfirmed", t, func() {
		h := newHarness()
		h.submit("c", "one")
		_, submit := h.lastSubmit()
		old := submit.Enqueues[0].Session
		deadline := h.now + maxUnconfirmedAge
		wait := func() {
			h.now += resendInterval
			h.step(&schema.ClusterStateResponse{Version: 1, Leaders: map[string]string{"l": "a"}}) // renews the read lease
			h.step(eventloop.Tick{})
		}
		for h.now+resendInterval < deadline {
			wait()
		}
		_, submit = h.lastSubmit()
		So(submit.Enqueues[0].Name, ShouldEqual, "one")
		waiting := h.submit("c", "two")
		Convey("its session is ended once it is too old, and nothing of it is sent again", func() {
			wait()
			So(h.responses[waiting].Code, ShouldEqual, 504)
			count := len(h.sent)
			for range 20 {
				wait()
				h.step(&schema.SubmitResponse{Queue: "l", Leader: "b"})
			}
			var ended []*schema.Session
			for _, message := range h.sent[count:] {
				So(message.body, ShouldNotHaveSameTypeAs, submit)
				if request, isEnd := message.body.(*schema.EndSessionsRequest); isEnd {
					ended = append(ended, request.Sessions...)
				}
			}
			So(ended, ShouldResemble, []*schema.Session{old})
			So(h.gateway.unconfirmedCount, ShouldEqual, 0)
			Convey("later submissions are numbered in a new session", func() {
				h.submit("c", "three")
				_, submit := h.lastSubmit()
				So(submit.Enqueues[0].Number, ShouldEqual, 1)
				So(submit.Enqueues[0].Session.Client, ShouldNotEqual, old.Client)
			})
		})
	})
	Convey("A queue remembers a cancel for longer than a gateway resends a submission", t, func() {
		So(int64(maxUnconfirmedAge), ShouldBeLessThan, queue.CancelledNameRetentionUs)
	})
}
