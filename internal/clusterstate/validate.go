package clusterstate

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"sparnotch/internal/schema"
)

// maxRows is the most rows of a configuration: enough for 2000 queues that set every key.
const maxRows = 40_000

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	poolPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

// IsValidName reports whether a string is a valid name for a queue, rack, tenant or worker.
func IsValidName(name string) bool { return namePattern.MatchString(name) }

// IsValidPoolName reports whether a string is a valid name for a pool.
func IsValidPoolName(name string) bool { return poolPattern.MatchString(name) }

// ValidateRows checks the rows of a configuration. It returns an error that names the index
// and the field of the first invalid row it finds, or nil if all rows are valid.
func ValidateRows(rows []*schema.ConfigurationRow) *schema.Error {
	if len(rows) > maxRows {
		return rowError(maxRows, "kind", "a configuration may have at most %d rows", maxRows)
	}
	seen := map[rowID]bool{}
	pools := map[string]bool{}
	for index, row := range rows {
		if err := validateName(index, row); err != nil {
			return err
		}
		if row.Kind == "pool" {
			pools[row.Name] = true
		}
		if err := validateValue(index, row); err != nil {
			return err
		}
		id := rowID{row.Kind, row.Name, row.Key}
		if seen[id] {
			return rowError(index, "key", "%s/%s/%s is set by more than one row", row.Kind, row.Name, row.Key)
		}
		seen[id] = true
	}
	if err := validateReferences(rows, pools); err != nil {
		return err
	}
	return validateKeys(rows)
}

// rowError returns a bad_row error for a field of the row at an index.
func rowError(index int, field, format string, args ...any) *schema.Error {
	return &schema.Error{
		Code: "bad_row", Field: fmt.Sprintf("rows[%d].%s", index, field),
		Message: fmt.Sprintf("row %d: ", index+1) + fmt.Sprintf(format, args...),
	}
}

// validateName checks the kind of a row, and its name against the rules for that kind.
func validateName(index int, row *schema.ConfigurationRow) *schema.Error {
	switch row.GetKind() {
	case "fleet":
		if row.Name != "" {
			return rowError(index, "name", "a row of kind fleet must have no name, but this one has the name %q", row.Name)
		}
	case "queue", "rack", "tenant":
		if !IsValidName(row.Name) {
			return rowError(index, "name", "%q is not a valid name: use at most 63 lower-case letters, digits, '.', '_' and '-', with a letter or digit first", row.Name)
		}
		if row.Kind == "queue" && row.Name == GroupName {
			return rowError(index, "name", "%q is reserved: it is the name of the cluster state group", row.Name)
		}
	case "pool":
		if !IsValidPoolName(row.Name) {
			return rowError(index, "name", "%q is not a valid pool name: use at most 63 letters, digits, '.', '_' and '-', with a letter or digit first", row.Name)
		}
	default:
		return rowError(index, "kind", "%q is not a valid kind: use fleet, queue, rack, pool or tenant", row.GetKind())
	}
	return nil
}

// validateValue checks that the key of a row exists for its kind and that the key allows the
// value.
func validateValue(index int, row *schema.ConfigurationRow) *schema.Error {
	if text := findTextKey(row.Kind, row.Key); text != nil {
		return validateText(index, row, text)
	}
	number := findNumberKey(row.Kind, row.Key)
	if number == nil {
		return rowError(index, "key", "%q is not a key of rows of kind %s", row.Key, row.Kind)
	}
	value, err := strconv.ParseInt(row.Value, 10, 64)
	if err != nil {
		return rowError(index, "value", "%q is not an integer", row.Value)
	}
	if value < number.min || value > number.max {
		return rowError(index, "value", "%s must lie between %d and %d", row.Key, number.min, number.max)
	}
	return nil
}

// validateText checks the value of a text key. The error contains the value unless the key is
// secret.
func validateText(index int, row *schema.ConfigurationRow, text *textKey) *schema.Error {
	if len(row.Value) <= text.maxBytes && text.pattern.MatchString(row.Value) {
		return nil
	}
	shown := strconv.Quote(row.Value)
	if text.isSecret {
		shown = "the value"
	}
	return rowError(index, "value", "%s is invalid: it must be %s, at most %d bytes long", shown, text.format, text.maxBytes)
}

// validateReferences checks the relations between rows: the pools that queues refer to must
// exist, and no two queues may have the same route.
func validateReferences(rows []*schema.ConfigurationRow, pools map[string]bool) *schema.Error {
	for index, row := range rows {
		if row.Kind == "queue" && row.Key == "pool" && !pools[row.Value] {
			return rowError(index, "value", "the pool %q doesn't exist: no row of kind pool has this name", row.Value)
		}
	}
	routes := newRouteSet(rows)
	seen := map[route]string{}
	for _, queue := range routes.queues {
		found := routes.byQueue[queue]
		match := found.match()
		if other, duplicate := seen[match]; duplicate {
			return rowError(found.lastRow, "value", "queues %s and %s have the same route: the same host and prefix", other, found.label)
		}
		seen[match] = found.label
	}
	return nil
}

// validateKeys checks that no two tenants have the same API key. The error names the tenants
// but doesn't show the key or its hash.
func validateKeys(rows []*schema.ConfigurationRow) *schema.Error {
	tenantByHash := map[string]string{}
	for index, row := range rows {
		if row.Kind != "tenant" || row.Key != keyHashesKey {
			continue
		}
		for _, hash := range strings.Fields(row.Value) {
			if other, isHeld := tenantByHash[hash]; isHeld && other != labelOf(row) {
				return rowError(index, "value", "tenants %s and %s have the same API key", other, labelOf(row))
			}
			tenantByHash[hash] = labelOf(row)
		}
	}
	return nil
}
