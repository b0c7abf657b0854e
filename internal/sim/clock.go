package sim

import (
	"container/heap"
	"fmt"

	"sparnotch/internal/eventloop"
)

// maxCallsPerSecond limits the calls that may run in one virtual second. Busy seconds of the
// scenarios have a twentieth of it.
const maxCallsPerSecond = 400_000

// wallZero is the time that correct wall clocks show at virtual time zero, in µs since 1970.
const wallZero = 1_800_000_000_000_000

// clock holds the current virtual time and the calls that are scheduled for later.
type clock struct {
	Now               eventloop.Micros // current virtual time
	MaxCallsPerSecond int              // replaces maxCallsPerSecond if it is larger

	calls         callQueue
	lastSequence  uint64
	currentSecond eventloop.Micros
	callsInSecond int
}

// timer is a call that is scheduled for a point in time. Calls for the same time run in the
// order in which they were scheduled, which sequence tells.
type timer struct {
	at       eventloop.Micros
	sequence uint64
	call     func()
}

// callQueue is a heap of the scheduled calls with the next one on top.
type callQueue []timer

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *callQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*q = old[:len(old)-1]
	return last
}

// At schedules a call for a point in time, or for now if that time has passed.
func (c *clock) At(at eventloop.Micros, call func()) {
	c.lastSequence++
	heap.Push(&c.calls, timer{max(at, c.Now), c.lastSequence, call})
}

// After schedules a call to run after a delay.
func (c *clock) After(delay eventloop.Micros, call func()) { c.At(c.Now+delay, call) }

// Run runs the scheduled calls up to a point in time and sets the clock to it. It panics if
// a second has more calls than allowed: otherwise two components that send each other
// messages without end would only show as a run that never finishes.
func (c *clock) Run(until eventloop.Micros) {
	for len(c.calls) > 0 && c.calls[0].at <= until {
		next := heap.Pop(&c.calls).(timer)
		if second := next.at / eventloop.Second; second != c.currentSecond {
			c.currentSecond, c.callsInSecond = second, 0
		}
		if c.callsInSecond++; c.callsInSecond > max(maxCallsPerSecond, c.MaxCallsPerSecond) {
			panic(fmt.Sprintf("sim: more than %d calls were run in virtual second %d", c.callsInSecond-1, c.currentSecond))
		}
		c.Now = next.at
		next.call()
	}
	c.Now = until
}
