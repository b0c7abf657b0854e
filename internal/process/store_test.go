package process

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/membership"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// failingDisk is a folder whose writes fail while it is told so.
type failingDisk struct {
	*storage.Dir
	failing chan bool // holds something while writes fail
}

var errDiskFull = errors.New("no room")

func (d *failingDisk) Write(name string, offset int64, data []byte) error {
	if len(d.failing) > 0 {
		return errDiskFull
	}
	return d.Dir.Write(name, offset, data)
}

// recorder is a table that passes on what it is told.
type recorder chan any

func (e recorder) Step(_ eventloop.Micros, mail eventloop.Message, _ eventloop.Effects) {
	e <- mail.Body
}

func TestCommitRetries(t *testing.T) {
	Convey("A store that refuses is told of at once, and its batch once it lasts", t, func() {
		folder, err := storage.OpenDir(t.TempDir())
		So(err, ShouldBeNil)
		Reset(folder.Close)
		disk := &failingDisk{folder, make(chan bool, 1)}
		store, err := storage.Open(disk)
		So(err, ShouldBeNil)
		r := &Node{Options: &schema.Settings{}, Clock: eventloop.RealClock(), log: zap.NewNop(), store: store, Failed: make(chan error, 1)}
		r.components = eventloop.NewProcess(r.Clock)
		replicas, book := make(recorder, 8), make(recorder, 8)
		r.components.Add("replica", replicas, 0)
		r.components.Add("membership", book, 0)
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		r.components.Run(ctx)

		disk.failing <- true
		done := make(chan bool)
		go func() {
			r.commit(ctx, replica.Batch{Number: 7, Changes: []*schema.StoreChange{{Identity: &schema.StoreIdentity{Id: "x"}}}})
			close(done)
		}()
		refused, isRefused := (<-replicas).(replica.WriteFailed)
		So(isRefused, ShouldBeTrue)
		So(refused.Number, ShouldEqual, 7)
		So(refused.Reason, ShouldContainSubstring, "no room")
		So((<-book).(membership.LatencyReport).Max, ShouldEqual, membership.WritesRefusedLatency)
		<-disk.failing
		<-done
		So((<-replicas).(replica.Written).Number, ShouldEqual, 7)
		So((<-book).(membership.LatencyReport).Max, ShouldBeLessThan, membership.WritesRefusedLatency)
		So(store.State().Identity.Id, ShouldEqual, "x")
		So(len(r.Failed), ShouldEqual, 0)
	})
}

func TestStartWithoutStore(t *testing.T) {
	Convey("A process whose disk refuses at its start is a front, and gets its store when there is one", t, func() {
		data := t.TempDir()
		// What can't be read as a file stands for a disk that fails.
		obstacle := filepath.Join(data, "slot-0")
		So(os.Mkdir(obstacle, 0o700), ShouldBeNil)
		options := &schema.Settings{Cell: "c", Inner: freePort(t), Outer: "127.0.0.1:1", Data: data, Seeds: []string{"127.0.0.1:1"}}
		first, err := Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
		So(err, ShouldBeNil)
		So(first.Member.HasStorage, ShouldBeFalse)
		So(os.Remove(obstacle), ShouldBeNil)
		opened := <-first.Reopened
		first.Stop()
		second, err := StartWithStore(opened, options, schema.Role_ROLE_SERVER, zap.NewNop())
		So(err, ShouldBeNil)
		So(second.Member.HasStorage, ShouldBeTrue)
		So(second.Member.Incarnation, ShouldEqual, 1)
		So(second.Member.Id, ShouldNotEqual, first.Member.Id)
		second.Stop()
		third, err := Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
		So(err, ShouldBeNil)
		So(third.Member.Id, ShouldEqual, second.Member.Id)
		So(third.Member.Incarnation, ShouldEqual, 2)
		third.Stop()
	})
	Convey("So is one whose disk doesn't answer at its start", t, func() {
		data := t.TempDir()
		// Reading a pipe that nobody writes to stands for a disk that hangs.
		pipe := filepath.Join(data, "slot-0")
		So(syscall.Mkfifo(pipe, 0o600), ShouldBeNil)
		options := &schema.Settings{Cell: "c", Inner: freePort(t), Outer: "127.0.0.1:1", Data: data, Seeds: []string{"127.0.0.1:1"}}
		first := &Node{Options: options, Member: &schema.Member{}, log: zap.NewNop(), Reopened: make(chan *OpenedStore)}
		So(first.attachStore(nil, time.Millisecond), ShouldBeNil)
		So(first.Member.HasStorage, ShouldBeFalse)
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		go first.retryOpen(ctx)
		writer, err := os.OpenFile(pipe, os.O_WRONLY, 0)
		So(err, ShouldBeNil)
		So(os.Remove(pipe), ShouldBeNil)
		So(writer.Close(), ShouldBeNil)
		opened := <-first.Reopened
		second, err := StartWithStore(opened, options, schema.Role_ROLE_SERVER, zap.NewNop())
		So(err, ShouldBeNil)
		So(second.Member.HasStorage, ShouldBeTrue)
		second.Stop()
	})
	Convey("A folder that isn't ours ends it, and nothing is written there", t, func() {
		data := t.TempDir()
		So(os.WriteFile(filepath.Join(data, "family.jpg"), []byte("x"), 0o600), ShouldBeNil)
		options := &schema.Settings{Cell: "c", Inner: freePort(t), Outer: "127.0.0.1:1", Data: data, Seeds: []string{"127.0.0.1:1"}}
		_, err := Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
		So(storage.IsDirRejected(err), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "family.jpg")
		entries, err := os.ReadDir(data)
		So(err, ShouldBeNil)
		So(len(entries), ShouldEqual, 1)
	})
}
