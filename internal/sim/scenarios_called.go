package sim

import (
	"fmt"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

// CalledScenarios lists scenarios with faults of called workers and of the agents that call
// them.
var CalledScenarios = []Scenario{
	{Name: "side machines killed, frozen, cut", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 40 * eventloop.Second, Inject: loseAgents},
	{Name: "every side machine killed at once", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(3*eventloop.Second, func() { f.killAgentNodes(2 * eventloop.Second) })
	}},
	{Name: "orders are left unanswered and carried out late", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		for k, worker := range f.Workers {
			f.atLoad(eventloop.Micros(2+3*k)*eventloop.Second, func() { worker.(*CalledWorker).SetUnhealthy(0, 0.6) })
			f.atLoad(eventloop.Micros(10+3*k)*eventloop.Second, func() { worker.(*CalledWorker).SetUnhealthy(0, 0) })
		}
	}},
	{Name: "called workers crash, vanish, leave at once, fail, stand still", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 40 * eventloop.Second, Inject: loseCalledWorkers},
	{Name: "leader, a worker and its neighbour's agent lost at once", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLeader(4*eventloop.Second, func(leader *Host) {
			f.kill(leader, 8*eventloop.Second)
			f.Workers[0].Crash()
			f.After(15*eventloop.Second, f.Workers[0].Start)
			f.kill(f.agentNodes[1], 5*eventloop.Second)
		})
	}},
	{Name: "disks lost after all were killed", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 40 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(5*eventloop.Second, f.powerCycleAndWipeOne)
	}},
	{Name: "routes get other names while leaders are lost", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 40 * eventloop.Second, Inject: renameRoutesUnderFaults},
	{Name: "urgent work while called workers are full", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: func(f *Fleet) {
		step := &schema.Step{Name: "fill", Tasks: 30, CoresMilli: 2000, MemoryMb: 100, EstimatedRunUs: int64(5 * eventloop.Second), Checkpoints: true}
		f.burstOnFullFleet(3, JobKind{Queue: "slow", Attempts: 4, Job: newJob("fill", step)}, f.Spec.JobKinds[0])
	}},
}

// loseAgents kills, freezes and isolates agent nodes while long tasks run. The tasks are long
// enough that some of them are still running when a worker's lease expires.
func loseAgents(f *Fleet) {
	step := &schema.Step{Name: "long", Tasks: 8, CoresMilli: 1000, MemoryMb: 100, EstimatedRunUs: int64(9 * eventloop.Second), Checkpoints: true, MaxPerWorker: 2}
	long := newJob("long", step)
	for k := range eventloop.Micros(3) {
		f.atLoad((1+8*k)*eventloop.Second, func() { f.Submit(JobKind{Queue: "quick", Attempts: 4, Job: long}, fmt.Sprint("long-", k)) })
	}
	f.atLoad(2*eventloop.Second, func() { f.kill(f.agentNodes[0], 3*eventloop.Second) })
	f.atLoad(8*eventloop.Second, func() { f.freeze(f.agentNodes[1], 7*eventloop.Second) })
	f.atLoad(9*eventloop.Second, func() { f.freeze(f.agentNodes[4], 2*eventloop.Second) })
	f.atLoad(18*eventloop.Second, func() { f.isolate(f.agentNodes[2], 9*eventloop.Second) })
	f.atLoad(20*eventloop.Second, func() { f.kill(f.agentNodes[3], 12*eventloop.Second) })
	f.atLoad(30*eventloop.Second, func() { f.isolate(f.agentNodes[0], 2*eventloop.Second) })
}

func loseCalledWorkers(f *Fleet) {
	w := func(k int) *CalledWorker { return f.Workers[k].(*CalledWorker) }
	f.atLoad(2*eventloop.Second, func() { w(0).Start() })
	f.atLoad(4*eventloop.Second, func() { w(1).Crash(); f.After(9*eventloop.Second, w(1).Start) })
	f.atLoad(6*eventloop.Second, func() { w(2).drain(700*eventloop.Millisecond, false); f.After(4*eventloop.Second, w(2).Start) })
	f.atLoad(12*eventloop.Second, func() { w(3).Drain(); f.After(8*eventloop.Second, w(3).Start) })
	f.atLoad(15*eventloop.Second, func() {
		w(0).recordUnhealthy()
		w(0).behaviour.FailureRate = 0.5
		w(2).recordUnhealthy()
		w(2).behaviour.StallRate = 0.2
	})
	f.atLoad(22*eventloop.Second, func() {
		w(1).SetUnhealthy(0.5, 0)
		w(3).recordUnhealthy()
		w(3).behaviour.Slowdown = 6
	})
	f.atLoad(30*eventloop.Second, func() {
		for k := range f.Workers {
			w(k).behaviour = fakeworker.Behaviour{}
			w(k).SetUnhealthy(0, 0)
		}
	})
}

// powerCycleAndWipeOne kills all machines, wipes the disk of one of them, and starts them
// again after a second.
func (f *Fleet) powerCycleAndWipeOne() {
	f.RecordFault("every process killed, one disk lost")
	for k, h := range f.Hosts {
		if k == 1 {
			h.Wipe()
		}
		h.Kill()
		f.After(eventloop.Second, h.Start)
	}
}
