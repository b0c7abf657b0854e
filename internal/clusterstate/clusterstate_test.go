package clusterstate

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// apply encodes a command and applies it at a time in µs.
func apply(m *StateMachine, at int64, command *schema.ClusterStateCommand) *Result {
	data, err := proto.Marshal(command)
	So(err, ShouldBeNil)
	result, err := m.Apply(at, data)
	So(err, ShouldBeNil)
	return result
}

func row(kind, name, key, value string) *schema.ConfigurationRow {
	return &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: value}
}

func TestControllerLease(t *testing.T) {
	Convey("A controller whose lease has passed to another is rejected when its commands are applied", t, func() {
		m := New()
		claim := func(at int64, id string) *Result {
			return apply(m, at, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: id}}})
		}
		assign := func(at int64, fencingToken uint64, scheduler string) int32 {
			return apply(m, at, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_AssignWorkers{AssignWorkers: &schema.AssignWorkers{
				FencingToken: fencingToken, WorkerLeases: []*schema.WorkerLease{{Worker: "w", Scheduler: scheduler}}}}}).Code
		}
		first := claim(1, "h1")
		So(first.Code, ShouldEqual, 200)
		So(claim(2, "h2").Code, ShouldEqual, 409)
		So(claim(3, "h1").FencingToken, ShouldEqual, first.FencingToken)
		So(assign(4, first.FencingToken, "a"), ShouldEqual, 200)
		token := FindWorkerLease(m.State(), "w").FencingToken
		second := claim(4+ControllerLeaseUs, "h2")
		So(second.Code, ShouldEqual, 200)
		So(second.FencingToken, ShouldBeGreaterThan, first.FencingToken)
		So(assign(5+ControllerLeaseUs, first.FencingToken, "b"), ShouldEqual, 403)
		So(assign(5+ControllerLeaseUs, second.FencingToken, "b"), ShouldEqual, 200)
		So(FindWorkerLease(m.State(), "w").FencingToken, ShouldBeGreaterThan, token)
		Convey("and a snapshot restores the state", func() {
			restored, err := Restore(m.Snapshot())
			So(err, ShouldBeNil)
			So(proto.Equal(restored.State(), m.State()), ShouldBeTrue)
		})
		Convey("and a renewal of the lease doesn't raise the version of the state", func() {
			version := m.Version()
			claim(6+ControllerLeaseUs, "h2")
			So(m.Version(), ShouldEqual, version)
		})
	})
}
