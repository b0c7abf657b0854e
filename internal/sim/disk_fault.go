package sim

import (
	"errors"
	"strings"
)

// ErrFull is what a disk without room answers, and ErrSync what a sync answers
// that didn't reach the disk.
var (
	ErrFull = errors.New("sim: no room on the disk")
	ErrSync = errors.New("sim: the sync failed")
)

// RecordFault is what a disk in trouble does.
type DiskFault struct {
	IsFull    bool   // writes are refused, when some of their bytes were taken
	SyncFails bool   // syncs fail, and what they should have kept counts as kept
	Prefix    string // the beginning of the names that this is about; empty: all
	// FailAt, when positive, counts operations down to one that fails.
	FailAt int
	// Room, when positive, is how many bytes all files may hold together.
	Capacity int
}

// fails tells whether an operation on a file fails: this one, or all of its
// kind.
func (f *DiskFault) fails(name string, isAlways bool) bool {
	if !strings.HasPrefix(name, f.Prefix) {
		return false
	}
	if f.FailAt > 0 {
		f.FailAt--
		return f.FailAt == 0
	}
	return isAlways
}

// isDiskRefusing tells whether a write is, and leaves half of it behind.
func (d *Disk) refusesWrite(name string, f *file, w write) bool {
	isFull := d.Fault.IsFull
	if grown := int(w.offset) + len(w.data) - len(f.current); d.Fault.Capacity > 0 && grown > 0 {
		isFull = isFull || d.Used()+grown > d.Fault.Capacity
	}
	if !d.Fault.fails(name, isFull) {
		return false
	}
	if len(w.data) > 1 && d.Fault.Capacity == 0 {
		half := write{offset: w.offset, data: w.data[:len(w.data)/2]}
		f.writes = append(f.writes, half)
		f.current = half.apply(f.current)
	}
	return true
}

// failSync is a failed sync as systems have it: whatever was to be written is
// shown as before and counts as clean, so that no later sync writes it, though
// only part of it has reached the disk.
func (d *Disk) failSync(f *file) error {
	for k, w := range f.writes {
		if (k+d.Syncs)%2 == 1 {
			f.synced = w.apply(f.synced)
		}
	}
	f.writes = nil
	return ErrSync
}

// Used is how many bytes all files hold together.
func (d *Disk) Used() int {
	used := 0
	for _, f := range d.files {
		used += len(f.current)
	}
	return used
}
