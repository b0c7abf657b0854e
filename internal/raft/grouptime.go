package raft

// This file implements group time and wall time.
//
// Group time is the time of the replicated state machine, in µs. Each entry carries the
// group time at which it was appended. Group time advances with the leader's monotonic
// clock, never goes back, and stops while there is no leader. Wall time is the time of day,
// in µs since 1970. It is the median of the voters' wall clocks, so that a single wrong
// clock has no effect.

import (
	"slices"

	"sparnotch/internal/eventloop"
)

const (
	// wallClockTolerance is how far a wall clock may be behind the time last agreed on and
	// still count as correct. A small tolerance is enough: group time stops while there is
	// no leader, so a correct clock tends to be ahead of the agreed time, not behind it.
	wallClockTolerance = 50 * eventloop.Millisecond
	// minClockJump is the size from which a jump of the median clock isn't accepted at once.
	minClockJump = 300 * eventloop.Millisecond
	// clockJumpHoldoff is how long a jump must persist before it is accepted.
	clockJumpHoldoff = 20 * eventloop.Second
)

// GroupTime returns the group time, in µs, that this replica would assign, as leader, to an
// entry appended now.
func (g *Group) GroupTime(now eventloop.Micros) int64 {
	return max(g.lastEntryTime(), g.groupTimeBase+int64(now-g.groupTimeStart))
}

// WallTime returns the agreed wall time in µs; ownClock is this node's wall clock in µs. If
// three or more clocks are known, the result is their median. If only two are known, for
// example to a new leader while a voter is down, either may be wrong. The result is then
// the earliest clock that isn't behind the time last agreed on by more than
// wallClockTolerance, because a timed job may start late but not early. If both are behind,
// the result is the time last agreed on.
func (g *Group) WallTime(now eventloop.Micros, ownClock int64) int64 {
	clocks := g.voterWallClocks(now, ownClock)
	if len(clocks) >= 3 {
		if wall := clocks[len(clocks)/2]; g.isClockJump(now, wall) {
			return g.GroupTime(now) + g.wallOffset
		}
		return clocks[len(clocks)/2]
	}
	if g.wallOffset == 0 {
		return clocks[0]
	}
	agreed := g.GroupTime(now) + g.wallOffset
	for _, wall := range clocks {
		if wall >= agreed-int64(wallClockTolerance) {
			return wall
		}
	}
	return agreed
}

// WallOffset returns wall time minus group time in µs, where ownClock is this node's wall
// clock in µs. It returns false if this replica isn't the leader, or if it knows fewer than
// two voters' clocks in a group of several voters.
func (g *Group) WallOffset(now eventloop.Micros, ownClock int64) (int64, bool) {
	if g.role != leader || len(g.voterWallClocks(now, ownClock)) < min(2, len(g.memberSet.Voters)) {
		return 0, false
	}
	return g.WallTime(now, ownClock) - g.GroupTime(now), true
}

// UpdateWallOffset records wall time minus group time, if this replica leads and knows at
// least three clocks; ownClock is this node's wall clock in µs. Heartbeats carry the offset
// to the followers, one of which may become the next leader.
func (g *Group) UpdateWallOffset(now eventloop.Micros, ownClock int64) {
	clocks := g.voterWallClocks(now, ownClock)
	if g.role != leader || len(clocks) < 3 {
		return
	}
	wall := clocks[len(clocks)/2]
	if g.isClockJump(now, wall) {
		if g.clockJumpAt == 0 {
			g.clockJumpAt = now
		}
		return
	}
	g.wallOffset, g.wallOffsetTerm, g.clockJumpAt = wall-g.GroupTime(now), g.term, 0
}

// voterWallClocks returns the voters' wall clocks that are known to this leader, including
// its own, in ascending order.
func (g *Group) voterWallClocks(now eventloop.Micros, ownClock int64) []int64 {
	clocks := append(make([]int64, 0, len(g.memberSet.Voters)+1), ownClock)
	for _, id := range g.memberSet.Voters {
		if p := g.peers[id]; p != nil && id != g.self && p.clockOffset != 0 {
			clocks = append(clocks, p.clockOffset+int64(now))
		}
	}
	slices.Sort(clocks)
	return clocks
}

// isClockJump reports whether the median clock has jumped relative to the monotonic clock,
// which happens if most clocks are set wrong at once. Such a jump isn't accepted before
// clockJumpHoldoff has passed, because the clocks are usually corrected soon. A difference
// forward from an offset that another leader determined doesn't count as a jump, because
// group time may have stopped in between.
func (g *Group) isClockJump(now eventloop.Micros, wall int64) bool {
	if g.wallOffset == 0 || g.clockJumpAt > 0 && now-g.clockJumpAt >= clockJumpHoldoff {
		return false
	}
	jump := wall - g.GroupTime(now) - g.wallOffset
	return jump < -int64(minClockJump) || jump > int64(minClockJump) && g.wallOffsetTerm == g.term
}
