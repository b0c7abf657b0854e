package replica

import "sparnotch/internal/eventloop"

const (
	// diskCapacityFactor: of the room on a disk the two slots and the two logs, each as
	// large as the content at most, take four parts. The fifth is for whatever
	// isn't a hand-in: ends of tasks, cancels, changes of the plan, by which the
	// content shrinks again.
	diskCapacityFactor = 5
	diskCheckInterval  = eventloop.Second // between two looks
)

// diskCapacity is what is known of the disk's.
type diskCapacity struct {
	limitBytes int64 // bytes that the data folder may hold; 0: not told
	checkedAt  eventloop.Micros
	isLow      bool // no hand-in is taken
}

// WithDiskCapacity tells how many bytes the data folder may hold; 0: not told.
func (h *Host) WithDiskCapacity(disk int64) *Host {
	h.disk.limitBytes = disk
	return h
}

// checkDiskCapacity sees whether the content leaves room for its next slot.
func (h *Host) checkDiskCapacity(now eventloop.Micros) {
	if h.disk.limitBytes == 0 || now-h.disk.checkedAt < diskCheckInterval {
		return
	}
	h.disk.checkedAt = now
	h.disk.isLow = diskCapacityFactor*h.contentBytes() > h.disk.limitBytes
}

// contentBytes is how much the groups' durable state holds.
func (h *Host) contentBytes() int64 {
	size := 0
	for _, r := range h.groups {
		size += r.group.StoredBytes()
	}
	return int64(size)
}
