package eventloop

// SlowestLinkBytesPerSecond is the bandwidth, in bytes a second, of the slowest link between two
// processes over which the system must work: 2 Mbit/s.
const SlowestLinkBytesPerSecond = 2_000_000 / 8

// LinkTime is how long the slowest link takes to carry some bytes.
func LinkTime(bytes int) Micros { return Micros(bytes) * Second / SlowestLinkBytesPerSecond }
