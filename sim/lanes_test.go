package sim

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/check"
	"sparnotch/intake"
	"sparnotch/loop"
	"sparnotch/schema"
)

// newLanes puts a table with eight lanes more, and gives how long after the
// answer each front could first list each of them.
func newLanes(seed uint64) (spans []loop.Micros) {
	f := NewFleet(seed, Small, CalmNet, 500, 3*loop.Second)
	f.Run(f.Began + loop.Second)
	rows := f.Rows(60)
	for k := 0; k < 8; k++ {
		rows = append(rows, &schema.Row{Kind: "lane", Name: fmt.Sprintf("new%d", k), Key: "urgency", Value: "20"})
	}
	f.Put("operator", rows)
	taken := func() bool {
		last := len(f.History) - 1
		for k := last; k >= 0 && k > last-200; k-- {
			if e := f.History[k]; e.Kind == check.PlanPut && e.Code == 200 && len(e.Rows) == len(rows) {
				return true
			}
		}
		return false
	}
	for !taken() {
		f.Run(f.Now + loop.Milli)
	}
	began := f.Now
	open := 0
	for _, front := range f.Hosts {
		if front.Role != schema.Role_ROLE_KEEP {
			continue
		}
		for k := 0; k < 8; k++ {
			open++
			lane := fmt.Sprintf("new%d", k)
			var try func()
			try = func() {
				f.Ask(front, 8*loop.Second, func(errand uint64, deadline loop.Micros) any {
					return intake.Ask{Errand: errand, Kind: "list", Group: lane, Most: 1, Deadline: deadline}
				}, func(answer any) {
					if reply, _ := answer.(intake.Answer); reply.Code != 200 {
						f.After(10*loop.Milli, try)
						return
					}
					open--
					spans = append(spans, f.Now-began)
				})
			}
			try()
		}
	}
	for f.Now < began+10*loop.Second && open > 0 {
		f.Run(f.Now + 10*loop.Milli)
	}
	So(open, ShouldEqual, 0)
	return spans
}

func TestNewLanesServeSoon(t *testing.T) {
	Convey("Eight lanes that a table adds serve at every front well before an election's time", t, func() {
		worst, sum, count := loop.Micros(0), loop.Micros(0), 0
		for seed := uint64(1); seed <= 8; seed++ {
			for _, span := range newLanes(seed) {
				worst, sum, count = max(worst, span), sum+span, count+1
			}
		}
		t.Logf("%d lanes at fronts: mean %d us, worst %d us", count, sum/loop.Micros(count), worst)
		So(worst, ShouldBeLessThan, 300*loop.Milli)
	})
}
