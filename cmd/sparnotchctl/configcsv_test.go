package main

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/schema"
)

func TestConfigCSV(t *testing.T) {
	config := &schema.Configuration{Revision: 3, Version: 7, Document: []byte("x"), Rows: []*schema.ConfigurationRow{{Kind: "queue", Name: "l", Key: "prefix", Value: "/a,b/"}}}
	Convey("The CSV form shows generation and edition, and an update names its base by the generation", t, func() {
		text := &bytes.Buffer{}
		So(writeConfigCSV(text, config), ShouldBeNil)
		So(text.String(), ShouldStartWith, "#generation,3,#edition,7\n")
		asJSON, err := protojson.Marshal(config)
		So(err, ShouldBeNil)
		for _, data := range [][]byte{text.Bytes(), asJSON} {
			update, err := parseUpdate(data)
			So(err, ShouldBeNil)
			So(update.GetBaseRevision(), ShouldEqual, 3)
			So(update.Version, ShouldEqual, 0)
			So(update.Document, ShouldBeEmpty)
			So(update.Rows[0].Value, ShouldEqual, "/a,b/")
		}
		So(formatVersions(config), ShouldEqual, "generation 3, edition 7")
	})
	Convey("Without editions none is shown", t, func() {
		text := &bytes.Buffer{}
		So(writeConfigCSV(text, &schema.Configuration{Revision: 3}), ShouldBeNil)
		So(text.String(), ShouldStartWith, "#generation,3,,\n")
		So(formatVersions(&schema.Configuration{Revision: 3}), ShouldEqual, "generation 3")
	})
	Convey("An author's own update keeps its edition", t, func() {
		update, err := parseUpdate([]byte(`{"edition":"8","base_edition":"7","rows":[]}`))
		So(err, ShouldBeNil)
		So([]uint64{update.Version, update.BaseVersion}, ShouldResemble, []uint64{8, 7})
	})
}
