package membership

import (
	"maps"
	"slices"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	bootstrapPeriod   = 8 * eventloop.Second  // storage nodes that start this soon after the cluster aren't newly joined
	newlyJoinedPeriod = 30 * eventloop.Second // how long after its start a storage node counts as newly joined
)

// IsNewlyJoined reports whether a storage node recently joined a cluster of this age and never
// ran before. Such a node is assumed to replace another one. The node's uptime is derived from
// its heartbeat count, so a process that has just started can compute it too.
func IsNewlyJoined(member *schema.Member, clusterAge eventloop.Micros) bool {
	uptime := eventloop.Micros(member.Heartbeat) * TickInterval
	return member.HasStorage && member.Incarnation <= 1 && !member.Draining &&
		uptime < newlyJoinedPeriod && uptime+bootstrapPeriod < clusterAge
}

// FindNewlyJoined returns the id of a newly joined storage node that is live, accepts writes and
// isn't one of the voters. It returns an empty string if there is none. A node is live if it was
// heard of within the timeout.
func (v *View) FindNewlyJoined(now, timeout, clusterAge eventloop.Micros, voters []string) string {
	for _, id := range slices.Sorted(maps.Keys(v.Members)) {
		isAvailable := v.IsAlive(id, now, timeout) && !v.RefusesWrites(id) && !slices.Contains(voters, id)
		if isAvailable && IsNewlyJoined(v.Members[id].Member, clusterAge) {
			return id
		}
	}
	return ""
}
