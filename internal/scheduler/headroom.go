package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
)

// Urgent work comes in bursts, and room that less urgent work has filled comes
// back only after a stop, with the work thrown away. So what takes long leaves
// free what more urgent queues have lately been using at their most.

const (
	peakDecayPeriod     = 10 * eventloop.Second // within which a peak is mostly forgotten
	peakReserveRatio    = 0.8                   // of a peak is kept free
	maxHeadroomRatio    = 0.5                   // of all room is kept free at most
	lowUtilizationRatio = 0.55                  // of the cores in use: less is little
	shortStopFactor     = 2                     // so many times a stop is soon over
	minShortRun         = eventloop.Second      // what takes no longer is brief in any case
)

// decayingPeak is a peak that fades.
type decayingPeak struct{ cores, memory, accelerators float64 }

func (p *decayingPeak) update(usage resources) {
	decay := math.Exp(-float64(TickInterval) / float64(peakDecayPeriod))
	p.cores = math.Max(float64(usage.cores), p.cores*decay)
	p.memory = math.Max(float64(usage.memory), p.memory*decay)
	p.accelerators = math.Max(float64(usage.accelerators), p.accelerators*decay)
}

// unused is what of the peak isn't in use now.
func (p *decayingPeak) unused(use resources) resources {
	left := func(peak float64, use int64) int64 { return max(0, int64(peakReserveRatio*peak)-use) }
	return resources{left(p.cores, use.cores), left(p.memory, use.memory), left(p.accelerators, use.accelerators)}
}

// headroom is how much may still be taken by a queue's work that isn't brief.
func (s *Scheduler) headroom(q *queueView, candidates []*candidate) resources {
	var free, total, reserved resources
	for _, c := range candidates {
		free.add(resources{max(c.free.cores, 0), max(c.free.memory, 0), max(c.free.accelerators, 0)})
		total.add(c.worker.total())
	}
	pool := s.config.Text("queue", q.name, "pool")
	for _, other := range s.queues {
		if other.urgency > q.urgency && s.config.Text("queue", other.name, "pool") == pool {
			usage := other.usage
			for _, t := range other.reserved {
				usage.add(resourcesOf(t.spec))
			}
			reserved.add(other.peak.unused(usage))
		}
	}
	reserved.cores = min(reserved.cores, int64(maxHeadroomRatio*float64(total.cores)))
	reserved.memory = min(reserved.memory, int64(maxHeadroomRatio*float64(total.memory)))
	reserved.accelerators = min(reserved.accelerators, int64(maxHeadroomRatio*float64(total.accelerators)))
	free.sub(reserved)
	return free
}

// isUnderutilized tells whether little of the cores is in use.
func isUnderutilized(candidates []*candidate) bool {
	free, total := int64(0), int64(0)
	for _, c := range candidates {
		free += max(c.free.cores, 0)
		total += c.worker.cores
	}
	return float64(total-free) < lowUtilizationRatio*float64(total)
}

// isShort tells whether a step's tasks end about as soon as they could be
// stopped.
func (s *Scheduler) isShort(q *queueView, first *task) bool {
	duration := s.estimateDuration(q.name, first.remaining[:min(1, len(first.remaining))], 0)
	return !first.spec.RunUntilCancelled && duration <= max(shortStopFactor*eventloop.Micros(s.bounds.GetStopUs()), minShortRun)
}
