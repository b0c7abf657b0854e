package queue

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestSessions(t *testing.T) {
	Convey("Numbers above the next one are held until the gap is filled, and admitted in order", t, func() {
		h := newHarness()
		So(len(h.enqueue("c", 3, "three", simpleJob(1)).SubmitResults), ShouldEqual, 0)
		So(len(h.enqueue("c", 2, "two", simpleJob(1)).SubmitResults), ShouldEqual, 0)
		effects := h.enqueue("c", 1, "one", simpleJob(1))
		So(len(effects.SubmitResults), ShouldEqual, 3)
		for k, result := range effects.SubmitResults {
			So(result.Number, ShouldEqual, uint64(k+1))
			So(result.Code, ShouldEqual, 201)
		}
		Convey("a number that is sent again is answered again and runs nothing twice", func() {
			effects := h.enqueue("c", 2, "two", simpleJob(1))
			So(effects.SubmitResults[0].Code, ShouldEqual, 200)
			So(h.machine.LiveJobs(), ShouldEqual, 3)
		})
		Convey("the same name with other content is rejected, from any session", func() {
			other := simpleJob(1)
			other.Text = "other"
			So(h.enqueue("d", 1, "two", other).SubmitResults[0].Code, ShouldEqual, 409)
			So(h.enqueue("d", 2, "two", simpleJob(1)).SubmitResults[0].Code, ShouldEqual, 200)
			So(h.machine.LiveJobs(), ShouldEqual, 3)
		})
		Convey("an expired gateway can't submit again what was forgotten", func() {
			h.enqueue("c", 9, "late", simpleJob(1))
			h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_EndSessions{EndSessions: &schema.EndSessions{Gateways: []*schema.ExpiredGateway{{Gateway: "i", Incarnation: 1}}}}})
			So(h.enqueue("c", 4, "four", simpleJob(1)).SubmitResults[0].Code, ShouldEqual, 410)
			So(h.state("four"), ShouldEqual, "unknown")
			So(h.state("late"), ShouldEqual, "unknown")
		})
	})
}

func TestEndedJobNamesAreRetained(t *testing.T) {
	Convey("An ended job's name is retained for the retention period of queue time, and no longer", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "one", simpleJob(1))
		h.checkout(key(1, 0, 0))
		h.now = 5_000_000
		h.settle(key(1, 0, 0), 1)
		So(h.state("one"), ShouldEqual, "complete")
		h.now += DefaultRetentionUs - 1
		So(h.enqueue("c", 2, "one", simpleJob(1)).SubmitResults[0].Code, ShouldEqual, 200)
		So(h.machine.LiveJobs(), ShouldEqual, 0)
		h.now++
		h.tick()
		So(h.state("one"), ShouldEqual, "unknown")
	})
}

// TestNamesOfOtherTenantsAreTaken guards against a tenant that takes over or cancels another
// tenant's job by using its name.
func TestNamesOfOtherTenantsAreTaken(t *testing.T) {
	Convey("Given a job of tenant t", t, func() {
		h := newHarness()
		number := uint64(0)
		submit := func(tenant string) int32 {
			number++
			return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Enqueue{Enqueue: &schema.Enqueue{
				Session: sessionOf("c"), Number: number, Name: "j", Digest: []byte("text"), Job: simpleJob(1), Tenant: tenant,
			}}}).SubmitResults[0].Code
		}
		cancel := func(tenant string) *Effects {
			return h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Cancel{Cancel: &schema.Cancel{Name: "j", Tenant: tenant}}})
		}
		So(submit("t"), ShouldEqual, 201)
		for _, state := range []string{"running", "cancelled"} {
			Convey("another tenant's submission of its name is 409, and its cancel 403, while the job is "+state, func() {
				if state == "cancelled" {
					So(cancel("t").CancelCode, ShouldEqual, 200)
				}
				before := h.machine.Snapshot(false)
				effects := cancel("u")
				So(effects.CancelCode, ShouldEqual, 403)
				So(effects.CancelView, ShouldBeNil)
				So(effects.Events, ShouldBeEmpty)
				So(h.machine.Snapshot(false), ShouldResemble, before)
				So(submit("u"), ShouldEqual, 409)
				So(h.state("j"), ShouldEqual, state)
				So([]int32{submit("t"), submit("")}, ShouldResemble, []int32{200, 200})
				So(cancel("").CancelCode, ShouldEqual, 200)
			})
		}
	})
}
