package clusterstate

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"sparnotch/internal/schema"
)

// maxRows is enough for 2000 queues that set every key.
const maxRows = 40_000

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	poolPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

// IsValidName reports whether a queue, rack, tenant or worker may have a name.
func IsValidName(name string) bool { return namePattern.MatchString(name) }

// IsValidPoolName reports whether a pool may have a name.
func IsValidPoolName(name string) bool { return poolPattern.MatchString(name) }

// ValidateRows returns the error of the first invalid row of a configuration, with the
// index and the field of the row; nil if all are valid.
func ValidateRows(rows []*schema.ConfigurationRow) *schema.Error {
	if len(rows) > maxRows {
		return rowError(maxRows, "kind", "a plan has at most %d rows", maxRows)
	}
	seen := map[rowID]bool{}
	pools := map[string]bool{}
	for at, row := range rows {
		if err := validateName(at, row); err != nil {
			return err
		}
		if row.Kind == "pool" {
			pools[row.Name] = true
		}
		if err := validateValue(at, row); err != nil {
			return err
		}
		id := rowID{row.Kind, row.Name, row.Key}
		if seen[id] {
			return rowError(at, "key", "%s/%s/%s stands twice", row.Kind, row.Name, row.Key)
		}
		seen[id] = true
	}
	if err := validateReferences(rows, pools); err != nil {
		return err
	}
	return validateKeys(rows)
}

func rowError(at int, field, format string, args ...any) *schema.Error {
	return &schema.Error{
		Code: "bad_row", Field: fmt.Sprintf("rows[%d].%s", at, field),
		Message: fmt.Sprintf("row %d: ", at+1) + fmt.Sprintf(format, args...),
	}
}

// validateName checks a row's kind, and its name by the rules of that kind.
func validateName(at int, row *schema.ConfigurationRow) *schema.Error {
	switch row.GetKind() {
	case "fleet":
		if row.Name != "" {
			return rowError(at, "name", "a fleet row has no name, this one says %q", row.Name)
		}
	case "queue", "rack", "tenant":
		if !IsValidName(row.Name) {
			return rowError(at, "name", "%q is no name: lower-case letters, digits, '.', '_' and '-', at most 63", row.Name)
		}
		if row.Kind == "queue" && row.Name == GroupName {
			return rowError(at, "name", "%q is the system's own group", row.Name)
		}
	case "pool":
		if !IsValidPoolName(row.Name) {
			return rowError(at, "name", "%q is no name of a pool: letters, digits, '.', '_' and '-', at most 63", row.Name)
		}
	default:
		return rowError(at, "kind", "%q is neither fleet, queue, rack, pool nor tenant", row.GetKind())
	}
	return nil
}

// validateValue checks that a row's key exists and its value is within the key's bounds.
func validateValue(at int, row *schema.ConfigurationRow) *schema.Error {
	if text := findTextKey(row.Kind, row.Key); text != nil {
		return validateText(at, row, text)
	}
	number := findNumberKey(row.Kind, row.Key)
	if number == nil {
		return rowError(at, "key", "%q is no key of kind %s", row.Key, row.Kind)
	}
	value, err := strconv.ParseInt(row.Value, 10, 64)
	if err != nil {
		return rowError(at, "value", "%q is no whole number", row.Value)
	}
	if value < number.min || value > number.max {
		return rowError(at, "value", "%s must lie between %d and %d", row.Key, number.min, number.max)
	}
	return nil
}

// validateText checks a value that is a text. The error shows it, unless it may be secret.
func validateText(at int, row *schema.ConfigurationRow, text *textKey) *schema.Error {
	if len(row.Value) <= text.maxBytes && text.pattern.MatchString(row.Value) {
		return nil
	}
	shown := strconv.Quote(row.Value)
	if text.isSecret {
		shown = "the value"
	}
	return rowError(at, "value", "%s is not %s, at most %d bytes", shown, text.format, text.maxBytes)
}

// validateReferences checks what rows say of each other: the pools that queues name exist,
// and no two queues have the same route.
func validateReferences(rows []*schema.ConfigurationRow, pools map[string]bool) *schema.Error {
	for at, row := range rows {
		if row.Kind == "queue" && row.Key == "pool" && !pools[row.Value] {
			return rowError(at, "value", "no row names a pool %q", row.Value)
		}
	}
	routes := newRouteSet(rows)
	seen := map[route]string{}
	for _, queue := range routes.queues {
		found := routes.byQueue[queue]
		match := route{host: found.host, prefix: found.pathPrefix()}
		if other, duplicate := seen[match]; duplicate {
			return rowError(found.lastRow, "value", "queues %s and %s have the same host and prefix", other, queue)
		}
		seen[match] = queue
	}
	return nil
}

// validateKeys checks that no two tenants share a key. The error names the tenants alone.
func validateKeys(rows []*schema.ConfigurationRow) *schema.Error {
	tenantByHash := map[string]string{}
	for at, row := range rows {
		if row.Kind != "tenant" || row.Key != keyHashesKey {
			continue
		}
		for _, hash := range strings.Fields(row.Value) {
			if other, isHeld := tenantByHash[hash]; isHeld && other != row.Name {
				return rowError(at, "value", "tenants %s and %s share a key", other, row.Name)
			}
			tenantByHash[hash] = row.Name
		}
	}
	return nil
}
