package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	killAfterStart = 500 * time.Millisecond
	// waitAfterReturn is far beyond recovery_s (12 s) and acknowledge_ms (4 s).
	waitAfterReturn = 40 * time.Second
)

// playBootstrap ends all processes of the core at the same moment, soon after the first start of
// the system. They start again within a second, with their disks and with settings that no longer
// call it the first start. The operator and a client then try for waitAfterReturn.
func playBootstrap(rec *record, folder string, hasTrouble bool) (result, error) {
	f, err := newFleet(rec, folder, 3, 2, 2)
	if err != nil {
		return result{}, err
	}
	defer f.close()
	if err := f.startAll(f.machines); err != nil {
		return result{}, err
	}
	time.Sleep(killAfterStart)
	if hasTrouble {
		f.killAll(f.of("disk"))
		f.firstStart = false
		time.Sleep(restartDelay)
		if err := f.startAll(f.of("disk")); err != nil {
			return result{}, err
		}
	}
	workers, err := startWorkers(rec, f)
	defer closeWorkers(workers)
	if err != nil {
		return result{}, err
	}
	const id = "5c0e7a21d94b36f8"
	clients := &client{rec: rec, prefix: "/lohu930/"}
	if code := operate(rec, 0, configuration(5, true, newRoute("r-quotes", "/lohu930/", 0)), f.of("disk"), waitAfterReturn); code != http.StatusOK {
		isTaken := clients.submit(id, smallJob(ordinaryKind), f.of("disk"), 5*time.Second)
		read := call(http.MethodGet, f.machines[0].controlAddress(), "/configuration/read", nil, nil, clientWait)
		rec.add("the configuration read at %s: %d", f.machines[0].name, read.code)
		if isTaken || read.code == http.StatusOK {
			return result{}, fmt.Errorf("%w: a job was taken without an acknowledged configuration", errNotRun)
		}
		return result{true, fmt.Sprintf("Fault: no request is served; %.0f s after all machines were back the first configuration has no acknowledgement (last answer %d)", waitAfterReturn.Seconds(), code)}, nil
	}
	if !clients.submit(id, smallJob(ordinaryKind), f.of("disk"), 20*time.Second) || !clients.waitCompleted(id, f.machines[0], 15*time.Second) {
		return result{true, "Fault: no request is served"}, nil
	}
	return result{false, "the configuration was acknowledged and a job was completed"}, nil
}
