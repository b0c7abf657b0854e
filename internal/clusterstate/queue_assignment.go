package clusterstate

import (
	"bytes"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// Callers of a queue that has a route know it by the route: by the host and the path prefix. The
// name that the author of a configuration gives the queue is never told to them, and may change
// while the queue's jobs live. The identity of such a queue is therefore its route. The name in
// its rows, under which the cluster places it and its log keeps its jobs, is assigned when the
// route first appears. It stays for as long as the route is configured or the queue is placed,
// and the author's name becomes the label of the rows.
//
// The leader of the cluster state assigns the queues before it appends an update to the log, and
// the log records the result. Replicas of an older version, which only copy the label, therefore
// apply the same rows. The leader must have applied all earlier updates by then, so that it
// assigns by the configuration to which the update will be applied.

// maxNameBytes is the longest name that namePattern allows.
const maxNameBytes = 63

// labelOf returns the name that the author of a configuration gave the item of a row.
func labelOf(row *schema.ConfigurationRow) string {
	if row.Label != "" {
		return row.Label
	}
	return row.Name
}

// AssignQueues returns an update as it must be appended to the log: the queues of its rows and of
// its removed items are named as the cluster names them. It returns the update itself if its
// author knows queues by their names, or if it can't be accepted any more or not yet, because it
// isn't based on the current configuration. The state machine must have applied all earlier
// updates.
func (m *StateMachine) AssignQueues(update *schema.ConfigurationUpdate) *schema.ConfigurationUpdate {
	if !m.isBasedOnCurrent(update) || !m.identifiesByRoute(update) {
		return update
	}
	a := m.newQueueAssignment(update)
	assigned := proto.Clone(update).(*schema.ConfigurationUpdate)
	assigned.Removed = a.assignRemoved(update.Removed)
	assigned.Rows = a.assignRows(update.Rows)
	// Retries are recognized by the digest of what the author sent.
	if digest := updateDigest(update); !bytes.Equal(digest, updateDigest(assigned)) {
		assigned.SubmittedDigest = digest
	}
	return assigned
}

func (m *StateMachine) isBasedOnCurrent(update *schema.ConfigurationUpdate) bool {
	current := m.state.Configuration
	if update.Version > 0 {
		return update.BaseVersion == current.Version
	}
	return update.BaseRevision != nil && update.GetBaseRevision() == current.Revision
}

// identifiesByRoute reports whether the names of queues in an update are only labels. A process
// of an older version doesn't set QueuesByRoute, but once a queue has another name than its
// label, the versions that such a process sends mean labels too.
func (m *StateMachine) identifiesByRoute(update *schema.ConfigurationUpdate) bool {
	return update.QueuesByRoute || update.Version > 0 && hasLabels(m.state.Configuration.Rows)
}

// hasLabels reports whether any row has a label that differs from its name.
func hasLabels(rows []*schema.ConfigurationRow) bool {
	return slices.ContainsFunc(rows, func(row *schema.ConfigurationRow) bool { return row.Label != "" })
}

// queueAssignment assigns queues to the routes of one update.
type queueAssignment struct {
	revision     uint64            // revision of the configuration that the update will create
	queueByRoute map[route]string  // configured and former queues, by the part of their route that callers know
	queueByLabel map[string]string // configured queues, by label
	isTaken      map[string]bool   // names that a new queue must not get
	isAssigned   map[route]bool    // routes of queues that stay in a patched configuration, or that the update has got so far
}

// newQueueAssignment collects the queues that exist before an update.
func (m *StateMachine) newQueueAssignment(update *schema.ConfigurationUpdate) *queueAssignment {
	a := &queueAssignment{
		revision: m.state.Configuration.Revision + 1, queueByRoute: map[route]string{}, queueByLabel: map[string]string{},
		isTaken: map[string]bool{}, isAssigned: map[route]bool{},
	}
	// If several former queues had the route, the one that was placed last is its queue.
	for _, former := range m.formerQueuesByAge() {
		a.queueByRoute[(&route{host: former.Host, prefix: former.Prefix}).match()] = former.Queue
	}
	for _, placement := range m.state.Queues {
		a.isTaken[placement.Queue] = true
	}
	for _, row := range m.state.Configuration.Rows {
		if row.Kind == "queue" {
			a.isTaken[row.Name] = true
			a.queueByLabel[labelOf(row)] = row.Name
		}
	}
	isRemoved := map[string]bool{}
	for _, item := range update.Removed {
		if item.GetKind() == "queue" {
			isRemoved[a.queueByLabel[item.GetName()]] = true
		}
	}
	for queue, defined := range newRouteSet(m.state.Configuration.Rows).byQueue {
		a.queueByRoute[defined.match()] = queue
		if update.IsPatch && !isRemoved[queue] {
			a.isAssigned[defined.match()] = true
		}
	}
	return a
}

// assignRemoved returns the removed items of a patch with the names of queues in place of their
// labels. It drops labels that no queue has, because a queue with another label may have such a
// name.
func (a *queueAssignment) assignRemoved(items []*schema.ConfigurationItem) []*schema.ConfigurationItem {
	var assigned []*schema.ConfigurationItem
	for _, item := range items {
		if item.GetKind() != "queue" {
			assigned = append(assigned, item)
		} else if queue, isConfigured := a.queueByLabel[item.Name]; isConfigured {
			assigned = append(assigned, &schema.ConfigurationItem{Kind: item.Kind, Name: queue})
		}
	}
	return assigned
}

// assignRows returns the rows with the names of queues in place of their labels.
func (a *queueAssignment) assignRows(rows []*schema.ConfigurationRow) []*schema.ConfigurationRow {
	routes := newRouteSet(rows)
	queueByLabel := map[string]string{}
	assigned := make([]*schema.ConfigurationRow, 0, len(rows))
	for _, row := range rows {
		if row.Kind != "queue" {
			assigned = append(assigned, row)
			continue
		}
		queue, isKnown := queueByLabel[row.Name]
		if !isKnown {
			queue = a.assign(row.Name, routes.byQueue[row.Name])
			queueByLabel[row.Name] = queue
		}
		if queue != row.Name {
			row = &schema.ConfigurationRow{Kind: row.Kind, Name: queue, Key: row.Key, Value: row.Value, Label: row.Name}
		}
		assigned = append(assigned, row)
	}
	return assigned
}

// assign returns the queue for a route that the update defines under a label: the queue that has
// the route, or the name of a new one. A route that the configuration would have twice gets a
// new name for the second time, so that validation rejects the update for the route. A queue
// without a route is known by its name, which is its label.
func (a *queueAssignment) assign(label string, defined *definedRoute) string {
	if defined == nil {
		return label
	}
	match := defined.match()
	queue, exists := a.queueByRoute[match]
	if !exists || a.isAssigned[match] {
		queue = a.newName(label)
	}
	a.isAssigned[match], a.isTaken[queue] = true, true
	return queue
}

// newName returns a name for a new queue: its label, or if another queue has that name, the label
// with the revision that creates the queue.
func (a *queueAssignment) newName(label string) string {
	name := label
	for k := 0; a.isTaken[name]; k++ {
		suffix := "." + strconv.FormatUint(a.revision, 10)
		if k > 0 {
			suffix += "." + strconv.Itoa(k)
		}
		name = label[:min(len(label), maxNameBytes-len(suffix))] + suffix
	}
	return name
}
