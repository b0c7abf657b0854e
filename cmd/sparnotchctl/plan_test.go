package main

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/schema"
)

func TestSheets(t *testing.T) {
	plan := &schema.Configuration{Revision: 3, Version: 7, Document: []byte("x"), Rows: []*schema.ConfigurationRow{{Kind: "queue", Name: "l", Key: "prefix", Value: "/a,b/"}}}
	Convey("A sheet shows generation and edition, and goes back by its generation", t, func() {
		text := &bytes.Buffer{}
		So(writeSheet(text, plan), ShouldBeNil)
		So(text.String(), ShouldStartWith, "#generation,3,#edition,7\n")
		asJSON, err := protojson.Marshal(plan)
		So(err, ShouldBeNil)
		for _, data := range [][]byte{text.Bytes(), asJSON} {
			sheet, err := readSheet(data)
			So(err, ShouldBeNil)
			So(sheet.GetBaseRevision(), ShouldEqual, 3)
			So(sheet.Version, ShouldEqual, 0)
			So(sheet.Document, ShouldBeEmpty)
			So(sheet.Rows[0].Value, ShouldEqual, "/a,b/")
		}
		So(numbers(plan), ShouldEqual, "generation 3, edition 7")
	})
	Convey("Without editions nothing is said of them", t, func() {
		text := &bytes.Buffer{}
		So(writeSheet(text, &schema.Configuration{Revision: 3}), ShouldBeNil)
		So(text.String(), ShouldStartWith, "#generation,3,,\n")
		So(numbers(&schema.Configuration{Revision: 3}), ShouldEqual, "generation 3")
	})
	Convey("An author's own sheet keeps its edition", t, func() {
		sheet, err := readSheet([]byte(`{"edition":"8","base_edition":"7","rows":[]}`))
		So(err, ShouldBeNil)
		So([]uint64{sheet.Version, sheet.BaseVersion}, ShouldResemble, []uint64{8, 7})
	})
}
