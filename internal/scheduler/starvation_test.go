package scheduler

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// starvationRows configures the queues l and m so that a step that runs for 1 s and takes a quarter
// of the pool has a target of 2 s, plus the tolerance.
var starvationRows = []*schema.ConfigurationRow{
	queueRow("l", "stretch_milli", "1500"), queueRow("l", "target_ms", "500"),
	queueRow("m", "stretch_milli", "1500"), queueRow("m", "target_ms", "500"),
}

// newStarvationHarness returns a harness with one worker, which is draining and so gets no tasks yet.
func newStarvationHarness() *harness {
	h := newHarness("w")
	h.configure(starvationRows, "w")
	h.sendHeartbeat("w", withNames(func(a *schema.WorkerHeartbeat) { a.Draining = true }))
	return h
}

func withCapacity(cores int64) func(*schema.WorkerHeartbeat) {
	return withNames(func(a *schema.WorkerHeartbeat) { a.CoresMilli, a.MemoryMb = cores, 4000 })
}

func readyStep(job uint64, step *schema.Step, age eventloop.Micros) *queue.TaskEvent {
	return withCriticalPath(newEvent(1, job, 0, queue.Ready, "", step), age, eventloop.Second)
}

func lostStep(job uint64, step *schema.Step, age eventloop.Micros) *queue.TaskEvent {
	event := readyStep(job, step, age)
	event.HasLostAttempt, event.Attempt = true, 1
	return event
}

func (h *harness) placedJobs() []uint64 {
	var jobs []uint64
	for _, placement := range h.placements() {
		jobs = append(jobs, placement.Key.Job)
	}
	return jobs
}

func TestStarvingSteps(t *testing.T) {
	core := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: int64(eventloop.Second)}
	// fresh returns ready steps of urgent jobs that can meet their target.
	fresh := func(count uint64) (events []*queue.TaskEvent) {
		for job := uint64(101); job <= 100+count; job++ {
			events = append(events, readyStep(job, core, 0))
		}
		return events
	}
	infeasibleAge := 20 * eventloop.Second
	agedAge := 30 * eventloop.Second // over ten times the target
	Convey("A task that was lost with its worker goes before more urgent work that is on time", t, func() {
		h := newStarvationHarness()
		h.syncQueue("m", 50, fresh(4)...)
		h.syncQueue("l", 10, readyStep(1, core, infeasibleAge), lostStep(2, core, infeasibleAge))
		h.sendHeartbeat("w", withCapacity(4000))
		So(h.placedJobs(), ShouldResemble, []uint64{2, 101, 102, 103})
	})
	Convey("So does a job that is late by far, the oldest first, but not one that is late by less", t, func() {
		h := newStarvationHarness()
		h.syncQueue("m", 50, append(fresh(4), readyStep(3, core, agedAge))...)
		h.syncQueue("l", 10, readyStep(1, core, agedAge+eventloop.Second), readyStep(2, core, infeasibleAge))
		h.sendHeartbeat("w", withCapacity(4000))
		So(h.placedJobs(), ShouldResemble, []uint64{1, 101, 102, 103})
	})
	Convey("They take no more than their share of the pool, what is out included, and less where nothing was lost", t, func() {
		h := newStarvationHarness()
		h.syncQueue("m", 50, fresh(5)...)
		h.syncQueue("l", 10, lostStep(1, core, infeasibleAge), lostStep(2, core, infeasibleAge), lostStep(3, core, infeasibleAge))
		h.sendHeartbeat("w", withCapacity(8000)) // of which boosted tasks may use 2 cores
		So(h.placedJobs(), ShouldResemble, []uint64{1, 2, 101, 102, 103, 104, 105})
		h.notified = nil
		checkedOut := func(job uint64) *queue.TaskEvent {
			event := newEvent(1, job, 0, queue.CheckedOut, "w", core)
			event.Attempt, event.HasLostAttempt = 2, true
			return event
		}
		h.deliverNext(checkedOut(1), checkedOut(2))
		So(h.scheduler.queues["l"].boostedCores, ShouldEqual, 2000)
		h.advance(fullPassInterval)
		h.sendHeartbeat("w", withCapacity(8000))
		So(h.placedJobs(), ShouldBeEmpty)
		// The end of a boosted task returns its cores to the share.
		ended := newEvent(1, 1, 0, queue.Inactive, "", core)
		ended.Attempt = 2
		h.deliverNext(ended)
		So(h.scheduler.queues["l"].boostedCores, ShouldEqual, 1000)
		h.advance(passCooldown + TickInterval)
		So(h.placedJobs(), ShouldResemble, []uint64{3})
	})
	Convey("Headroom for urgent work isn't kept from them", t, func() {
		long := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 1000, MemoryMb: 10, EstimatedRunUs: int64(30 * eventloop.Second)}
		place := func(isLost bool) []uint64 {
			h := newStarvationHarness()
			h.syncQueue("m", 50)
			h.scheduler.queues["m"].peakUsage.cores = 8000
			event := withCriticalPath(newEvent(1, 1, 0, queue.Ready, "", long), 0, 30*eventloop.Second)
			event.HasLostAttempt = isLost
			h.syncQueue("l", 10, event)
			h.sendHeartbeat("w", withCapacity(1500))
			return h.placedJobs()
		}
		So(place(false), ShouldBeEmpty)
		So(place(true), ShouldResemble, []uint64{1})
	})
	Convey("What runs from their share isn't preempted", t, func() {
		preempted := func(isLost bool) uint64 {
			h := newStarvationHarness()
			h.syncQueue("l", 10, func() *queue.TaskEvent {
				event := readyStep(1, core, 0)
				event.HasLostAttempt = isLost
				return event
			}())
			h.sendHeartbeat("w", withCapacity(1000))
			So(h.placedJobs(), ShouldResemble, []uint64{1})
			h.deliverNext(withCriticalPath(newEvent(1, 1, 0, queue.CheckedOut, "w", core), 0, eventloop.Second))
			run := func(a *schema.WorkerHeartbeat) {
				withCapacity(1000)(a)
				a.Running = []*schema.TaskStatus{{Name: "j1", Attempt: 1, State: "running", RunUs: int64(100 * eventloop.Millisecond)}}
			}
			h.sendHeartbeat("w", run)
			h.syncQueue("m", 50, readyStep(9, core, 0))
			h.advance(preemptionDelay + 2*TickInterval)
			return h.scheduler.counts.Preempted
		}
		So(preempted(false), ShouldEqual, 1)
		So(preempted(true), ShouldEqual, 0)
	})
	Convey("Steps with lost tasks are known as such until those are gone", t, func() {
		h := newStarvationHarness()
		h.syncQueue("l", 10, lostStep(1, core, 0), readyStep(2, core, 0))
		q := h.scheduler.queues["l"]
		So(len(q.lostSteps), ShouldEqual, 1)
		h.sendHeartbeat("w", withCapacity(4000))
		So(q.lostSteps, ShouldBeEmpty)
		So(slices.Contains(h.placedJobs(), 1), ShouldBeTrue)
	})
}
