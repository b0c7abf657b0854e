package clusterstate

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// keyRow returns a row that gives a tenant the API keys, as hashes.
func keyRow(tenant string, keys ...string) *schema.ConfigurationRow {
	hashes := make([]string, len(keys))
	for k, key := range keys {
		hashes[k] = HashKey(key)
	}
	return row("tenant", tenant, "key_hashes", strings.Join(hashes, " "))
}

// TestTenantsSharingAKeyAreInvalid guards against accepting a configuration in which an API key
// doesn't identify a single tenant.
func TestTenantsSharingAKeyAreInvalid(t *testing.T) {
	Convey("Two tenants that share a key", t, func() {
		shared := HashKey("shared")
		rejectsBoth := func(fault *schema.Error) {
			So(fault, ShouldNotBeNil)
			So(fault.Message, ShouldContainSubstring, "north")
			So(fault.Message, ShouldContainSubstring, "south")
			So(fault.String(), ShouldNotContainSubstring, shared)
		}
		Convey("are rejected in a whole configuration", func() {
			rows := []*schema.ConfigurationRow{
				row("tenant", "north", "weight_milli", "1000"), keyRow("north", "own", "shared"), keyRow("south", "shared", "other"),
			}
			rejectsBoth(ValidateRows(rows))
			So(ValidateRows(rows).Field, ShouldEqual, "rows[2].value")
			So(putRows(New(), proto.Uint64(0), rows...).Code, ShouldEqual, 422)
			So(putVersion(New(), 5, 0, "{}", rows...).Code, ShouldEqual, 422)
		})
		Convey("are rejected if a patch adds one of them to its base", func() {
			m := New()
			So(putVersion(m, 5, 0, "{}", keyRow("north", "shared")).Code, ShouldEqual, 200)
			result := patchVersion(m, 6, 5, "", nil, keyRow("south", "shared"))
			So(result.Code, ShouldEqual, 422)
			rejectsBoth(result.Error)
			So(m.Configuration().Version, ShouldEqual, 5)
		})
		Convey("are accepted if the same patch takes the key from one of them", func() {
			m := New()
			So(putVersion(m, 5, 0, "{}", keyRow("north", "shared")).Code, ShouldEqual, 200)
			So(patchVersion(m, 6, 5, "", nil, keyRow("north", "new"), keyRow("south", "shared")).Code, ShouldEqual, 200)
			tenant, found := m.Values().TenantOfKey(shared)
			So(tenant, ShouldEqual, "south")
			So(found, ShouldBeTrue)
		})
	})
	Convey("A tenant may list the same key twice, and several tenants may have no keys", t, func() {
		So(ValidateRows([]*schema.ConfigurationRow{keyRow("north", "own", "own"), row("tenant", "south", "weight_milli", "1"), row("tenant", "west", "weight_milli", "1")}), ShouldBeNil)
	})
}

// TestErrorsDoNotShowKeys guards against errors that show API keys or their hashes in responses
// and logs, for example if an author wrote a key where its hash belongs.
func TestErrorsDoNotShowKeys(t *testing.T) {
	Convey("The error for an invalid row of key hashes contains neither the keys nor the hashes", t, func() {
		fault := ValidateRows([]*schema.ConfigurationRow{row("tenant", "north", "key_hashes", "a-key-in-clear "+HashKey("b"))})
		So(fault.GetField(), ShouldEqual, "rows[0].value")
		So(fault.String(), ShouldNotContainSubstring, "a-key-in-clear")
		So(fault.String(), ShouldNotContainSubstring, HashKey("b"))
	})
}

// TestPatchMakesNoEmptyLists guards against a patch that adds an empty list of tenants to a
// document without one, when it removes a tenant that doesn't exist. If the author submitted the
// resulting document as a whole update, all requests would have to carry an API key.
func TestPatchMakesNoEmptyLists(t *testing.T) {
	Convey("A patch doesn't create a list that the document lacks unless it adds items to it", t, func() {
		for _, change := range []string{
			`{"version":6,"remove":{"tenants":["north"]}}`, `{"version":6,"upsert":{"tenants":[]}}`, `{"version":6,"upsert":{"tenants":null}}`,
		} {
			patched, err := patchDocument([]byte(`{"version":5,"routes":[]}`), []byte(change))
			So(err, ShouldBeNil)
			So(string(patched), ShouldEqual, `{"routes":[],"version":6}`)
		}
		Convey("a list that it empties stays in the document", func() {
			patched, err := patchDocument([]byte(`{"tenants":[{"name":"north"}]}`), []byte(`{"version":6,"remove":{"tenants":["north"]}}`))
			So(err, ShouldBeNil)
			So(string(patched), ShouldEqual, `{"tenants":[],"version":6}`)
		})
	})
}

// TestKeysStandInTheDocumentAlone guards against unhashed API keys outside the current document:
// in the state that other processes hold, in the history, and elsewhere in a snapshot.
func TestKeysStandInTheDocumentAlone(t *testing.T) {
	Convey("An API key in a document", t, func() {
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
		Convey("isn't in the shared state, neither in memory nor as sent", func() {
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
		Convey("is in a snapshot once, in the current document", func() {
			So(strings.Count(string(m.Snapshot()), key), ShouldEqual, 1)
			So(string(m.Configuration().Document), ShouldEqual, document(6))
		})
	})
}

// TestTenantsInForce checks that requests and tasks find the tenants of the current
// configuration.
func TestTenantsInForce(t *testing.T) {
	Convey("The values of a configuration contain its tenants, their limits and the tenant of each API key", t, func() {
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
