package clusterstate

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"sparnotch/internal/schema"
)

// A key is one weight or limit of the plan.
type numberKey struct {
	kind, name   string
	defaultValue int64
	min, max     int64
	help         string
}

// numberKeys is the whole form of the plan: what isn't here is turned away.
var numberKeys = []numberKey{
	{"fleet", "status_s", 150, 120, 86_400, "how long an ended job can be asked for"},
	{"fleet", "window", 1024, 1, 65_536, "unapplied submissions a client may have at one front"},
	{"fleet", "cache_every", 64, 1, 65_536, "enqueues between two cached checkpoints"},
	{"fleet", "circles", 40, 1, 10_000, "how often a task may be taken back without having failed"},
	{"fleet", "carry_records", 8192, 64, 10_000_000, "log records above the release point before the oldest job is carried"},
	{"fleet", "lease_ms", 4000, 1000, 60_000, "how long a worker may run on without an answer"},
	{"fleet", "margin_ms", 1000, 100, 60_000, "added to the lease before a silent worker's tasks are given to others"},
	{"fleet", "session_timeout_s", 60, 10, 100, "how long a silent front's sessions are kept"},
	{"fleet", "live_jobs", 5000, 1, 1_000_000, "live jobs a queue takes before hand-ins are turned away"},
	{"fleet", "worker_cores_milli", 64_000, 1, 100_000_000, "largest task, in thousandths of a core"},
	{"fleet", "worker_memory_mb", 131_072, 1, 1_000_000_000, "largest task, in megabytes"},
	{"fleet", "weight_room", 100, 0, 10_000, "weight of free room left on the worker"},
	{"fleet", "weight_rack", 30, 0, 10_000, "weight of spreading a step over racks"},
	{"fleet", "weight_failures", 60, 0, 10_000, "weight against workers that fail more than others"},
	{"fleet", "preempt", 1, 0, 1, "1: urgent work may displace less urgent work"},
	{"queue", "urgency", 10, 0, 100, "a more urgent queue's tasks are placed first"},
	{"queue", "running", 100_000, 1, 10_000_000, "most tasks of the queue out at once"},
	{"queue", "limit_ms", 0, 0, 2_592_000_000, "longest run of a task whose step states none; 0: no limit"},
	{"queue", "still_ms", 0, 0, 2_592_000_000, "longest time without progress of a task whose step states none; 0: no limit"},
	{"queue", "attempts", 1, 1, 1000, "runs of a task or group that fail before its job has failed, where the step states nothing"},
	{"queue", "stretch_milli", 1500, 1, 1_000_000, "how many times its least span a job should take at most, in thousandths"},
	{"queue", "target_ms", 1000, 0, 86_400_000, "how soon a hand-in should be answered"},
	{"queue", "timeout_ms", 10_000, 1, 86_400_000, "longest time a caller waits for an answer"},
	{"pool", "guards", 1, 0, 1, "1: its workers turn away what doesn't fit; 0: they start what they are told"},
	{"rack", "weight", 100, 0, 10_000, "percent: how gladly the rack is used; 0: not at all"},
}

// A textKey is a key whose value is a text; where no row states it, it is empty.
type textKey struct {
	kind, name   string
	pattern      *regexp.Regexp
	maxBytes     int // bytes
	format, help string
}

