package clusterstate

import (
	"fmt"
	"regexp"
)

const (
	// keyHashesKey is the configuration key under which a row lists the hashes of a tenant's
	// API keys.
	keyHashesKey = "key_hashes"

	// maxTenantResource is the highest limit that a tenant can be given, for each resource.
	maxTenantResource = 1_000_000_000_000_000
	// maxKeyHashesBytes is enough for the hashes of 1000 API keys of a tenant.
	maxKeyHashesBytes = 33_000
)

// keyID identifies a configuration key. Keys of the same name in rows of different kinds are
// different keys.
type keyID struct{ kind, key string }

// numberKey defines a configuration key whose value is an integer.
type numberKey struct {
	kind, name   string
	defaultValue int64 // value if no row sets the key
	min, max     int64
	help         string
}

// textKey defines a configuration key whose value is a string. The value is empty if no row
// sets the key.
type textKey struct {
	kind, name string
	pattern    *regexp.Regexp
	maxBytes   int
	format     string // description of the pattern
	help       string
	isSecret   bool // error messages must not contain the value
}

// numberKeys and textKeys define all keys that a configuration may contain; rows with other
// keys are rejected.
var numberKeys = []numberKey{
	{"fleet", "status_s", 150, 120, 86_400, "time for which the status of an ended job is kept, in seconds"},
	{"fleet", "window", 1024, 1, 65_536, "unconfirmed submissions that a client may have at one gateway"},
	{"fleet", "cache_every", 64, 1, 65_536, "jobs enqueued between two cached snapshots of a queue"},
	{"fleet", "circles", 40, 1, 10_000, "number of times that a task may be requeued without having failed"},
	{"fleet", "carry_records", 8192, 64, 10_000_000, "number of log entries after the snapshot beyond which the oldest live job is re-enqueued"},
	{"fleet", "lease_ms", 4000, 1000, 60_000, "time for which a worker may keep running tasks without a response, in milliseconds"},
	{"fleet", "margin_ms", 1000, 100, 60_000, "time added to lease_ms before an unresponsive worker's tasks are reassigned, in milliseconds"},
	{"fleet", "session_timeout_s", 60, 10, 100, "time for which an unresponsive gateway's sessions are kept, in seconds"},
	{"fleet", "live_jobs", 5000, 1, 1_000_000, "number of live jobs in a queue at which further submissions are rejected"},
	{"fleet", "worker_cores_milli", 64_000, 1, 100_000_000, "most cores that one task may request, in thousandths of a core"},
	{"fleet", "worker_memory_mb", 131_072, 1, 1_000_000_000, "most memory that one task may request, in megabytes"},
	{"fleet", "weight_room", 100, 0, 10_000, "weight of the capacity left free on a worker, in placement scores"},
	{"fleet", "weight_rack", 30, 0, 10_000, "weight of spreading a step over racks, in placement scores"},
	{"fleet", "weight_failures", 60, 0, 10_000, "weight against workers that fail more often than others, in placement scores"},
	{"fleet", "preempt", 1, 0, 1, "1: tasks of more urgent queues may preempt tasks of less urgent ones"},
	{"fleet", "relayed_workers", 64, 1, 1_000_000, "number of workers from which on agents poll their scheduler through the other storage nodes"},
	{"fleet", "require_keys", 0, 0, 1, "1: requests for a queue that isn't public must carry an API key of a tenant"},
	{"queue", "urgency", 10, 0, 100, "urgency of the queue; tasks of the most urgent queue are placed first"},
	{"queue", "running", 100_000, 1, 10_000_000, "most tasks of the queue that may be checked out at once"},
	{"queue", "limit_ms", 0, 0, 2_592_000_000, "longest run of a task if its step sets no limit, in milliseconds; 0: no limit"},
	{"queue", "still_ms", 0, 0, 2_592_000_000, "longest time without progress of a task if its step sets no limit, in milliseconds; 0: no limit"},
	{"queue", "attempts", 1, 1, 1000, "number of failed runs of a task or gang after which its job fails, if its step sets none"},
	{"queue", "stretch_milli", 1500, 1, 1_000_000, "target for the duration of a job: at most this multiple of its shortest possible duration, in thousandths"},
	{"queue", "target_ms", 1000, 0, 86_400_000, "target for the time to answer a submission, in milliseconds"},
	{"queue", "public", 0, 0, 1, "1: requests for the queue need no API key"},
	{"queue", "timeout_ms", 10_000, 1, 86_400_000, "longest time that a client waits for a response, in milliseconds"},
	{"pool", "guards", 1, 0, 1, "1: the pool's workers reject tasks that exceed their capacity; 0: they start every task that they are ordered to start"},
	{"tenant", "weight_milli", 1000, 1, 1_000_000_000, "weight of the tenant's share when the workers are fully used, in thousandths"},
	{"tenant", "max_cores_milli", 0, 0, maxTenantResource, "most cores that the tenant's tasks may use at once, in thousandths of a core; 0: no limit"},
	{"tenant", "max_memory_mb", 0, 0, maxTenantResource, "most memory that the tenant's tasks may use at once, in megabytes; 0: no limit"},
	{"tenant", "max_accelerators", 0, 0, maxTenantResource, "most accelerators that the tenant's tasks may use at once; 0: no limit"},
	{"rack", "weight", 100, 0, 10_000, "preference for the rack, in percent; 0: no tasks start in the rack"},
}

var textKeys = []textKey{
	{"tenant", keyHashesKey, regexp.MustCompile(`^[0-9a-f]{32}( [0-9a-f]{32})*$`), maxKeyHashesBytes, "hashes of 32 hex digits, separated by spaces", "hashes of the API keys that the tenant's requests carry", true},
	{"queue", "pool", poolPattern, 63, "the name of a pool", "pool whose workers run the queue's tasks; if not set: workers without a pool", false},
	{"queue", "host", regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`), 253, "a host name without a port", "host that the queue's route matches; if not set: any host", false},
	{"queue", "prefix", regexp.MustCompile(`^/[^\x00-\x20?#\x7f]*$`), 256, "the beginning of a path", "path prefix that the queue's route matches; the longest matching prefix wins", false},
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

// DescribeKeys returns one line of help for each configuration key.
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
