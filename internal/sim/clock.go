package sim

import (
	"container/heap"
	"fmt"

	"sparnotch/internal/eventloop"
)

// maxCallsPerSecond bounds the calls of a virtual second; a busy one of the scenarios has
// a twentieth of it.
const maxCallsPerSecond = 400_000

// wallZero is what correct wall clocks show when virtual time is zero, in µs since 1970.
const wallZero = 1_800_000_000_000_000

// clock is virtual time, and what is to happen in it.
type clock struct {
	Now               eventloop.Micros // since the simulation's start
	MaxCallsPerSecond int              // raises maxCallsPerSecond

	calls         callQueue
	lastSequence  uint64
	currentSecond eventloop.Micros
	callsInSecond int
}

// timer is a call at a moment; of one moment the earlier scheduled come first.
type timer struct {
	at       eventloop.Micros
	sequence uint64
	call     func()
}

// callQueue is a heap, the next call first.
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

// At schedules a call at a moment, or now if that is over.
func (c *clock) At(at eventloop.Micros, call func()) {
	c.lastSequence++
	heap.Push(&c.calls, timer{max(at, c.Now), c.lastSequence, call})
}

// After schedules a call some time from now.
func (c *clock) After(delay eventloop.Micros, call func()) { c.At(c.Now+delay, call) }

// Run lets time pass until a moment. It panics when a second has more calls than allowed:
// otherwise a message loop would only show as a run that never ends.
func (c *clock) Run(until eventloop.Micros) {
	for len(c.calls) > 0 && c.calls[0].at <= until {
		next := heap.Pop(&c.calls).(timer)
		if second := next.at / eventloop.Second; second != c.currentSecond {
			c.currentSecond, c.callsInSecond = second, 0
		}
		if c.callsInSecond++; c.callsInSecond > max(maxCallsPerSecond, c.MaxCallsPerSecond) {
			panic(fmt.Sprintf("sim: more than %d calls in second %d", c.callsInSecond-1, c.currentSecond))
		}
		c.Now = next.at
		next.call()
	}
	c.Now = until
}
