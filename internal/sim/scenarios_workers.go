package sim

import (
	"fmt"

	"sparnotch/internal/checker"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// workerScenarios lists scenarios with faults of workers, and with configuration changes and
// cancellations that affect running tasks.
var workerScenarios = []Scenario{
	{Name: "workers crash, vanish, leave, are cut off", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 35 * eventloop.Second, Inject: func(f *Fleet) {
		w := func(k int) Worker { return f.Workers[k] }
		f.atLoad(2*eventloop.Second, func() { w(0).Crash(); f.After(2*eventloop.Second, w(0).Start) })
		f.atLoad(5*eventloop.Second, func() { w(1).Crash(); w(1).Start() })
		f.atLoad(8*eventloop.Second, func() { f.partitionWorker(w(2), 9*eventloop.Second) })
		f.atLoad(12*eventloop.Second, func() { w(3).Drain() })
		f.atLoad(20*eventloop.Second, func() { w(4).Freeze(7 * eventloop.Second) })
		f.atLoad(24*eventloop.Second, func() { w(3).Crash(); w(3).Start() })
		// The worker is removed one second after it was told to drain.
		f.atLoad(28*eventloop.Second, func() { w(1).Drain(); f.After(eventloop.Second, w(1).Crash) })
	}},
	{Name: "workers fail, slow down, stand still", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(0, func() {
			f.Workers[0].Behaviour().FailureRate = 0.6
			f.Workers[1].Behaviour().Slowdown = 5
			f.Workers[2].Behaviour().StallRate = 0.1
		})
	}},
	{Name: "worker cut off while its leader dies", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second, Inject: func(f *Fleet) {
		f.atLoad(4*eventloop.Second, func() { f.partitionWorker(f.Workers[2], 12*eventloop.Second) })
		f.killLeaderAt(4500*eventloop.Millisecond, 3*eventloop.Second)
	}},
	{Name: "the table takes effect", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 35 * eventloop.Second, Inject: changeConfiguration},
	{Name: "long work is cancelled", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 30 * eventloop.Second, Inject: cancelLongWork},
	{
		Name: "leader, controller and worker lost at once", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 40 * eventloop.Second,
		Inject: loseLeaderControllerAndWorker, Verify: verifyLostTasksRestart,
	},
	{Name: "a leave told only to a front that is cut off", Network: ReliableNetwork, SyncDelay: fastSync, Duration: 25 * eventloop.Second, Inject: drainThroughPartitionedGateway},
}

func (f *Fleet) partitionWorker(w Worker, duration eventloop.Micros) {
	w.SetPartitioned(true)
	f.After(duration, func() { w.SetPartitioned(false) })
}

// changeConfiguration drains a rack, limits a queue and adds another queue. The leader is killed
// between the last two changes.
func changeConfiguration(f *Fleet) {
	put := func(at eventloop.Micros, kind, name, key, value string) {
		f.atLoad(at, func() {
			f.PutConfiguration("operator", append(f.ConfigurationRows(operatorUrgency), &schema.ConfigurationRow{Kind: kind, Name: name, Key: key, Value: value}))
		})
	}
	put(3*eventloop.Second, "rack", "r1", "weight", "0")
	put(10*eventloop.Second, "queue", "slow", "running", "2")
	put(18*eventloop.Second, "queue", "extra", "urgency", "5")
	f.killLeaderAt(14*eventloop.Second, 3*eventloop.Second)
	for k := range f.Gateways() {
		f.atLoad(21*eventloop.Second+eventloop.Micros(k)*100*eventloop.Millisecond, func() {
			f.Submit(JobKind{Queue: "extra", Job: DefaultJobKinds()[0].Job}, fmt.Sprint("extra-", k))
		})
	}
}

func cancelLongWork(f *Fleet) {
	kind := JobKind{Queue: "slow", Job: newJob("run_us=25000000", newStep("first", 3, 500), newStep("more", 60, 2000), newStep("last", 2, 500, "first"))}
	for k := range eventloop.Micros(6) {
		f.atLoad((1+3*k)*eventloop.Second, func() {
			name := fmt.Sprintf("long-%d", int(k))
			f.Submit(kind, name)
			f.After(1500*eventloop.Millisecond, func() { f.cancelJob(kind, name) })
		})
	}
	f.killLeaderAt(8*eventloop.Second, 3*eventloop.Second)
}

func loseLeaderControllerAndWorker(f *Fleet) {
	f.atLeader(6*eventloop.Second, func(leader *Host) {
		// Long tasks run on every worker, so that the lost worker has some too.
		long := newJob("run_us=6000000", newStep("long", uint32(2*len(f.Workers)), 500))
		f.Submit(JobKind{Queue: "slow", Job: long}, "long-1")
		f.After(2*eventloop.Second, func() {
			f.kill(leader, 20*eventloop.Second)
			f.kill(f.controllerHost(), 20*eventloop.Second)
			worker := f.busiestWorker()
			f.lostWorker, f.workerLostAt = worker.Name(), f.Now
			worker.Crash()
		})
	})
}

// verifyLostTasksRestart checks that all tasks that ran on the lost worker are started on
// another worker within the recovery bound, and records the longest delay.
func verifyLostTasksRestart(f *Fleet) []string {
	type task struct {
		queue, name string
		job         uint64
		step, task  uint32
	}
	isOver := map[string]bool{} // cancelled and failed jobs, whose tasks needn't start again
	for _, e := range f.History {
		if e.Kind == checker.CancelRequest || e.State == "failed" && e.Kind == checker.Status {
			isOver[e.Name] = true
		}
	}
	lost := map[task]bool{}
	for _, e := range f.History {
		key := task{e.Queue, e.Name, e.Job, e.Step, e.Task}
		switch {
		case e.Actor == f.lostWorker && e.Kind == checker.TaskStart && e.At <= f.workerLostAt && !isOver[e.Name]:
			lost[key] = true
		case e.Kind == checker.TaskEnd && e.At <= f.workerLostAt && e.State != "gone":
			delete(lost, key)
		case e.Kind == checker.TaskStart && lost[key]:
			delete(lost, key)
			f.RestartDelay = max(f.RestartDelay, e.At-f.workerLostAt)
		}
	}
	if f.RestartDelay == 0 || len(lost) > 0 || f.RestartDelay > checker.DefaultTolerances.Recovery {
		return []string{fmt.Sprintf("%d tasks of the lost worker never started again, and the last of its other tasks started again after %d us", len(lost), f.RestartDelay)}
	}
	return nil
}

// drainThroughPartitionedGateway makes a worker report that it drains only through a gateway
// that is partitioned from all other hosts.
func drainThroughPartitionedGateway(f *Fleet) {
	f.atLoad(4*eventloop.Second, func() {
		node := f.disklessGateways[len(f.disklessGateways)-1]
		worker, isPolling := f.Workers[2].(*PollingWorker)
		if !isPolling {
			return
		}
		f.Isolate(node, true)
		worker.gateway, worker.isPinned = node, true
		f.recordPartition(worker.name, true)
		worker.Drain()
		f.After(8*eventloop.Second, func() {
			f.Isolate(node, false)
			worker.isPinned = false
			f.recordPartition(worker.name, false)
		})
	})
}
