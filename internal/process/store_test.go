package process

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

func TestStartWithoutStore(t *testing.T) {
	Convey("A node whose disk fails at its start has no storage, and gets its store once it can be opened", t, func() {
		data := t.TempDir()
		// A directory in place of a file can't be read, which simulates a failing disk.
		obstacle := filepath.Join(data, "slot-0")
		So(os.Mkdir(obstacle, 0o700), ShouldBeNil)
		options := &schema.Settings{Zone: "c", InternalAddress: freePort(t), HttpAddress: "127.0.0.1:1", DataDir: data, Seeds: []string{"127.0.0.1:1"}}
		first, err := Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
		So(err, ShouldBeNil)
		So(first.Member.HasStorage, ShouldBeFalse)
		So(os.Remove(obstacle), ShouldBeNil)
		opened := <-first.StoreOpened
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
	Convey("So does one whose disk doesn't respond at its start", t, func() {
		data := t.TempDir()
		// Opening a pipe blocks until somebody opens it for writing, which simulates a disk
		// that hangs.
		pipe := filepath.Join(data, "slot-0")
		So(syscall.Mkfifo(pipe, 0o600), ShouldBeNil)
		options := &schema.Settings{Zone: "c", InternalAddress: freePort(t), HttpAddress: "127.0.0.1:1", DataDir: data, Seeds: []string{"127.0.0.1:1"}}
		first := &Node{Settings: options, Member: &schema.Member{}, log: zap.NewNop(), StoreOpened: make(chan *OpenedStore)}
		So(first.attachStore(nil, time.Millisecond), ShouldBeNil)
		So(first.Member.HasStorage, ShouldBeFalse)
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		go first.retryOpen(ctx)
		writer, err := os.OpenFile(pipe, os.O_WRONLY, 0)
		So(err, ShouldBeNil)
		So(os.Remove(pipe), ShouldBeNil)
		So(writer.Close(), ShouldBeNil)
		opened := <-first.StoreOpened
		second, err := StartWithStore(opened, options, schema.Role_ROLE_SERVER, zap.NewNop())
		So(err, ShouldBeNil)
		So(second.Member.HasStorage, ShouldBeTrue)
		second.Stop()
	})
	Convey("A data directory that isn't ours fails the start, and nothing is written there", t, func() {
		data := t.TempDir()
		So(os.WriteFile(filepath.Join(data, "family.jpg"), []byte("x"), 0o600), ShouldBeNil)
		options := &schema.Settings{Zone: "c", InternalAddress: freePort(t), HttpAddress: "127.0.0.1:1", DataDir: data, Seeds: []string{"127.0.0.1:1"}}
		_, err := Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
		So(storage.IsDirRejected(err), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "family.jpg")
		entries, err := os.ReadDir(data)
		So(err, ShouldBeNil)
		So(len(entries), ShouldEqual, 1)
	})
}
