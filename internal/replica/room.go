package replica

import "sparnotch/internal/eventloop"

const (
	// roomParts: of the room on a disk the two slots and the two logs, each as
	// large as the content at most, take four parts. The fifth is for whatever
	// isn't a hand-in: ends of tasks, cancels, changes of the plan, by which the
	// content shrinks again.
	roomParts = 5
	roomPace  = eventloop.Second // between two looks
)

// room is what is known of the disk's.
type room struct {
	disk     int64 // bytes that the data folder may hold; 0: not told
	lookedAt eventloop.Micros
	isNarrow bool // no hand-in is taken
}

// Within tells how many bytes the data folder may hold; 0: not told.
func (t *Table) Within(disk int64) *Table {
	t.room.disk = disk
	return t
}

// lookAtRoom sees whether the content leaves room for its next slot.
func (t *Table) lookAtRoom(now eventloop.Micros) {
	if t.room.disk == 0 || now-t.room.lookedAt < roomPace {
		return
	}
	t.room.lookedAt = now
	t.room.isNarrow = roomParts*t.contentBytes() > t.room.disk
}

// contentBytes is how much the groups' durable state holds.
func (t *Table) contentBytes() int64 {
	size := 0
	for _, r := range t.groups {
		size += r.group.StoredBytes()
	}
	return int64(size)
}
