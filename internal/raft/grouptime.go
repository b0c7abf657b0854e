package raft

// Group time and wall time.
//
// Group time is the time of the replicated state machine, in µs: each entry carries
// it. It advances by the leader's monotonic clock, never goes back, and stands still
// while there is no leader. Wall time is the time of day, in µs since 1970, as the
// median of the voters' wall clocks, so that one clock that is wrong moves nothing.

import (
	"slices"

	"sparnotch/internal/eventloop"
)

const (
	// wallClockTolerance is how much a wall clock may be behind the time last agreed on
	// and still count as right. It needn't be more: group time stands still without a
	// leader, so a clock that is right is rather ahead of it.
	wallClockTolerance = 50 * eventloop.Millisecond
	// minClockJump is a jump of the median clock that isn't accepted at once.
	minClockJump = 300 * eventloop.Millisecond
	// clockJumpHoldoff is how long a jump must last to be accepted.
	clockJumpHoldoff = 20 * eventloop.Second
)

// GroupTime is the group's time in µs, as this replica as leader would give it to an
// entry now.
func (g *Group) GroupTime(now eventloop.Micros) int64 {
	return max(g.lastEntryTime(), g.groupTimeBase+int64(now-g.groupTimeStart))
}

// WallTime is the agreed wall time in µs; own is this node's wall clock. With three
// clocks or more it is their median. With two, as for a new leader while a voter is
// away, either may be wrong: it is the earlier one that isn't before the time last
// agreed on, since a timed job may start late but not early.
func (g *Group) WallTime(now eventloop.Micros, own int64) int64 {
	walls := g.voterWallClocks(now, own)
	if len(walls) >= 3 {
		if wall := walls[len(walls)/2]; g.isClockJump(now, wall) {
			return g.GroupTime(now) + g.wallOffset
		}
		return walls[len(walls)/2]
	}
	if g.wallOffset == 0 {
		return walls[0]
	}
	agreed := g.GroupTime(now) + g.wallOffset
	for _, wall := range walls {
		if wall >= agreed-int64(wallClockTolerance) {
			return wall
		}
	}
	return agreed
}

// WallOffset is wall time less group time in µs; false if this replica doesn't lead or
// too few clocks are known.
func (g *Group) WallOffset(now eventloop.Micros, own int64) (int64, bool) {
	if g.role != leader || len(g.voterWallClocks(now, own)) < min(2, len(g.memberSet.Voters)) {
		return 0, false
	}
	return g.WallTime(now, own) - g.GroupTime(now), true
}

// UpdateWallOffset records, while three clocks are known, wall time less group time;
// heartbeats carry it to the followers, one of which may lead next.
func (g *Group) UpdateWallOffset(now eventloop.Micros, own int64) {
	walls := g.voterWallClocks(now, own)
	if g.role != leader || len(walls) < 3 {
		return
	}
	wall := walls[len(walls)/2]
	if g.isClockJump(now, wall) {
		if g.clockJumpAt == 0 {
			g.clockJumpAt = now
		}
		return
	}
	g.wallOffset, g.wallOffsetTerm, g.clockJumpAt = wall-g.GroupTime(now), g.term, 0
}

// voterWallClocks are the wall clocks known to this leader, its own among them, in
// order.
func (g *Group) voterWallClocks(now eventloop.Micros, own int64) []int64 {
	walls := append(make([]int64, 0, len(g.memberSet.Voters)+1), own)
	for _, id := range g.memberSet.Voters {
		if p := g.peers[id]; p != nil && id != g.self && p.clockOffset != 0 {
			walls = append(walls, p.clockOffset+int64(now))
		}
	}
	slices.Sort(walls)
	return walls
}

// isClockJump tells whether the median clock has jumped against the monotonic one, as
// when most clocks are set wrong at once. For clockJumpHoldoff that isn't accepted,
// since such clocks are soon set right. A jump forward against an offset of another
// leader is none: group time may have stood still in between.
func (g *Group) isClockJump(now eventloop.Micros, wall int64) bool {
	if g.wallOffset == 0 || g.clockJumpAt > 0 && now-g.clockJumpAt >= clockJumpHoldoff {
		return false
	}
	jump := wall - g.GroupTime(now) - g.wallOffset
	return jump < -int64(minClockJump) || jump > int64(minClockJump) && g.wallOffsetTerm == g.term
}
