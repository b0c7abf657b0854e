package clusterstate

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

func apply(m *StateMachine, at int64, command *schema.ClusterStateCommand) *Result {
	data, err := proto.Marshal(command)
	So(err, ShouldBeNil)
	result, err := m.Apply(at, data)
	So(err, ShouldBeNil)
	return result
}

func putRows(m *StateMachine, generation *uint64, rows ...*schema.ConfigurationRow) *Result {
	return apply(m, 1, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: &schema.ConfigurationUpdate{BaseRevision: generation, Rows: rows}}}})
}

func row(kind, name, key, value string) *schema.ConfigurationRow {
	return &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: value}
}

func TestPlan(t *testing.T) {
	Convey("The table is taken whole, and only on the current generation", t, func() {
		m := New()
		good := row("queue", "quotes", "urgency", "50")
		So(putRows(m, nil, good).Code, ShouldEqual, 428)
		So(putRows(m, proto.Uint64(0), good).Code, ShouldEqual, 200)
		Convey("a resend of what just took effect is done already", func() {
			result := putRows(m, proto.Uint64(0), good)
			So(result.Code, ShouldEqual, 200)
			So(result.Configuration.Revision, ShouldEqual, 1)
			So(m.State().Configuration.Revision, ShouldEqual, 1)
		})
		Convey("an outdated sheet is turned away with both generations", func() {
			result := putRows(m, proto.Uint64(0), row("queue", "quotes", "urgency", "51"))
			So(result.Code, ShouldEqual, 412)
			So(result.Error.Given, ShouldEqual, 0)
			So(result.Error.Current, ShouldEqual, 1)
			So(ParseValues(m.State().Configuration).Number("queue", "quotes", "urgency"), ShouldEqual, 50)
		})
		Convey("a bad row is named and nothing of the sheet applies", func() {
			for field, bad := range map[string]*schema.ConfigurationRow{
				"rows[1].kind":  row("robot", "x", "urgency", "1"),
				"rows[1].name":  row("queue", "No Name", "urgency", "1"),
				"rows[1].key":   row("queue", "x", "speed", "1"),
				"rows[1].value": row("queue", "x", "urgency", "many"),
			} {
				result := putRows(m, proto.Uint64(1), row("queue", "quotes", "urgency", "60"), bad)
				So(result.Code, ShouldEqual, 422)
				So(result.Error.Field, ShouldEqual, field)
			}
			So(putRows(m, proto.Uint64(1), good, good).Error.Field, ShouldEqual, "rows[1].key")
			So(putRows(m, proto.Uint64(1), row("fleet", "", "status_s", "10")).Error.Field, ShouldEqual, "rows[0].value")
			So(m.State().Configuration.Revision, ShouldEqual, 1)
		})
	})
}

func TestLease(t *testing.T) {
	Convey("An old controller is fenced by the log itself", t, func() {
		m := New()
		claim := func(at int64, id string) *Result {
			return apply(m, at, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: id}}})
		}
		wards := func(at int64, lease uint64, scheduler string) int32 {
			return apply(m, at, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_AssignWorkers{AssignWorkers: &schema.AssignWorkers{
				FencingToken: lease, WorkerLeases: []*schema.WorkerLease{{Worker: "w", Scheduler: scheduler}}}}}).Code
		}
		first := claim(1, "h1")
		So(first.Code, ShouldEqual, 200)
		So(claim(2, "h2").Code, ShouldEqual, 409)
		So(claim(3, "h1").FencingToken, ShouldEqual, first.FencingToken)
		So(wards(4, first.FencingToken, "a"), ShouldEqual, 200)
		generation := FindWorkerLease(m.State(), "w").FencingToken
		second := claim(4+ControllerLeaseUs, "h2")
		So(second.Code, ShouldEqual, 200)
		So(second.FencingToken, ShouldBeGreaterThan, first.FencingToken)
		So(wards(5+ControllerLeaseUs, first.FencingToken, "b"), ShouldEqual, 403)
		So(wards(5+ControllerLeaseUs, second.FencingToken, "b"), ShouldEqual, 200)
		So(FindWorkerLease(m.State(), "w").FencingToken, ShouldBeGreaterThan, generation)
		Convey("and the state survives rest", func() {
			again, err := Restore(m.Snapshot())
			So(err, ShouldBeNil)
			So(proto.Equal(again.State(), m.State()), ShouldBeTrue)
		})
		Convey("and renewals bother nobody who carries a copy", func() {
			version := m.Version()
			claim(6+ControllerLeaseUs, "h2")
			So(m.Version(), ShouldEqual, version)
		})
	})
}

