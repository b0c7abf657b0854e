package sim

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
)

// newQueueDelays puts a table with eight queues more, and gives how long after the
// answer each front could first list each of them.
func newQueueDelays(seed uint64) (durations []eventloop.Micros) {
	f := NewFleet(seed, SmallFleet, ReliableNetwork, 500, 3*eventloop.Second)
	f.Run(f.LoadStart + eventloop.Second)
	rows := f.ConfigurationRows(60)
	for k := 0; k < 8; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: fmt.Sprintf("new%d", k), Key: "urgency", Value: "20"})
	}
	f.PutConfiguration("operator", rows)
	taken := func() bool {
		last := len(f.History) - 1
		for k := last; k >= 0 && k > last-200; k-- {
			if e := f.History[k]; e.Kind == checker.ConfigurationReply && e.Code == 200 && len(e.Rows) == len(rows) {
				return true
			}
		}
		return false
	}
	for !taken() {
		f.Run(f.Now + eventloop.Millisecond)
	}
	began := f.Now
	open := 0
	for _, node := range f.Hosts {
		if node.Role != schema.Role_ROLE_SERVER {
			continue
		}
		for k := 0; k < 8; k++ {
			open++
			queue := fmt.Sprintf("new%d", k)
			var try func()
			try = func() {
				f.Request(node, 8*eventloop.Second, func(request uint64, deadline eventloop.Micros) any {
					return gateway.LeaderRequest{RequestID: request, Kind: "list", Group: queue, Limit: 1, Deadline: deadline}
				}, func(answer any) {
					if reply, _ := answer.(gateway.Response); reply.Code != 200 {
						f.After(10*eventloop.Millisecond, try)
						return
					}
					open--
					durations = append(durations, f.Now-began)
				})
			}
			try()
		}
	}
	for f.Now < began+10*eventloop.Second && open > 0 {
		f.Run(f.Now + 10*eventloop.Millisecond)
	}
	So(open, ShouldEqual, 0)
	return durations
}

func TestNewQueuesServeSoon(t *testing.T) {
	Convey("Eight queues that a table adds serve at every front well before an election's time", t, func() {
		worst, sum, count := eventloop.Micros(0), eventloop.Micros(0), 0
		for seed := uint64(1); seed <= 8; seed++ {
			for _, duration := range newQueueDelays(seed) {
				worst, sum, count = max(worst, duration), sum+duration, count+1
			}
		}
		t.Logf("%d queues at fronts: mean %d us, worst %d us", count, sum/eventloop.Micros(count), worst)
		So(worst, ShouldBeLessThan, 300*eventloop.Millisecond)
	})
}
