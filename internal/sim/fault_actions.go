package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sparnotch/internal/eventloop"
)

// target is a class of targets that a kind of fault may strike.
type target int

const (
	targetLeader       target = iota // the storage node that leads most queues when the fault strikes
	targetStorage                    // a storage node
	targetGateway                    // a gateway without a disk
	targetAgent                      // an agent node, by name or as the one whose controller holds the lease
	targetZone                       // all machines of a zone
	targetWorker                     // a worker of either kind
	targetCalledWorker               // a called worker
	targetVersions                   // the configuration, in fleets whose operators number its versions
	targetAll                        // the whole fleet
)

var (
	anyMachine     = []target{targetLeader, targetStorage, targetGateway, targetAgent}
	anyServer      = []target{targetLeader, targetStorage, targetGateway}
	anyStorageNode = []target{targetLeader, targetStorage}
	anyWorker      = []target{targetWorker}
	calledWorker   = []target{targetCalledWorker}
	wholeFleet     = []target{targetAll}
)

// injection injects a fault into the target with the given name for a duration in µs.
type injection func(f *Fleet, name string, duration eventloop.Micros)

// faultAction describes a kind of fault: the targets that it may strike and how to inject it.
type faultAction struct {
	targets []target
	isLoss  bool // whether a storage node counts as lost while the fault lasts
	inject  injection
}

// faultActions holds all kinds of faults by the names that schedules use.
var faultActions = mergeActions(basicFaultActions, platformFaultActions)

func mergeActions(a, b map[string]faultAction) map[string]faultAction {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// FaultNames returns the names of all kinds of faults in alphabetical order.
func FaultNames() []string { return slices.Sorted(maps.Keys(faultActions)) }

// basicFaultActions holds the kinds of faults from which RandomSchedule draws.
var basicFaultActions = map[string]faultAction{
	// A machine loses power and starts again after the duration.
	"kill": {anyMachine, true, onHost((*Fleet).kill)},
	// A machine's process is suspended for the duration.
	"freeze": {anyMachine, true, onHost((*Fleet).freeze)},
	// A machine is partitioned from all others for the duration.
	"isolate": {anyMachine, true, onHost((*Fleet).isolate)},
	// All messages that a machine sends are lost for the duration.
	"mute": {anyMachine, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) { f.isolateOneWay(h, duration, true) })},
	// All messages that are sent to a machine are lost for the duration.
	"deaf": {anyMachine, true, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) { f.isolateOneWay(h, duration, false) })},
	// A storage node is lost with its disk; a successor with an empty disk starts at a new address.
	"replace": {anyStorageNode, true, onHost(func(f *Fleet, h *Host, _ eventloop.Micros) { f.replace(h) })},
	// A server is shut down gracefully and started again later.
	"warn": {anyServer, true, onHost(drainAndRestart)},
	// A storage node's disk completes no write for the duration.
	"stall": {anyStorageNode, true, onHost(stallDisk)},
	// A storage node's disk takes 200 ms for each sync.
	"slow": {anyStorageNode, false, onHost(slowDisk)},
	// A storage node's wall clock is wrong by up to six hours for the duration.
	"clock": {[]target{targetStorage}, false, onHost(func(f *Fleet, h *Host, duration eventloop.Micros) {
		f.setClock(h)
		f.After(duration, func() { h.WallClockOffset = 0 })
	})},
	// A zone is partitioned from the others for the duration.
	"split": {[]target{targetZone}, true, (*Fleet).partitionZone},
	// All machines lose power at once and start again after the duration.
	"power": {wholeFleet, true, onFleet(func(f *Fleet, duration eventloop.Micros) { f.powerCycleAll(min(duration, maxDowntime)) })},

	// A worker crashes and starts again after the duration.
	"crash": {anyWorker, false, onWorker(func(f *Fleet, w Worker, duration eventloop.Micros) {
		w.Crash()
		f.After(duration, w.Start)
	})},
	// A worker is partitioned for the duration but keeps running.
	"cut": {anyWorker, false, onWorker(func(f *Fleet, w Worker, duration eventloop.Micros) {
		w.SetPartitioned(true)
		f.After(duration, func() { w.SetPartitioned(false) })
	})},
	// A worker is suspended for the duration. The tasks of a polling worker are suspended with
	// it; on the machine of a called worker only the agent's process is.
	"sleep": {anyWorker, false, onWorker(func(_ *Fleet, w Worker, duration eventloop.Micros) { w.Freeze(duration) })},
	// A worker drains and is restarted after the duration.
	"leave": {anyWorker, false, onWorker(func(f *Fleet, w Worker, duration eventloop.Micros) {
		w.Drain()
		f.After(duration, func() { w.Crash(); w.Start() })
	})},
	// A worker restarts with a quarter of its capacity, and with all of it after the duration.
	"shrink": {anyWorker, false, onWorker(shrinkWorker)},
	// Most tasks of a worker fail during the fault.
	"fail": {anyWorker, false, onWorker(failTasks)},

	// A called worker leaves 40 percent of the calls to it unanswered.
	"late": {calledWorker, false, unhealthyFor(0, 0.4)},
	// A called worker rejects half of the calls to it.
	"refuse": {calledWorker, false, unhealthyFor(0.5, 0)},
	// 30 percent of the tasks of a called worker stall.
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
	// A called worker drains at short notice: it ends after 700 ms at the latest.
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
	// The fleet's kinds of jobs are submitted at many times the usual rate.
	"rush": {wholeFleet, false, onFleet(rushOfJobs)},
	// Many jobs that are too large for every worker are submitted.
	"flood": {wholeFleet, false, onFleet(floodOfHugeJobs)},
}

