package raft

import (
	"reflect"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

var messageType = reflect.TypeFor[proto.Message]()

// sharedMutable returns the paths of the fields through which two values share memory that
// could be written to: maps, slices and the targets of pointers. Protobuf messages are
// exempt, because they are never modified after their creation.
func sharedMutable(path string, a, b reflect.Value) []string {
	var found []string
	switch a.Kind() {
	case reflect.Struct:
		for k := range a.NumField() {
			found = append(found, sharedMutable(path+"."+a.Type().Field(k).Name, a.Field(k), b.Field(k))...)
		}
	case reflect.Pointer:
		if a.IsNil() || a.Type().Implements(messageType) {
			return nil
		}
		if a.Pointer() == b.Pointer() {
			return []string{path}
		}
		return sharedMutable(path, a.Elem(), b.Elem())
	case reflect.Slice:
		if a.Len() > 0 && a.Pointer() == b.Pointer() {
			return []string{path}
		}
		for k := range a.Len() {
			found = append(found, sharedMutable(path, a.Index(k), b.Index(k))...)
		}
	case reflect.Map:
		if !a.IsNil() && a.Pointer() == b.Pointer() {
			return []string{path}
		}
		for _, key := range a.MapKeys() {
			found = append(found, sharedMutable(path, a.MapIndex(key), b.MapIndex(key))...)
		}
	}
	return found
}

func TestCloneIsDeep(t *testing.T) {
	Convey("A clone of a leader and of a follower shares only messages with it", t, func() {
		r := newCluster(15, ids...)
		r.run(4 * eventloop.Second)
		r.propose("one")
		r.run(eventloop.Second)
		lead := r.leader()
		r.messages = nil
		_, _, err := lead.Propose(r.now, make([]byte, 1<<20)) // sent in chunks
		So(err, ShouldBeNil)
		So(lead.ReadIndex(r.now, 7), ShouldBeNil)
		for _, id := range membersExcept(lead.self) {
			r.groups[id].Step(r.now, lead.self, &schema.TransferChunk{Group: "g", Term: lead.term, Transfer: 99, Size: 8, Data: []byte("part")})
		}
		for _, id := range ids {
			g := r.groups[id]
			So(sharedMutable("group", reflect.ValueOf(*g), reflect.ValueOf(*g.Clone(nil))), ShouldBeEmpty)
			So(string(g.Clone(nil).Fingerprint(r.now, nil)), ShouldEqual, string(g.Fingerprint(r.now, nil)))
		}
	})
}
