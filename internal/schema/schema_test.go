package schema_test

import (
	"reflect"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

// jsonNames lists the JSON names of fields, by field number, for the messages of the clients',
// workers' and operators' interfaces, of settings files and of the state view. These names must
// not change, even if a field is renamed in the schema.
var jsonNames = []struct {
	message any
	names   map[int]string
}{
	{&schema.Settings{}, map[int]string{1: "cell", 2: "inner", 3: "outer", 4: "seeds", 5: "data", 6: "trace", 7: "warn_us", 8: "test_sync_us", 9: "test_cuts", 10: "first", 11: "losses", 12: "bounds", 20: "zone_losses", 21: "region_losses", 22: "regions", 23: "disk_bytes"}},
	{&schema.Bounds{}, map[int]string{1: "hold_most_us", 2: "stop_us", 3: "gather_us", 4: "status_us", 5: "apply_us", 6: "away_milli", 7: "save_us", 8: "restore_us", 9: "beat_us", 10: "drain_us", 20: "contact_us", 21: "catch_up_us", 22: "acknowledge_us", 23: "quota_overrun_milli"}},
	{&schema.ConfigurationRow{}, map[int]string{1: "kind", 2: "name", 3: "key", 4: "value", 5: "label"}},
	{&schema.Configuration{}, map[int]string{1: "generation", 2: "rows", 3: "edition", 4: "document", 5: "packed_rows", 6: "former_tenants"}},
	{&schema.ConfigurationUpdate{}, map[int]string{1: "generation", 2: "rows", 3: "edition", 4: "base_edition", 5: "document", 6: "patch", 7: "removed", 8: "names_are_labels", 9: "submitted_digest"}},
	{&schema.Member{}, map[int]string{1: "id", 2: "boot", 3: "role", 4: "cell", 5: "inner", 6: "outer", 7: "stores", 8: "leaving", 9: "beat", 10: "latency_us", 11: "queue_command_version", 12: "relays_polls"}},
	{&schema.QueuePlacement{}, map[int]string{1: "queue", 2: "generation", 3: "founders", 4: "leader"}},
	{&schema.WorkerLease{}, map[int]string{1: "worker", 2: "scheduler", 3: "generation"}},
	{&schema.Step{}, map[int]string{1: "name", 2: "tasks", 3: "after", 4: "cores_milli", 5: "memory_mb", 6: "together", 7: "allowed_failures", 8: "time_limit_us", 9: "still_us", 10: "accelerators", 11: "labels", 12: "data_rack", 13: "one_rack", 14: "per_worker", 15: "copies", 16: "lasting", 17: "saves", 18: "estimate_us"}},
	{&schema.Job{}, map[int]string{1: "text", 2: "steps", 3: "delay_us", 4: "start_wall_us", 5: "rounds", 6: "every_us"}},
	{&schema.StepView{}, map[int]string{1: "name", 2: "state", 3: "waiting", 4: "running", 5: "done", 6: "failures"}},
	{&schema.JobView{}, map[int]string{1: "queue", 2: "name", 3: "state", 4: "why", 5: "tasks", 6: "done", 7: "steps", 8: "started", 9: "verdict", 10: "tenant"}},
	{&schema.QueueCounts{}, map[int]string{1: "live", 2: "waiting", 3: "out", 4: "not_begun"}},
	{&schema.JobList{}, map[int]string{1: "jobs", 2: "next"}},
	{&schema.GatewayEndpoint{}, map[int]string{1: "address", 2: "cell", 3: "leaving"}},
	{&schema.GatewayList{}, map[int]string{1: "fronts"}},
	{&schema.Error{}, map[int]string{1: "code", 2: "message", 3: "field", 4: "given", 5: "current"}},
	{&schema.TaskStatus{}, map[int]string{1: "queue", 2: "job", 3: "step", 4: "task", 5: "attempt", 6: "state", 7: "run_us", 8: "still_us", 9: "cores_milli", 10: "memory_mb", 11: "name", 12: "round", 13: "part", 14: "saved", 15: "percent", 16: "accelerators", 17: "tenant"}},
	{&schema.WorkerHeartbeat{}, map[int]string{1: "incarnation", 2: "seq", 3: "cores_milli", 4: "memory_mb", 5: "rack", 6: "leaving", 7: "running", 8: "ended", 9: "ward", 10: "wait_us", 11: "accelerators", 12: "labels", 13: "pool", 14: "gathers", 15: "departure_us", 16: "over", 17: "cold_us", 18: "named", 19: "unanswered"}},
	{&schema.TaskOrder{}, map[int]string{1: "act", 2: "queue", 3: "name", 4: "job", 5: "step", 6: "task", 7: "attempt", 8: "hand", 9: "term", 10: "step_name", 11: "text", 12: "cores_milli", 13: "memory_mb", 14: "round", 15: "part", 16: "saved", 17: "accelerators", 18: "tenant"}},
	{&schema.WorkerOrders{}, map[int]string{1: "ward", 2: "lease_us", 3: "noted", 4: "orders", 5: "scheduler", 6: "inspection_pause_us"}},
}

// TestJSONNames checks that encoding/json writes and reads each field under its JSON name.
func TestJSONNames(t *testing.T) {
	for _, expected := range jsonNames {
		message := reflect.TypeOf(expected.message).Elem()
		Convey(message.Name(), t, func() {
			So(namesInJSON(message), ShouldResemble, expected.names)
		})
	}
}

// TestUnmarshalJSON checks that all spellings of a field's name that were accepted before the
// field was renamed are still accepted.
func TestUnmarshalJSON(t *testing.T) {
	for _, test := range []struct {
		description, json string
		baseVersion       uint64
		err               string // expected part of the error; empty: no error
	}{
		{"the name in JSON", `{"base_edition":7}`, 7, ""},
		{"the name in lower camel case", `{"baseEdition" : "7"}`, 7, ""},
		{"the name in the schema", `{"base_version":7}`, 7, ""},
		{"a name inside a value isn't replaced", `{"base_edition":7,"rows":[{"value":"\"baseEdition\":"}]}`, 7, ""},
		{"an unknown name", `{"baseEdition":7,"bogus":1}`, 0, `unknown field "bogus"`},
		{"a name given twice", `{"baseEdition":7,"base_edition":8}`, 0, `duplicate field "base_edition"`},
	} {
		Convey(test.description, t, func() {
			update := &schema.ConfigurationUpdate{}
			err := schema.UnmarshalJSON([]byte(test.json), update)
			if test.err != "" {
				So(err, ShouldNotBeNil)
				So(strings.ReplaceAll(err.Error(), "\u00a0", " "), ShouldContainSubstring, test.err)
				return
			}
			So(err, ShouldBeNil)
			So(update.BaseVersion, ShouldEqual, test.baseVersion)
		})
	}
}

// namesInJSON returns the JSON names of the fields of a generated message, by field number, as
// read from the struct tags.
func namesInJSON(message reflect.Type) map[int]string {
	names := map[int]string{}
	for i := range message.NumField() {
		tag := message.Field(i).Tag
		parts := strings.Split(tag.Get("protobuf"), ",")
		if len(parts) < 2 {
			continue // the struct field isn't a field of the schema
		}
		number, err := strconv.Atoi(parts[1])
		So(err, ShouldBeNil)
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		names[number] = name
	}
	return names
}
