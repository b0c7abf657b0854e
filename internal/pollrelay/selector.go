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

const (
	// minDirectPeriod is the time for which an agent uses no relay after one has failed. It doubles
	// with each further failure, up to maxDirectPeriod.
	minDirectPeriod = 5 * eventloop.Second
	maxDirectPeriod = 60 * eventloop.Second
)

// Selector chooses the storage node to which an agent sends its polls.
type Selector struct {
	members      *membership.View
	configured   *clusterstate.Values
	workers      int              // number of workers with a lease
	directUntil  eventloop.Micros // until then the agent polls the scheduler itself
	directPeriod eventloop.Micros // length of the last such period; 0: the last relay worked
	choice       choice           // made since the members last changed
}

// choice is the relay for a worker and its scheduler; empty: none.
type choice struct {
	isMade                   bool
	worker, scheduler, relay string
}

// SetMembers sets the known members.
func (s *Selector) SetMembers(view *membership.View) { s.members, s.choice = view, choice{} }

// SetClusterState sets the number of workers and the number of them from which on relays are used.
func (s *Selector) SetClusterState(state *schema.ClusterState) {
	if s.configured == nil {
		s.configured = clusterstate.ParseValues(nil)
	}
	s.configured = s.configured.ForConfiguration(state.GetConfiguration())
	s.workers = len(state.GetWorkerLeases())
}

// Choose returns the relay for the polls of a worker to its scheduler, or an empty string if the
// agent must poll the scheduler itself. It prefers storage nodes in the agent's zone, and spreads
// the workers over them.
func (s *Selector) Choose(now eventloop.Micros, worker, scheduler string) string {
	if s.configured == nil || int64(s.workers) < s.configured.Fleet("relayed_workers") || now < s.directUntil || s.members == nil {
		return ""
	}
	if !s.choice.isMade || s.choice.worker != worker || s.choice.scheduler != scheduler {
		s.choice = choice{true, worker, scheduler, s.chooseAmongMembers(now, worker, scheduler)}
	}
	return s.choice.relay
}

// chooseAmongMembers returns the relay that Choose returns where relays are used.
func (s *Selector) chooseAmongMembers(now eventloop.Micros, worker, scheduler string) string {
	if !canRelayTo(s.members, now, scheduler) {
		return ""
	}
	var inZone, all []string
	for _, id := range slices.Sorted(maps.Keys(s.members.Members)) {
		member := s.members.Members[id].Member
		if id == scheduler || !member.HasStorage || member.Draining || !canRelayTo(s.members, now, id) {
			continue
		}
		all = append(all, id)
		if member.Zone == s.members.Self.GetZone() {
			inZone = append(inZone, id)
		}
	}
	if len(inZone) > 0 {
		return pick(inZone, worker)
	}
	return pick(all, worker)
}

// pick returns one of the ids by a hash of the worker's name, or an empty string if there is none.
func pick(ids []string, worker string) string {
	if len(ids) == 0 {
		return ""
	}
	hash := fnv.New32a()
	hash.Write([]byte(worker))
	return ids[int(hash.Sum32()%uint32(len(ids)))]
}

// RecordAnswer records that a relayed poll was answered by its scheduler.
func (s *Selector) RecordAnswer() { s.directPeriod = 0 }

// RecordFailure records that a relay refused a poll, or that relayed polls were not answered.
func (s *Selector) RecordFailure(now eventloop.Micros) {
	s.directPeriod = min(max(2*s.directPeriod, minDirectPeriod), maxDirectPeriod)
	s.directUntil = now + s.directPeriod
}
