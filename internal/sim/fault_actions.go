package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/eventloop"
)

// target is what a kind of fault may strike.
type target int

const (
	targetLeader       target = iota // whichever storage node leads most queues then
	targetStorage                    // a storage node
	targetGateway                    // a gateway without a disk
	targetAgent                      // an agent node, or the one whose controller holds the lease
	targetZone                       // all machines of a zone
	targetWorker                     // a worker of either kind
	targetCalledWorker               // a called worker
	targetVersions                   // the configuration, where operators number its versions
	targetAll                        // no machine in particular
)

var (
	anyMachine     = []target{targetLeader, targetStorage, targetGateway, targetAgent}
	anyServer      = []target{targetLeader, targetStorage, targetGateway}
	anyStorageNode = []target{targetLeader, targetStorage}
	anyWorker      = []target{targetWorker}
	calledWorker   = []target{targetCalledWorker}
	wholeFleet     = []target{targetAll}
)

// injection injects a fault into the target of a name, for a duration in µs.
type injection func(f *Fleet, name string, duration eventloop.Micros)

// faultAction is a kind of fault.
type faultAction struct {
	targets []target
	isLoss  bool // a storage node that it strikes counts as lost meanwhile
	inject  injection
}

// faultActions are all kinds of faults, by the names that schedules give them.
var faultActions = mergeActions(basicFaultActions, platformFaultActions)

func mergeActions(a, b map[string]faultAction) map[string]faultAction {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// FaultNames lists the kinds of faults, in order.
func FaultNames() []string { return slices.Sorted(maps.Keys(faultActions)) }

// basicFaultActions are the kinds of faults that RandomSchedule draws from.
var basicFaultActions = map[string]faultAction{
	// A machine loses power for a while.
	"kill": {anyMachine, true, onHost((*Fleet).kill)},
	// A machine's process stops for a while, and goes on.
	"freeze": {anyMachine, true, onHost((*Fleet).freeze)},
	// A machine is partitioned from all others for a while.
	"isolate": {anyMachine, true, onHost((*Fleet).isolate)},
	// What a machine sends is lost for a while.
	"mute": {anyMachine, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) { f.isolateOneWay(h, duration, true) })},
	// What a machine is sent is lost for a while.
	"deaf": {anyMachine, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) { f.isolateOneWay(h, duration, false) })},
	// A storage node is lost with its disk; an empty one comes up at a new address.
	"replace": {anyStorageNode, true, onHost(func(f *Fleet, h *Host, _ eventloop.Micros) { f.replace(h) })},
	// A server is shut down gracefully, and started again later.
	"warn": {anyServer, true, onHost(drainAndRestart)},
	// A storage node's disk completes nothing for a while.
	"stall": {anyStorageNode, true, onHost(stallDisk)},
	// A storage node's disk takes 200 ms for each sync.
	"slow": {anyStorageNode, false, onHost(slowDisk)},
	// A storage node's wall clock is wrong by up to six hours.
	"clock": {[]target{targetStorage}, false, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) {
		f.setClock(h)
		f.After(duration, func() { h.WallClockOffset = 0 })
	})},
	// A zone is partitioned from the others for a while.
	"split": {[]target{targetZone}, true, (*Fleet).partitionZone},
	// All machines lose power at once.
	"power": {wholeFleet, true, onFleet(func(f *Fleet, duration eventloop.Micros) { f.powerCycleAll(min(duration, maxDowntime)) })},

	// A worker crashes, and starts again.
	"crash": {anyWorker, false, onWorker(func(f *Fleet, w Worker, duration eventloop.Micros) {
		w.Crash()
		f.After(duration, w.Start)
	})},
	// A worker is partitioned for a while, and runs on.
	"cut": {anyWorker, false, onWorker(func(f *Fleet, w Worker, duration eventloop.Micros) {
		w.SetPartitioned(true)
		f.After(duration, func() { w.SetPartitioned(false) })
	})},
	// A worker and its tasks are frozen for a while.
	"sleep": {anyWorker, false, onWorker(func(_ *Fleet, w Worker, duration eventloop.Micros) { w.Freeze(duration) })},
	// A worker drains, and is started anew later.
	"leave": {anyWorker, false, onWorker(func(f *Fleet, w Worker, duration eventloop.Micros) {
		w.Drain()
		f.After(duration, func() { w.Crash(); w.Start() })
	})},
	// A worker restarts with a quarter of its capacity.
	"shrink": {anyWorker, false, onWorker(shrinkWorker)},
	// Most tasks of a worker fail.
	"fail": {anyWorker, false, onWorker(failTasks)},

	// A called worker leaves 40 percent of its calls unanswered.
	"late": {calledWorker, false, unhealthyFor(0, 0.4)},
	// A called worker rejects half of its calls.
	"refuse": {calledWorker, false, unhealthyFor(0.5, 0)},
	// A share of the tasks of a called worker make no progress.
	"still": {calledWorker, false, onCalledWorker(func(f *Fleet, w *CalledWorker, duration eventloop.Micros) {
		w.recordUnhealthy()
		w.behaviour.StallRate = 0.3
		f.After(duration, func() { w.behaviour.StallRate = 0 })
	})},
	// A called worker runs its tasks six times slower.
	"creep": {calledWorker, false, onCalledWorker(func(f *Fleet, w *CalledWorker, duration eventloop.Micros) {
		w.recordUnhealthy()
		w.behaviour.Slowdown = 6
		f.After(duration, func() { w.behaviour.Slowdown = 0 })
	})},
	// A called worker drains at short notice: it ends 700 ms later in any case.
	"hurry": {calledWorker, false, onCalledWorker(func(f *Fleet, w *CalledWorker, duration eventloop.Micros) {
		w.drain(700*eventloop.Millisecond, false)
		f.After(max(duration, eventloop.Second), w.Start)
	})},

	// An operator replaces the configuration.
	"table": {wholeFleet, false, onFleet(func(f *Fleet, _ eventloop.Micros) {
		f.PutConfiguration("one", f.ConfigurationRows(20+f.Rng.IntN(60)))
	})},
	// Two operators replace the configuration at once.
	"race": {wholeFleet, false, onFleet(func(f *Fleet, _ eventloop.Micros) {
		f.PutConfiguration("one", f.ConfigurationRows(20+f.Rng.IntN(30)))
		f.PutConfiguration("two", f.ConfigurationRows(60+f.Rng.IntN(30)))
	})},
	// Many more of the fleet's jobs than usual are submitted.
	"rush": {wholeFleet, false, onFleet(rushOfJobs)},
	// Many jobs that fit no worker are submitted.
	"flood": {wholeFleet, false, onFleet(floodOfHugeJobs)},
}

