package clusterstate

import (
	"bytes"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// The name that the author of a configuration gives a queue with a route, or a tenant, is never
// told to callers. They know a queue by its route, that is, by a host and a path prefix, and a
// tenant by its keys. The author's name may therefore change while the jobs of the queue or of the
// tenant live. It is only a label; the name in the rows, by which the cluster knows the queue or
// the tenant, is assigned when that first appears, and stays.
//
// The leader of the cluster state assigns the names before it appends an update to the log, and
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

// AssignNames returns an update as it must be appended to the log: the queues and tenants of its
// rows and of its removed items are named as the cluster names them. If that is how the update
// names them already, it only gets their labels. AssignNames returns the update itself if it can't
// be accepted any more or not yet, because it isn't based on the current configuration. The state
// machine must have applied all earlier updates.
func (m *StateMachine) AssignNames(update *schema.ConfigurationUpdate) *schema.ConfigurationUpdate {
	if !m.isBasedOnCurrent(update) {
		return update
	}
	if !hasLabelsAsNames(update) {
		return m.keepLabels(update)
	}
	queues, tenants := m.newQueueAssignment(update), m.newTenantAssignment(update)
	assigned := proto.Clone(update).(*schema.ConfigurationUpdate)
	assigned.Removed = assignRemoved(update.Removed, map[string]map[string]string{"queue": queues.byLabel, "tenant": tenants.byLabel})
	assigned.Rows = tenants.assignRows(queues.assignRows(update.Rows))
	// Retries are recognized by the digest of what the author sent.
	if digest := updateDigest(update); !bytes.Equal(digest, updateDigest(assigned)) {
		assigned.SubmittedDigest = digest
	}
	return assigned
}

// keepLabels returns an update with the labels that its items have in the current configuration. An
// edit by hand may have lost them: the form in which configurations are edited doesn't show them.
func (m *StateMachine) keepLabels(update *schema.ConfigurationUpdate) *schema.ConfigurationUpdate {
	labels := map[rowID]string{}
	for _, row := range m.state.Configuration.Rows {
		if row.Label != "" {
			labels[rowID{kind: row.Kind, name: row.Name}] = row.Label
		}
	}
	if len(labels) == 0 {
		return update
	}
	labelled := proto.Clone(update).(*schema.ConfigurationUpdate)
	for _, row := range labelled.Rows {
		if row.Label == "" {
			row.Label = labels[rowID{kind: row.Kind, name: row.Name}]
		}
	}
	return labelled
}

func (m *StateMachine) isBasedOnCurrent(update *schema.ConfigurationUpdate) bool {
	current := m.state.Configuration
	if update.Version > 0 {
		return update.BaseVersion == current.Version
	}
	return update.BaseRevision != nil && update.GetBaseRevision() == current.Revision
}

// hasLabelsAsNames reports whether the names of queues and tenants in an update are labels. A
// process of an older version doesn't say so. Its numbered versions mean labels if all their
// queues have routes, as those of authors do whose callers know queues by routes alone.
func hasLabelsAsNames(update *schema.ConfigurationUpdate) bool {
	if update.NamesAreLabels != nil {
		return update.GetNamesAreLabels()
	}
	routes := newRouteSet(update.Rows)
	hasNoRoute := func(row *schema.ConfigurationRow) bool { return row.Kind == "queue" && routes.byQueue[row.Name] == nil }
	return update.Version > 0 && !slices.ContainsFunc(update.Rows, hasNoRoute)
}

// assignRemoved returns the removed items of a patch with names in place of labels, for the kinds
// of items in names. It drops labels that no item has, because an item with another label may have
// such a name.
func assignRemoved(items []*schema.ConfigurationItem, names map[string]map[string]string) []*schema.ConfigurationItem {
	var assigned []*schema.ConfigurationItem
	for _, item := range items {
		nameByLabel, isAssigned := names[item.GetKind()]
		if !isAssigned {
			assigned = append(assigned, item)
		} else if name, isConfigured := nameByLabel[item.GetName()]; isConfigured {
			assigned = append(assigned, &schema.ConfigurationItem{Kind: item.Kind, Name: name})
		}
	}
	return assigned
}

// relabel returns the rows with names in place of labels for the items of a kind.
func relabel(rows []*schema.ConfigurationRow, kind string, nameByLabel map[string]string) []*schema.ConfigurationRow {
	relabelled := slices.Clone(rows)
	for k, row := range rows {
		if name := nameByLabel[row.Name]; row.Kind == kind && name != row.Name {
			relabelled[k] = &schema.ConfigurationRow{Kind: row.Kind, Name: name, Key: row.Key, Value: row.Value, Label: row.Name}
		}
	}
	return relabelled
}

// namesByLabel returns the names of the items of a kind, by label.
func namesByLabel(rows []*schema.ConfigurationRow, kind string) map[string]string {
	names := map[string]string{}
	for _, row := range rows {
		if row.Kind == kind {
			names[labelOf(row)] = row.Name
		}
	}
	return names
}

// removedLabels returns the labels of the items of a kind that an update removes.
func removedLabels(update *schema.ConfigurationUpdate, kind string) map[string]bool {
	removed := map[string]bool{}
	for _, item := range update.Removed {
		if item.GetKind() == kind {
			removed[item.GetName()] = true
		}
	}
	return removed
}

// nameAllocator allocates names for new items of one kind.
type nameAllocator struct {
	revision uint64          // revision of the configuration that creates the items
	isTaken  map[string]bool // names that no new item may get
}

func newNameAllocator(revision uint64) nameAllocator {
	return nameAllocator{revision, map[string]bool{}}
}

func (a nameAllocator) take(name string) { a.isTaken[name] = true }

// allocate returns a name for a new item: its label, or if another item has that name, the label
// with the revision that creates the item.
func (a nameAllocator) allocate(label string) string {
	name := label
	for k := 0; a.isTaken[name]; k++ {
		suffix := "." + strconv.FormatUint(a.revision, 10)
		if k > 0 {
			suffix += "." + strconv.Itoa(k)
		}
		name = label[:min(len(label), maxNameBytes-len(suffix))] + suffix
	}
	a.take(name)
	return name
}
