package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
)

func TestReadIndex(t *testing.T) {
	Convey("A read is served only after a quorum has acknowledged a later round", t, func() {
		r := newCluster(7, ids...)
		r.run(4 * eventloop.Second)
		lead := r.leader()
		So(lead.ReadIndex(r.now, 1), ShouldBeNil)
		r.processReady(lead.self)
		r.run(20 * eventloop.Millisecond)
		So(r.reads[lead.self], ShouldResemble, []uint64{1})
		r.isolate(lead.self)
		So(lead.ReadIndex(r.now, 2), ShouldBeNil)
		r.processReady(lead.self)
		r.run(4 * eventloop.Second)
		So(r.reads[lead.self], ShouldResemble, []uint64{1})
	})
}
