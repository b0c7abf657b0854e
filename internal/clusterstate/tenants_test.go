package clusterstate

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// keyRow is a tenant's row with the hashes of keys.
func keyRow(tenant string, keys ...string) *schema.ConfigurationRow {
	hashes := make([]string, len(keys))
	for k, key := range keys {
		hashes[k] = HashKey(key)
	}
	return row("tenant", tenant, "key_hashes", strings.Join(hashes, " "))
}

// TestTenantsSharingAKeyAreInvalid guards against a configuration that is taken although the
// tenant of a call with one of its keys isn't certain.
func TestTenantsSharingAKeyAreInvalid(t *testing.T) {
	Convey("Two tenants that share a key", t, func() {
		shared := HashKey("shared")
		rejectsBoth := func(fault *schema.Error) {
			So(fault, ShouldNotBeNil)
			So(fault.Message, ShouldContainSubstring, "north")
			So(fault.Message, ShouldContainSubstring, "south")
			So(fault.String(), ShouldNotContainSubstring, shared)
		}
		Convey("are invalid in whole configurations", func() {
			rows := []*schema.ConfigurationRow{
				row("tenant", "north", "weight_milli", "1000"), keyRow("north", "own", "shared"), keyRow("south", "shared", "other"),
			}
			rejectsBoth(ValidateRows(rows))
			So(ValidateRows(rows).Field, ShouldEqual, "rows[2].value")
			So(putRows(New(), proto.Uint64(0), rows...).Code, ShouldEqual, 422)
			So(putVersion(New(), 5, 0, "{}", rows...).Code, ShouldEqual, 422)
		})
		Convey("are invalid after a patch is applied to its base", func() {
			m := New()
			So(putVersion(m, 5, 0, "{}", keyRow("north", "shared")).Code, ShouldEqual, 200)
			result := patchVersion(m, 6, 5, "", nil, keyRow("south", "shared"))
			So(result.Code, ShouldEqual, 422)
			rejectsBoth(result.Error)
			So(m.Configuration().Version, ShouldEqual, 5)
		})
		Convey("are valid once one of them has given it up, in the same patch", func() {
			m := New()
			So(putVersion(m, 5, 0, "{}", keyRow("north", "shared")).Code, ShouldEqual, 200)
			So(patchVersion(m, 6, 5, "", nil, keyRow("north", "new"), keyRow("south", "shared")).Code, ShouldEqual, 200)
			tenant, found := m.Values().TenantOfKey(shared)
			So(tenant, ShouldEqual, "south")
			So(found, ShouldBeTrue)
		})
	})
	Convey("A tenant may list a key twice, and tenants may have no keys", t, func() {
		So(ValidateRows([]*schema.ConfigurationRow{keyRow("north", "own", "own"), row("tenant", "south", "weight_milli", "1"), row("tenant", "west", "weight_milli", "1")}), ShouldBeNil)
	})
}

// TestErrorsDoNotShowKeys guards against keys in answers and logs, also where a key stands in
// place of its hash.
func TestErrorsDoNotShowKeys(t *testing.T) {
	Convey("The error of an invalid row of keys has none of them", t, func() {
		fault := ValidateRows([]*schema.ConfigurationRow{row("tenant", "north", "key_hashes", "a-key-in-clear "+HashKey("b"))})
		So(fault.GetField(), ShouldEqual, "rows[0].value")
		So(fault.String(), ShouldNotContainSubstring, "a-key-in-clear")
		So(fault.String(), ShouldNotContainSubstring, HashKey("b"))
	})
}

