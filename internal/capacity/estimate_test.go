package capacity

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// linearMeasurements returns measurements whose estimates can be calculated by hand: a
// leader costs 10 thousandths of a core, and in addition one for each worker, two for
// each queue, and three for each task start per second.
func linearMeasurements() []Measurement {
	list := []Measurement{{"base", 10, 0, "workers", "value", 10}, {"base", 2, 0, "queues", "value", 2}, {"base", 5, 0, "starts", "value", 5}, {"base", 2, 0, "fronts", "value", 2}}
	leaderCPU := func(workers, queues, starts float64) float64 { return 10 + workers + 2*queues + 3*starts }
	for _, x := range []float64{10, 20, 40, 80} {
		for dimension, cpu := range map[string]float64{"workers": leaderCPU(x, 2, 5), "queues": leaderCPU(10, x, 5), "starts": leaderCPU(10, 2, x)} {
			list = append(list,
				Measurement{dimension, x, 1, "leader", "cpu_milli", cpu}, Measurement{dimension, x, 1, "leader", "rss_mb", 40},
				Measurement{dimension, x, 1, "front", "cpu_milli", 4 + x}, Measurement{dimension, x, 1, "side", "cpu_milli", 5}, Measurement{dimension, x, 1, "side", "rss_mb", 10},
			)
			if dimension == "workers" {
				list = append(list, Measurement{dimension, x, 1, "side", "bytes_out_s", 20 * x})
			}
		}
	}
	return list
}

func TestSize(t *testing.T) {
	wanted := Demand{Workers: 60, Queues: 7, StartsPerSecond: 30, Cores: 1, MemoryMB: 256, Utilization: 0.5}
	Convey("Estimates add up the curves", t, func() {
		estimates, err := EstimateNodes(linearMeasurements(), wanted)
		So(err, ShouldBeNil)
		So(estimates, ShouldHaveLength, 3)
		So(estimates[0].Role, ShouldEqual, "store")
		So(estimates[0].Nodes, ShouldEqual, 3)
		So(estimates[0].CPUMilli, ShouldAlmostEqual, 10+60+2*7+3*30, 0.001)
		So(estimates[0].Bottleneck, ShouldBeEmpty)
		So(estimates[0].Extrapolation, ShouldAlmostEqual, 0.75, 0.001)
		So(estimates[1].Nodes, ShouldEqual, 2)
		So(estimates[2].Nodes, ShouldEqual, 60)
		So(estimates[2].BytesPerSecond, ShouldAlmostEqual, 1200, 0.001)
	})
	Convey("Components that were timed by themselves take precedence over the process, with the cost of messages", t, func() {
		list := append(linearMeasurements(), Measurement{"base", 1, 0, "message_us", "value", 100}, Measurement{"base", 1, 0, "ground_milli", "value", 7})
		for _, x := range []float64{10, 20, 40, 80} {
			list = append(list,
				Measurement{"workers", x, 1, "leader", "cpu_tables_milli", 0.01 * x * x},
				Measurement{"workers", x, 1, "leader", "sent_s", 2 * x}, Measurement{"workers", x, 1, "leader", "received_s", 3 * x},
			)
		}
		estimates, err := EstimateNodes(list, wanted)
		So(err, ShouldBeNil)
		So(estimates[0].CPUMilli, ShouldAlmostEqual, 7+36+0.1*5*60+2*(7-2)+3*(30-5), 0.001)
		list = append(list, Measurement{"base", 1, 0, "together_milli", "value", 0.2})
		more, err := EstimateNodes(list, wanted)
		So(err, ShouldBeNil)
		So(more[0].CPUMilli, ShouldAlmostEqual, estimates[0].CPUMilli+0.2*(60-10)*(30-5), 0.001)
	})
	Convey("A bottleneck is named", t, func() {
		more := wanted
		more.StartsPerSecond, more.Workers = 400, 200
		estimates, err := EstimateNodes(linearMeasurements(), more)
		So(err, ShouldBeNil)
		So(estimates[0].Bottleneck, ShouldEqual, "processor")
		So(estimates[1].Nodes, ShouldEqual, 3) // 2 · (4+200 + 5 + 395) thousandths of a core, at 500 for each node
		So(estimates[2].Bottleneck, ShouldEqual, "bytes")
	})
	Convey("An invalid field is named", t, func() {
		for field, invalidate := range map[string]func(*Demand){
			"workers": func(d *Demand) { d.Workers = 0 }, "queues": func(d *Demand) { d.Queues = -1 }, "starts": func(d *Demand) { d.StartsPerSecond = -1 },
			"share": func(d *Demand) { d.Cores = 0 }, "memory_mb": func(d *Demand) { d.MemoryMB = 1 }, "busy": func(d *Demand) { d.Utilization = 2 },
		} {
			invalid := wanted
			invalidate(&invalid)
			_, err := EstimateNodes(linearMeasurements(), invalid)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, field+":")
		}
	})
	Convey("The default measurements are complete", t, func() {
		list, err := DefaultMeasurements()
		So(err, ShouldBeNil)
		_, err = EstimateNodes(list, wanted)
		So(err, ShouldBeNil)
	})
}
