package capacity

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// newSeries returns a series with two measurements at each of four levels, whose amounts
// are given by a function.
func newSeries(amountAt func(x float64) float64) *Series {
	s := &Series{Dimension: "workers", Role: "store", Metric: "cpu_milli"}
	for _, x := range []float64{10, 20, 40, 80, 10, 20, 40, 80} {
		s.X, s.Y = append(s.X, x), append(s.Y, amountAt(x))
	}
	return s
}

func TestReadings(t *testing.T) {
	Convey("Measurements are read from CSV as they were written", t, func() {
		list := []Measurement{{"queues", 8, 1, "store", "cpu_milli", 12.5}, {"queues", 16, 2, "side", "bytes_s", 1024}}
		var out bytes.Buffer
		So(WriteCSV(&out, list), ShouldBeNil)
		back, err := ReadCSV(&out)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, list)
	})
	Convey("Errors name line and column", t, func() {
		for text, want := range map[string]string{
			"size,value,repeat,role,what,amount\nlanes,x,1,store,cpu,1\n": "line 2, value",
			"size,value,repeat,role,what,amount\nlanes,1,x,store,cpu,1\n": "line 2, repeat",
			"size,value,repeat,role,what,amount\nlanes,1,1,store,cpu,x\n": "line 2, amount",
			"width,value,repeat,role,what,amount\n":                       "column 1",
		} {
			_, err := ReadCSV(strings.NewReader(text))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, want)
		}
	})
}

func TestFit(t *testing.T) {
	Convey("A straight line is found in spite of noise", t, func() {
		noise := 0.0
		fit := FitSeries(newSeries(func(x float64) float64 {
			noise = -noise + 0.05
			return 3 + 0.5*x + noise
		}))
		So(fit.Quadratic, ShouldEqual, 0)
		So(fit.Slope, ShouldAlmostEqual, 0.5, 0.01)
		So(fit.At(1200), ShouldAlmostEqual, 603, 5)
		So(fit.RSquared, ShouldBeGreaterThan, 0.99)
		So(fit.Extrapolation(1200), ShouldEqual, 15)
	})
	Convey("A parabola is found", t, func() {
		fit := FitSeries(newSeries(func(x float64) float64 { return 1 + 0.2*x + 0.01*x*x }))
		So(fit.Quadratic, ShouldAlmostEqual, 0.01, 0.0001)
		So(fit.StandardError, ShouldBeLessThan, 0.001)
	})
	Convey("A slope within the noise is taken as 0", t, func() {
		fit := FitSeries(&Series{X: []float64{10, 20, 40, 80, 10, 20, 40, 80}, Y: []float64{5, 6, 5.5, 5.2, 6, 5, 5.4, 5.9}})
		So(fit.Slope, ShouldEqual, 0)
		So(fit.At(1200), ShouldAlmostEqual, 5.5, 0.01)
	})
	Convey("A single value of x gives a flat line", t, func() {
		fit := FitSeries(&Series{X: []float64{5, 5}, Y: []float64{1, 3}})
		So(fit.At(100), ShouldEqual, 2)
	})
}

func TestPlot(t *testing.T) {
	Convey("A plot is drawn", t, func() {
		path := filepath.Join(t.TempDir(), "plot.png")
		list := []Measurement{{"queues", 8, 1, "store", "cpu_milli", 12}, {"queues", 16, 1, "store", "cpu_milli", 20}, {"queues", 16, 1, "store", "rss_mb", 20}}
		So(Plot(path, "queues", list, []string{"cpu_milli", "rss_mb", "sent_s"}), ShouldBeNil)
	})
}

func TestCost(t *testing.T) {
	Convey("Processor time beyond the components' steps is attributed to messages, bytes and syncs", t, func() {
		var real, simulated []Measurement
		for k, role := range []string{"leader", "store", "side"} {
			for _, x := range []float64{12, 24, 48, 96} {
				sent, bytes, syncs := 10*x+float64(k), 1000*x*float64(k+1), float64(50*(k%2))+x*float64(k%2)
				// A thousandth of a core is a thousand microseconds of processor time per second.
				cpu := (3000 + 20*sent + 0.05*bytes + 300*syncs) / 1000
				real = append(real,
					Measurement{"workers", x, 1, role, "cpu_milli", cpu + 7}, Measurement{"workers", x, 1, role, "sent_s", sent},
					Measurement{"workers", x, 1, role, "bytes_out_s", bytes}, Measurement{"workers", x, 1, role, "syncs_s", syncs},
				)
				simulated = append(simulated, Measurement{"workers", x, 1, role, "cpu_tables_milli", 7})
			}
		}
		cost, err := EstimateCost(real, simulated)
		So(err, ShouldBeNil)
		So(cost.Baseline, ShouldAlmostEqual, 3000, 1)
		So(cost.Message, ShouldAlmostEqual, 20, 0.01)
		So(cost.Byte, ShouldAlmostEqual, 0.05, 0.0001)
		So(cost.Sync, ShouldAlmostEqual, 300, 0.1)
		_, err = EstimateCost(real, nil)
		So(err, ShouldNotBeNil)
	})
}
