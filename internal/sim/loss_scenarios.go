package sim

import (
	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
)

// afterGangStart does something a moment after the first member of a group has
// begun, from a time of the load on: the starts of the others may be on their
// way, or not have left.
func afterGangStart(f *Fleet, from eventloop.Micros, strike func()) {
	f.At(f.LoadStart+from, func() {
		f.observers = append(f.observers, func(e checker.Event) bool {
			if e.Kind != checker.TaskStart || e.Queue != "group" || e.Step != 0 {
				return false
			}
			f.After(eventloop.Micros(f.Rng.Int64N(int64(4*eventloop.Millisecond))), strike)
			return true
		})
	})
}

// LossScenarios strike at the moments that count most.
var LossScenarios = []Scenario{
	{Name: "leader killed between a group's starts", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range eventloop.Micros(2) {
			afterGangStart(f, (3+13*k)*eventloop.Second, func() { f.kill(f.host("leader"), 4*eventloop.Second) })
		}
	}},
	{Name: "controller frozen, leader killed between a group's starts", Network: ReliableNetwork, SyncDelay: 500, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		from := 3 * eventloop.Second
		f.At(f.LoadStart+from, func() { f.freeze(f.controllerHost(), 12*eventloop.Second) })
		afterGangStart(f, from+200*eventloop.Millisecond, func() { f.kill(f.host("leader"), 5*eventloop.Second) })
	}},
}
