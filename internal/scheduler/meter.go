package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// A worker that has turned slow, or on which nothing moves, ends nothing for a
// while, so its ends say so too late. What its tasks tell of their progress
// says it sooner, set against what alike tasks make elsewhere.

const (
	meterSpan  = 700 * eventloop.Millisecond  // within which what was seen is mostly forgotten
	meterLeast = 2.0                          // tasks' worth of progress to be expected before a worker is judged
	meterCount = 20                           // runs that alike tasks' pace must be known from
	meterSlow  = 0.35                         // of the progress expected: less is slow
	frozenLook = 2200 * eventloop.Millisecond // without any progress on a worker; an agent looks about each second
	frozenWant = 0.1                          // tasks' worth of progress to be expected in that time
	crawl      = 0.05                         // of the usual pace, that a worker is taken to keep at least
)

// meter is the progress that a worker's tasks have made lately, and that which
// was to be expected of them; in whole tasks.
type meter struct {
	got, want float64
	at        eventloop.Micros // something last moved
}

// mark is the progress of a task when something on its worker last moved.
type mark struct {
	at      eventloop.Micros
	percent int64
}

// isMetered tells whether a task's progress says something of its worker.
func (t *Table) isMetered(now eventloop.Micros, w *worker, each *task) bool {
	if each.spec.RunUntilCancelled || each.spec.Gang || each.beganAt == 0 || now < w.coldUntil {
		return false
	}
	key, _ := paceOf(each)
	p := t.paces[key]
	return p != nil && p.count >= meterCount && (each.saved == "" || now-each.beganAt > 2*eventloop.Micros(t.bounds.GetRestoreUs()))
}

// gauge reads the progress that an announce tells.
func (t *Table) gauge(now eventloop.Micros, w *worker) {
	isMoved := false
	for key, note := range w.running {
		if each := w.tasks[key.taskKey]; each != nil && each.attempt == key.attempt && each.mark.at > 0 && note.Percent != each.mark.percent {
			isMoved = true
		}
	}
	if isMoved || w.meter.at == 0 {
		fade := math.Exp(-float64(now-w.meter.at) / float64(meterSpan))
		w.meter.got, w.meter.want, w.meter.at = w.meter.got*fade, w.meter.want*fade, now
	}
	for key, note := range w.running {
		each := w.tasks[key.taskKey]
		if each == nil || each.attempt != key.attempt || note.State != "running" || !t.isMetered(now, w, each) {
			continue
		}
		if each.mark.at == 0 {
			each.mark = mark{now, note.Percent}
		} else if isMoved {
			t.add(now, w, each, note.Percent)
		}
	}
	if w.meter.want >= meterLeast && w.meter.got < meterSlow*w.meter.want {
		t.rescue(now, w, math.Max(crawl, w.meter.got/w.meter.want))
	}
}

func (t *Table) add(now eventloop.Micros, w *worker, each *task, percent int64) {
	w.meter.want += float64(now-each.mark.at) / float64(t.expected(w, each))
	w.meter.got += float64(percent-each.mark.percent) / 100
	each.mark = mark{now, percent}
}

// gaugeEnd reads the progress up to a task's end.
func (t *Table) gaugeEnd(now eventloop.Micros, w *worker, each *task, note *schema.TaskStatus) {
	if note.State == "done" && each.mark.at > 0 && t.isMetered(now, w, each) {
		t.add(now, w, each, 100)
		w.meter.at = now
	}
}

// isFrozen tells whether nothing moves on a worker that is heard of.
func (t *Table) isFrozen(now eventloop.Micros, w *worker) bool {
	if w.meter.at == 0 || now-w.meter.at < frozenLook || now-w.heard > holdSpan {
		return false
	}
	want := 0.0
	for key, note := range w.running {
		each := w.tasks[key.taskKey]
		if each == nil || each.attempt != key.attempt || each.mark.at == 0 || note.State != "running" || !t.isMetered(now, w, each) {
			continue
		}
		if from := max(each.mark.at, w.meter.at); now-from >= frozenLook {
			want += float64(now-from) / float64(t.expected(w, each))
		}
	}
	return want > frozenWant
}

// rescue sets a worker aside that keeps only this share of the usual pace, and
// has those of its tasks stopped that would end sooner elsewhere, where that
// throws away no more than it is worth.
func (t *Table) rescue(now eventloop.Micros, w *worker, share float64) {
	w.meter = meter{at: now}
	if now < w.asideUntil {
		return
	}
	if t.setAside(now, w, slowRest, slowTasks); now >= w.asideUntil {
		return
	}
	for _, each := range t.tasksOf(w) {
		if each.standing != queue.CheckedOut || each.evict != "" || !t.isMetered(now, w, each) {
			continue
		}
		expected := float64(t.expected(w, each))
		here := expected * float64(100-each.percent) / 100 / share
		there := expected + float64(t.bounds.GetStopUs())
		if here > there && loss(now, each) <= lossTimes*cost(each.spec)*expected {
			t.evict(each, "stopped")
		}
	}
}
