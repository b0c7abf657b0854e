package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
)

// Urgent work comes in bursts, and capacity that less urgent work has filled comes
// back only by preemption, with work lost. So tasks that aren't short leave free
// what more urgent queues have lately used at their peak.

const (
	peakDecayPeriod     = 10 * eventloop.Second // in which a peak decays to 1/e
	peakReserveRatio    = 0.8                   // of a peak is kept free
	maxHeadroomRatio    = 0.5                   // of all capacity is kept free at most
	lowUtilizationRatio = 0.55                  // of the cores in use: below, capacity is plenty
	shortStopFactor     = 2                     // a run up to this many stop timeouts long counts as short
	minShortRun         = eventloop.Second      // runs up to this are short in any case
)

// decayingPeak is a maximum that decays exponentially.
type decayingPeak struct{ cores, memory, accelerators float64 }

// update takes in the usage of now; it is called at each tick.
func (p *decayingPeak) update(usage resources) {
	decay := math.Exp(-float64(TickInterval) / float64(peakDecayPeriod))
	p.cores = math.Max(float64(usage.cores), p.cores*decay)
	p.memory = math.Max(float64(usage.memory), p.memory*decay)
	p.accelerators = math.Max(float64(usage.accelerators), p.accelerators*decay)
}

// unused is what to keep free of the peak, beside what is in use now.
func (p *decayingPeak) unused(usage resources) resources {
	left := func(peak float64, used int64) int64 { return max(0, int64(peakReserveRatio*peak)-used) }
	return resources{left(p.cores, usage.cores), left(p.memory, usage.memory), left(p.accelerators, usage.accelerators)}
}

// headroom is how much of the free capacity a queue's tasks that aren't short may
// still take.
func (s *Scheduler) headroom(q *queueView, candidates []*candidate) resources {
	var free, total resources
	for _, c := range candidates {
		free.add(resources{max(c.free.cores, 0), max(c.free.memory, 0), max(c.free.accelerators, 0)})
		total.add(c.worker.total())
	}
	kept := s.keptForUrgent(q)
	kept.cores = min(kept.cores, int64(maxHeadroomRatio*float64(total.cores)))
	kept.memory = min(kept.memory, int64(maxHeadroomRatio*float64(total.memory)))
	kept.accelerators = min(kept.accelerators, int64(maxHeadroomRatio*float64(total.accelerators)))
	free.sub(kept)
	return free
}

// keptForUrgent is what the more urgent queues of the same pool lately used at
// their peak, beside what they use now.
func (s *Scheduler) keptForUrgent(q *queueView) (kept resources) {
	pool := s.poolOf(q)
	for _, other := range s.queues {
		if other.urgency <= q.urgency || s.poolOf(other) != pool {
			continue
		}
		usage := other.usage
		for _, t := range other.reserved {
			usage.add(resourcesOf(t.spec))
		}
		kept.add(other.peakUsage.unused(usage))
	}
	return kept
}

// isUnderutilized reports whether little of the candidates' cores is in use.
func isUnderutilized(candidates []*candidate) bool {
	free, total := int64(0), int64(0)
	for _, c := range candidates {
		free += max(c.free.cores, 0)
		total += c.worker.cores
	}
	return float64(total-free) < lowUtilizationRatio*float64(total)
}

// isShort reports whether a step's tasks, of which t is one, end about as soon as
// they could be stopped.
func (s *Scheduler) isShort(q *queueView, t *task) bool {
	duration := s.ownDuration(q, t)
	return !t.spec.RunUntilCancelled && duration <= max(shortStopFactor*eventloop.Micros(s.bounds.GetStopTimeoutUs()), minShortRun)
}
