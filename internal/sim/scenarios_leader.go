package sim

import "sparnotch/internal/eventloop"

// leaderScenarios lists runs without injected faults, and scenarios in which the leader or its
// peers are lost or partitioned.
var leaderScenarios = []Scenario{
	{Name: "calm", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 15 * eventloop.Second},
	{Name: "rough net", Network: LossyNetwork, SyncDelay: fastSync, Duration: 15 * eventloop.Second},
	{Name: "slow disks", Network: ReliableNetwork, SyncDelay: slowSync, Duration: 15 * eventloop.Second},
	{Name: "leader killed", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.killLeaderAt(4*eventloop.Second, 4*eventloop.Second)
	}},
	{Name: "leaders killed in turn, rough net", Network: LossyNetwork, SyncDelay: slowSync, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range eventloop.Micros(3) {
			f.killLeaderAt((3+13*k)*eventloop.Second, 3*eventloop.Second)
		}
	}},
	{Name: "all killed at once", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(4*eventloop.Second, func() { f.powerCycleAll(eventloop.Second) })
	}},
	{Name: "leader frozen 1 s", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 20 * eventloop.Second, Inject: freezeLeader(eventloop.Second)},
	{Name: "leader frozen 5 s", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: freezeLeader(5 * eventloop.Second)},
	{Name: "leader frozen 30 s", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 45 * eventloop.Second, Inject: freezeLeader(30 * eventloop.Second)},
	{Name: "leader isolated", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLeader(4*eventloop.Second, func(leader *Host) { f.isolate(leader, 12*eventloop.Second) })
	}},
	{Name: "core split each way", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 60 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range storageNodes {
			f.atLoad(eventloop.Micros(3+18*k)*eventloop.Second, func() { f.partitionZone(f.StorageNodes()[k].Zone, 8*eventloop.Second) })
		}
	}},
	{Name: "one-way cuts", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range eventloop.Micros(2) {
			f.atLeader((3+20*k)*eventloop.Second, func(leader *Host) { f.isolateOneWay(leader, 10*eventloop.Second, k == 0) })
		}
	}},
}

// freezeLeader returns a function that freezes the leader for the given duration, 4 s after the
// load's start.
func freezeLeader(duration eventloop.Micros) func(f *Fleet) {
	return func(f *Fleet) {
		f.atLeader(4*eventloop.Second, func(leader *Host) { f.freeze(leader, duration) })
	}
}
