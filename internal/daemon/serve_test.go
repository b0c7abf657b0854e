package daemon

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"sparnotch/internal/logring"
	"sparnotch/internal/process"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

func fileNames(folder string) []string {
	entries, err := os.ReadDir(folder)
	So(err, ShouldBeNil)
	var list []string
	for _, entry := range entries {
		list = append(list, entry.Name())
	}
	return list
}

func TestStartFailures(t *testing.T) {
	failIfStarted := func(*process.Node, *zap.Logger) (Server, error) { panic("the node started") }
	logFile := filepath.Join(t.TempDir(), "log")
	options := func(data string) *schema.Settings {
		return &schema.Settings{Zone: "c", InternalAddress: "127.0.0.1:0", HttpAddress: "127.0.0.1:1", DataDir: data, Seeds: []string{"127.0.0.1:1"}, TraceFile: logFile}
	}
	log := func() string {
		text, err := os.ReadFile(logFile)
		So(err, ShouldBeNil)
		return string(text)
	}
	Convey("A data directory with foreign files: exit code 2, the file is named, nothing is written", t, func() {
		data := t.TempDir()
		So(os.WriteFile(filepath.Join(data, "family.jpg"), []byte("x"), 0o600), ShouldBeNil)
		So(Serve("x", options(data), nil, schema.Role_ROLE_SERVER, failIfStarted), ShouldEqual, ExitInvalidSettings)
		So(fileNames(data), ShouldResemble, []string{"family.jpg"})
		So(log(), ShouldContainSubstring, "family.jpg")
	})
	Convey("A data directory that is none: exit code 2, it is named and unchanged", t, func() {
		data := filepath.Join(t.TempDir(), "file")
		So(os.WriteFile(data, []byte("x"), 0o600), ShouldBeNil)
		So(Serve("x", options(data), nil, schema.Role_ROLE_SERVER, failIfStarted), ShouldEqual, ExitInvalidSettings)
		text, err := os.ReadFile(data)
		So(err, ShouldBeNil)
		So(string(text), ShouldEqual, "x")
		So(log(), ShouldContainSubstring, data)
	})
	Convey("A store with a snapshot that can't be decoded: exit code 2, directory and group are named", t, func() {
		data := t.TempDir()
		folder, err := storage.OpenDir(data)
		So(err, ShouldBeNil)
		store, err := storage.Open(folder)
		So(err, ShouldBeNil)
		snapshot := &schema.Snapshot{Index: 7, Term: 1, Data: []byte("\xff\xff\xff of another system")}
		So(store.Commit([]*schema.StoreChange{{Group: "mail#4", Snapshot: snapshot}}), ShouldBeNil)
		folder.Close()
		So(Serve("x", options(data), nil, schema.Role_ROLE_SERVER, failIfStarted), ShouldEqual, ExitInvalidSettings)
		So(log(), ShouldContainSubstring, data)
		So(log(), ShouldContainSubstring, "mail#4")
	})
	Convey("An address in use: exit code 2, the setting is named", t, func() {
		taken, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { taken.Close() })
		settings := options("")
		settings.InternalAddress = taken.Addr().String()
		So(Serve("x", settings, nil, schema.Role_ROLE_SERVER, failIfStarted), ShouldEqual, ExitInvalidSettings)
		So(log(), ShouldContainSubstring, "inner")
	})
}

// recordingServer is a server that records the calls of Shutdown.
type recordingServer struct{ shutdowns chan bool }

func (s recordingServer) StartDraining() {}

func (s recordingServer) Shutdown(context.Context) error {
	s.shutdowns <- true
	return nil
}

func TestRestartWithReopenedStore(t *testing.T) {
	Convey("A process whose disk fails at its start serves without storage, and restarts its node with the store", t, func() {
		data := t.TempDir()
		obstacle := filepath.Join(data, "slot-0")
		So(os.Mkdir(obstacle, 0o700), ShouldBeNil)
		log, ring := logring.New("")
		options := &schema.Settings{Zone: "c", InternalAddress: "127.0.0.1:0", HttpAddress: "127.0.0.1:1", DataDir: data, Seeds: []string{"127.0.0.1:1"}, ShutdownTimeoutUs: 2_000_000}
		shutdowns, started, ended := make(chan bool, 4), make(chan bool, 4), make(chan error, 1)
		newServer := func(node *process.Node, _ *zap.Logger) (Server, error) {
			started <- node.Member.HasStorage
			return recordingServer{shutdowns}, nil
		}
		signals := make(chan os.Signal, 1)
		d := &daemon{settings: options, role: schema.Role_ROLE_SERVER, signals: signalChannels{shutdown: signals}, log: log, ring: ring, newServer: newServer}
		go func() { ended <- d.serve() }()
		So(<-started, ShouldBeFalse)
		So(os.Remove(obstacle), ShouldBeNil)
		So(<-shutdowns, ShouldBeTrue)
		So(<-started, ShouldBeTrue)
		So(len(ended), ShouldEqual, 0)
		signals <- syscall.SIGTERM
		So(<-ended, ShouldBeNil)
	})
}
