package sim

import (
	"fmt"

	"sparnotch/internal/eventloop"
)

// maxFencingTokens is the highest fencing token that worker leases may reach when the queues
// move away from a slow disk once: five workers are assigned, and reassigned once or twice. A
// higher token means that workers were reassigned back and forth.
const maxFencingTokens = 40

// minKnownMembers is the number of members that a storage node must know to have found its
// peers.
const minKnownMembers = 5

// storageScenarios lists scenarios in which storage nodes are replaced, or disks are slow or
// stall.
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

// awayWhileSeedsAreReplaced takes a storage node down that is nobody's seed, for so long that
// the others forget it. None of its own seeds exists any more, so it can rejoin only through
// the peers that it knew before.
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
		return []string{"the storage node didn't find its peers"}
	}
	return nil
}

// verifyLeftSlowDisk checks that another node leads the queues, and that the workers weren't
// reassigned repeatedly.
func verifyLeftSlowDisk(f *Fleet) []string {
	var problems []string
	if f.Leader() == f.slowDiskHost {
		problems = append(problems, "the node with the slow disk still leads the queues")
	}
	highest := uint64(0)
	for _, h := range f.StorageNodes() {
		for _, lease := range h.StateView().WorkerLeases {
			highest = max(highest, lease.FencingToken)
		}
	}
	if highest > maxFencingTokens {
		problems = append(problems, fmt.Sprintf("fencing tokens reached %d, which shows that workers were reassigned repeatedly", highest))
	}
	return problems
}
