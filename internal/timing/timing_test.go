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
	Convey("Without bounds and with the bounds of the known deployments, the timeouts have their default values", t, func() {
		So(FromBounds(nil), ShouldResemble, defaults)
		So(FromBounds(&schema.Bounds{}), ShouldResemble, defaults)
		So(FromBounds(bounds(3*eventloop.Second, 4*eventloop.Second, 4*eventloop.Second)), ShouldResemble, defaults)
		So(FromBounds(bounds(4*eventloop.Second, 6*eventloop.Second, 5*eventloop.Second)), ShouldResemble, defaults)
	})
	Convey("A queue is removed only after twice the time within which a configuration must be in force", t, func() {
		So(FromBounds(&schema.Bounds{ConfigApplyUs: 2_500_000}).QueueRemovalDelay, ShouldEqual, 5*eventloop.Second)
	})
	for contact := 500 * eventloop.Millisecond; contact <= 10*eventloop.Second; contact += 500 * eventloop.Millisecond {
		for catchUp := eventloop.Second; catchUp <= 20*eventloop.Second; catchUp += 500 * eventloop.Millisecond {
			Convey(fmt.Sprintf("The inequalities hold with a contact bound of %d ms and a catch-up bound of %d ms", contact/1000, catchUp/1000), t, func() {
				b := bounds(contact, catchUp, contact+eventloop.Second)
				timeouts := FromBounds(b)
				So(2*timeouts.SuspectTimeout, ShouldBeLessThanOrEqualTo, contact)
				So(timeouts.SuspectTimeout, ShouldBeLessThanOrEqualTo, timeouts.ReplaceByNewTimeout)
				So(timeouts.ReplaceByNewTimeout, ShouldBeLessThanOrEqualTo, timeouts.ReplaceTimeout)
				// A new lease holder waits long enough even if the former holder placed work
				// by the oldest cluster state and the oldest leader status.
				So(timeouts.FormerLeaseTimeout, ShouldBeGreaterThanOrEqualTo, timeouts.MaxStateAge+MaxLeaderStatusAge)
				// A repair is completed within the catch-up bound, or CanCatchUp reports that
				// this is impossible.
				if catchUp >= timeouts.SuspectTimeout+RepairDuration {
					So(timeouts.ReplaceByNewTimeout+RepairDuration, ShouldBeLessThanOrEqualTo, catchUp)
					So(CanCatchUp(b), ShouldBeTrue)
				} else {
					So(CanCatchUp(b), ShouldBeFalse)
				}
			})
		}
	}
}
