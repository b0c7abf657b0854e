package process

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// failingDisk is a directory whose writes fail while its failing channel holds a value.
type failingDisk struct {
	*storage.Dir
	failing chan bool
}

var errDiskFull = errors.New("no room")

func (d *failingDisk) Write(name string, offset int64, data []byte) error {
	if len(d.failing) > 0 {
		return errDiskFull
	}
	return d.Dir.Write(name, offset, data)
}

// recorder is a component that sends the body of each message that it receives to its
// channel.
type recorder chan any

func (r recorder) Step(_ eventloop.Micros, message eventloop.Message, _ eventloop.Effects) {
	r <- message.Body
}

func TestCommitRetries(t *testing.T) {
	Convey("A failed write is reported at once, and the batch once a retry has made it durable", t, func() {
		directory, err := storage.OpenDir(t.TempDir())
		So(err, ShouldBeNil)
		Reset(directory.Close)
		disk := &failingDisk{directory, make(chan bool, 1)}
		store, err := storage.Open(disk)
		So(err, ShouldBeNil)
		n := &Node{Settings: &schema.Settings{}, Clock: eventloop.RealClock(), log: zap.NewNop(), store: store, Failed: make(chan error, 1)}
		n.loop = eventloop.NewLoop(n.Clock)
		replicas, members := make(recorder, 8), make(recorder, 8)
		n.loop.Add(ReplicaComponent, replicas, 0)
		n.loop.Add(MembershipComponent, members, 0)
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		n.loop.Run(ctx)

		disk.failing <- true
		done := make(chan bool)
		go func() {
			n.commit(ctx, replica.Batch{Number: 7, Changes: []*schema.StoreChange{{Identity: &schema.StoreIdentity{Id: "x"}}}})
			close(done)
		}()
		refused, isRefused := (<-replicas).(replica.WriteFailed)
		So(isRefused, ShouldBeTrue)
		So(refused.Number, ShouldEqual, 7)
		So(refused.Reason, ShouldContainSubstring, "no room")
		So((<-members).(membership.LatencyReport).Max, ShouldEqual, membership.WritesRefusedLatency)
		<-disk.failing
		<-done
		So((<-replicas).(replica.Written).Number, ShouldEqual, 7)
		So((<-members).(membership.LatencyReport).Max, ShouldBeLessThan, membership.WritesRefusedLatency)
		So(store.State().Identity.Id, ShouldEqual, "x")
		So(len(n.Failed), ShouldEqual, 0)
	})
}
