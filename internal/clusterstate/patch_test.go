package clusterstate

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sparnotch/internal/schema"
)

// patchVersion applies a patch whose author numbers the versions.
func patchVersion(m *StateMachine, version, base uint64, document string, removed []*schema.ConfigurationItem, rows ...*schema.ConfigurationRow) *Result {
	return apply(m, 1, updateCommand(&schema.ConfigurationUpdate{
		Version: version, BaseVersion: base, Document: []byte(document), IsPatch: true, Removed: removed, Rows: rows,
	}))
}

// updateCommand returns the command that submits an update.
func updateCommand(update *schema.ConfigurationUpdate) *schema.ClusterStateCommand {
	return &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}}
}

func item(kind, name string) *schema.ConfigurationItem {
	return &schema.ConfigurationItem{Kind: kind, Name: name}
}

const patchedDocument = `{"version":5,"routes":[{"name":"a","n":1.50},{"name":"b"}],"limits":{"x":"<&>"}}`

func TestPatch(t *testing.T) {
	Convey("A patch changes the rows and items that it names in the configuration that it is based on", t, func() {
		m := New()
		So(putVersion(m, 5, 0, patchedDocument, row("queue", "a", "urgency", "1"), row("queue", "a", "attempts", "3"), row("queue", "b", "urgency", "2"), row("pool", "p", "guards", "1")).Code, ShouldEqual, 200)
		Convey("it sets rows, removes items and leaves everything else unchanged", func() {
			result := patchVersion(m, 9, 5, `{"version":9,"upsert":{"routes":[{"name":"c"},{"name":"a","n":2}]},"remove":{"routes":["b","gone"]}}`,
				[]*schema.ConfigurationItem{item("queue", "b"), item("queue", "gone"), item("queue", "a")}, row("queue", "a", "urgency", "7"), row("queue", "c", "pool", "p"))
			So(result.Code, ShouldEqual, 200)
			So(canonicalRows(result.Configuration.Rows), ShouldResemble, canonicalRows([]*schema.ConfigurationRow{
				row("pool", "p", "guards", "1"), row("queue", "a", "urgency", "7"), row("queue", "c", "pool", "p"),
			}))
			So(string(result.Configuration.Document), ShouldEqual, `{"limits":{"x":"<&>"},"routes":[{"name":"a","n":2},{"name":"c"}],"version":9}`)
			So(result.Configuration.Version, ShouldEqual, 9)
		})
		Convey("a row that it changes keeps its position", func() {
			So(patchVersion(m, 6, 5, "", nil, row("queue", "a", "attempts", "4")).Code, ShouldEqual, 200)
			So(m.Configuration().Rows[1].Value, ShouldEqual, "4")
			So(len(m.Configuration().Rows), ShouldEqual, 4)
			So(string(m.Configuration().Document), ShouldEqual, patchedDocument)
		})
		Convey("a retry is acknowledged; the same patch on another base is a different update", func() {
			change := `{"version":8,"upsert":{"routes":[{"name":"z"}]}}`
			So(patchVersion(m, 6, 5, `{"version":6}`, nil).Code, ShouldEqual, 200)
			So(patchVersion(m, 8, 5, change, nil).Code, ShouldEqual, 412)
			So(patchVersion(m, 8, 6, change, nil).Code, ShouldEqual, 200)
			So(patchVersion(m, 8, 6, change, nil).Code, ShouldEqual, 200)
			So(patchVersion(m, 8, 5, change, nil).Code, ShouldEqual, 412)
			So(m.Configuration().Revision, ShouldEqual, 3)
		})
		Convey("a patch whose base hasn't been accepted yet may be sent again, whatever it contains", func() {
			So(patchVersion(m, 9, 7, `{"version":9}`, nil, row("queue", "a", "pool", "q")).Code, ShouldEqual, 503)
		})
		Convey("a patch that makes the configuration invalid is rejected and changes nothing", func() {
			for name, result := range map[string]*Result{
				"unknown pool":       patchVersion(m, 6, 5, "", nil, row("queue", "a", "pool", "q")),
				"row set twice":      patchVersion(m, 6, 5, "", nil, row("queue", "a", "urgency", "3"), row("queue", "a", "urgency", "4")),
				"version not higher": patchVersion(m, 5, 5, "", nil),
				"no JSON":            patchVersion(m, 6, 5, `{"version":6`, nil),
				"no object":          patchVersion(m, 6, 5, `null`, nil),
				"item without name":  patchVersion(m, 6, 5, `{"upsert":{"routes":[{}]}}`, nil),
				"item named twice":   patchVersion(m, 6, 5, `{"upsert":{"routes":[{"name":"a"},{"name":"a"}]}}`, nil),
				"set and removed":    patchVersion(m, 6, 5, `{"upsert":{"routes":[{"name":"a"}]},"remove":{"routes":["a"]}}`, nil),
				"no list":            patchVersion(m, 6, 5, `{"upsert":{"limits":[{"name":"a"}]}}`, nil),
				"large":              patchVersion(m, 6, 5, `{"version":6,"more":"`+strings.Repeat("x", maxDocumentBytes)+`"}`, nil),
			} {
				So(name+fmt.Sprint(result.Code), ShouldEqual, name+"422")
			}
			So(string(m.Configuration().Document), ShouldEqual, patchedDocument)
			So(m.Configuration().Revision, ShouldEqual, 1)
		})
		Convey("an edit without a version may also be a patch", func() {
			update := &schema.ConfigurationUpdate{BaseRevision: proto.Uint64(1), IsPatch: true, Rows: []*schema.ConfigurationRow{row("queue", "b", "urgency", "9")}}
			So(apply(m, 1, updateCommand(update)).Code, ShouldEqual, 200)
			So(apply(m, 1, updateCommand(update)).Code, ShouldEqual, 200)
			So(m.Configuration().Revision, ShouldEqual, 2)
			So(m.Configuration().Version, ShouldEqual, 5)
			So(string(m.Configuration().Document), ShouldEqual, patchedDocument)
			update.Rows[0].Value = "8"
			So(apply(m, 1, updateCommand(update)).Code, ShouldEqual, 412)
		})
	})
	Convey("A document that isn't a JSON object can't be patched", t, func() {
		m := New()
		So(putVersion(m, 5, 0, "text").Code, ShouldEqual, 200)
		So(patchVersion(m, 6, 5, `{"version":6}`, nil).Code, ShouldEqual, 422)
	})
}

