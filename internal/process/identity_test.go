package process

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"sparnotch/internal/schema"
)

func TestWipedDiskGetsNewIdentity(t *testing.T) {
	Convey("A storage node keeps its identity with its disk, and gets a new one without", t, func() {
		folder, internalAddress := t.TempDir(), freePort(t)
		identity := func() string {
			options := &schema.Settings{Zone: "c", InternalAddress: internalAddress, HttpAddress: "127.0.0.1:1", DataDir: folder, Seeds: []string{"127.0.0.1:1"}}
			node, err := Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
			So(err, ShouldBeNil)
			defer node.Stop()
			return node.Member.Id
		}
		first := identity()
		So(identity(), ShouldEqual, first)
		files, err := filepath.Glob(filepath.Join(folder, "*"))
		So(err, ShouldBeNil)
		So(files, ShouldNotBeEmpty)
		for _, file := range files {
			So(os.RemoveAll(file), ShouldBeNil)
		}
		second := identity()
		So(second, ShouldNotEqual, first)
		So(identity(), ShouldEqual, second)
	})
}
