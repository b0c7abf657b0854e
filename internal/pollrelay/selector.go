package pollrelay

import (
	"hash/fnv"
	"maps"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/schema"
)

// failureMemory is the time after its last failure after which an agent returns to its first relay.
const failureMemory = 20 * eventloop.Second

// Selector chooses the storage node to which an agent sends its polls. After a failure it goes on to
// another relay, and only after all relays to the scheduler itself for one try: that no polls are
// answered may be because the scheduler's node is overloaded, and direct polls would add to that.
type Selector struct {
	members      *membership.View
	configured   *clusterstate.Values
	workers      int // number of workers with a lease
	failures     int // relays tried in vain since the first one; also an index into the route
	lastFailedAt eventloop.Micros
	route        route
}

// route holds the nodes to which an agent may send its polls, in the order in which it tries them.
type route struct {
	worker, scheduler string
	nodes             []string // nil: not determined since the members have changed
}

// SetMembers sets the known members.
func (s *Selector) SetMembers(view *membership.View) { s.members, s.route.nodes = view, nil }

// SetClusterState sets the number of workers and the number of them from which on relays are used.
func (s *Selector) SetClusterState(state *schema.ClusterState) {
	if s.configured == nil {
		s.configured = clusterstate.ParseValues(nil)
	}
	s.configured = s.configured.ForConfiguration(state.GetConfiguration())
	s.workers = len(state.GetWorkerLeases())
}

// Choose returns the relay for the next poll of a worker to its scheduler, or an empty string if the
// agent must poll the scheduler itself.
func (s *Selector) Choose(now eventloop.Micros, worker, scheduler string) string {
	if s.configured == nil || int64(s.workers) < s.configured.Fleet("relayed_workers") || s.members == nil {
		return ""
	}
	if s.route.worker != worker || s.route.scheduler != scheduler || now-s.lastFailedAt > failureMemory {
		s.failures = 0
	}
	if s.route.nodes == nil || s.route.worker != worker || s.route.scheduler != scheduler {
		s.route = route{worker, scheduler, s.nodesFor(now, worker, scheduler)}
	}
	if next := s.route.nodes[s.failures%len(s.route.nodes)]; next != scheduler {
		return next
	}
	return ""
}

// RecordFailure records that the last poll was refused by a relay, or that it wasn't answered.
func (s *Selector) RecordFailure(now eventloop.Micros) {
	s.failures++
	s.lastFailedAt = now
}

// nodesFor returns the nodes of a route: first the storage nodes of the agent's zone, then the others,
// each group from a place that depends on the worker, so that the workers spread over them, and last
// the scheduler itself.
func (s *Selector) nodesFor(now eventloop.Micros, worker, scheduler string) []string {
	var inZone, elsewhere []string
	for _, id := range slices.Sorted(maps.Keys(s.members.Members)) {
		member := s.members.Members[id].Member
		switch {
		case id == scheduler || !member.HasStorage || member.Draining || !canRelayTo(s.members, now, id):
		case member.Zone == s.members.Self.GetZone():
			inZone = append(inZone, id)
		default:
			elsewhere = append(elsewhere, id)
		}
	}
	if !canRelayTo(s.members, now, scheduler) {
		return []string{scheduler}
	}
	return slices.Concat(rotate(inZone, worker), rotate(elsewhere, worker), []string{scheduler})
}

// rotate returns the ids from a place on that is determined by a hash of the worker's name.
func rotate(ids []string, worker string) []string {
	if len(ids) == 0 {
		return nil
	}
	hash := fnv.New32a()
	hash.Write([]byte(worker))
	first := int(hash.Sum32() % uint32(len(ids)))
	return append(slices.Clone(ids[first:]), ids[:first]...)
}
