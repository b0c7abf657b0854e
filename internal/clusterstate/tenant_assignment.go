package clusterstate

import (
	"slices"
	"strings"

	"sparnotch/internal/schema"
)

// Callers know a tenant by its keys; its name is never told to them. A tenant that holds keys of a
// tenant which the previous configuration has under another name is therefore that tenant, and its
// jobs and what they use remain its own. Keys come and go, so a tenant that holds none of
// anybody's keys is recognized by its name.

// tenantAssignment assigns tenants to the labels of one update.
type tenantAssignment struct {
	names    nameAllocator
	byLabel  map[string]string // configured tenants, by label
	byKey    map[string]string // configured and former tenants, by the hash of a key
	assigned map[string]string // tenants of the update, by label
	isHeld   map[string]bool   // tenants that stay in a patched configuration, or that the update has got so far
}

// newTenantAssignment collects the tenants that exist before an update.
func (m *StateMachine) newTenantAssignment(update *schema.ConfigurationUpdate) *tenantAssignment {
	current := m.state.Configuration
	a := &tenantAssignment{
		names: newNameAllocator(current.Revision + 1), byLabel: namesByLabel(current.Rows, "tenant"), byKey: map[string]string{},
		assigned: map[string]string{}, isHeld: map[string]bool{},
	}
	for _, rows := range [][]*schema.ConfigurationRow{current.FormerTenants, current.Rows} {
		for _, row := range rows {
			if row.Kind != "tenant" {
				continue
			}
			a.names.take(row.Name)
			for _, hash := range keyHashesOf(row) {
				a.byKey[hash] = row.Name
			}
		}
	}
	isRemoved := removedLabels(update, "tenant")
	for label, name := range a.byLabel {
		a.isHeld[name] = update.IsPatch && !isRemoved[label]
	}
	return a
}

// keyHashesOf returns the hashes of keys that a row of a tenant lists.
func keyHashesOf(row *schema.ConfigurationRow) []string {
	if row.Key != keyHashesKey {
		return nil
	}
	return strings.Fields(row.Value)
}

// assignRows returns the rows with the names of tenants in place of their labels.
func (a *tenantAssignment) assignRows(rows []*schema.ConfigurationRow) []*schema.ConfigurationRow {
	keys := map[string][]string{}
	var labels []string
	for _, row := range rows {
		if row.Kind != "tenant" {
			continue
		}
		if _, isListed := keys[row.Name]; !isListed {
			labels = append(labels, row.Name)
		}
		keys[row.Name] = append(keys[row.Name], keyHashesOf(row)...)
	}
	// First those that keep both their name and a key, or hold nobody's keys. The others get
	// what these leave.
	for _, label := range labels {
		if name := a.byLabel[label]; name != "" && a.mayKeep(name, keys[label]) {
			a.assign(label, name)
		}
	}
	for _, label := range labels {
		if a.assigned[label] == "" {
			a.assign(label, a.ownerOf(keys[label]))
		}
	}
	return relabel(rows, "tenant", a.assigned)
}

// mayKeep reports whether keys are those of the tenant with a name: one of them is its own, or
// none is anybody's.
func (a *tenantAssignment) mayKeep(name string, keys []string) bool {
	isOwn := func(hash string) bool { return a.byKey[hash] == name }
	isAnybodys := func(hash string) bool { return a.byKey[hash] != "" }
	return slices.ContainsFunc(keys, isOwn) || !slices.ContainsFunc(keys, isAnybodys)
}

// ownerOf returns a tenant that no label of the update has yet and that held one of the keys, or
// an empty string if there is none.
func (a *tenantAssignment) ownerOf(keys []string) string {
	for _, hash := range keys {
		if owner := a.byKey[hash]; owner != "" && !a.isHeld[owner] {
			return owner
		}
	}
	return ""
}

// assign gives a tenant to a label. Without a name it is a new tenant, or a former one of the
// same name, whose keys may be forgotten.
func (a *tenantAssignment) assign(label, name string) {
	if name == "" || a.isHeld[name] {
		name = a.newOrFormer(label)
	}
	a.assigned[label], a.isHeld[name] = name, true
}

// newOrFormer returns the name of a tenant that isn't configured: its label, also if a former
// tenant had that, or a new name if a configured tenant has it.
func (a *tenantAssignment) newOrFormer(label string) string {
	for _, configured := range a.byLabel {
		if configured == label {
			return a.names.allocate(label)
		}
	}
	if a.isHeld[label] {
		return a.names.allocate(label)
	}
	a.names.take(label)
	return label
}
