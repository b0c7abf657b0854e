package sim

import (
	"errors"
	"strings"
)

var (
	// ErrFull is the error of a write to a disk that is full.
	ErrFull = errors.New("sim: no space left on the disk")
	// ErrSync is the error of a sync that didn't reach the disk.
	ErrSync = errors.New("sim: the sync failed")
)

// DiskFault is how a disk fails.
type DiskFault struct {
	IsFull    bool   // writes fail, after some of their bytes were written
	SyncFails bool   // syncs fail, and what they should have made durable counts as clean
	Prefix    string // of the names of the files concerned; empty: all
	FailAt    int    // when positive, counts operations down to one that fails
	Capacity  int    // when positive, the bytes that all files may have together
}

// fails reports whether an operation on a file fails: this one, or every one of its kind.
func (f *DiskFault) fails(name string, always bool) bool {
	if !strings.HasPrefix(name, f.Prefix) {
		return false
	}
	if f.FailAt > 0 {
		f.FailAt--
		return f.FailAt == 0
	}
	return always
}

// refusesWrite reports whether a write fails, and if so leaves half of it behind.
func (d *Disk) refusesWrite(name string, f *file, w write) bool {
	isFull := d.Fault.IsFull
	if growth := int(w.offset) + len(w.data) - len(f.current); d.Fault.Capacity > 0 && growth > 0 {
		isFull = isFull || d.Used()+growth > d.Fault.Capacity
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

// failSync is a failed sync as operating systems have it: what was to be written is read as
// before and counts as clean, so that no later sync writes it, though only part of it has
// reached the disk.
func (d *Disk) failSync(f *file) error {
	for k, w := range f.writes {
		if (k+d.Syncs)%2 == 1 {
			f.synced = w.apply(f.synced)
		}
	}
	f.writes = nil
	return ErrSync
}

// Used is how many bytes all files have together.
func (d *Disk) Used() int {
	used := 0
	for _, f := range d.files {
		used += len(f.current)
	}
	return used
}