// maxDowntime bounds how long all machines are down at once.
const maxDowntime = 2 * eventloop.Second

// onHost makes an injection of a fault of a machine.
func onHost(inject func(f *Fleet, h *Host, duration eventloop.Micros)) injection {
	return func(f *Fleet, name string, duration eventloop.Micros) { inject(f, f.host(name), duration) }
}

// onWorker makes an injection of a fault of a worker.
func onWorker(inject func(f *Fleet, w Worker, duration eventloop.Micros)) injection {
	return func(f *Fleet, name string, duration eventloop.Micros) { inject(f, f.worker(name), duration) }
}

// onCalledWorker makes an injection of a fault that only called workers have.
func onCalledWorker(inject func(f *Fleet, w *CalledWorker, duration eventloop.Micros)) injection {
	return func(f *Fleet, name string, duration eventloop.Micros) {
		inject(f, f.worker(name).(*CalledWorker), duration)
	}
}

// onFleet makes an injection of a fault of no machine in particular.
func onFleet(inject func(f *Fleet, duration eventloop.Micros)) injection {
	return func(f *Fleet, _ string, duration eventloop.Micros) { inject(f, duration) }
}

// unhealthyFor has a worker reject shares of the calls, and leave shares unanswered.
func unhealthyFor(rejectShare, unresponsiveShare float64) injection {
	return onCalledWorker(func(f *Fleet, w *CalledWorker, duration eventloop.Micros) {
		w.SetUnhealthy(rejectShare, unresponsiveShare)
		f.After(duration, func() { w.SetUnhealthy(0, 0) })
	})
}

func drainAndRestart(f *Fleet, h *Host, duration eventloop.Micros) {
	f.RecordFault("%s warned", h.Name)
	h.Drain(duration)
	f.After(duration+eventloop.Second, h.startIfDown)
}

func stallDisk(f *Fleet, h *Host, duration eventloop.Micros) {
	f.RecordFault("the disk of %s stalls", h.Name)
	h.StallUntil = f.Now + duration
}

func slowDisk(f *Fleet, h *Host, duration eventloop.Micros) {
	f.RecordFault("the disk of %s is slow", h.Name)
	usual := h.SyncDelay
	h.SyncDelay = 200 * eventloop.Millisecond
	f.After(duration, func() { h.SyncDelay = usual })
}