// TestPatchMakesNoEmptyLists guards against a document that has tenants, of which there are
// none, after a patch that removes one: read as a whole, it would ask every call for a key.
func TestPatchMakesNoEmptyLists(t *testing.T) {
	Convey("A list that a patch neither finds nor adds to isn't made", t, func() {
		for _, change := range []string{
			`{"version":6,"remove":{"tenants":["north"]}}`, `{"version":6,"upsert":{"tenants":[]}}`, `{"version":6,"upsert":{"tenants":null}}`,
		} {
			patched, err := patchDocument([]byte(`{"version":5,"routes":[]}`), []byte(change))
			So(err, ShouldBeNil)
			So(string(patched), ShouldEqual, `{"routes":[],"version":6}`)
		}
		Convey("one that it empties stays", func() {
			patched, err := patchDocument([]byte(`{"tenants":[{"name":"north"}]}`), []byte(`{"version":6,"remove":{"tenants":["north"]}}`))
			So(err, ShouldBeNil)
			So(string(patched), ShouldEqual, `{"tenants":[],"version":6}`)
		})
	})
}

// TestKeysStandInTheDocumentAlone guards against keys in clear outside of the document: in what
// other processes hold, in the history, and in a snapshot's other parts.
func TestKeysStandInTheDocumentAlone(t *testing.T) {
	Convey("A key that a document has", t, func() {
		const key = "a-key-in-clear"
		document := func(version int) string {
			return fmt.Sprintf(`{"version":%d,"tenants":[{"name":"north","api_keys":["%s"]}]}`, version, key)
		}
		m := New()
		So(putVersion(m, 5, 0, document(5), keyRow("north", key)).Code, ShouldEqual, 200)
		So(putVersion(m, 6, 5, document(6), keyRow("north", key), row("tenant", "north", "weight_milli", "7")).Code, ShouldEqual, 200)
		encode := func(message proto.Message) string {
			data, err := proto.Marshal(message)
			So(err, ShouldBeNil)
			return string(data)
		}
		Convey("isn't in the shared state, as it is held and as it is sent", func() {
			update, _ := m.EncodeUpdate(m.SharedState(), 0)
			for _, state := range []proto.Message{m.SharedState(), update} {
				So(encode(state), ShouldContainSubstring, HashKey(key))
				So(encode(state), ShouldNotContainSubstring, key)
			}
		})
		Convey("isn't in the history", func() {
			So(len(m.History()), ShouldEqual, 2)
			for _, previous := range m.History() {
				So(encode(previous), ShouldNotContainSubstring, key)
			}
		})
		Convey("is in a snapshot once, in the document in force", func() {
			So(strings.Count(string(m.Snapshot()), key), ShouldEqual, 1)
			So(string(m.Configuration().Document), ShouldEqual, document(6))
		})
	})
}

// TestTenantsInForce guards against tenants of a configuration that calls and tasks don't find.
func TestTenantsInForce(t *testing.T) {
	Convey("The values of a configuration have its tenants, their limits and whose each key is", t, func() {
		m := New()
		So(putVersion(m, 5, 0, "{}", row("fleet", "", "require_keys", "1"), row("queue", "open", "public", "1"), row("queue", "closed", "urgency", "1"),
			keyRow("north", "n1", "n2"), row("tenant", "north", "weight_milli", "500"), row("tenant", "north", "max_cores_milli", "64000"),
			row("tenant", "south", "weight_milli", "2000")).Code, ShouldEqual, 200)
		values := m.Values()
		So(values.Tenants(), ShouldResemble, []string{"north", "south"})
		So(values.Tenant("north"), ShouldResemble, &Tenant{Name: "north", WeightMilli: 500, Limit: Resources{CoresMilli: 64000}})
		So(values.Tenant("south").HasLimit(), ShouldBeFalse)
		So(values.Tenant("west"), ShouldBeNil)
		for _, key := range []string{"n1", "n2"} {
			tenant, found := values.TenantOfKey(HashKey(key))
			So(tenant, ShouldEqual, "north")
			So(found, ShouldBeTrue)
		}
		_, found := values.TenantOfKey(HashKey("n3"))
		So(found, ShouldBeFalse)
		So([]bool{values.RequiresKeys(), values.IsPublic("open"), values.IsPublic("closed")}, ShouldResemble, []bool{true, true, false})
		So(ParseValues(nil).RequiresKeys(), ShouldBeFalse)
	})
}
