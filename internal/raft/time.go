package raft

// Group time and wall time, as the voters' clocks agree on them.

import (
	"slices"

	"sparnotch/internal/eventloop"
)

// GroupTime is the group's own time: it goes on by the leader's monotonic
// clock and never back.
func (g *Group) GroupTime(now eventloop.Micros) int64 {
	at := g.timeBase + int64(now-g.timeMono)
	if last := g.lastAt(); at < last {
		return last
	}
	return at
}

// wallSlack is how much later than by the last agreement a clock may seem to be
// right; group time stands still without a leader, so a right one is later.
const wallSlack = 50 * eventloop.Millisecond

const (
	stepLeast = 300 * eventloop.Millisecond // a jump of the middle clock that isn't believed at once
	stepSpan  = 20 * eventloop.Second       // for so long
)

// WallTime is the median of the voters' wall clocks, so that one clock that
// jumped moves nothing. Our own counts as one of them. While only two are known,
// as for a new leader with a voter away, either may be the wrong one: the lower
// counts that isn't before the time last agreed on, for nothing may start early.
func (g *Group) WallTime(now eventloop.Micros, own int64) int64 {
	walls := g.walls(now, own)
	if len(walls) >= 3 {
		if wall := walls[len(walls)/2]; g.isStep(now, wall) {
			return g.GroupTime(now) + g.wallOffset
		}
		return walls[len(walls)/2]
	}
	if g.wallOffset == 0 {
		return walls[0]
	}
	least := g.GroupTime(now) + g.wallOffset
	for _, wall := range walls {
		if wall >= least-int64(wallSlack) {
			return wall
		}
	}
	return least
}

func (g *Group) walls(now eventloop.Micros, own int64) []int64 {
	walls := append(make([]int64, 0, len(g.memberSet.Voters)+1), own)
	for _, id := range g.memberSet.Voters {
		if p := g.peers[id]; p != nil && id != g.self && p.wall != 0 {
			walls = append(walls, p.wall+int64(now))
		}
	}
	slices.Sort(walls)
	return walls
}

// AgreeWall notes, while three clocks are known, how wall and group time stand
// to each other; beats carry that to whoever may lead next.
func (g *Group) AgreeWall(now eventloop.Micros, own int64) {
	walls := g.walls(now, own)
	if g.role != leader || len(walls) < 3 {
		return
	}
	wall := walls[len(walls)/2]
	if g.isStep(now, wall) {
		if g.steppedAt == 0 {
			g.steppedAt = now
		}
		return
	}
	g.wallOffset, g.wallTerm, g.steppedAt = wall-g.GroupTime(now), g.term, 0
}

// isStep tells whether the middle clock has jumped against our steady one, as
// when most clocks are set wrong at once. That isn't believed for a while: a
// clock that was set wrong comes right again. Only where group time may have
// stood still since the last agreement is a later clock no wonder.
func (g *Group) isStep(now eventloop.Micros, wall int64) bool {
	if g.wallOffset == 0 || g.steppedAt > 0 && now-g.steppedAt >= stepSpan {
		return false
	}
	jump := wall - g.GroupTime(now) - g.wallOffset
	return jump < -int64(stepLeast) || jump > int64(stepLeast) && g.wallTerm == g.term
}

// WallOffset is what is to be added to group time for the time of day; false
// while too few clocks are known.
func (g *Group) WallOffset(now eventloop.Micros, own int64) (int64, bool) {
	if g.role != leader || len(g.walls(now, own)) < min(2, len(g.memberSet.Voters)) {
		return 0, false
	}
	return g.WallTime(now, own) - g.GroupTime(now), true
}
