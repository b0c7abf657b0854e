package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	downSpan      = 4 * time.Second // the pages name up to 9.5 s for machines of the core that lose power together, `kinds` 5 s
	clientCount   = 24
	clientPause   = 50 * time.Millisecond // between two clients: 20 jobs a second, a burst of 2.3 times the usual
	clientWait    = 3 * time.Second       // deadline_ms of the pages' kinds of requests
	furtherTries  = 4                     // as the pages' clients have
	silencePause  = time.Second           // before another try, where no answer has said when to come back
	cancelTimeout = 12 * time.Second      // a client whose cancel isn't answered by then stops asking
	jobSteps      = 12
	stepSpan      = time.Second
	roundSpan     = 20 * time.Second
	cancelRounds  = 4
)

// handedIn is a job that a client has handed in and cancelled.
type handedIn struct {
	id          string
	answers     []int // to the tries to hand it in; 0 if there was none
	cancel      int   // answer to the cancel: 2xx or 410; 0 if none came
	cancelledMS int64 // when the cancel was answered
}

// playCancel lets all machines with a disk lose power at the same moment and come back some
// seconds later, a few times. At that moment clients hand jobs in at the fronts
// without a disk. A client without a clear answer sends the same ID again when it was told to come
// back; one that then is turned away cancels the job. No task of a job may start later than cancel_ms after its cancel was
// acknowledged.
func playCancel(d *deployment, withTrouble bool) int {
	isBroken := false
	for round := range cancelRounds {
		begun := time.Now()
		if withTrouble {
			d.cutPower()
		}
		jobs := make(chan []handedIn, 1)
		go func() { jobs <- d.handInMany(round) }()
		time.Sleep(downSpan)
		if withTrouble && !d.restorePower() {
			return exitNotRun
		}
		inTouchFromMS := d.log.now() + 2*contactMS
		time.Sleep(time.Until(begun.Add(roundSpan)))
		for _, job := range <-jobs {
			isBroken = d.judgeJob(job, inTouchFromMS) || isBroken
		}
	}
	if isBroken {
		return exitBroken
	}
	return exitHeld
}

// cutPower makes the processes of all machines with a disk silent, as machines without power are.
func (d *deployment) cutPower() {
	for _, m := range d.fronts[:3] {
		d.signal(m, syscall.SIGSTOP, "loses power")
	}
}

// restorePower ends the silent processes and starts the machines again; their disks have stayed.
func (d *deployment) restorePower() bool {
	for _, m := range d.fronts[:3] {
		d.signal(m, syscall.SIGKILL, "has its power back")
	}
	for _, m := range d.fronts[:3] {
		<-m.exited
		if d.writeSettings(m, false) != nil || d.start(m) != nil {
			return false
		}
		d.log.note("platform: %s starts again", m.name)
	}
	return true
}

// handInMany lets all clients of a round hand a job in and cancel it. Half of them begin at the
// one front without a disk, half at the other.
func (d *deployment) handInMany(round int) []handedIn {
	var mu sync.Mutex
	var clients sync.WaitGroup
	var jobs []handedIn
	for k := range clientCount {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(k) * clientPause)
			c := newClient(fmt.Sprintf("client-%d", k), d.clientIP(k), d.log)
			job := d.handIn(c, fmt.Sprintf("5c0e7a21d94b%02x%02x", round, k), d.fronts[3+k%2], d.fronts[4-k%2])
			mu.Lock()
			defer mu.Unlock()
			jobs = append(jobs, job)
		}()
	}
	clients.Wait()
	return jobs
}

// handIn hands a job in, again while no answer is clear, and then cancels it until that is
// answered with 2xx or 410. The first try goes to the front first, the cancel to the other one.
func (d *deployment) handIn(c *client, id string, first, second *machine) handedIn {
	job := handedIn{id: id}
	front, next := first, second
	for try := 0; try <= furtherTries; try++ {
		reply := c.submit(d.fleet, front, id, chain(jobSteps, stepSpan), clientWait)
		job.answers = append(job.answers, reply.code)
		if reply.code/100 == 2 || isTurnedAway(reply.code) {
			break
		}
		time.Sleep(reply.pause)
		front, next = next, front
	}
	deadline := time.Now().Add(cancelTimeout)
	for time.Now().Before(deadline) {
		reply := c.call("DELETE", at(second, d.ports.frontend), prefix+id, http.Header{}, nil, clientWait)
		if reply.code/100 == 2 || reply.code == http.StatusGone {
			job.cancel, job.cancelledMS = reply.code, d.log.now()
			break
		}
		time.Sleep(reply.pause)
	}
	return job
}

func isTurnedAway(code int) bool {
	return code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable
}

// judgeJob reports whether a task of a cancelled job was started too late by a machine in touch.
func (d *deployment) judgeJob(job handedIn, inTouchFromMS int64) bool {
	late := 0
	for _, s := range d.startsOf(job.id) {
		if job.cancel != 0 && s.atMS > job.cancelledMS+cancelMS && s.atMS > inTouchFromMS {
			late++
		}
	}
	if late > 0 {
		d.log.note("judge: UNASKED broken: job %s, handed in with answers %v, cancel answered %d at %d ms, then %d tasks started later than %d ms after that",
			job.id, job.answers, job.cancel, job.cancelledMS, late, cancelMS)
	}
	return late > 0
}
