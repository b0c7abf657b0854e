package queue

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

func TestPaperExample(t *testing.T) {
	Convey("The paper's example: six commands, released at index 2 with the state after B", t, func() {
		h := newHarness()
		h.machine.settings = &schema.ApplySettings{JobRetentionUs: DefaultRetentionUs, SnapshotInterval: 1, MaxRequeues: 9}
		h.enqueue("c", 1, "A", simpleJob(1))
		h.enqueue("c", 2, "B", simpleJob(1))
		h.checkout(key(1, 0, 0), key(2, 0, 0))
		So(h.settle(key(2, 0, 0), 1).ReleaseCursor, ShouldBeNil) // A is still live, and no cached snapshot is below its entry
		h.enqueue("c", 3, "C", simpleJob(1))
		effects := h.settle(key(1, 0, 0), 1)
		So(effects.ReleaseCursor, ShouldNotBeNil)
		So(effects.ReleaseCursor.Index, ShouldEqual, 2)
		snapshot := &schema.QueueSnapshot{}
		So(proto.Unmarshal(effects.ReleaseCursor.Snapshot, snapshot), ShouldBeNil)
		So(snapshot.DehydratedJobs, ShouldEqual, 2)
		for _, jobSnapshot := range snapshot.Jobs {
			So(jobSnapshot.Job.Text, ShouldEqual, "")
		}
		Convey("and replay from there satisfies the checkout from the prefix", func() {
			m, err := Restore("l", 2, effects.ReleaseCursor.Snapshot)
			So(err, ShouldBeNil)
			for k := 2; k < len(h.log); k++ {
				_, err := m.Apply(uint64(k+1), h.groupTimes[k], h.log[k])
				So(err, ShouldBeNil)
			}
			So(bytes.Equal(m.Snapshot(false), h.machine.Snapshot(false)), ShouldBeTrue)
		})
	})
}

func TestReenqueueReleasesLog(t *testing.T) {
	Convey("A long job keeps the log from being released until it is re-enqueued, which changes nothing else of it", t, func() {
		h := newHarness()
		h.enqueue("c", 1, "old", simpleJob(2))
		h.checkout(key(1, 0, 0))
		for k := uint64(2); k < 300; k++ {
			h.enqueue("c", k, fmt.Sprint("n", k), simpleJob(1))
			h.checkout(key(k, 0, 0))
			h.settle(key(k, 0, 0), 1)
		}
		So(h.lastRelease, ShouldBeNil)
		id, index, payload := h.machine.OldestJob()
		So(id, ShouldEqual, 1)
		So(index, ShouldEqual, 1)
		before, _ := h.machine.JobView("old")
		h.apply(&schema.QueueCommand{Body: &schema.QueueCommand_Reenqueue{Reenqueue: &schema.Reenqueue{Job: id, Payload: payload}}})
		after, _ := h.machine.JobView("old")
		So(proto.Equal(before, after), ShouldBeTrue)
		So(h.lastRelease, ShouldNotBeNil)
		So(h.lastRelease.Index, ShouldBeGreaterThan, 700)
		So(h.machine.Reenqueues(), ShouldEqual, 1)
		h.settle(key(1, 0, 0), 1)
		h.checkout(key(1, 0, 1))
		h.settle(key(1, 0, 1), 1)
		So(h.state("old"), ShouldEqual, "complete")
	})
}
