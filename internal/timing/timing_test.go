package timing

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestSpans(t *testing.T) {
	usual := Spans{
		Suspect: 1500 * eventloop.Millisecond, Replaced: 2500 * eventloop.Millisecond, Lost: 6 * eventloop.Second,
		Fresh: eventloop.Second, Ward: 1250 * eventloop.Millisecond,
	}
	bounds := func(contact, catchUp, acknowledge eventloop.Micros) *schema.Bounds {
		return &schema.Bounds{ContactUs: int64(contact), CatchUpUs: int64(catchUp), AcknowledgeUs: int64(acknowledge)}
	}
	Convey("Without bounds, and with those of the deployments that are known, the spans are the usual ones", t, func() {
		So(Of(nil), ShouldResemble, usual)
		So(Of(&schema.Bounds{}), ShouldResemble, usual)
		So(Of(bounds(3*eventloop.Second, 4*eventloop.Second, 4*eventloop.Second)), ShouldResemble, usual)
		So(Of(bounds(4*eventloop.Second, 6*eventloop.Second, 5*eventloop.Second)), ShouldResemble, usual)
	})
	for contact := 500 * eventloop.Millisecond; contact <= 10*eventloop.Second; contact += 500 * eventloop.Millisecond {
		for catchUp := eventloop.Second; catchUp <= 20*eventloop.Second; catchUp += 500 * eventloop.Millisecond {
			Convey(fmt.Sprintf("The sums hold with a contact of %d ms and a catch-up of %d ms", contact/1000, catchUp/1000), t, func() {
				b := bounds(contact, catchUp, contact+eventloop.Second)
				s := Of(b)
				So(2*s.Suspect, ShouldBeLessThanOrEqualTo, contact)
				So(s.Suspect, ShouldBeLessThanOrEqualTo, s.Replaced)
				So(s.Replaced, ShouldBeLessThanOrEqualTo, s.Lost)
				// What the former ward granted on the oldest word is waited for.
				So(s.Ward, ShouldBeGreaterThanOrEqualTo, s.Fresh+ActSpan)
				// A repair is done in time, or the deployment is told that it can't be.
				if catchUp >= s.Suspect+RepairSpan {
					So(s.Replaced+RepairSpan, ShouldBeLessThanOrEqualTo, catchUp)
					So(CanCatchUp(b), ShouldBeTrue)
				} else {
					So(CanCatchUp(b), ShouldBeFalse)
				}
			})
		}
	}
}
