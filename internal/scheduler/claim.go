package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// claimWorkers keeps workers free for count tasks of a wide step, which narrower steps would
// otherwise starve. It takes the workers with the largest share of free cores. If there aren't
// enough workers, it claims none and returns false. Batch systems call this a reservation.
func (req *placementRequest) claimWorkers(count int, candidates []*candidate) bool {
	type offer struct {
		candidate *candidate
		freeShare float64
		tasks     int64 // number of tasks of the step that the candidate can run once it is free
	}
	var offers []offer
	for _, c := range candidates {
		if tasks := req.tasksOnceFree(c); tasks > 0 && req.isEligible(c) {
			offers = append(offers, offer{c, float64(c.freeAfterStops.cores) / float64(max(c.worker.cores, 1)), tasks})
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(b.freeShare, a.freeShare) })
	var taken []*candidate
	for _, o := range offers {
		if count <= 0 {
			break
		}
		count -= int(min(o.tasks, math.MaxInt32))
		taken = append(taken, o.candidate)
	}
	if count > 0 {
		return false
	}
	for _, c := range taken {
		c.isClaimed = true
	}
	return true
}

// tasksOnceFree returns how many of the step's tasks a candidate can run once all its tasks have
// ended, except those that run until cancelled.
func (req *placementRequest) tasksOnceFree(c *candidate) int64 {
	total := c.worker.total()
	total.sub(c.worker.usedByServices)
	tasks := total.fitCount(req.need)
	if req.spec.MaxPerWorker > 0 {
		tasks = min(tasks, int64(req.spec.MaxPerWorker)-int64(req.tasksPerWorker[c.worker.id]))
	}
	return tasks
}
