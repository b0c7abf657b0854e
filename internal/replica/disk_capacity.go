package replica

// This file checks the capacity of the disk, part of which is reserved for commands other
// than submissions.

import "sparnotch/internal/eventloop"

const (
	// diskCapacityFactor is how many times the durable state must fit on the disk for
	// submissions to be accepted. Two slots and two logs take up to the size of the state
	// each. The fifth share is for task reports, cancels and configuration updates, which
	// must be accepted for the state to become smaller again.
	diskCapacityFactor = 5
	diskCheckInterval  = eventloop.Second
)

// diskCapacity tracks whether this node's disk has too little space for more submissions.
type diskCapacity struct {
	limitBytes int64            // most bytes that the data directory may hold; 0: unknown
	checkedAt  eventloop.Micros // when isLow was last updated
	isLow      bool             // submissions are rejected for lack of space
}

// WithDiskCapacity sets how many bytes the data directory may hold and returns h. With 0 the
// capacity is unknown, and submissions are never rejected for lack of disk space.
func (h *Host) WithDiskCapacity(bytes int64) *Host {
	h.disk.limitBytes = bytes
	return h
}

// checkDiskCapacity updates, once per diskCheckInterval, whether submissions are rejected for
// lack of disk space.
func (h *Host) checkDiskCapacity(now eventloop.Micros) {
	if h.disk.limitBytes == 0 || now-h.disk.checkedAt < diskCheckInterval {
		return
	}
	h.disk.checkedAt = now
	h.disk.isLow = diskCapacityFactor*h.contentBytes() > h.disk.limitBytes
}

// contentBytes returns the approximate size of the durable state of all groups, in bytes.
func (h *Host) contentBytes() int64 {
	size := 0
	for _, r := range h.groups {
		size += r.group.StoredBytes()
	}
	return int64(size)
}
