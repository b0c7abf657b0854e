package eventloop

// SlowestLinkBytesPerSecond is the bandwidth, in bytes per second, of the slowest link
// between two processes over which the system must work: 2 Mbit/s.
const SlowestLinkBytesPerSecond = 2_000_000 / 8

// SlowestLinkTransferTime returns how long it takes to transfer a number of bytes over the
// slowest link that the system supports.
func SlowestLinkTransferTime(bytes int) Micros {
	return Micros(bytes) * Second / SlowestLinkBytesPerSecond
}
