package clusterstate

import (
	"slices"
	"sort"
	"strconv"

	"sparnotch/internal/schema"
)

// rowID identifies a row of a configuration. In a valid configuration it is unique.
type rowID struct{ kind, name, key string }

// Values holds the parsed rows of a configuration. It is immutable and may be shared.
type Values struct {
	numbers       map[rowID]int64
	texts         map[rowID]string
	queueSet      map[string]bool
	queueNames    []string           // sorted
	routesByHost  map[string][]route // longest prefix first
	tenants       map[string]*Tenant
	formerTenants map[string]*Tenant // tenants that aren't configured any more
	tenantByKey   map[string]string  // by the hash of the API key
	revision      uint64             // revision of the configuration; 0: unknown
}

// ParseValues parses a configuration. A nil configuration gives the defaults. Number keys whose
// value isn't an integer keep their default.
func ParseValues(configuration *schema.Configuration) *Values {
	v := &Values{
		numbers: map[rowID]int64{}, texts: map[rowID]string{}, queueSet: map[string]bool{},
		revision: configuration.GetRevision(),
	}
	for _, row := range configuration.GetRows() {
		if row.Kind == "queue" && !v.queueSet[row.Name] {
			v.queueSet[row.Name] = true
			v.queueNames = append(v.queueNames, row.Name)
		}
		id := rowID{row.Kind, row.Name, row.Key}
		if findTextKey(row.Kind, row.Key) != nil {
			v.texts[id] = row.Value
		} else if value, err := strconv.ParseInt(row.Value, 10, 64); err == nil {
			v.numbers[id] = value
		}
	}
	sort.Strings(v.queueNames)
	v.parseTenants(configuration.GetRows())
	v.parseFormerTenants(configuration.GetFormerTenants())
	v.routesByHost = newRouteSet(configuration.GetRows()).byHost()
	return v
}

// ForConfiguration returns the values of a configuration: v itself if the revision hasn't
// changed, otherwise newly parsed values. This avoids parsing the same configuration again on
// each change of the cluster state, which changes more often than the configuration in it.
func (v *Values) ForConfiguration(configuration *schema.Configuration) *Values {
	if v.revision > 0 && v.revision == configuration.GetRevision() {
		return v
	}
	return ParseValues(configuration)
}

// Number returns the value of a number key, or the key's default if no row sets it. It panics
// if the kind has no such number key.
func (v *Values) Number(kind, name, key string) int64 {
	if value, found := v.numbers[rowID{kind, name, key}]; found {
		return value
	}
	definition := findNumberKey(kind, key)
	if definition == nil {
		panic("cluster state: no such number key: " + kind + "/" + key)
	}
	return definition.defaultValue
}

// Fleet returns the value of a number key of kind fleet.
func (v *Values) Fleet(key string) int64 { return v.Number("fleet", "", key) }

// Text returns the value of a text key, or an empty string if no row sets it. It panics if the
// kind has no such text key.
func (v *Values) Text(kind, name, key string) string {
	if findTextKey(kind, key) == nil {
		panic("cluster state: no such text key: " + kind + "/" + key)
	}
	return v.texts[rowID{kind, name, key}]
}

// IsSet reports whether a row sets the given number key.
func (v *Values) IsSet(kind, name, key string) bool {
	_, found := v.numbers[rowID{kind, name, key}]
	return found
}

// Queues returns the sorted names of the configured queues. The caller must not modify the
// slice.
func (v *Values) Queues() []string { return v.queueNames }

// HasQueue reports whether a queue is configured, that is, has at least one row.
func (v *Values) HasQueue(name string) bool { return v.queueSet[name] }

// QueueNames returns the sorted names of the queues of a configuration.
func QueueNames(configuration *schema.Configuration) []string {
	return ParseValues(configuration).Queues()
}

// EqualRows reports whether two lists contain the same rows, in any order.
func EqualRows(a, b []*schema.ConfigurationRow) bool {
	return len(a) == len(b) && slices.Equal(canonicalRows(a), canonicalRows(b))
}

// canonicalRows encodes each row as a string and sorts the strings, so that equal sets of rows
// give equal results.
func canonicalRows(rows []*schema.ConfigurationRow) []string {
	var encoded []string
	for _, row := range rows {
		encoded = append(encoded, row.Kind+"\x00"+row.Name+"\x00"+row.Key+"\x00"+row.Value)
	}
	sort.Strings(encoded)
	return encoded
}
