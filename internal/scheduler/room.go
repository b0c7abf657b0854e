package scheduler

import (
	"math"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// amount is room of all kinds.
type amount struct{ cores, memory, accelerators int64 }

func sizeOf(step *schema.Step) amount {
	return amount{step.CoresMilli, step.MemoryMb, step.Accelerators}
}

func (a amount) has(b amount) bool {
	return a.cores >= b.cores && a.memory >= b.memory && a.accelerators >= b.accelerators
}

func (a *amount) add(b amount) {
	a.cores += b.cores
	a.memory += b.memory
	a.accelerators += b.accelerators
}

func (a *amount) sub(b amount) {
	a.cores -= b.cores
	a.memory -= b.memory
	a.accelerators -= b.accelerators
}

// times is how often b goes into a.
func (a amount) times(b amount) int64 {
	most := int64(math.MaxInt32)
	for _, pair := range [][2]int64{{a.cores, b.cores}, {a.memory, b.memory}, {a.accelerators, b.accelerators}} {
		if pair[1] > 0 {
			most = min(most, max(pair[0], 0)/pair[1])
		}
	}
	return most
}

func (w *worker) whole() amount { return amount{w.cores, w.memory, w.accelerators} }

// sizeOf is what something that runs there takes: by its own word, else by that
// of its step.
func (t *Table) sizeOf(w *worker, key attemptKey, note *schema.TaskStatus) amount {
	size := amount{cores: note.CoresMilli, memory: note.MemoryMb}
	if spec := t.specOf(w, key); spec != nil {
		size.accelerators = spec.Accelerators
		if size.cores == 0 && size.memory == 0 {
			size = sizeOf(spec)
		}
	}
	return size
}

func (t *Table) specOf(w *worker, key attemptKey) *schema.Step {
	if each := w.tasks[key.taskKey]; each != nil {
		return each.spec
	}
	if v := t.views[key.queue]; v != nil {
		if each := v.tasks[key.taskKey]; each != nil {
			return each.spec
		}
	}
	return nil
}

// isBlurry tells whether a worker runs something whose size nobody here knows:
// it may be full.
func (t *Table) isBlurry(w *worker) bool {
	if !w.isNamed {
		return false
	}
	isVague := func(note *schema.TaskStatus) bool { return note.CoresMilli == 0 && note.MemoryMb == 0 }
	for key, note := range w.running {
		if isVague(note) && t.specOf(w, key) == nil {
			return true
		}
	}
	return slices.ContainsFunc(w.strange, isVague)
}

// count makes the sums of a worker anew: what is out there, what is on its way,
// and what it says it runs besides. What is being stopped takes its room until
// its end is told.
func (t *Table) count(w *worker) {
	if !w.isStale {
		return
	}
	w.isStale, w.count, w.used, w.coming, w.fixed = false, 0, amount{}, amount{}, amount{}
	for key, each := range w.tasks {
		// By its own word it doesn't run what it has reported ended.
		if w.ended[attemptKey{key, each.attempt}] != nil {
			continue
		}
		size := sizeOf(each.spec)
		w.used.add(size)
		w.count++
		switch {
		case each.isLate:
		case each.standing == queue.Stopping || each.evict != "":
			w.coming.add(size)
		case each.spec.RunUntilCancelled:
			w.fixed.add(size)
		}
	}
	for key, note := range w.running {
		if each := w.tasks[key.taskKey]; each == nil || each.attempt != key.attempt {
			w.used.add(t.sizeOf(w, key, note))
			w.count++
		}
	}
	for _, note := range w.strange {
		w.used.add(amount{cores: note.CoresMilli, memory: note.MemoryMb})
		w.count++
	}
	for _, each := range w.reserved {
		w.used.add(sizeOf(each.spec))
		w.count++
	}
	w.isBlurry = t.isBlurry(w)
}

// room is what a pass reckons a worker has left.
type room struct {
	w         *worker
	free      amount // now
	later     amount // once all that is being stopped there has ended, less what waits for that
	mostTasks int    // while it is being tried again: of work that can wait
	weight    int64  // of its rack
	isAside   bool   // it rests: only for who has waited long
	isClaimed bool   // it is kept free for something wide
	units     []*unit
	hasUnits  bool
}

func (r *room) take(need amount) {
	r.free.sub(need)
	r.later.sub(need)
	r.mostTasks--
}

func (r *room) give(need amount) {
	r.free.add(need)
	r.later.add(need)
	r.mostTasks++
}

// rooms lists the workers that may be given work.
func (t *Table) rooms(now eventloop.Micros) []*room {
	list := t.list[:0]
	for _, w := range t.inOrder() {
		if !w.isHere(now) || w.isLeaving {
			continue
		}
		weight := t.values.Number("rack", w.rack, "weight")
		if !clusterstate.IsValidName(w.rack) || weight == 0 {
			if w.rack != "" {
				continue
			}
			weight = 100
		}
		t.count(w)
		if w.isBlurry {
			continue
		}
		// Rooms of the pass before are used again.
		r := &room{}
		if len(list) < cap(list) {
			if spare := list[:len(list)+1][len(list)]; spare != nil {
				r = spare
			}
		}
		*r = room{w: w, free: w.whole(), mostTasks: math.MaxInt32, weight: weight}
		r.free.sub(w.used)
		r.later = r.free
		r.later.add(w.coming)
		// It fails far more than others: a rest, then few tasks at a time.
		if now >= w.asideUntil && w.isSuspect() {
			t.setAside(now, w, firstRest, 1)
		}
		r.isAside = now < w.asideUntil
		if w.isOnTrial {
			r.mostTasks = max(0, w.trialTasks-w.count)
		}
		list = append(list, r)
	}
	t.list, t.cores = list, 0
	for _, r := range list {
		t.cores += r.w.cores
	}
	return list
}
