package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	founderDelay     = 100 * time.Millisecond // from the kill to the restart
	killBeforeVote   = 250 * time.Millisecond
	wipedFor         = 3 * time.Second  // for_s of the trouble
	recoveryTime     = 12 * time.Second // the bound recovery_s
	readAttempts     = 10
	operatorOffset   = 450 * time.Millisecond
	acknowledgeLimit = 20 * time.Second
	operatorPause    = 20 * time.Millisecond
)

// playFounders ends one process of the core soon after the first start of the system; it is back
// within a second. Some seconds later, right after the first configuration was acknowledged, the
// machine that acknowledged it loses its disk. Without the trouble no process is ended at the first
// start.
func playFounders(rec *record, folder string, hasTrouble bool) (result, error) {
	f, err := newFleet(rec, folder, 3, 2, 2)
	if err != nil {
		return result{}, err
	}
	defer f.close()
	if err := f.startAll(f.machines); err != nil {
		return result{}, err
	}
	time.Sleep(killBeforeVote)
	disks := f.of("disk")
	f.firstStart = false
	if hasTrouble {
		f.killAll(disks[:1])
		time.Sleep(founderDelay)
		if err := disks[0].start(); err != nil {
			return result{}, err
		}
	}
	// The machine that was down counts as lost for catch_up_s (4 s) after its start.
	time.Sleep(4500 * time.Millisecond)
	acknowledged := f.firstAcknowledgement(disks[1:])
	if acknowledged == nil {
		return result{}, fmt.Errorf("%w: the first configuration wasn't taken", errNotRun)
	}
	acknowledged.signal(9)
	<-acknowledged.exited
	if err := os.RemoveAll(acknowledged.dataFolder()); err != nil {
		return result{}, err
	}
	rec.add("%s has lost its disk", acknowledged.name)
	time.Sleep(wipedFor)
	if err := acknowledged.start(); err != nil {
		return result{}, err
	}
	time.Sleep(recoveryTime)
	return f.judgeFounders()
}

// firstAcknowledgement lets an operator at each machine send the first configuration, the same one,
// again and again. It returns the machine that acknowledged it first, or nil.
func (f *fleet) firstAcknowledgement(machines []*machine) *machine {
	body := configuration(5, true, newRoute("r-quotes", "/lohu930/", 0))
	acknowledged, stop := make(chan *machine, len(machines)), make(chan struct{})
	defer close(stop)
	for k, m := range machines {
		go func() {
			// The operators' calls overlap, so that one is always under way.
			for pause := time.Duration(k) * operatorOffset; ; pause = operatorPause {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				if sendConfiguration(f.rec, 0, body, m) == http.StatusOK {
					acknowledged <- m
					return
				}
			}
		}()
	}
	select {
	case m := <-acknowledged:
		return m
	case <-time.After(acknowledgeLimit):
		return nil
	}
}

// judgeFounders reads the configuration back at all machines that serve control, again and again.
func (f *fleet) judgeFounders() (result, error) {
	machines := append(f.of("disk"), f.of(fronts)...)
	last := 0
	for k := range readAttempts {
		m := machines[k%len(machines)]
		got := call(http.MethodGet, m.controlAddress(), "/configuration/read", nil, nil, clientWait)
		var body struct {
			Version int `json:"version"`
		}
		_ = json.Unmarshal(got.body, &body)
		f.rec.add("the configuration read at %s: %d, version %d", m.name, got.code, body.Version)
		if got.code == http.StatusOK && body.Version == 5 {
			return result{false, "the acknowledged configuration is read back"}, nil
		}
		last = got.code
		time.Sleep(500 * time.Millisecond)
	}
	return result{true, fmt.Sprintf("LOST: the acknowledged configuration is gone: no machine gives it %.0f s and more after all machines are back (last answer %d)", recoveryTime.Seconds(), last)}, nil
}
