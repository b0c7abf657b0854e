package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGeneratedCodeIsCurrent(t *testing.T) {
	Convey("The generated code is up to date with the schema; if it isn't, run: go run ./internal/schema/gen", t, func() {
		files, err := Generate("..")
		So(err, ShouldBeNil)
		So(len(files), ShouldEqual, 4)
		for name, content := range files {
			existing, err := os.ReadFile(filepath.Join("..", name))
			So(err, ShouldBeNil)
			So(string(existing) == content, ShouldBeTrue)
		}
	})
}
