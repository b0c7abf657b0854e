package clusterstate

import (
	"slices"
	"strconv"
	"strings"

	"sparnotch/internal/schema"
)

// FindQueue returns the placement of a queue, or nil if the queue has none. It relies on the
// placements of a state being sorted by queue name.
func FindQueue(state *schema.ClusterState, queue string) *schema.QueuePlacement {
	placements := state.GetQueues()
	if at, found := searchQueue(placements, queue); found {
		return placements[at]
	}
	return nil
}

// searchQueue returns the index of a queue's placement, or the index to insert it at if it
// isn't found.
func searchQueue(placements []*schema.QueuePlacement, queue string) (at int, found bool) {
	return slices.BinarySearchFunc(placements, queue, func(p *schema.QueuePlacement, name string) int { return strings.Compare(p.Queue, name) })
}

// placeQueues applies the controller's decision to remove and to place queues.
func (m *StateMachine) placeQueues(command *schema.PlaceQueues) *Result {
	if !m.HoldsControllerLease(command.FencingToken) {
		return staleTokenResult()
	}
	for _, name := range command.Removed {
		m.removeQueue(name)
	}
	for _, wanted := range command.Queues {
		m.placeQueue(wanted)
	}
	return succeeded()
}

// removeQueue removes the placement of a queue that isn't configured. A queue that is
// configured stays: it was configured again after the controller decided to remove it.
func (m *StateMachine) removeQueue(name string) {
	for k, placement := range m.state.Queues {
		if matchesQueue(placement, name) && !m.Values().HasQueue(placement.Queue) {
			m.state.Queues = append(m.state.Queues[:k:k], m.state.Queues[k+1:]...)
			m.dropObsoleteFormerQueues()
			m.changed = true
			return
		}
	}
}

// matchesQueue reports whether name refers to the placed queue. A name has the form
// "queue#generation", because a command may be delayed until a new queue of the same name
// has been created, which must stay. Logs written by older versions contain the queue's name
// without a generation.
func matchesQueue(placement *schema.QueuePlacement, name string) bool {
	return name == placement.Queue || name == placement.Queue+"#"+strconv.FormatUint(placement.Generation, 10)
}

// placeQueue creates a configured queue with its initial voters, or changes the preferred
// leader if the queue already exists.
func (m *StateMachine) placeQueue(wanted *schema.QueuePlacement) {
	if placement := FindQueue(m.state, wanted.Queue); placement != nil {
		m.changed = m.changed || placement.PreferredLeader != wanted.PreferredLeader
		placement.PreferredLeader = wanted.PreferredLeader
		return
	}
	if !m.Values().HasQueue(wanted.Queue) || len(wanted.InitialVoters) == 0 {
		return
	}
	m.changed = true
	at, _ := searchQueue(m.state.Queues, wanted.Queue)
	m.state.Queues = slices.Insert(m.state.Queues, at, &schema.QueuePlacement{
		Queue: wanted.Queue, Generation: m.nextToken(), InitialVoters: wanted.InitialVoters, PreferredLeader: wanted.PreferredLeader,
	})
}
