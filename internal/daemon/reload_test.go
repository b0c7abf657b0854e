package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sparnotch/internal/schema"
	"sparnotch/internal/settingsfile"
)

// recordingNode records the seeds that it is given.
type recordingNode struct{ seeds [][]string }

func (n *recordingNode) SetSeeds(seeds []string) { n.seeds = append(n.seeds, seeds) }

// parseSeeds parses a settings file that consists of seeds, separated by spaces.
func parseSeeds(data []byte) (*settingsfile.Content, error) {
	seeds := strings.Fields(string(data))
	return &settingsfile.Content{Settings: &schema.Settings{Seeds: seeds}, Values: map[string]string{"count": strings.Repeat("x", len(seeds))}}, nil
}

// TestChangedSettings guards against a running process that takes no change of its settings file.
func TestChangedSettings(t *testing.T) {
	Convey("Given a running daemon with a settings file", t, func() {
		path := filepath.Join(t.TempDir(), "settings")
		write := func(text string) { So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil) }
		write("a b")
		core, logs := observer.New(zap.InfoLevel)
		settings := &schema.Settings{Seeds: []string{"a", "b"}}
		d := &daemon{settings: settings, log: zap.New(core), settingsFile: settingsfile.NewWatcher(path, parseSeeds, map[string]string{"count": "xx"})}
		node := &recordingNode{}
		look := func() {
			So(d.checkSettings(node), ShouldEqual, settingsSettleTime)
			So(d.checkSettings(node), ShouldEqual, settingsCheckInterval)
		}
		look()
		So(node.seeds, ShouldBeEmpty)
		So(logs.Len(), ShouldEqual, 0)
		Convey("changed seeds reach the node, and a node that is started again with a late store", func() {
			write("c d")
			look()
			So(node.seeds, ShouldResemble, [][]string{{"c", "d"}})
			So(d.settings.Seeds, ShouldResemble, []string{"c", "d"})
			So(settings.Seeds, ShouldResemble, []string{"a", "b"})
			write("a b")
			look()
			So(node.seeds[1:], ShouldResemble, [][]string{{"a", "b"}})
		})
		Convey("a changed setting that needs a restart is logged with its name", func() {
			write("a b c")
			look()
			entries := logs.FilterLevelExact(zap.WarnLevel).All()
			So(entries, ShouldHaveLength, 1)
			So(entries[0].ContextMap()["settings"], ShouldResemble, []any{"count"})
		})
		Convey("a file that is gone is reported once and changes nothing", func() {
			So(os.Remove(path), ShouldBeNil)
			So(d.checkSettings(node), ShouldEqual, settingsCheckInterval)
			So(d.checkSettings(node), ShouldEqual, settingsCheckInterval)
			So(logs.Len(), ShouldEqual, 1)
			So(node.seeds, ShouldBeEmpty)
		})
	})
	Convey("A daemon without a settings file looks at none", t, func() {
		d := &daemon{}
		So(d.checkSettings(&recordingNode{}), ShouldEqual, settingsCheckInterval)
	})
}
