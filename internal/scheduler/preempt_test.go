package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
)

// evictedTasks returns the number of evicted tasks of each job.
func (h *harness) evictedTasks() map[uint64]int {
	counts := map[uint64]int{}
	for _, q := range h.scheduler.queues {
		for _, t := range q.tasks {
			if t.evictOutcome != "" {
				counts[t.key.job]++
			}
		}
	}
	return counts
}

func TestPreemption(t *testing.T) {
	big := &schema.Step{Name: "b", Tasks: 1, CoresMilli: 800}
	mid := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 400}
	saving := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 400, Checkpoints: true}
	service := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 400, RunUntilCancelled: true}
	gang := &schema.Step{Name: "m", Tasks: 2, CoresMilli: 400, Gang: true}
	run := func(job uint64, task uint32, run eventloop.Micros) *schema.TaskStatus {
		return &schema.TaskStatus{Queue: "l", Job: job, Task: task, Attempt: 1, State: "running", RunUs: int64(run), CoresMilli: 400}
	}
	for _, test := range []struct {
		what         string
		lessUrgent   []*queue.TaskEvent
		running      map[string][]*schema.TaskStatus
		urgent       []*queue.TaskEvent
		want         map[uint64]int
		lowerUrgency int64 // urgency of the queue that has the tasks lessUrgent; values below 10 mean 10
	}{
		{what: "what has run least", lessUrgent: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "v", mid), newEvent(1, 3, 0, queue.CheckedOut, "w", mid), newEvent(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 9*eventloop.Second), run(2, 0, 9*eventloop.Second)}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{3: 1}},
		{what: "what has saved a checkpoint", lessUrgent: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "v", saving), newEvent(1, 3, 0, queue.CheckedOut, "w", mid), newEvent(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 9*eventloop.Second), {Queue: "l", Job: 2, Attempt: 1, State: "running", RunUs: 20_000_000, Checkpoint: "x", CoresMilli: 400}}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{2: 1}},
		{what: "tasks that run until cancelled last", lessUrgent: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "v", service), newEvent(1, 3, 0, queue.CheckedOut, "w", service), newEvent(1, 4, 0, queue.CheckedOut, "w", service)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 9*eventloop.Second), run(2, 0, eventloop.Millisecond)}, "w": {run(3, 0, eventloop.Millisecond), run(4, 0, eventloop.Millisecond)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{1: 1}},
		{what: "no more than is needed, but enough for all waiting tasks", lessUrgent: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "v", mid), newEvent(1, 3, 0, queue.CheckedOut, "w", mid), newEvent(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second), run(2, 0, 3*eventloop.Second)}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 8, 0, queue.Ready, "", mid), newEvent(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{1: 1, 2: 1}},
		{what: "a gang only as a whole, at the loss of all its members", lessUrgent: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", gang), newEvent(1, 1, 1, queue.CheckedOut, "w", gang), newEvent(1, 2, 0, queue.CheckedOut, "v", mid), newEvent(1, 3, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 5*eventloop.Second), run(2, 0, 20*eventloop.Second)}, "w": {run(1, 1, 5*eventloop.Second), run(3, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", mid)}, want: map[uint64]int{3: 1}},
		{what: "enough for a gang", lessUrgent: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "v", mid), newEvent(1, 3, 0, queue.CheckedOut, "w", mid), newEvent(1, 4, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second), run(2, 0, 3*eventloop.Second)}, "w": {run(3, 0, 8*eventloop.Second), run(4, 0, 9*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true}), newEvent(1, 9, 1, queue.Ready, "", &schema.Step{Name: "g", Tasks: 2, CoresMilli: 600, Gang: true})}, want: map[uint64]int{1: 1, 3: 1}},
		{what: "nothing for a task that then doesn't fit", lessUrgent: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second)}, "w": {run(2, 0, 8*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", &schema.Step{Name: "x", Tasks: 1, CoresMilli: 1200})}, want: map[uint64]int{}},
		{what: "nothing for a gang of which one member doesn't fit", lessUrgent: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second)}, "w": {run(2, 0, 8*eventloop.Second)}},
			urgent: []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", &schema.Step{Name: "g", Tasks: 3, CoresMilli: 800, Gang: true}), newEvent(1, 9, 1, queue.Ready, "", &schema.Step{Name: "g", Tasks: 3, CoresMilli: 800, Gang: true}),
				newEvent(1, 9, 2, queue.Ready, "", &schema.Step{Name: "g", Tasks: 3, CoresMilli: 800, Gang: true})}, want: map[uint64]int{}},
		{what: "nothing of the same urgency", lowerUrgency: 50, lessUrgent: []*queue.TaskEvent{newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "w", mid)},
			running: map[string][]*schema.TaskStatus{"v": {run(1, 0, 2*eventloop.Second)}, "w": {run(2, 0, 8*eventloop.Second)}},
			urgent:  []*queue.TaskEvent{newEvent(1, 9, 0, queue.Ready, "", big)}, want: map[uint64]int{}},
	} {
		Convey("Urgent work preempts "+test.what, t, func() {
			h := newHarness("v", "w")
			h.deliver(replica.LeadershipStatus{Terms: map[string]uint64{"l#1": 1, "m#1": 1}, IsClusterStateFresh: true})
			h.syncQueue("l", max(test.lowerUrgency, 10), test.lessUrgent...)
			sendHeartbeats := func() {
				for _, id := range []string{"v", "w"} {
					h.sendHeartbeat(id, func(a *schema.WorkerHeartbeat) { a.Running = test.running[id] })
				}
			}
			sendHeartbeats()
			h.syncQueue("m", 50, test.urgent...)
			h.advance(preemptionDelay - TickInterval)
			So(h.evictedTasks(), ShouldBeEmpty) // not before preemptionDelay
			h.advance(60 * eventloop.Millisecond)
			sendHeartbeats()
			h.advance(100 * eventloop.Millisecond)
			So(h.evictedTasks(), ShouldResemble, test.want)
		})
	}
	Convey("Freed capacity goes to the task that preempted for it", t, func() {
		h := newHarness("w")
		h.syncQueue("l", 10, newEvent(1, 1, 0, queue.CheckedOut, "w", mid), newEvent(1, 2, 0, queue.CheckedOut, "w", mid), newEvent(1, 3, 0, queue.Ready, "", &schema.Step{Name: "s", Tasks: 1, CoresMilli: 300}))
		both := []*schema.TaskStatus{run(1, 0, eventloop.Second), run(2, 0, eventloop.Second)}
		h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) { a.Running = both })
		h.syncQueue("m", 50, newEvent(1, 9, 0, queue.Ready, "", &schema.Step{Name: "x", Tasks: 1, CoresMilli: 1000}))
		h.advance(preemptionDelay + 2*TickInterval)
		So(h.evictedTasks(), ShouldResemble, map[uint64]int{1: 1, 2: 1})
		h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) {
			a.Running, a.Ended = both[1:], []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}}
		})
		So(h.placements(), ShouldBeEmpty)
		h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) {
			a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "stopped"}, {Queue: "l", Job: 2, Attempt: 1, State: "stopped"}}
		})
		So(len(h.placements()), ShouldEqual, 1)
		So(h.placements()[0].Key.Job, ShouldEqual, 9)
	})
}

