package clusterstate

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// manyRows returns a number of valid rows, one for each of as many queues.
func manyRows(count int) []*schema.ConfigurationRow {
	var rows []*schema.ConfigurationRow
	for k := range count {
		rows = append(rows, row("queue", fmt.Sprintf("queue-%d", k), "urgency", "50"))
	}
	return rows
}

func TestCompression(t *testing.T) {
	Convey("Compressed data is restored by decompression, and compression never makes data larger", t, func() {
		for _, size := range []int{0, 1, compressionThreshold - 1, compressionThreshold, 300_000} {
			data := []byte(strings.Repeat("abc ", size/4+1))[:size]
			compressed := Compress(data)
			So(len(compressed), ShouldBeLessThanOrEqualTo, size)
			decompressed, err := Decompress(compressed)
			So(err, ShouldBeNil)
			So(bytes.Equal(decompressed, data), ShouldBeTrue)
		}
		So(len(Compress(make([]byte, 300_000))), ShouldBeLessThan, 5_000)
	})
	Convey("Truncated data and data that expands too far are errors", t, func() {
		compressed := Compress([]byte(strings.Repeat("abc ", 10_000)))
		_, err := Decompress(compressed[:len(compressed)/2])
		So(err, ShouldNotBeNil)
		_, err = Decompress(Compress(make([]byte, maxDecompressedBytes+1)))
		So(err, ShouldNotBeNil)
	})
	Convey("A compressed command and a compressed snapshot are equivalent to the plain ones", t, func() {
		m, rows := New(), manyRows(2000)
		data, err := proto.Marshal(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{
			Update: &schema.ConfigurationUpdate{Version: 1, Document: []byte("text"), Rows: rows}}}})
		So(err, ShouldBeNil)
		compressed := Compress(data)
		So(len(compressed), ShouldBeLessThan, len(data)/4)
		result, err := m.Apply(1, compressed)
		So(err, ShouldBeNil)
		So(result.Code, ShouldEqual, 200)
		restored, err := Restore(Compress(m.Snapshot()))
		So(err, ShouldBeNil)
		So(bytes.Equal(restored.Snapshot(), m.Snapshot()), ShouldBeTrue)
	})
}

func TestSharedStateUpdates(t *testing.T) {
	encode := func(m *StateMachine, heldRevision uint64) *schema.ClusterStateResponse {
		state, omitted := m.EncodeUpdate(m.SharedState(), heldRevision)
		return &schema.ClusterStateResponse{State: state, ConfigurationOmitted: omitted, Version: state.Version}
	}
	Convey("An update omits the rows for a process that holds the configuration, and otherwise includes them, compressed if they are many", t, func() {
		m := New()
		So(putVersion(m, 1, 0, "one", manyRows(2000)...).Code, ShouldEqual, 200)
		first := encode(m, 0)
		So(first.ConfigurationOmitted, ShouldBeFalse)
		So(proto.Size(first), ShouldBeLessThan, proto.Size(m.Configuration())/4)
		state, err := DecodeUpdate(first, nil)
		So(err, ShouldBeNil)
		So(EqualRows(state.Configuration.Rows, m.Configuration().Rows), ShouldBeTrue)
		So(state.Configuration.PackedRows, ShouldBeEmpty)
		apply(m, 2, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: "w"}}})
		second := encode(m, state.Configuration.Revision)
		So(second.ConfigurationOmitted, ShouldBeTrue)
		So(proto.Size(second), ShouldBeLessThan, 200)
		next, err := DecodeUpdate(second, state.Configuration)
		So(err, ShouldBeNil)
		So(next.Configuration, ShouldEqual, state.Configuration)
		So(FindWorkerLease(next, "w"), ShouldNotBeNil)
		So(putVersion(m, 2, 1, "two", manyRows(3)...).Code, ShouldEqual, 200)
		third := encode(m, state.Configuration.Revision)
		So(third.ConfigurationOmitted, ShouldBeFalse)
		last, err := DecodeUpdate(third, state.Configuration)
		So(err, ShouldBeNil)
		So(last.Configuration.Rows, ShouldHaveLength, 3)
	})
	Convey("An update that omits the rows is an error for a process that doesn't hold them, such as a new incarnation of the receiver", t, func() {
		m := New()
		So(putVersion(m, 1, 0, "one", manyRows(3)...).Code, ShouldEqual, 200)
		delayed := encode(m, 1)
		So(delayed.ConfigurationOmitted, ShouldBeTrue)
		for _, held := range []*schema.Configuration{nil, {}, {Revision: 7}} {
			_, err := DecodeUpdate(delayed, held)
			So(err, ShouldNotBeNil)
		}
	})
}
