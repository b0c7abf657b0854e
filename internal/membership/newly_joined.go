package membership

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	bootstrapPeriod   = 8 * eventloop.Second  // storage nodes that started in it, from the first start on, are initial ones
	newlyJoinedPeriod = 30 * eventloop.Second // how long a storage node counts as newly joined
)

// IsNewlyJoined reports whether a storage node has joined a cluster of that age recently and
// never ran before: then it is there to replace another. Its uptime is known from the count
// of its heartbeats, also to a process that has just started.
func IsNewlyJoined(member *schema.Member, clusterAge eventloop.Micros) bool {
	uptime := eventloop.Micros(member.Heartbeat) * TickInterval
	return member.HasStorage && member.Incarnation <= 1 && !member.Draining &&
		uptime < newlyJoinedPeriod && uptime+bootstrapPeriod < clusterAge
}

// FindNewlyJoined returns the id of a live newly joined storage node that isn't among the
// voters and accepts writes; empty if there is none.
func (v *View) FindNewlyJoined(now, timeout, clusterAge eventloop.Micros, voters []string) string {
	for _, id := range slices.Sorted(maps.Keys(v.Members)) {
		isAvailable := v.IsAlive(id, now, timeout) && !v.RefusesWrites(id) && !slices.Contains(voters, id)
		if isAvailable && IsNewlyJoined(v.Members[id].Member, clusterAge) {
			return id
		}
	}
	return ""
}
