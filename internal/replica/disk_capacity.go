package replica

// The capacity of the disk, part of which is reserved for what isn't a submission.

import "sparnotch/internal/eventloop"

const (
	// diskCapacityFactor is how many times the durable state must fit on the disk while
	// submissions are accepted: two slots and two logs, each as large as the state at
	// most, and as much again for task reports, cancels and configuration updates, by
	// which the state becomes smaller again.
	diskCapacityFactor = 5
	diskCheckInterval  = eventloop.Second
)

// diskCapacity is the capacity of this node's disk, and whether it is used up.
type diskCapacity struct {
	limitBytes int64 // that the data directory may hold; 0: unknown
	checkedAt  eventloop.Micros
	isLow      bool // submissions are rejected
}

// WithDiskCapacity sets how many bytes the data directory may hold and returns h; 0:
// unknown, so submissions are never rejected for it.
func (h *Host) WithDiskCapacity(bytes int64) *Host {
	h.disk.limitBytes = bytes
	return h
}

// checkDiskCapacity updates whether submissions are rejected for lack of disk space.
func (h *Host) checkDiskCapacity(now eventloop.Micros) {
	if h.disk.limitBytes == 0 || now-h.disk.checkedAt < diskCheckInterval {
		return
	}
	h.disk.checkedAt = now
	h.disk.isLow = diskCapacityFactor*h.contentBytes() > h.disk.limitBytes
}

// contentBytes is the size of the durable state of all groups.
func (h *Host) contentBytes() int64 {
	size := 0
	for _, r := range h.groups {
		size += r.group.StoredBytes()
	}
	return int64(size)
}
