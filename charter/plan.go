package charter

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"

	"sparnotch/schema"
)

// A key is one weight or limit of the plan.
type key struct {
	kind, name  string
	usual       int64
	least, most int64
	why         string
}

// keys is the whole form of the plan: what isn't here is turned away.
var keys = []key{
	{"fleet", "status_s", 150, 120, 86_400, "how long an ended job can be asked for"},
	{"fleet", "window", 1024, 1, 65_536, "unapplied submissions a client may have at one front"},
	{"fleet", "cache_every", 64, 1, 65_536, "enqueues between two cached checkpoints"},
	{"fleet", "circles", 40, 1, 10_000, "how often a task may be taken back without having failed"},
	{"fleet", "carry_records", 8192, 64, 10_000_000, "log records above the release point before the oldest job is carried"},
	{"fleet", "licence_ms", 4000, 1000, 60_000, "how long a worker may run on without an answer"},
	{"fleet", "margin_ms", 1000, 100, 60_000, "added to the licence before a silent worker's tasks are given to others"},
	{"fleet", "linger_s", 60, 10, 100, "how long a silent front's sessions are kept"},
	{"fleet", "live_jobs", 5000, 1, 1_000_000, "live jobs a lane takes before hand-ins are turned away"},
	{"fleet", "worker_cores_milli", 64_000, 1, 100_000_000, "largest task, in thousandths of a core"},
	{"fleet", "worker_memory_mb", 131_072, 1, 1_000_000_000, "largest task, in megabytes"},
	{"fleet", "weight_room", 100, 0, 10_000, "weight of free room left on the worker"},
	{"fleet", "weight_rack", 30, 0, 10_000, "weight of spreading a step over racks"},
	{"fleet", "weight_failures", 60, 0, 10_000, "weight against workers that fail more than others"},
	{"fleet", "preempt", 1, 0, 1, "1: urgent work may displace less urgent work"},
	{"lane", "urgency", 10, 0, 100, "a more urgent lane's tasks are placed first"},
	{"lane", "running", 100_000, 1, 10_000_000, "most tasks of the lane out at once"},
	{"lane", "limit_ms", 0, 0, 2_592_000_000, "longest run of a task whose step states none; 0: no limit"},
	{"lane", "still_ms", 0, 0, 2_592_000_000, "longest time without progress of a task whose step states none; 0: no limit"},
	{"rack", "weight", 100, 0, 10_000, "percent: how gladly the rack is used; 0: not at all"},
}

// textKeys are keys whose value is a text; without a row it is empty.
var textKeys = map[[2]string]bool{{"lane", "pool"}: true, {"lane", "host"}: true, {"lane", "prefix"}: true}

func findKey(kind, name string) *key {
	for k := range keys {
		if keys[k].kind == kind && keys[k].name == name {
			return &keys[k]
		}
	}
	return nil
}

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// GoodName tells whether a lane, rack or worker may be called so.
func GoodName(name string) bool { return nameForm.MatchString(name) }

const maxRows = 10_000

// CheckRows finds the first row that can't be taken.
func CheckRows(rows []*schema.Row) *schema.Fault {
	fault := func(at int, field, form string, args ...any) *schema.Fault {
		return &schema.Fault{Code: "bad_row", Field: fmt.Sprintf("rows[%d].%s", at, field), Message: fmt.Sprintf("row %d: ", at+1) + fmt.Sprintf(form, args...)}
	}
	if len(rows) > maxRows {
		return fault(maxRows, "kind", "a plan has at most %d rows", maxRows)
	}
	seen := map[string]bool{}
	for at, row := range rows {
		switch row.GetKind() {
		case "fleet":
			if row.Name != "" {
				return fault(at, "name", "a fleet row has no name, this one says %q", row.Name)
			}
		case "lane", "rack":
			if !GoodName(row.Name) {
				return fault(at, "name", "%q is no name: lower-case letters, digits, '.', '_' and '-', at most 63", row.Name)
			}
		default:
			return fault(at, "kind", "%q is neither fleet, lane nor rack", row.GetKind())
		}
		if textKeys[[2]string{row.Kind, row.Key}] {
			continue
		}
		k := findKey(row.Kind, row.Key)
		if k == nil {
			return fault(at, "key", "%q is no key of kind %s", row.Key, row.Kind)
		}
		value, err := strconv.ParseInt(row.Value, 10, 64)
		if err != nil {
			return fault(at, "value", "%q is no whole number", row.Value)
		}
		if value < k.least || value > k.most {
			return fault(at, "value", "%s must lie between %d and %d", row.Key, k.least, k.most)
		}
		id := row.Kind + "/" + row.Name + "/" + row.Key
		if seen[id] {
			return fault(at, "key", "%s stands twice", id)
		}
		seen[id] = true
	}
	return nil
}

// SameRows tells whether two sheets say the same, in whatever order.
func SameRows(a, b []*schema.Row) bool {
	if len(a) != len(b) {
		return false
	}
	lines := func(rows []*schema.Row) []string {
		var list []string
		for _, row := range rows {
			list = append(list, row.Kind+"\x00"+row.Name+"\x00"+row.Key+"\x00"+row.Value)
		}
		sort.Strings(list)
		return list
	}
	x, y := lines(a), lines(b)
	for k := range x {
		if x[k] != y[k] {
			return false
		}
	}
	return true
}

// Values are a plan's weights and limits, read once.
type Values struct {
	set   map[[3]string]int64
	texts map[[3]string]string
	lanes map[string]bool
}

// Read makes a plan's values.
func Read(plan *schema.Plan) *Values {
	v := &Values{set: map[[3]string]int64{}, texts: map[[3]string]string{}, lanes: map[string]bool{}}
	for _, row := range plan.GetRows() {
		if row.Kind == "lane" {
			v.lanes[row.Name] = true
		}
		if textKeys[[2]string{row.Kind, row.Key}] {
			v.texts[[3]string{row.Kind, row.Name, row.Key}] = row.Value
		} else if value, err := strconv.ParseInt(row.Value, 10, 64); err == nil {
			v.set[[3]string{row.Kind, row.Name, row.Key}] = value
		}
	}
	return v
}

// Of reads one weight or limit, or its default.
func (v *Values) Of(kind, name, keyName string) int64 {
	if value, isSet := v.set[[3]string{kind, name, keyName}]; isSet {
		return value
	}
	k := findKey(kind, keyName)
	if k == nil {
		panic("charter: no such key: " + kind + "/" + keyName)
	}
	return k.usual
}

// Text reads a text of the plan, empty where no row states it.
func (v *Values) Text(kind, name, keyName string) string {
	return v.texts[[3]string{kind, name, keyName}]
}

// Fleet reads a value of the fleet.
func (v *Values) Fleet(keyName string) int64 { return v.Of("fleet", "", keyName) }

// HasLane tells whether the plan has rows for a lane.
func (v *Values) HasLane(name string) bool { return v.lanes[name] }

// LaneNames lists the plan's lanes.
func LaneNames(plan *schema.Plan) []string {
	seen := map[string]bool{}
	var names []string
	for _, row := range plan.GetRows() {
		if row.Kind == "lane" && !seen[row.Name] {
			seen[row.Name] = true
			names = append(names, row.Name)
		}
	}
	sort.Strings(names)
	return names
}

// Form describes every key, for help and docs.
func Form() []string {
	var lines []string
	for _, k := range keys {
		lines = append(lines, fmt.Sprintf("%-6s %-20s %8d  (%d to %d)  %s", k.kind, k.name, k.usual, k.least, k.most, k.why))
	}
	return lines
}
