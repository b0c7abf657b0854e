package raft

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
)

// Guards against sending each entry to each peer in an Append of its own, which caused
// thousands of messages per second under load.
func TestEntriesProposedTogetherShareAppends(t *testing.T) {
	Convey("While Appends are in flight to a peer, further entries wait and go in one", t, func() {
		r := newCluster(7, ids...)
		r.run(4 * eventloop.Second)
		r.appendCount, r.ordered = 0, true
		const entries = 40
		for k := range entries {
			r.propose(fmt.Sprint(k))
		}
		r.run(500 * eventloop.Millisecond)
		for _, id := range ids {
			So(len(r.applied[id]), ShouldEqual, entries)
		}
		// Each of the two peers gets two Appends at once, and a third one with the other entries.
		So(r.appendCount, ShouldBeLessThanOrEqualTo, 6)
	})
	Convey("With an append interval, entries that follow a first one wait for the next call of FlushAppends", t, func() {
		r := newCluster(9, ids...)
		r.run(4 * eventloop.Second)
		for _, id := range ids {
			r.groups[id].SetAppendInterval(SharedAppendInterval)
		}
		r.appendCount, r.ordered = 0, true
		for k := range 10 {
			r.propose(fmt.Sprint(k))
		}
		lead := r.leader()
		So(lead.HasWaitingEntries(), ShouldBeTrue)
		lead.FlushAppends(r.now + SharedAppendInterval - 1)
		So(lead.HasWaitingEntries(), ShouldBeTrue)
		lead.FlushAppends(r.now + SharedAppendInterval)
		So(lead.HasWaitingEntries(), ShouldBeFalse)
		r.run(500 * eventloop.Millisecond)
		for _, id := range ids {
			So(len(r.applied[id]), ShouldEqual, 10)
		}
		// Each of the two peers gets the first entry, and the others together.
		So(r.appendCount, ShouldBeLessThanOrEqualTo, 4)
	})
	Convey("Where Appends in flight are lost, all entries arrive nevertheless", t, func() {
		r := newCluster(8, ids...)
		r.run(4 * eventloop.Second)
		lead, lagging := r.leader(), membersExcept(r.leader().self)[0]
		r.blocked = func(from, to string) bool { return from == lead.self && to == lagging }
		for k := range 10 {
			r.propose(fmt.Sprint(k))
		}
		r.run(20 * eventloop.Millisecond)
		r.blocked = func(string, string) bool { return false }
		r.run(eventloop.Second)
		So(len(r.applied[lagging]), ShouldEqual, 10)
	})
}
