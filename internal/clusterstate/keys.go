package clusterstate

import (
	"fmt"
	"regexp"
)

const (
	// keyHashesKey is the key of the row that lists the hashes of a tenant's keys.
	keyHashesKey = "key_hashes"

	maxTenantResource = 1_000_000_000_000_000
	// maxKeyHashesBytes is enough for 1000 keys of a tenant.
	maxKeyHashesBytes = 33_000
)

// A keyID names a key of one kind of rows.
type keyID struct{ kind, key string }

// A numberKey is a key whose value is a whole number.
type numberKey struct {
	kind, name   string
	defaultValue int64 // where no row sets it
	min, max     int64
	help         string
}

// A textKey is a key whose value is a text; it is empty where no row sets it.
type textKey struct {
	kind, name string
	pattern    *regexp.Regexp
	maxBytes   int
	format     string // the pattern in words
	help       string
	isSecret   bool // errors don't show its value
}

// numberKeys and textKeys are all keys of a configuration; others are rejected.
var numberKeys = []numberKey{
	{"fleet", "status_s", 150, 120, 86_400, "how long the status of an ended job is kept, in seconds"},
	{"fleet", "window", 1024, 1, 65_536, "unapplied submissions a client may have at one gateway"},
	{"fleet", "cache_every", 64, 1, 65_536, "enqueues between two cached snapshots"},
	{"fleet", "circles", 40, 1, 10_000, "how often a task may be returned without having failed"},
	{"fleet", "carry_records", 8192, 64, 10_000_000, "log entries above the release point before the oldest job is re-enqueued"},
	{"fleet", "lease_ms", 4000, 1000, 60_000, "how long a worker may run on without an answer"},
	{"fleet", "margin_ms", 1000, 100, 60_000, "added to the lease before an unresponsive worker's tasks are reassigned"},
	{"fleet", "session_timeout_s", 60, 10, 100, "how long an unresponsive gateway's sessions are kept"},
	{"fleet", "live_jobs", 5000, 1, 1_000_000, "live jobs a queue takes before submissions are rejected"},
	{"fleet", "worker_cores_milli", 64_000, 1, 100_000_000, "largest task, in thousandths of a core"},
	{"fleet", "worker_memory_mb", 131_072, 1, 1_000_000_000, "largest task, in megabytes"},
	{"fleet", "weight_room", 100, 0, 10_000, "weight of free capacity left on the worker"},
	{"fleet", "weight_rack", 30, 0, 10_000, "weight of spreading a step over racks"},
	{"fleet", "weight_failures", 60, 0, 10_000, "weight against workers that fail more than others"},
	{"fleet", "preempt", 1, 0, 1, "1: urgent work may preempt less urgent work"},
	{"fleet", "require_keys", 0, 0, 1, "1: calls for a queue that isn't public must carry the key of a tenant"},
	{"queue", "urgency", 10, 0, 100, "a more urgent queue's tasks are placed first"},
	{"queue", "running", 100_000, 1, 10_000_000, "most tasks of the queue checked out at once"},
	{"queue", "limit_ms", 0, 0, 2_592_000_000, "longest run of a task whose step sets none; 0: no limit"},
	{"queue", "still_ms", 0, 0, 2_592_000_000, "longest time without progress of a task whose step sets none; 0: no limit"},
	{"queue", "attempts", 1, 1, 1000, "failed runs of a task or gang after which its job fails, where the step sets none"},
	{"queue", "stretch_milli", 1500, 1, 1_000_000, "most times its shortest duration a job should take, in thousandths"},
	{"queue", "target_ms", 1000, 0, 86_400_000, "how soon a submission should be answered"},
	{"queue", "public", 0, 0, 1, "1: its calls need no key"},
	{"queue", "timeout_ms", 10_000, 1, 86_400_000, "longest time a caller waits for an answer"},
	{"pool", "guards", 1, 0, 1, "1: its workers reject what exceeds their capacity; 0: they start whatever they are ordered to"},
	{"tenant", "weight_milli", 1000, 1, 1_000_000_000, "its share when everything is full, in thousandths"},
	{"tenant", "max_cores_milli", 0, 0, maxTenantResource, "most that its tasks use at once, in thousandths of a core; 0: no limit"},
	{"tenant", "max_memory_mb", 0, 0, maxTenantResource, "most memory that its tasks use at once; 0: no limit"},
	{"tenant", "max_accelerators", 0, 0, maxTenantResource, "most accelerators that its tasks use at once; 0: no limit"},
	{"rack", "weight", 100, 0, 10_000, "preference for the rack, in percent; 0: it isn't used"},
}

var textKeys = []textKey{
	{"tenant", keyHashesKey, regexp.MustCompile(`^[0-9a-f]{32}( [0-9a-f]{32})*$`), maxKeyHashesBytes, "hashes of 32 hex digits between blanks", "of the keys that its calls carry", true},
	{"queue", "pool", poolPattern, 63, "the name of a pool", "whose workers take the queue's work; without: those of no pool", false},
	{"queue", "host", regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`), 253, "a host's name, without a port", "with prefix the queue's route; without: any host", false},
	{"queue", "prefix", regexp.MustCompile(`^/[^\x00-\x20?#\x7f]*$`), 256, "the beginning of a path", "with host the queue's route: the longest match wins", false},
}

var (
	numberKeyIndex = map[keyID]*numberKey{}
	textKeyIndex   = map[keyID]*textKey{}
)

func init() {
	for k := range numberKeys {
		numberKeyIndex[keyID{numberKeys[k].kind, numberKeys[k].name}] = &numberKeys[k]
	}
	for k := range textKeys {
		textKeyIndex[keyID{textKeys[k].kind, textKeys[k].name}] = &textKeys[k]
	}
}

func findNumberKey(kind, name string) *numberKey { return numberKeyIndex[keyID{kind, name}] }

func findTextKey(kind, name string) *textKey { return textKeyIndex[keyID{kind, name}] }

// DescribeKeys returns one line of help on each key.
func DescribeKeys() []string {
	var lines []string
	for _, k := range numberKeys {
		lines = append(lines, fmt.Sprintf("%-6s %-20s %8d  (%d to %d)  %s", k.kind, k.name, k.defaultValue, k.min, k.max, k.help))
	}
	for _, k := range textKeys {
		lines = append(lines, fmt.Sprintf("%-6s %-20s %8s  (%s)  %s", k.kind, k.name, "", k.format, k.help))
	}
	return lines
}
