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
		checkSequence := func(effects *Effects) {
			for _, event := range effects.Events {
				So(event.Sequence, ShouldEqual, next)
				next++
			}
		}
		checkSequence(h.enqueue("c", 1, "j", simpleJob(3)))
		checkSequence(h.checkout(key(1, 0, 0), key(1, 0, 1)))
		checkSequence(h.returnTask(key(1, 0, 0), 1, schema.ReturnCause_RETURN_CAUSE_WORKER_LOST))
		checkSequence(h.cancel("j"))
		So(next, ShouldBeGreaterThan, 6)
		So(h.machine.LastSequence(), ShouldEqual, next-1)
	})
}
