package scheduler

import (
	"math"
	"slices"

	"sparnotch/internal/eventloop"
)

// The score stage finds the best of the candidates that fit. The weights weight_room,
// weight_failures and weight_rack are settings of the fleet.
const (
	dataRackScore   = 2000 // added for workers in the rack that holds the step's data
	sameRackScore   = 1000 // added for workers in the preferred rack of a step that keeps to one rack
	slowdownPenalty = 100  // subtracted for every 100 % that runs take longer than expected
	warmUpPenalty   = 50   // subtracted for workers that have just started
	maxLogSlowdown  = 3    // cap on the natural logarithm of the slowdown that is penalized
)

// scoreWeights holds the weights that are settings of the fleet. They are needed for every task and
// candidate, so they are read only when the configuration changes.
type scoreWeights struct{ room, failures, rack float64 }

func (s *Scheduler) readScoreWeights() scoreWeights {
	weight := func(key string) float64 { return float64(s.fleetSetting(key)) }
	return scoreWeights{weight("weight_room"), weight("weight_failures"), weight("weight_rack")}
}

// score rates a candidate for one task of a step; higher is better.
func (s *Scheduler) score(c *candidate, req *placementRequest) float64 {
	w := c.worker
	score := s.weights.room*req.freeShare(c) - c.penalty
	// Accelerators are kept for tasks that need them.
	if req.need.accelerators == 0 && w.accelerators > 0 {
		score -= s.weights.room
	}
	score += s.spreadScore(w.rack, req)
	if req.spec.DataRack != "" && w.rack == req.spec.DataRack {
		score += dataRackScore
	}
	if score > 0 {
		score = score * float64(c.rackWeight) / 100
	}
	return score
}

// penalty returns by how much a worker's history lowers its score, whatever the task.
func (s *Scheduler) penalty(now eventloop.Micros, w *worker) float64 {
	penalty := s.weights.failures * w.failureRate()
	penalty += slowdownPenalty * math.Max(0, math.Exp(math.Min(w.slowdown, maxLogSlowdown))-1)
	if now < w.warmUpUntil {
		penalty += warmUpPenalty
	}
	return penalty
}

// freeShare returns the share of the candidate's cores or of its memory that stays free once the
// task is placed there, whichever is smaller.
func (req *placementRequest) freeShare(c *candidate) float64 {
	share := func(free, need, total int64) float64 {
		if total <= 0 {
			return 0
		}
		return float64(free-need) / float64(total)
	}
	return math.Min(share(c.free.cores, req.need.cores, c.worker.cores), share(c.free.memory, max(req.need.memory, 1), c.worker.memory))
}

// spreadScore rates a rack by where the step's other tasks are. A step that keeps to one rack prefers
// the rack chosen for it; the tasks of any other step spread over racks.
func (s *Scheduler) spreadScore(rack string, req *placementRequest) float64 {
	switch {
	case !req.spec.OneRack:
		return -s.weights.rack * float64(req.tasksPerRack[rack]) / float64(max(req.spec.Tasks, 1))
	case rack == req.preferredRack:
		return sameRackScore
	}
	return 0
}

// bestCandidate returns the candidate with the highest score among those that a task fits on, and
// its score; the candidate is nil if the task fits on none.
func (s *Scheduler) bestCandidate(candidates []*candidate, req *placementRequest) (*candidate, float64) {
	req.scores.update(s, candidates, req)
	var best *candidate
	top := math.Inf(-1)
	for k, score := range req.scores.values {
		if score > top && (len(req.namesakeWorkers) == 0 || !slices.Contains(req.namesakeWorkers, candidates[k].worker.id)) {
			best, top = candidates[k], score
		}
	}
	return best, top
}

// candidateScores caches the scores of candidates for the tasks of one step. Placing a task changes
// only the scores of its worker and of the other workers of the rack.
type candidateScores struct {
	candidates []*candidate
	values     []float64 // by index of the candidate; minus infinity: the task doesn't fit there
	staleRacks []string  // racks whose scores have changed
}

// update computes the scores that aren't cached.
func (c *candidateScores) update(s *Scheduler, candidates []*candidate, req *placementRequest) {
	isCached := len(c.candidates) == len(candidates) && len(candidates) > 0 && &c.candidates[0] == &candidates[0]
	if !isCached {
		c.candidates, c.values = candidates, make([]float64, len(candidates))
	}
	if isCached && len(c.staleRacks) == 0 {
		return
	}
	for k, candidate := range candidates {
		if !isCached || slices.Contains(c.staleRacks, candidate.worker.rack) {
			c.values[k] = s.scoreIfFits(candidate, req)
		}
	}
	c.staleRacks = c.staleRacks[:0]
}

// scoreIfFits returns the score of a candidate, or minus infinity if no task of the step fits there.
func (s *Scheduler) scoreIfFits(c *candidate, req *placementRequest) float64 {
	if !req.fits(c) {
		return math.Inf(-1)
	}
	return s.score(c, req)
}
