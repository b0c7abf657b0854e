package scheduler

import (
	"math"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// candidate is a worker that a pass may place tasks on, with its remaining capacity.
type candidate struct {
	worker                  *worker
	free                    resources // free capacity now
	freeAfterStops          resources // free capacity once all stops in progress are done, minus the part that tasks have reserved
	remainingProbationTasks int       // on probation: tasks that it may still get from steps that haven't waited long
	rackWeight              int64     // weight of the worker's rack, in percent
	penalty                 float64   // see Scheduler.penalty
	isEjected               bool      // gets only steps that have waited long
	isClaimed               bool      // kept free for a wide step
	victims                 []*victim // tasks and gangs that may be preempted on it, see areVictimsListed
	areVictimsListed        bool      // victims has been filled
}

func (c *candidate) allocate(need resources) {
	c.free.sub(need)
	c.freeAfterStops.sub(need)
	c.remainingProbationTasks--
}

func (c *candidate) release(need resources) {
	c.free.add(need)
	c.freeAfterStops.add(need)
	c.remainingProbationTasks++
}

// candidates returns the workers that may get tasks in a pass. It ejects those that fail far more
// often than others, but still returns them, marked as ejected.
func (s *Scheduler) candidates(now eventloop.Micros) []*candidate {
	candidates := s.candidateBuffer[:0]
	cores := int64(0)
	for _, w := range s.sortedWorkers() {
		if !w.isResponsive(now) || w.isDraining {
			continue
		}
		weight, allowed := s.rackWeight(w)
		if !allowed {
			continue
		}
		s.refreshUsage(w)
		if w.hasUnknownUsage {
			continue
		}
		c := reuseNext(candidates)
		*c = candidate{worker: w, free: w.total(), remainingProbationTasks: math.MaxInt32, rackWeight: weight, penalty: s.penalty(now, w)}
		c.free.sub(w.used)
		c.freeAfterStops = c.free
		c.freeAfterStops.add(w.releasing)
		if now >= w.ejectedUntil && w.isSuspicious() {
			s.eject(now, w, baseEjectionPeriod, 1)
		}
		c.isEjected = now < w.ejectedUntil
		if w.isOnProbation {
			c.remainingProbationTasks = max(0, w.probationTasks-w.taskCount)
		}
		candidates = append(candidates, c)
		cores += w.cores
	}
	s.candidateBuffer, s.candidateCores = candidates, cores
	return candidates
}

// reuseNext returns the candidate that an earlier pass left in the list's buffer just past its end,
// or a new one.
func reuseNext(candidates []*candidate) *candidate {
	if len(candidates) < cap(candidates) {
		if reused := candidates[:len(candidates)+1][len(candidates)]; reused != nil {
			return reused
		}
	}
	return &candidate{}
}

// rackWeight returns the weight of a worker's rack in percent and whether the worker may get tasks.
// Workers in racks with weight 0 or without a valid name get none; workers without a rack do.
func (s *Scheduler) rackWeight(w *worker) (weight int64, allowed bool) {
	weight, known := s.rackWeights[w.rack]
	if !known {
		if weight = s.config.Number("rack", w.rack, "weight"); !clusterstate.IsValidName(w.rack) {
			weight = 0
		}
		s.rackWeights[w.rack] = weight
	}
	if weight == 0 {
		return 100, w.rack == ""
	}
	return weight, true
}