// shrinkWorker restarts a worker with a quarter of its capacity.
func shrinkWorker(f *Fleet, w Worker, duration eventloop.Micros) {
	w.Crash()
	w.SetCapacity(f.Spec.Cores/4, f.Spec.Memory/4)
	w.Start()
	f.After(duration, func() {
		w.Crash()
		w.SetCapacity(f.Spec.Cores, f.Spec.Memory)
		w.Start()
	})
}

// failTasks has most tasks of a worker fail.
func failTasks(f *Fleet, w Worker, duration eventloop.Micros) {
	if called, isCalled := w.(*CalledWorker); isCalled {
		called.recordUnhealthy()
	}
	w.Behaviour().FailureRate = 0.6
	f.After(duration, func() { w.Behaviour().FailureRate = 0 })
}

// rushOfJobs submits many more of the fleet's jobs than usual.
func rushOfJobs(f *Fleet, duration eventloop.Micros) {
	for n, kind := range f.Spec.JobKinds {
		kind.Name, kind.Interval = fmt.Sprintf("rush%d-%d", f.Now/eventloop.Second, n), kind.Interval/20
		if f.Spec.HasCalledWorkers() {
			// Their jobs are larger.
			kind.Interval *= 8
		}
		if kind.CancelDelay == 0 {
			// Only jobs that run until they are cancelled are still cancelled; they would
			// otherwise never end.
			kind.CancelShare = 0
		}
		f.GenerateLoad(kind, f.Now+min(duration, 5*eventloop.Second))
	}
}

// floodOfHugeJobs submits many jobs that fit no worker.
func floodOfHugeJobs(f *Fleet, duration eventloop.Micros) {
	kind := JobKind{
		Name: fmt.Sprintf("huge%d", f.Now/eventloop.Second), Queue: "timed", Interval: 10 * eventloop.Millisecond,
		Job: newJob("run_us=1000", newStep("huge", 1, 65_000+f.Spec.Cores)),
	}
	if f.Spec.HasCalledWorkers() {
		// A larger worker may yet join the pool, so these wait until they are cancelled.
		kind.CancelShare, kind.CancelDelay = 1, 8*eventloop.Second
	}
	f.GenerateLoad(kind, f.Now+min(duration, 5*eventloop.Second))
}

// host finds a machine by the name that schedules give it.
func (f *Fleet) host(name string) *Host {
	switch name {
	case "leader":
		if leader := f.Leader(); leader != nil {
			return leader
		}
		return f.Hosts[0]
	case "controller":
		return f.controllerHost()
	}
	// Of a machine and those that replaced it, the last one.
	for _, h := range slices.Backward(f.Hosts) {
		if h.machineName() == name {
			return h
		}
	}
	return f.Hosts[0]
}

// worker finds a worker by its machine's name.
func (f *Fleet) worker(name string) Worker {
	for _, w := range f.Workers {
		if w.Machine() == name {
			return w
		}
	}
	return f.Workers[0]
}

// targetNames lists what a kind of fault may strike on a fleet.
func (a faultAction) targetNames(spec FleetSpec) []string {
	var list []string
	for _, t := range a.targets {
		list = append(list, t.names(spec)...)
	}
	return list
}

func (t target) names(spec FleetSpec) []string {
	switch t {
	case targetLeader:
		return []string{"leader"}
	case targetStorage:
		return numbered("server", 1, storageNodes)
	case targetGateway:
		return numbered("server", storageNodes+1, spec.Gateways)
	case targetAgent:
		return append([]string{"controller"}, numbered("controller", 1, spec.AgentNodes)...)
	case targetZone:
		return numbered("c", 1, zoneCount)
	case targetWorker, targetCalledWorker:
		if spec.HasCalledWorkers() {
			return numbered("controller", 1, spec.Workers)
		}
		if t == targetWorker {
			return numbered("w", 0, spec.Workers-1)
		}
	case targetVersions:
		if spec.HasCalledWorkers() {
			return []string{"all"}
		}
	case targetAll:
		return []string{"all"}
	}
	return nil
}

// numbered lists names with numbers.
func numbered(prefix string, from, to int) []string {
	var names []string
	for k := from; k <= to; k++ {
		names = append(names, fmt.Sprint(prefix, k))
	}
	return names
}

// isStorageTarget reports whether a target's name is, or may be, that of a storage node.
func isStorageTarget(name string) bool {
	isAgent := strings.HasPrefix(name, "controller")
	isGateway := strings.HasPrefix(name, "server") && !slices.Contains(targetStorage.names(FleetSpec{}), name)
	return !isAgent && !isGateway
}
