package clusterstate

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestRoutes(t *testing.T) {
	routeRows := func(queue, host, prefix string) []*schema.ConfigurationRow {
		return []*schema.ConfigurationRow{row("queue", queue, "host", host), row("queue", queue, "prefix", prefix)}
	}
	Convey("A queue is found by the host and the longest matching prefix of the path", t, func() {
		rows := append(routeRows("short", "One.example", "/a/"), routeRows("long", "one.example", "/a/b/")...)
		rows = append(rows, routeRows("other", "two.example", "/a/")...)
		rows = append(rows, row("queue", "everywhere", "prefix", "/z/"), row("queue", "whole", "host", "three.example"), row("queue", "none", "urgency", "1"))
		So(ValidateRows(rows), ShouldBeNil)
		v := ParseValues(&schema.Configuration{Rows: rows})
		for _, request := range []struct{ host, path, queue, rest string }{
			{"one.example", "/a/j1", "short", "j1"},
			{"ONE.example:8080", "/a/b/j1", "long", "j1"},
			{"one.example.:80", "/a/j1", "short", "j1"},
			{"one.example", "/a/b", "short", "b"},
			{"one.example", "/a/", "short", ""},
			{"two.example", "/a/b/j1", "other", "b/j1"},
			{"three.example", "/any", "whole", "any"},
			{"two.example", "/z/j1", "everywhere", "j1"},
			{"", "/z/j1", "everywhere", "j1"},
			{"one.example", "/a", "", ""},
			{"four.example", "/a/j1", "", ""},
		} {
			queue, rest, found := v.MatchRoute(request.host, request.path)
			So([]any{request.host, request.path, queue, rest, found}, ShouldResemble, []any{request.host, request.path, request.queue, request.rest, request.queue != ""})
		}
	})
	Convey("A host with another spelling is the same", t, func() {
		for spelled, normalized := range map[string]string{"One.Example.": "one.example", "one.example:80": "one.example", "[::1]:80": "::1", "[::1]": "::1", "::1": "::1", "": ""} {
			So(NormalizeHost(spelled), ShouldEqual, normalized)
		}
	})
	Convey("Two queues with the same route are an error that names them, even if the routes are spelled differently", t, func() {
		fault := ValidateRows(append(routeRows("x", "one.example", "/a/"), routeRows("y", "ONE.example", "/a/")...))
		So(fault.Field, ShouldEqual, "rows[3].value")
		So(fault.Message, ShouldContainSubstring, "queues x and y")
		So(ValidateRows(append(routeRows("x", "one.example", "/"), row("queue", "y", "host", "one.example"))).Field, ShouldEqual, "rows[2].value")
		So(ValidateRows(append(routeRows("x", "one.example", "/a/"), routeRows("y", "two.example", "/a/")...)), ShouldBeNil)
	})
	Convey("Values of text keys and the pools that queues refer to are validated", t, func() {
		pool := row("pool", "P.1_x", "guards", "0")
		So(ValidateRows([]*schema.ConfigurationRow{row("queue", "x", "pool", "P.1_x"), pool}), ShouldBeNil)
		for _, invalid := range []struct {
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
			So(ValidateRows([]*schema.ConfigurationRow{pool, invalid.row}).Field, ShouldEqual, invalid.field)
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
	Convey("A configuration can have 2000 queues that set every key", t, func() {
		rows := []*schema.ConfigurationRow{row("pool", "p", "guards", "1")}
		for k := 0; k < 2000; k++ {
			name := fmt.Sprintf("queue-%d", k)
			rows = append(rows, routeRows(name, "one.example", fmt.Sprintf("/%d/", k))...)
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
