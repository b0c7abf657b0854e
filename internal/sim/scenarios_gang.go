package sim

import "sparnotch/internal/eventloop"

// GangScenarios lists scenarios in which the leader is lost between the starts of a gang's
// members.
var GangScenarios = []Scenario{
	{Name: "leader killed between a group's starts", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range eventloop.Micros(2) {
			f.afterGangStart((3+13*k)*eventloop.Second, func() { f.kill(f.leaderOrFirst(), 4*eventloop.Second) })
		}
	}},
	{Name: "controller frozen, leader killed between a group's starts", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		from := 3 * eventloop.Second
		f.atLoad(from, func() { f.freeze(f.controllerHost(), 12*eventloop.Second) })
		f.afterGangStart(from+200*eventloop.Millisecond, func() { f.kill(f.leaderOrFirst(), 5*eventloop.Second) })
	}},
}
