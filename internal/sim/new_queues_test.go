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

const newQueues = 8

// newQueueDelays adds queues to the configuration. It returns for each gateway and queue how long
// after the configuration's acknowledgement the gateway could first list the queue's jobs.
func newQueueDelays(seed uint64) (delays []eventloop.Micros) {
	f := NewFleet(seed, SmallFleet, ReliableNetwork, fastSync, 3*eventloop.Second)
	f.Run(f.LoadStart + eventloop.Second)
	rows := f.ConfigurationRows(operatorUrgency)
	for k := range newQueues {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: fmt.Sprintf("new%d", k), Key: "urgency", Value: "20"})
	}
	f.PutConfiguration("operator", rows)
	isAccepted := func() bool {
		last := len(f.History) - 1
		for k := last; k >= 0 && k > last-200; k-- {
			if e := f.History[k]; e.Kind == checker.ConfigurationReply && e.Code == 200 && len(e.Rows) == len(rows) {
				return true
			}
		}
		return false
	}
	for !isAccepted() {
		f.Run(f.Now + eventloop.Millisecond)
	}
	acceptedAt, missing := f.Now, 0
	for _, node := range f.Gateways() {
		for k := range newQueues {
			missing++
			request := leaderRequest(gateway.LeaderRequest{Kind: "list", Group: fmt.Sprintf("new%d", k), Limit: 1})
			var list func()
			list = func() {
				f.Request(node, 8*eventloop.Second, request, func(answer any) {
					if responseOf(answer).Code != 200 {
						f.After(10*eventloop.Millisecond, list)
						return
					}
					missing--
					delays = append(delays, f.Now-acceptedAt)
				})
			}
			list()
		}
	}
	for f.Now < acceptedAt+10*eventloop.Second && missing > 0 {
		f.Run(f.Now + 10*eventloop.Millisecond)
	}
	So(missing, ShouldEqual, 0)
	return delays
}

func TestNewQueuesServeSoon(t *testing.T) {
	Convey("Eight queues that a configuration adds serve at every gateway well before an election's time", t, func() {
		worst, sum, count := eventloop.Micros(0), eventloop.Micros(0), 0
		for seed := uint64(1); seed <= 8; seed++ {
			for _, delay := range newQueueDelays(seed) {
				worst, sum, count = max(worst, delay), sum+delay, count+1
			}
		}
		t.Logf("%d queues at gateways: mean %d us, worst %d us", count, sum/eventloop.Micros(count), worst)
		So(worst, ShouldBeLessThan, 300*eventloop.Millisecond)
	})
}
