package eventloop

import "sync/atomic"

// ComponentLoad describes the work of a component during a period.
type ComponentLoad struct {
	Steps    uint64 // messages and ticks that it handled
	StepTime Micros // time that the steps took, including waits for the processor
	MaxWait  Micros // longest time that a handled message had waited in the mailbox
	Waiting  int    // messages in the mailbox at the end of the period
}

// loadCounters accumulates the load of a component. The component's goroutine writes to it, and
// any goroutine may take what has accumulated.
type loadCounters struct {
	steps             atomic.Uint64
	stepTime, maxWait atomic.Int64 // in µs
}

// record adds one step that took the given time, for a message that had waited before.
func (c *loadCounters) record(wait, duration Micros) {
	c.steps.Add(1)
	c.stepTime.Add(int64(duration))
	if int64(wait) > c.maxWait.Load() {
		c.maxWait.Store(int64(wait))
	}
}

// TakeLoad returns the load of each component, by name, since the last call.
func (l *Loop) TakeLoad() map[string]ComponentLoad {
	loads := map[string]ComponentLoad{}
	for name, registered := range l.components {
		counters := &registered.load
		loads[name] = ComponentLoad{
			Steps: counters.steps.Swap(0), StepTime: Micros(counters.stepTime.Swap(0)), MaxWait: Micros(counters.maxWait.Swap(0)),
			Waiting: registered.mailbox.Length(),
		}
	}
	return loads
}