func TestPreemptionLossLimit(t *testing.T) {
	low := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: 20_000_000}
	high := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: 1_000_000}
	runs := func(span eventloop.Micros) func(*schema.WorkerHeartbeat) {
		return withNames(func(a *schema.WorkerHeartbeat) {
			a.Running = []*schema.TaskStatus{{Name: "j1", Attempt: 1, State: "running", RunUs: int64(span)}}
		})
	}
	simulate := func(span eventloop.Micros) *harness {
		h := newHarness("w")
		h.syncQueue("m", 10, withCriticalPath(newEvent(1, 1, 0, queue.CheckedOut, "w", low), 0, 20*eventloop.Second))
		h.sendHeartbeat("w", runs(span))
		h.syncQueue("l", 20, withCriticalPath(newEvent(1, 2, 0, queue.Ready, "", high), 0, eventloop.Second))
		h.advance(preemptionDelay + 2*TickInterval)
		h.sendHeartbeat("w", runs(span+preemptionDelay+2*TickInterval))
		return h
	}
	Convey("No more work is lost for a task than twice its own", t, func() {
		So(simulate(eventloop.Second).scheduler.counts.Preempted, ShouldEqual, 1)
		So(simulate(3*eventloop.Second).scheduler.counts.Preempted, ShouldEqual, 0)
	})
}