func putVersion(m *StateMachine, number, base uint64, document string, rows ...*schema.ConfigurationRow) *Result {
	return apply(m, 1, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{
		Update: &schema.ConfigurationUpdate{Version: number, BaseVersion: base, Document: []byte(document), Rows: rows}}}})
}

func TestEditions(t *testing.T) {
	Convey("An author who numbers editions needs no generation", t, func() {
		m := New()
		quotes := row("queue", "quotes", "urgency", "50")
		So(putVersion(m, 3, 0, "three", quotes).Code, ShouldEqual, 200)
		So(m.Configuration().Version, ShouldEqual, 3)
		So(m.Configuration().Revision, ShouldEqual, 1)
		So(string(m.Configuration().Document), ShouldEqual, "three")
		So(putVersion(m, 7, 3, "seven", quotes).Code, ShouldEqual, 200)
		Convey("what has been taken is answered so again, also when another has followed", func() {
			So(putVersion(m, 7, 3, "seven", quotes).Code, ShouldEqual, 200)
			result := putVersion(m, 3, 0, "three", quotes)
			So(result.Code, ShouldEqual, 200)
			So(result.Configuration.Version, ShouldEqual, 7)
			So(m.Configuration().Revision, ShouldEqual, 2)
			again, err := Restore(m.Snapshot())
			So(err, ShouldBeNil)
			So(putVersion(again, 3, 0, "three", quotes).Code, ShouldEqual, 200)
		})
		Convey("of two on one base the second is turned away, with both numbers", func() {
			result := putVersion(m, 8, 3, "eight", quotes)
			So(result.Code, ShouldEqual, 412)
			So(result.Error.Code, ShouldEqual, "outdated")
			So(result.Error.Field, ShouldEqual, "base_edition")
			So([]uint64{result.Error.Given, result.Error.Current}, ShouldResemble, []uint64{3, 7})
			So(putVersion(m, 7, 3, "another seven", quotes).Code, ShouldEqual, 412)
		})
		Convey("the number must rise", func() {
			for _, number := range []uint64{7, 5} {
				result := putVersion(m, number, 7, "other", quotes)
				So(result.Code, ShouldEqual, 422)
				So(result.Error.Code, ShouldEqual, "bad_edition")
				So(result.Error.Field, ShouldEqual, "edition")
			}
			So(m.Configuration().Revision, ShouldEqual, 2)
		})
		Convey("a bad row or too large a document changes nothing, and isn't remembered as taken", func() {
			for k := 0; k < 2; k++ {
				So(putVersion(m, 9, 7, "nine", row("queue", "x", "pool", "none")).Code, ShouldEqual, 422)
			}
			So(putVersion(m, 9, 7, strings.Repeat("x", maxDocumentBytes+1), quotes).Error.Field, ShouldEqual, "document")
			So(putVersion(m, 9, 7, strings.Repeat("x", maxDocumentBytes), quotes).Code, ShouldEqual, 200)
		})
		Convey("a sheet without an edition keeps it, and the next edition builds on it", func() {
			So(putRows(m, proto.Uint64(2), quotes, row("fleet", "", "window", "9")).Code, ShouldEqual, 200)
			So(m.Configuration().Version, ShouldEqual, 7)
			So(string(m.Configuration().Document), ShouldEqual, "seven")
			So(putVersion(m, 8, 7, "eight", quotes).Code, ShouldEqual, 200)
		})
		Convey("documents are kept of the current one alone, and what others carry holds none, nor the past", func() {
			So(m.History()[1].Version, ShouldEqual, 3)
			So(m.History()[1].Document, ShouldBeEmpty)
			shown := m.SharedState()
			So(shown.Configuration.Version, ShouldEqual, 7)
			So(shown.Configuration.Document, ShouldBeEmpty)
			So(shown.PreviousConfigurations, ShouldBeEmpty)
			So(shown.AcceptedVersions, ShouldBeEmpty)
			// It is the same plan as long as nothing is put.
			So(m.SharedState().Configuration == shown.Configuration, ShouldBeTrue)
		})
		Convey("where there is no document the rows tell editions apart", func() {
			So(putVersion(m, 9, 7, "", quotes).Code, ShouldEqual, 200)
			So(putVersion(m, 9, 7, "", quotes).Code, ShouldEqual, 200)
			So(putVersion(m, 9, 7, "", row("queue", "quotes", "urgency", "51")).Code, ShouldEqual, 412)
		})
	})
	Convey("However many and large the plans were, what is kept is bounded", t, func() {
		m := New()
		var rows []*schema.ConfigurationRow
		for k := 0; k < 10_000; k++ {
			rows = append(rows, row("queue", fmt.Sprintf("queue-%d", k), "urgency", "50"))
		}
		for k := uint64(1); k <= 30; k++ {
			So(putVersion(m, k, k-1, strings.Repeat("x", 1000)+fmt.Sprint(k), rows...).Code, ShouldEqual, 200)
		}
		So(len(m.History()), ShouldBeLessThanOrEqualTo, 8)
		for k := uint64(31); k <= maxRememberedUpdates+100; k++ {
			So(putVersion(m, k, k-1, fmt.Sprint(k), rows[:3]...).Code, ShouldEqual, 200)
		}
		So(len(m.state.AcceptedVersions), ShouldEqual, maxRememberedUpdates)
		So(len(m.History()), ShouldEqual, maxHistory)
	})
}

