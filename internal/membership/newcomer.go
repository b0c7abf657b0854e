package membership

// Stores that have come of late, to take the place of others.

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	beginSpan    = 8 * eventloop.Second  // a store that started within so long of the first was there when all began
	newcomerSpan = 30 * eventloop.Second // a store has come of late for so long
)

// IsNewcomer tells whether a store has come of late into a cluster of that age: it has
// never run before, so it is there to take another's place. The count of its beats
// tells how long it has run, so that a process that has just started itself knows as
// much as one that has watched.
func IsNewcomer(member *schema.Member, age eventloop.Micros) bool {
	ran := eventloop.Micros(member.Heartbeat) * Pace
	return member.HasStorage && member.Incarnation <= 1 && !member.Draining && ran < newcomerSpan && ran+beginSpan < age
}

// Newcomer is a live store that has come of late and is none of the voters; empty
// where there is none.
func (r *Roll) Newcomer(now, live, age eventloop.Micros, voters []string) string {
	for _, id := range slices.Sorted(maps.Keys(r.Known)) {
		if IsNewcomer(r.Known[id].Member, age) && r.Live(id, now, live) && !r.Refuses(id) && !slices.Contains(voters, id) {
			return id
		}
	}
	return ""
}
