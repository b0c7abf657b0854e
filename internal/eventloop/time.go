package eventloop

import "time"

// Micros is a duration, or an instant of a monotonic clock whose zero has no meaning,
// in whole microseconds.
type Micros int64

// Units of Micros.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Duration is the duration as one of package time.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Clock is the source of time for a process; simulations have their own.
type Clock interface {
	// Now is a monotonic instant.
	Now() Micros
	// Wall is the time of day in µs since 1970. It may jump; only the start times of
	// timed jobs depend on it.
	Wall() int64
}

type realClock struct{ start time.Time }

// RealClock reads the machine's clocks.
func RealClock() Clock { return realClock{time.Now()} }

// Now begins at a second, so that 0 can mean an instant long ago.
func (c realClock) Now() Micros { return Micros(time.Since(c.start).Microseconds()) + Second }
func (c realClock) Wall() int64 { return time.Now().UnixMicro() }
