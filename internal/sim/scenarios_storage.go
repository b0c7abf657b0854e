package sim

import (
	"fmt"

	"sparnotch/internal/eventloop"
)

// maxFencingTokens is how high the fencing tokens of workers go when the queues move from a
// slow disk once: five workers are assigned, and reassigned once or twice. More would show
// that they are moved back and forth.
const maxFencingTokens = 40

// minKnownMembers is how many members a storage node knows that has found its peers.
const minKnownMembers = 5

// storageScenarios are machines with a disk that are replaced, and disks that are slow.
var storageScenarios = []Scenario{
	{Name: "disk machine replaced", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 45 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLeader(4*eventloop.Second, f.replace)
	}, Verify: verifyRepaired},
	{Name: "all disk machines replaced in turn", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 90 * eventloop.Second, Inject: func(f *Fleet) {
		for k := range storageNodes {
			f.atLoad(eventloop.Micros(3+27*k)*eventloop.Second, func() { f.replace(f.Hosts[k]) })
		}
	}, Verify: verifyRepaired},
	{
		Name: "a machine away while every seed is replaced", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 130 * eventloop.Second,
		Inject: awayWhileSeedsAreReplaced, Verify: verifyFoundItsPeers,
	},
	{Name: "disk stalls", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLeader(4*eventloop.Second, func(leader *Host) { stallDisk(f, leader, 8*eventloop.Second) })
	}},
	{Name: "slow disk", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 60 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLeader(4*eventloop.Second, func(leader *Host) {
			f.RecordFault("the disk of %s is slow", leader.Name)
			leader.SyncDelay = 450 * eventloop.Millisecond
			f.slowDiskHost = leader
		})
	}, Verify: verifyLeftSlowDisk},
}

// awayWhileSeedsAreReplaced has a storage node that is nobody's seed down until nobody
// remembers it, and its own seeds gone: only the peers that it knew can take it back.
func awayWhileSeedsAreReplaced(f *Fleet) {
	f.atLoad(2*eventloop.Second, func() { f.replace(f.Hosts[0]) })
	f.atLoad(30*eventloop.Second, func() {
		away := f.newestHost()
		away.Seeds = []string{f.Hosts[0].Address, "10.9.9.8:1", "10.9.9.9:1"}
		f.kill(away, 70*eventloop.Second)
	})
}

func verifyFoundItsPeers(f *Fleet) []string {
	if len(f.newestHost().StateView().Members) < minKnownMembers {
		return []string{"the storage node did not find its peers"}
	}
	return nil
}

// verifyLeftSlowDisk: the queues are led elsewhere, and the workers weren't reassigned again
// and again.
func verifyLeftSlowDisk(f *Fleet) []string {
	var problems []string
	if f.Leader() == f.slowDiskHost {
		problems = append(problems, "the queues stayed on the slow disk")
	}
	highest := uint64(0)
	for _, h := range f.StorageNodes() {
		for _, lease := range h.StateView().WorkerLeases {
			highest = max(highest, lease.FencingToken)
		}
	}
	if highest > maxFencingTokens {
		problems = append(problems, fmt.Sprintf("fencing tokens went up to %d", highest))
	}
	return problems
}
