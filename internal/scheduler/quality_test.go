package scheduler

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// failTasks makes a worker report the tasks of these jobs as failed, one by one.
func (h *harness) failTasks(worker string, jobs ...uint64) {
	for _, failed := range jobs {
		h.sendHeartbeat(worker, func(a *schema.WorkerHeartbeat) {
			a.Ended = []*schema.TaskStatus{{Queue: "l", Job: failed, Attempt: 1, State: "failed"}}
		})
	}
}

// finishTasks makes a worker report count tasks of new jobs as done, one by one.
func (h *harness) finishTasks(count int, worker string, step *schema.Step, run eventloop.Micros) {
	for range count {
		h.finishTask(worker, step, run)
	}
}

// countOnProbation returns the number of workers on probation.
func (h *harness) countOnProbation() int {
	count := 0
	for _, w := range h.scheduler.workers {
		if w.isOnProbation {
			count++
		}
	}
	return count
}

// placeNewTask makes the only task of a new job ready and returns the worker on which it is placed.
func (h *harness) placeNewTask(step *schema.Step) string {
	h.lastJob++
	h.notified = nil
	h.deliverNext(newEvent(0, h.lastJob, 0, queue.Ready, "", step))
	So(len(h.placements()), ShouldEqual, 1)
	return h.placements()[0].Worker
}

// runBesideOthers makes worker a run a task, which progresses by this percentage per 100 ms,
// while workers b and c finish tasks of a step.
func (h *harness) runBesideOthers(span eventloop.Micros, run *schema.TaskStatus, progress int64, step *schema.Step) {
	for end := h.now + span; h.now < end; {
		run.Percent += progress
		h.sendHeartbeat("a", withRunning(proto.Clone(run).(*schema.TaskStatus)))
		h.finishTask("b", step, eventloop.Second)
		h.finishTask("c", step, eventloop.Second)
		h.advance(100 * eventloop.Millisecond)
	}
}

