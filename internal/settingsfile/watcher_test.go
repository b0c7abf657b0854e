package settingsfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

// fakeFile is a settings file in memory, of lines NAME=VALUE. A file without a line "seeds" is
// invalid.
type fakeFile struct {
	text    string
	readErr error
}

func (f *fakeFile) read() ([]byte, error) { return []byte(f.text), f.readErr }

func parseLines(data []byte) (*Content, error) {
	content := &Content{Settings: &schema.Settings{}, Values: map[string]string{}}
	for _, line := range strings.Split(string(data), "\n") {
		if name, value, isSetting := strings.Cut(line, "="); isSetting {
			content.Values[name] = value
		}
	}
	seeds, isSet := content.Values["seeds"]
	if !isSet {
		return nil, errors.New("seeds: the setting is missing")
	}
	content.Settings.Seeds = strings.Split(seeds, ",")
	return content, nil
}

// TestWatcher guards against settings that a running process never takes, or that it takes from a
// file which isn't complete.
func TestWatcher(t *testing.T) {
	Convey("Given a process that has started with a settings file", t, func() {
		file := &fakeFile{text: "seeds=a,b\nlimit=1\n"}
		w := newWatcher(file.read, parseLines, map[string]string{"seeds": "a,b", "limit": "1"}, "seeds")
		check := func() *Change {
			change, err := w.Check()
			So(err, ShouldBeNil)
			return change
		}
		checkTwice := func() *Change {
			So(check(), ShouldBeNil)
			return check()
		}
		So(checkTwice().Settings.Seeds, ShouldResemble, []string{"a", "b"})
		So(check(), ShouldBeNil)

		Convey("a change is taken when it is read for the second time, and only once", func() {
			file.text = "seeds=c\nlimit=1\n"
			So(w.IsSettling(), ShouldBeFalse)
			So(check(), ShouldBeNil)
			So(w.IsSettling(), ShouldBeTrue)
			change := check()
			So(change.Settings.Seeds, ShouldResemble, []string{"c"})
			So(change.RestartNeeded, ShouldBeEmpty)
			So(w.IsSettling(), ShouldBeFalse)
			So(check(), ShouldBeNil)
		})
		Convey("a file that is still being written isn't taken", func() {
			for _, text := range []string{"", "se", "seeds=c", "seeds=c,d\nlim"} {
				file.text = text
				So(check(), ShouldBeNil)
			}
			file.text = "seeds=c,d\nlimit=1\n"
			So(checkTwice().Settings.Seeds, ShouldResemble, []string{"c", "d"})
		})
		Convey("an invalid file is reported once, leaves what is in force, and is read again later", func() {
			for _, text := range []string{"", "limit=1\n"} {
				file.text = text
				So(check(), ShouldBeNil)
				if text == "" {
					_, err := w.Check()
					So(err.Error(), ShouldContainSubstring, "seeds")
				}
				So(check(), ShouldBeNil)
				So(w.IsSettling(), ShouldBeFalse)
			}
			file.text = "seeds=c\nlimit=1\n"
			So(checkTwice().Settings.Seeds, ShouldResemble, []string{"c"})
		})
		Convey("a file that can't be read does the same", func() {
			file.readErr = errors.New("no such file")
			_, err := w.Check()
			So(err, ShouldNotBeNil)
			So(check(), ShouldBeNil)
			file.readErr, file.text = nil, "seeds=c\nlimit=1\n"
			So(checkTwice().Settings.Seeds, ShouldResemble, []string{"c"})
			file.readErr = errors.New("no such file")
			_, err = w.Check()
			So(err, ShouldNotBeNil)
		})
		Convey("settings that need a restart are named, by their difference from the start", func() {
			file.text = "seeds=c\nlimit=2\nnew=x\n"
			So(checkTwice().RestartNeeded, ShouldResemble, []string{"limit", "new"})
			file.text = "seeds=c\n"
			So(checkTwice().RestartNeeded, ShouldResemble, []string{"limit"})
			file.text = "seeds=c\nlimit=1\n"
			So(checkTwice().RestartNeeded, ShouldBeEmpty)
		})
		Convey("a change that is taken back while it settles isn't one", func() {
			file.text = "seeds=c\nlimit=1\n"
			So(check(), ShouldBeNil)
			file.text = "seeds=a,b\nlimit=1\n"
			So(check(), ShouldBeNil)
			So(check(), ShouldBeNil)
		})
	})
}

// BenchmarkCheck measures a look at a settings file of the usual size that hasn't changed.
func BenchmarkCheck(b *testing.B) {
	path := filepath.Join(b.TempDir(), "settings")
	text := strings.Repeat("bounds.some_setting_ms=1000\n", 90) + "seeds=a\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	w := NewWatcher(path, parseLines, nil)
	for b.Loop() {
		if _, err := w.Check(); err != nil {
			b.Fatal(err)
		}
	}
}
