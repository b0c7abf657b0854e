package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	finishTime     = 14 * time.Second // the bound finish_s
	starvationTime = 3 * time.Second  // of the rule LOST
	seedLag        = 3 * time.Second  // the bound seed_lag_s
	contactTime    = 3 * time.Second  // the bound contact_ms
	ordinaryKind   = "a"
	newKind        = "b"
)

// playSeeds adds a machine with a worker of a new kind just after the seeds that its settings name
// have left. Some seconds later the platform exchanges the seeds in all settings files and tells the
// processes so.
func playSeeds(rec *record, folder string, hasTrouble bool) (result, error) {
	f, err := newFleet(rec, folder, 3, 4, 3)
	if err != nil {
		return result{}, err
	}
	defer f.close()
	f.seeds = f.of(fronts)[:seedCount]
	present, added := f.machines[:len(f.machines)-1], f.machines[len(f.machines)-1]
	if err := f.startAll(present); err != nil {
		return result{}, err
	}
	if operate(rec, 0, configuration(5, true, newRoute("r-quotes", "/lohu930/", 0)), f.of("disk"), 20*time.Second) != 200 {
		return result{}, fmt.Errorf("%w: the first configuration wasn't taken", errNotRun)
	}
	var workers []*worker
	defer func() { closeWorkers(workers) }()
	for k, side := range f.of(sides) {
		kind := ordinaryKind
		if side == added {
			kind = newKind
		}
		w, err := newWorker(rec, workerID(k), side, kind, "r1-1")
		if err != nil {
			return result{}, err
		}
		workers = append(workers, w)
	}
	clients := &client{rec: rec, prefix: "/lohu930/"}
	first := smallJob(ordinaryKind)
	if !clients.submit("5c0e7a21d94b36f0", first, f.of("disk"), 10*time.Second) || !clients.waitCompleted("5c0e7a21d94b36f0", f.machines[0], 15*time.Second) {
		return result{}, fmt.Errorf("%w: a job before the disruption wasn't done", errNotRun)
	}
	f.firstStart = false
	if err := f.addWhileSeedsAreDown(added, hasTrouble); err != nil {
		return result{}, err
	}
	return f.judgeSeeds(clients, workers)
}

// smallJob returns a job for workers of one kind.
func smallJob(kind string) job {
	return job{
		Specification: specification(300*time.Millisecond, 500, 256),
		Steps:         []step{{Count: 4, CPU: 500, MemoryMB: 256, EstimateMS: 300, RequiredLabels: kind}},
	}
}

// addWhileSeedsAreDown lets the three seeds leave for good, each after a SIGTERM, starts the added
// machine with settings that still name them, and then exchanges the seeds. Without the trouble
// the seeds stay up.
func (f *fleet) addWhileSeedsAreDown(added *machine, hasTrouble bool) error {
	if hasTrouble {
		f.removeAll(f.seeds)
	}
	if err := added.start(); err != nil {
		return err
	}
	time.Sleep(seedLag)
	f.seeds = f.of("disk")
	for _, m := range f.machines {
		if err := m.writeSettings(); err != nil {
			return err
		}
	}
	f.rec.add("the settings of all machines now name the machines with a disk as seeds")
	for _, m := range f.machines {
		if m.isRunning() {
			m.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(contactTime + time.Second)
	return nil
}

// judgeSeeds hands in a job for the added worker and asks for it after finish_s.
func (f *fleet) judgeSeeds(clients *client, workers []*worker) (result, error) {
	const id = "5c0e7a21d94b36f8"
	if !clients.submit(id, smallJob(newKind), f.of("disk"), 10*time.Second) {
		return result{}, fmt.Errorf("%w: the last job wasn't accepted", errNotRun)
	}
	watch := newIdleWatch(workers, id)
	isDone := func() bool { _, state := clients.state(id, f.machines[0]); return state == "completed" }
	if watch.observeFor(finishTime+starvationTime, isDone) {
		return result{false, "the last job was completed"}, nil
	}
	code, state := clients.state(id, f.machines[0])
	f.rec.add("job %s asked for at %s: %d %s", id, f.machines[0].name, code, state)
	if watch.longest < starvationTime {
		return result{false, "the last job was never without a run for 3 s"}, nil
	}
	return result{true, fmt.Sprintf("LOST: job %s, accepted %.0f s ago, is %q and has had nothing running for %.1f s; the worker for it is idle, and no worker runs anything",
		id, (finishTime + starvationTime).Seconds(), state, watch.longest.Seconds())}, nil
}