// textKeys are the rest of the form.
var textKeys = []textKey{
	{"queue", "pool", poolPattern, 63, "the name of a pool", "whose workers take the queue's work; without: those of no pool"},
	{"queue", "host", regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`), 253, "a host's name, without a port", "with prefix the queue's entry; without: any host"},
	{"queue", "prefix", regexp.MustCompile(`^/[^\x00-\x20?#\x7f]*$`), 256, "the beginning of a path", "with host the queue's entry: the longest that fits counts"},
}

var (
	numberKeyIndex = map[[2]string]*numberKey{}
	textKeyIndex   = map[[2]string]*textKey{}
)

func init() {
	for k := range numberKeys {
		numberKeyIndex[[2]string{numberKeys[k].kind, numberKeys[k].name}] = &numberKeys[k]
	}
	for k := range textKeys {
		textKeyIndex[[2]string{textKeys[k].kind, textKeys[k].name}] = &textKeys[k]
	}
}

func findNumberKey(kind, name string) *numberKey { return numberKeyIndex[[2]string{kind, name}] }

func findTextKey(kind, name string) *textKey { return textKeyIndex[[2]string{kind, name}] }

var poolPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// IsValidName tells whether a queue, rack or worker may be called so.
func IsValidName(name string) bool { return namePattern.MatchString(name) }

// IsValidPoolName tells whether a pool may be called so.
func IsValidPoolName(name string) bool { return poolPattern.MatchString(name) }

// maxRows holds 2000 queues that state every key.
const maxRows = 40_000

// ValidateRows finds the first row that can't be taken.
func ValidateRows(rows []*schema.ConfigurationRow) *schema.Error {
	fault := func(at int, field, form string, args ...any) *schema.Error {
		return &schema.Error{Code: "bad_row", Field: fmt.Sprintf("rows[%d].%s", at, field), Message: fmt.Sprintf("row %d: ", at+1) + fmt.Sprintf(form, args...)}
	}
	if len(rows) > maxRows {
		return fault(maxRows, "kind", "a plan has at most %d rows", maxRows)
	}
	seen := map[[3]string]bool{}
	pools := map[string]bool{}
	for at, row := range rows {
		switch row.GetKind() {
		case "fleet":
			if row.Name != "" {
				return fault(at, "name", "a fleet row has no name, this one says %q", row.Name)
			}
		case "queue", "rack":
			if !IsValidName(row.Name) {
				return fault(at, "name", "%q is no name: lower-case letters, digits, '.', '_' and '-', at most 63", row.Name)
			}
			if row.Kind == "queue" && row.Name == Group {
				return fault(at, "name", "%q is the system's own group", row.Name)
			}
		case "pool":
			if !IsValidPoolName(row.Name) {
				return fault(at, "name", "%q is no name of a pool: letters, digits, '.', '_' and '-', at most 63", row.Name)
			}
			pools[row.Name] = true
		default:
			return fault(at, "kind", "%q is neither fleet, queue, rack nor pool", row.GetKind())
		}
		if text := findTextKey(row.Kind, row.Key); text != nil {
			if len(row.Value) > text.maxBytes || !text.pattern.MatchString(row.Value) {
				return fault(at, "value", "%q is not %s, at most %d bytes", row.Value, text.format, text.maxBytes)
			}
		} else {
			k := findNumberKey(row.Kind, row.Key)
			if k == nil {
				return fault(at, "key", "%q is no key of kind %s", row.Key, row.Kind)
			}
			value, err := strconv.ParseInt(row.Value, 10, 64)
			if err != nil {
				return fault(at, "value", "%q is no whole number", row.Value)
			}
			if value < k.min || value > k.max {
				return fault(at, "value", "%s must lie between %d and %d", row.Key, k.min, k.max)
			}
		}
		id := [3]string{row.Kind, row.Name, row.Key}
		if seen[id] {
			return fault(at, "key", "%s/%s/%s stands twice", row.Kind, row.Name, row.Key)
		}
		seen[id] = true
	}
	return validateRoutes(rows, pools, fault)
}

// validateRoutes finds queues of no known pool, and two that are entered the same way.
func validateRoutes(rows []*schema.ConfigurationRow, pools map[string]bool, fault func(at int, field, form string, args ...any) *schema.Error) *schema.Error {
	type located struct {
		route
		at int
	}
	routes := map[string]*located{}
	var names []string
	for at, row := range rows {
		if row.Kind != "queue" {
			continue
		}
		switch row.Key {
		case "pool":
			if !pools[row.Value] {
				return fault(at, "value", "no row names a pool %q", row.Value)
			}
		case "host", "prefix":
			if routes[row.Name] == nil {
				routes[row.Name] = &located{route: route{queue: row.Name}}
				names = append(names, row.Name)
			}
			routes[row.Name].setRow(row)
			routes[row.Name].at = at
		}
	}
	seen := map[[2]string]string{}
	for _, name := range names {
		candidate := routes[name]
		id := [2]string{candidate.host, candidate.pathPrefix()}
		if other, isTaken := seen[id]; isTaken {
			return fault(candidate.at, "value", "queues %s and %s have the same host and prefix", other, name)
		}
		seen[id] = name
	}
	return nil
}

// canonicalRows are rows in an order of their own.
func canonicalRows(rows []*schema.ConfigurationRow) []string {
	var list []string
	for _, row := range rows {
		list = append(list, row.Kind+"\x00"+row.Name+"\x00"+row.Key+"\x00"+row.Value)
	}
	sort.Strings(list)
	return list
}

// EqualRows tells whether two sheets say the same, in whatever order.
func EqualRows(a, b []*schema.ConfigurationRow) bool {
	if len(a) != len(b) {
		return false
	}
	x, y := canonicalRows(a), canonicalRows(b)
	for k := range x {
		if x[k] != y[k] {
			return false
		}
	}
	return true
}

// An entry is how a queue is found by the host and path a caller names.
type route struct {
	queue, host, prefix string
}

func (e *route) setRow(row *schema.ConfigurationRow) {
	switch row.Key {
	case "host":
		e.host = strings.ToLower(row.Value)
	case "prefix":
		e.prefix = row.Value
	}
}

// pathPrefix is what a path begins with: a host alone is entered by every path.
func (e *route) pathPrefix() string {
	if e.prefix == "" {
		return "/"
	}
	return e.prefix
}

// Values are a plan's weights and limits, read once.
type Values struct {
	numbers      map[[3]string]int64
	texts        map[[3]string]string
	queueSet     map[string]bool
	queueNames   []string           // of queues, sorted
	routesByHost map[string][]route // by host, the longest prefix first
	revision     uint64             // generation of the plan; 0: none that could be known again
}

// Refresh gives a plan's values: the same ones while it is the same plan, for the
// cluster state changes more often than its plan.
func (v *Values) Refresh(configuration *schema.Configuration) *Values {
	if v.revision > 0 && v.revision == configuration.GetRevision() {
		return v
	}
	return ParseValues(configuration)
}

// ParseValues makes a plan's values.
func ParseValues(configuration *schema.Configuration) *Values {
	v := &Values{numbers: map[[3]string]int64{}, texts: map[[3]string]string{}, queueSet: map[string]bool{}, routesByHost: map[string][]route{}, revision: configuration.GetRevision()}
	routes := map[string]*route{}
	for _, row := range configuration.GetRows() {
		if row.Kind == "queue" && !v.queueSet[row.Name] {
			v.queueSet[row.Name] = true
			v.queueNames = append(v.queueNames, row.Name)
		}
		if findTextKey(row.Kind, row.Key) != nil {
			v.texts[[3]string{row.Kind, row.Name, row.Key}] = row.Value
			if row.Kind == "queue" && (row.Key == "host" || row.Key == "prefix") {
				if routes[row.Name] == nil {
					routes[row.Name] = &route{queue: row.Name}
				}
				routes[row.Name].setRow(row)
			}
		} else if value, err := strconv.ParseInt(row.Value, 10, 64); err == nil {
			v.numbers[[3]string{row.Kind, row.Name, row.Key}] = value
		}
	}
	sort.Strings(v.queueNames)
	for _, name := range v.queueNames {
		if found := routes[name]; found != nil {
			v.routesByHost[found.host] = append(v.routesByHost[found.host], *found)
		}
	}
	for _, list := range v.routesByHost {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].pathPrefix()) > len(list[b].pathPrefix()) })
	}
	return v
}

