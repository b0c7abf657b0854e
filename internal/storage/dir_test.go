package storage_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/storage"
)

func TestRejectedDirs(t *testing.T) {
	Convey("A path that isn't a store's directory is rejected with an error that contains it, and isn't changed", t, func() {
		path := t.TempDir()
		file := filepath.Join(path, "file")
		So(os.WriteFile(file, []byte("x"), 0o600), ShouldBeNil)
		for rejected, reason := range map[string]string{path: "contains file but no store", file: "is not a directory"} {
			_, err := storage.OpenDir(rejected)
			So(storage.IsDirRejected(err), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, rejected)
			So(err.Error(), ShouldContainSubstring, reason)
		}
		entries, err := os.ReadDir(path)
		So(err, ShouldBeNil)
		So(len(entries), ShouldEqual, 1)
	})
	Convey("An empty directory, one with lost+found and one with a store are accepted", t, func() {
		path := t.TempDir()
		So(os.Mkdir(filepath.Join(path, "lost+found"), 0o700), ShouldBeNil)
		for range 2 {
			dir, err := storage.OpenDir(path)
			So(err, ShouldBeNil)
			_, err = storage.Open(dir)
			So(err, ShouldBeNil)
			_, err = storage.OpenDir(path)
			So(storage.IsDirRejected(err), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "in use")
			dir.Close()
		}
	})
}
