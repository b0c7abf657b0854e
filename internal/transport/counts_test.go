package transport

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCountsJSON(t *testing.T) {
	Convey("The JSON keys of Counts are those of the HTTP interface, in the same order", t, func() {
		data, err := json.Marshal(Counts{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, `{"Sent":1,"Received":2,"Bytes":3,"Writes":4,"Lost":5,"Dials":6,"Garbage":7,"BytesIn":8,"Strayed":9,"Former":10}`)
	})
}
