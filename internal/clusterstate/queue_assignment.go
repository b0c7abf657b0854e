package clusterstate

import (
	"sparnotch/internal/schema"
)

// A queue with a route is the queue of its route: the route leads to it for as long as it is
// configured or the queue is placed, which it is while it has jobs. A queue without a route is
// known by its name, which is its label.

// queueAssignment assigns queues to the routes of one update.
type queueAssignment struct {
	names      nameAllocator
	byRoute    map[route]string  // configured and former queues, by the part of their route that callers know
	byLabel    map[string]string // configured queues, by label
	isAssigned map[route]bool    // routes of queues that stay in a patched configuration, or that the update has got so far
}

// newQueueAssignment collects the queues that exist before an update.
func (m *StateMachine) newQueueAssignment(update *schema.ConfigurationUpdate) *queueAssignment {
	current := m.state.Configuration
	a := &queueAssignment{
		names: newNameAllocator(current.Revision + 1), byRoute: map[route]string{},
		byLabel: namesByLabel(current.Rows, "queue"), isAssigned: map[route]bool{},
	}
	// If several former queues had the route, the one that was placed last is its queue.
	for _, former := range m.formerQueuesByAge() {
		a.byRoute[(&route{host: former.Host, prefix: former.Prefix}).match()] = former.Queue
	}
	for _, placement := range m.state.Queues {
		a.names.take(placement.Queue)
	}
	for _, queue := range a.byLabel {
		a.names.take(queue)
	}
	isRemoved := removedLabels(update, "queue")
	for queue, defined := range newRouteSet(current.Rows).byQueue {
		a.byRoute[defined.match()] = queue
		if update.IsPatch && !isRemoved[defined.label] {
			a.isAssigned[defined.match()] = true
		}
	}
	return a
}

// assignRows returns the rows with the names of queues in place of their labels.
func (a *queueAssignment) assignRows(rows []*schema.ConfigurationRow) []*schema.ConfigurationRow {
	routes := newRouteSet(rows)
	assigned := map[string]string{}
	for _, row := range rows {
		if _, isKnown := assigned[row.Name]; row.Kind == "queue" && !isKnown {
			assigned[row.Name] = a.assign(row.Name, routes.byQueue[row.Name])
		}
	}
	return relabel(rows, "queue", assigned)
}

// assign returns the queue for a route that the update defines under a label: the queue that has
// the route, or the name of a new one. A route that the configuration would have twice gets a
// new name for the second time, so that validation rejects the update for the route.
func (a *queueAssignment) assign(label string, defined *definedRoute) string {
	if defined == nil {
		return label
	}
	match := defined.match()
	queue, exists := a.byRoute[match]
	if !exists || a.isAssigned[match] {
		queue = a.names.allocate(label)
	}
	a.isAssigned[match] = true
	return queue
}