func TestOverdueStops(t *testing.T) {
	Convey("Urgent work waits for a stop under way, but not for one that is overdue", t, func() {
		mid := &schema.Step{Name: "m", Tasks: 1, CoresMilli: 900}
		h := newHarness("v", "w")
		sendHeartbeats := func() {
			for k, id := range []string{"v", "w"} {
				h.sendHeartbeat(id, func(a *schema.WorkerHeartbeat) {
					a.Running = []*schema.TaskStatus{{Queue: "l", Job: uint64(k + 1), Attempt: 1, State: "running", RunUs: int64(k+1) * int64(eventloop.Second), CoresMilli: 900}}
				})
			}
		}
		h.syncQueue("l", 10, newEvent(1, 1, 0, queue.CheckedOut, "v", mid), newEvent(1, 2, 0, queue.CheckedOut, "w", mid))
		sendHeartbeats()
		h.syncQueue("m", 50, newEvent(1, 9, 0, queue.Ready, "", mid))
		other := h.scheduler.queues["l"].tasks[taskKey{"l", 2, 0, 0}]
		for k := 0; k < 25; k++ {
			h.advance(100 * eventloop.Millisecond)
			sendHeartbeats()
		}
		So(h.scheduler.queues["l"].tasks[taskKey{"l", 1, 0, 0}].evictOutcome, ShouldEqual, "stopped")
		So(other.evictOutcome, ShouldEqual, "")
		for end := h.now + preemptionDelay + eventloop.Second; h.now < end; {
			h.advance(100 * eventloop.Millisecond)
			sendHeartbeats()
		}
		So(other.evictOutcome, ShouldEqual, "stopped")
	})
}

// Urgent tasks that took less time than a stop preempted others, so a fifth of a full pool's cores
// stood idle while tasks on them were being stopped.
func TestAStopsIdleTimeCountsAsLost(t *testing.T) {
	const stopTimeout = 900 * eventloop.Millisecond
	victim := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 800, MemoryMb: 10}
	evicted := func(urgent eventloop.Micros) map[uint64]int {
		h := newHarness("w")
		h.scheduler.WithBounds(&schema.Bounds{StopTimeoutUs: int64(stopTimeout)})
		h.syncQueue("l", 10, newEvent(1, 1, 0, queue.CheckedOut, "w", victim))
		running := func(a *schema.WorkerHeartbeat) {
			a.Running = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: 1, State: "running", CoresMilli: 800}}
		}
		h.sendHeartbeat("w", running)
		step := &schema.Step{Name: "u", Tasks: 1, CoresMilli: 300, MemoryMb: 10, EstimatedRunUs: int64(urgent)}
		h.syncQueue("m", 50, withCriticalPath(newEvent(1, 9, 0, queue.Ready, "", step), 0, urgent))
		h.advance(preemptionDelay + 2*TickInterval)
		h.sendHeartbeat("w", running)
		h.advance(100 * eventloop.Millisecond)
		return h.evictedTasks()
	}
	Convey("An urgent task preempts no more cores than its own work is worth while they are being freed", t, func() {
		So(evicted(900*eventloop.Millisecond), ShouldBeEmpty)
		So(evicted(1700*eventloop.Millisecond), ShouldResemble, map[uint64]int{1: 1})
	})
}
