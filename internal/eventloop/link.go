package eventloop

// SlowestLink is the slowest link between two processes over which the system is
// to work, in bytes a second: 2 Mbit/s.
const SlowestLink = 2_000_000 / 8

// LinkTime is how long the slowest link needs for some bytes.
func LinkTime(bytes int) Micros { return Micros(bytes) * Second / SlowestLink }
