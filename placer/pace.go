package placer

import (
	"cmp"
	"math"
	"sort"

	"sparnotch/loop"
	"sparnotch/schema"
)

const (
	firstRest  = 5 * loop.Second
	mostRest   = 60 * loop.Second
	stuckSpan  = 2 * loop.Second
	stuckTimes = 4
	alikeSpan  = 10 * loop.Second
	stillSpan  = 3 * loop.Second  // without progress; an agent looks only now and then
	frozenSpan = 4 * loop.Second  // without progress, for tasks that tell it
	shortRun   = 500 * loop.Milli // shorter runs say nothing of a worker's pace
	rowMost    = 3                // failures in a row that set a worker aside where others fail seldom
	rowQuiet   = 2                // the same where others hardly ever fail
)

// quality is what a worker's runs so far say of it.
type quality struct {
	slow       float64 // decayed mean of how much longer its runs took, as a logarithm
	row        int     // tasks failed in a row
	rowJob     taskKey // the latest of them
	asideUntil loop.Micros
	rest       loop.Micros // its latest rest
	isOnTrial  bool        // it has been set aside and hasn't shown itself sound since
	trials     int         // sound runs since
}

// paceKey names tasks whose runs can be compared: those of a lane by their
// estimates, others by their step.
type paceKey struct {
	lane, step string
}

// pace is how long such tasks take, as a logarithm of times their estimate (or
// of seconds, where there is none). It follows the median: one bad worker
// doesn't move it.
type pace struct {
	value             float64
	count             int
	worker, other     string // the latest two workers one ended on
	workerAt, otherAt loop.Micros
}

func paceOf(each *task) (paceKey, float64) {
	if each.spec.EstimateUs > 0 {
		return paceKey{each.key.lane, ""}, float64(each.spec.EstimateUs)
	}
	return paceKey{each.key.lane, each.spec.Name}, float64(loop.Second)
}