func TestWorkerEjection(t *testing.T) {
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 1_000_000}
	Convey("A worker whose runs take longer than elsewhere is used last", t, func() {
		h := newQualityHarness(4, step)
		h.finishTasks(4, "a", step, 4*eventloop.Second)
		h.sendHeartbeat("b", withRunning(&schema.TaskStatus{Queue: "x", Name: "z", Attempt: 1, State: "running", CoresMilli: 500, MemoryMb: 1}))
		h.sendHeartbeat("c", withRunning(&schema.TaskStatus{Queue: "x", Name: "z", Attempt: 1, State: "running", CoresMilli: 500, MemoryMb: 1}))
		So(h.placeNewTask(step), ShouldNotEqual, "a")
		Convey("but the others don't count as fast", func() {
			So(h.scheduler.workers["b"].slowdown, ShouldBeBetween, -0.1, 0.1)
		})
	})
	Convey("A task that is stuck while other workers finish similar ones is stopped, and its worker is ejected", t, func() {
		h := newQualityHarness(4, step)
		h.deliverNext(newEvent(0, 7, 0, queue.CheckedOut, "a", step))
		began := h.now
		run := &schema.TaskStatus{Name: "j7", Attempt: 1, State: "running"}
		simulate := func(span eventloop.Micros, progress int64) { h.runBesideOthers(span, run, progress, step) }
		isStopped := func() bool { return len(h.ordersOf(0, "stop")) > 0 }
		Convey("if it makes no progress", func() {
			simulate(3900*eventloop.Millisecond, 0)
			So(isStopped(), ShouldBeFalse)
			simulate(500*eventloop.Millisecond, 0)
			So(isStopped(), ShouldBeTrue)
			h.notified = nil
			h.sendHeartbeat("a", withEnded(&schema.TaskStatus{Name: "j7", Attempt: 1, State: "stopped"}))
			So(h.endReports()[0].Outcome, ShouldEqual, "stopped")
			for k := 0; k < 3; k++ {
				So(h.placeNewTask(step), ShouldNotEqual, "a")
			}
		})
		Convey("but not while the worker can't be heard, as when it is cut off", func() {
			simulate(eventloop.Second, 0)
			for end := h.now + 10*eventloop.Second; h.now < end; {
				h.finishTask("b", step, eventloop.Second)
				h.finishTask("c", step, eventloop.Second)
				h.advance(100 * eventloop.Millisecond)
			}
			So(h.now, ShouldBeGreaterThan, h.scheduler.workers["a"].ejectedUntil)
			So(h.scheduler.workers["a"].isOnProbation, ShouldBeFalse)
		})
		Convey("but not if it is just long", func() {
			simulate(8*eventloop.Second, 1)
			So(isStopped(), ShouldBeFalse)
			So(h.now-began, ShouldBeGreaterThan, 7*eventloop.Second)
		})
	})
	Convey("A worker that fails a few tasks in a row where others don't is ejected, for longer each time", t, func() {
		h := newQualityHarness(4, step)
		h.failTasks("a", 1, 2)
		So(h.placeNewTask(step), ShouldNotEqual, "a")
		So(h.scheduler.workers["a"].ejectedUntil-h.now, ShouldEqual, baseEjectionPeriod)
		h.advance(baseEjectionPeriod)
		h.failTasks("a", 3)
		h.sendHeartbeat("b", withNames(nil))
		h.sendHeartbeat("c", withNames(nil))
		So(h.placeNewTask(step), ShouldNotEqual, "a")
		So(h.scheduler.workers["a"].ejectedUntil-h.now, ShouldEqual, 2*baseEjectionPeriod)
		Convey("and is still used when nothing else has capacity for long", func() {
			only := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Labels: []string{"x"}}
			h.notified = nil
			h.deliverNext(newEvent(0, 900, 0, queue.Ready, "", only))
			h.advance(2 * eventloop.Second)
			withLabel := withNames(func(a *schema.WorkerHeartbeat) { a.Labels = []string{"x"} })
			h.sendHeartbeat("a", withLabel)
			So(h.placements(), ShouldBeEmpty)
			h.advance(1100 * eventloop.Millisecond)
			h.sendHeartbeat("a", withLabel)
			So(len(h.placements()), ShouldEqual, 1)
		})
	})
	Convey("A worker on probation gets one task at a time, and what has waited long besides", t, func() {
		h := newQualityHarness(4, step)
		h.failTasks("a", 1, 2)
		h.placeNewTask(step)
		h.deliverNext(newEvent(0, h.lastJob, 0, queue.Inactive, "", step))
		h.advance(baseEjectionPeriod)
		withLabel := func(statuses ...*schema.TaskStatus) func(*schema.WorkerHeartbeat) {
			return withNames(func(a *schema.WorkerHeartbeat) { a.Labels, a.Running = []string{"x"}, statuses })
		}
		only := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, Labels: []string{"x"}}
		h.notified = nil
		h.deliverNext(newEvent(0, 900, 0, queue.CheckedOut, "a", only))
		runs := &schema.TaskStatus{Name: "j900", Attempt: 1, State: "running"}
		h.sendHeartbeat("a", withLabel(runs))
		h.deliverNext(newEvent(0, 901, 0, queue.Ready, "", only))
		h.sendHeartbeat("a", withLabel(runs))
		So(h.scheduler.workers["a"].isOnProbation, ShouldBeTrue)
		So(h.placements(), ShouldBeEmpty)
		for k := 0; k < 6; k++ {
			h.advance(500 * eventloop.Millisecond)
			h.sendHeartbeat("a", withLabel(runs))
		}
		So(len(h.placements()), ShouldEqual, 1)
	})
}

func TestEjectionEvidence(t *testing.T) {
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 100, EstimatedRunUs: 1_000_000}
	Convey("Unresponsive workers don't count among the peers of a suspicious one", t, func() {
		h := newQualityHarness(0, step, "gone1", "gone2", "gone3", "gone4", "gone5")
		Convey("so never half of the others are ejected", func() {
			h.failTasks("a", 1, 2)
			h.placeNewTask(step)
			h.failTasks("b", 3, 4)
			h.placeNewTask(step)
			So(h.countOnProbation(), ShouldEqual, 1)
		})
		Convey("and few failures are no evidence where all workers have some", func() {
			for _, id := range []string{"a", "b", "c"} {
				h.finishTasks(4, id, step, eventloop.Second)
				h.failTasks(id, 1)
				h.finishTask(id, step, eventloop.Second)
			}
			h.failTasks("a", 2, 3)
			h.placeNewTask(step)
			So(h.scheduler.workers["a"].isOnProbation, ShouldBeFalse)
		})
	})
	Convey("Where a queue's tasks often fail by their own fault, a few failures in a row are no evidence against a worker", t, func() {
		h := newQualityHarness(4, step)
		for k := uint64(1); k <= 65; k++ {
			for _, id := range []string{"a", "b", "c"} {
				h.finishTask(id, step, eventloop.Second)
				if k%10 == 0 {
					h.failTasks(id, 1000+k)
				}
			}
		}
		h.failTasks("a", 1, 2, 3)
		h.placeNewTask(step)
		So(h.scheduler.workers["a"].isOnProbation, ShouldBeFalse)
		Convey("but many are", func() {
			h.failTasks("a", 4, 5, 6, 7)
			h.placeNewTask(step)
			So(h.scheduler.workers["a"].isOnProbation, ShouldBeTrue)
		})
	})
	Convey("One task that fails again and again is no evidence against its worker", t, func() {
		h := newQualityHarness(4, step)
		for k := uint32(1); k < 4; k++ {
			h.sendHeartbeat("a", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: 1, Attempt: k, State: "failed"}}
			})
		}
		h.deliver(eventloop.Tick{})
		So(h.scheduler.workers["a"].isOnProbation, ShouldBeFalse)
	})
}

