package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGeneratedCodeIsCurrent(t *testing.T) {
	Convey("The generated code is what the schema makes today: else run go run ./internal/schema/gen", t, func() {
		files, err := Generate("..")
		So(err, ShouldBeNil)
		So(len(files), ShouldEqual, 4)
		for name, content := range files {
			stands, err := os.ReadFile(filepath.Join("..", name))
			So(err, ShouldBeNil)
			So(string(stands) == content, ShouldBeTrue)
		}
	})
}
