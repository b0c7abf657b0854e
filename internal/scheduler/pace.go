package scheduler

import (
	"cmp"
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

const (
	firstRest  = 5 * eventloop.Second
	slowRest   = 1500 * eventloop.Millisecond // of a worker that is slow: whether it still is shows soon
	slowTasks  = 3                            // at a time, that it is tried with
	mostRest   = 60 * eventloop.Second
	stuckSpan  = 2 * eventloop.Second
	stuckTimes = 4
	alikeSpan  = 10 * eventloop.Second
	stillSpan  = 3 * eventloop.Second        // without progress; an agent looks only now and then
	frozenSpan = 4 * eventloop.Second        // without progress, for tasks that tell it
	shortRun   = 500 * eventloop.Millisecond // shorter runs say nothing of a worker's pace

	badShare    = 0.5  // of its runs a bad worker fails about so many
	leastShare  = 0.01 // of the runs that sound workers fail is at least taken for granted
	shareWeight = 20   // runs that the least share counts as until there are more
	mostDoubt   = 7.5  // evidence, as a logarithm, by which a worker is bad
	trialDoubt  = 3.5  // the same for one that has been bad before
)

// quality is what a worker's runs so far say of it.
type quality struct {
	slow       float64 // decayed mean of how much longer its runs took, as a logarithm
	doubt      float64 // evidence that it fails more than others, as a logarithm; never below 0
	failedKey  taskKey // the task that failed here last
	tallies    map[string]*tally
	asideUntil eventloop.Micros
	rest       eventloop.Micros // its latest rest
	isOnTrial  bool             // it has been set aside and hasn't shown itself sound since
	meter      meter
	trialTasks int // that it is tried with at a time
	trials     int // sound runs since
}

// tally is decayed counts of a queue's tasks that ended on one worker.
type tally struct{ good, bad float64 }

// usualShare is the share of a queue's runs that fail on other workers.
func (t *Table) usualShare(w *worker, queue string) float64 {
	good, bad := 0.0, 0.0
	for _, other := range t.inOrder() {
		if other != w && other.tallies[queue] != nil {
			good += other.tallies[queue].good
			bad += other.tallies[queue].bad
		}
	}
	share := (bad + leastShare*shareWeight) / (good + bad + shareWeight)
	return math.Min(math.Max(share, leastShare), badShare)
}

// weigh sets an end against how often the queue's tasks fail elsewhere: what
// fails by its own fault does so everywhere.
func (t *Table) weigh(w *worker, queue string, isFailed bool) {
	share := t.usualShare(w, queue)
	if w.tallies == nil {
		w.tallies = map[string]*tally{}
	}
	own := w.tallies[queue]
	if own == nil {
		own = &tally{}
		w.tallies[queue] = own
	}
	own.good *= 0.98
	own.bad *= 0.98
	if isFailed {
		own.bad++
		w.doubt += math.Log(badShare / share)
	} else {
		own.good++
		w.doubt = math.Max(0, w.doubt+math.Log((1-badShare)/(1-share)))
	}
}

// paceKey names tasks whose runs can be compared: those of a queue by their
// estimates, others by their step.
type paceKey struct {
	queue, step string
}

// pace is how long such tasks take, as a line through the logarithms of their
// estimates (a second, where there is none) and of their runs, both in
// microseconds: rough estimates say less than what others took. What lies far
// off moves it little, so that one bad worker doesn't.
type pace struct {
	x, y, xx, xy      float64 // decayed means, variance and covariance
	isEstimated       bool
	count             int
	worker, other     string // the latest two workers one ended on
	workerAt, otherAt eventloop.Micros
}

const (
	paceDecay  = 0.99
	leastCount = 3
	trustCount = 5    // runs that the estimates themselves count as
	lineWeight = 0.05 // the variance of estimates that goes with that
	mostOff    = 0.7  // how far off a run may move the line, as a logarithm
)

// at is where the line stands, for the logarithm of an estimate.
func (p *pace) at(x float64) float64 {
	slope := math.Max(0, math.Min(1, (p.xy+lineWeight)/(p.xx+lineWeight)))
	line := p.y + slope*(x-p.x)
	if !p.isEstimated {
		return line
	}
	// The first to end are the short ones: they don't say much of the others.
	return line + (x-line)*trustCount/float64(trustCount+p.count)
}

// learn moves the line by one run.
func (p *pace) learn(x, y float64) {
	if p.count > 0 {
		y = math.Max(p.at(x)-mostOff, math.Min(p.at(x)+mostOff, y))
	}
	p.count++
	part := math.Max(1-paceDecay, 1/float64(p.count))
	dx, dy := x-p.x, y-p.y
	p.x += part * dx
	p.y += part * dy
	p.xx += part * (dx*(x-p.x) - p.xx)
	p.xy += part * (dx*(y-p.y) - p.xy)
}

func paceOf(each *task) (paceKey, float64) {
	if each.spec.EstimatedRunUs > 0 {
		return paceKey{each.key.queue, ""}, float64(each.spec.EstimatedRunUs)
	}
	return paceKey{each.key.queue, each.spec.Name}, float64(eventloop.Second)
}

// expected is how long a task should run on a worker; 0: unknown.
func (t *Table) expected(w *worker, each *task) eventloop.Micros {
	key, unit := paceOf(each)
	span := unit
	if p := t.paces[key]; p != nil && p.count >= leastCount {
		span = math.Exp(p.at(math.Log(unit)))
	} else if each.spec.EstimatedRunUs == 0 {
		return 0
	}
	return eventloop.Micros(span * t.away(w, each.spec))
}

// away is how many times as long a step's tasks take on this worker for want of
// their data.
func (t *Table) away(w *worker, spec *schema.Step) float64 {
	if spec.DataRack != "" && spec.DataRack != w.rack {
		return float64(t.awayMilli()) / 1000
	}
	return 1
}

// remaining is how much longer a running task should take; what isn't known is
// taken to be long.
func (t *Table) remaining(now eventloop.Micros, w *worker, each *task) eventloop.Micros {
	run := now - each.beganAt
	if each.percent >= 5 && run > 0 {
		return run * eventloop.Micros(max(100-each.percent, 0)) / eventloop.Micros(each.percent)
	}
	expected := t.expected(w, each)
	if expected == 0 || each.spec.RunUntilCancelled {
		return math.MaxInt64 / 4
	}
	// What is overdue ends at any time, but not surely at once.
	return max(expected-run, run/10)
}

// judge learns from a task's end.
func (t *Table) judge(now eventloop.Micros, w *worker, key attemptKey, note *schema.TaskStatus) {
	switch note.State {
	case "done":
		w.good = w.good*0.98 + 1
		w.bad *= 0.98
		t.weigh(w, key.queue, false)
		each := w.tasks[key.taskKey]
		if w.isOnTrial && (each == nil || each.beganAt >= w.asideUntil) {
			if w.trials++; w.trials >= 2 {
				w.isOnTrial, w.trials = false, 0
			}
		} else if !w.isOnTrial && w.rest > 0 {
			w.rest = w.rest * 9 / 10
		}
		if each != nil && each.attempt == key.attempt {
			t.compare(now, w, each, note)
			t.gaugeEnd(now, w, each, note)
		}
	case "failed":
		w.bad = w.bad*0.98 + 1
		w.good *= 0.98
		// A task that fails by its own fault does so again and again, here and
		// elsewhere, which says nothing of the worker.
		each := w.tasks[key.taskKey]
		if isKnown := each != nil && each.failures > 0; !isKnown && w.failedKey != key.taskKey {
			t.weigh(w, key.queue, true)
		}
		w.failedKey = key.taskKey
	}
}

// compare sets a run against those of others.
func (t *Table) compare(now eventloop.Micros, w *worker, each *task, note *schema.TaskStatus) {
	run := eventloop.Micros(note.RunUs)
	if from := cmp.Or(each.beganAt, each.orderAt); run == 0 && from > 0 {
		run = now - from
	}
	if run <= 0 || each.spec.RunUntilCancelled || w.coldUntil > now-run {
		return
	}
	key, unit := paceOf(each)
	x, y := math.Log(unit), math.Log(float64(run)/t.away(w, each.spec))
	p := t.paces[key]
	if p == nil {
		if len(t.paces) > 4096 {
			t.paces = map[paceKey]*pace{}
		}
		p = &pace{isEstimated: key.step == ""}
		t.paces[key] = p
	}
	if run >= shortRun && p.count >= leastCount {
		w.slow = 0.8*w.slow + 0.2*(y-p.at(x))
	}
	p.learn(x, y)
	if p.worker != w.id {
		p.other, p.otherAt = p.worker, p.workerAt
	}
	p.worker, p.workerAt = w.id, now
}

// isAlikeDone tells whether another worker has ended tasks like this one lately.
func (p *pace) isAlikeDone(now eventloop.Micros, worker string, span eventloop.Micros) bool {
	if p.worker != worker {
		return now-p.workerAt < span
	}
	return p.other != "" && now-p.otherAt < span
}

// isStuck tells whether a task stands still on its worker while others end what
// is like it.
func (t *Table) isStuck(now eventloop.Micros, w *worker, each *task, note *schema.TaskStatus) bool {
	if each.spec.RunUntilCancelled || each.beganAt == 0 || note.State != "running" {
		return false
	}
	key, _ := paceOf(each)
	p := t.paces[key]
	if p == nil || p.count < leastCount {
		return false
	}
	expected := t.expected(w, each)
	if !p.isAlikeDone(now, w.id, max(alikeSpan, 2*expected)) {
		return false
	}
	if each.spec.Gang {
		for _, member := range t.members(each) {
			if member.beganAt == 0 {
				return false
			}
		}
	}
	// Each strike doubles the patience: some tasks just are long.
	patience := eventloop.Micros(1) << min(each.strikes, 10)
	allowance := max(w.coldUntil-each.beganAt, 0) + eventloop.Micros(t.bounds.GetRestoreUs())
	run := now - each.beganAt - allowance
	still := eventloop.Micros(note.IdleUs) + now - w.heard
	if w.isNamed {
		still = now - each.movedAt
		if still > max(frozenSpan, expected/4)*patience && run > max(frozenSpan, expected)*patience {
			return true
		}
		return run > stuckTimes*expected*patience && run > stuckSpan && still > stillSpan
	}
	return run > stuckTimes*expected*patience && run > stuckSpan && still > eventloop.Second
}

// setAside gives a worker a rest, twice as long as the one before, and at least
// so long; then it is tried with so many tasks at a time.
func (t *Table) setAside(now eventloop.Micros, w *worker, first eventloop.Micros, tasks int) {
	if now < w.asideUntil {
		w.asideUntil = max(w.asideUntil, now+first)
		return
	}
	// Where half of the workers look bad, it isn't the workers. Those that are
	// gone say nothing of it, though the cluster state still knows them.
	others, all := 0, 1
	for _, other := range t.workers {
		if other == w || !other.isHere(now) {
			continue
		}
		all++
		if other.isOnTrial {
			others++
		}
	}
	if 2*(others+1) > all {
		return
	}
	w.rest = min(max(2*w.rest, first), mostRest)
	w.asideUntil, w.isOnTrial, w.trials, w.doubt, w.trialTasks = now+w.rest, true, 0, 0, tasks
}

func failureRate(w *worker) float64 { return w.bad / (w.good + w.bad + 2) }

// isHere tells whether a worker lives and has been heard lately.
func (w *worker) isHere(now eventloop.Micros) bool {
	return w.isKnown && !w.isOver && now-w.heard <= silentSpan
}

// isSuspect tells whether a worker fails far more than others.
func (w *worker) isSuspect() bool {
	if w.isOnTrial {
		return w.doubt >= trialDoubt
	}
	return w.doubt >= mostDoubt
}
