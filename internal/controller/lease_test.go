package controller

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestAnswersToClaims(t *testing.T) {
	Convey("Given a controller whose claims are answered late", t, func() {
		d := newControllerFixture()
		claim := func() uint64 {
			d.replies = nil
			d.controller.claimLease(d.now, d)
			So(d.replies, ShouldHaveLength, 1)
			return d.replies[0].Id
		}
		reply := func(id uint64, code int32, body string) {
			d.controller.Step(d.now, eventloop.Message{From: "a", Body: &schema.Response{Id: id, Code: code, Body: []byte(body)}}, d)
		}
		first, second := claim(), claim()
		reply(second, 200, `{"lease":9}`)
		So(d.controller.fencingToken, ShouldEqual, 9)
		Convey("an older one's lease doesn't take the place of the newer one's", func() {
			reply(first, 200, `{"lease":8}`)
			So(d.controller.fencingToken, ShouldEqual, 9)
		})
		Convey("nor does an older one's refusal", func() {
			reply(first, 409, `{}`)
			So(d.controller.fencingToken, ShouldEqual, 9)
		})
		Convey("an answer that comes twice counts once", func() {
			until := d.controller.leaseValidUntil
			d.now += eventloop.Second
			reply(second, 200, `{"lease":9}`)
			So(d.controller.leaseValidUntil, ShouldEqual, until)
		})
		Convey("a newer one's counts, whatever it says", func() {
			reply(claim(), 409, `{}`)
			So(d.controller.fencingToken, ShouldEqual, 0)
		})
	})
}
