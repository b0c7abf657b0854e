package timing

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestTimeouts(t *testing.T) {
	defaults := Timeouts{
		SuspectTimeout: 1500 * eventloop.Millisecond, ReplaceByNewTimeout: 2500 * eventloop.Millisecond, ReplaceTimeout: 6 * eventloop.Second,
		MaxStateAge: eventloop.Second, FormerLeaseTimeout: 1250 * eventloop.Millisecond, QueueRemovalDelay: 4 * eventloop.Second,
	}
	bounds := func(contact, catchUp, acknowledge eventloop.Micros) *schema.Bounds {
		return &schema.Bounds{ContactTimeoutUs: int64(contact), CatchUpUs: int64(catchUp), AcknowledgeTimeoutUs: int64(acknowledge)}
	}
	Convey("Without bounds, and with those of the known deployments, the timeouts are the defaults", t, func() {
		So(FromBounds(nil), ShouldResemble, defaults)
		So(FromBounds(&schema.Bounds{}), ShouldResemble, defaults)
		So(FromBounds(bounds(3*eventloop.Second, 4*eventloop.Second, 4*eventloop.Second)), ShouldResemble, defaults)
		So(FromBounds(bounds(4*eventloop.Second, 6*eventloop.Second, 5*eventloop.Second)), ShouldResemble, defaults)
	})
	Convey("A queue is removed only after twice the time in which a configuration is in force", t, func() {
		So(FromBounds(&schema.Bounds{ConfigApplyUs: 2_500_000}).QueueRemovalDelay, ShouldEqual, 5*eventloop.Second)
	})
	for contact := 500 * eventloop.Millisecond; contact <= 10*eventloop.Second; contact += 500 * eventloop.Millisecond {
		for catchUp := eventloop.Second; catchUp <= 20*eventloop.Second; catchUp += 500 * eventloop.Millisecond {
			Convey(fmt.Sprintf("The inequalities hold with a contact bound of %d ms and a catch-up bound of %d ms", contact/1000, catchUp/1000), t, func() {
				b := bounds(contact, catchUp, contact+eventloop.Second)
				s := FromBounds(b)
				So(2*s.SuspectTimeout, ShouldBeLessThanOrEqualTo, contact)
				So(s.SuspectTimeout, ShouldBeLessThanOrEqualTo, s.ReplaceByNewTimeout)
				So(s.ReplaceByNewTimeout, ShouldBeLessThanOrEqualTo, s.ReplaceTimeout)
				// What the former lease holder placed on the oldest status is waited for.
				So(s.FormerLeaseTimeout, ShouldBeGreaterThanOrEqualTo, s.MaxStateAge+MaxLeaderStatusAge)
				// A repair is done in time, or CanCatchUp says that it can't be.
				if catchUp >= s.SuspectTimeout+RepairDuration {
					So(s.ReplaceByNewTimeout+RepairDuration, ShouldBeLessThanOrEqualTo, catchUp)
					So(CanCatchUp(b), ShouldBeTrue)
				} else {
					So(CanCatchUp(b), ShouldBeFalse)
				}
			})
		}
	}
}
