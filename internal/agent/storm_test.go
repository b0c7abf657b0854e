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

// storm is a run under every fault at once, the same for the same seed.
func storm(seed uint64) (breaches []string, ends int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	isCalm := false
	setup := fakeworker.Setup{
		IsGuarding: seed%2 == 0, Drift: 0.98 + 0.02*rng.Float64(),
		Fault: func(eventloop.Micros, agent.Call) fakeworker.Fault {
			if isCalm || rng.IntN(4) > 0 {
				return fakeworker.NoFault
			}
			return fakeworker.Fault(1 + rng.IntN(4))
		},
		Fails: func(agent.TaskName, uint32) bool { return rng.IntN(10) == 0 },
		Stops: func(agent.TaskName, uint32) eventloop.Micros {
			return eventloop.Micros(rng.Int64N(int64(800 * eventloop.Millisecond)))
		},
	}
	bounds := &schema.Bounds{StopUs: int64(800 * eventloop.Millisecond), HoldMostUs: int64(3 * eventloop.Second)}
	b := newBench(setup, bounds)
	b.delay = func(any) eventloop.Micros {
		if isCalm || rng.IntN(8) > 0 {
			return eventloop.Micros(1+rng.IntN(4)) * eventloop.Millisecond
		}
		return eventloop.Micros(rng.IntN(300)) * eventloop.Millisecond
	}
	w := b.ward("p1", 5, "w1")
	arm := func(w *ward) {
		w.noteAfter = eventloop.Micros(rng.Int64N(int64(200 * eventloop.Millisecond)))
		w.loses = func() bool { return !isCalm && rng.IntN(5) == 0 }
	}
	arm(w)
	breach := func(format string, given ...any) { breaches = append(breaches, fmt.Sprintf(format, given...)) }
	attempts := map[uint32]uint32{}
	fresh := uint32(0)
	worker, generation, checked, frozenAt := "w1", uint64(5), 0, 0
	told := map[string]bool{}
	b.onBegin = func(key string) {
		if told[key] {
			breach("%s begins though it was told as ended", key)
		}
	}
	for k := 0; k < 40_000; k++ {
		if k == 30_000 {
			isCalm = true
		}
		if k%500 == 0 && !isCalm {
			switch rng.IntN(12) {
			case 0:
				generation++
				former := w
				w = b.ward(fmt.Sprintf("p%d", generation), generation, worker)
				arm(w)
				w.starts, w.stops, w.heard = former.starts, former.stops, former.heard
				checked = 0
			case 1:
				b.table = agent.New(bounds, uint64(b.now))
				b.tellClusterState()
			case 2:
				generation++
				worker = fmt.Sprintf("w%d", generation)
				b.worker.Live(b.now, worker)
				w.starts, w.stops, w.generation = nil, nil, generation
				b.move(w.id, generation, worker)
			case 3:
				b.isFrozen, frozenAt = !b.isFrozen, k
			}
		}
		// Who is frozen nearly throughout is put to no test.
		if b.isFrozen && k-frozenAt > 8_000 {
			b.isFrozen = false
		}
		if isCalm {
			b.isFrozen = false
		}
		if k%100 == 0 && k < 28_000 && len(w.starts) < 8 {
			fresh++
			attempts[fresh] = 1
			w.starts = append(w.starts, order("start", "j", fresh, 1, fmt.Sprintf("run_us=%d cores=150", rng.IntN(2_000_000)+1)))
		}
		if k%700 == 0 && len(w.starts) > 0 && !isCalm {
			stop := w.starts[rng.IntN(len(w.starts))]
			w.stops = append(w.stops, order("stop", "j", stop.Task, stop.Attempt, ""))
		}
		b.run(eventloop.Millisecond)
		// Whatever was told as ended doesn't run, then or later, and its task is
		// given out again as the next attempt.
		for ; checked < len(w.ends); checked++ {
			var task, attempt uint32
			var how string
			if _, err := fmt.Sscanf(w.ends[checked], "j.0.0.%d/%d %s", &task, &attempt, &how); err != nil {
				breach("%s: %v", w.ends[checked], err)
			}
			key := name("j", 0, 0, task, attempt)
			if told[key] {
				breach("%s told twice", key)
			}
			told[key] = true
			if b.worker.Runs(fakeworker.Run{Task: agent.TaskName{Job: "j", Task: task}, Attempt: attempt}) {
				breach("%s runs at %d though it was told as ended", key, k)
			}
			ends++
			keep := w.starts[:0:0]
			for _, o := range w.starts {
				if o.Task != task || o.Attempt != attempt {
					keep = append(keep, o)
				} else if how != "done" && !isCalm {
					keep = append(keep, order("start", "j", task, attempt+1, o.Text))
				}
			}
			w.starts = keep
		}
		if len(breaches) > 0 {
			return breaches, ends
		}
	}
	for key, count := range b.begun {
		if count > 1 {
			breach("%s began %d times", key, count)
		}
	}
	if b.worker.Unnoted() > 0 || b.worker.Running() > 0 || len(w.starts) > 0 {
		breach("left over: %d ends, %d runs, %d orders", b.worker.Unnoted(), b.worker.Running(), len(w.starts))
	}
	return breaches, ends
}

func TestUnderEveryFault(t *testing.T) {
	Convey("Whatever is lost, late or restarted, what was told as ended doesn't run, and all comes to its end", t, func() {
		for seed := uint64(1); seed <= 12; seed++ {
			breaches, ends := storm(seed)
			So(breaches, ShouldBeEmpty)
			So(ends, ShouldBeGreaterThan, 20)
		}
	})
}
