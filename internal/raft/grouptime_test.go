package raft

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
)

func TestWallTime(t *testing.T) {
	const right, jump = int64(1_800_000_000_000_000), int64(3600 * eventloop.Second)
	setClockOffsets := func(g *Group, offsets map[string]int64) {
		for id, offset := range offsets {
			g.peers[id].clockOffset = offset
		}
	}
	Convey("The median of three clocks counts", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		for k, id := range g.otherMembers() {
			setClockOffsets(g, map[string]int64{id: []int64{right + jump, right}[k]})
		}
		So(g.WallTime(0, right), ShouldEqual, right)
		So(g.WallTime(0, right-jump), ShouldEqual, right)
	})
	Convey("A jump of most clocks is accepted only after a while", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		now, others := r.now, g.otherMembers()
		// wallTimeAfter returns the agreed wall time, minus span, if all clocks are wrong by
		// jump when span has passed.
		wallTimeAfter := func(jump int64, span eventloop.Micros) int64 {
			offsets := map[string]int64{}
			for _, id := range others {
				offsets[id] = right + jump - int64(now)
			}
			setClockOffsets(g, offsets)
			g.UpdateWallOffset(now+span, right+jump+int64(span))
			return g.WallTime(now+span, right+jump+int64(span)) - int64(span)
		}
		So(wallTimeAfter(0, 0), ShouldEqual, right)
		for _, unaccepted := range []int64{jump, -jump, 5_000_000, -5_000_000} {
			So(wallTimeAfter(unaccepted, eventloop.Second), ShouldEqual, right)
			So(wallTimeAfter(unaccepted, 7*eventloop.Second), ShouldEqual, right)
			So(wallTimeAfter(0, 8*eventloop.Second), ShouldEqual, right)
		}
		So(wallTimeAfter(200_000, 9*eventloop.Second), ShouldEqual, right+200_000)
		So(wallTimeAfter(jump, 10*eventloop.Second), ShouldEqual, right+200_000)
		So(wallTimeAfter(jump, 29*eventloop.Second), ShouldEqual, right+200_000)
		So(wallTimeAfter(jump, 30*eventloop.Second), ShouldEqual, right+jump)
	})
	Convey("A time later than a former leader's is no jump: group time may have stood still", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		offsets := map[string]int64{}
		for _, id := range g.otherMembers() {
			offsets[id] = right - int64(r.now)
		}
		setClockOffsets(g, offsets)
		g.wallOffset = right - g.GroupTime(r.now) - 13*int64(eventloop.Second)
		So(g.WallTime(r.now, right), ShouldEqual, right)
		offset, known := g.WallOffset(r.now, right)
		So(known, ShouldBeTrue)
		So(offset, ShouldEqual, right-g.GroupTime(r.now))
		setClockOffsets(g, map[string]int64{g.otherMembers()[0]: 0, g.otherMembers()[1]: 0})
		_, known = g.WallOffset(r.now, right)
		So(known, ShouldBeFalse)
	})
	Convey("Of two clocks the one counts that fits the time last agreed on", t, func() {
		r := newCluster(1, ids...)
		r.run(3 * eventloop.Second)
		g := r.leader()
		now := r.now
		others := g.otherMembers()
		setClockOffsets(g, map[string]int64{others[0]: right - int64(now), others[1]: right - int64(now)})
		g.UpdateWallOffset(now, right)
		g.broadcastHeartbeat(now)
		r.processReady(g.self)
		r.run(20 * eventloop.Millisecond)
		// The leader fails, and its successor knows only one clock in addition to its own.
		r.down[g.self] = true
		r.run(4 * eventloop.Second)
		next := r.leader()
		So(next.self, ShouldNotEqual, g.self)
		for _, id := range next.otherMembers() {
			next.peers[id].clockOffset = 0
		}
		running := others[0]
		if running == next.self {
			running = others[1]
		}
		now, later := r.now, right+int64(4*eventloop.Second)
		for _, test := range []struct{ own, other, want int64 }{
			{later, later + jump, later}, {later + jump, later, later}, {later, later - jump, later}, {later - jump, later, later},
		} {
			next.peers[running].clockOffset = test.other - int64(now)
			So(next.WallTime(now, test.own), ShouldEqual, test.want)
		}
	})
}