// TestPatchIsCompareAndSet checks a mix of patches and whole updates against the model of
// TestReplaceIsCompareAndSet: patches get the same results as whole updates.
func TestPatchIsCompareAndSet(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(t *rapid.T) {
		model := newReplaceModel()
		draw := func(low, high uint64) uint64 { return rapid.Uint64Range(low, high).Draw(t, "number") }
		patch := func(version, base uint64) *schema.ConfigurationUpdate {
			return &schema.ConfigurationUpdate{Version: version, BaseVersion: base, IsPatch: true, Rows: []*schema.ConfigurationRow{row("rack", "r", "weight", fmt.Sprint(draw(1, 3)))}}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": model.checkState,
			"patch of the current version": func(t *rapid.T) {
				model.apply(t, patch(model.version+draw(1, 3), model.version))
			},
			"patch of any version": func(t *rapid.T) {
				base := draw(0, model.version+5)
				model.apply(t, patch(max(1, base+draw(0, 3)), base))
			},
			"whole update": func(t *rapid.T) {
				model.apply(t, &schema.ConfigurationUpdate{Version: model.version + draw(1, 3), BaseVersion: model.version, Document: model.newDocument(), Rows: model.newRows()})
			},
			"retried": func(t *rapid.T) { model.apply(t, model.drawSent(t)) },
			"restart from the snapshot": func(t *rapid.T) {
				restored, err := Restore(model.machine.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				model.machine = restored
			},
		})
	})
}

// TestPatchContent checks that after any sequence of patches, the rows and the document equal a
// map that was changed in the same way, and that two replicas hold the same bytes.
func TestPatchContent(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(t *rapid.T) {
		replicas := []*StateMachine{New(), New()}
		wanted := map[string]string{}
		version := uint64(1)
		send := func(update *schema.ConfigurationUpdate) {
			data, err := proto.Marshal(updateCommand(update))
			if err != nil {
				t.Fatal(err)
			}
			for _, replica := range replicas {
				if result, err := replica.Apply(1, data); err != nil || result.Code != 200 {
					t.Fatalf("the update got the result %v and the error %v", result, err)
				}
			}
		}
		send(&schema.ConfigurationUpdate{Version: version, Document: []byte(`{"version":1,"racks":[]}`)})
		for range rapid.IntRange(1, 20).Draw(t, "patches") {
			update := &schema.ConfigurationUpdate{Version: version + 1, BaseVersion: version, IsPatch: true}
			version++
			upserted, removed := []map[string]string{}, []string{}
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 0, 3, rapid.ID).Draw(t, "names") {
				update.Removed = append(update.Removed, item("rack", name))
				if rapid.Bool().Draw(t, "remove") {
					removed = append(removed, name)
					delete(wanted, name)
					continue
				}
				wanted[name] = fmt.Sprint(rapid.IntRange(1, 99).Draw(t, "weight"))
				upserted = append(upserted, map[string]string{"name": name, "weight": wanted[name]})
				update.Rows = append(update.Rows, row("rack", name, "weight", wanted[name]))
			}
			document, err := json.Marshal(map[string]any{"version": version, "upsert": map[string]any{"racks": upserted}, "remove": map[string]any{"racks": removed}})
			if err != nil {
				t.Fatal(err)
			}
			update.Document = document
			send(update)
			checkPatched(t, replicas, wanted, version)
		}
	})
}

// checkPatched compares the rows and the document with the wanted weights by rack, and the two
// replicas with each other.
func checkPatched(t *rapid.T, replicas []*StateMachine, wanted map[string]string, version uint64) {
	configuration := replicas[0].Configuration()
	if string(replicas[0].Snapshot()) != string(replicas[1].Snapshot()) {
		t.Fatal("the snapshots of the two replicas differ")
	}
	rows := map[string]string{}
	for _, row := range configuration.Rows {
		rows[row.Name] = row.Value
	}
	var document struct {
		Version uint64
		Racks   []struct{ Name, Weight string }
	}
	if err := json.Unmarshal(configuration.Document, &document); err != nil {
		t.Fatal(err)
	}
	items := map[string]string{}
	for _, rack := range document.Racks {
		items[rack.Name] = rack.Weight
	}
	if fmt.Sprint(rows) != fmt.Sprint(wanted) || fmt.Sprint(items) != fmt.Sprint(wanted) || len(document.Racks) != len(wanted) || document.Version != version {
		t.Fatalf("rows %v, document %s, want %v", rows, configuration.Document, wanted)
	}
}
