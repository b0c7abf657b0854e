package fakeworker

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestWorkerFencing(t *testing.T) {
	start := func(task uint32) []*schema.TaskOrder {
		return []*schema.TaskOrder{{Action: "start", Queue: "l", Job: 1, Task: task, Attempt: 1, CoresMilli: 10, Text: "run_us=60000000"}}
	}
	newWorker := func() (*PollingWorker, map[string]int) {
		seen := map[string]int{}
		w := NewPollingWorker(eventloop.Second, "w", "r", 1000, 1000, 1, rand.New(rand.NewPCG(1, 1)), func(e checker.Event) { seen[e.Kind+e.State]++ })
		return w, seen
	}
	lease := int64(4 * eventloop.Second)
	Convey("A worker ignores orders with a lower fencing token, and an answer older than one it has taken", t, func() {
		w, seen := newWorker()
		first, second, third := w.NewHeartbeat(eventloop.Second).Seq, w.NewHeartbeat(eventloop.Second).Seq, w.NewHeartbeat(eventloop.Second).Seq
		w.HandleOrders(eventloop.Second, eventloop.Second, second, &schema.WorkerOrders{FencingToken: 5, LeaseUs: lease})
		w.HandleOrders(eventloop.Second, eventloop.Second, third, &schema.WorkerOrders{FencingToken: 4, LeaseUs: lease, Orders: start(0)})
		w.HandleOrders(eventloop.Second, eventloop.Second, first, &schema.WorkerOrders{FencingToken: 5, LeaseUs: lease, Orders: start(0)})
		So(seen[checker.TaskStart], ShouldEqual, 0)
		w.HandleOrders(eventloop.Second, eventloop.Second, third, &schema.WorkerOrders{FencingToken: 5, LeaseUs: lease, Orders: start(0)})
		So(seen[checker.TaskStart], ShouldEqual, 1)
	})
	Convey("It stops its runs when its lease ends, counted from when the heartbeat was sent, and keeps its reservations", t, func() {
		w, seen := newWorker()
		seq := w.NewHeartbeat(eventloop.Second).Seq
		hold := &schema.TaskOrder{Action: "hold", Queue: "l", Job: 2, Attempt: 1, CoresMilli: 10}
		w.HandleOrders(2*eventloop.Second, eventloop.Second, seq, &schema.WorkerOrders{FencingToken: 1, LeaseUs: lease, Orders: append(start(0), hold)})
		w.Tick(5*eventloop.Second - 1)
		So(seen[checker.TaskEnd+"stopped"], ShouldEqual, 0)
		w.Tick(5 * eventloop.Second)
		So(seen[checker.TaskEnd+"stopped"], ShouldEqual, 1)
		So(w.NewHeartbeat(6*eventloop.Second).Running, ShouldHaveLength, 1)
	})
	Convey("It takes no more than its capacity, nor the same attempt twice", t, func() {
		w, seen := newWorker()
		big := start(0)
		big[0].CoresMilli = 900
		w.HandleOrders(eventloop.Second, eventloop.Second, w.NewHeartbeat(eventloop.Second).Seq, &schema.WorkerOrders{FencingToken: 1, LeaseUs: lease, Orders: big})
		more := start(1)
		more[0].CoresMilli = 200
		w.HandleOrders(eventloop.Second, eventloop.Second, w.NewHeartbeat(eventloop.Second).Seq, &schema.WorkerOrders{FencingToken: 1, LeaseUs: lease, Orders: append(more, big...)})
		So(seen[checker.TaskStart], ShouldEqual, 1)
		So(w.NewHeartbeat(eventloop.Second).Ended[0].State, ShouldEqual, "stopped")
	})
}
