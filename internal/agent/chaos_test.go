package agent_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/agent"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/fakeworker"
	"sparnotch/internal/schema"
)

// runWithAllFaults is a run under every fault at once, the same for the same seed.
func runWithAllFaults(seed uint64) (breaches []string, ends int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	faultsOver := false
	setup := fakeworker.Config{
		EnforcesCapacity: seed%2 == 0, ClockDrift: 0.98 + 0.02*rng.Float64(),
		Fault: func(eventloop.Micros, agent.Call) fakeworker.Fault {
			if faultsOver || rng.IntN(4) > 0 {
				return fakeworker.NoFault
			}
			return fakeworker.Fault(1 + rng.IntN(4))
		},
		Fails: func(agent.TaskName, uint32) bool { return rng.IntN(10) == 0 },
		StopDuration: func(agent.TaskName, uint32) eventloop.Micros {
			return eventloop.Micros(rng.Int64N(int64(800 * eventloop.Millisecond)))
		},
	}
	bounds := &schema.Bounds{StopUs: int64(800 * eventloop.Millisecond), HoldMostUs: int64(3 * eventloop.Second)}
	b := newHarness(setup, bounds)
	b.messageDelay = func(any) eventloop.Micros {
		if faultsOver || rng.IntN(8) > 0 {
			return eventloop.Micros(1+rng.IntN(4)) * eventloop.Millisecond
		}
		return eventloop.Micros(rng.IntN(300)) * eventloop.Millisecond
	}
	w := b.addScheduler("p1", 5, "w1")
	configureFaults := func(w *fakeScheduler) {
		w.acknowledgeAfter = eventloop.Micros(rng.Int64N(int64(200 * eventloop.Millisecond)))
		w.losesReply = func() bool { return !faultsOver && rng.IntN(5) == 0 }
	}
	configureFaults(w)
	addBreach := func(format string, given ...any) { breaches = append(breaches, fmt.Sprintf(format, given...)) }
	attempts := map[uint32]uint32{}
	lastTask := uint32(0)
	worker, fencingToken, checked, frozenAt := "w1", uint64(5), 0, 0
	ended := map[string]bool{}
	b.onStart = func(key string) {
		if ended[key] {
			addBreach("%s begins though it was told as ended", key)
		}
	}
	for k := 0; k < 40_000; k++ {
		if k == 30_000 {
			faultsOver = true
		}
		if k%500 == 0 && !faultsOver {
			switch rng.IntN(12) {
			case 0:
				fencingToken++
				previous := w
				w = b.addScheduler(fmt.Sprintf("p%d", fencingToken), fencingToken, worker)
				configureFaults(w)
				w.starts, w.stops, w.firstReported = previous.starts, previous.stops, previous.firstReported
				checked = 0
			case 1:
				b.agent = agent.New(bounds, uint64(b.now))
				b.publishClusterState()
			case 2:
				fencingToken++
				worker = fmt.Sprintf("w%d", fencingToken)
				b.worker.Restart(b.now, worker)
				w.starts, w.stops, w.fencingToken = nil, nil, fencingToken
				b.moveLease(w.id, fencingToken, worker)
			case 3:
				b.isFrozen, frozenAt = !b.isFrozen, k
			}
		}
		// Who is frozen nearly throughout is put to no test.
		if b.isFrozen && k-frozenAt > 8_000 {
			b.isFrozen = false
		}
		if faultsOver {
			b.isFrozen = false
		}
		if k%100 == 0 && k < 28_000 && len(w.starts) < 8 {
			lastTask++
			attempts[lastTask] = 1
			w.starts = append(w.starts, newOrder("start", "j", lastTask, 1, fmt.Sprintf("run_us=%d cores=150", rng.IntN(2_000_000)+1)))
		}
		if k%700 == 0 && len(w.starts) > 0 && !faultsOver {
			stop := w.starts[rng.IntN(len(w.starts))]
			w.stops = append(w.stops, newOrder("stop", "j", stop.Task, stop.Attempt, ""))
		}
		b.run(eventloop.Millisecond)
		// Whatever was told as ended doesn't run, then or later, and its task is
		// given out again as the next attempt.
		for ; checked < len(w.ends); checked++ {
			var task, attempt uint32
			var how string
			if _, err := fmt.Sscanf(w.ends[checked], "j.0.0.%d/%d %s", &task, &attempt, &how); err != nil {
				addBreach("%s: %v", w.ends[checked], err)
			}
			key := attemptName("j", 0, 0, task, attempt)
			if ended[key] {
				addBreach("%s told twice", key)
			}
			ended[key] = true
			if b.worker.IsRunning(fakeworker.RunID{Task: agent.TaskName{Job: "j", Task: task}, Attempt: attempt}) {
				addBreach("%s runs at %d though it was told as ended", key, k)
			}
			ends++
			kept := w.starts[:0:0]
			for _, o := range w.starts {
				if o.Task != task || o.Attempt != attempt {
					kept = append(kept, o)
				} else if how != "done" && !faultsOver {
					kept = append(kept, newOrder("start", "j", task, attempt+1, o.Text))
				}
			}
			w.starts = kept
		}
		if len(breaches) > 0 {
			return breaches, ends
		}
	}
	for key, count := range b.startCounts {
		if count > 1 {
			addBreach("%s began %d times", key, count)
		}
	}
	if b.worker.UnacknowledgedCount() > 0 || b.worker.RunningCount() > 0 || len(w.starts) > 0 {
		addBreach("left over: %d ends, %d runs, %d orders", b.worker.UnacknowledgedCount(), b.worker.RunningCount(), len(w.starts))
	}
	return breaches, ends
}

func TestAllFaults(t *testing.T) {
	Convey("Whatever is lost, late or restarted, what was told as ended doesn't run, and all comes to its end", t, func() {
		for seed := uint64(1); seed <= 12; seed++ {
			breaches, ends := runWithAllFaults(seed)
			So(breaches, ShouldBeEmpty)
			So(ends, ShouldBeGreaterThan, 20)
		}
	})
}
