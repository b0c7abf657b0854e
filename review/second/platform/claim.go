package main

import (
	"fmt"
	"time"
)

const (
	longTask = 40 * time.Second
	gangTask = 10 * time.Second
)

// playClaim hands in a long task and a gang that needs all workers at once, and then a small job to
// another queue of the same priority. Without the trouble the gang is left out.
func playClaim(rec *record, folder string, hasTrouble bool) (result, error) {
	f, err := newFleet(rec, folder, 3, 1, 3)
	if err != nil {
		return result{}, err
	}
	defer f.close()
	if err := f.startAll(f.machines); err != nil {
		return result{}, err
	}
	if operate(rec, 0, configuration(5, true, newRoute("r-exports", "/pule252/", 0), newRoute("r-checks", "/lohu930/", 0)), f.of("disk"), 20*time.Second) != 200 {
		return result{}, fmt.Errorf("%w: the first configuration wasn't taken", errNotRun)
	}
	workers, err := startWorkers(rec, f)
	defer closeWorkers(workers)
	if err != nil {
		return result{}, err
	}
	exports, checks := &client{rec: rec, prefix: "/pule252/"}, &client{rec: rec, prefix: "/lohu930/"}
	if !checks.submit("5c0e7a21d94b36f0", smallJob(""), f.of("disk"), 10*time.Second) || !checks.waitCompleted("5c0e7a21d94b36f0", f.machines[0], 15*time.Second) {
		return result{}, fmt.Errorf("%w: the first job wasn't done", errNotRun)
	}
	long := job{Specification: specification(longTask, 1000, 256), Steps: []step{{Count: 1, CPU: 1000, MemoryMB: 256, EstimateMS: int(longTask.Milliseconds())}}}
	if !exports.submit("5c0e7a21d94b36f1", long, f.of("disk"), 10*time.Second) {
		return result{}, fmt.Errorf("%w: the long job wasn't accepted", errNotRun)
	}
	if !waitFor(5*time.Second, func() bool { return runningOf(workers, "5c0e7a21d94b36f1") > 0 }) {
		return result{}, fmt.Errorf("%w: the long job didn't start", errNotRun)
	}
	if hasTrouble {
		gang := job{
			Specification: specification(gangTask, wholeCores, 256),
			Steps:         []step{{Count: len(workers), CPU: wholeCores, MemoryMB: 256, EstimateMS: int(gangTask.Milliseconds()), GangScheduled: true}},
		}
		if !exports.submit("5c0e7a21d94b36f2", gang, f.of("disk"), 10*time.Second) {
			return result{}, fmt.Errorf("%w: the gang wasn't accepted", errNotRun)
		}
	}
	time.Sleep(4 * time.Second)
	return judgeClaim(f, checks, workers)
}

// judgeClaim hands the small job in and asks for it after finish_s.
func judgeClaim(f *fleet, clients *client, workers []*worker) (result, error) {
	const id = "5c0e7a21d94b36f3"
	if !clients.submit(id, smallJob(""), f.of("disk"), 10*time.Second) {
		return result{}, fmt.Errorf("%w: the small job wasn't accepted", errNotRun)
	}
	watch := newIdleWatch(workers, id)
	isDone := func() bool { _, state := clients.state(id, f.machines[0]); return state == "completed" }
	if watch.observeFor(finishTime+starvationTime, isDone) {
		return result{false, fmt.Sprintf("the small job was completed, after at most %.1f s without a run", watch.longest.Seconds())}, nil
	}
	code, state := clients.state(id, f.machines[0])
	used, total := usedCPU(workers)
	f.rec.add("job %s asked for at %s: %d %s; %d of %d thousandths of a core are in use", id, f.machines[0].name, code, state, used, total)
	if watch.longest < starvationTime {
		return result{false, "the small job was never without a run for 3 s"}, nil
	}
	return result{true, fmt.Sprintf("LOST: job %s has had nothing running for %.1f s with %d of %d thousandths of a core in use; it needs 2000", id, watch.longest.Seconds(), used, total)}, nil
}
