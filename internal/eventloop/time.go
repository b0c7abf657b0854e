package eventloop

import "time"

// Micros is a whole number of microseconds. It represents either a duration or a point in time
// on a monotonic clock, whose zero point has no meaning.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Duration converts a duration in microseconds to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Clock provides the time to a process. Simulations use their own implementations.
type Clock interface {
	// Now returns the current time of a monotonic clock.
	Now() Micros
	// Wall returns the time of day in µs since the start of 1970 (UTC). It may jump, so only
	// the start times of timed jobs depend on it.
	Wall() int64
}

// realClock is a Clock that reads the clocks of the machine.
type realClock struct{ start time.Time }

// RealClock returns a Clock that reads the clocks of the machine.
func RealClock() Clock { return realClock{time.Now()} }

// Now returns at least one second, so that 0 can represent a point in time before the start.
func (c realClock) Now() Micros { return Micros(time.Since(c.start).Microseconds()) + Second }

// Wall implements Clock.
func (c realClock) Wall() int64 { return time.Now().UnixMicro() }
