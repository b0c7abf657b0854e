package raft

// Group time and wall time, as the voters' clocks agree on them.

import (
	"slices"

	"sparnotch/internal/eventloop"
)

// GroupTime is the group's own time: it goes on by the leader's monotonic
// clock and never back.
func (g *Group) GroupTime(now eventloop.Micros) int64 {
	at := g.groupTimeBase + int64(now-g.groupTimeStart)
	if last := g.lastEntryTime(); at < last {
		return last
	}
	return at
}

// wallClockTolerance is how much later than by the last agreement a clock may seem to be
// right; group time stands still without a leader, so a right one is later.
const wallClockTolerance = 50 * eventloop.Millisecond

const (
	minClockJump     = 300 * eventloop.Millisecond // a jump of the middle clock that isn't believed at once
	clockJumpHoldoff = 20 * eventloop.Second       // for so long
)

// WallTime is the median of the voters' wall clocks, so that one clock that
// jumped moves nothing. Our own counts as one of them. While only two are known,
// as for a new leader with a voter away, either may be the wrong one: the lower
// counts that isn't before the time last agreed on, for nothing may start early.
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
	earliest := g.GroupTime(now) + g.wallOffset
	for _, wall := range walls {
		if wall >= earliest-int64(wallClockTolerance) {
			return wall
		}
	}
	return earliest
}

func (g *Group) voterWallClocks(now eventloop.Micros, own int64) []int64 {
	walls := append(make([]int64, 0, len(g.memberSet.Voters)+1), own)
	for _, id := range g.memberSet.Voters {
		if p := g.peers[id]; p != nil && id != g.self && p.wallOffset != 0 {
			walls = append(walls, p.wallOffset+int64(now))
		}
	}
	slices.Sort(walls)
	return walls
}

// UpdateWallOffset notes, while three clocks are known, how wall and group time stand
// to each other; beats carry that to whoever may lead next.
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

// isClockJump tells whether the middle clock has jumped against our steady one, as
// when most clocks are set wrong at once. That isn't believed for a while: a
// clock that was set wrong comes right again. Only where group time may have
// stood still since the last agreement is a later clock no wonder.
func (g *Group) isClockJump(now eventloop.Micros, wall int64) bool {
	if g.wallOffset == 0 || g.clockJumpAt > 0 && now-g.clockJumpAt >= clockJumpHoldoff {
		return false
	}
	jump := wall - g.GroupTime(now) - g.wallOffset
	return jump < -int64(minClockJump) || jump > int64(minClockJump) && g.wallOffsetTerm == g.term
}

// WallOffset is what is to be added to group time for the time of day; false
// while too few clocks are known.
func (g *Group) WallOffset(now eventloop.Micros, own int64) (int64, bool) {
	if g.role != leader || len(g.voterWallClocks(now, own)) < min(2, len(g.memberSet.Voters)) {
		return 0, false
	}
	return g.WallTime(now, own) - g.GroupTime(now), true
}
