package storage_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/storage"
)

func TestRejectedDirs(t *testing.T) {
	Convey("What isn't a store's folder is refused by name, and stays as it is", t, func() {
		path := t.TempDir()
		file := filepath.Join(path, "file")
		So(os.WriteFile(file, []byte("x"), 0o600), ShouldBeNil)
		for place, what := range map[string]string{path: "holds file and no store", file: "is no folder"} {
			_, err := storage.OpenDir(place)
			So(storage.IsDirRejected(err), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, place)
			So(err.Error(), ShouldContainSubstring, what)
		}
		entries, err := os.ReadDir(path)
		So(err, ShouldBeNil)
		So(len(entries), ShouldEqual, 1)
	})
	Convey("An empty folder, one with what a file system puts there, and a store's own are taken", t, func() {
		path := t.TempDir()
		So(os.Mkdir(filepath.Join(path, "lost+found"), 0o700), ShouldBeNil)
		for range 2 {
			folder, err := storage.OpenDir(path)
			So(err, ShouldBeNil)
			_, err = storage.Open(folder)
			So(err, ShouldBeNil)
			_, err = storage.OpenDir(path)
			So(storage.IsDirRejected(err), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "in use")
			folder.Close()
		}
	})
}
