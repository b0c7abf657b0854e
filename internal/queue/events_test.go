package queue

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestEventSequenceHasNoGaps(t *testing.T) {
	Convey("Checkouts and all other events are numbered without gaps", t, func() {
		h := newHarness()
		next := uint64(1)
		check := func(effects *Effects) {
			for _, s := range effects.Events {
				So(s.Sequence, ShouldEqual, next)
				next++
			}
		}
		check(h.enqueue("c", 1, "j", simpleJob(3)))
		check(h.checkout(key(1, 0, 0), key(1, 0, 1)))
		check(h.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST))
		check(h.cancel("j"))
		So(next, ShouldBeGreaterThan, 6)
		So(h.machine.LastSequence(), ShouldEqual, next-1)
	})
}