// MatchRoute finds the queue that a host and path lead to, and what follows its
// prefix in the path. Queues of that very host come first, then those of any.
func (v *Values) MatchRoute(host, path string) (queue, rest string, found bool) {
	for _, name := range []string{normalizeHost(host), ""} {
		for _, candidate := range v.routesByHost[name] {
			if rest, isHere := strings.CutPrefix(path, candidate.pathPrefix()); isHere {
				return candidate.queue, rest, true
			}
		}
		if name == "" {
			break
		}
	}
	return "", "", false
}

// normalizeHost is a host as entries hold it: without a port, in lower case.
func normalizeHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Text reads a text of the plan; empty where no row states it.
func (v *Values) Text(kind, name, keyName string) string {
	if findTextKey(kind, keyName) == nil {
		panic("cluster state: no such text: " + kind + "/" + keyName)
	}
	return v.texts[[3]string{kind, name, keyName}]
}

// IsSet tells whether a row states a whole number, rather than that its
// default holds.
func (v *Values) IsSet(kind, name, keyName string) bool {
	_, isSet := v.numbers[[3]string{kind, name, keyName}]
	return isSet
}

// Queues are the names of the plan's queues, sorted.
func (v *Values) Queues() []string { return v.queueNames }

// Number reads one weight or limit, or its default.
func (v *Values) Number(kind, name, keyName string) int64 {
	if value, isSet := v.numbers[[3]string{kind, name, keyName}]; isSet {
		return value
	}
	k := findNumberKey(kind, keyName)
	if k == nil {
		panic("cluster state: no such key: " + kind + "/" + keyName)
	}
	return k.defaultValue
}

// Fleet reads a value of the fleet.
func (v *Values) Fleet(keyName string) int64 { return v.Number("fleet", "", keyName) }

// HasQueue tells whether the plan has rows for a queue.
func (v *Values) HasQueue(name string) bool { return v.queueSet[name] }

// QueueNames lists the plan's queues.
func QueueNames(configuration *schema.Configuration) []string {
	return ParseValues(configuration).Queues()
}

// DescribeKeys describes every key, for help and docs.
func DescribeKeys() []string {
	var list []string
	for _, k := range numberKeys {
		list = append(list, fmt.Sprintf("%-6s %-20s %8d  (%d to %d)  %s", k.kind, k.name, k.defaultValue, k.min, k.max, k.help))
	}
	for _, k := range textKeys {
		list = append(list, fmt.Sprintf("%-6s %-20s %8s  (%s)  %s", k.kind, k.name, "", k.format, k.help))
	}
	return list
}
