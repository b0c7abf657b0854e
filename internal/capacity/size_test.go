package capacity

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// plain is a set of slopes whose sums can be done by hand: a leader costs a
// thousandth of a core for each worker, two for each queue, three for each start
// a second, over 10.
func plain() []Reading {
	list := []Reading{{"base", 10, 0, "workers", "value", 10}, {"base", 2, 0, "queues", "value", 2}, {"base", 5, 0, "starts", "value", 5}, {"base", 2, 0, "fronts", "value", 2}}
	at := func(workers, queues, starts float64) float64 { return 10 + workers + 2*queues + 3*starts }
	for _, x := range []float64{10, 20, 40, 80} {
		for size, cpu := range map[string]float64{"workers": at(x, 2, 5), "queues": at(10, x, 5), "starts": at(10, 2, x)} {
			list = append(list,
				Reading{size, x, 1, "leader", "cpu_milli", cpu}, Reading{size, x, 1, "leader", "rss_mb", 40},
				Reading{size, x, 1, "front", "cpu_milli", 4 + x}, Reading{size, x, 1, "side", "cpu_milli", 5}, Reading{size, x, 1, "side", "rss_mb", 10},
			)
			if size == "workers" {
				list = append(list, Reading{size, x, 1, "side", "bytes_out_s", 20 * x})
			}
		}
	}
	return list
}

func TestSize(t *testing.T) {
	wanted := Wanted{Workers: 60, Queues: 7, Starts: 30, Share: 1, Memory: 256, Busy: 0.5}
	Convey("The sums follow from the slopes", t, func() {
		needs, err := Size(plain(), wanted)
		So(err, ShouldBeNil)
		So(needs, ShouldHaveLength, 3)
		So(needs[0].Role, ShouldEqual, "store")
		So(needs[0].Machines, ShouldEqual, 3)
		So(needs[0].Cpu, ShouldAlmostEqual, 10+60+2*7+3*30, 0.001)
		So(needs[0].Over, ShouldBeEmpty)
		So(needs[0].Reach, ShouldAlmostEqual, 0.75, 0.001)
		So(needs[1].Machines, ShouldEqual, 2)
		So(needs[2].Machines, ShouldEqual, 60)
		So(needs[2].Bytes, ShouldAlmostEqual, 1200, 0.001)
	})
	Convey("Tables that were timed by themselves go before the whole, with what their messages cost", t, func() {
		list := append(plain(), Reading{"base", 1, 0, "message_us", "value", 100}, Reading{"base", 1, 0, "ground_milli", "value", 7})
		for _, x := range []float64{10, 20, 40, 80} {
			list = append(list,
				Reading{"workers", x, 1, "leader", "cpu_tables_milli", 0.01 * x * x},
				Reading{"workers", x, 1, "leader", "sent_s", 2 * x}, Reading{"workers", x, 1, "leader", "received_s", 3 * x},
			)
		}
		needs, err := Size(list, wanted)
		So(err, ShouldBeNil)
		So(needs[0].Cpu, ShouldAlmostEqual, 7+36+0.1*5*60+2*(7-2)+3*(30-5), 0.001)
		list = append(list, Reading{"base", 1, 0, "together_milli", "value", 0.2})
		more, err := Size(list, wanted)
		So(err, ShouldBeNil)
		So(more[0].Cpu, ShouldAlmostEqual, needs[0].Cpu+0.2*(60-10)*(30-5), 0.001)
	})
	Convey("What a machine can't give is said", t, func() {
		more := wanted
		more.Starts, more.Workers = 400, 200
		needs, err := Size(plain(), more)
		So(err, ShouldBeNil)
		So(needs[0].Over, ShouldEqual, "processor")
		So(needs[1].Machines, ShouldEqual, 3) // 2 x (4+200 + 5 + 395) of 500
		So(needs[2].Over, ShouldEqual, "bytes")
	})
	Convey("A field that can't be taken is named", t, func() {
		for field, spoil := range map[string]func(*Wanted){
			"workers": func(w *Wanted) { w.Workers = 0 }, "queues": func(w *Wanted) { w.Queues = -1 }, "starts": func(w *Wanted) { w.Starts = -1 },
			"share": func(w *Wanted) { w.Share = 0 }, "memory_mb": func(w *Wanted) { w.Memory = 1 }, "busy": func(w *Wanted) { w.Busy = 2 },
		} {
			bad := wanted
			spoil(&bad)
			_, err := Size(plain(), bad)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, field+":")
		}
	})
	Convey("The slopes that are kept with the product are whole", t, func() {
		list, err := Slopes()
		So(err, ShouldBeNil)
		_, err = Size(list, wanted)
		So(err, ShouldBeNil)
	})
}
