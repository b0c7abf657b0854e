package modelcheck

import (
	"slices"
	"time"
)

// Replay executes a schedule in a new world, up to the schedule's end or the first violation,
// and returns that world.
func Replay(limits Limits, seed uint64, steps []Step) *World {
	w := NewWorld(limits, seed)
	for _, step := range steps {
		if w.Execute(step); w.Violation() != "" {
			break
		}
	}
	return w
}

// shrinkTimeout limits the search for a shorter schedule.
const shrinkTimeout = 3 * time.Second

// Shrink returns a violation with a shorter schedule. By delta debugging, it removes runs of
// steps, first half of the schedule and then ever shorter runs, and keeps each removal after
// which isBroken still returns a reason for the world at the schedule's end.
func Shrink(found *Violation, isBroken func(*World) string) *Violation {
	steps := found.Schedule
	deadline := time.Now().Add(shrinkTimeout)
	for size := len(steps) / 2; size > 0 && time.Now().Before(deadline); {
		isShorter := false
		for at := 0; at+size <= len(steps) && time.Now().Before(deadline); {
			shorter := slices.Concat(steps[:at], steps[at+size:])
			if isBroken(Replay(found.Limits, found.Seed, shorter)) != "" {
				steps, isShorter = shorter, true
			} else {
				at += size
			}
		}
		if !isShorter || size > len(steps) {
			size /= 2
		}
	}
	return &Violation{isBroken(Replay(found.Limits, found.Seed, steps)), found.Limits, found.Seed, steps}
}
