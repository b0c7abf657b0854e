package gauge

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func series(make_ func(x float64) float64) *Series {
	s := &Series{Size: "workers", Role: "store", What: "cpu_milli"}
	for _, x := range []float64{10, 20, 40, 80, 10, 20, 40, 80} {
		s.X, s.Y = append(s.X, x), append(s.Y, make_(x))
	}
	return s
}

func TestReadings(t *testing.T) {
	Convey("Readings come back from CSV as they were written", t, func() {
		list := []Reading{{"lanes", 8, 1, "store", "cpu_milli", 12.5}, {"lanes", 16, 2, "side", "bytes_s", 1024}}
		var out bytes.Buffer
		So(Write(&out, list), ShouldBeNil)
		back, err := Read(&out)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, list)
	})
	Convey("What can't be read is named by line and column", t, func() {
		for text, want := range map[string]string{
			"size,value,repeat,role,what,amount\nlanes,x,1,store,cpu,1\n": "line 2, value",
			"size,value,repeat,role,what,amount\nlanes,1,x,store,cpu,1\n": "line 2, repeat",
			"size,value,repeat,role,what,amount\nlanes,1,1,store,cpu,x\n": "line 2, amount",
			"width,value,repeat,role,what,amount\n":                       "column 1",
		} {
			_, err := Read(strings.NewReader(text))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, want)
		}
	})
}

func TestFit(t *testing.T) {
	Convey("A straight line is found, and not bent by a little noise", t, func() {
		wobble := 0.0
		fit := FitOf(series(func(x float64) float64 {
			wobble = -wobble + 0.05
			return 3 + 0.5*x + wobble
		}))
		So(fit.Curve, ShouldEqual, 0)
		So(fit.Slope, ShouldAlmostEqual, 0.5, 0.01)
		So(fit.At(1200), ShouldAlmostEqual, 603, 5)
		So(fit.Squared, ShouldBeGreaterThan, 0.99)
		So(fit.Reach(1200), ShouldEqual, 15)
	})
	Convey("A square is found", t, func() {
		fit := FitOf(series(func(x float64) float64 { return 1 + 0.2*x + 0.01*x*x }))
		So(fit.Curve, ShouldAlmostEqual, 0.01, 0.0001)
		So(fit.Error, ShouldBeLessThan, 0.001)
	})
	Convey("One value of x gives a flat line", t, func() {
		fit := FitOf(&Series{X: []float64{5, 5}, Y: []float64{1, 3}})
		So(fit.At(100), ShouldEqual, 2)
	})
}

func TestPlot(t *testing.T) {
	Convey("A plot is drawn", t, func() {
		path := filepath.Join(t.TempDir(), "plot.png")
		list := []Reading{{"lanes", 8, 1, "store", "cpu_milli", 12}, {"lanes", 16, 1, "store", "cpu_milli", 20}, {"lanes", 16, 1, "store", "rss_mb", 20}}
		So(Plot(path, "lanes", list, []string{"cpu_milli", "rss_mb", "sent_s"}), ShouldBeNil)
	})
}