func TestEntries(t *testing.T) {
	entryRows := func(queue, host, prefix string) []*schema.ConfigurationRow {
		return []*schema.ConfigurationRow{row("queue", queue, "host", host), row("queue", queue, "prefix", prefix)}
	}
	Convey("A queue is found by host and the longest prefix of the path", t, func() {
		rows := append(entryRows("short", "One.example", "/a/"), entryRows("long", "one.example", "/a/b/")...)
		rows = append(rows, entryRows("other", "two.example", "/a/")...)
		rows = append(rows, row("queue", "everywhere", "prefix", "/z/"), row("queue", "whole", "host", "three.example"), row("queue", "none", "urgency", "1"))
		So(ValidateRows(rows), ShouldBeNil)
		v := ParseValues(&schema.Configuration{Rows: rows})
		for _, each := range []struct{ host, path, queue, rest string }{
			{"one.example", "/a/j1", "short", "j1"},
			{"ONE.example:8080", "/a/b/j1", "long", "j1"},
			{"one.example", "/a/b", "short", "b"},
			{"one.example", "/a/", "short", ""},
			{"two.example", "/a/b/j1", "other", "b/j1"},
			{"three.example", "/any", "whole", "any"},
			{"two.example", "/z/j1", "everywhere", "j1"},
			{"", "/z/j1", "everywhere", "j1"},
			{"one.example", "/a", "", ""},
			{"four.example", "/a/j1", "", ""},
		} {
			queue, rest, isFound := v.MatchRoute(each.host, each.path)
			So([]any{each.host, each.path, queue, rest, isFound}, ShouldResemble, []any{each.host, each.path, each.queue, each.rest, each.queue != ""})
		}
	})
	Convey("Two with one host and prefix are named, whatever the case or what is left out", t, func() {
		fault := ValidateRows(append(entryRows("x", "one.example", "/a/"), entryRows("y", "ONE.example", "/a/")...))
		So(fault.Field, ShouldEqual, "rows[3].value")
		So(fault.Message, ShouldContainSubstring, "queues x and y")
		So(ValidateRows(append(entryRows("x", "one.example", "/"), row("queue", "y", "host", "one.example"))).Field, ShouldEqual, "rows[2].value")
		So(ValidateRows(append(entryRows("x", "one.example", "/a/"), entryRows("y", "two.example", "/a/")...)), ShouldBeNil)
	})
	Convey("Texts and pools are checked like numbers", t, func() {
		pool := row("pool", "P.1_x", "guards", "0")
		So(ValidateRows([]*schema.ConfigurationRow{row("queue", "x", "pool", "P.1_x"), pool}), ShouldBeNil)
		for _, each := range []struct {
			row   *schema.ConfigurationRow
			field string
		}{
			{row("queue", "x", "pool", "other"), "rows[1].value"},
			{row("queue", "x", "pool", ""), "rows[1].value"},
			{row("queue", "x", "host", "a b"), "rows[1].value"},
			{row("queue", "x", "host", "one.example:80"), "rows[1].value"},
			{row("queue", "x", "prefix", "a/"), "rows[1].value"},
			{row("queue", "x", "prefix", "/"+strings.Repeat("a", 256)), "rows[1].value"},
			{row("queue", "x", "attempts", "0"), "rows[1].value"},
			{row("queue", "x", "attempts", "1001"), "rows[1].value"},
			{row("queue", "x", "timeout_ms", "0"), "rows[1].value"},
			{row("queue", "x", "guards", "1"), "rows[1].key"},
			{row("queue", "clusterstate", "urgency", "1"), "rows[1].name"},
			{row("pool", "a/b", "guards", "1"), "rows[1].name"},
			{row("pool", "x", "guards", "2"), "rows[1].value"},
		} {
			So(ValidateRows([]*schema.ConfigurationRow{pool, each.row}).Field, ShouldEqual, each.field)
		}
		v := ParseValues(&schema.Configuration{Rows: []*schema.ConfigurationRow{row("queue", "x", "pool", "P.1_x"), row("queue", "x", "attempts", "4"), pool}})
		So(v.Text("queue", "x", "pool"), ShouldEqual, "P.1_x")
		So(v.Text("queue", "y", "pool"), ShouldEqual, "")
		So(v.Number("pool", "P.1_x", "guards"), ShouldEqual, 0)
		So(v.Number("pool", "other", "guards"), ShouldEqual, 1)
		So(v.Number("queue", "x", "timeout_ms"), ShouldEqual, 10_000)
		So(v.IsSet("queue", "x", "attempts"), ShouldBeTrue)
		So(v.IsSet("queue", "y", "attempts"), ShouldBeFalse)
	})
	Convey("A plan holds 2000 queues that state every key", t, func() {
		rows := []*schema.ConfigurationRow{row("pool", "p", "guards", "1")}
		for k := 0; k < 2000; k++ {
			name := fmt.Sprintf("queue-%d", k)
			rows = append(rows, entryRows(name, "one.example", fmt.Sprintf("/%d/", k))...)
			rows = append(rows, row("queue", name, "pool", "p"))
			for _, key := range numberKeys {
				if key.kind == "queue" {
					rows = append(rows, row("queue", name, key.name, strconv.FormatInt(max(key.min, 1), 10)))
				}
			}
		}
		So(ValidateRows(rows), ShouldBeNil)
		v := ParseValues(&schema.Configuration{Rows: rows})
		So(len(v.Queues()), ShouldEqual, 2000)
		queue, rest, _ := v.MatchRoute("one.example", "/1999/j")
		So([]string{queue, rest}, ShouldResemble, []string{"queue-1999", "j"})
	})
}
