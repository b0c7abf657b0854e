package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
)

// Urgent work comes in bursts, and only preemption, which loses work, can free capacity that less
// urgent work has filled. So tasks that aren't short leave as much capacity free as more urgent
// queues have recently used at their peak.

const (
	peakDecayPeriod     = 10 * eventloop.Second // time in which a peak decays to 1/e
	peakReserveRatio    = 0.8                   // part of a peak that is kept free
	maxHeadroomRatio    = 0.5                   // largest part of all capacity that is kept free
	lowUtilizationRatio = 0.55                  // a pool with a smaller part of its cores in use is underutilized
	shortStopFactor     = 2                     // a run of up to this many stop timeouts counts as short
	minShortRun         = eventloop.Second      // a run of up to this length always counts as short
)

// decayingPeak tracks the peak of a queue's resource usage, which decays exponentially.
type decayingPeak struct{ cores, memory, accelerators float64 }

// update records the current usage; it is called at each tick.
func (p *decayingPeak) update(usage resources) {
	decay := math.Exp(-float64(TickInterval) / float64(peakDecayPeriod))
	p.cores = math.Max(float64(usage.cores), p.cores*decay)
	p.memory = math.Max(float64(usage.memory), p.memory*decay)
	p.accelerators = math.Max(float64(usage.accelerators), p.accelerators*decay)
}

// unused returns how much of the peak to keep free in addition to the current usage.
func (p *decayingPeak) unused(usage resources) resources {
	toKeep := func(peak float64, used int64) int64 { return max(0, int64(peakReserveRatio*peak)-used) }
	return resources{toKeep(p.cores, usage.cores), toKeep(p.memory, usage.memory), toKeep(p.accelerators, usage.accelerators)}
}

// headroom returns how much of the free capacity a queue's tasks may still take if they aren't
// short.
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

// keptForUrgent returns how much capacity to keep free for the more urgent queues of the same pool:
// what they have recently used at their peak, minus what they use now.
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

// isUnderutilized reports whether less than lowUtilizationRatio of the candidates' cores is in use.
func isUnderutilized(candidates []*candidate) bool {
	free, total := int64(0), int64(0)
	for _, c := range candidates {
		free += max(c.free.cores, 0)
		total += c.worker.cores
	}
	return float64(total-free) < lowUtilizationRatio*float64(total)
}

// isShort reports whether tasks of the same step as t are expected to end about as soon as a stop
// would end them. Tasks without an estimate count as short.
func (s *Scheduler) isShort(q *queueView, t *task) bool {
	duration := s.ownDuration(q, t)
	return !t.spec.RunUntilCancelled && duration <= max(shortStopFactor*eventloop.Micros(s.bounds.GetStopTimeoutUs()), minShortRun)
}
