package scheduler

import (
	"math"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/queue"
)

// chance is what a job can still be ended by. Work that comes in time goes
// first, whatever its queue: while there is more to do than room, what is late
// anyhow would else make late what follows it.
type chance int

const (
	inTime chance = iota
	late          // it misses its aim, but not by far
	lost          // by far
)

const (
	lateTimes  = 3   // so many times its aim a job is worth having at all
	chanceEase = 1.2 // estimates are rough
	lostShare  = 0.6 // what is lost is begun while less of the room than this is in use
)

// course is the longest way through a round, and that from a step on, itself
// first.
type course struct{ span, ahead []queue.PathStep }

// aim is how long a queue's jobs should take at most: so many times their
// longest way, and so much besides.
type aim struct {
	stretch float64
	target  eventloop.Micros
}

func (t *Table) aimOf(name string) aim {
	return aim{
		stretch: float64(t.values.Number("queue", name, "stretch_milli")) / 1000,
		target:  eventloop.Micros(t.values.Number("queue", name, "target_ms")) * eventloop.Millisecond,
	}
}

// usual is how long a way should take, where no step may have more cores at
// once than so many (0: any number); what is wider goes in waves.
func (t *Table) usual(name string, way []queue.PathStep, cores int64) (sum eventloop.Micros) {
	p := t.paces[paceKey{name, ""}]
	for _, each := range way {
		if each.EstimateUs <= 0 {
			continue
		}
		span := float64(each.EstimateUs)
		if p != nil && p.count >= leastCount {
			span = math.Exp(p.at(math.Log(span)))
		}
		if cores > 0 {
			span *= math.Ceil(math.Max(1, float64(each.CoresMilli)/float64(cores)))
		}
		sum += eventloop.Micros(span)
	}
	return sum
}

// chanceOf tells what a task's job can still come to.
func (t *Table) chanceOf(now eventloop.Micros, v *view, each *task) chance {
	if each.spec.RunUntilCancelled || len(each.ahead) == 0 {
		return inTime
	}
	span := t.usual(v.queue, each.span, t.cores/wideQuarter)
	if span == 0 {
		return inTime
	}
	rest := t.usual(v.queue, each.ahead, 0)
	if each.standing == queue.CheckedOut && each.beganAt > 0 {
		if w := t.workers[each.worker]; w != nil {
			rest = min(rest, t.remaining(now, w, each)+t.usual(v.queue, each.ahead[1:], 0))
		}
	}
	most := chanceEase * (v.stretch*float64(span) + float64(v.target))
	switch end := float64(now + rest - each.dueAt); {
	case end <= most:
		return inTime
	case end <= lateTimes*most:
		return late
	}
	return lost
}