func TestSuspectsAreEjected(t *testing.T) {
	Convey("A worker that fails far more than others is ejected, and comes back with one task at a time", t, func() {
		h := newHarness("v", "w")
		small := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10}
		fail := func(job uint64) {
			h.sendHeartbeat("w", func(a *schema.WorkerHeartbeat) {
				a.Ended = []*schema.TaskStatus{{Queue: "l", Job: job, Attempt: 1, State: "failed"}}
			})
		}
		h.sendHeartbeat("v", nil)
		for job := uint64(1); job < 8; job++ {
			fail(job)
		}
		h.deliverEvents(true, 1, newEvent(1, 50, 0, queue.Ready, "", small))
		So(h.placements()[0].Worker, ShouldEqual, "v")
		h.now += 11 * eventloop.Second
		h.confirmLeadership(true)
		h.notified = nil
		h.sendHeartbeat("w", nil)
		h.deliverEvents(true, 3, newEvent(1, 51, 0, queue.Ready, "", small), newEvent(2, 52, 0, queue.Ready, "", small), newEvent(3, 53, 0, queue.Ready, "", small))
		So(len(h.placements()), ShouldEqual, 1)
	})
}

func TestRunningTasksCountForTheirWorker(t *testing.T) {
	step := &schema.Step{Name: "s", Tasks: 1, CoresMilli: 10, EstimatedRunUs: 1_000_000}
	// setUp makes worker b run many tasks of the queue, of which one in ten fails.
	setUp := func() *harness {
		h := newQualityHarness(4, step)
		for k := uint64(1); k <= 4; k++ {
			h.finishTasks(9, "b", step, eventloop.Second)
			h.failTasks("b", 1000+k)
		}
		return h
	}
	// start makes worker a begin count tasks and returns their statuses.
	start := func(h *harness, count uint64) (statuses []*schema.TaskStatus) {
		for k := uint64(1); k <= count; k++ {
			h.deliverNext(newEvent(0, 500+k, 0, queue.CheckedOut, "a", step))
			statuses = append(statuses, &schema.TaskStatus{Name: fmt.Sprint("j", 500+k), Attempt: 1, State: "running"})
		}
		h.sendHeartbeat("a", withRunning(statuses...))
		return statuses
	}
	fail := func(h *harness, statuses []*schema.TaskStatus, count int) {
		for k := range count {
			statuses[k].State = "failed"
			h.sendHeartbeat("a", withNames(func(a *schema.WorkerHeartbeat) { a.Ended, a.Running = statuses[:k+1], statuses[k+1:] }))
			h.advance(150 * eventloop.Millisecond)
		}
	}
	Convey("Failures that come first of many runs don't eject their worker", t, func() {
		h := setUp()
		statuses := start(h, 40)
		h.advance(100 * eventloop.Millisecond)
		fail(h, statuses, 5)
		So(h.scheduler.workers["a"].isSuspicious(), ShouldBeFalse)
		Convey("and a run counts once, however it goes on", func() {
			h.advance(5 * eventloop.Second)
			h.scheduler.workers["a"].suspicion = 7
			h.scheduler.creditRunning(h.now, h.scheduler.workers["a"])
			suspicionBefore := h.scheduler.workers["a"].suspicion
			h.scheduler.creditRunning(h.now, h.scheduler.workers["a"])
			So(h.scheduler.workers["a"].suspicion, ShouldEqual, suspicionBefore)
		})
	})
	Convey("The same failures do where nothing else runs", t, func() {
		h := setUp()
		fail(h, start(h, 5), 5)
		So(h.scheduler.workers["a"].isSuspicious() || h.scheduler.workers["a"].isOnProbation, ShouldBeTrue)
	})
}
