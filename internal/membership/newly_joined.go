package membership

// Stores that have come of late, to take the place of others.

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	bootstrapPeriod   = 8 * eventloop.Second  // a store that started within so long of the first was there when all began
	newlyJoinedPeriod = 30 * eventloop.Second // a store has come of late for so long
)

// IsNewlyJoined tells whether a store has come of late into a cluster of that age: it has
// never run before, so it is there to take another's place. The count of its beats
// tells how long it has run, so that a process that has just started itself knows as
// much as one that has watched.
func IsNewlyJoined(member *schema.Member, clusterAge eventloop.Micros) bool {
	uptime := eventloop.Micros(member.Heartbeat) * TickInterval
	return member.HasStorage && member.Incarnation <= 1 && !member.Draining && uptime < newlyJoinedPeriod && uptime+bootstrapPeriod < clusterAge
}

// FindNewlyJoined is a live store that has come of late and is none of the voters; empty
// where there is none.
func (r *View) FindNewlyJoined(now, timeout, clusterAge eventloop.Micros, voters []string) string {
	for _, id := range slices.Sorted(maps.Keys(r.Members)) {
		if IsNewlyJoined(r.Members[id].Member, clusterAge) && r.IsAlive(id, now, timeout) && !r.RefusesWrites(id) && !slices.Contains(voters, id) {
			return id
		}
	}
	return ""
}