// expected is how long a task should run on a worker; 0: unknown.
func (t *Table) expected(w *worker, each *task) loop.Micros {
	key, unit := paceOf(each)
	value := 0.0
	if p := t.paces[key]; p != nil && p.count >= 3 {
		value = p.value
	} else if each.spec.EstimateUs == 0 {
		return 0
	}
	return loop.Micros(unit * math.Exp(value) * t.away(w, each.spec))
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
func (t *Table) remaining(now loop.Micros, w *worker, each *task) loop.Micros {
	run := now - each.beganAt
	if each.percent >= 5 && run > 0 {
		return run * loop.Micros(max(100-each.percent, 0)) / loop.Micros(each.percent)
	}
	expected := t.expected(w, each)
	if expected == 0 || each.spec.Lasting {
		return math.MaxInt64 / 4
	}
	// What is overdue ends at any time, but not surely at once.
	return max(expected-run, run/10)
}

// judge learns from a task's end.
func (t *Table) judge(now loop.Micros, w *worker, key attemptKey, note *schema.TaskNote) {
	switch note.State {
	case "done":
		w.good = w.good*0.98 + 1
		w.bad *= 0.98
		w.row = 0
		if w.isOnTrial && now >= w.asideUntil {
			if w.trials++; w.trials >= 2 {
				w.isOnTrial, w.trials = false, 0
			}
		} else if !w.isOnTrial && w.rest > 0 {
			w.rest = w.rest * 9 / 10
		}
		if each := w.tasks[key.taskKey]; each != nil && each.attempt == key.attempt {
			t.compare(now, w, each, note)
		}
	case "failed":
		w.bad = w.bad*0.98 + 1
		w.good *= 0.98
		// A task that fails by its own fault does so again and again, which says
		// nothing of the worker.
		if w.row == 0 || w.rowJob != key.taskKey {
			w.row++
			w.rowJob = key.taskKey
		}
	}
}

// compare sets a run against those of others.
func (t *Table) compare(now loop.Micros, w *worker, each *task, note *schema.TaskNote) {
	run := loop.Micros(note.RunUs)
	if from := cmp.Or(each.beganAt, each.orderAt); run == 0 && from > 0 {
		run = now - from
	}
	if run <= 0 || each.spec.Lasting || w.coldUntil > now-run {
		return
	}
	key, unit := paceOf(each)
	x := math.Log(float64(run) / unit / t.away(w, each.spec))
	p := t.paces[key]
	if p == nil {
		if len(t.paces) > 4096 {
			t.paces = map[paceKey]*pace{}
		}
		p = &pace{value: x}
		t.paces[key] = p
	}
	if run >= shortRun && p.count >= 3 {
		w.slow = 0.8*w.slow + 0.2*(x-p.value)
	}
	p.value += math.Max(-0.1, math.Min(0.1, x-p.value))
	p.count++
	if p.worker != w.id {
		p.other, p.otherAt = p.worker, p.workerAt
	}
	p.worker, p.workerAt = w.id, now
}

// isAlikeDone tells whether another worker has ended tasks like this one lately.
func (p *pace) isAlikeDone(now loop.Micros, worker string, span loop.Micros) bool {
	if p.worker != worker {
		return now-p.workerAt < span
	}
	return p.other != "" && now-p.otherAt < span
}

// isStuck tells whether a task stands still on its worker while others end what
// is like it.
func (t *Table) isStuck(now loop.Micros, w *worker, each *task, note *schema.TaskNote) bool {
	if each.spec.Lasting || each.beganAt == 0 || note.State != "running" {
		return false
	}
	key, _ := paceOf(each)
	p := t.paces[key]
	if p == nil || p.count < 3 {
		return false
	}
	expected := t.expected(w, each)
	if !p.isAlikeDone(now, w.id, max(alikeSpan, 2*expected)) {
		return false
	}
	if each.spec.Together {
		for _, member := range t.members(each) {
			if member.beganAt == 0 {
				return false
			}
		}
	}
	// Each strike doubles the patience: some tasks just are long.
	patience := loop.Micros(1) << min(each.strikes, 10)
	allowance := max(w.coldUntil-each.beganAt, 0) + loop.Micros(t.bounds.GetRestoreUs())
	run := now - each.beganAt - allowance
	still := loop.Micros(note.StillUs) + now - w.heard
	if w.isNamed {
		still = now - each.movedAt
		if still > max(frozenSpan, expected/4)*patience && run > max(frozenSpan, expected)*patience {
			return true
		}
		return run > stuckTimes*expected*patience && run > stuckSpan && still > stillSpan
	}
	return run > stuckTimes*expected*patience && run > stuckSpan && still > loop.Second
}

// setAside gives a worker a rest, twice as long as the one before.
func (t *Table) setAside(now loop.Micros, w *worker) {
	if now < w.asideUntil {
		return
	}
	// Where half of the workers look bad, it isn't the workers. Those that are
	// gone say nothing of it, though the charter still knows them.
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
	w.rest = min(max(2*w.rest, firstRest), mostRest)
	w.asideUntil, w.isOnTrial, w.trials, w.row = now+w.rest, true, 0, 0
}

func failureRate(w *worker) float64 { return w.bad / (w.good + w.bad + 2) }

// isHere tells whether a worker lives and has been heard lately.
func (w *worker) isHere(now loop.Micros) bool {
	return w.isKnown && !w.isOver && now-w.heard <= silentSpan
}

func (t *Table) medianFailure(now loop.Micros) float64 {
	var rates []float64
	for _, w := range t.workers {
		if w.isHere(now) {
			rates = append(rates, failureRate(w))
		}
	}
	if len(rates) == 0 {
		return 0
	}
	sort.Float64s(rates)
	return rates[(len(rates)-1)/2]
}

// isSuspect tells whether a worker fails far more than others. Few failures
// will do where others hardly fail.
func (t *Table) isSuspect(w *worker, median float64) bool {
	switch {
	case len(t.workers) > 1 && median < 0.05 && w.row >= rowQuiet, median < 0.1 && w.row >= rowMost:
		return true
	}
	return w.bad >= 4 && w.row > 0 && failureRate(w) > 0.3 && failureRate(w) > 3*median
}
