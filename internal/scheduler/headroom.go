package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
)

// Urgent work comes in bursts, and room that less urgent work has filled comes
// back only after a stop, with the work thrown away. So what takes long leaves
// free what more urgent queues have lately been using at their most.

const (
	swingSpan   = 10 * eventloop.Second // within which a peak is mostly forgotten
	headShare   = 0.8                   // of a peak is kept free
	headMost    = 0.5                   // of all room is kept free at most
	roomyShare  = 0.55                  // of the cores in use: less is little
	briefTimes  = 2                     // so many times a stop is soon over
	briefAtMost = eventloop.Second      // what takes no longer is brief in any case
)

// swing is a peak that fades.
type swing struct{ cores, memory, accelerators float64 }

func (s *swing) follow(use amount) {
	fade := math.Exp(-float64(Pace) / float64(swingSpan))
	s.cores = math.Max(float64(use.cores), s.cores*fade)
	s.memory = math.Max(float64(use.memory), s.memory*fade)
	s.accelerators = math.Max(float64(use.accelerators), s.accelerators*fade)
}

// above is what of the peak isn't in use now.
func (s *swing) above(use amount) amount {
	left := func(peak float64, use int64) int64 { return max(0, int64(headShare*peak)-use) }
	return amount{left(s.cores, use.cores), left(s.memory, use.memory), left(s.accelerators, use.accelerators)}
}

// headroom is how much may still be taken by a queue's work that isn't brief.
func (t *Table) headroom(v *view, list []*room) amount {
	var free, whole, kept amount
	for _, r := range list {
		free.add(amount{max(r.free.cores, 0), max(r.free.memory, 0), max(r.free.accelerators, 0)})
		whole.add(r.w.whole())
	}
	pool := t.values.Text("queue", v.queue, "pool")
	for _, other := range t.views {
		if other.urgency > v.urgency && t.values.Text("queue", other.queue, "pool") == pool {
			use := other.use
			for _, each := range other.reserved {
				use.add(sizeOf(each.spec))
			}
			kept.add(other.peak.above(use))
		}
	}
	kept.cores = min(kept.cores, int64(headMost*float64(whole.cores)))
	kept.memory = min(kept.memory, int64(headMost*float64(whole.memory)))
	kept.accelerators = min(kept.accelerators, int64(headMost*float64(whole.accelerators)))
	free.sub(kept)
	return free
}

// isRoomy tells whether little of the cores is in use.
func isRoomy(list []*room) bool {
	free, whole := int64(0), int64(0)
	for _, r := range list {
		free += max(r.free.cores, 0)
		whole += r.w.cores
	}
	return float64(whole-free) < roomyShare*float64(whole)
}

// isBrief tells whether a step's tasks end about as soon as they could be
// stopped.
func (t *Table) isBrief(v *view, first *task) bool {
	span := t.usual(v.queue, first.ahead[:min(1, len(first.ahead))], 0)
	return !first.spec.RunUntilCancelled && span <= max(briefTimes*eventloop.Micros(t.bounds.GetStopUs()), briefAtMost)
}
