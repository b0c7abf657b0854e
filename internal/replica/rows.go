package replica

// Rows of a large plan that are on their way to other processes.

import (
	"maps"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// planTold is when a plan's rows were last sent to a process.
type planTold struct {
	generation uint64
	until      eventloop.Micros // they may be on their way
}

// isOnItsWay tells whether a plan's packed rows were sent to a process so lately
// that they may still be on their way, and else notes that they are sent now. Who
// asks often would else be sent them again and again over a slow link.
func (t *Table) isOnItsWay(now eventloop.Micros, to string, plan *schema.Configuration) bool {
	if len(plan.PackedRows) == 0 || to == t.id {
		return false
	}
	last := t.plansTold[to]
	if last.generation == plan.Revision && now < last.until {
		return true
	}
	maps.DeleteFunc(t.plansTold, func(_ string, each planTold) bool { return now >= each.until })
	t.plansTold[to] = planTold{plan.Revision, now + 2*eventloop.LinkTime(len(plan.PackedRows))}
	return false
}