// maxDowntime limits the time for which all machines are down at once.
const maxDowntime = 2 * eventloop.Second

// onHost returns an injection that calls inject with a machine as the target.
func onHost(inject func(f *Fleet, h *Host, duration eventloop.Micros)) injection {
	return func(f *Fleet, name string, duration eventloop.Micros) { inject(f, f.host(name), duration) }
}

// onWorker returns an injection that calls inject with a worker as the target.
func onWorker(inject func(f *Fleet, w Worker, duration eventloop.Micros)) injection {
	return func(f *Fleet, name string, duration eventloop.Micros) { inject(f, f.worker(name), duration) }
}

// onCalledWorker returns an injection that calls inject with a called worker as the target.
func onCalledWorker(inject func(f *Fleet, w *CalledWorker, duration eventloop.Micros)) injection {
	return func(f *Fleet, name string, duration eventloop.Micros) {
		inject(f, f.worker(name).(*CalledWorker), duration)
	}
}

// onFleet returns an injection that calls inject with the whole fleet as the target.
func onFleet(inject func(f *Fleet, duration eventloop.Micros)) injection {
	return func(f *Fleet, _ string, duration eventloop.Micros) { inject(f, duration) }
}

// unhealthyFor returns an injection that makes a called worker reject one share of the calls
// and leave another share unanswered while the fault lasts.
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

// shrinkWorker restarts a worker with a quarter of its capacity, and after the duration with
// its full capacity.
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

// failTasks makes 60 percent of a worker's tasks fail for a duration.
func failTasks(f *Fleet, w Worker, duration eventloop.Micros) {
	if called, isCalled := w.(*CalledWorker); isCalled {
		called.recordUnhealthy()
	}
	w.Behaviour().FailureRate = 0.6
	f.After(duration, func() { w.Behaviour().FailureRate = 0 })
}

// rushOfJobs submits the fleet's kinds of jobs at many times the usual rate for a while.
func rushOfJobs(f *Fleet, duration eventloop.Micros) {
	for n, kind := range f.Spec.JobKinds {
		kind.Name, kind.Interval = fmt.Sprintf("rush%d-%d", f.Now/eventloop.Second, n), kind.Interval/20
		if f.Spec.HasCalledWorkers() {
			// The jobs of such fleets are larger.
			kind.Interval *= 8
		}
		if kind.CancelDelay == 0 {
			// Only jobs with a CancelDelay are cancelled. They run until they are cancelled and
			// would otherwise never end.
			kind.CancelShare = 0
		}
		f.GenerateLoad(kind, f.Now+min(duration, 5*eventloop.Second))
	}
}

// floodOfHugeJobs submits many jobs that are too large for every worker.
func floodOfHugeJobs(f *Fleet, duration eventloop.Micros) {
	kind := JobKind{
		Name: fmt.Sprintf("huge%d", f.Now/eventloop.Second), Queue: "timed", Interval: 10 * eventloop.Millisecond,
		Job: newJob("run_us=1000", newStep("huge", 1, 65_000+f.Spec.Cores)),
	}
	if f.Spec.HasCalledWorkers() {
		// Since a larger worker could join the pool later, these jobs wait until they are cancelled.
		kind.CancelShare, kind.CancelDelay = 1, 8*eventloop.Second
	}
	f.GenerateLoad(kind, f.Now+min(duration, 5*eventloop.Second))
}

// host returns the machine with the name that schedules use for it, or the first machine if
// there is none with this name.
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
	// Several hosts have this name if a machine was replaced; the last one is the current one.
	for _, h := range slices.Backward(f.Hosts) {
		if h.machineName() == name {
			return h
		}
	}
	return f.Hosts[0]
}

// worker returns the worker on the machine with the given name, or the first worker if there
// is none.
func (f *Fleet) worker(name string) Worker {
	for _, w := range f.Workers {
		if w.Machine() == name {
			return w
		}
	}
	return f.Workers[0]
}

// targetNames returns the names of the targets that a kind of fault may strike in a fleet.
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
		return numberedNames("server", 1, storageNodes)
	case targetGateway:
		return numberedNames("server", storageNodes+1, spec.Gateways)
	case targetAgent:
		return append([]string{"controller"}, numberedNames("controller", 1, spec.AgentNodes)...)
	case targetZone:
		return numberedNames("c", 1, zoneCount)
	case targetWorker, targetCalledWorker:
		if spec.HasCalledWorkers() {
			return numberedNames("controller", 1, spec.Workers)
		}
		if t == targetWorker {
			return numberedNames("w", 0, spec.Workers-1)
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

// numberedNames returns the prefix followed by each number in the range, both ends included.
func numberedNames(prefix string, from, to int) []string {
	var names []string
	for k := from; k <= to; k++ {
		names = append(names, fmt.Sprint(prefix, k))
	}
	return names
}

// isStorageTarget reports whether a target is a storage node or may include one.
func isStorageTarget(name string) bool {
	isAgent := strings.HasPrefix(name, "controller")
	isGateway := strings.HasPrefix(name, "server") && !slices.Contains(targetStorage.names(FleetSpec{}), name)
	return !isAgent && !isGateway
}
