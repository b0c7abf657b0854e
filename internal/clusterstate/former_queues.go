package clusterstate

import (
	"slices"
	"sort"

	"sparnotch/internal/schema"
)

// A queue that leaves the configuration stays placed while it has jobs. The state keeps its route
// until then, so that the route leads to the same queue if it is configured again (AssignNames).

// updateFormerQueues brings FormerQueues up to date after previous was replaced as the current
// configuration.
func (m *StateMachine) updateFormerQueues(previous *schema.Configuration) {
	m.addFormerQueues(previous)
	m.dropObsoleteFormerQueues()
}

// addFormerQueues adds the routes that a configuration gives to queues which are placed, aren't
// configured, and have no entry yet.
func (m *StateMachine) addFormerQueues(configuration *schema.Configuration) {
	routes := newRouteSet(configuration.GetRows())
	for _, queue := range routes.queues {
		if m.Values().HasQueue(queue) || FindQueue(m.state, queue) == nil {
			continue
		}
		at, isListed := m.searchFormerQueue(queue)
		if isListed {
			continue
		}
		defined := routes.byQueue[queue]
		m.state.FormerQueues = slices.Insert(m.state.FormerQueues, at, &schema.FormerQueue{Queue: queue, Host: defined.host, Prefix: defined.prefix})
	}
}

// dropObsoleteFormerQueues removes the entries of queues that are configured again or aren't
// placed any more.
func (m *StateMachine) dropObsoleteFormerQueues() {
	m.state.FormerQueues = slices.DeleteFunc(m.state.FormerQueues, func(former *schema.FormerQueue) bool {
		return m.Values().HasQueue(former.Queue) || FindQueue(m.state, former.Queue) == nil
	})
}

func (m *StateMachine) searchFormerQueue(queue string) (at int, isListed bool) {
	at = sort.Search(len(m.state.FormerQueues), func(k int) bool { return m.state.FormerQueues[k].Queue >= queue })
	return at, at < len(m.state.FormerQueues) && m.state.FormerQueues[at].Queue == queue
}

// formerQueuesByAge returns the former queues in the order in which they were placed.
func (m *StateMachine) formerQueuesByAge() []*schema.FormerQueue {
	byAge := slices.Clone(m.state.FormerQueues)
	slices.SortFunc(byAge, func(a, b *schema.FormerQueue) int {
		return int(FindQueue(m.state, a.Queue).GetGeneration()) - int(FindQueue(m.state, b.Queue).GetGeneration())
	})
	return byAge
}

// completeFormerQueues adds what a replica of an older version, which doesn't maintain
// FormerQueues, has left out of its snapshot: the routes that the queues last had according to
// the history. It changes nothing in a snapshot of this version.
func (m *StateMachine) completeFormerQueues() {
	m.dropObsoleteFormerQueues()
	seen := map[string]bool{}
	for _, configuration := range slices.Backward(m.state.PreviousConfigurations) {
		latest := &schema.Configuration{}
		configured := map[string]bool{}
		for _, row := range configuration.Rows {
			if row.Kind == "queue" && !seen[row.Name] {
				latest.Rows = append(latest.Rows, row)
				configured[row.Name] = true
			}
		}
		m.addFormerQueues(latest)
		for queue := range configured {
			seen[queue] = true
		}
	}
}
