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

func manyRows(count int) []*schema.ConfigurationRow {
	var rows []*schema.ConfigurationRow
	for k := range count {
		rows = append(rows, row("queue", fmt.Sprintf("queue-%d", k), "urgency", "50"))
	}
	return rows
}

func TestPack(t *testing.T) {
	Convey("What is packed comes back as it was, and what is small stays as it is", t, func() {
		for _, size := range []int{0, 1, compressionThreshold - 1, compressionThreshold, 300_000} {
			data := []byte(strings.Repeat("abc ", size/4+1))[:size]
			packed := Compress(data)
			So(len(packed), ShouldBeLessThanOrEqualTo, size)
			whole, err := Decompress(packed)
			So(err, ShouldBeNil)
			So(bytes.Equal(whole, data), ShouldBeTrue)
		}
		So(len(Compress(make([]byte, 300_000))), ShouldBeLessThan, 5_000)
	})
	Convey("What is cut short or becomes too much is an error", t, func() {
		packed := Compress([]byte(strings.Repeat("abc ", 10_000)))
		_, err := Decompress(packed[:len(packed)/2])
		So(err, ShouldNotBeNil)
		_, err = Decompress(Compress(make([]byte, maxDecompressedBytes+1)))
		So(err, ShouldNotBeNil)
	})
	Convey("A packed command and a packed checkpoint are what they were", t, func() {
		m, rows := New(), manyRows(2000)
		data, err := proto.Marshal(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{
			Update: &schema.ConfigurationUpdate{Version: 1, Document: []byte("text"), Rows: rows}}}})
		So(err, ShouldBeNil)
		packed := Compress(data)
		So(len(packed), ShouldBeLessThan, len(data)/4)
		result, err := m.Apply(1, packed)
		So(err, ShouldBeNil)
		So(result.Code, ShouldEqual, 200)
		again, err := Restore(Compress(m.Snapshot()))
		So(err, ShouldBeNil)
		So(bytes.Equal(again.Snapshot(), m.Snapshot()), ShouldBeTrue)
	})
}

func TestCopiesOnTheirWay(t *testing.T) {
	tell := func(m *StateMachine, held uint64) *schema.ClusterStateResponse {
		state, isHeld := m.EncodeUpdate(m.SharedState(), held)
		return &schema.ClusterStateResponse{State: state, ConfigurationOmitted: isHeld, Version: state.Version}
	}
	Convey("Who holds the plan isn't told its rows again, and who doesn't gets them, packed when they are many", t, func() {
		m := New()
		So(putVersion(m, 1, 0, "one", manyRows(2000)...).Code, ShouldEqual, 200)
		first := tell(m, 0)
		So(first.ConfigurationOmitted, ShouldBeFalse)
		So(proto.Size(first), ShouldBeLessThan, proto.Size(m.Configuration())/4)
		state, err := DecodeUpdate(first, nil)
		So(err, ShouldBeNil)
		So(EqualRows(state.Configuration.Rows, m.Configuration().Rows), ShouldBeTrue)
		So(state.Configuration.PackedRows, ShouldBeEmpty)
		apply(m, 2, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_RegisterWorker{RegisterWorker: &schema.RegisterWorker{Worker: "w"}}})
		second := tell(m, state.Configuration.Revision)
		So(second.ConfigurationOmitted, ShouldBeTrue)
		So(proto.Size(second), ShouldBeLessThan, 200)
		next, err := DecodeUpdate(second, state.Configuration)
		So(err, ShouldBeNil)
		So(next.Configuration, ShouldEqual, state.Configuration)
		So(FindWorkerLease(next, "w"), ShouldNotBeNil)
		So(putVersion(m, 2, 1, "two", manyRows(3)...).Code, ShouldEqual, 200)
		third := tell(m, state.Configuration.Revision)
		So(third.ConfigurationOmitted, ShouldBeFalse)
		last, err := DecodeUpdate(third, state.Configuration)
		So(err, ShouldBeNil)
		So(last.Configuration.Rows, ShouldHaveLength, 3)
	})
	Convey("A copy without rows that was meant for an earlier life is taken by nobody", t, func() {
		m := New()
		So(putVersion(m, 1, 0, "one", manyRows(3)...).Code, ShouldEqual, 200)
		late := tell(m, 1)
		So(late.ConfigurationOmitted, ShouldBeTrue)
		for _, held := range []*schema.Configuration{nil, {}, {Revision: 7}} {
			_, err := DecodeUpdate(late, held)
			So(err, ShouldNotBeNil)
		}
	})
}
