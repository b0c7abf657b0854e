package sim

import (
	"errors"
	"strings"
)

var (
	// ErrFull is returned by writes and truncations that a full disk refuses.
	ErrFull = errors.New("sim: no space left on the disk")
	// ErrSync is returned by syncs that fail.
	ErrSync = errors.New("sim: the sync failed")
)

// DiskFault describes how a disk fails. The zero value is a healthy disk.
type DiskFault struct {
	IsFull    bool   // writes fail after some of their bytes were written
	SyncFails bool   // syncs fail, and later syncs skip the data that wasn't written
	Prefix    string // only files whose names start with it are affected; empty: all files
	FailAt    int    // if positive, only the operation with this number, counted from now, fails
	Capacity  int    // if positive, the total size of all files in bytes is limited to it
}

// fails reports whether an operation on a file fails. If FailAt is positive, it counts down
// and only the operation that brings it to 0 fails; otherwise always decides.
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

// refusesWrite reports whether a write fails. Half of the data of a failed write is written,
// unless the disk has a limited capacity.
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

// failSync simulates a failed sync as operating systems behave: only part of the data has
// reached the disk, but all of it is marked clean. Reads still return all of the data, and no
// later sync writes the rest.
func (d *Disk) failSync(f *file) error {
	for k, w := range f.writes {
		if (k+d.Syncs)%2 == 1 {
			f.synced = w.apply(f.synced)
		}
	}
	f.writes = nil
	return ErrSync
}

// Used returns the total size of all files in bytes.
func (d *Disk) Used() int {
	used := 0
	for _, f := range d.files {
		used += len(f.current)
	}
	return used
}
