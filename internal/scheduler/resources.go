package scheduler

import (
	"math"
	"slices"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
	"sparnotch/internal/schema"
)

// resources is room of all kinds.
type resources struct{ cores, memory, accelerators int64 }

func resourcesOf(step *schema.Step) resources {
	return resources{step.CoresMilli, step.MemoryMb, step.Accelerators}
}

func (a resources) covers(b resources) bool {
	return a.cores >= b.cores && a.memory >= b.memory && a.accelerators >= b.accelerators
}

func (a *resources) add(b resources) {
	a.cores += b.cores
	a.memory += b.memory
	a.accelerators += b.accelerators
}

func (a *resources) sub(b resources) {
	a.cores -= b.cores
	a.memory -= b.memory
	a.accelerators -= b.accelerators
}

// multipleOf is how often b goes into a.
func (a resources) multipleOf(b resources) int64 {
	count := int64(math.MaxInt32)
	for _, pair := range [][2]int64{{a.cores, b.cores}, {a.memory, b.memory}, {a.accelerators, b.accelerators}} {
		if pair[1] > 0 {
			count = min(count, max(pair[0], 0)/pair[1])
		}
	}
	return count
}

func (w *worker) total() resources { return resources{w.cores, w.memory, w.accelerators} }

// resourcesOf is what something that runs there takes: by its own word, else by that
// of its step.
func (s *Scheduler) usageOf(w *worker, key attemptKey, note *schema.TaskStatus) resources {
	size := resources{cores: note.CoresMilli, memory: note.MemoryMb}
	if spec := s.specOf(w, key); spec != nil {
		size.accelerators = spec.Accelerators
		if size.cores == 0 && size.memory == 0 {
			size = resourcesOf(spec)
		}
	}
	return size
}

func (s *Scheduler) specOf(w *worker, key attemptKey) *schema.Step {
	if t := w.tasks[key.taskKey]; t != nil {
		return t.spec
	}
	if q := s.queues[key.queue]; q != nil {
		if t := q.tasks[key.taskKey]; t != nil {
			return t.spec
		}
	}
	return nil
}

// hasUnknownUsage tells whether a worker runs something whose size nobody here knows:
// it may be full.
func (s *Scheduler) runsUnknownUsage(w *worker) bool {
	if !w.usesNames {
		return false
	}
	hasNoUsage := func(note *schema.TaskStatus) bool { return note.CoresMilli == 0 && note.MemoryMb == 0 }
	for key, note := range w.running {
		if hasNoUsage(note) && s.specOf(w, key) == nil {
			return true
		}
	}
	return slices.ContainsFunc(w.unknownRuns, hasNoUsage)
}

// taskCount makes the sums of a worker anew: what is out there, what is on its way,
// and what it says it runs besides. What is being stopped takes its room until
// its end is told.
func (s *Scheduler) refreshUsage(w *worker) {
	if !w.isUsageStale {
		return
	}
	w.isUsageStale, w.taskCount, w.used, w.releasing, w.usedByServices = false, 0, resources{}, resources{}, resources{}
	for key, t := range w.tasks {
		// By its own word it doesn't run what it has reported ended.
		if w.ended[attemptKey{key, t.attempt}] != nil {
			continue
		}
		size := resourcesOf(t.spec)
		w.used.add(size)
		w.taskCount++
		switch {
		case t.isStopOverdue:
		case t.state == queue.Stopping || t.evictOutcome != "":
			w.releasing.add(size)
		case t.spec.RunUntilCancelled:
			w.usedByServices.add(size)
		}
	}
	for key, note := range w.running {
		if t := w.tasks[key.taskKey]; t == nil || t.attempt != key.attempt {
			w.used.add(s.usageOf(w, key, note))
			w.taskCount++
		}
	}
	for _, note := range w.unknownRuns {
		w.used.add(resources{cores: note.CoresMilli, memory: note.MemoryMb})
		w.taskCount++
	}
	for _, t := range w.reserved {
		w.used.add(resourcesOf(t.spec))
		w.taskCount++
	}
	w.hasUnknownUsage = s.runsUnknownUsage(w)
}

// candidate is what a pass reckons a worker has left.
type candidate struct {
	worker         *worker
	free           resources // now
	freeAfterStops resources // once all that is being stopped there has ended, less what waits for that
	maxTasks       int       // while it is being tried again: of work that can wait
	rackWeight     int64     // of its rack
	isEjected      bool      // it rests: only for who has waited long
	isClaimed      bool      // it is kept free for something wide
	victims        []*victim
	hasVictims     bool
}

func (c *candidate) allocate(need resources) {
	c.free.sub(need)
	c.freeAfterStops.sub(need)
	c.maxTasks--
}

func (c *candidate) release(need resources) {
	c.free.add(need)
	c.freeAfterStops.add(need)
	c.maxTasks++
}

// candidates lists the workers that may be given work.
func (s *Scheduler) candidates(now eventloop.Micros) []*candidate {
	candidates := s.candidateBuffer[:0]
	for _, w := range s.sortedWorkers() {
		if !w.isResponsive(now) || w.isDraining {
			continue
		}
		weight := s.config.Number("rack", w.rack, "weight")
		if !clusterstate.IsValidName(w.rack) || weight == 0 {
			if w.rack != "" {
				continue
			}
			weight = 100
		}
		s.refreshUsage(w)
		if w.hasUnknownUsage {
			continue
		}
		// Rooms of the pass before are used again.
		c := &candidate{}
		if len(candidates) < cap(candidates) {
			if reused := candidates[:len(candidates)+1][len(candidates)]; reused != nil {
				c = reused
			}
		}
		*c = candidate{worker: w, free: w.total(), maxTasks: math.MaxInt32, rackWeight: weight}
		c.free.sub(w.used)
		c.freeAfterStops = c.free
		c.freeAfterStops.add(w.releasing)
		// It fails far more than others: a rest, then few tasks at a time.
		if now >= w.ejectedUntil && w.isSuspicious() {
			s.eject(now, w, baseEjectionPeriod, 1)
		}
		c.isEjected = now < w.ejectedUntil
		if w.isOnProbation {
			c.maxTasks = max(0, w.probationTasks-w.taskCount)
		}
		candidates = append(candidates, c)
	}
	s.candidateBuffer, s.candidateCores = candidates, 0
	for _, c := range candidates {
		s.candidateCores += c.worker.cores
	}
	return candidates
}
