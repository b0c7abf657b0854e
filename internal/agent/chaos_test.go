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

// runWithAllFaults runs an agent, a worker and schedulers with all kinds of faults at
// once, and returns the violations of the tested properties and the number of reported
// ends. A seed always gives the same run.
func runWithAllFaults(seed uint64) (violations []string, ends int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	faultsOver := false
	config := fakeworker.Config{
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
	bounds := &schema.Bounds{StopTimeoutUs: int64(800 * eventloop.Millisecond), MaxWorkerLeaseUs: int64(3 * eventloop.Second)}
	h := newHarness(config, bounds)
	h.messageDelay = func(any) eventloop.Micros {
		if faultsOver || rng.IntN(8) > 0 {
			return eventloop.Micros(1+rng.IntN(4)) * eventloop.Millisecond
		}
		return eventloop.Micros(rng.IntN(300)) * eventloop.Millisecond
	}
	s := h.addScheduler("p1", 5, "w1")
	configureFaults := func(s *fakeScheduler) {
		s.acknowledgeAfter = eventloop.Micros(rng.Int64N(int64(200 * eventloop.Millisecond)))
		s.losesReply = func() bool { return !faultsOver && rng.IntN(5) == 0 }
	}
	configureFaults(s)
	addViolation := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	attempts := map[uint32]uint32{}
	lastTask := uint32(0)
	worker, fencingToken, checked, pausedAt := "w1", uint64(5), 0, 0
	ended := map[string]bool{}
	h.onStart = func(key string) {
		if ended[key] {
			addViolation("%s starts though it was reported as ended", key)
		}
	}
	for step := 0; step < 40_000; step++ {
		if step == 30_000 {
			faultsOver = true
		}
		if step%500 == 0 && !faultsOver {
			switch rng.IntN(12) {
			case 0:
				fencingToken++
				previous := s
				s = h.addScheduler(fmt.Sprintf("p%d", fencingToken), fencingToken, worker)
				configureFaults(s)
				s.starts, s.stops, s.firstReported = previous.starts, previous.stops, previous.firstReported
				checked = 0
			case 1:
				h.agent = agent.New(bounds, uint64(h.now))
				h.publishClusterState()
			case 2:
				fencingToken++
				worker = fmt.Sprintf("w%d", fencingToken)
				h.worker.Restart(h.now, worker)
				s.starts, s.stops, s.fencingToken = nil, nil, fencingToken
				h.moveLease(s.id, fencingToken, worker)
			case 3:
				h.isPaused, pausedAt = !h.isPaused, step
			}
		}
		// A run whose agent is paused nearly all the time would test nothing.
		if h.isPaused && step-pausedAt > 8_000 {
			h.isPaused = false
		}
		if faultsOver {
			h.isPaused = false
		}
		if step%100 == 0 && step < 28_000 && len(s.starts) < 8 {
			lastTask++
			attempts[lastTask] = 1
			s.starts = append(s.starts, newOrder("start", "j", lastTask, 1, fmt.Sprintf("run_us=%d cores=150", rng.IntN(2_000_000)+1)))
		}
		if step%700 == 0 && len(s.starts) > 0 && !faultsOver {
			stop := s.starts[rng.IntN(len(s.starts))]
			s.stops = append(s.stops, newOrder("stop", "j", stop.Task, stop.Attempt, ""))
		}
		h.run(eventloop.Millisecond)
		// An attempt that was reported as ended must not run, now or later. Its task is
		// ordered again as the next attempt unless the state is done.
		for ; checked < len(s.ends); checked++ {
			var task, attempt uint32
			var state string
			if _, err := fmt.Sscanf(s.ends[checked], "j.0.0.%d/%d %s", &task, &attempt, &state); err != nil {
				addViolation("%s: %v", s.ends[checked], err)
			}
			key := attemptName("j", 0, 0, task, attempt)
			if ended[key] {
				addViolation("%s was reported twice", key)
			}
			ended[key] = true
			if h.worker.IsRunning(fakeworker.RunID{Task: agent.TaskName{Job: "j", Task: task}, Attempt: attempt}) {
				addViolation("%s runs at %d though it was reported as ended", key, step)
			}
			ends++
			remaining := s.starts[:0:0]
			for _, order := range s.starts {
				if order.Task != task || order.Attempt != attempt {
					remaining = append(remaining, order)
				} else if state != "done" && !faultsOver {
					remaining = append(remaining, newOrder("start", "j", task, attempt+1, order.Text))
				}
			}
			s.starts = remaining
		}
		if len(violations) > 0 {
			return violations, ends
		}
	}
	for key, count := range h.startCounts {
		if count > 1 {
			addViolation("%s started %d times", key, count)
		}
	}
	if h.worker.UnacknowledgedCount() > 0 || h.worker.RunningCount() > 0 || len(s.starts) > 0 {
		addViolation("left over: %d ends, %d runs, %d orders", h.worker.UnacknowledgedCount(), h.worker.RunningCount(), len(s.starts))
	}
	return violations, ends
}

func TestAllFaults(t *testing.T) {
	Convey("Whatever is lost, delayed or restarted, what was reported as ended doesn't run, and all tasks end", t, func() {
		for seed := uint64(1); seed <= 12; seed++ {
			violations, ends := runWithAllFaults(seed)
			So(violations, ShouldBeEmpty)
			So(ends, ShouldBeGreaterThan, 20)
		}
	})
}
